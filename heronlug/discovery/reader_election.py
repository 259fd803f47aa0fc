"""Which members of a cluster poll service discovery, from the start on and through its outages.

One reader serves all. Once there is a lease, its holder reads. A lease needs a settled list of members, which a fleet
that starts at once does not have for seconds. So until then, and whenever no reader is heard, a few members read
without a lease, chosen without agreement: each member takes its rank among the members that it knows, and the first
ranks begin first. A reader announces itself before its first answer has come, which holds the others back. A reader
whose watch has failed goes on announcing that it tries: the others keep the list that they have, and one of them a
second, in rotation, checks whether it can reach service discovery.

So a member has one of four roles:

    role    | when                                        | what it does
    listen  | no reader is heard, and its time has not    | keeps its list
            | come                                        |
    follow  | another reads, and its list is not outdated | uses the shared list; ends its own watch after
            |                                             | ``STEP_DOWN_AFTER_MS``
    wait    | another tries in vain                       | keeps its list; polls once when it is next in rotation
    read    | it holds the lease, or its time has come    | watches service discovery and shares the list

A member uses a list whose reader it has heard within ``stale_after``. Otherwise it reads itself at the latest
``MAX_EXTRA_WAIT_MS`` after that, unless no member can reach service discovery. Times are in milliseconds.
"""

from collections.abc import Iterable
from enum import Enum
from math import inf
from typing import NamedTuple

START_WAIT_MS = 400.0
"""A new member listens for so long before the first ranks read."""

STANDBY_WAIT_MS = 1000.0
"""After so much silence of a reader that was heard the first ranks read."""

RANK_STEP_MS = 300.0
"""Two more ranks read after so much more silence."""

RANKS_PER_STEP = 2

MAX_EXTRA_WAIT_MS = 500.0
"""No member waits longer than this after its list has become stale."""

LATE_RANK_STEP_MS = 25.0
"""Between two of the ranks that would otherwise come too late."""

MAX_ISOLATED_WAIT_MS = 1200.0
"""A member that hears nobody although it has seeds waits up to so much longer, at random."""

STEP_DOWN_AFTER_MS = 3000.0
"""Another reader must have been heard for so long before a member ends its own watch."""

ROTATION_MS = 1000.0
"""While a reader tries in vain, one other member polls in each such interval, another one each time."""


class Role(Enum):
    """What a member does about service discovery; the values stand in the log."""

    LISTEN = "listen"
    FOLLOW = "follow"
    WAIT = "wait"
    READ = "read"


class SharedListStatus(NamedTuple):
    """A shared list, as its writer was last heard.

    Attributes:
        age: Time since then, in ms.
        watched: Whether the writer has an open watch.
        outdated: Whether the list has a version below one that this member has seen.
    """

    age: float
    watched: bool
    outdated: bool


class MemberPosition(NamedTuple):
    """A member's position among the members that it knows.

    Attributes:
        rank: Its number in the order in which they begin to read, from 0.
        others: How many other members it knows.
    """

    rank: int
    others: int


class ReaderElection:
    """Decides the role of one member.

    Attributes:
        stale_after: A list whose writer has been silent for so long is stale, in ms.
        role: The member's role.
    """

    def __init__(self, stale_after: float, seeds: int, draw: float) -> None:
        """Begin as a listener.

        Args:
            stale_after: A list whose writer has been silent for so long is stale, in ms.
            seeds: How many seeds of the cluster the member has.
            draw: A random number from 0 to 1, which spreads the members that hear nobody.
        """
        self.stale_after = stale_after
        self.role = Role.LISTEN
        self._isolated_wait = MAX_ISOLATED_WAIT_MS * draw if seeds else 0.0
        self._started_at: float | None = None
        self._other_fails_since = inf
        self._other_reads_since: float | None = None
        self._last_turn = 0

    def decide(
        self,
        now: float,
        holds_lease: bool,
        position: MemberPosition,
        shared_lists: Iterable[SharedListStatus],
        watching: bool,
    ) -> Role:
        """Decide the role from now on.

        Args:
            now: The time, in ms.
            holds_lease: Whether the member holds the lease.
            position: Its position among the members.
            shared_lists: The lists that others share.
            watching: Whether its own watch is open and has brought a list.
        """
        if self._started_at is None:
            self._started_at = now
        usable_lists = [status for status in shared_lists if not status.outdated]
        reader_age = min((status.age for status in usable_lists if status.watched), default=inf)
        failing_age = min((status.age for status in usable_lists if not status.watched), default=inf)
        self._update_reader_times(now, reader_age, failing_age)
        self.role = self._next_role(now, holds_lease, position, reader_age, failing_age, watching)
        return self.role

    def _next_role(
        self,
        now: float,
        holds_lease: bool,
        position: MemberPosition,
        reader_age: float,
        failing_age: float,
        watching: bool,
    ) -> Role:
        if holds_lease:
            return Role.READ
        if watching:  # a list of its own is worth more than one that it would have to trust
            steps_down = self._other_reads_since is not None and now - self._other_reads_since >= STEP_DOWN_AFTER_MS
            return Role.FOLLOW if steps_down else Role.READ
        if self._silence(now, reader_age, failing_age) >= self._required_silence(
            position, min(reader_age, failing_age) == inf
        ):
            return Role.READ
        if reader_age <= self.stale_after:
            return Role.FOLLOW
        if failing_age <= self.stale_after:
            return Role.READ if self._claim_turn(now, position) else Role.WAIT
        return Role.LISTEN

    def _silence(self, now: float, reader_age: float, failing_age: float) -> float:
        """Time since a writer was heard, or since the start if none ever was, in ms."""
        age = min(reader_age, failing_age)
        return age if age < inf or self._started_at is None else now - self._started_at

    def _claim_turn(self, now: float, position: MemberPosition) -> bool:
        """Whether this member is next in the rotation, and has not polled in this turn."""
        turn = int((now - self._other_fails_since) / ROTATION_MS)
        if turn <= self._last_turn or turn % (position.others + 1) != position.rank:
            return False
        self._last_turn = turn
        return True

    def _update_reader_times(self, now: float, reader_age: float, failing_age: float) -> None:
        """Note since when another member reads, or tries in vain."""
        if reader_age > self.stale_after:
            self._other_reads_since = None
        elif self._other_reads_since is None:
            self._other_reads_since = now
        if failing_age > self.stale_after or reader_age <= self.stale_after:
            self._other_fails_since = inf
        elif self._other_fails_since == inf:
            self._other_fails_since = now
            self._last_turn = 0

    def _required_silence(self, position: MemberPosition, heard_nobody: bool) -> float:
        """The silence, in ms, after which this member reads; shorter at a start, when there may be no list to use."""
        first_wait = START_WAIT_MS if heard_nobody else STANDBY_WAIT_MS
        if heard_nobody and not position.others:
            return first_wait + self._isolated_wait
        wait = first_wait + RANK_STEP_MS * (position.rank // RANKS_PER_STEP)
        if wait <= self.stale_after:
            return wait
        ranks_in_time = RANKS_PER_STEP * int((self.stale_after - first_wait) / RANK_STEP_MS + 1)
        extra_wait = LATE_RANK_STEP_MS * max(0, position.rank - ranks_in_time)
        return self.stale_after + min(MAX_EXTRA_WAIT_MS, extra_wait)
