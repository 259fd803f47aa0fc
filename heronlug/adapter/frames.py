"""Decodes frames of the simulator into events of the balancer and encodes actions of the balancer into frames."""

import struct
from collections.abc import Callable, Iterable
from enum import IntEnum, IntFlag
from typing import Any, NamedTuple

from heronlug.balancer.actions import (
    Action,
    CancelAttempt,
    Fail,
    LogLine,
    Reject,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
)
from heronlug.balancer.events import (
    AnswerStarted,
    AttemptEnded,
    AttemptProgress,
    ClientGone,
    Event,
    ListKind,
    PeerMessage,
    ProbeResult,
    RequestArrived,
    ServerEntry,
    ServerListUpdate,
    ServerState,
    TimerFired,
)
from heronlug.balancer.settings import Settings
from heronlug.config.settings_json import parse_settings

HEADER = struct.Struct(">IId")
"""Header of a batch: the number of records, the length of the body in bytes and the clock in ms."""
REPLY_HEADER = struct.Struct(">II")
"""Header of a reply: the number of records and the length of the body in bytes."""
EVENT_SIZE = 56
"""Size of the record of an event in bytes."""
ENTRY_SIZE = 22
"""Size of the entry of a server in a list in bytes."""

# Layouts of records. Each record begins with a code, which ``x`` skips in events, and the number of the instance.
_INSTANCE = struct.Struct(">I")
_SPAWN = struct.Struct(">xIQII")
_SERVER_LIST = struct.Struct(">xIBQII")
_REQUEST_ARRIVED = struct.Struct(">xIQfdQHdBfB")
_ATTEMPT_PROGRESS = struct.Struct(">xIQBIBf")
_PROBE_RESULT = struct.Struct(">xIIHdB4f")
_ONE_NUMBER = struct.Struct(">xIQ")
_ANSWER_STARTED = struct.Struct(">xIQIdB")
_ATTEMPT_ENDED = struct.Struct(">xIQBBHdBIB4f")
_PEER_MESSAGE = struct.Struct(">xIHII")
_ENTRY = struct.Struct(">fBHHIBd")

_START_ATTEMPT = struct.Struct(">BIQId7x")
_FINAL_ANSWER = struct.Struct(">BIQ19x")
_CANCEL_ATTEMPT = struct.Struct(">BIQB18x")
_SET_TIMER = struct.Struct(">BIdQ11x")
_SEND_PEER_MESSAGE = struct.Struct(">BIIII15x")
_TEXT = struct.Struct(">BIII19x")
_SUBSCRIBE = struct.Struct(">BIB26x")

EVERY_PEER = 0xFFFFFFFF
"""The peer number of a message to all peers."""
IMMEDIATELY = 0.0
"""Delay of an attempt in ms: attempts start at once."""


class RequestFlag(IntFlag):
    """Flags in the record of a request."""

    HINT_VALID = 1
    CLIENT_RETRY = 2


class EventCode(IntEnum):
    """First byte of the record of an event."""

    REQUEST_ARRIVED = 1
    ATTEMPT_PROGRESS = 2
    PEER_MESSAGE = 3
    SERVER_LIST = 4
    KILL = 5
    SPAWN = 6
    TIMER_FIRED = 7
    ATTEMPT_ENDED = 8
    PROBE_RESULT = 9
    CLIENT_GONE = 10
    ANSWER_STARTED = 11


class ActionCode(IntEnum):
    """First byte of the record of an action."""

    START_ATTEMPT = 1
    REJECT = 2
    FAIL = 3
    CANCEL_ATTEMPT = 4
    SET_TIMER = 5
    SEND_PEER_MESSAGE = 8
    LOG_LINE = 9
    INSTANCE_FAILED = 10
    SUBSCRIBE = 11


class WireError(ValueError):
    """Raised if a frame does not follow the protocol; the message says what is wrong and where."""


class Spawn:
    """The event that starts a dispatcher.

    Attributes:
        seed: Seed of the random draws of the dispatcher.
        settings: Settings of the dispatcher.
    """

    __slots__ = ("seed", "settings")

    def __init__(self, seed: int, settings: Settings) -> None:
        self.seed = seed
        self.settings = settings


