"""Corrects stored times after a step of the wall clock between two processes.

Stored times are Unix times by the clock of the process that wrote them. A process follows the monotonic clock, so only
the start of another process can show a step. The file therefore holds the difference between both clocks, which is
comparable as long as the machine has not been booted again.
"""

import sqlite3
import time
from pathlib import Path

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
"""Identifies a boot of the machine (Linux only); without it, times are not corrected."""
MIN_STEP_MS = 50.0
"""Smallest step that is corrected, in ms."""

CREATE_CLOCK = "create table if not exists clock (boot_id text not null, offset_ms real not null)"
SELECT_CLOCK = "select boot_id, offset_ms from clock"
INSERT_CLOCK = "insert into clock values (?, ?)"
# A start in the future is a time on the wall clock, which the producer has given.
SHIFT_TIMES = """
update jobs set
    accepted_at = accepted_at + :step,
    due = case when due > 0 and due <= :before then due + :step else due end,
    delivered_at = case when delivered_at > 0 then delivered_at + :step else 0 end,
    ended_at = case when ended_at > 0 then ended_at + :step else 0 end
"""


def follow_clock(connection: sqlite3.Connection, now_ms: float) -> float:
    """Corrects the stored times if the wall clock was stepped since the last process, and records the clock.

    Args:
        connection: connection to the store file, in autocommit mode.
        now_ms: Unix time in ms by the clock of this process.

    Returns:
        The step of the clock in ms; 0 if there was none or if it cannot be known.

    Raises:
        sqlite3.Error: if the file cannot be written.
    """
    offset_ms = now_ms - time.monotonic_ns() / 1e6
    boot_id = _boot_id()
    connection.execute("begin immediate")
    connection.execute(CREATE_CLOCK)
    recorded = connection.execute(SELECT_CLOCK).fetchone()
    comparable = recorded is not None and boot_id and recorded[0] == boot_id
    step_ms = offset_ms - recorded[1] if comparable else 0.0
    if abs(step_ms) >= MIN_STEP_MS:
        connection.execute(SHIFT_TIMES, {"step": step_ms, "before": now_ms - step_ms})
    if not comparable or abs(step_ms) >= MIN_STEP_MS:
        connection.execute("delete from clock")
        connection.execute(INSERT_CLOCK, (boot_id, offset_ms))
    connection.execute("commit")
    return step_ms if abs(step_ms) >= MIN_STEP_MS else 0.0


def _boot_id() -> str:
    """Returns the id of this boot of the machine; empty if the system gives none."""
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""
