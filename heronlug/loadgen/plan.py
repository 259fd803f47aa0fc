"""What is due when: the very jobs that the emulator gives out for a scenario and a seed."""

import heapq
import ipaddress
from collections.abc import Iterator
from typing import NamedTuple

from heronlug.emulator.clients import arrival_times
from heronlug.emulator.draws import Draws, distribution, stream
from heronlug.emulator.scenario import Arrivals, ClassTable, Scenario
from heronlug.net.http import split_address


class PlannedRequest(NamedTuple):
    """One job."""

    due_at: float  # ms from the start
    request_class: ClassTable
    work_ms: float  # ms at speed 1


def plan(scenario: Scenario, seed: int) -> Iterator[PlannedRequest]:
    """All jobs, in order."""
    lanes = {lane.name: lane for lane in scenario.classes}
    works = {name: Draws(distribution(lane.work), stream(seed, "work", name)) for name, lane in lanes.items()}
    span = scenario.span_s * 1000

    def come(number: int, arrivals: Arrivals) -> Iterator[tuple[float, int, str]]:
        for when in arrival_times(arrivals, seed, number, span, scenario.folder):
            yield when, number, arrivals.lane

    for when, _, name in heapq.merge(*(come(*each) for each in enumerate(scenario.arrivals))):
        yield PlannedRequest(when, lanes[name], works[name].next())


def loopback(address: str) -> tuple[str, int]:
    """Host and port; raises ``ValueError`` for an address that is not this machine's own."""
    host, port = split_address(address)
    try:
        ours = host == "localhost" or ipaddress.ip_address(host).is_loopback
    except ValueError:
        ours = False
    if not ours:
        msg = f"{address}: load goes to loopback addresses alone"
        raise ValueError(msg)
    return host, port
