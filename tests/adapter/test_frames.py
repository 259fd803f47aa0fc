"""Tests the frames of the adapter, the settings, malformed input and the adapter as a process."""

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

SETTINGS_OBJECT: dict[str, Any] = {
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
CLOCK_HEX = "40c06e2000000000"


def encode_frame(records: list[str], tail: bytes = b"", size: int = 56, clock: str = CLOCK_HEX) -> bytes:
    """Returns a frame with records that are given as hexadecimal text."""
    body = b"".join(bytes.fromhex(r.replace(" ", "")).ljust(size, b"\0") for r in records)
    return struct.pack(">II", len(records), len(body) + len(tail)) + bytes.fromhex(clock) + body + tail


def events_of(data: bytes) -> list[tuple[int, Any]]:
    """Returns the events in a frame with their instances."""
    count, length, _ = decode_header(data[: HEADER.size])
    assert length == len(data) - HEADER.size
    return list(decode_events(count, data[HEADER.size :]))


def test_decodes_a_batch_of_request_timer_and_client_gone() -> None:
    """Guards against changed layouts of these records, by a frame that was encoded by hand."""
    request = "01 00000003 0007d1245d3a91c4 40000000 4028000000000000 91f03b7c55d20a64 0000"
    request += "40c0e62000000000 00 00000000 01"
    timer_fired, client_gone = "07 00000003 000000000000004d", "0a 00000005 0001788b0e6f2b19"
    request_event, timer_event, client_gone_event = events_of(encode_frame([request, timer_fired, client_gone]))
    expected_arrival = RequestArrived(
        0x7D1245D3A91C4, 0, 8652.25, slots=2.0, work_hint=12.0, tenant=0, key=0x91F03B7C55D20A64
    )
    assert request_event == (3, expected_arrival)
    assert timer_event == (3, TimerFired(77))
    assert client_gone_event == (5, ClientGone(0x1788B0E6F2B19))


def test_decodes_outcome_progress_peer_message_probe_and_answer_start() -> None:
    """Guards against changed layouts of these records and against an error at an unknown code."""
    records = [
        "08 00000003 0007d1245d3a91c4 00 00 0001 4032800000000000 01 03124a07 03 430c0000 40400000 3ecccccd",
        "02 00000003 0007d1245d3a91c4 00 03124a07 01 3f000000",
        "03 00000003 0002 00000000 00000004",
        "09 00000003 2c9011f2 0001 3ff6666666666666 03 430c0000 40400000 3ecccccd 00000000",
        "0b 00000003 0007d1245d3a91c4 03124a07 4022800000000000 00",
        "63 00000003",
    ]
    ended, progress, peer_message, probe_result, answer_started = (
        event for _, event in events_of(encode_frame(records, b"hi 7"))
    )
    assert ended[:6] == (0x7D1245D3A91C4, 0, 0x03124A07, Outcome.SERVED, 18.5, True)
    assert ended.report == pytest.approx((140.0, 3.0, 0.4))
    assert progress == AttemptProgress(0x7D1245D3A91C4, 0, 0x03124A07, ProgressKind.STARTED, 0.5)
    assert peer_message == PeerMessage(2, b"hi 7")
    assert probe_result.server == 0x2C9011F2
    assert probe_result.latency == pytest.approx(1.4)
    assert answer_started == AnswerStarted(0x7D1245D3A91C4, 0, 0x03124A07, 9.25)


def test_decodes_a_server_list() -> None:
    """Guards against a changed layout of the entries in the tail."""
    tail = "3f800000 00 0000 0000 03124a07 01 0000000000000000"
    tail += "3fc00000 00 0001 0000 2c9011f2 01 40b7d40000000000"
    data = encode_frame(["04 00000003 00 0000000000000029 00000000 00000002"], bytes.fromhex(tail.replace(" ", "")))
    [(instance, server_list)] = events_of(data)
    assert instance == 3
    assert server_list.kind is ListKind.CACHED
    assert server_list.entries == (
        ServerEntry(0x03124A07),
        ServerEntry(0x2C9011F2, zone=1, weight=1.5, started_at=6100.0),
    )


def test_encodes_a_reply() -> None:
    """Guards against changed layouts of the actions, by a reply that was encoded by hand."""
    reply = Reply()
    reply.add(3, StartAttempt(0x7D1245D3A91C4, 0x03124A07))
    reply.add(3, SetTimer(500.0, 77))
    reply.add(5, LogLine("two servers known"))
    expected = encode_frame(
        [
            "01 00000003 0007d1245d3a91c4 03124a07 0000000000000000",
            "05 00000003 407f400000000000 000000000000004d",
            "09 00000005 00000000 00000011",
        ],
        b"two servers known",
        size=32,
    )
    assert reply.encode() == expected[:8] + expected[16:]


def test_encodes_the_other_actions() -> None:
    """Guards against wrong codes of actions and a wrong peer number of a message to all peers."""
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


def test_parses_settings() -> None:
    """Guards against settings that are read from the wrong key, and against an error at an unknown key."""
    parsed = parse_settings(json.dumps(SETTINGS_OBJECT))
    once, keyed = parsed.classes
    assert (once.effect, once.latency_objective, once.latency_factor, once.server_kind) == (
        Effect.NON_IDEMPOTENT,
        400.0,
        1.75,
        -1,
    )
    assert (keyed.key_scope, keyed.repeat_window, keyed.server_kind) == (KeyScope.CELL, 75.0, 1)
    assert parsed.report_fields == ("tps", "x0")
    assert parsed.quotas == (8.0,)
    assert parsed.reports_start
    assert not parsed.list_pushed
    assert parsed.instances == 2
    assert parsed.max_attempts == 4
    assert parsed.worst_class_weight == pytest.approx(0.25)


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
def test_invalid_settings_name_the_key(change: dict[str, Any], text: str) -> None:
    """Guards against an error that does not say which setting is invalid."""
    with pytest.raises(ValueError, match=text):
        parse_settings(json.dumps({**SETTINGS_OBJECT, **change}))
    with pytest.raises(ValueError, match="lanes"):
        parse_settings("{}")


def start_batch(settings_object: dict[str, Any] = SETTINGS_OBJECT, count: int = 2) -> bytes:
    """Returns a batch that starts instance 3 with a list of servers."""
    text = json.dumps(settings_object).encode()
    tail = text + b"".join(struct.pack(">fBHHIBd", 1.0, 0, 0, 0, i + 1, 1, 0.0) for i in range(count))
    spawn = f"06 00000003 0000000000000005 00000000 {len(text):08x}"
    listed = f"04 00000003 00 0000000000000029 {len(text):08x} {count:08x}"
    return encode_frame([spawn, listed], tail)


REQUEST = "01 00000003 0007d1245d3a91c4 3f800000 0000000000000000 0000000000000000 0000 40c0e62000000000 00"


def run_adapter(data: bytes) -> "subprocess.CompletedProcess[bytes]":
    """Runs the adapter as a process with this input."""
    return subprocess.run([sys.executable, "-m", "heronlug.adapter"], input=data, capture_output=True)


def test_exchange_with_the_process() -> None:
    """Guards against wrong replies over standard output, and actions of an instance after its kill."""
    empty = encode_frame([])
    process = run_adapter(
        empty + start_batch() + encode_frame([REQUEST]) + encode_frame(["05 00000003"]) + encode_frame([REQUEST])
    )
    assert process.returncode == 0
    assert process.stderr == b""
    output, codes = process.stdout, []
    while output:
        count, length = struct.unpack(">II", output[:8])
        codes.append([output[8 + i * 32] for i in range(count)])
        output = output[8 + length :]
    assert codes == [[], [11], [1, 5], [], []]  # subscribe, then an attempt and a timer, then nothing after the kill


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (b"\0" * 7, b"header: 7 of 16 bytes"),
        (start_batch()[:-1], b"body: "),
        (encode_frame(["03 00000003 0002 00000000 00000009"], b"hi"), b"record at byte 0: message ends at byte 9"),
        (struct.pack(">IId", 9, 8, 0.0) + b"\0" * 8, b"header: 9 records do not fit"),
        (start_batch({**SETTINGS_OBJECT, "instances": 0}), b"instances"),
    ],
)
def test_malformed_input_ends_with_one_error_line_and_no_partial_frame(data: bytes, text: bytes) -> None:
    """Guards against a traceback or a partial frame after malformed input."""
    process = run_adapter(encode_frame([]) + data)
    assert process.returncode == 1
    assert text in process.stderr
    assert process.stderr.count(b"\n") == 1
    assert process.stdout == b"\0" * 8


