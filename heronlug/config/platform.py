"""Reads and checks the platform's configuration: the environment variables and the JSON file that they name."""

import os
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson

from heronlug.balancer.settings import Settings
from heronlug.config.errors import ConfigurationError
from heronlug.config.settings_json import parse_settings
from heronlug.net.http import split_address


class ConfigError(ConfigurationError, ValueError):
    """Raised if a setting is invalid; the message names the file and the key."""


ENVIRONMENT_VARIABLES = {
    "name": "RELAY_NAME",
    "listen": "RELAY_LISTEN",
    "discovery": "RELAY_DISCOVERY",
    "admin_addr": "RELAY_ADMIN_ADDR",
}
"""Keys of the file, each with the environment variable that overrides the key."""
DEFAULT_SOCKETS = 1024
"""Maximum number of file descriptors if the file gives none."""
DEFAULT_MEMORY_MB = 192
"""Memory limit in MB if the file gives none."""
DEFAULT_IDLE_MS = 10_000
"""Time after which servers close an idle connection, in ms, if the file gives none."""
DEFAULT_MAX_OPEN = 20_000
"""Maximum number of open requests if the file gives none."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration with which a dispatcher starts.

    A reload logs the names of changed fields, so the field names must stay as they are.

    Attributes:
        name: Name of the dispatcher.
        listen: Address on which clients connect.
        discovery: Address of service discovery; empty if the servers are listed in a file.
        seed: Seed of all random draws.
        settings: Settings of the balancer.
        sockets: Maximum number of file descriptors of the process.
        memory_mb: Memory limit of the process, in MB.
        conn_idle: Time after which servers close an idle connection, in ms.
        max_open: Maximum number of open requests.
        max_come_back: Longest Retry-After of a rejection, in ms; 0 if rejections have no Retry-After.
        zones: Names of the zones, indexed by zone number.
        kinds: Names of the server kinds, indexed by kind number.
        known: The endpoint list in the file; None if the file has none.
        peer_listen: Address on which datagrams of the peers arrive; None without peers.
        peers: Addresses of all dispatchers, indexed by position.
        peers_all: Address that reaches all peers; None if there is no such address.
        inherited_fd: File descriptor of the listening socket for clients, which is shared with other processes; None if
            the dispatcher binds the socket itself.
        admin: Address of the admin endpoint; None if there is no admin endpoint.
        pushed: Whether updates of the endpoint list count as notified at once, whether or not they are polled.
        paced: Whether the operators run service discovery: then polls are paced, and the last list is used whatever its
            age. On the platform the balancer alone decides when to poll.
    """

    name: str
    listen: tuple[str, int]
    discovery: str
    seed: int
    settings: Settings
    sockets: int
    memory_mb: float
    conn_idle: float
    max_open: int
    max_come_back: float
    zones: list[str]
    kinds: list[str]
    known: Any
    peer_listen: tuple[str, int] | None = None
    peers: list[str] = field(default_factory=list)
    peers_all: str | None = None
    inherited_fd: int | None = None
    admin: tuple[str, int] | None = None
    pushed: bool = False
    paced: bool = False


def _object(raw: Mapping[str, Any], key: str, file_name: str) -> dict[str, Any]:
    value = raw.get(key, {})
    if not isinstance(value, dict):
        msg = f"{file_name}: {key}: not a JSON object"
        raise ConfigError(msg)
    return value


def _number(table: Mapping[str, Any], key: str, default: float, file_name: str) -> float:
    value = table.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        msg = f"{file_name}: {key}: {value!r} is not accepted, expected a number of 0 or more"
        raise ConfigError(msg)
    return float(value)


def _check(settings: Settings) -> None:
    """Raises ``ValueError`` if settings that are valid separately contradict each other."""
    names = [request_class.name for request_class in settings.classes]
    if duplicate := next((name for name in names if names.count(name) > 1), None):
        msg = f"lanes: two classes are named {duplicate!r}, expected a unique name for each class"
        raise ValueError(msg)
    if settings.position >= settings.instances:
        right = f"expected 0 to {settings.instances - 1} for {settings.instances} instances"
        msg = f"position: {settings.position} is out of range, {right}"
        raise ValueError(msg)


