"""Decides which members of a cluster poll service discovery, at the start and during outages.

One reader polls for the whole cluster. Once a lease exists, the lease holder is the reader. A lease requires a stable
list of members, which a fleet that starts all at once lacks for some seconds. Until then, and whenever no reader
announces itself, a few members read without a lease and without an agreement: each member computes its rank among the
members known to that member, and the lowest ranks start first. A reader announces itself before its first answer has
arrived, so that the other members do not start to read. A reader whose watch has failed keeps announcing its attempts.
The other members then keep their lists, and once per second one of these members, in rotation, polls to check whether
that member can reach service discovery.

A member has one of four roles:

    role    | condition                                   | behavior
    listen  | no reader announces itself, and the         | keeps its list
            | required silence is not over                |
    follow  | another member reads, and its list is not   | uses the shared list; ends its own watch after
            | outdated                                    | ``STEP_DOWN_AFTER_MS``
    wait    | the attempts of another member fail         | keeps its list; polls once in its turn of the rotation
    read    | holds the lease, or the required silence    | watches service discovery and shares the list
            | is over                                     |

A member uses a shared list while the last message from the reader is at most ``stale_after`` old. Otherwise the member
starts to read at most ``MAX_EXTRA_WAIT_MS`` later, unless no member can reach service discovery.

Times are in milliseconds.
"""

from collections.abc import Iterable
from enum import Enum
from math import inf
from typing import NamedTuple

START_WAIT_MS = 400.0
"""Silence after the start of a member after which the lowest ranks read."""

STANDBY_WAIT_MS = 1000.0
"""Silence of a known reader after which the lowest ranks read."""

RANK_STEP_MS = 300.0
"""Additional silence after which the next ``RANKS_PER_STEP`` ranks read."""

RANKS_PER_STEP = 2
"""Number of ranks that start to read after the same silence."""

MAX_EXTRA_WAIT_MS = 500.0
"""Maximum time that a member waits after its list has become stale."""

LATE_RANK_STEP_MS = 25.0
"""Additional silence per rank for ranks that would otherwise start after their list is stale."""

MAX_ISOLATED_WAIT_MS = 1200.0
"""Upper bound of the random extra wait of a member with configured seeds but without known members."""

STEP_DOWN_AFTER_MS = 3000.0
"""Time for which another reader must have been active before a member ends its own watch."""

ROTATION_MS = 1000.0
"""Length of a turn of the rotation: while the polls of a reader fail, a different member polls in each turn."""


class Role(Enum):
    """Roles of a member, which determine whether the member polls; the values are written to the log."""

    LISTEN = "listen"
    FOLLOW = "follow"
    WAIT = "wait"
    READ = "read"


class SharedListStatus(NamedTuple):
    """State of a shared list in the last message from its writer.

    Attributes:
        age: Time since that message, in ms.
        watched: Whether the writer has an open watch.
        outdated: Whether this member has already seen a newer version of the list.
    """

    age: float
    watched: bool
    outdated: bool


class MemberPosition(NamedTuple):
    """The position of a member among the members known to that member.

    Attributes:
        rank: Index in the order in which the members start to read, from 0.
        others: Number of other known members.
    """

    rank: int
    others: int


class ReaderElection:
    """Decides the role of one member.

    Attributes:
        stale_after: Silence of the writer, in ms, after which a shared list is stale.
        role: The current role of the member.
    """

    def __init__(self, stale_after: float, seeds: int, draw: float) -> None:
        """Starts in the role ``LISTEN``.

        Args:
            stale_after: Silence of the writer, in ms, after which a shared list is stale.
            seeds: Number of configured seeds of the cluster.
            draw: A random number from 0 to 1, which spreads the first polls of members without known peers.
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
        """Decides and returns the role from now on.

        Args:
            now: The current time, in ms.
            holds_lease: Whether this member holds the lease.
            position: Position of this member among the members.
            shared_lists: States of the lists that other members share.
            watching: Whether this member's own watch is open and has returned a list.
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
        if watching:  # a list from the member's own watch is more reliable than a shared one
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
        """Returns the time, in ms, since the last message from a writer, or since the start if there was none."""
        age = min(reader_age, failing_age)
        return age if age < inf or self._started_at is None else now - self._started_at

    def _claim_turn(self, now: float, position: MemberPosition) -> bool:
        """Returns whether this member may poll in the current turn of the rotation, and marks the turn as used."""
        turn = int((now - self._other_fails_since) / ROTATION_MS)
        if turn <= self._last_turn or turn % (position.others + 1) != position.rank:
            return False
        self._last_turn = turn
        return True

    def _update_reader_times(self, now: float, reader_age: float, failing_age: float) -> None:
        """Updates the times since which another member reads and since which the polls of another member fail."""
        if reader_age > self.stale_after:
            self._other_reads_since = None
        elif self._other_reads_since is None:
            self._other_reads_since = now
        if failing_age > self.stale_after or reader_age <= self.stale_after:
            self._other_fails_since = inf
        elif self._other_fails_since == inf:
            self._other_fails_since = now
            self._last_turn = 0

    def _required_silence(self, position: MemberPosition, no_message_received: bool) -> float:
        """Returns the silence, in ms, after which this member reads; shorter at a start, when a list may be missing."""
        first_wait = START_WAIT_MS if no_message_received else STANDBY_WAIT_MS
        if no_message_received and not position.others:
            return first_wait + self._isolated_wait
        wait = first_wait + RANK_STEP_MS * (position.rank // RANKS_PER_STEP)
        if wait <= self.stale_after:
            return wait
        ranks_in_time = RANKS_PER_STEP * int((self.stale_after - first_wait) / RANK_STEP_MS + 1)
        extra_wait = LATE_RANK_STEP_MS * max(0, position.rank - ranks_in_time)
        return self.stale_after + min(MAX_EXTRA_WAIT_MS, extra_wait)
