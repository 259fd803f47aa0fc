"""How long the list of servers that is held may be gone by: when a change that has not arrived counts as notified.

Whatever happens to the calls of service discovery, a change that it has made counts as notified some time later, and
past that time and the grace for drains a server that has left may get no new work.  So a list is good until the
earliest moment at which a change that is not here could have come to that point; then nothing but an answer renews it.

All that moves the state is :class:`Freshness`, by the two tables below; the module does no I/O and has no clock.

=========== ====================================================================================================
state       what may have been notified and is not here
=========== ====================================================================================================
UNCONFIRMED anything: the list was given at the start of the process, and nobody knows how old it is
WATCHED     what the call that is out has missed, if its connection has died in silence
UNWATCHED   what has changed since the watch ended
MISSED      what a watch that fell silent did not bring; its clock runs from its last call, whatever is called later
=========== ====================================================================================================

Times are in milliseconds on one clock.
"""

from enum import Enum
from math import inf

SILENCE = 6_000.0  # after it was made a change counts, if discovery could be reached; so does what a silent call missed
AFTER_WAIT = 2_000.0  # so long after the wait of a call is over, if that is later
HANDED_OVER = 2_000.0  # after a new process took over from another that ran
MOVED = 4_000.0  # after a new configuration, as the protocol has it for pushed lists; the sooner for all
MARGIN = 150.0  # that are kept of the grace: a process may be held up between its clock and its write
PAUSES = 6  # where lists are pushed, a watch that broke is tried again so often within the grace


class State(Enum):
    """What is known of the list that is held."""

    UNCONFIRMED = "unconfirmed"
    WATCHED = "watched"
    UNWATCHED = "unwatched"
    MISSED = "missed"


class Event(Enum):
    """What can happen to the calls of service discovery."""

    BEGUN = "begun"  # the first bytes of an answer, which counts from its writing on
    ANSWERED = "answered"  # the list is complete as of now
    GIVEN_UP = "given up"  # a call brought nothing in its time
    FAILED = "failed"  # refused by an answer, reset, no list, or a failure of our own machine
    REFUSED = "refused"  # the dial, by a machine on which nobody listens: discovery is down at this moment
    UNREACHABLE = "unreachable"  # a dial that nobody answered
    MOVED = "moved"  # a new configuration names another address


NEXT: dict[tuple[State, Event], State] = {
    (State.UNCONFIRMED, Event.ANSWERED): State.WATCHED,
    (State.UNCONFIRMED, Event.REFUSED): State.UNWATCHED,  # nothing can be known but the list
    (State.UNCONFIRMED, Event.UNREACHABLE): State.UNWATCHED,
    (State.WATCHED, Event.ANSWERED): State.WATCHED,
    (State.WATCHED, Event.GIVEN_UP): State.MISSED,
    (State.WATCHED, Event.FAILED): State.UNWATCHED,
    (State.WATCHED, Event.REFUSED): State.UNWATCHED,
    (State.WATCHED, Event.UNREACHABLE): State.UNWATCHED,
    (State.WATCHED, Event.MOVED): State.UNWATCHED,
    (State.UNWATCHED, Event.ANSWERED): State.WATCHED,
    (State.MISSED, Event.ANSWERED): State.WATCHED,
}
"""Where an event leads; all others leave the state as it is."""

RENEWS: set[tuple[State, Event]] = {
    (State.UNCONFIRMED, Event.REFUSED),
    (State.UNCONFIRMED, Event.UNREACHABLE),
    (State.UNWATCHED, Event.REFUSED),
}
"""Events after which all that is missing can only have been made later: discovery is down, or nothing is known."""


class Freshness:
    """The clock of one list, from the start of a process on."""

    def __init__(self, pushed: bool, ask_every: float, grace: float) -> None:
        """``pushed``: a change counts at once where no watch is on; else ``ask_every`` ms later, or sooner."""
        self.pushed = pushed
        self.state = State.UNCONFIRMED
        self.good_until = -inf
        self._counts_after = 0.0 if pushed else min(ask_every, SILENCE)
        self._moved_counts_after = MOVED if pushed else min(ask_every, MOVED)
        self._grace = max(0.0, grace - min(MARGIN, grace / 4))

    @property
    def pause(self) -> float | None:
        """Until the next call where the page leaves no time to ask as the module paces it; else None."""
        return max(50.0, self._grace / PAUSES) if self.pushed else None

    @property
    def missing(self) -> bool:
        """Whether something may be notified already that is not here: only an answer helps, and a watch is none."""
        return self.state is not State.WATCHED

    def remaining(self, now: float) -> float:
        """How long the list would be good in a process that begins with it now, in ms."""
        return max(0.0, min(self.good_until, now + self._counts_after + self._grace) - now)

    def begin(self, now: float, remaining: float = 0.0) -> None:
        """A process starts with a list that another one knows to be good for ``remaining`` ms; 0 is of unknown age."""
        if remaining > 0.0:
            self.state = State.UNWATCHED
            self.good_until = now + min(remaining, self._counts_after + self._grace, HANDED_OVER + self._grace)

    def called(self, now: float, wait: float) -> None:
        """A call has gone out that waits so long for news.  Only one that follows an answer is a watch."""
        if self.state is State.WATCHED:
            self.good_until = min(self.good_until, now + max(SILENCE, wait + AFTER_WAIT) + self._grace)

    def happened(self, event: Event, now: float) -> None:
        """Something has become of a call, or of where it goes."""
        before, self.state = self.state, NEXT.get((self.state, event), self.state)
        if event is Event.ANSWERED:
            self.good_until = inf
        elif (before, event) in RENEWS:
            # an end that has passed stays: discovery was at hand meanwhile, and what changed then counts
            if before is State.UNCONFIRMED or now < self.good_until:
                self.good_until = max(self.good_until, now + self._counts_after + self._grace)
        elif event is Event.BEGUN:
            self.good_until = min(self.good_until, now + self._grace)
        elif event is Event.MOVED:
            self.good_until = min(self.good_until, now + self._moved_counts_after + self._grace)
        elif before is State.WATCHED and self.state is State.UNWATCHED:
            # the watch may have been silent before it ended, so its own clock goes on
            self.good_until = min(self.good_until, now + self._counts_after + self._grace)
