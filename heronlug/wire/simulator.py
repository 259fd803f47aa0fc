"""Frames of the wire to the records of :mod:`heronlug.interface`, and back.  Nothing is decided here."""

import json
import struct
from collections.abc import Callable, Iterable
from typing import Any

from heronlug import interface as pk

HEADER = struct.Struct(">IId")
REPLY_HEADER = struct.Struct(">II")
EVENT_SIZE, ACTION_SIZE, ENTRY_SIZE = 56, 32, 22

_INSTANCE = struct.Struct(">I")
_SPAWN = struct.Struct(">xIQII")
_LIST = struct.Struct(">xIBQII")
_JOB = struct.Struct(">xIQfdQHdBfB")
_NOTE = struct.Struct(">xIQBIBf")
_PROBED = struct.Struct(">xIIHdB4f")
_JOB_ONLY = struct.Struct(">xIQ")
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

    def __init__(self, seed: int, settings: pk.Settings) -> None:
        self.seed = seed
        self.settings = settings


class Kill:
    """A dispatcher is killed; all it held is void."""

    __slots__ = ()


WireEvent = pk.Event | Spawn | Kill

# -- settings ---------------------------------------------------------------------------------------


def _need(table: dict[str, Any], key: str, where: str) -> Any:
    if key not in table:
        raise ValueError(f"{where}{key}: required setting is missing")
    return table[key]


def _number(table: dict[str, Any], key: str, default: float) -> float:
    value = table.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{key}: {value!r} is not a number")
    return float(value)


def _job_class(lane: dict[str, Any], index: int, family: dict[str, Any]) -> pk.JobClass:
    where = f"lanes[{index}]."
    stretches, kinds = family.get("class_stretch") or (), family.get("class_kind") or ()
    try:
        effect = pk.Effect(_need(lane, "effect", where))
        scope = pk.KeyScope(lane.get("key_scope", "all"))
        return pk.JobClass(
            name=str(lane.get("name", index)),
            aim=float(_need(lane, "goal_time", where)),
            deadline=float(_need(lane, "deadline", where)),
            effect=effect,
            stretch=float(lane.get("aim_stretch") or (stretches[index] if index < len(stretches) else 0.0)),
            worth=_number(lane, "worth", 1.0),
            late_value=_number(lane, "late_value", 0.0),
            key_scope=scope,
            repeat_window=_number(lane, "repeat_window", 0.0),
            worker_kind=int(kinds[index]) if index < len(kinds) else -1,
        )
    except (TypeError, ValueError) as error:
        text = str(error)
        raise ValueError(text if text.startswith(where) else f"{where}{text}") from None


def parse_settings(text: bytes | str) -> pk.Settings:
    """The settings text of a start.  Unknown keys are skipped; a bad one raises ``ValueError``."""
    table = json.loads(text)
    if not isinstance(table, dict):
        raise ValueError("conf: not an object")
    family = table.get("family_info") or {}
    limits = table.get("limits") or {}
    safety = table.get("safety") or {}
    report = table.get("load_report") or {}
    prices = table.get("penalties") or {}
    goal = table.get("goal") or {}
    lanes = _need(table, "lanes", "")
    return pk.Settings(
        classes=tuple(_job_class(lane, i, family) for i, lane in enumerate(lanes)),
        instances=int(_number(table, "instances", 1)),
        position=int(_number(table, "position", 0)),
        zone=int(_number(table, "zone", 0)),
        tenants=tuple(str(c.get("name", "")) for c in table.get("customers") or ()),
        quotas=tuple(_number(c, "quota_per_s", 0.0) for c in table.get("customers") or ()),
        report_fields=tuple(report.get("fields") or ()),
        list_pushed=table.get("discovery") == "pushed",
        ask_every=_number(safety, "ask_every", 10_000.0) or 10_000.0,  # 0 where lists are pushed: it does not apply
        attempts_cap=int(_number(limits, "attempts_cap", 1)),
        second_copies=bool(limits.get("second_copies", False)),
        may_cancel=bool(limits.get("may_cancel", False)),
        may_tell=bool(limits.get("may_tell", False)),
        lends=bool(limits.get("may_tell", False)),
        halls=bool(limits.get("halls", False)),
        dial_timeout=_number(limits, "dial_timeout", 250.0),
        tick=_number(table, "tick", 1.0),
        answer_slack=_number(safety, "answer_slack", 0.0),
        progress_every=_number(family, "progress", 0.0),
        tells_start=bool(family.get("tells_start", False)),
        drain_grace=_number(safety, "drain_grace", 0.0),
        cold_from=_number(safety, "cold_from", 1.0),
        warm_after=_number(safety, "warm_after", 0.0),
        tip_multiple=_number(safety, "tip_multiple", 1.0),
        overload_for=_number(safety, "overload_for", 1000.0),
        cross_zone_price=_number(prices, "cross_zone", 0.0),
        worst_class=_number(goal, "worst_class", 0.0) / (sum(_number(goal, key, 0.0) for key in goal) or 1.0),
        cpu_per_request=_number(limits, "cpu_us_per_request", 0.0),
        waste_price=_number(prices, "waste", 0.0),
    )


