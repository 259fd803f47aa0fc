"""Tests how a log line of a closed connection counts as a state and a moment of an upgrade."""

import json
from pathlib import Path
from typing import Any, cast

import pytest

from heronlug.faults.upgrades.coverage import ReachedMoment, ReachedState, coverage_table, reached
from heronlug.faults.upgrades.processes import RunningProcess

CLOSED = {"event": "client_closed", "state": "idle", "why": "handed_over", "id": "", "queued": 0}
IDLE = {**CLOSED, "reading": "between requests"}


@pytest.mark.parametrize(
    ("line", "at", "cell"),
    [
        (IDLE, 1.0, (ReachedState.IDLE, ReachedMoment.ALONE)),
        (IDLE | {"reading": "head"}, 2.5, (ReachedState.HEAD_IN_PART, ReachedMoment.SUCCESSOR_STARTS)),
        (IDLE | {"reading": "body"}, 3.5, (ReachedState.BODY_IN_PART, ReachedMoment.SUCCESSOR_SERVES)),
        (IDLE | {"id": "sent"}, 4.5, (ReachedState.SENT, ReachedMoment.STOPPING)),
        (IDLE | {"id": "t2"}, 7.5, (ReachedState.WAITING, ReachedMoment.LAST_MOMENT)),
        (IDLE | {"id": "sent", "queued": 1}, 4.5, (ReachedState.MORE_BEHIND, ReachedMoment.STOPPING)),
        (IDLE | {"state": "lingering"}, 4.5, (ReachedState.LINGERING, ReachedMoment.STOPPING)),
    ],
)
def test_closed_connection_counts_in_its_state_and_moment(
    tmp_path: Path, line: dict[str, Any], at: float, cell: tuple[ReachedState, ReachedMoment]
) -> None:
    """Guards against a cell that seems to be covered although no run has reached it."""
    lines = [
        {"event": "handed_over", "at": 3.0},
        {"event": "request_handed_over", "at": 3.0, "id": "sent", "hosts": ["h1"]},
        line | {"at": at},
    ]
    log = tmp_path / "log"
    log.write_text("".join(json.dumps(each) + "\n" for each in lines))
    process = RunningProcess(0, cast(Any, None), log, 0.0, term_at=4.0)
    empty = tmp_path / "empty"
    empty.write_text("")
    cells = reached([process, RunningProcess(1, cast(Any, None), empty, 2.0)])
    assert list(cells.elements()) == [cell]
    assert sum(text == "1" for row in coverage_table(cells) for text in row) == 1
