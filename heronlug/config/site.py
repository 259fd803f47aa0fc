"""Reads a file that is the whole configuration of a dispatcher: ``[serve]``, ``[site]`` and ``[[host]]`` tables.

The tables are converted to the JSON object of the platform's configuration, so that one function parses both forms.
"""

from dataclasses import replace
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from heronlug.config.platform import Config, ConfigError, parse
from heronlug.config.strict_toml import ConfigProblem, Source
from heronlug.config.strict_toml.decode import decode
from heronlug.config.strict_toml.source import Keys
from heronlug.config.strict_toml.value_types import Text
from heronlug.net.http import split_address

Address = Annotated[str, Meta(min_length=1, description="an address such as 127.0.0.1:8081")]
Span = Annotated[float, Meta(gt=0, le=86_400_000, description="milliseconds, more than 0 and at most a day")]
Wait = Annotated[float, Meta(ge=0, le=86_400_000, description="milliseconds, 0 to a day")]
Share = Annotated[float, Meta(gt=0, le=1, description="a share, more than 0 and at most 1")]
Factor = Annotated[float, Meta(ge=0, le=1e6, description="a number from 0 to 1e6")]
Names = Annotated[list[str], Meta(min_length=1, description="a list of at least one name")]


class ServeTable(Struct, forbid_unknown_fields=True):
    """The ``[serve]`` table: name, addresses and resource limits of the process."""

    listen: Address
    name: Text = "heronlug"
    operators: Address | None = None
    discovery: Address | None = None  # service discovery; without it the servers are those that the file lists
    peers: list[Address] = msgspec.field(default_factory=list)  # UDP, of all dispatchers by position, also this one
    position: Annotated[int, Meta(ge=0, le=9999, description="a whole number, 0 to 9999")] = 0
    memory_mb: Annotated[float, Meta(ge=32, le=1e6, description="megabytes, 32 or more")] = 512.0
    sockets: Annotated[int, Meta(ge=128, le=1_000_000, description="file descriptors, 128 or more")] = 1024


class SiteClassTable(Struct, forbid_unknown_fields=True):
    """A ``[[site.class]]`` table: objectives, weights and effect of a request class."""

    name: Text
    effect: Annotated[Literal["repeatable", "by_key", "once"], Meta(description='"repeatable", "by_key" or "once"')]
    aim_ms: Span
    deadline_ms: Span
    worth: Factor = 1.0
    late_worth: Annotated[float, Meta(ge=0, le=1, description="a share of worth, 0 to 1")] = 0.5
    stretch: Factor = 0.0
    key_scope: Annotated[Literal["all", "zone", "cell"], Meta(description='"all", "zone" or "cell"')] = "all"
    repeat_window_ms: Wait = 0.0


class SiteTable(Struct, forbid_unknown_fields=True, rename={"classes": "class"}):
    """The ``[site]`` table: settings that all dispatchers share, with the parameters of the four safety rules."""

    classes: Annotated[list[Any], Meta(min_length=1, description="at least one [[site.class]]")]
    zones: Names = msgspec.field(default_factory=lambda: ["here"])
    kinds: Names = msgspec.field(default_factory=lambda: ["any"])
    attempts_cap: Annotated[int, Meta(ge=1, le=64, description="a whole number, 1 to 64")] = 6
    second_copies: Annotated[bool, Meta(description="true or false")] = True
    leave_halls: Annotated[bool, Meta(description="true or false")] = False  # whole-zone failover; needs [serve] peers
    may_cancel: Annotated[bool, Meta(description="true or false")] = True
    tells_start: Annotated[bool, Meta(description="true or false")] = True
    progress_every_ms: Wait = 1000.0
    dial_timeout_ms: Span = 250.0
    conn_idle_ms: Span = 10_000.0
    dispatchers: Annotated[int, Meta(ge=1, le=10_000, description="dispatchers that share the servers, 1 or more")] = 1
    max_open: Annotated[int, Meta(ge=1, le=1_000_000, description="open requests, 1 or more")] = 20_000
    retry_after_ms: Wait = 2000.0
    drain_grace_ms: Wait = 2500.0
    cold_from: Share = 0.15
    warm_after_ms: Wait = 20_000.0
    tip_multiple: Annotated[float, Meta(ge=1, le=100, description="a factor, 1 to 100")] = 3.0
    overload_for_ms: Span = 3000.0


class ServerTable(Struct, forbid_unknown_fields=True):
    """A ``[[host]]`` table: a server to which requests may be sent."""

    name: Text
    address: Address
    zone: str = ""
    kind: str = ""
    cell: Annotated[int, Meta(ge=0, le=65535, description="a whole number, 0 to 65535")] = 0
    draining: Annotated[bool, Meta(description="true or false")] = False


def read_site(source: Source) -> tuple[Config | None, list[ConfigProblem]]:
    """Returns the configuration in a file, or None and all problems of the file."""
    raw, problems = read_object(source)
    if raw is None:
        return None, problems
    try:
        watched = raw["discovery"] is not None
        return replace(parse(raw, source.path, watched=watched), paced=watched), []
    except ConfigError as error:
        return None, [ConfigProblem(source.path, 0, "", str(error))]


