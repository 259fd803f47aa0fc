"""Encodes, decodes and tracks the load reports and load summaries that dispatchers send each other.

A load report holds the slots that the sender's attempts in flight use at servers; a load summary holds the load of all
ready servers. The module does no I/O and reads no clock. Reports hold absolute counts and the sender's clock, so that
the next report repairs a loss and a report that arrives late changes nothing. A summary holds a load level of half a
byte for each ready server in the order of their numbers, and a checksum of those numbers. Earlier endpoint lists stay
readable, because other dispatchers may still use them.
"""

import struct
from array import array
from collections.abc import Callable, Iterable
from itertools import zip_longest
from operator import attrgetter
from typing import NamedTuple
from zlib import crc32

from heronlug.balancer.events import PeerMessage
from heronlug.balancer.model import LEVEL_FAILING, Server

HEX_DIGITS = "0123456789abcdef"
LEVEL_OF_DIGIT = {digit: value for value, digit in enumerate(HEX_DIGITS)}

MAX_REPORTED_SLOTS = 63
ENDED_WELL = 64
ENDED_BADLY = 128
"""Codes in a report, added to the slots: the outcome of the sender's last attempt there since its last report."""

COUNTS_IN_MESSAGE = 49
LEVELS_IN_MESSAGE = 496
"""Largest numbers of counts or load levels in a message of at most 256 bytes."""

MAX_KNOWN_LISTS = 8
"""Number of recent endpoint lists whose load summaries can be read."""


class PeerOutcome(NamedTuple):
    """The outcome of an attempt of another dispatcher.

    Attributes:
        server: the server of the attempt.
        badly: whether the attempt failed.
    """

    server: Server
    badly: bool


