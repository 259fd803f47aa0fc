"""The platform's configuration: the environment and the JSON file that it names, read and checked once."""

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
    """A setting that cannot be used; the text names file and key."""


ENVIRONMENT_VARIABLES = {
    "name": "RELAY_NAME",
    "listen": "RELAY_LISTEN",
    "discovery": "RELAY_DISCOVERY",
    "admin_addr": "RELAY_ADMIN_ADDR",
}
"""Keys of the file that a variable of the environment overrides."""
DEFAULT_SOCKETS = 1024
"""File descriptors where the file gives none."""
DEFAULT_MEMORY_MB = 192
"""Memory where the file gives none, in MB."""
DEFAULT_IDLE_MS = 10_000
"""How long an idle connection to a server is kept where the file says nothing, in ms."""
DEFAULT_MAX_OPEN = 20_000
"""Open requests where the file gives no maximum."""


@dataclass(frozen=True, slots=True)
class Config:
    """All that a start needs. A reload logs the names of changed fields, so they keep their names.

    Attributes:
        name: of the dispatcher.
        listen: the clients' address.
        discovery: address of service discovery; empty where the servers are listed in a file.
        seed: of all random draws.
        settings: of the balancer.
        sockets: file descriptors that the process may use.
        memory_mb: memory that it may use, in MB.
        conn_idle: how long servers keep an idle connection, in ms.
        max_open: open requests at most.
        max_come_back: the longest Retry-After of a rejection, in ms; 0 for none.
        zones: names of the zones, by number.
        kinds: names of the server kinds, by number.
        known: the endpoint list of the file; None where it gives none.
        peer_listen: address of the peers' datagrams; None for none.
        peers: addresses of all dispatchers, by position.
        peers_all: the address that reaches all peers; None for none.
        inherited_fd: the clients' listening socket, which other processes hold too; None where it is bound.
        admin: address of the admin endpoint; None for none.
        pushed: updates of the list count as notified at once, whether or not they are polled.
        paced: the operators run service discovery: polls are paced, and the last list is used whatever its age. On the
            platform the balancer alone decides when to poll.
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
        msg = f"{file_name}: {key}: not an object"
        raise ConfigError(msg)
    return value


def _number(table: Mapping[str, Any], key: str, default: float, file_name: str) -> float:
    value = table.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        msg = f"{file_name}: {key}: {value!r} is no figure of 0 or more"
        raise ConfigError(msg)
    return float(value)


def _check(settings: Settings) -> None:
    """Check what is right by itself and wrong together; raises ``ValueError``."""
    names = [request_class.name for request_class in settings.classes]
    if duplicate := next((name for name in names if names.count(name) > 1), None):
        msg = f"lanes: two classes are named {duplicate!r}, each needs a name of its own"
        raise ValueError(msg)
    if settings.position >= settings.instances:
        right = f"of {settings.instances} instances it is 0 to {settings.instances - 1}"
        msg = f"position: {settings.position}: {right}"
        raise ValueError(msg)


def reload(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the file again; its address of service discovery is newer than the one in the environment."""
    return load({key: value for key, value in environ.items() if key != "RELAY_DISCOVERY"})


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the file that ``RELAY_CONFIG`` names; raises :class:`ConfigError`."""
    file_name = environ.get("RELAY_CONFIG", "")
    if not file_name:
        msg = "environment: RELAY_CONFIG: not set"
        raise ConfigError(msg)
    try:
        raw = orjson.loads(Path(file_name).read_bytes())
    except (OSError, ValueError) as error:
        msg = f"{file_name}: {error}"
        raise ConfigError(msg) from None
    if not isinstance(raw, dict):
        msg = f"{file_name}: not an object"
        raise ConfigError(msg)
    inherited = environ.get("RELAY_INHERITED_FD", "")
    if inherited and not inherited.isdecimal():
        msg = f"environment: RELAY_INHERITED_FD: {inherited!r} is no descriptor"
        raise ConfigError(msg)
    raw = {
        **raw,
        **{key: environ[variable] for key, variable in ENVIRONMENT_VARIABLES.items() if environ.get(variable)},
    }
    return replace(parse(raw, file_name), inherited_fd=int(inherited) if inherited else None)


def parse(raw: Mapping[str, Any], file_name: str, watched: bool = True) -> Config:
    """Read a configuration from its JSON object.

    Args:
        raw: the object.
        file_name: the file's name, for errors.
        watched: whether service discovery gives the servers; else they are those of the file's list.

    Raises:
        ConfigError: if a key is missing or its value cannot be used; the text names the key.
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
        settings=replace(settings, list_pushed=not watched),  # on sockets no list comes without a poll
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
    """Turn an error in reading a key into a :class:`ConfigError` that names it."""
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