def read_object(source: Source) -> tuple[dict[str, Any] | None, list[ConfigProblem]]:
    """Returns the configuration as the platform's JSON object, or None and all problems of the file."""
    problems: list[ConfigProblem] = []

    def decode_table(kind: type[Any], table: Any, *key_path: str | int) -> Any:
        """Returns the struct of a table, or None if the table is invalid; adds the problems of the table."""
        decoded, wrong = decode(kind, table, source, key_path)
        problems.extend(wrong)
        return decoded

    serve = decode_table(ServeTable, source.table.get("serve", {}), "serve")
    site = decode_table(SiteTable, source.table.get("site", {}), "site")
    listed = source.table.get("host", [])
    if not isinstance(listed, list):
        problems.append(source.problem(("host",), "not a list of tables", "expected [[host]]"))
        listed = []
    servers = [decode_table(ServerTable, table, "host", number) for number, table in enumerate(listed)]
    classes = (
        [decode_table(SiteClassTable, t, "site", "class", n) for n, t in enumerate(site.classes)]
        if site is not None
        else []
    )
    if serve is not None:
        for key in ("listen", "operators", "discovery"):
            _check_address(getattr(serve, key), source, ("serve", key), problems)
        for number, peer in enumerate(serve.peers):
            _check_address(peer, source, ("serve", "peers", number), problems)
        if site is not None and serve.peers and len(serve.peers) != site.dispatchers:
            wrong = f"{len(serve.peers)} addresses are listed for {site.dispatchers} dispatchers"
            problems.append(
                source.problem(("serve", "peers"), wrong, "expected one for each, in the order of their positions")
            )
        if site is not None and serve.position >= site.dispatchers:
            wrong = f"{serve.position} is not a position of {site.dispatchers} dispatchers"
            problems.append(source.problem(("serve", "position"), wrong, f"expected 0 to {site.dispatchers - 1}"))
    names: set[str] = set()
    for number, server in enumerate(servers):
        if server is None:
            continue
        key_path: Keys = ("host", number)
        _check_address(server.address, source, (*key_path, "address"), problems)
        if server.name in names:
            problems.append(
                source.problem((*key_path, "name"), f"{server.name!r} is used twice", "expected a unique name")
            )
        names.add(server.name)
        for key, known in (("zone", site.zones), ("kind", site.kinds)) if site is not None else ():
            if getattr(server, key) not in ("", *known):
                wrong = f"{getattr(server, key)!r} is not a {key} of the site"
                problems.append(source.problem((*key_path, key), wrong, "expected one of " + ", ".join(known)))
    names = set()
    for number, request_class in enumerate(classes):
        if request_class is None:
            continue
        key_path = ("site", "class", number)
        if request_class.name in names:
            problems.append(
                source.problem((*key_path, "name"), f"{request_class.name!r} is used twice", "expected a unique name")
            )
        names.add(request_class.name)
        if request_class.aim_ms > request_class.deadline_ms:
            wrong = f"{request_class.aim_ms:g} ms is past the deadline"
            problems.append(
                source.problem((*key_path, "aim_ms"), wrong, f"expected at most {request_class.deadline_ms:g} ms")
            )
    if problems:
        return None, problems
    return _platform_object(serve, site, classes, servers), []


def _check_address(
    text: str | None, source: Source, key_path: tuple[str | int, ...], problems: list[ConfigProblem]
) -> None:
    try:
        if text is not None:
            split_address(text)
    except ValueError as error:
        problems.append(source.problem(key_path, str(error), "expected an address such as 127.0.0.1:8081"))


def _platform_object(
    serve: ServeTable, site: SiteTable, classes: list[SiteClassTable], servers: list[ServerTable]
) -> dict[str, Any]:
    """Returns the tables as the platform's JSON object."""
    class_objects = [
        {
            "name": request_class.name,
            "effect": request_class.effect,
            "goal_time": request_class.aim_ms,
            "deadline": request_class.deadline_ms,
            "worth": request_class.worth,
            "late_value": request_class.late_worth,
            "aim_stretch": request_class.stretch,
            "key_scope": request_class.key_scope,
            "repeat_window": request_class.repeat_window_ms,
        }
        for request_class in classes
    ]
    settings = {
        "lanes": class_objects,
        "zones": site.zones,
        "skus": site.kinds,
        "tick": 5.0,
        "discovery": "on_request" if serve.discovery else "pushed",
        "instances": site.dispatchers,
        "position": serve.position,
        "family_info": {"tells_start": site.tells_start, "progress": site.progress_every_ms},
        "limits": {
            "attempts_cap": site.attempts_cap,
            "second_copies": site.second_copies,
            "may_cancel": site.may_cancel,
            "dial_timeout": site.dial_timeout_ms,
            "conn_idle": site.conn_idle_ms,
            "max_open": site.max_open,
            "may_tell": bool(serve.peers),
            "halls": site.leave_halls,
            "retry_after": site.retry_after_ms > 0,
            "max_retry_after": site.retry_after_ms,
        },
        "safety": {
            "drain_grace": site.drain_grace_ms,
            "cold_from": site.cold_from,
            "warm_after": site.warm_after_ms,
            "tip_multiple": site.tip_multiple,
            "overload_for": site.overload_for_ms,
        },
    }
    instances = [
        {
            "instanceId": server.name,
            "hostPort": server.address,
            "zone": server.zone or site.zones[0],
            "machineType": server.kind or site.kinds[0],
            "cell": server.cell,
            "lifecycle": "leaving" if server.draining else "active",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for server in servers
    ]
    return {
        "name": serve.name,
        "listen": serve.listen,
        "discovery": serve.discovery,
        "admin_addr": serve.operators,
        "peers": serve.peers,
        "peer_listen": serve.peers[serve.position] if serve.peers else None,
        "limits": {"sockets": serve.sockets, "memory_mb": serve.memory_mb},
        "known": {"generation": 0 if serve.discovery else 1, "reset": True, "instances": instances},
        "settings": settings,
    }