class PeerLoad:
    """Tracks the load reports of other dispatchers, and the load that this dispatcher has still to report.

    Attributes:
        unreported: servers at which this dispatcher's slots have changed since its last report, by number.
        unreported_outcomes: outcome code of this dispatcher's last attempt at a server since then, by number.
        servers_in_order: the ready servers sorted by number, the order of a summary.
        summaries_read: parts of summaries read so far.
        aggregators: time in ms of the last summary of each aggregator, by peer.
        aggregating: whether this dispatcher is an aggregator.
        last_report_at: time in ms of this dispatcher's last report.
        on_load_changed: called with a server when its known load has changed.
    """

    __slots__ = (
        "_checksum",
        "_counts",
        "_listening_since",
        "_part_levels",
        "_read_checksum",
        "_report_received_at",
        "_sender_clocks",
        "_server_ids",
        "aggregating",
        "aggregators",
        "last_report_at",
        "on_load_changed",
        "servers_in_order",
        "summaries_read",
        "unreported",
        "unreported_outcomes",
    )

    COUNTS, SUMMARY = b"c", b"s"  # first byte of a message
    STAMP = struct.Struct(">cd")  # header of a report: kind, clock of the sender
    PAIR = struct.Struct(">IB")  # entry of a report: server, slots plus outcome code
    HEAD = struct.Struct(">cIB")  # header of a summary: kind, checksum, index of the part

    def __init__(self) -> None:
        self.unreported: dict[int, Server] = {}
        self.unreported_outcomes: dict[int, int] = {}
        self.servers_in_order: list[Server] = []
        self.summaries_read = 0
        self.aggregators: dict[int, float] = {}
        self.aggregating = False
        self.last_report_at = 0.0
        self.on_load_changed: Callable[[Server], None] = lambda server: None
        self._listening_since = 0.0
        self._counts: dict[tuple[int, int], tuple[int, float]] = {}  # slots and time by peer and server, oldest first
        self._sender_clocks: dict[int, float] = {}  # the sender's clock in the last report, by peer
        self._report_received_at: dict[int, float] = {}  # this dispatcher's clock at the last report, by peer
        self._checksum = 0
        self._server_ids: dict[int, array[int]] = {}  # server numbers in the order of a summary, by checksum
        self._read_checksum = 0  # checksum of the last summary read
        self._part_levels: dict[int, str] = {}  # hex digits of the levels in that summary, by part

    # -- load of this dispatcher

    def own_load_changed(self, server: Server) -> None:
        """Records that this dispatcher's attempts in flight at a server have changed."""
        self.unreported[server.id] = server
        self.on_load_changed(server)

    def record_outcome(self, server: Server, badly: bool) -> None:
        """Records whether the last attempt at a server failed, to be reported with the next count."""
        self.unreported_outcomes[server.id] = ENDED_BADLY if badly else ENDED_WELL

    def repeat_counts(self, servers: Iterable[Server]) -> None:
        """Marks the counts at these servers to be reported again."""
        self.unreported.update({server.id: server for server in servers})

    def report(self, now: float) -> bytes:
        """Returns a message with the unreported counts that fit into one message; the rest stays unreported."""
        reported = list(self.unreported.values())[:COUNTS_IN_MESSAGE]
        pairs = []
        for server in reported:
            del self.unreported[server.id]
            slots = min(MAX_REPORTED_SLOTS, round(server.load.own_slots))
            pairs.append(self.PAIR.pack(server.id, slots + self.unreported_outcomes.pop(server.id, 0)))
        return self.STAMP.pack(self.COUNTS, now) + b"".join(pairs)

    # -- load of other dispatchers

    def receive(self, message: PeerMessage, servers: dict[int, Server], now: float) -> list[PeerOutcome]:
        """Reads a report or a summary, and returns the outcomes of the sender's attempts.

        Malformed content and unknown servers are ignored.
        """
        kind = message.content[:1]
        if kind == self.COUNTS and len(message.content) >= self.STAMP.size:
            return self._receive_counts(message, servers, now)
        if kind == self.SUMMARY:
            self.aggregators[message.peer] = now
            self.read_summary(message.content, servers)
        return []

    def _receive_counts(self, message: PeerMessage, servers: dict[int, Server], now: float) -> list[PeerOutcome]:
        _, clock = self.STAMP.unpack_from(message.content)
        if clock < self._sender_clocks.get(message.peer, clock):
            return []  # a later report arrived earlier
        self._sender_clocks[message.peer], self._report_received_at[message.peer] = clock, now
        pairs, size = message.content[self.STAMP.size :], self.PAIR.size
        outcomes = []
        for server_id, code in self.PAIR.iter_unpack(pairs[: len(pairs) // size * size]):
            server = servers.get(server_id)
            if server is None:
                continue
            if code > MAX_REPORTED_SLOTS:
                outcomes.append(PeerOutcome(server, code >= ENDED_BADLY))
            slots = code & MAX_REPORTED_SLOTS
            self._replace_count(message.peer, server, slots, now)
            if slots:
                self._counts[message.peer, server_id] = (slots, now)
        return outcomes

    def _replace_count(self, peer: int, server: Server, slots: int, now: float) -> None:
        before, _ = self._counts.pop((peer, server.id), (0, now))
        server.load.peer_slots += slots - before
        self.on_load_changed(server)

    def set_counts(self, peer: int, counts: dict[int, int], servers: dict[int, Server], now: float) -> None:
        """Sets the slots that a peer has in flight from another source than a report."""
        self._report_received_at[peer] = now
        for server_id, slots in counts.items():
            self._replace_count(peer, servers[server_id], slots, now)
            self._counts[peer, server_id] = (slots, now)

    def forget_peer(self, peer: int, servers: dict[int, Server]) -> None:
        """Removes all counts of a peer."""
        for key in [key for key in self._counts if key[0] == peer]:
            self._remove_count(key, servers)

    def forget_server(self, server_id: int) -> None:
        """Deletes the counts and outcomes of a server that is deleted from the server table."""
        self.unreported.pop(server_id, None)
        self.unreported_outcomes.pop(server_id, None)
        for key in [key for key in self._counts if key[1] == server_id]:
            del self._counts[key]

    def expire(self, before: float, servers: dict[int, Server], repeated: bool) -> None:
        """Removes counts that are older than a time.

        Args:
            before: the time in ms.
            servers: the servers by number.
            repeated: whether peers repeat unchanged counts; if not, a count stays while its peer has sent any report
                since ``before``.
        """
        while self._counts:
            key = next(iter(self._counts))
            slots, at = self._counts[key]
            if at >= before:
                return
            if not repeated and self._report_received_at[key[0]] >= before:
                del self._counts[key]
                self._counts[key] = (slots, self._report_received_at[key[0]])
            else:
                self._remove_count(key, servers)

    def _remove_count(self, key: tuple[int, int], servers: dict[int, Server]) -> None:
        server = servers[key[1]]
        server.load.peer_slots -= self._counts.pop(key)[0]
        self.on_load_changed(server)

    # -- summaries

    def aggregators_since(self, since: float) -> list[int]:
        """Returns the aggregators that have sent a summary since a time in ms."""
        return [peer for peer, at in self.aggregators.items() if at > since]

    def aggregators_active_since(self, position: int, count: int, now: float) -> float:
        """Returns the latest time since which ``count`` aggregators of a lower position have each sent a summary.

        If fewer aggregators of a lower position are known, returns the time of the first call.
        """
        self._listening_since = self._listening_since or now
        received_at = sorted((at for peer, at in self.aggregators.items() if peer < position), reverse=True)
        return received_at[count - 1] if len(received_at) >= count else self._listening_since

    def set_ready_servers(self, ready: Iterable[Server]) -> None:
        """Sets the servers of later summaries, in the order of their numbers."""
        self.servers_in_order = sorted(ready, key=attrgetter("id"))
        ids = array("Q", [server.id for server in self.servers_in_order])
        self._checksum = crc32(struct.pack(f">{len(ids)}Q", *ids))
        self._server_ids = dict([*self._server_ids.items(), (self._checksum, ids)][-MAX_KNOWN_LISTS:])

    def summary(self, levels: list[int]) -> list[bytes]:
        """Returns the messages of a summary; ``levels`` holds a level below 16 for each ready server."""
        text = "".join([HEX_DIGITS[level] for level in levels]) + "0"
        parts = [text[at : at + LEVELS_IN_MESSAGE] for at in range(0, len(levels), LEVELS_IN_MESSAGE)]
        return [
            self.HEAD.pack(self.SUMMARY, self._checksum, number) + bytes.fromhex(part[: len(part) // 2 * 2])
            for number, part in enumerate(parts)
        ]

    def read_summary(self, content: bytes, servers: dict[int, Server]) -> None:
        """Reads a part of a summary; a part for an unknown endpoint list is ignored."""
        if len(content) < self.HEAD.size:
            return
        _, checksum, part = self.HEAD.unpack_from(content)
        ids = self._server_ids.get(checksum)
        if ids is None:
            return
        if checksum != self._read_checksum:
            self._read_checksum, self._part_levels = checksum, {}
            for server in servers.values():
                self._set_level(server, 0)
        first, digits = part * LEVELS_IN_MESSAGE, content[self.HEAD.size :].hex()
        before = self._part_levels.get(part, "0" * LEVELS_IN_MESSAGE)
        self._part_levels[part] = digits
        self.summaries_read += 1
        if digits != before:
            pairs = zip_longest(digits, before[: max(0, len(ids) - first)], fillvalue="0")
            self._set_levels(pairs, ids[first:], servers)

    def _set_levels(self, digits: Iterable[tuple[str, str]], ids: Iterable[int], servers: dict[int, Server]) -> None:
        """Sets the levels of the servers whose digits have changed."""
        for (digit, before), server_id in zip(digits, ids, strict=False):
            server = servers.get(server_id) if digit != before else None
            if server is not None:
                self._set_level(server, LEVEL_OF_DIGIT[digit])

    def _set_level(self, server: Server, level: int) -> None:
        if server.load.level != level:
            server.load.level = level
            server.load.reported_failing = level == LEVEL_FAILING
            self.on_load_changed(server)