# -- events -----------------------------------------------------------------------------------------


def _cut(tail: memoryview, offset: int, length: int, at: int, what: str) -> memoryview:
    if offset + length > len(tail):
        raise WireError(f"record at byte {at}: {what} ends at byte {offset + length} of a tail of {len(tail)} bytes")
    return tail[offset : offset + length]


def _job(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    _, job, slots, hint, key, tenant, give_up_at, lane, memory, marks = _JOB.unpack_from(body, at)
    hint = hint if marks & HINT_VALID else 0.0
    return pk.JobArrived(job, lane, give_up_at, slots, memory, hint, tenant, key, bool(marks & CLIENT_RETRY))


def _note(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    _, job, attempt, worker, topic, amount = _NOTE.unpack_from(body, at)
    return pk.Note(job, attempt, worker, topic, amount)


def _peer(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    _, peer, offset, length = _PEER.unpack_from(body, at)
    return pk.PeerMessage(peer, bytes(_cut(tail, offset, length, at, "message")))


def _list(body: memoryview, at: int, tail: memoryview) -> WireEvent | None:
    _, kind, _, offset, count = _LIST.unpack_from(body, at)
    if kind > pk.ListKind.FAILED:
        return None
    cut = _cut(tail, offset, count * ENTRY_SIZE, at, "list")
    entries = tuple(
        pk.WorkerEntry(worker, pk.WorkerState(state), zone, sku, cell, weight, started)
        for weight, sku, zone, cell, worker, state, started in _ENTRY.iter_unpack(cut)
        if state <= pk.WorkerState.DRAINING
    )
    return pk.WorkerList(pk.ListKind(kind), entries)


def _kill(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    return Kill()


def _spawn(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    _, seed, offset, length = _SPAWN.unpack_from(body, at)
    return Spawn(seed, parse_settings(bytes(_cut(tail, offset, length, at, "settings"))))


def _timer(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    return pk.TimerFired(_JOB_ONLY.unpack_from(body, at)[1])


def _ended(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    _, job, n, _, code, lag, terminal, worker, count, *load = _ENDED.unpack_from(body, at)
    return pk.AttemptEnded(job, n, worker, code, lag, terminal != 0, tuple(load[:count]))


def _probed(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    _, worker, code, lag, count, *load = _PROBED.unpack_from(body, at)
    return pk.ProbeResult(worker, code, lag, tuple(load[:count]))


def _aborted(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    return pk.ClientGone(_JOB_ONLY.unpack_from(body, at)[1])


def _begun(body: memoryview, at: int, tail: memoryview) -> WireEvent:
    _, job, worker, lag, n = _BEGUN.unpack_from(body, at)
    return pk.AnswerStarted(job, n, worker, lag)


_DECODERS: dict[int, Callable[[memoryview, int, memoryview], WireEvent | None]] = {
    1: _job,
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

    def add(self, instance: int, action: pk.Action) -> None:
        """One action of an instance."""
        if isinstance(action, pk.Send):
            record = _SEND.pack(1, instance, action.job, action.worker, 0.0)
        elif isinstance(action, pk.SetTimer):
            record = _TIMER.pack(5, instance, action.delay, action.token)
        elif isinstance(action, pk.Cancel):
            record = _CANCEL.pack(4, instance, action.job, action.attempt)
        elif isinstance(action, pk.Refuse | pk.Fail):
            record = _ANSWER.pack(2 if isinstance(action, pk.Refuse) else 3, instance, action.job)
        elif isinstance(action, pk.Tell):
            whom = action.peer if action.peer >= 0 else EVERY_PEER
            record = _TELL.pack(8, instance, whom, len(self._tail), len(action.content))
            self._tail += action.content
        elif isinstance(action, pk.Log):
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
