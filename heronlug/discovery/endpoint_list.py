"""The list of servers in service discovery's own form: read whole or not at all, and written for a next process."""

import math
from collections.abc import Callable, Mapping
from typing import Any

from heronlug.balancer.events import ServerState
from heronlug.net import http
from heronlug.requests.model import ListedServer

STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.REMOVED}


class EndpointListError(ValueError):
    """An answer that is no list; what was held stays."""


def read_list(
    table: Any, zones: list[str], kinds: list[str], to_clock: Callable[[float], float]
) -> tuple[int, bool, list[ListedServer]]:
    """Version, whether it is the whole list, and the entries; raises :class:`EndpointListError`.

    All or nothing: half of a list taken in would tell hosts off that are well.
    """
    try:
        version, whole = table["generation"], table["reset"]
        if type(version) is not int or type(whole) is not bool:
            raise EndpointListError("generation or reset is of the wrong type")
        entries = [_entry(line, zones, kinds, to_clock) for line in table["instances"]]
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise EndpointListError(f"{type(error).__name__}: {error}") from None
    return version, whole, entries


def _index(names: list[str], name: object) -> int:
    """The place of a zone or kind among the settings' names; an unknown one is none of ours."""
    return names.index(str(name)) if str(name) in names else len(names)


def _entry(
    line: Mapping[str, Any], zones: list[str], kinds: list[str], to_clock: Callable[[float], float]
) -> ListedServer:
    started, weight = float(line.get("startedAtMs", 0)), float(line.get("weight", 1.0))
    if not (math.isfinite(started) and math.isfinite(weight)):
        raise EndpointListError("a figure is not finite")
    address = line["hostPort"]
    http.split_address(address)
    return ListedServer(
        name=str(line["instanceId"]),
        address=address,
        state=STATES[line["lifecycle"]],
        zone=_index(zones, line.get("zone")),
        kind=_index(kinds, line.get("machineType")),
        cell=int(line.get("cell", 0)),
        weight=weight,
        started_at=to_clock(started) if started else 0.0,  # 0 is 'long ago' on every clock
    )


def write_list(
    version: int, entries: list[ListedServer], zones: list[str], kinds: list[str], gone: bool = False
) -> dict[str, Any]:
    """A whole list in the form that is read here; who is gone is on it only if so wanted."""
    words, listed = {state: word for word, state in STATES.items()}, []
    for entry in entries:
        if gone or entry.state is not ServerState.REMOVED:
            listed.append(
                {
                    "instanceId": entry.name,
                    "hostPort": entry.address,
                    "lifecycle": words[entry.state],
                    "zone": zones[entry.zone] if entry.zone < len(zones) else None,
                    "machineType": kinds[entry.kind] if entry.kind < len(kinds) else None,
                    "cell": entry.cell,
                    "weight": entry.weight,
                    "startedAtMs": entry.started_at,
                }
            )
    return {"generation": version, "reset": True, "instances": listed}
