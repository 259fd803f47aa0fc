"""What a dispatcher is told: the environment and the configuration file, read and checked once."""

import os
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson

from heronlug.balancer.settings import Settings
from heronlug.config.settings_json import parse_settings
from heronlug.net.http import split_address


class ConfigError(ValueError):
    """A setting that cannot be used; the text names file and key."""


FROM_ENVIRONMENT = {
    "name": "RELAY_NAME",
    "listen": "RELAY_LISTEN",
    "discovery": "RELAY_DISCOVERY",
    "admin_addr": "RELAY_ADMIN_ADDR",
}


@dataclass(frozen=True, slots=True)
class Config:
    """All that a start needs."""

    name: str
    listen: tuple[str, int]
    discovery: str  # empty where the hosts are known from a file
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
    inherited_fd: int | None = None  # the clients' listening socket, held by others too
    admin: tuple[str, int] | None = None  # where operators call; None is nowhere
    pushed: bool = False  # what the register has to tell counts as told at once, whether or not it is asked
    paced: bool = False  # calls of the register keep to a pace; on the platform the module alone says when


def _table(raw: Mapping[str, Any], key: str, where: str) -> dict[str, Any]:
    value = raw.get(key, {})
    if not isinstance(value, dict):
        raise ConfigError(f"{where}: {key}: not an object")
    return value


def _number(table: Mapping[str, Any], key: str, default: float, where: str) -> float:
    value = table.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ConfigError(f"{where}: {key}: {value!r} is no figure of 0 or more")
    return float(value)


def _check(settings: Settings) -> None:
    """What can be read and yet cannot be; raises ``ValueError``."""
    names = [lane.name for lane in settings.classes]
    if twice := next((name for name in names if names.count(name) > 1), None):
        raise ValueError(f"lanes: two classes are named {twice!r}, each needs a name of its own")
    if settings.position >= settings.instances:
        right = f"of {settings.instances} instances it is 0 to {settings.instances - 1}"
        raise ValueError(f"position: {settings.position}: {right}")


def reload(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the file again; what the environment said of discovery at the start has been overtaken by it."""
    return load({key: value for key, value in environ.items() if key != "RELAY_DISCOVERY"})


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the file that ``RELAY_CONFIG`` names; raises :class:`ConfigError`."""
    where = environ.get("RELAY_CONFIG", "")
    if not where:
        raise ConfigError("environment: RELAY_CONFIG: not set")
    try:
        raw = orjson.loads(Path(where).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{where}: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{where}: not an object")
    inherited = environ.get("RELAY_INHERITED_FD", "")
    if inherited and not inherited.isdecimal():
        raise ConfigError(f"environment: RELAY_INHERITED_FD: {inherited!r} is no descriptor")
    raw = {
        **raw,
        **{key: environ[variable] for key, variable in FROM_ENVIRONMENT.items() if environ.get(variable)},
    }
    return replace(parse(raw, where), inherited_fd=int(inherited) if inherited else None)


def parse(raw: Mapping[str, Any], where: str, watched: bool = True) -> Config:
    """A configuration from its JSON object; raises :class:`ConfigError` naming the key.

    Unless the hosts are ``watched`` for at discovery, they are those that are known at the start.
    """
    conf, limits = _table(raw, "settings", where), _table(raw, "limits", where)
    site = _table(conf, "limits", where)
    key = "listen"
    try:
        listen = split_address(str(raw["listen"]))
        key = "discovery"
        discovery = str(raw["discovery"]) if watched else ""
        if watched:
            split_address(discovery)
        key = "peer_listen"
        peer_listen = split_address(str(raw["peer_listen"])) if raw.get("peer_listen") else None
        key = "admin_addr"
        admin = split_address(str(raw["admin_addr"])) if raw.get("admin_addr") else None
        key = "peers"
        peers = [str(peer) for peer in raw.get("peers") or ()]
        everyone = str(raw["peers_all"]) if raw.get("peers_all") else None
        for peer in [*peers, *([everyone] if everyone else [])]:
            split_address(peer)
        key = "seed"
        seed = int(str(raw.get("seed") or "0"), 16)
        key = "settings"
        settings = parse_settings(orjson.dumps(conf))
        _check(settings)
        pushed = settings.list_pushed and watched
        settings = replace(settings, list_pushed=not watched)  # on sockets no list comes unasked
    except (KeyError, ValueError, TypeError) as error:
        raise ConfigError(f"{where}: {key}: {error}") from None
    return Config(
        name=str(raw.get("name", "")),
        listen=listen,
        discovery=discovery,
        seed=seed,
        settings=settings,
        sockets=int(_number(limits, "sockets", 1024, where)) or 1024,
        memory_mb=_number(limits, "memory_mb", 192, where),
        conn_idle=_number(site, "conn_idle", 10_000, where),
        max_open=int(_number(site, "max_open", 20_000, where)),
        max_come_back=_number(site, "max_retry_after", 0, where) if site.get("retry_after") else 0.0,
        zones=[str(zone) for zone in conf.get("zones") or ()],
        kinds=[str(kind) for kind in conf.get("skus") or ()],
        known=raw.get("known"),
        peer_listen=peer_listen,
        peers=peers,
        peers_all=everyone,
        admin=admin,
        pushed=pushed,
    )
