"""Runs one member of a cluster without sockets or clocks: it takes datagrams and times and returns actions."""

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
"""The number of times that this member sends every member the update that it leaves."""

GOSSIP_CARRIERS = (Ping, Ack, IndirectPing, Nack, Sync)
"""The kinds of message whose datagrams also carry member updates."""

INCARNATION_SHIFT = 20
"""The shift from the incarnation to the first datagram stamp; makes the stamps of a restarted process higher."""

MIN_WAKE_DELAY = 1.0
"""The shortest delay to the next wake, in milliseconds."""


class RankPosition(NamedTuple):
    """This member's position in the ranking of a lease."""

    before: int
    """The number of other members that rank before this member."""
    others: int
    """The number of other active members."""


class Node:
    """One member of a cluster. Times are milliseconds of this member's monotonic clock.

    Attributes:
        local: This process as a member.
        timing: The timing of the cluster.
        codec: The codec that signs and checks datagrams.
        membership: The other members.
        leases: The leases at this member.
        tables: The replicated tables.
        left: Whether this member has left the cluster; it then ignores datagrams and wakes.
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
        """Creates a member that has not sent any datagram yet.

        Args:
            local: The name, address and incarnation of this member. The incarnation is the start in Unix
                milliseconds and must be above the incarnation of every earlier process with this name.
            seeds: The addresses at which other members are expected.
            leases: The names of the leases, the same at every member.
            keys: The keys of datagrams by number; the first key signs.
            rng: The source of randomness.
            timing: The timing of the cluster; the default timing if None.
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
        """Handles a datagram that came from an address, and returns the actions that follow."""
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
        """Does the work that is due and returns the actions that follow."""
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
        """Starts to leave the cluster: leases are handed over first, and :attr:`left` becomes true at the end."""
        self.leases.leaving = True
        for state in self.leases.leases.values():
            state.next_action_at = now
        return self.wake(now)

    def flush(self, now: float) -> list[Action]:
        """Returns the actions of an outside call to :attr:`tables`; to be called while :attr:`pending` is true."""
        return self._take_actions(now)

    # -- queries

    @property
    def pending(self) -> bool:
        """Returns whether there are actions that no call has returned yet."""
        return bool(self._unsent or self._actions)

    def may_act(self, lease: str, now: float) -> FencingToken | None:
        """Returns the token under which this member may act, or None; check again before each protected step."""
        if self.left:
            return None
        return self._claims.get(lease) or self.leases.may_act(tag(lease), now)

    def claim(self, table: str, now: float) -> FencingToken:
        """Returns a token to write a table that no lease guards; a later claim has a higher token and prevails."""
        seen = self.tables.states[tag(table)].version.token.number
        token = FencingToken(max(int(now), seen + 1), self.local.tag)
        self._claims[table] = token
        return token

    def release(self, table: str) -> None:
        """Ends this member's claim of a table."""
        self._claims.pop(table, None)

    def rank_position(self, lease: str) -> RankPosition:
        """Returns this member's position in the ranking of a lease."""
        own_weight = rendezvous_weight(lease, self.local.name)
        others = self.membership.active_members()
        before = sum(rendezvous_weight(lease, member.name) > own_weight for member in others)
        return RankPosition(before, len(others))

    # -- callbacks of membership, leases and tables

    def _detect_pause(self, now: float) -> None:
        """Restarts the settle time after a long pause, in which other members may have declared this process dead.

        After such a pause the state of leases and tables here is outdated, so this member must not request a lease
        from its current owner right away.
        """
        longest_pause = self.timing.suspicion_max + self.timing.probe_interval
        if self._settling_since is not None and now - self._last_run > longest_pause:
            self._settling_since = now
        self._last_run = now

    def _active_tags(self) -> list[int]:
        return [member.tag for member in self.membership.active_members()]

    def _quorum(self, lease: str, now: float) -> dict[int, str]:
        """Returns the other quorum members of a lease, names by tag.

        These are all members if they are few, so that quorums are disjoint only in a partition; else the members that
        rank first for the lease.
        """
        candidates = {member.tag: member.name for member in self.membership.quorum_candidates(now)}
        return top_ranked(lease, candidates, self.timing.max_quorum_members)

    def _candidates(self, now: float) -> list[str]:
        """Returns the names of the members that may own a lease.

        These are the members that joined at least the settle time ago, so that their lists of members are complete.
        """
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
        """Sends a part to the member with this tag, or to the source address of the last datagram with this tag."""
        member = self.membership.by_tag.get(target)
        address = member.address if member is not None else self._addresses.get(target)
        if address is not None:
            self._send(address, [part])

    def _take_actions(self, now: float) -> list[Action]:
        """Returns the actions since the last call, then the time of the next wake unless this member has left."""
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
