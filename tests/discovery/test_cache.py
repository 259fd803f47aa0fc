"""Tests the cached endpoint list: unusable caches are rejected with the reason, and writes are rare but complete."""

import asyncio
from hashlib import blake2b
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heronlug.discovery.cache import (
    CHECKSUM_BYTES,
    MAX_CLOCK_STEP_MS,
    CacheError,
    WriteSchedule,
    decode_cache,
    encode_cache,
)
from heronlug.discovery.cache_file import CacheFile
from heronlug.requests.deadlines import Deadlines

TABLE = {"generation": 41, "reset": True, "instances": [{"instanceId": "s1"}]}
NOT_JSON = blake2b(b"{", digest_size=CHECKSUM_BYTES).hexdigest().encode() + b"\n{"
DATA = encode_cache("10.0.0.1:8500", 1_000_000.0, TABLE)


def test_written_cache_is_read() -> None:
    cached = decode_cache(DATA, "10.0.0.1:8500", 1_000_500.0, 1000.0)
    assert cached.table == TABLE
    assert cached.written_at == 1_000_000.0


@pytest.mark.parametrize(
    ("data", "address", "now", "reason"),
    [
        (DATA[:-3], "10.0.0.1:8500", 1_000_500.0, "checksum does not match"),
        (DATA[40:], "10.0.0.1:8500", 1_000_500.0, "checksum does not match"),
        (b"", "10.0.0.1:8500", 1_000_500.0, "checksum does not match"),
        (DATA, "10.0.0.2:8500", 1_000_500.0, "another service discovery, 10.0.0.1:8500"),
        (DATA, "10.0.0.1:8500", 1_002_000.0, "too old: written 2 s ago"),
        (DATA, "10.0.0.1:8500", 1_000_000.0 - MAX_CLOCK_STEP_MS - 1000, "dated in the future: written 61 s after now"),
        (encode_cache("10.0.0.1:8500", 1e6, [1]), "10.0.0.1:8500", 1e6, "a valid list"),  # type: ignore[arg-type]
        (NOT_JSON, "10.0.0.1:8500", 1e6, "no valid JSON"),
    ],
)
def test_unusable_cache_is_rejected_with_the_reason(data: bytes, address: str, now: float, reason: str) -> None:
    """Guards against starting with a damaged, outdated or foreign list, and against a rejection without its reason."""
    with pytest.raises(CacheError, match=reason):
        decode_cache(data, address, now, 1000.0)


@given(st.integers(0, len(DATA) - 1), st.integers(1, 255))
def test_changed_byte_is_detected(index: int, change: int) -> None:
    """Guards against using a cache in which a disk error has changed one byte."""
    data = bytearray(DATA)
    data[index] ^= change
    with pytest.raises(CacheError):
        decode_cache(bytes(data), "10.0.0.1:8500", 1_000_500.0, 1000.0)


@given(st.lists(st.tuples(st.floats(0, 3000), st.sampled_from("cwd")), max_size=60))
def test_writes_are_rare_and_the_last_change_is_written(steps: list[tuple[float, str]]) -> None:
    """Guards against writes in quick succession, and against losing a change made between two writes.

    Each step waits some ms, then changes the list ("c") or only runs the writes that are due ("w", "d").
    """
    schedule, now, planned = WriteSchedule(interval=5000.0), 0.0, list[float]()
    began, changed_at, written_at = list[float](), -1.0, -1.0

    def plan(when: float | None) -> None:
        if when is not None:
            planned.append(when)

    def begin() -> None:
        nonlocal written_at
        if schedule.begin(now):
            began.append(now)
            written_at = now
            plan(schedule.end(now))

    for wait, action in [*steps, (20_000.0, "w"), (20_000.0, "w")]:
        now += wait
        while planned and min(planned) <= now:
            planned.remove(min(planned))
            begin()
        if action == "c":
            changed_at = now
            plan(schedule.on_change(now))
    assert written_at >= changed_at
    assert all(b - a >= 5000.0 for a, b in pairwise(began))


def test_failed_write_is_logged_and_keeps_the_old_file(tmp_path: Path) -> None:
    """Guards against a failed write that stops the dispatcher, leaves a temporary file or goes unreported."""
    logged: list[tuple[str, dict[str, Any]]] = []

    def log(event: str, /, **fields: object) -> None:
        logged.append((event, fields))

    async def run() -> None:
        deadlines = Deadlines(lambda: 1_000_000.0)

        def cache_file(path: Path) -> CacheFile:
            return CacheFile(str(path), 1e9, lambda: "r", lambda: TABLE, deadlines, log)

        cache = cache_file(tmp_path / "list")
        assert cache.load() is None
        assert not logged
        cache.on_change()
        await cache.close()
        assert cache.load() == TABLE
        unwritable_cache = cache_file(tmp_path / "nowhere" / "list")
        unwritable_cache.on_change()
        await unwritable_cache.close()
        (tmp_path / "list").write_bytes(b"x")
        assert cache.load() is None

    asyncio.run(run())
    assert [event for event, _ in logged] == ["kept_list", "kept_list_not_written", "kept_list_refused"]
    assert sorted(path.name for path in tmp_path.iterdir()) == ["list"]
