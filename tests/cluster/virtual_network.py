"""Simulates a network of cluster members without sockets or sleeps, repeatable by seed.

It simulates loss, delay, duplicates, reordering, one-way cuts, partitions, clock drift, pauses, kills and restarts.
After each change of members or leases it checks that no token has two owners, and that no lease has two owners at once
unless ``may_overlap`` is set because links are cut.
"""

import heapq
from collections.abc import Iterable
from random import Random
from typing import Any

from heronlug.cluster.member import LocalMember
from heronlug.cluster.model import (
    ClusterTiming,
    FencingToken,
    LeaseGained,
    LeaseLost,
    MemberChanged,
    SendTo,
    TableChanged,
    WakeAt,
)
from heronlug.cluster.node import Node

KEYS = {1: b"k" * 32}
START_UNIX_MS = 1_800_000_000_000  # the Unix time at virtual time 0


class Process:
    """A process that runs one member, with its own clock."""

    def __init__(self, net: "VirtualNetwork", name: str, drift: float) -> None:
        self.net, self.name, self.drift = net, name, drift
        self.offset = net.rng.uniform(0, 1e6)
        incarnation = START_UNIX_MS + int(net.now) + net.start_skew.setdefault(name, net.rng.randrange(-2000, 2000))
        seeds = [other for other in net.names[: net.seeds] if other != name]
        local = LocalMember(name, name, incarnation)
        self.node = Node(local, seeds, net.leases, net.keys, Random(net.rng.random()), net.timing)
        self.paused = self.dead = False
        self.deferred: list[tuple[bytes, str]] = []
        self.next_wake = 0.0
        # The tables as a user of the member builds them from TableChanged actions.
        self.tables: dict[str, dict[bytes, bytes]] = {topic: {} for topic in net.topics}
        for topic in net.topics:
            self.node.tables.follow(topic)

    def clock(self) -> float:
        """Returns the time of this process's own clock, in milliseconds."""
        return self.offset + self.net.now * (1 + self.drift)


