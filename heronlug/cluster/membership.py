"""Tracks the members of the cluster by SWIM with the refinements of Lifeguard.

In SWIM (Das, Gupta, Motivala 2002), members are probed in turn, updates are sent along with other datagrams, and a
suspect has time to refute the suspicion by a higher incarnation. In Lifeguard (Dadgar, Phillips, Currey 2017), a
suspicion gets shorter as other members confirm it. Probes are in :mod:`heronlug.cluster.failure_detector`, the updates
to send are in :mod:`heronlug.cluster.gossip_queue`. Only dispatchers are members; servers are not probed here.

This module does no I/O and reads no clock; callers pass the time and the source of randomness.
"""

from collections.abc import Callable, Iterable
from math import inf, log
from random import Random

from heronlug.cluster.datagrams import MAX_BODY_SIZE
from heronlug.cluster.failure_detector import FailureDetector
from heronlug.cluster.gossip_queue import GossipQueue
from heronlug.cluster.member import LocalMember, Member
from heronlug.cluster.messages import Ack, IndirectPing, Nack, Part, Ping, Sync
from heronlug.cluster.model import ClusterTiming, Health, MemberChanged, MemberUpdate
from heronlug.cluster.ownership import tag

FAST_REJOIN_WINDOW = 5000.0
"""The time after a member's death in which join requests are sent more often, in milliseconds."""

FAST_REJOIN_FACTOR = 8
"""The factor by which join requests are more frequent after the start and after a member's death."""

MAX_JOIN_REQUESTS = 8
"""The largest number of addresses that get a join request at the same time."""

CARRIER_SIZE = 64
"""The bytes of a datagram reserved for its main content; member updates may fill the rest."""

RESTART_INCARNATION_GAP = 1000
"""The rise of an incarnation that shows a new process: a refutation adds 1, a new process starts at its Unix time."""


