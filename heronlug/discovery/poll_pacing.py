"""When a dispatcher calls the node register again: as one of many that call the same service.

The register works through calls one after another, and one that it turns away has cost it something too. What one
dispatcher can see of its load is how its own call ends. So a call that was turned away or came too late goes again at
a place in turn: time is cut into rounds, the same for all since all read Unix time, and in each a dispatcher has the
place that its position gives it. A round is as long as the register needs for everybody's calls, by what a call is held
to cost. That is a guess where the operators' file does not say it: it doubles with every third call in a row that is
turned away, and never stands above what an answered call took. Weighed by figures in ``docs/design/coldstart.md``.

Times in milliseconds of one clock that all dispatchers share as far as theirs agree.
"""

from collections.abc import Callable
from typing import NamedTuple

from heronlug.discovery.poll_failure import PollFailure

GUESS = 20.0  # ms that a call is held to cost the register before anything is known
RISE_AFTER = 3  # calls turned away in a row, and the guess doubles: rounds of few lengths, so that places fit together
GUESS_MOST = 8 * GUESS
SOONEST = 200.0  # ms between a call that failed and the next
SHORTEST = 600.0  # of a round
LONGEST = 20_000.0  # where the cost is a guess
LONGEST_TOLD = 120_000.0
DOWN_LONGEST = 4_000.0  # of a round while nobody answers, where few call
WATCH, WATCH_MOST = 20_000.0, 60_000.0  # ms that a watch waits for news; the protocol allows no more
RENEWALS = 0.25  # of what the register bears may go into watches that begin anew with nothing told
PATIENCE = 3_000.0  # ms that an answer is waited for, at first
PATIENCE_MOST = 12_000.0


class PollTerms(NamedTuple):
    """What is known of those that call."""

    many: int = 1  # dispatchers that read the register for themselves
    position: int = 0  # ours among them
    cost: float | None = None  # ms that a call costs the register, where the operators say so


class PollPacer:
    """One dispatcher's calls.  ``draw`` gives a number from 0 to 1, for those whose places are the same."""

    def __init__(self, terms: PollTerms, draw: Callable[[], float]) -> None:
        self.terms, self._draw = terms, draw
        self.guess = terms.cost or GUESS
        self.patience = PATIENCE
        self.failures = 0  # in a row

    @property
    def watch(self) -> float:
        """How long a watch waits for news: of many dispatchers each has to begin anew less often."""
        return max(WATCH, min(WATCH_MOST, self.terms.many * self.guess / RENEWALS))

    def begin(self, now: float, listed: bool) -> float:
        """When the first call may go: at once, or in turn where it is known what the register bears."""
        if self.terms.cost is None or self.terms.many == 1:
            return now
        return self._place(now, self._round(listed))

    def answered(self, took: float) -> None:
        """A call that did not wait for news has been answered after this."""
        self.failures = 0
        self.patience = max(PATIENCE, min(self.patience, 2 * took))
        if self.terms.cost is None:
            self.guess = min(self.guess, max(1.0, took))

    def failed(self, now: float, why: PollFailure, listed: bool, retry_after: float = 0.0) -> float:
        """A call has failed; when the next may go.  ``listed``: there is a list, so that one call is enough."""
        self.failures += 1
        if why is PollFailure.SLOW:  # an answer that comes late is worth more than another call that comes late
            self.patience = min(PATIENCE_MOST, 2 * self.patience)
        span = self._round(listed)
        if why is PollFailure.TURNED_AWAY and self.terms.cost is None and self.failures % RISE_AFTER == 0:
            self.guess = min(GUESS_MOST, 2 * self.guess)
        if why.nobody or self.terms.many == 1:  # few that call: each waits longer the longer it lasts
            span = max(span, min(DOWN_LONGEST, SHORTEST * 2 ** min(self.failures - 1, 8)))
        return self._place(now + max(SOONEST, retry_after), span)

    def _round(self, listed: bool) -> float:
        """How long the register needs for everybody."""
        calls = self.terms.many * (1 if listed else 2)
        return max(SHORTEST, min(LONGEST if self.terms.cost is None else LONGEST_TOLD, calls * self.guess))

    def _place(self, now: float, span: float) -> float:
        """Our next place in a round of this length; within it by chance, so that nobody meets the same one always."""
        if self.terms.many == 1:
            return now + span * (0.5 + 0.5 * self._draw())
        width = span / self.terms.many
        place = (self.terms.position % self.terms.many) * width + width * self._draw()
        turn = now // span * span + place
        return turn if turn >= now else turn + span
