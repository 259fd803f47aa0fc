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
    classes = {table.name: table for table in scenario.classes}
    work_draws = {name: Draws(distribution(table.work), stream(seed, "work", name)) for name, table in classes.items()}
    span = scenario.span_s * 1000

    def arrivals_of_table(number: int, arrivals: Arrivals) -> Iterator[tuple[float, int, str]]:
        for due_at in arrival_times(arrivals, seed, number, span, scenario.folder):
            yield due_at, number, arrivals.lane

    for due_at, _, name in heapq.merge(*(arrivals_of_table(*each) for each in enumerate(scenario.arrivals))):
        yield PlannedRequest(due_at, classes[name], work_draws[name].next())


def loopback(address: str) -> tuple[str, int]:
    """Host and port; raises ``ValueError`` for an address that is not this machine's own."""
    host, port = split_address(address)
    try:
        is_loopback = host == "localhost" or ipaddress.ip_address(host).is_loopback
    except ValueError:
        is_loopback = False
    if not is_loopback:
        msg = f"{address}: load goes to loopback addresses alone"
        raise ValueError(msg)
    return host, port
