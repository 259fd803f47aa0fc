"""Plans the requests of a load run: the same requests as in the emulator for a scenario and a seed."""

import heapq
import ipaddress
from collections.abc import Iterator
from typing import NamedTuple

from heronlug.emulator.clients import arrival_times
from heronlug.emulator.draws import Draws, distribution, stream
from heronlug.emulator.scenario import Arrivals, ClassTable, Scenario
from heronlug.net.http import split_address


class PlannedRequest(NamedTuple):
    """A request that is due at a time.

    Attributes:
        due_at: due time in ms from the start of the run.
        request_class: request class of the scenario.
        work_ms: execution time in ms at speed 1.
    """

    due_at: float
    request_class: ClassTable
    work_ms: float


def plan(scenario: Scenario, seed: int) -> Iterator[PlannedRequest]:
    """Yields all requests of a scenario in order of their due times."""
    classes = {table.name: table for table in scenario.classes}
    work_draws = {name: Draws(distribution(table.work), stream(seed, "work", name)) for name, table in classes.items()}
    span = scenario.span_s * 1000

    def arrivals_of_table(number: int, arrivals: Arrivals) -> Iterator[tuple[float, int, str]]:
        for due_at in arrival_times(arrivals, seed, number, span, scenario.folder):
            yield due_at, number, arrivals.class_name

    for due_at, _, name in heapq.merge(*(arrivals_of_table(*each) for each in enumerate(scenario.arrivals))):
        yield PlannedRequest(due_at, classes[name], work_draws[name].next())


def loopback(address: str) -> tuple[str, int]:
    """Returns host and port of a loopback address.

    Raises:
        ValueError: if the address is malformed or not a loopback address.
    """
    host, port = split_address(address)
    try:
        is_loopback = host == "localhost" or ipaddress.ip_address(host).is_loopback
    except ValueError:
        is_loopback = False
    if not is_loopback:
        msg = f"{address} is not a loopback address: load is sent only to loopback"
        raise ValueError(msg)
    return host, port
