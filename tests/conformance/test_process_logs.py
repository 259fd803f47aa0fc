"""Tests that the checker of process logs reports each request that has no end or more than one."""

from typing import Any

import pytest

from heronlug.conformance.process_logs import ProcessLog, check_process_logs

TAKEN = {"event": "taken", "message": 1, "id": "t1"}
ANSWER = {"event": "answer", "message": 1, "id": "t1"}
GONE = {"event": "client_gone", "message": 1, "id": "t1"}
HANDED_OVER = {"event": "request_handed_over", "message": 1, "id": "t1"}
ADOPTED = {"event": "request_adopted", "message": 1, "id": "t1"}
DROPPED = {"event": "client_dropped", "message": 1, "id": "t1"}


def findings(*logs: list[dict[str, Any]], killed: bool = False) -> int:
    """Returns the number of findings in the logs, of which the first is from a killed process if ``killed``."""
    return len(
        check_process_logs(
            ProcessLog(f"process {number}", lines, killed and number == 0) for number, lines in enumerate(logs)
        )
    )


@pytest.mark.parametrize(
    "logs", [([TAKEN, ANSWER],), ([TAKEN, GONE],), ([TAKEN, HANDED_OVER], [ADOPTED, ANSWER]), ([], [])]
)
def test_requests_with_one_end_are_no_finding(logs: tuple[list[dict[str, Any]], ...]) -> None:
    """Guards against findings in the logs of a correct run."""
    assert not findings(*logs)


@pytest.mark.parametrize(
    ("logs", "count"),
    [
        (([TAKEN],), 1),
        (([TAKEN, ANSWER, ANSWER],), 1),
        (([ANSWER],), 1),
        (([TAKEN, DROPPED, GONE],), 1),
        (([TAKEN, HANDED_OVER], []), 1),
        (([TAKEN, HANDED_OVER], [ADOPTED]), 1),
        (([TAKEN, ANSWER], [ADOPTED, ANSWER]), 1),
        (([TAKEN, HANDED_OVER], [ADOPTED, ANSWER], [ADOPTED, ANSWER]), 1),
    ],
)
def test_each_request_without_exactly_one_end_is_a_finding(logs: tuple[list[dict[str, Any]], ...], count: int) -> None:
    """Guards against a lost, repeated or dropped request that the checker overlooks."""
    assert findings(*logs) == count


def test_only_the_last_lines_of_a_truncated_log_may_be_missing() -> None:
    """Guards against a request without an end that counts as lost with the last lines of the log."""
    lines = [TAKEN | {"at": 9.9, "message": 2}, {"event": "late_turn", "at": 10.0}]
    assert not check_process_logs([ProcessLog("process", lines, truncated=True)])
    assert len(check_process_logs([ProcessLog("process", [TAKEN | {"at": 9.0}, *lines], truncated=True)])) == 1


def test_requests_of_a_killed_process_may_have_no_end() -> None:
    """Guards against findings for requests that ended with a process that was killed outright."""
    assert not findings([TAKEN], killed=True)
    assert findings([TAKEN, ANSWER, ANSWER], killed=True) == 1
