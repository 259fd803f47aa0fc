"""Who of a cluster reads the node register, from the first second on and through its outages.

One reading serves all. Once a lease is held its owner reads; a lease needs a settled list of members, which a fleet
that starts at once does not have for seconds. So until then, and whenever nobody is heard reading, a few scouts read,
chosen without agreement: each member takes its place in the duty's rank among those that it knows, and the first
places come first. Whoever begins says so before the answer has come, and that holds the others back. A reader whose
watch has failed goes on saying that it tries: the others keep what they have, and in turns, one a second over all of
them, look whether they can reach the register.

So a member is in one of four roles:

    role    | from                                         | it
    listen  | nobody is heard reading, and not our turn    | keeps its list and hears
    follow  | somebody reads, and what it says is new      | goes by the shared list; our own watch ends after TRUST
    wait    | somebody tries in vain                       | keeps its list; in its turn it makes one call
    read    | owner, or our place has come                 | watches the register and tells all

The promise: a member goes by a list whose reader has been heard within ``stale_after``; else it reads itself, at the
latest ``LAST`` after that, or a register that nobody reaches is to blame. Times in milliseconds.
"""

from collections.abc import Iterable
from enum import Enum
from math import inf
from typing import NamedTuple

LISTEN = 400.0  # a newcomer hears its seeds first
STANDBY = 1000.0  # without a word of a reader the first places read
STEP = 300.0  # and two more places after this
LAST = 500.0  # after staleness nobody waits longer for its place
CROWD = 25.0  # between two places of those that come last
CHANCE = 1200.0  # who hears nobody though it has seeds waits up to this, by chance
TRUST = 3000.0  # somebody else has to have been heard reading for so long before our own watch ends
TURN = 1000.0  # while a reader tries in vain, one other member looks, each time another


class Role(Enum):
    """What a member does about the register."""

    LISTEN = "listen"
    FOLLOW = "follow"
    WAIT = "wait"
    READ = "read"


class SharedListStatus(NamedTuple):
    """One shared list, as its writer was last heard."""

    age: float  # ms since then
    watched: bool  # its watch on the register is on
    behind: bool  # the list is of a version below one that we have seen


class MemberPosition(NamedTuple):
    """Ours among the members that we know."""

    rank: int  # 0 comes first
    others: int


class ReaderElection:
    """One member's part."""

    def __init__(self, stale_after: float, seeds: int, chance: float) -> None:
        """``chance`` is a number from 0 to 1, drawn once."""
        self.stale_after = stale_after
        self._alone_wait = CHANCE * chance if seeds else 0.0
        self._began: float | None = None
        self._tried_since = inf
        self._trust_since: float | None = None
        self._turned = 0  # the last turn that we took
        self.role = Role.LISTEN

    def decide(
        self, now: float, owner: bool, place: MemberPosition, heard: Iterable[SharedListStatus], works: bool
    ) -> Role:
        """The role from now on; ``works``: our own watch is on."""
        self._began = now if self._began is None else self._began
        good = [one for one in heard if not one.behind]
        read_by = min((one.age for one in good if one.watched), default=inf)
        tried_by = min((one.age for one in good if not one.watched), default=inf)
        self.role = self._role(now, owner, place, read_by, tried_by, works)
        return self.role

    def _role(
        self, now: float, owner: bool, place: MemberPosition, read_by: float, tried_by: float, works: bool
    ) -> Role:
        self._note(now, read_by, tried_by)
        if owner:
            return Role.READ
        if works:  # what we have is worth more than what we would have to trust
            trusted = self._trust_since is not None and now - self._trust_since >= TRUST
            return Role.FOLLOW if trusted else Role.READ
        last = min(read_by, tried_by)
        silent = last if last < inf or self._began is None else now - self._began
        if silent >= self._due(place, last == inf):
            return Role.READ
        if read_by <= self.stale_after:
            return Role.FOLLOW
        if tried_by <= self.stale_after:
            turn = int((now - self._tried_since) / TURN)
            if turn > self._turned and turn % (place.others + 1) == place.rank:
                self._turned = turn
                return Role.READ
            return Role.WAIT
        return Role.LISTEN

    def _note(self, now: float, read_by: float, tried_by: float) -> None:
        """Since when somebody reads, or tries in vain."""
        if read_by > self.stale_after:
            self._trust_since = None
        elif self._trust_since is None:
            self._trust_since = now
        if tried_by > self.stale_after or read_by <= self.stale_after:
            self._tried_since = inf
        elif self._tried_since == inf:
            self._tried_since, self._turned = now, 0

    def _due(self, place: MemberPosition, started: bool) -> float:
        """After how much silence our place comes; at a start sooner, for there is no list to go by."""
        first = LISTEN if started else STANDBY
        last = self.stale_after
        if started and not place.others:
            return first + self._alone_wait
        step = first + STEP * (place.rank // 2)
        if step <= last:
            return step
        places = 2 * int((last - first) / STEP + 1)
        return last + min(LAST, CROWD * max(0, place.rank - places))
