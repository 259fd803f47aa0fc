"""Checks the logs of all processes of one dispatcher: every accepted request has exactly one end.

A request ends with its answer, or because its client has gone. A request that one process hands over must be adopted
by another process, where it has its end. The checker needs logs of level ``debug``.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

LOG_LOSS_WINDOW_S = 0.2
"""Seconds before the end of a truncated log for which lines may be missing."""
BEGINNINGS = frozenset({"taken", "request_adopted"})
"""Events that begin a request in a process."""
ENDS = frozenset({"answer", "client_gone", "request_handed_over"})
"""Events that end a request in a process."""
FAULTS = frozenset({"client_dropped", "exception"})
"""Events that are always a fault."""


@dataclass(frozen=True)
class ProcessLog:
    """The log of one process.

    Attributes:
        name: Name of the process in the findings.
        lines: Log lines in the order of the log.
        killed: Whether the process was killed outright, so that its requests may have no end.
        truncated: Whether the last lines of the log may have been lost with the process.
    """

    name: str
    lines: Sequence[dict[str, Any]]
    killed: bool = False
    truncated: bool = False

    def may_lack_end(self, beginning: dict[str, Any]) -> bool:
        """Returns whether the end of a request that begins with this line may be missing from the log."""
        return self.killed or (self.truncated and beginning["at"] >= self.lines[-1]["at"] - LOG_LOSS_WINDOW_S)


def check_process_logs(logs: Iterable[ProcessLog]) -> list[str]:
    """Returns a line for each violation in the logs of all processes of one dispatcher."""
    logs = list(logs)
    findings = [finding for log in logs for finding in _check_process(log)]
    return [*findings, *_check_handovers(logs)]


def _check_process(log: ProcessLog) -> list[str]:
    """Returns the violations that the log of one process shows by itself."""
    began: dict[int, dict[str, Any]] = {}
    ends: Counter[int] = Counter()
    findings = []
    for line in log.lines:
        event = line["event"]
        if event in BEGINNINGS:
            began[line["message"]] = line
        elif event in ENDS:
            ends[line["message"]] += 1
            if line["message"] not in began:
                findings.append(f"{log.name}: request {line['id']} ended but never began: {event}")
        elif event in FAULTS:
            findings.append(f"{log.name}: {line}")
    findings += [
        f"{log.name}: request {began[message]['id']} had {count} ends"
        for message, count in ends.items()
        if count > 1 and message in began
    ]
    findings += [
        f"{log.name}: request {line['id']} had no end"
        for message, line in began.items()
        if not ends[message] and not log.may_lack_end(line)
    ]
    return findings


def _check_handovers(logs: Sequence[ProcessLog]) -> list[str]:
    """Returns a line for each request that was handed over and not adopted, or adopted but not handed over."""
    handed_over: Counter[str] = Counter()
    adopted: Counter[str] = Counter()
    killed = any(log.killed for log in logs)
    for log in logs:
        handed_over.update(line["id"] for line in log.lines if line["event"] == "request_handed_over")
        adopted.update(line["id"] for line in log.lines if line["event"] == "request_adopted")
    if killed:
        adopted |= handed_over  # the log of a killed process may lack its last lines
    findings = [
        f"request {name} was handed over {count} times and adopted {adopted[name]} times"
        for name, count in handed_over.items()
        if adopted[name] < count
    ]
    findings += [
        f"request {name} was adopted {count} times and handed over {handed_over[name]} times"
        for name, count in adopted.items()
        if handed_over[name] < count and not killed
    ]
    return findings
