"""One member: datagrams and time come in, actions go out.  Nothing here knows a socket or a clock."""

from collections.abc import Iterable, Mapping
from math import inf
from random import Random
from typing import NamedTuple

from heronlug.cluster.datagrams import DatagramCodec
from heronlug.cluster.leases import LeaseCallbacks, LeaseManager
from heronlug.cluster.member import LocalMember
from heronlug.cluster.membership import Membership
from heronlug.cluster.messages import Ack, IndirectPing, Nack, Part, Ping, Sync
from heronlug.cluster.model import Action, ClusterTiming, FencingToken, MemberUpdate, SendTo, WakeAt
from heronlug.cluster.ownership import rendezvous_weight, tag, top_ranked
from heronlug.cluster.replicated_tables import ReplicatedTables

LEAVE_REPEATS = 3
"""How often the update that this member leaves is sent to every member."""

GOSSIP_CARRIERS = (Ping, Ack, IndirectPing, Nack, Sync)
"""Parts of a datagram along with which member updates are sent."""

INCARNATION_SHIFT = 20
"""Bits below the incarnation in the first datagram stamp, so that the stamps of a restarted process are higher."""

MIN_WAKE_DELAY = 1.0
"""The shortest time to the next wake, in milliseconds."""


class RankPosition(NamedTuple):
    """Where this member stands in the ranking of a lease."""

    before: int
    """How many of the other members come before it."""
    others: int
    """How many other members there are."""


