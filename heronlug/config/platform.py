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


FROM_ENVIRONMENT = {
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


def _table(raw: Mapping[str, Any], key: str, where: str) -> dict[str, Any]:
    value = raw.get(key, {})
    if not isinstance(value, dict):
        msg = f"{where}: {key}: not an object"
        raise ConfigError(msg)
    return value


def _number(table: Mapping[str, Any], key: str, default: float, where: str) -> float:
    value = table.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        msg = f"{where}: {key}: {value!r} is no figure of 0 or more"
        raise ConfigError(msg)
    return float(value)


def _check(settings: Settings) -> None:
    """Check what is right by itself and wrong together; raises ``ValueError``."""
    names = [request_class.name for request_class in settings.classes]
    if twice := next((name for name in names if names.count(name) > 1), None):
        msg = f"lanes: two classes are named {twice!r}, each needs a name of its own"
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
    where = environ.get("RELAY_CONFIG", "")
    if not where:
        msg = "environment: RELAY_CONFIG: not set"
        raise ConfigError(msg)
    try:
        raw = orjson.loads(Path(where).read_bytes())
    except (OSError, ValueError) as error:
        msg = f"{where}: {error}"
        raise ConfigError(msg) from None
    if not isinstance(raw, dict):
        msg = f"{where}: not an object"
        raise ConfigError(msg)
    inherited = environ.get("RELAY_INHERITED_FD", "")
    if inherited and not inherited.isdecimal():
        msg = f"environment: RELAY_INHERITED_FD: {inherited!r} is no descriptor"
        raise ConfigError(msg)
    raw = {
        **raw,
        **{key: environ[variable] for key, variable in FROM_ENVIRONMENT.items() if environ.get(variable)},
    }
    return replace(parse(raw, where), inherited_fd=int(inherited) if inherited else None)


def parse(raw: Mapping[str, Any], where: str, watched: bool = True) -> Config:
    """Read a configuration from its JSON object.

    Args:
        raw: the object.
        where: the file's name, for errors.
        watched: whether service discovery gives the servers; else they are those of the file's list.

    Raises:
        ConfigError: if a key is missing or its value cannot be used; the text names the key.
    """
    conf = _table(raw, "settings", where)
    limits = _table(raw, "limits", where)
    site = _table(conf, "limits", where)
    with _naming(where, "listen"):
        listen = split_address(str(raw["listen"]))
    with _naming(where, "discovery"):
        discovery = _discovery(raw) if watched else ""
    with _naming(where, "peer_listen"):
        peer_listen = _optional_address(raw, "peer_listen")
    with _naming(where, "admin_addr"):
        admin = _optional_address(raw, "admin_addr")
    with _naming(where, "peers"):
        peers = [str(peer) for peer in raw.get("peers") or ()]
        peers_all = str(raw["peers_all"]) if raw.get("peers_all") else None
        for peer in [*peers, *([peers_all] if peers_all else [])]:
            split_address(peer)
    with _naming(where, "seed"):
        seed = int(str(raw.get("seed") or "0"), 16)
    with _naming(where, "settings"):
        settings = parse_settings(orjson.dumps(conf))
        _check(settings)
    return Config(
        name=str(raw.get("name", "")),
        listen=listen,
        discovery=discovery,
        seed=seed,
        settings=replace(settings, list_pushed=not watched),  # on sockets no list comes without a poll
        sockets=int(_number(limits, "sockets", DEFAULT_SOCKETS, where)) or DEFAULT_SOCKETS,
        memory_mb=_number(limits, "memory_mb", DEFAULT_MEMORY_MB, where),
        conn_idle=_number(site, "conn_idle", DEFAULT_IDLE_MS, where),
        max_open=int(_number(site, "max_open", DEFAULT_MAX_OPEN, where)),
        max_come_back=_number(site, "max_retry_after", 0, where) if site.get("retry_after") else 0.0,
        zones=[str(zone) for zone in conf.get("zones") or ()],
        kinds=[str(kind) for kind in conf.get("skus") or ()],
        known=raw.get("known"),
        peer_listen=peer_listen,
        peers=peers,
        peers_all=peers_all,
        admin=admin,
        pushed=settings.list_pushed and watched,
    )


@contextmanager
def _naming(where: str, key: str) -> Iterator[None]:
    """Turn an error in reading a key into a :class:`ConfigError` that names it."""
    try:
        yield
    except (KeyError, ValueError, TypeError) as error:
        msg = f"{where}: {key}: {error}"
        raise ConfigError(msg) from error


def _discovery(raw: Mapping[str, Any]) -> str:
    address = str(raw["discovery"])
    split_address(address)
    return address


def _optional_address(raw: Mapping[str, Any], key: str) -> tuple[str, int] | None:
    return split_address(str(raw[key])) if raw.get(key) else None
