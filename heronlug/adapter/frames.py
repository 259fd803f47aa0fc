"""Frames of the simulator's wire to events of the balancer, and its actions to frames."""

import struct
from collections.abc import Callable, Iterable

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
REPLY_HEADER = struct.Struct(">II")
EVENT_SIZE, ACTION_SIZE, ENTRY_SIZE = 56, 32, 22

_INSTANCE = struct.Struct(">I")
_SPAWN = struct.Struct(">xIQII")
_LIST = struct.Struct(">xIBQII")
_REQUEST = struct.Struct(">xIQfdQHdBfB")
_NOTE = struct.Struct(">xIQBIBf")
_PROBED = struct.Struct(">xIIHdB4f")
_REQUEST_ONLY = struct.Struct(">xIQ")
_BEGUN = struct.Struct(">xIQIdB")
_ENDED = struct.Struct(">xIQBBHdBIB4f")
_PEER = struct.Struct(">xIHII")
_ENTRY = struct.Struct(">fBHHIBd")

_SEND = struct.Struct(">BIQId7x")
_ANSWER = struct.Struct(">BIQ19x")
_CANCEL = struct.Struct(">BIQB18x")
_TIMER = struct.Struct(">BIdQ11x")
_TELL = struct.Struct(">BIIII15x")
_TEXT = struct.Struct(">BIII19x")
_WATCH = struct.Struct(">BIB26x")

EVERY_PEER = 0xFFFFFFFF
HINT_VALID, CLIENT_RETRY = 1, 2
SPAWN, KILL = 6, 5


class WireError(ValueError):
    """A frame that does not follow the wire; the text says what and where."""


class Spawn:
    """A dispatcher starts: its seed and settings."""

    __slots__ = ("seed", "settings")

    def __init__(self, seed: int, settings: Settings) -> None:
        self.seed = seed
        self.settings = settings


class Kill:
    """A dispatcher is killed; all it held is void."""

    __slots__ = ()


WireEvent = Event | Spawn | Kill

# -- events -----------------------------------------------------------------------------------------


def _cut(tail: memoryview, offset: int, length: int, at: int, what: str) -> memoryview:
    if offset + length > len(tail):
        raise WireError(f"record at byte {at}: {what} ends at byte {offset + length} of a tail of {len(tail)} bytes")
    return tail[offset : offset + length]


def _request(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    _, request, slots, hint, key, tenant, give_up_at, policy, memory, marks = _REQUEST.unpack_from(body, at)
    hint = hint if marks & HINT_VALID else 0.0
    return RequestArrived(request, policy, give_up_at, slots, memory, hint, tenant, key, bool(marks & CLIENT_RETRY))


def _note(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    _, request, attempt, server, topic, amount = _NOTE.unpack_from(body, at)
    return AttemptProgress(request, attempt, server, topic, amount)


def _peer(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    _, peer, offset, length = _PEER.unpack_from(body, at)
    return PeerMessage(peer, bytes(_cut(tail, offset, length, at, "message")))


def _list(body: memoryview, at: int, tail: memoryview) -> WireEvent | None:
    _, kind, _, offset, count = _LIST.unpack_from(body, at)
    if kind > ListKind.FAILED:
        return None
    cut = _cut(tail, offset, count * ENTRY_SIZE, at, "list")
    entries = tuple(
        ServerEntry(server, ServerState(state), zone, sku, cell, weight, started)
        for weight, sku, zone, cell, server, state, started in _ENTRY.iter_unpack(cut)
        if state <= ServerState.DRAINING
    )
    return ServerListUpdate(ListKind(kind), entries)


def _kill(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    return Kill()


def _spawn(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    _, seed, offset, length = _SPAWN.unpack_from(body, at)
    return Spawn(seed, parse_settings(bytes(_cut(tail, offset, length, at, "settings"))))


def _timer(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    return TimerFired(_REQUEST_ONLY.unpack_from(body, at)[1])


def _ended(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    _, request, n, _, code, lag, terminal, server, count, *load = _ENDED.unpack_from(body, at)
    return AttemptEnded(request, n, server, code, lag, terminal != 0, tuple(load[:count]))


def _probed(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    _, server, code, lag, count, *load = _PROBED.unpack_from(body, at)
    return ProbeResult(server, code, lag, tuple(load[:count]))


def _aborted(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    return ClientGone(_REQUEST_ONLY.unpack_from(body, at)[1])


def _begun(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    _, request, server, lag, n = _BEGUN.unpack_from(body, at)
    return AnswerStarted(request, n, server, lag)


_DECODERS: dict[int, Callable[[memoryview, int, memoryview], WireEvent | None]] = {
    1: _request,
    2: _note,
    3: _peer,
    4: _list,
    KILL: _kill,
    SPAWN: _spawn,
    7: _timer,
    8: _ended,
    9: _probed,
    10: _aborted,
    11: _begun,
}


def decode_header(header: bytes) -> tuple[int, int, float]:
    """Record count, length of the body and clock of a batch."""
    if len(header) != HEADER.size:
        raise WireError(f"header: {len(header)} of {HEADER.size} bytes")
    count, length, now = HEADER.unpack(header)
    if count * EVENT_SIZE > length:
        raise WireError(f"header: {count} records do not fit into {length} bytes")
    return count, length, now


def decode_events(count: int, body: bytes) -> Iterable[tuple[int, WireEvent]]:
    """The events of a batch with their instances, in order; unknown codes are skipped."""
    view = memoryview(body)
    tail = view[count * EVENT_SIZE :]
    for at in range(0, count * EVENT_SIZE, EVENT_SIZE):
        decoder = _DECODERS.get(body[at])
        if decoder is not None:
            event = decoder(view, at, tail)
            if event is not None:
                yield _INSTANCE.unpack_from(view, at + 1)[0], event


# -- actions ----------------------------------------------------------------------------------------


class Reply:
    """Collects the actions of one batch."""

    __slots__ = ("_records", "_tail")

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def _text(self, code: int, instance: int, text: str) -> bytes:
        data = text.encode("utf-8", "replace")
        self._tail += data
        return _TEXT.pack(code, instance, len(self._tail) - len(data), len(data))

    def add(self, instance: int, action: Action) -> None:
        """One action of an instance."""
        if isinstance(action, StartAttempt):
            record = _SEND.pack(1, instance, action.request, action.server, 0.0)
        elif isinstance(action, SetTimer):
            record = _TIMER.pack(5, instance, action.delay, action.token)
        elif isinstance(action, CancelAttempt):
            record = _CANCEL.pack(4, instance, action.request, action.attempt)
        elif isinstance(action, Reject | Fail):
            record = _ANSWER.pack(2 if isinstance(action, Reject) else 3, instance, action.request)
        elif isinstance(action, SendPeerMessage):
            whom = action.peer if action.peer >= 0 else EVERY_PEER
            record = _TELL.pack(8, instance, whom, len(self._tail), len(action.content))
            self._tail += action.content
        elif isinstance(action, LogLine):
            record = self._text(9, instance, action.text)
        else:
            record = _WATCH.pack(11, instance, 1)
        self._records.append(record)

    def die(self, instance: int, text: str) -> None:
        """The decision code failed: say so in one line."""
        self._records.append(self._text(10, instance, text))

    def encode(self) -> bytes:
        """The whole frame."""
        body = b"".join(self._records)
        return REPLY_HEADER.pack(len(self._records), len(body) + len(self._tail)) + body + self._tail
