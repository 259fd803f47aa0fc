"""The wire: worked frames, settings, malformed input, and the host as a process."""

import json
import struct
import subprocess
import sys
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronlug.adapter.frames import (
    HEADER,
    Reply,
    Spawn,
    WireError,
    decode_events,
    decode_header,
)
from heronlug.adapter.host import InstanceHost
from heronlug.balancer.actions import (
    CancelAttempt,
    Fail,
    LogLine,
    Reject,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    Subscribe,
)
from heronlug.balancer.events import (
    AnswerStarted,
    AttemptProgress,
    ClientGone,
    ListKind,
    Outcome,
    PeerMessage,
    ProgressKind,
    RequestArrived,
    ServerEntry,
    TimerFired,
)
from heronlug.balancer.settings import Effect, KeyScope
from heronlug.config.settings_json import parse_settings

CONF: dict[str, Any] = {
    "instances": 2,
    "lanes": [
        {"deadline": 5000.0, "effect": "once", "goal_time": 400.0, "worth": 2.0, "new_key": 1},
        {"deadline": 900.0, "effect": "by_key", "goal_time": 100.0, "key_scope": "cell", "repeat_window": 75},
    ],
    "family_info": {"class_stretch": [1.75, 2.0], "class_kind": [-1, 1], "tells_start": True},
    "limits": {"attempts_cap": 4, "second_copies": True, "may_cancel": True},
    "load_report": {"fields": ["tps", "x0"], "how": "answers"},
    "customers": [{"name": "a", "quota_per_s": 8.0}],
    "safety": {"cold_from": 0.13, "warm_after": 22000.0, "tip_multiple": 4.0, "overload_for": 1500.0},
    "goal": {"whole": 0.6, "worst_class": 0.3, "worst_window": 0.3},
    "penalties": {"cross_zone": 0.01},
    "discovery": "on_request",
    "tick": 2.0,
    "zones": ["x", "y"],
}
CLOCK = "40c06e2000000000"


def frame(records: list[str], tail: bytes = b"", size: int = 56, clock: str = CLOCK) -> bytes:
    """A frame of records given as hexadecimal text."""
    body = b"".join(bytes.fromhex(r.replace(" ", "")).ljust(size, b"\0") for r in records)
    return struct.pack(">II", len(records), len(body) + len(tail)) + bytes.fromhex(clock) + body + tail


def events_of(data: bytes) -> list[tuple[int, Any]]:
    count, length, _ = decode_header(data[: HEADER.size])
    assert length == len(data) - HEADER.size
    return list(decode_events(count, data[HEADER.size :]))


def test_worked_batch() -> None:
    request = "01 00000003 0007d1245d3a91c4 40000000 4028000000000000 91f03b7c55d20a64 0000"
    request += "40c0e62000000000 00 00000000 01"
    reminder, aborted = "07 00000003 000000000000004d", "0a 00000005 0001788b0e6f2b19"
    job, timer, gone = events_of(frame([request, reminder, aborted]))
    arrived = RequestArrived(0x7D1245D3A91C4, 0, 8652.25, slots=2.0, work_hint=12.0, tenant=0, key=0x91F03B7C55D20A64)
    assert job == (3, arrived)
    assert timer == (3, TimerFired(77))
    assert gone == (5, ClientGone(0x1788B0E6F2B19))