class Kill:
    """The event that kills a dispatcher; the state of the dispatcher is lost."""

    __slots__ = ()


WireEvent = Event | Spawn | Kill


class BatchHeader(NamedTuple):
    """The header of a batch.

    Attributes:
        record_count: Number of events in the body.
        body_length: Length of the body in bytes.
        now: The clock in ms.
    """

    record_count: int
    body_length: int
    now: float


class InstanceEvent(NamedTuple):
    """An event and the number of the instance that handles the event."""

    instance: int
    event: WireEvent


# -- events -----------------------------------------------------------------------------------------


class _Record(NamedTuple):
    """The record of an event in a batch.

    Attributes:
        body: The body of the batch.
        offset: Offset of the record in the body.
        tail: The part of the body after the records: lists, messages and settings.
    """

    body: memoryview
    offset: int
    tail: memoryview

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Returns the fields of the record."""
        return layout.unpack_from(self.body, self.offset)

    def from_tail(self, offset: int, length: int, what: str) -> memoryview:
        """Returns a part of the tail; raises :class:`WireError` if the part ends after the tail."""
        end, available = offset + length, len(self.tail)
        if end > available:
            msg = f"record at byte {self.offset}: {what} ends at byte {end} of a tail of {available} bytes"
            raise WireError(msg)
        return self.tail[offset:end]


def _request_arrived(record: _Record) -> WireEvent:
    _, request, slots, hint, key, tenant, give_up_at, policy, memory, flags = record.unpack(_REQUEST_ARRIVED)
    hint = hint if flags & RequestFlag.HINT_VALID else 0.0
    client_retry = bool(flags & RequestFlag.CLIENT_RETRY)
    return RequestArrived(request, policy, give_up_at, slots, memory, hint, tenant, key, client_retry)


def _attempt_progress(record: _Record) -> WireEvent:
    _, request, attempt, server, kind, amount = record.unpack(_ATTEMPT_PROGRESS)
    return AttemptProgress(request, attempt, server, kind, amount)


def _peer_message(record: _Record) -> WireEvent:
    _, peer, offset, length = record.unpack(_PEER_MESSAGE)
    return PeerMessage(peer, bytes(record.from_tail(offset, length, "message")))


def _server_list(record: _Record) -> WireEvent | None:
    _, kind, _, offset, count = record.unpack(_SERVER_LIST)
    if kind > ListKind.FAILED:
        return None
    entries = tuple(
        ServerEntry(server, ServerState(state), zone, server_kind, cell, weight, started)
        for weight, server_kind, zone, cell, server, state, started in _ENTRY.iter_unpack(
            record.from_tail(offset, count * ENTRY_SIZE, "list")
        )
        if state <= ServerState.DRAINING
    )
    return ServerListUpdate(ListKind(kind), entries)


def _kill(record: _Record) -> WireEvent:
    return Kill()


def _spawn(record: _Record) -> WireEvent:
    _, seed, offset, length = record.unpack(_SPAWN)
    return Spawn(seed, parse_settings(bytes(record.from_tail(offset, length, "settings"))))


def _timer_fired(record: _Record) -> WireEvent:
    _, token = record.unpack(_ONE_NUMBER)
    return TimerFired(token)


def _attempt_ended(record: _Record) -> WireEvent:
    _, request, attempt, _, outcome, latency, final, server, load_count, *load = record.unpack(_ATTEMPT_ENDED)
    return AttemptEnded(request, attempt, server, outcome, latency, final != 0, tuple(load[:load_count]))


def _probe_result(record: _Record) -> WireEvent:
    _, server, outcome, latency, load_count, *load = record.unpack(_PROBE_RESULT)
    return ProbeResult(server, outcome, latency, tuple(load[:load_count]))


def _client_gone(record: _Record) -> WireEvent:
    _, request = record.unpack(_ONE_NUMBER)
    return ClientGone(request)


def _answer_started(record: _Record) -> WireEvent:
    _, request, server, latency, attempt = record.unpack(_ANSWER_STARTED)
    return AnswerStarted(request, attempt, server, latency)


_DECODERS: dict[int, Callable[[_Record], WireEvent | None]] = {
    EventCode.REQUEST_ARRIVED: _request_arrived,
    EventCode.ATTEMPT_PROGRESS: _attempt_progress,
    EventCode.PEER_MESSAGE: _peer_message,
    EventCode.SERVER_LIST: _server_list,
    EventCode.KILL: _kill,
    EventCode.SPAWN: _spawn,
    EventCode.TIMER_FIRED: _timer_fired,
    EventCode.ATTEMPT_ENDED: _attempt_ended,
    EventCode.PROBE_RESULT: _probe_result,
    EventCode.CLIENT_GONE: _client_gone,
    EventCode.ANSWER_STARTED: _answer_started,
}


def decode_header(header: bytes) -> BatchHeader:
    """Returns the header of a batch; raises :class:`WireError` if the header is truncated or inconsistent."""
    if len(header) != HEADER.size:
        msg = f"header: {len(header)} of {HEADER.size} bytes"
        raise WireError(msg)
    decoded = BatchHeader(*HEADER.unpack(header))
    if decoded.record_count * EVENT_SIZE > decoded.body_length:
        msg = f"header: {decoded.record_count} records do not fit into {decoded.body_length} bytes"
        raise WireError(msg)
    return decoded


def decode_events(count: int, body: bytes) -> Iterable[InstanceEvent]:
    """Yields the events of a batch with their instances, in order; records with unknown codes are skipped."""
    view = memoryview(body)
    tail = view[count * EVENT_SIZE :]
    for offset in range(0, count * EVENT_SIZE, EVENT_SIZE):
        decoder = _DECODERS.get(body[offset])
        event = decoder(_Record(view, offset, tail)) if decoder is not None else None
        if event is not None:
            yield InstanceEvent(_INSTANCE.unpack_from(view, offset + 1)[0], event)


# -- actions ----------------------------------------------------------------------------------------


class Reply:
    """Collects the actions of one batch and encodes them."""

    __slots__ = ("_records", "_tail")

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def add(self, instance: int, action: Action) -> None:
        """Adds an action of an instance."""
        self._records.append(self._record(instance, action))

    def add_failure(self, instance: int, text: str) -> None:
        """Adds a report that the dispatcher of an instance has raised an exception; ``text`` is one line."""
        self._records.append(self._text(ActionCode.INSTANCE_FAILED, instance, text))

    def encode(self) -> bytes:
        """Returns the reply as a frame."""
        records = b"".join(self._records)
        header = REPLY_HEADER.pack(len(self._records), len(records) + len(self._tail))
        return header + records + self._tail

    def _record(self, instance: int, action: Action) -> bytes:
        match action:
            case StartAttempt():
                code = ActionCode.START_ATTEMPT
                return _START_ATTEMPT.pack(code, instance, action.request, action.server, IMMEDIATELY)
            case SetTimer():
                return _SET_TIMER.pack(ActionCode.SET_TIMER, instance, action.delay, action.token)
            case CancelAttempt():
                return _CANCEL_ATTEMPT.pack(ActionCode.CANCEL_ATTEMPT, instance, action.request, action.attempt)
            case Reject():
                return _FINAL_ANSWER.pack(ActionCode.REJECT, instance, action.request)
            case Fail():
                return _FINAL_ANSWER.pack(ActionCode.FAIL, instance, action.request)
            case SendPeerMessage():
                return self._peer_message(instance, action)
            case LogLine():
                return self._text(ActionCode.LOG_LINE, instance, action.text)
            case _:
                return _SUBSCRIBE.pack(ActionCode.SUBSCRIBE, instance, 1)

    def _peer_message(self, instance: int, action: SendPeerMessage) -> bytes:
        peer = action.peer if action.peer >= 0 else EVERY_PEER
        offset = self._add_to_tail(action.content)
        code = ActionCode.SEND_PEER_MESSAGE
        return _SEND_PEER_MESSAGE.pack(code, instance, peer, offset, len(action.content))

    def _text(self, code: ActionCode, instance: int, text: str) -> bytes:
        data = text.encode("utf-8", "replace")
        return _TEXT.pack(code, instance, self._add_to_tail(data), len(data))

    def _add_to_tail(self, data: bytes) -> int:
        """Appends data to the tail; returns the offset of the data."""
        offset = len(self._tail)
        self._tail += data
        return offset