def test_a_failing_instance_is_reported_in_one_line(capfd: pytest.CaptureFixture[str]) -> None:
    """Guards against an exception of an instance that ends the process without a report."""
    host = InstanceHost()
    batch = start_batch()
    count, _, now = decode_header(batch[:16])
    host.answer(count, now, batch[16:])
    host._instances[3]._handlers = {RequestArrived: lambda event, now: 1 / 0}  # type: ignore[dict-item]
    request = encode_frame([REQUEST])
    reply = host.answer(1, now, request[16:])
    assert reply[8] == 10
    assert reply.endswith(b"ZeroDivisionError: division by zero")
    assert "Traceback" in capfd.readouterr().err


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 5))
def test_any_bytes_decode_to_events_or_an_error(body: bytes, count: int) -> None:
    """Guards against exceptions other than ``WireError`` and ``ValueError`` for random bytes."""
    try:
        header = decode_header(struct.pack(">IId", count, len(body), 0.0))
        for _, event in decode_events(header[0], body):
            assert not isinstance(event, Spawn) or event.settings.classes
    except (WireError, ValueError) as error:
        message = str(error)
    else:
        return
    assert message


def test_an_instance_acts_the_same_alone_or_beside_others() -> None:
    """Guards against state that instances of one process share."""
    batch = start_batch()
    count, _, now = decode_header(batch[:16])
    together, alone = InstanceHost(), InstanceHost()
    other = batch.replace(b"\x06\0\0\0\x03", b"\x06\0\0\0\x04").replace(
        b"\x04\0\0\0\x03\0\0\0", b"\x04\0\0\0\x04\0\0\0"
    )
    together.answer(count, now, other[16:])
    first = together.answer(count, now, batch[16:])
    assert first == alone.answer(count, now, batch[16:])
    request = encode_frame([REQUEST])
    assert together.answer(1, now, request[16:]) == alone.answer(1, now, request[16:])