def test_worked_outcome_note_peer_probe_and_start_of_answer() -> None:
    records = [
        "08 00000003 0007d1245d3a91c4 00 00 0001 4032800000000000 01 03124a07 03 430c0000 40400000 3ecccccd",
        "02 00000003 0007d1245d3a91c4 00 03124a07 01 3f000000",
        "03 00000003 0002 00000000 00000004",
        "09 00000003 2c9011f2 0001 3ff6666666666666 03 430c0000 40400000 3ecccccd 00000000",
        "0b 00000003 0007d1245d3a91c4 03124a07 4022800000000000 00",
        "63 00000003",
    ]
    ended, note, peer, probed, begun = (event for _, event in events_of(frame(records, b"hi 7")))
    assert ended[:6] == (0x7D1245D3A91C4, 0, 0x03124A07, Outcome.SERVED, 18.5, True)
    assert ended.report == pytest.approx((140.0, 3.0, 0.4))
    assert note == AttemptProgress(0x7D1245D3A91C4, 0, 0x03124A07, ProgressKind.STARTED, 0.5)
    assert peer == PeerMessage(2, b"hi 7")
    assert probed.server == 0x2C9011F2
    assert probed.latency == pytest.approx(1.4)
    assert begun == AnswerStarted(0x7D1245D3A91C4, 0, 0x03124A07, 9.25)


def test_worked_list() -> None:
    tail = "3f800000 00 0000 0000 03124a07 01 0000000000000000"
    tail += "3fc00000 00 0001 0000 2c9011f2 01 40b7d40000000000"
    data = frame(["04 00000003 00 0000000000000029 00000000 00000002"], bytes.fromhex(tail.replace(" ", "")))
    [(instance, news)] = events_of(data)
    assert instance == 3
    assert news.kind is ListKind.CACHED
    assert news.entries == (
        ServerEntry(0x03124A07),
        ServerEntry(0x2C9011F2, zone=1, weight=1.5, started_at=6100.0),
    )


def test_worked_reply() -> None:
    reply = Reply()
    reply.add(3, StartAttempt(0x7D1245D3A91C4, 0x03124A07))
    reply.add(3, SetTimer(500.0, 77))
    reply.add(5, LogLine("two servers known"))
    expected = frame(
        [
            "01 00000003 0007d1245d3a91c4 03124a07 0000000000000000",
            "05 00000003 407f400000000000 000000000000004d",
            "09 00000005 00000000 00000011",
        ],
        b"two servers known",
        size=32,
    )
    assert reply.encode() == expected[:8] + expected[16:]


def test_other_actions() -> None:
    reply = Reply()
    reply.add(3, Reject(7))
    reply.add(3, Fail(8))
    reply.add(3, CancelAttempt(9, 2))
    reply.add(3, SendPeerMessage(b"hi"))
    reply.add(3, Subscribe())
    data = reply.encode()
    records = [data[8 + i * 32 : 40 + i * 32] for i in range(5)]
    assert [record[0] for record in records] == [2, 3, 4, 8, 11]
    assert records[2][13] == 2
    assert records[3][5:9] == b"\xff" * 4
    assert records[4][5] == 1
    assert data.endswith(b"hi")


def test_settings() -> None:
    got = parse_settings(json.dumps(CONF))
    once, keyed = got.classes
    assert (once.effect, once.latency_objective, once.latency_factor, once.server_kind) == (
        Effect.NON_IDEMPOTENT,
        400.0,
        1.75,
        -1,
    )
    assert (keyed.key_scope, keyed.repeat_window, keyed.server_kind) == (KeyScope.CELL, 75.0, 1)
    assert got.report_fields == ("tps", "x0")
    assert got.quotas == (8.0,)
    assert got.reports_start
    assert not got.list_pushed
    assert got.instances == 2
    assert got.max_attempts == 4
    assert got.worst_class_weight == pytest.approx(0.25)


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"lanes": []}, "classes"),
        ({"lanes": [{"effect": "once", "goal_time": 1.0}]}, "deadline"),
        ({"lanes": [{"effect": "once", "goal_time": -1.0, "deadline": 5.0}]}, "goal_time"),
        ({"lanes": [{"effect": "twice", "goal_time": 1.0, "deadline": 5.0}]}, "twice"),
        ({"instances": 0}, "instances"),
        ({"tick": "soon"}, "tick"),
        ({"safety": {"cold_from": 0.0}}, "cold_from"),
    ],
)
def test_bad_settings_name_the_key(change: dict[str, Any], text: str) -> None:
    with pytest.raises(ValueError, match=text):
        parse_settings(json.dumps({**CONF, **change}))
    with pytest.raises(ValueError, match="lanes"):
        parse_settings("{}")


