"""Counts in which state of a connection and at which moment of an upgrade a run moved or closed connections.

The counts are read from the logs of the processes. A cell without a count was never reached, so that what a set of runs
does not test shows.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from enum import Enum
from typing import Any

from heronlug.faults.upgrades.processes import RunningProcess

LAST_MOMENT_S = 3.0
"""Seconds after SIGTERM from which a process has little time left for answers."""


class ReachedState(Enum):
    """State of a client connection at its end in a process."""

    IDLE = "idle"
    HEAD_IN_PART = "head in part"
    BODY_IN_PART = "body in part"
    WAITING = "request waits or dials"
    SENT = "request at a server"
    MORE_BEHIND = "request with more behind it"
    LINGERING = "lingering"


class ReachedMoment(Enum):
    """Moment in the life of a process."""

    ALONE = "alone"
    SUCCESSOR_STARTS = "successor starts"
    SUCCESSOR_SERVES = "successor serves"
    STOPPING = "after SIGTERM"
    LAST_MOMENT = "last moment"


Cell = tuple[ReachedState, ReachedMoment]


def reached(processes: Sequence[RunningProcess]) -> Counter[Cell]:
    """Returns how many connections ended in a process in each state and moment, handed over or closed."""
    cells: Counter[Cell] = Counter()
    for number, process in enumerate(processes):
        lines = process.events
        successor_started_at = processes[number + 1].started_at if number + 1 < len(processes) else float("inf")
        serves_at = next((line["at"] for line in lines if line["event"] == "handed_over"), float("inf"))
        sent = {line["id"] for line in lines if line["event"] == "request_handed_over" and line["hosts"]}
        for line in lines:
            if line["event"] in ("client_closed", "client_dropped"):
                moment = _moment(line["at"], successor_started_at, serves_at, process.term_at or float("inf"))
                cells[_state(line, sent), moment] += 1
    return cells


def coverage_table(cells: Counter[Cell]) -> list[list[str]]:
    """Returns the counts as rows of text by state, with a column for each moment; ``-`` was never reached."""
    rows = [["state", *(moment.value for moment in ReachedMoment)]]
    for state in ReachedState:
        rows.append([state.value, *(str(cells[state, moment] or "-") for moment in ReachedMoment)])
    return rows


def total(counts: Iterable[Counter[Cell]]) -> Counter[Cell]:
    """Returns the sum of the counts of several runs."""
    return sum(counts, Counter())


def _moment(at: float, successor_started_at: float, serves_at: float, term_at: float) -> ReachedMoment:
    if at >= term_at + LAST_MOMENT_S:
        return ReachedMoment.LAST_MOMENT
    if at >= term_at:
        return ReachedMoment.STOPPING
    if at >= serves_at:
        return ReachedMoment.SUCCESSOR_SERVES
    return ReachedMoment.SUCCESSOR_STARTS if at >= successor_started_at else ReachedMoment.ALONE


def _state(line: dict[str, Any], sent: set[str]) -> ReachedState:
    reading = line["reading"]
    has_request = bool(line["id"])
    if has_request and (line["queued"] or reading != "between requests"):
        return ReachedState.MORE_BEHIND
    if has_request:
        return ReachedState.SENT if line["id"] in sent else ReachedState.WAITING
    if line["state"] == "lingering":
        return ReachedState.LINGERING
    if reading == "head":
        return ReachedState.HEAD_IN_PART
    return ReachedState.BODY_IN_PART if reading == "body" else ReachedState.IDLE
