"""One member: datagrams and time in, actions out.  Nothing here knows a socket or a clock."""

from collections.abc import Iterable, Mapping
from math import inf
from random import Random

from heronlug.cluster.codec import Ack, DatagramCodec, IndirectPing, Nack, Part, Ping, Sync
from heronlug.cluster.leases import LeaseCallbacks, LeaseManager
from heronlug.cluster.membership import Membership
from heronlug.cluster.model import Action, ClusterTiming, FencingToken, MemberUpdate, SendTo, WakeAt
from heronlug.cluster.ownership import rendezvous_weight, tag, top_ranked
from heronlug.cluster.replicated_tables import ReplicatedTables

LEAVE_REPEATS = 3  # times that a leave is told to everybody
GOSSIP_CARRIERS = (Ping, Ack, IndirectPing, Nack, Sync)  # what news ride on


class Node:
    """A member of a cluster."""

    def __init__(
        self,
        name: str,
        address: str,
        seeds: Iterable[str],
        duties: Iterable[str],
        keys: Mapping[int, bytes],
        incarnation: int,
        rng: Random,
        terms: ClusterTiming | None = None,
    ) -> None:
        """``incarnation`` is Unix milliseconds at the start: above that of every process of this name before."""
        self.name, self.address, self.timing = name, address, terms or ClusterTiming()
        self.seal = DatagramCodec(tag(name), keys, incarnation << 20)
        self._out: list[Action] = []
        self._queued: dict[str, list[Part]] = {}
        self.membership = Membership(name, address, incarnation, seeds, self.timing, rng, self._send, self._out.append)
        callbacks = LeaseCallbacks(self._send_to, self._out.append, self._quorum, self._candidates)
        self.leases = LeaseManager(name, incarnation, list(duties), self.timing, callbacks)
        self.tables = ReplicatedTables(
            self.timing,
            rng,
            self._send_to,
            self._out.append,
            lambda: [member.tag for member in self.membership.active_members()],
            self.may_act,
        )
        self._claims: dict[str, FencingToken] = {}
        self._addresses: dict[int, str] = {}
        self._born: float | None = None
        self._last = inf  # when we last ran
        self._farewell = 0
        self.left = False

    # -- in

    def receive(self, data: bytes, address: str, now: float) -> list[Action]:
        """A datagram has come."""
        self._look_back(now)
        opened = self.seal.unpack(data)
        if opened is not None and not self.left and opened[0] != tag(self.name):
            sender, parts = opened
            self._addresses[sender] = address
            self.membership.receive(sender, address, parts, now)
            for part in parts:
                self.leases.receive(sender, part, now)
                self.tables.receive(sender, part, now)
        return self._actions(now)

    def wake(self, now: float) -> list[Action]:
        """Time has passed."""
        self._look_back(now)
        if self._born is None:
            self._born = now
            self.leases.votes_from = now + self.timing.lease_duration * (1 + 2 * self.timing.max_clock_drift)
        if not self.left:
            self.membership.wake(now)
            self.leases.wake(now)
            self.tables.wake(now)
            if self.leases.leaving and self.leases.idle():
                self._say_farewell()
        return self._actions(now)

    def leave(self, now: float) -> list[Action]:
        """Go on purpose: duties are handed over first; it is over once ``left`` says so."""
        self.leases.leaving = True
        for state in self.leases.leases.values():
            state.next_action_at = now
        return self.wake(now)

    def flush(self, now: float) -> list[Action]:
        """What has come of a call to :attr:`tables` from outside; to be asked for after it while ``pending``."""
        return self._actions(now)

    # -- what is known

    @property
    def pending(self) -> bool:
        """Whether there is something to carry out that no call has returned."""
        return bool(self._queued or self._out)

    def may_act(self, duty: str, now: float) -> FencingToken | None:
        """The fence to act under, or None: to be asked again before each step that matters."""
        if self.left:
            return None
        return self._claims.get(duty) or self.leases.may_act(tag(duty), now)

    def claim(self, sheet: str, now: float) -> FencingToken:
        """A fence to write a sheet under that no lease guards: the last claim counts, and who hears of it gives way."""
        seen = self.tables.states[tag(sheet)].version.token.number
        fence = self._claims[sheet] = FencingToken(max(int(now), seen + 1), tag(self.name))
        return fence

    def release(self, sheet: str) -> None:
        """It is not claimed any more."""
        self._claims.pop(sheet, None)

    def place(self, duty: str) -> tuple[int, int]:
        """How many of the others come before us in a duty's rank, and how many there are."""
        ours, others = rendezvous_weight(duty, self.name), self.membership.active_members()
        return sum(rendezvous_weight(duty, member.name) > ours for member in others), len(others)

    # -- inside

    def _look_back(self, now: float) -> None:
        """A process that stood still for so long that others may hold it dead settles anew, as one that has just come:
        what it knows of duties and sheets is old, and who owns one now should not have to give way to it at once."""
        if self._born is not None and now - self._last > self.timing.suspicion_max + self.timing.probe_interval:
            self._born = now
        self._last = now

    def _quorum(self, lease: str, now: float) -> dict[int, str]:
        """All where there are few, so that a vote is missed only in a partition; of many the foremost of the duty."""
        voters = {member.tag: member.name for member in self.membership.quorum_candidates(now)}
        return top_ranked(lease, voters, self.timing.max_quorum_members)

    def _candidates(self, now: float) -> list[str]:
        """Those that have been there long enough; nobody owns anything before the list of members can be whole."""
        settled = now - self.timing.settle_time
        names = [member.name for member in self.membership.active_members() if member.joined_at <= settled]
        if not self.leases.leaving and self._born is not None and self._born <= settled:
            names.append(self.name)
        return names

    def _say_farewell(self) -> None:
        news = self.membership.leave()
        for member in self.membership.active_members():
            self._send(member.address, [news])
        self._farewell += 1
        if self._farewell >= LEAVE_REPEATS:
            self.left = True

    def _send(self, address: str, parts: list[Part]) -> None:
        self._queued.setdefault(address, []).extend(parts)

    def _send_to(self, whom: int, part: Part) -> None:
        member = self.membership.by_tag.get(whom)
        address = member.address if member is not None else self._addresses.get(whom)
        if address is not None:
            self._send(address, [part])

    def _actions(self, now: float) -> list[Action]:
        queued, self._queued = self._queued, {}
        for address, parts in queued.items():
            if any(isinstance(part, GOSSIP_CARRIERS) for part in parts):
                told = {part.name for part in parts if isinstance(part, MemberUpdate)}
                parts += [item for item in self.membership.next_updates() if item.name not in told]
            self._out += [SendTo(address, data) for data in self.seal.pack(parts)]
        out = [*self._out]
        self._out.clear()
        if not self.left:
            due = min(self.membership.next_wake(), self.leases.next_wake(), self.tables.next_wake())
            out.append(WakeAt(max(now + 1.0, due)))
        return out