def start(conf: dict[str, Any] = CONF, count: int = 2) -> bytes:
    """A batch that starts instance 3 with a list of workers."""
    text = json.dumps(conf).encode()
    tail = text + b"".join(struct.pack(">fBHHIBd", 1.0, 0, 0, 0, i + 1, 1, 0.0) for i in range(count))
    spawn = f"06 00000003 0000000000000005 00000000 {len(text):08x}"
    listed = f"04 00000003 00 0000000000000029 {len(text):08x} {count:08x}"
    return frame([spawn, listed], tail)


REQUEST = "01 00000003 0007d1245d3a91c4 3f800000 0000000000000000 0000000000000000 0000 40c0e62000000000 00"


def talk(data: bytes) -> "subprocess.CompletedProcess[bytes]":
    return subprocess.run([sys.executable, "-m", "heronlug.adapter"], input=data, capture_output=True)


def test_exchange_with_the_process() -> None:
    empty = frame([])
    done = talk(empty + start() + frame([REQUEST]) + frame(["05 00000003"]) + frame([REQUEST]))
    assert done.returncode == 0
    assert done.stderr == b""
    out, codes = done.stdout, []
    while out:
        count, length = struct.unpack(">II", out[:8])
        codes.append([out[8 + i * 32] for i in range(count)])
        out = out[8 + length :]
    assert codes == [[], [11], [1, 5], [], []]  # subscribe; send and a timer; nothing after the kill


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (b"\0" * 7, b"header: 7 of 16 bytes"),
        (start()[:-1], b"body: "),
        (frame(["03 00000003 0002 00000000 00000009"], b"hi"), b"record at byte 0: message ends at byte 9"),
        (struct.pack(">IId", 9, 8, 0.0) + b"\0" * 8, b"header: 9 records do not fit"),
        (start({**CONF, "instances": 0}), b"instances"),
    ],
)
def test_malformed_input_ends_in_one_line_and_no_half_frame(data: bytes, text: bytes) -> None:
    done = talk(frame([]) + data)
    assert done.returncode == 1
    assert text in done.stderr
    assert done.stderr.count(b"\n") == 1
    assert done.stdout == b"\0" * 8


def test_failing_module_dies_with_one_line(capfd: pytest.CaptureFixture[str]) -> None:
    host = InstanceHost()
    batch = start()
    count, _, now = decode_header(batch[:16])
    host.answer(count, now, batch[16:])
    host._instances[3]._handlers = {RequestArrived: lambda event, now: 1 / 0}  # type: ignore[dict-item]
    request = frame([REQUEST])
    reply = host.answer(1, now, request[16:])
    assert reply[8] == 10
    assert reply.endswith(b"ZeroDivisionError: division by zero")
    assert "Traceback" in capfd.readouterr().err


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 5))
def test_any_bytes_end_in_events_or_a_plain_error(body: bytes, count: int) -> None:
    try:
        header = decode_header(struct.pack(">IId", count, len(body), 0.0))
        for _, event in decode_events(header[0], body):
            assert not isinstance(event, Spawn) or event.settings.classes
    except (WireError, ValueError) as error:
        message = str(error)
    else:
        return
    assert message


def test_one_process_or_several_give_the_same_actions() -> None:
    batch = start()
    count, _, now = decode_header(batch[:16])
    together, alone = InstanceHost(), InstanceHost()
    other = batch.replace(b"\x06\0\0\0\x03", b"\x06\0\0\0\x04").replace(
        b"\x04\0\0\0\x03\0\0\0", b"\x04\0\0\0\x04\0\0\0"
    )
    together.answer(count, now, other[16:])
    first = together.answer(count, now, batch[16:])
    assert first == alone.answer(count, now, batch[16:])
    request = frame([REQUEST])
    assert together.answer(1, now, request[16:]) == alone.answer(1, now, request[16:])