def reload(environ: Mapping[str, str] = os.environ) -> Config:
    """Reads the file again and ignores ``RELAY_DISCOVERY``: the address of service discovery in the file is newer."""
    return load({key: value for key, value in environ.items() if key != "RELAY_DISCOVERY"})


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Reads the file that ``RELAY_CONFIG`` names; raises :class:`ConfigError` if the configuration is invalid."""
    file_name = environ.get("RELAY_CONFIG", "")
    if not file_name:
        msg = "environment: RELAY_CONFIG: not set, expected the path of a JSON file"
        raise ConfigError(msg)
    try:
        raw = orjson.loads(Path(file_name).read_bytes())
    except (OSError, ValueError) as error:
        msg = f"{file_name}: {error}"
        raise ConfigError(msg) from None
    if not isinstance(raw, dict):
        msg = f"{file_name}: not a JSON object"
        raise ConfigError(msg)
    inherited = environ.get("RELAY_INHERITED_FD", "")
    if inherited and not inherited.isdecimal():
        msg = f"environment: RELAY_INHERITED_FD: {inherited!r} is not a file descriptor, expected a number"
        raise ConfigError(msg)
    raw = {
        **raw,
        **{key: environ[variable] for key, variable in ENVIRONMENT_VARIABLES.items() if environ.get(variable)},
    }
    return replace(parse(raw, file_name), inherited_fd=int(inherited) if inherited else None)


def parse(raw: Mapping[str, Any], file_name: str, watched: bool = True) -> Config:
    """Returns the configuration in a JSON object.

    Args:
        raw: The object.
        file_name: Name of the file, for error messages.
        watched: Whether service discovery gives the servers; otherwise the servers are those that the file lists.

    Raises:
        ConfigError: If a key is missing or has an invalid value; the message names the key.
    """
    settings_object = _object(raw, "settings", file_name)
    limits = _object(raw, "limits", file_name)
    site_limits = _object(settings_object, "limits", file_name)
    with _name_key_in_errors(file_name, "listen"):
        listen = split_address(str(raw["listen"]))
    with _name_key_in_errors(file_name, "discovery"):
        discovery = _discovery(raw) if watched else ""
    with _name_key_in_errors(file_name, "peer_listen"):
        peer_listen = _optional_address(raw, "peer_listen")
    with _name_key_in_errors(file_name, "admin_addr"):
        admin = _optional_address(raw, "admin_addr")
    with _name_key_in_errors(file_name, "peers"):
        peers = [str(peer) for peer in raw.get("peers") or ()]
        peers_all = str(raw["peers_all"]) if raw.get("peers_all") else None
        for peer in [*peers, *([peers_all] if peers_all else [])]:
            split_address(peer)
    with _name_key_in_errors(file_name, "seed"):
        seed = int(str(raw.get("seed") or "0"), 16)
    with _name_key_in_errors(file_name, "settings"):
        settings = parse_settings(orjson.dumps(settings_object))
        _check(settings)
    return Config(
        name=str(raw.get("name", "")),
        listen=listen,
        discovery=discovery,
        seed=seed,
        settings=replace(settings, list_pushed=not watched),  # service discovery sends a list only in answer to a poll
        sockets=int(_number(limits, "sockets", DEFAULT_SOCKETS, file_name)) or DEFAULT_SOCKETS,
        memory_mb=_number(limits, "memory_mb", DEFAULT_MEMORY_MB, file_name),
        conn_idle=_number(site_limits, "conn_idle", DEFAULT_IDLE_MS, file_name),
        max_open=int(_number(site_limits, "max_open", DEFAULT_MAX_OPEN, file_name)),
        max_come_back=_number(site_limits, "max_retry_after", 0, file_name) if site_limits.get("retry_after") else 0.0,
        zones=[str(zone) for zone in settings_object.get("zones") or ()],
        kinds=[str(kind) for kind in settings_object.get("skus") or ()],
        known=raw.get("known"),
        peer_listen=peer_listen,
        peers=peers,
        peers_all=peers_all,
        admin=admin,
        pushed=settings.list_pushed and watched,
    )


@contextmanager
def _name_key_in_errors(file_name: str, key: str) -> Iterator[None]:
    """Turns an error in the value of a key into a :class:`ConfigError` that names the file and the key."""
    try:
        yield
    except (KeyError, ValueError, TypeError) as error:
        msg = f"{file_name}: {key}: {error}"
        raise ConfigError(msg) from error


def _discovery(raw: Mapping[str, Any]) -> str:
    address = str(raw["discovery"])
    split_address(address)
    return address


def _optional_address(raw: Mapping[str, Any], key: str) -> tuple[str, int] | None:
    return split_address(str(raw[key])) if raw.get(key) else None
