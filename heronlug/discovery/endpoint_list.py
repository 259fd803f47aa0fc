"""Converts endpoint lists from and to the JSON form of service discovery."""

import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from heronlug.balancer.events import ServerState
from heronlug.discovery.errors import DiscoveryError
from heronlug.net import http
from heronlug.requests.model import ListedServer

STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.REMOVED}
"""Server states by the ``lifecycle`` values of the protocol."""


class EndpointListError(DiscoveryError, ValueError):
    """Raised if an answer is not a valid endpoint list; the current list stays in use."""


class EndpointList(NamedTuple):
    """A complete endpoint list, or the changes since an earlier version.

    Attributes:
        version: Version of the list once these entries are applied.
        complete: Whether ``servers`` contains every server; otherwise only the changed ones.
        servers: The listed servers.
    """

    version: int
    complete: bool
    servers: list[ListedServer]


def read_list(table: Any, zones: list[str], kinds: list[str], to_clock: Callable[[float], float]) -> EndpointList:
    """Parses a decoded endpoint list.

    One invalid row makes the whole list invalid, because a partial list would remove healthy servers.

    Args:
        table: The decoded JSON.
        zones: Zone names, in the order of their numbers.
        kinds: Machine types, in the order of their numbers.
        to_clock: Converts Unix time in ms to time on the caller's clock.

    Raises:
        EndpointListError: ``table`` is not a valid endpoint list.
    """
    try:
        version = table["generation"]
        complete = table["reset"]
        if type(version) is not int or type(complete) is not bool:
            msg = "generation must be an integer and reset a boolean"
            raise EndpointListError(msg)
        servers = [_read_server(row, zones, kinds, to_clock) for row in table["instances"]]
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        msg = f"{type(error).__name__}: {error}"
        raise EndpointListError(msg) from error
    return EndpointList(version, complete, servers)


def write_list(
    version: int, servers: list[ListedServer], zones: list[str], kinds: list[str], with_removed: bool = False
) -> dict[str, Any]:
    """Returns a complete list in the form that :func:`read_list` accepts.

    Args:
        version: Version of the list.
        servers: The servers to write.
        zones: Zone names, in the order of their numbers.
        kinds: Machine types, in the order of their numbers.
        with_removed: Whether to include removed servers.
    """
    lifecycle_names = {state: lifecycle for lifecycle, state in STATES.items()}
    rows = [
        {
            "instanceId": server.name,
            "hostPort": server.address,
            "lifecycle": lifecycle_names[server.state],
            "zone": zones[server.zone] if server.zone < len(zones) else None,
            "machineType": kinds[server.kind] if server.kind < len(kinds) else None,
            "cell": server.cell,
            "weight": server.weight,
            "startedAtMs": server.started_at,
        }
        for server in servers
        if with_removed or server.state is not ServerState.REMOVED
    ]
    return {"generation": version, "reset": True, "instances": rows}


def _read_server(
    row: Mapping[str, Any], zones: list[str], kinds: list[str], to_clock: Callable[[float], float]
) -> ListedServer:
    started_at = float(row.get("startedAtMs", 0))
    weight = float(row.get("weight", 1.0))
    if not (math.isfinite(started_at) and math.isfinite(weight)):
        msg = "startedAtMs and weight must be finite numbers"
        raise EndpointListError(msg)
    address = row["hostPort"]
    http.split_address(address)
    return ListedServer(
        name=str(row["instanceId"]),
        address=address,
        state=STATES[row["lifecycle"]],
        zone=_name_index(zones, row.get("zone")),
        kind=_name_index(kinds, row.get("machineType")),
        cell=int(row.get("cell", 0)),
        weight=weight,
        started_at=to_clock(started_at) if started_at else 0.0,  # 0 means a start long ago on every clock
    )


def _name_index(names: list[str], name: object) -> int:
    """Returns the number of a zone or machine type; an unknown name gets the number after the last."""
    return names.index(str(name)) if str(name) in names else len(names)