class Membership:
    """The members of the cluster as recorded at one member.

    Attributes:
        local: This process as a member.
        timing: The timing of the cluster.
        members: The other members by name; dead members and members that have left stay until they are forgotten.
        by_tag: The other members by tag.
        seeds: The addresses of the seeds, without this process's own address.
        suspicions: The number of times that this process has begun to suspect a member.
        false_suspicions: The number of suspicions that were refuted.
        refutations: The number of times that this process has refuted a report that it is suspected or dead.
        name_clashes: The number of updates ignored because the name has the same tag as another member's name.
    """

    def __init__(
        self,
        local: LocalMember,
        seeds: Iterable[str],
        timing: ClusterTiming,
        rng: Random,
        send: Callable[[str, list[Part]], None],
        notify: Callable[[MemberChanged], None],
    ) -> None:
        """Creates a membership that contains only this process.

        Args:
            local: This process as a member.
            seeds: The addresses at which other members are expected.
            timing: The timing of the cluster.
            rng: The source of randomness.
            send: Sends messages to an address.
            notify: Receives an event for each change of a member's health.
        """
        self.local = local
        self.timing = timing
        self.members: dict[str, Member] = {}
        self.by_tag: dict[int, Member] = {}
        self.seeds = [seed for seed in seeds if seed != local.address]
        self.suspicions = 0
        self.false_suspicions = 0
        self.refutations = 0
        self.name_clashes = 0
        self._rng = rng
        self._send = send
        self._notify = notify
        self._detector = FailureDetector(timing, rng, self.by_tag, send, self._probe_failed)
        self._gossip = GossipQueue(timing.retransmit_multiplier)
        self._next_join_at = -inf
        self._started_at = inf

    # -- queries

    @property
    def local_health(self) -> int:
        """Returns Lifeguard's local health multiplier; 0 means healthy."""
        return self._detector.local_health

    def active_members(self) -> list[Member]:
        """Returns the other members that are alive or suspected."""
        return [member for member in self.members.values() if member.active]

    def quorum_candidates(self, now: float) -> list[Member]:
        """Returns the other members that can be quorum members of a lease.

        A dead member counts if this process has received a datagram from it within the last lease duration: in that
        case the datagrams of this process are the ones that get lost.
        """
        received_since = now - self.timing.lease_duration
        return [
            m
            for m in self.members.values()
            if m.active or (m.health is Health.DEAD and m.last_received_at > received_since)
        ]

    def next_wake(self) -> float:
        """Returns the earliest time at which :meth:`wake` has to be called."""
        suspects = [member for member in self.members.values() if member.health is Health.SUSPECT]
        ends = [self._suspicion_end(member) for member in suspects]
        return min(self._detector.next_wake(), self._next_join_at, *ends)

    def next_updates(self, size_limit: int = MAX_BODY_SIZE - CARRIER_SIZE) -> list[MemberUpdate]:
        """Returns the updates to send along with a datagram, of at most ``size_limit`` bytes in total."""
        return self._gossip.take(size_limit, len(self.members))

    # -- time

    def wake(self, now: float) -> None:
        """Expires probes and members, sends join requests and probes, each if due."""
        self._detector.expire_indirect_probes(now)
        self._expire_members(now)
        if now >= self._next_join_at:
            self._join(now)
        self._detector.wake(now)

    def _expire_members(self, now: float) -> None:
        """Declares suspects dead that did not refute in time, and forgets inactive members after ``forget_after``."""
        for member in list(self.members.values()):
            if member.health is Health.SUSPECT and self._suspicion_end(member) <= now:
                self._set_health(member, Health.DEAD, now, "suspicion over")
            elif not member.active and now - member.changed_at > self.timing.forget_after:
                del self.members[member.name], self.by_tag[member.tag]

    def _join(self, now: float) -> None:
        """Sends join requests to the seeds that are not active members and to the dead members."""
        self._started_at = min(self._started_at, now)
        factor = FAST_REJOIN_FACTOR if self._joins_fast(now) else 1
        self._next_join_at = now + self.timing.rejoin_interval * self._rng.uniform(0.75, 1.25) / factor
        known = {member.address for member in self.active_members()}
        missing = [seed for seed in self.seeds if seed not in known]
        dead = [member.address for member in self.members.values() if member.health is Health.DEAD]
        missing += [address for address in dead if address not in missing]
        for address in missing[:MAX_JOIN_REQUESTS]:
            self._send(address, [Sync(), self.local.update])

    def _joins_fast(self, now: float) -> bool:
        """Returns whether join requests are sent more often.

        The list of members must be complete before this process may own a lease, and soon after a partition.
        """
        if now - self._started_at < self.timing.settle_time:
            return True
        dead = (member for member in self.members.values() if member.health is Health.DEAD)
        return any(now - member.changed_at < FAST_REJOIN_WINDOW for member in dead)

    def _suspicion_end(self, member: Member) -> float:
        """Returns the time at which a suspect is declared dead; each confirmation makes it earlier (LHA-Suspicion)."""
        timing = self.timing
        confirmed_fraction = log(len(member.suspected_by) or 1) / log(timing.confirmations + 1)
        duration = timing.suspicion_max - (timing.suspicion_max - timing.suspicion_min) * min(1.0, confirmed_fraction)
        return member.changed_at + max(timing.suspicion_min, duration)

    # -- messages

    def receive(self, sender: int, address: str, parts: Iterable[Part], now: float) -> None:
        """Handles the parts of a datagram that concern membership, and ignores other parts."""
        known = self.by_tag.get(sender)
        if known is not None:
            known.last_received_at = now
        for part in parts:
            match part:
                case Ping():
                    self._send(address, [Ack(part.number)])
                case Ack():
                    self._detector.receive_ack(part.number)
                case Nack():
                    self._detector.receive_nack(part.number)
                case IndirectPing():
                    self._detector.receive_indirect_ping(address, part, now)
                case Sync():
                    self._send(address, [*(member.update for member in self.members.values()), self.local.update])
                case MemberUpdate():
                    self.apply_update(part, sender, now)

    def apply_update(self, update: MemberUpdate, sender: int, now: float) -> None:
        """Applies an update in SWIM's order: a higher incarnation wins; at the same incarnation, the worse health."""
        if update.name == self.local.name:
            self._refute(update)
            return
        member = self.members.get(update.name)
        if member is None:
            self._add(update, sender, now)
        elif update.incarnation > member.incarnation:
            self._apply_incarnation(member, update, now)
            if update.health is not Health.ALIVE:
                self._apply_health(member, update, sender, now)
        elif update.incarnation == member.incarnation:
            self._apply_health(member, update, sender, now)

    def _add(self, update: MemberUpdate, sender: int, now: float) -> None:
        if tag(update.name) in self.by_tag or tag(update.name) == self.local.tag:
            self.name_clashes += 1  # If two names have the same tag, only the first name is admitted.
            return
        if update.health > Health.SUSPECT:
            return
        member = Member(update.name, update.address, update.incarnation, joined_at=now, changed_at=now)
        self.members[update.name] = self.by_tag[member.tag] = member
        self._detector.add(member)
        self._gossip.put(member.update)
        self._notify(MemberChanged(member.name, Health.ALIVE, "joined"))
        if update.health is Health.SUSPECT:
            self._suspect(member, sender, now, "told")

    def _apply_incarnation(self, member: Member, update: MemberUpdate, now: float) -> None:
        """Records a higher incarnation; an update with health ``ALIVE`` also ends a suspicion."""
        if not member.active or update.incarnation - member.incarnation >= RESTART_INCARNATION_GAP:
            member.joined_at = now
        member.incarnation = update.incarnation
        member.address = update.address
        if update.health is Health.ALIVE:
            previous = member.health
            member.suspected_by = set()
            if previous is Health.SUSPECT:
                self.false_suspicions += 1
            self._set_health(member, Health.ALIVE, now, "refuted" if previous is not Health.ALIVE else "told")

    def _apply_health(self, member: Member, update: MemberUpdate, sender: int, now: float) -> None:
        if update.health is Health.SUSPECT and member.active:
            self._suspect(member, sender, now, "told")
        elif update.health > member.health:
            self._set_health(member, update.health, now, "told")

    def _refute(self, update: MemberUpdate) -> None:
        """Refutes a report that this process is suspected or dead by raising its incarnation, unless it is leaving."""
        local = self.local
        if update.incarnation >= local.incarnation and update.health is not Health.ALIVE and not local.leaving:
            local.incarnation = update.incarnation + 1
            self.refutations += 1
            self._detector.adjust_local_health(1)
            self._gossip.put(local.update)

    # -- changes

    def _probe_failed(self, member: Member, now: float) -> None:
        self._suspect(member, self.local.tag, now, "no answer")

    def _suspect(self, member: Member, accuser: int, now: float, cause: str) -> None:
        if member.health is Health.ALIVE:
            self.suspicions += 1
            member.suspected_by = {accuser}
            self._set_health(member, Health.SUSPECT, now, cause)
        elif member.health is Health.SUSPECT and accuser not in member.suspected_by:
            member.suspected_by.add(accuser)
            if len(member.suspected_by) <= self.timing.confirmations + 1:
                self._gossip.put(member.update)  # An independent suspicion is passed on as a confirmation.

    def _set_health(self, member: Member, health: Health, now: float, cause: str) -> None:
        changed = member.health is not health
        member.health = health
        if changed:
            member.changed_at = now
            self._notify(MemberChanged(member.name, health, cause))
        self._gossip.put(member.update)

    def leave(self) -> MemberUpdate:
        """Stops probing and returns the update that announces the leave, so that no member suspects this process."""
        self.local.leaving = True
        self._detector.stopped = True
        return self.local.update
