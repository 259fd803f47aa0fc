"""Probes the other members: SWIM's failure detector with Lifeguard's local health.

In each probe interval one member is pinged, in the order of a shuffled round. A member that does not answer within the
timeout is pinged again, and some other members are asked to ping it too (indirect probes). If a probe fails and none
of the asked members sends even a nack, the fault is probably at the probing member, which then probes more slowly
(Lifeguard's local health multiplier). A ping to a suspect carries the suspicion, so that the suspect can refute it at
once (Lifeguard's buddy system).
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import inf
from random import Random
from typing import NamedTuple

from heronlug.cluster.member import Member
from heronlug.cluster.messages import Ack, IndirectPing, Nack, Part, Ping
from heronlug.cluster.model import ClusterTiming, Health

MAX_DIRECT_PINGS = 4
"""The largest number of direct pings of a probe; repeated pings keep lost datagrams from causing a suspicion."""

PROBE_ID_MASK = 0xFFFFFFFF
"""Limits probe numbers to the 32 bits that they have in datagrams."""


@dataclass(slots=True, eq=False)
class Probe:
    """The probe of the current probe interval.

    Attributes:
        member: The member that is probed.
        number: The number that answers to this probe carry.
        started_at: The time at which the first ping was sent, in milliseconds.
        pings: The number of direct pings sent.
        helpers: The number of members asked for an indirect probe.
        nacks: The number of nacks from these members: they got no answer from the probed member either.
        answered: Whether a direct or an indirect answer has arrived.
    """

    member: Member
    number: int
    started_at: float
    pings: int = 1
    helpers: int = 0
    nacks: int = 0
    answered: bool = False


class _IndirectProbe(NamedTuple):
    """An indirect probe that this member makes at the request of another member."""

    expires_at: float
    """The time after which the requester gets a nack, in milliseconds of this member's clock."""
    requester: str
    """The address of the member that requested the probe."""
    number: int
    """The number that the requester expects in the answer."""


class FailureDetector:
    """Probes members in turn and reports each member that does not answer.

    Attributes:
        local_health: Lifeguard's local health multiplier; 0 means healthy, a higher value makes probes slower.
        stopped: Whether the detector no longer starts probes.
    """

    def __init__(
        self,
        timing: ClusterTiming,
        rng: Random,
        members: Mapping[int, Member],
        send: Callable[[str, list[Part]], None],
        suspect: Callable[[Member, float], None],
    ) -> None:
        """Creates a detector.

        Args:
            timing: The timing of the cluster.
            rng: The source of randomness.
            members: The other members by tag; the owner of the mapping adds and removes members.
            send: Sends messages to an address.
            suspect: Called with each member that has not answered its probe, and with the time.
        """
        self.local_health = 0
        self.stopped = False
        self._timing = timing
        self._rng = rng
        self._members = members
        self._send = send
        self._suspect = suspect
        self._round: list[Member] = []
        self._probe: Probe | None = None
        self._last_number = rng.getrandbits(31)
        self._next_probe_at = -inf
        self._indirect_probes: dict[int, _IndirectProbe] = {}

    def next_wake(self) -> float:
        """Returns the earliest time at which :meth:`wake` or :meth:`expire_indirect_probes` has to be called."""
        expiries = [probe.expires_at for probe in self._indirect_probes.values()]
        return min(self._next_probe_at, self._next_ping_at(), *expiries)

    def add(self, member: Member) -> None:
        """Adds a new member to the current probe round, at a random position."""
        self._round.insert(self._rng.randrange(len(self._round) + 1), member)

    def adjust_local_health(self, change: int) -> None:
        """Adds ``change`` to the local health multiplier, within 0 and ``local_health_max``."""
        self.local_health = max(0, min(self._timing.local_health_max, self.local_health + change))

    # -- time

    def expire_indirect_probes(self, now: float) -> None:
        """Sends a nack to the requester of each indirect probe that got no answer in time."""
        for number, probe in list(self._indirect_probes.items()):
            if probe.expires_at <= now:
                del self._indirect_probes[number]
                self._send(probe.requester, [Nack(probe.number)])

    def wake(self, now: float) -> None:
        """Repeats the pings of the current probe and starts the next probe, each if due."""
        self._repeat_probe(now)
        if now >= self._next_probe_at:
            self._start_probe(now)

    def _next_ping_at(self) -> float:
        """Returns the time of the next ping of the probed member; infinity if it has answered or no pings are left."""
        probe = self._probe
        if probe is None or probe.answered or probe.pings >= MAX_DIRECT_PINGS:
            return inf
        return probe.started_at + probe.pings * self._timing.probe_timeout * (self.local_health + 1)

    def _repeat_probe(self, now: float) -> None:
        probe = self._probe
        while probe is not None and now >= self._next_ping_at():
            probe.pings += 1
            self._ping(probe.member, probe.number)
            if not probe.helpers:
                self._request_indirect_probes(probe)

    def _request_indirect_probes(self, probe: Probe) -> None:
        candidates = [m for m in self._active_members() if m is not probe.member and m.health is Health.ALIVE]
        for helper in self._rng.sample(candidates, min(self._timing.indirect_probes, len(candidates))):
            probe.helpers += 1
            self._send(helper.address, [IndirectPing(probe.number, probe.member.tag)])

    def _start_probe(self, now: float) -> None:
        if self._probe is not None and not self._probe.answered:
            self._report_failure(self._probe, now)
        self._probe = None
        self._next_probe_at = now + self._timing.probe_interval * (self.local_health + 1)
        if self.stopped:
            return
        while self._round and not self._round[-1].active:
            self._round.pop()
        if not self._round:
            self._round = self._active_members()
            self._rng.shuffle(self._round)
        if self._round:
            self._probe = Probe(self._round.pop(), self._new_number(), now)
            self._ping(self._probe.member, self._probe.number)

    def _report_failure(self, probe: Probe, now: float) -> None:
        # If no helper sends even a nack, the fault is probably at this member (Lifeguard).
        self.adjust_local_health(1 if probe.helpers and not probe.nacks else 0)
        if probe.member.active:
            self._suspect(probe.member, now)

    def _active_members(self) -> list[Member]:
        return [member for member in self._members.values() if member.active]

    def _new_number(self) -> int:
        self._last_number = (self._last_number + 1) & PROBE_ID_MASK
        return self._last_number

    def _ping(self, member: Member, number: int) -> None:
        suspicion = [member.update] if member.health is Health.SUSPECT else []
        self._send(member.address, [Ping(number), *suspicion])

    # -- messages

    def receive_ack(self, number: int) -> None:
        """Handles the answer to a ping, of this process's own probe or of an indirect probe for another member."""
        probe = self._probe
        if number in self._indirect_probes:
            indirect = self._indirect_probes.pop(number)
            self._send(indirect.requester, [Ack(indirect.number)])
        elif probe is not None and probe.number == number and not probe.answered:
            probe.answered = True
            self.adjust_local_health(-1)

    def receive_nack(self, number: int) -> None:
        """Handles the nack of a helper that got no answer to its indirect probe."""
        if self._probe is not None and self._probe.number == number:
            self._probe.nacks += 1

    def receive_indirect_ping(self, requester: str, request: IndirectPing, now: float) -> None:
        """Pings a member on behalf of the member at the address ``requester``."""
        member = self._members.get(request.target)
        if member is not None:
            number = self._new_number()
            expires_at = now + 2 * self._timing.probe_timeout
            self._indirect_probes[number] = _IndirectProbe(expires_at, requester, request.number)
            self._ping(member, number)