class VirtualNetwork:
    """The processes of all members, and the events scheduled between them. Times are milliseconds of virtual time."""

    def __init__(
        self,
        names: Iterable[str],
        seed: int,
        leases: Iterable[str] = ("register", "sweep", "probe", "audit"),
        loss: float = 0.0,
        timing: ClusterTiming | None = None,
        drift: float = 0.01,
        topics: Iterable[str] = (),
    ) -> None:
        self.rng, self.seed = Random(seed), seed
        self.names, self.leases, self.topics, self.keys = list(names), list(leases), list(topics), KEYS
        # The number of names that every member gets as seeds.
        self.seeds = 3 if len(self.names) > 16 else len(self.names)
        self.loss, self.delay, self.duplicate_rate, self.timing = loss, (0.5, 40.0), 0.02, timing or ClusterTiming()
        self.now = 0.0
        self.start_skew: dict[str, int] = {}
        self.cut: set[tuple[str, str]] = set()
        self.processes: dict[str, Process] = {}
        self.killed: list[Process] = []
        self.drifts = {name: self.rng.uniform(-drift, drift) for name in self.names}
        self._queue: list[tuple[float, int, str, Any]] = []
        self._event_count = 0
        self.log: list[tuple[float, str, Any]] = []
        self.tokens: dict[tuple[str, FencingToken], str] = {}  # the process that first acted under each token
        self.acting: dict[str, set[str]] = {lease: set() for lease in self.leases}
        self.overlap_since: dict[str, float] = {}  # when a lease got more than one owner
        self.overlap = 0.0  # the longest time that a lease had more than one owner
        self.idle_since: dict[str, float] = dict.fromkeys(self.leases, 0.0)
        self.longest_idle = 0.0
        self.may_overlap = False
        self.sent = self.bytes = 0

    # -- actions of tests

    def start(self, name: str) -> None:
        """Starts a process of that name."""
        process = self.processes[name] = Process(self, name, self.drifts[name])
        self._do(process, process.node.wake(process.clock()))

    def kill(self, name: str) -> None:
        """Kills a process without notice to the other members."""
        process = self.processes.pop(name)
        process.dead = True
        self.killed.append(process)
        self.check()

    def leave(self, name: str) -> None:
        """Lets a member start to leave the cluster."""
        process = self.processes[name]
        self._do(process, process.node.leave(process.clock()))

    def publish(self, name: str, topic: str, changes: dict[bytes, bytes | None]) -> bool:
        """Lets a member publish rows under its token; returns False if it has none."""
        process = self.processes[name]
        now = process.clock()
        token = process.node.may_act(topic, now)
        if token is None:
            return False
        process.node.tables.publish(topic, token, changes, now)
        process.tables[topic] = process.node.tables.rows(topic)
        self._do(process, process.node.flush(now))
        return True

    def pause(self, name: str, span: float) -> None:
        """Pauses a whole process for ``span`` milliseconds; up to 64 datagrams wait in its socket buffer."""
        process = self.processes.get(name)
        if process is not None and not process.paused:
            process.paused = True
            self._schedule(self.now + span, name, (process, "resume"))

    def split(self, *sides: Iterable[str]) -> None:
        """Cuts all links between these groups of members."""
        groups = [set(side) for side in sides]
        self.cut |= {
            (a, b)
            for sources in groups
            for targets in groups
            if sources is not targets
            for a in sources
            for b in targets
        }

    def run(self, span: float) -> None:
        """Runs the events of the next ``span`` milliseconds."""
        end = self.now + span
        while self._queue and self._queue[0][0] <= end:
            self.now, _, name, (process, event) = heapq.heappop(self._queue)
            if process.dead:
                continue
            if event == "resume":
                process.paused = False
                deferred, process.deferred = process.deferred, []
                for data, sender in deferred:
                    self._do(process, process.node.receive(data, sender, process.clock()))
                self._do(process, process.node.wake(process.clock()))
            elif process.paused:
                if isinstance(event, tuple):
                    process.deferred = [*process.deferred[-63:], event]
                else:
                    process.next_wake = 0.0
            elif isinstance(event, tuple):
                self._do(process, process.node.receive(*event, process.clock()))
            elif event == process.next_wake:
                process.next_wake = 0.0
                self._do(process, process.node.wake(process.clock()))
        self.now = end
        self.check()

    # -- state of the cluster

    def owner(self, lease: str) -> str | None:
        """Returns the first member that may act on a lease now, or None."""
        return next(iter(self.owners(lease)), None)

    def owners(self, lease: str) -> list[str]:
        """Returns all members that may act on a lease now; more than one is an error outside a partition."""
        running = [p for p in self.processes.values() if not p.paused]
        return [p.name for p in running if p.node.may_act(lease, p.clock()) is not None]

    def check(self) -> None:
        """Checks the invariants and records overlap and idle times.

        Raises:
            AssertionError: If an invariant is violated; the message names the seed.
        """
        for lease in self.leases:
            owners = self.owners(lease)
            for name in owners:
                process = self.processes[name]
                token = process.node.may_act(lease, process.clock())
                assert token is not None
                first = self.tokens.setdefault((lease, token), f"{name}/{process.node.local.name}/{id(process)}")
                assert first.endswith(f"/{id(process)}"), f"seed {self.seed}: {lease} {token} twice: {first} and {name}"
            if len(owners) > 1:
                self.overlap = max(self.overlap, self.now - self.overlap_since.setdefault(lease, self.now))
                assert self.may_overlap, f"seed {self.seed}: at {self.now:.0f} {lease} is owned by {owners}"
            else:
                self.overlap_since.pop(lease, None)
            if owners:
                self.idle_since.pop(lease, None)
            else:
                self.longest_idle = max(self.longest_idle, self.now - self.idle_since.setdefault(lease, self.now))

    # -- internals

    def _schedule(self, when: float, name: str, event: Any) -> None:
        self._event_count += 1
        heapq.heappush(self._queue, (when, self._event_count, name, event))

    def _do(self, process: Process, actions: list[Any]) -> None:
        changed = False
        for action in actions:
            if isinstance(action, SendTo):
                self._send(process.name, action)
            elif isinstance(action, WakeAt):
                when = self.now + max(0.1, (action.when - process.clock()) / (1 + process.drift))
                if not process.next_wake or when < process.next_wake:
                    process.next_wake = when
                    self._schedule(when, process.name, (process, when))
            elif isinstance(action, TableChanged):
                rows = process.tables[action.table]
                for key, value in action.changes.items():
                    if value is None:
                        del rows[key]
                    else:
                        rows[key] = value
            else:
                assert isinstance(action, MemberChanged | LeaseGained | LeaseLost)
                self.log.append((self.now, process.name, action))
                changed = True
        if changed:
            self.check()

    def _send(self, sender: str, action: SendTo) -> None:
        self.sent += 1
        self.bytes += len(action.data)
        target = self.processes.get(action.address)
        if target is None or (sender, action.address) in self.cut or self.rng.random() < self.loss:
            return
        for _ in range(2 if self.rng.random() < self.duplicate_rate else 1):
            arrives = self.now + self.rng.uniform(*self.delay)
            self._schedule(arrives, action.address, (target, (action.data, sender)))