class Node:
    """A member of a cluster.

    Attributes:
        local: This process as a member.
        codec: Signs and checks datagrams.
        membership: The other members.
        leases: The leases that the members share.
        tables: The replicated tables.
        left: Whether this member has left; it then does nothing more.
    """

    def __init__(
        self,
        local: LocalMember,
        seeds: Iterable[str],
        leases: Iterable[str],
        keys: Mapping[int, bytes],
        rng: Random,
        timing: ClusterTiming | None = None,
    ) -> None:
        """Create a member that has not sent anything yet.

        Args:
            local: Its name and address; its incarnation is Unix milliseconds at the start, above that of every
                process of this name before.
            seeds: Addresses at which members are expected.
            leases: Names of the leases, the same at every member.
            keys: Keys of datagrams by their numbers; the first signs.
            rng: The source of randomness.
            timing: The cluster's timing; its defaults if not given.
        """
        self.local = local
        self.timing = timing or ClusterTiming()
        self.codec = DatagramCodec(local.tag, keys, local.incarnation << INCARNATION_SHIFT)
        self._actions: list[Action] = []
        self._unsent: dict[str, list[Part]] = {}
        notify = self._actions.append
        self.membership = Membership(local, seeds, self.timing, rng, self._send, notify)
        callbacks = LeaseCallbacks(self._send_to, notify, self._quorum, self._candidates)
        self.leases = LeaseManager(local.name, local.incarnation, list(leases), self.timing, callbacks)
        self.tables = ReplicatedTables(self.timing, rng, self._send_to, notify, self._active_tags, self.may_act)
        self._claims: dict[str, FencingToken] = {}
        self._addresses: dict[int, str] = {}
        self._settling_since: float | None = None
        self._last_run = inf
        self._leave_updates_sent = 0
        self.left = False

    # -- input

    def receive(self, data: bytes, address: str, now: float) -> list[Action]:
        """Handle a datagram from an address."""
        self._detect_pause(now)
        unpacked = self.codec.unpack(data)
        if unpacked is not None and not self.left and unpacked[0] != self.local.tag:
            sender, parts = unpacked
            self._addresses[sender] = address
            self.membership.receive(sender, address, parts, now)
            for part in parts:
                self.leases.receive(sender, part, now)
                self.tables.receive(sender, part, now)
        return self._take_actions(now)

    def wake(self, now: float) -> list[Action]:
        """Do what is due."""
        self._detect_pause(now)
        if self._settling_since is None:
            self._settling_since = now
            self.leases.votes_from = now + self.timing.lease_duration * (1 + 2 * self.timing.max_clock_drift)
        if not self.left:
            self.membership.wake(now)
            self.leases.wake(now)
            self.tables.wake(now)
            if self.leases.leaving and self.leases.idle():
                self._announce_leave()
        return self._take_actions(now)

    def leave(self, now: float) -> list[Action]:
        """Leave on purpose: leases are handed over first; :attr:`left` says when it is done."""
        self.leases.leaving = True
        for state in self.leases.leases.values():
            state.next_action_at = now
        return self.wake(now)

    def flush(self, now: float) -> list[Action]:
        """The actions that follow from a call to :attr:`tables` from outside, while :attr:`pending`."""
        return self._take_actions(now)

    # -- queries

    @property
    def pending(self) -> bool:
        """Whether there are actions that no call has returned."""
        return bool(self._unsent or self._actions)

    def may_act(self, lease: str, now: float) -> FencingToken | None:
        """The token to act under, or None; to be asked again before each step that matters."""
        if self.left:
            return None
        return self._claims.get(lease) or self.leases.may_act(tag(lease), now)

    def claim(self, table: str, now: float) -> FencingToken:
        """A token to write a table that no lease guards; the writer of an earlier claim gives way to a later one."""
        seen = self.tables.states[tag(table)].version.token.number
        token = FencingToken(max(int(now), seen + 1), self.local.tag)
        self._claims[table] = token
        return token

    def release(self, table: str) -> None:
        """End the claim of a table."""
        self._claims.pop(table, None)

    def rank_position(self, lease: str) -> RankPosition:
        """This member's position in the ranking of a lease."""
        own_weight = rendezvous_weight(lease, self.local.name)
        others = self.membership.active_members()
        before = sum(rendezvous_weight(lease, member.name) > own_weight for member in others)
        return RankPosition(before, len(others))

    # -- what membership, leases and tables ask for

    def _detect_pause(self, now: float) -> None:
        """Let a process settle anew if it stood still for so long that other members may hold it dead.

        What it knows of leases and tables is old, and an owner should not have to give way to it at once.
        """
        longest_pause = self.timing.suspicion_max + self.timing.probe_interval
        if self._settling_since is not None and now - self._last_run > longest_pause:
            self._settling_since = now
        self._last_run = now

    def _active_tags(self) -> list[int]:
        return [member.tag for member in self.membership.active_members()]

    def _quorum(self, lease: str, now: float) -> dict[int, str]:
        """All members if they are few, so that quorums are disjoint in a partition only; else the lease's first."""
        candidates = {member.tag: member.name for member in self.membership.quorum_candidates(now)}
        return top_ranked(lease, candidates, self.timing.max_quorum_members)

    def _candidates(self, now: float) -> list[str]:
        """Members that have been there for long enough to own a lease with a complete list of members."""
        settled = now - self.timing.settle_time
        names = [member.name for member in self.membership.active_members() if member.joined_at <= settled]
        if not self.leases.leaving and self._settling_since is not None and self._settling_since <= settled:
            names.append(self.local.name)
        return names

    # -- output

    def _announce_leave(self) -> None:
        update = self.membership.leave()
        for member in self.membership.active_members():
            self._send(member.address, [update])
        self._leave_updates_sent += 1
        if self._leave_updates_sent >= LEAVE_REPEATS:
            self.left = True

    def _send(self, address: str, parts: list[Part]) -> None:
        self._unsent.setdefault(address, []).extend(parts)

    def _send_to(self, target: int, part: Part) -> None:
        """Send a part to the member with this tag, or to where it was last heard from."""
        member = self.membership.by_tag.get(target)
        address = member.address if member is not None else self._addresses.get(target)
        if address is not None:
            self._send(address, [part])

    def _take_actions(self, now: float) -> list[Action]:
        """All actions since the last call, then when to wake again."""
        unsent, self._unsent = self._unsent, {}
        for address, parts in unsent.items():
            if any(isinstance(part, GOSSIP_CARRIERS) for part in parts):
                included = {part.name for part in parts if isinstance(part, MemberUpdate)}
                parts += [update for update in self.membership.next_updates() if update.name not in included]
            self._actions += [SendTo(address, data) for data in self.codec.pack(parts)]
        actions = [*self._actions]
        self._actions.clear()
        if not self.left:
            due = min(self.membership.next_wake(), self.leases.next_wake(), self.tables.next_wake())
            actions.append(WakeAt(max(now + MIN_WAKE_DELAY, due)))
        return actions
