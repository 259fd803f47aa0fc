"""Tests the account of memory, and what the log and the metrics tell of it."""

from typing import Any
from unittest import mock

import pytest

from heronlug.lifecycle import memory_monitor
from heronlug.lifecycle.memory_monitor import MemoryMonitor
from heronlug.lifecycle.operations import memory_metrics
from heronlug.memory.account import MemoryAccount, MemoryShortError, Pressure, Reservation
from heronlug.memory.holders import Holder
from heronlug.memory.limits import MB
from heronlug.requests.deadlines import Deadlines

HOLDER = Holder.CLIENT_REQUESTS


class RecordedLog:
    """An event log that keeps its lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def __call__(self, event: str, /, **fields: object) -> None:
        self.lines.append((event, fields))


def test_reservation_above_the_limit_reserves_nothing_and_is_counted() -> None:
    """Guards against bytes that stay reserved after a refusal, and against a refusal without its holder."""
    account = MemoryAccount(100)
    reservation = Reservation(account, HOLDER)
    reservation.grow(90)
    with pytest.raises(MemoryShortError):
        reservation.grow(11)
    assert (reservation.size, account.used, account.refusals[HOLDER]) == (90, 90, 1)


def test_reservation_is_released_once() -> None:
    """Guards against bytes of others that a second release gives back."""
    account = MemoryAccount(100)
    first, second = Reservation(account, HOLDER), Reservation(account, HOLDER)
    first.grow(40)
    second.grow(40)
    first.release()
    first.release()
    assert account.by_holder[HOLDER] == account.used == 40


def test_relieved_memory_goes_to_who_needs_it() -> None:
    """Guards against a refusal although another owner has just released its memory."""
    account = MemoryAccount(100)
    large, small = Reservation(account, HOLDER), Reservation(account, HOLDER)
    large.grow(95)
    account.relieve = lambda missing, requester, size: large.release()
    small.grow(10, requester=small)
    assert (large.size, small.size, account.used) == (0, 10, 10)


def test_share_leaves_the_rest_of_the_limit_to_small_requests() -> None:
    """Guards against large requests that take all memory, so that no small one fits."""
    account = MemoryAccount(100)
    with pytest.raises(MemoryShortError):
        account.reserve(HOLDER, 80, share=0.75)
    account.reserve(HOLDER, 70, share=0.75)
    account.reserve(HOLDER, 30)
    assert account.used == 100


def test_each_change_of_pressure_is_logged_once_with_its_holders() -> None:
    """Guards against an end by memory of which the log says nothing, and against a line at each reservation."""
    log = RecordedLog()
    account = MemoryAccount(1000)
    MemoryMonitor(account, 192, Deadlines(lambda: 0.0), log)
    for size in (500, 100, 10, -50, 60, 300, -300, -200, -420):
        account.hold(HOLDER, size)
    assert [(fields["before"], fields["state"]) for _, fields in log.lines] == [
        ("calm", "short"),
        ("short", "full"),
        ("full", "short"),
        ("short", "calm"),
    ]
    assert {event for event, _ in log.lines} == {"memory_pressure"}
    assert log.lines[0][1]["by_holder"] == {HOLDER.value: 600}
    assert account.pressure is Pressure.CALM


def test_resident_memory_near_the_limit_is_logged_at_each_further_step() -> None:
    """Guards against a process that passes its limit by memory that no holder accounts for, without a line."""
    log = RecordedLog()
    time_ms = 0.0
    deadlines = Deadlines(lambda: time_ms)
    monitor = MemoryMonitor(MemoryAccount(1000), 100, deadlines, log)
    with mock.patch.object(memory_monitor, "resident_bytes") as resident:
        resident.return_value = 80 * MB
        monitor.start()
        for size in (86, 87, 92, 60, 86):
            resident.return_value = size * MB
            time_ms += 1000.0
            deadlines.run_due()
    assert [event for event, _ in log.lines] == ["memory_near_limit"] * 3


def test_metrics_name_every_holder() -> None:
    """Guards against a holder that operators cannot see."""
    text = memory_metrics(MemoryAccount(1000), 192)
    assert all(f'svc_memory_held{{holder="{holder.value}"}} 0' in text for holder in Holder)
    assert "\nsvc_memory_limit 201326592\n" in text
