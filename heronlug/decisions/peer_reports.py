"""What dispatchers tell each other of servers: counts of attempts in flight, and summaries of load.

No I/O, no clock.
"""

import struct
from array import array
from collections.abc import Callable
from itertools import zip_longest
from operator import attrgetter
from zlib import crc32

from heronlug import interface as pk
from heronlug.decisions.model import SUSPECT, Worker

HEX = "0123456789abcdef"
DIGIT = {digit: value for value, digit in enumerate(HEX)}


class PeerReports:
    """What the dispatchers tell each other: slots of ours in flight at each worker, or a summary of load.

    Counts and not changes, with the sender's clock, so that a loss heals and what comes late changes nothing.
    A summary tells the load level of all ready workers in the order of their ids, half a byte each, under a
    checksum of those ids; lists of before are kept, as others may be behind.
    """

    __slots__ = (
        "_checksum",
        "_counts",
        "_heard",
        "_ids",
        "_parts",
        "_read_as",
        "_stamps",
        "born",
        "changed",
        "ended",
        "moved",
        "reads",
        "relaying",
        "relays",
        "roster",
        "told_at",
    )

    COUNTS, SUMMARY = b"c", b"s"  # what a message begins with
    STAMP = struct.Struct(">cd")  # before counts: the clock of who tells
    PAIR = struct.Struct(">IB")  # a worker, and the slots in flight there with how the last one there ended
    MOST, ENDED_WELL, ENDED_BADLY = 63, 64, 128
    HEAD = struct.Struct(">cIB")  # of a summary: the checksum, and which part
    PAIRS, LEVELS, ROSTERS = 49, 496, 8  # pairs or levels in a message of at most 256 bytes; lists kept

    def __init__(self) -> None:
        self.changed: dict[int, Worker] = {}  # whose count of ours is not told yet
        self._counts: dict[tuple[int, int], tuple[int, float]] = {}  # slots and when told, oldest first
        self.ended: dict[int, int] = {}  # how ours ended there since, one of the codes
        self._stamps: dict[int, float] = {}  # the clock of each sender's last counts, and ours as they came
        self._heard: dict[int, float] = {}
        self.roster: list[Worker] = []
        self._checksum = 0
        self._ids: dict[int, array[int]] = {}  # the workers in the order of a summary, by checksum
        self._read_as = 0  # the checksum that the last summary had, and its parts
        self._parts: dict[int, str] = {}
        self.reads = 0  # parts of summaries read so far
        self.moved: Callable[[Worker], None] = lambda worker: None  # told when what is known of its load changes
        self.relays: dict[int, float] = {}  # when each relay was last heard
        self.relaying = False  # we are one
        self.born = self.told_at = 0.0

    def counts(self, now: float) -> bytes:
        """What there is to tell of ours, as far as it fits; the rest stays to be told."""
        told = list(self.changed.values())[: self.PAIRS]
        for worker in told:
            del self.changed[worker.id]
        codes = [min(self.MOST, round(w.own)) + self.ended.pop(w.id, 0) for w in told]
        pairs = [self.PAIR.pack(w.id, code) for w, code in zip(told, codes, strict=True)]
        return self.STAMP.pack(self.COUNTS, now) + b"".join(pairs)

    def hear(self, event: pk.PeerMessage, workers: dict[int, Worker], now: float) -> list[tuple[Worker, bool]]:
        """Book what another dispatcher tells, and return how its attempts ended; True for badly.

        Bytes that make no sense, and unknown workers, are skipped.
        """
        kind = event.content[:1]
        outcomes: list[tuple[Worker, bool]] = []
        if kind == self.COUNTS and len(event.content) >= self.STAMP.size:
            _, stamp = self.STAMP.unpack_from(event.content)
            if stamp < self._stamps.get(event.peer, stamp):  # overtaken: a job told to run may have ended
                return outcomes
            self._stamps[event.peer], self._heard[event.peer] = stamp, now
            pairs, size = event.content[self.STAMP.size :], self.PAIR.size
            for worker_id, code in self.PAIR.iter_unpack(pairs[: len(pairs) // size * size]):
                worker = workers.get(worker_id)
                if worker is not None:
                    slots = code & self.MOST
                    if code > self.MOST:
                        outcomes.append((worker, code >= self.ENDED_BADLY))
                    worker.told += slots - self._counts.pop((event.peer, worker_id), (0, now))[0]
                    self.moved(worker)
                    if slots:
                        self._counts[event.peer, worker_id] = (slots, now)
        elif kind == self.SUMMARY:
            self.relays[event.peer] = now
            self.read(event.content, workers)
        return outcomes

    def book(self, peer: int, counts: dict[int, int], workers: dict[int, Worker], now: float) -> None:
        """Slots that somebody has in flight, as known from elsewhere than a message."""
        self._heard[peer] = now
        for worker_id, slots in counts.items():
            workers[worker_id].told += slots - self._counts.pop((peer, worker_id), (0, now))[0]
            self.moved(workers[worker_id])
            self._counts[peer, worker_id] = (slots, now)

    def forget(self, peer: int, workers: dict[int, Worker]) -> None:
        """Void all counts of one who has told them."""
        for key in [key for key in self._counts if key[0] == peer]:
            workers[key[1]].told -= self._counts.pop(key)[0]
            self.moved(workers[key[1]])

    def read(self, content: bytes, workers: dict[int, Worker]) -> None:
        """Take in a part of a summary; those of a list that is not known here are lost."""
        if len(content) < self.HEAD.size:
            return
        _, checksum, part = self.HEAD.unpack_from(content)
        ids = self._ids.get(checksum)
        if ids is None:
            return
        if checksum != self._read_as:
            self._read_as, self._parts = checksum, {}
            for worker in workers.values():
                self._set_level(worker, 0)
        first, digits = part * self.LEVELS, content[self.HEAD.size :].hex()
        before = self._parts.get(part, "0" * self.LEVELS)
        self._parts[part] = digits
        self.reads += 1
        if digits != before:
            longest = zip_longest(digits, before[: max(0, len(ids) - first)], fillvalue="0")
            for at, (new, old) in enumerate(longest, first):
                if new != old and at < len(ids) and (found := workers.get(ids[at])) is not None:
                    self._set_level(found, DIGIT[new])

    def _set_level(self, worker: Worker, level: int) -> None:
        if worker.level != level:
            worker.level, worker.suspect = level, level == SUSPECT
            self.moved(worker)

    def drop(self, worker_id: int) -> None:
        """A worker is forgotten, and with it what is told of it."""
        self.changed.pop(worker_id, None)
        self.ended.pop(worker_id, None)
        for key in [key for key in self._counts if key[1] == worker_id]:
            del self._counts[key]

    def void(self, before: float, workers: dict[int, Worker], retold: bool) -> None:
        """Drop counts last told before that time: all, if they are told again, else of the silent."""
        while self._counts:
            key = next(iter(self._counts))
            slots, at = self._counts[key]
            if at >= before:
                return
            del self._counts[key]
            if not retold and self._heard[key[0]] >= before:
                self._counts[key] = (slots, self._heard[key[0]])
            else:
                workers[key[1]].told -= slots
                self.moved(workers[key[1]])

    def relays_since(self, since: float) -> list[int]:
        """The relays heard since that time."""
        return [peer for peer, at in self.relays.items() if at > since]

    def relays_heard(self, before: int, count: int, now: float) -> float:
        """When so many relays of a position before that one were last heard; with fewer, when we began."""
        self.born = self.born or now
        heard = sorted((at for peer, at in self.relays.items() if peer < before), reverse=True)
        return heard[count - 1] if len(heard) >= count else self.born

    def list_ready(self, ready: list[Worker]) -> None:
        """The list has changed."""
        self.roster = sorted(ready, key=attrgetter("id"))
        ids = array("Q", [w.id for w in self.roster])
        self._checksum = crc32(struct.pack(f">{len(ids)}Q", *ids))
        self._ids = dict([*self._ids.items(), (self._checksum, ids)][-self.ROSTERS :])

    def summary(self, levels: list[int]) -> list[bytes]:
        """Messages with a level below 16 for each worker of the roster."""
        text = "".join([HEX[level] for level in levels]) + "0"
        parts = [text[at : at + self.LEVELS] for at in range(0, len(levels), self.LEVELS)]
        return [
            self.HEAD.pack(self.SUMMARY, self._checksum, n) + bytes.fromhex(part[: len(part) // 2 * 2])
            for n, part in enumerate(parts)
        ]
