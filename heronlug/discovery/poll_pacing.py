"""When a dispatcher polls service discovery again, as one of many that poll the same service.

Service discovery handles polls one after another, and one that it rejects costs it something too. A dispatcher sees of
its load only how its own polls end. So after a poll that was rejected or timed out, the dispatcher waits for its slot:
time is cut into rounds, the same for all since all read Unix time, and in each round a dispatcher has the slot that its
position gives it. A round is as long as service discovery needs for the polls of all, by the estimated cost of a poll.
Where the operators' file does not give that cost, it is a guess, which doubles with every third rejection in a row and
never exceeds the time that an answer took.

The usual way, in which each dispatcher doubles a random backoff for itself, needed more polls than this one wherever
the two were compared: dispatchers that know nothing of each other go on colliding. ``docs/design/coldstart.md`` has the
figures.

Times are in milliseconds of Unix time, as far as the dispatchers' clocks agree.
"""

from collections.abc import Callable
from typing import NamedTuple

from heronlug.discovery.poll_failure import PollFailure

GUESSED_COST_MS = 20.0
"""What a poll is held to cost service discovery before anything is known."""

MAX_GUESSED_COST_MS = 8 * GUESSED_COST_MS
"""The guess does not grow beyond this."""

REJECTIONS_TO_DOUBLE = 3
"""Failures in a row after which a rejection doubles the guess: rounds have few lengths, so that slots fit together."""

MIN_RETRY_MS = 200.0
"""The shortest time between a failed poll and the next."""

MIN_ROUND_MS = 600.0
"""The shortest round."""

MAX_GUESSED_ROUND_MS = 20_000.0
"""The longest round where the cost is a guess."""

MAX_KNOWN_ROUND_MS = 120_000.0
"""The longest round where the operators give the cost."""

MAX_UNAVAILABLE_ROUND_MS = 4_000.0
"""The longest round that a growing backoff leads to."""

MAX_BACKOFF_DOUBLINGS = 8
"""The backoff is not doubled more often; ``MAX_UNAVAILABLE_ROUND_MS`` limits it before."""

MIN_POLL_WAIT_MS = 20_000.0
"""The shortest time that a poll waits for a change, in ms."""

MAX_POLL_WAIT_MS = 60_000.0
"""The longest time that a poll waits for a change, in ms; the protocol allows no more."""

RENEWAL_SHARE = 0.25
"""Share of service discovery's capacity that may go into polls that end without a change."""

ANSWER_TIMEOUT_MS = 3_000.0
"""For an answer that does not wait for a change, at first."""

MAX_ANSWER_TIMEOUT_MS = 12_000.0
"""The timeout does not grow beyond this."""


class PollTerms(NamedTuple):
    """What is known of the dispatchers that poll.

    Attributes:
        dispatchers: How many poll for themselves.
        position: This one's number among them, from 0.
        cost_ms: What a poll costs service discovery; None where the operators do not say.
    """

    dispatchers: int = 1
    position: int = 0
    cost_ms: float | None = None


class PollPacer:
    """Paces the polls of one dispatcher.

    Attributes:
        terms: What is known of the dispatchers that poll.
        cost_ms: The estimated cost of a poll.
        answer_timeout: How long, in ms, an answer may take that does not wait for a change.
        failures_in_row: Polls that have failed since the last answer.
    """

    def __init__(self, terms: PollTerms, draw: Callable[[], float]) -> None:
        """``draw`` returns a random number from 0 to 1: the place within a slot."""
        self.terms = terms
        self.cost_ms = terms.cost_ms or GUESSED_COST_MS
        self.answer_timeout = ANSWER_TIMEOUT_MS
        self.failures_in_row = 0
        self._draw = draw

    @property
    def poll_wait(self) -> float:
        """How long, in ms, a poll waits for a change: the longer, the more dispatchers there are."""
        return max(MIN_POLL_WAIT_MS, min(MAX_POLL_WAIT_MS, self.terms.dispatchers * self.cost_ms / RENEWAL_SHARE))

    def first_poll_at(self, now: float, has_list: bool) -> float:
        """When the first poll may be sent: in this dispatcher's slot if the cost is known, else at once."""
        if self.terms.cost_ms is None or self.terms.dispatchers == 1:
            return now
        return self._next_slot_time(now, self._round_length(has_list))

    def on_answer(self, answer_time: float) -> None:
        """A poll that did not wait for a change was answered after ``answer_time`` ms."""
        self.failures_in_row = 0
        self.answer_timeout = max(ANSWER_TIMEOUT_MS, min(self.answer_timeout, 2 * answer_time))
        if self.terms.cost_ms is None:
            self.cost_ms = min(self.cost_ms, max(1.0, answer_time))

    def on_failure(self, now: float, failure: PollFailure, has_list: bool, retry_after: float = 0.0) -> float:
        """When the next poll may be sent after one that failed.

        Args:
            now: The time, in ms.
            failure: How it failed.
            has_list: Whether there is a list, so that one poll is enough.
            retry_after: What service discovery asked to wait, in ms.
        """
        self.failures_in_row += 1
        if failure is PollFailure.TIMED_OUT:  # waiting longer costs less than another poll that times out
            self.answer_timeout = min(MAX_ANSWER_TIMEOUT_MS, 2 * self.answer_timeout)
        round_length = self._round_length(has_list)
        cost_is_guessed = self.terms.cost_ms is None
        if failure is PollFailure.REJECTED and cost_is_guessed and self.failures_in_row % REJECTIONS_TO_DOUBLE == 0:
            self.cost_ms = min(MAX_GUESSED_COST_MS, 2 * self.cost_ms)
        if failure.is_unavailable or self.terms.dispatchers == 1:
            round_length = max(round_length, self._backoff())
        return self._next_slot_time(now + max(MIN_RETRY_MS, retry_after), round_length)

    def _backoff(self) -> float:
        doublings = min(self.failures_in_row - 1, MAX_BACKOFF_DOUBLINGS)
        return min(MAX_UNAVAILABLE_ROUND_MS, MIN_ROUND_MS * 2.0**doublings)

    def _round_length(self, has_list: bool) -> float:
        """How long, in ms, service discovery needs for the polls of all."""
        polls_needed = self.terms.dispatchers * (1 if has_list else 2)
        longest_round = MAX_GUESSED_ROUND_MS if self.terms.cost_ms is None else MAX_KNOWN_ROUND_MS
        return max(MIN_ROUND_MS, min(longest_round, polls_needed * self.cost_ms))

    def _next_slot_time(self, now: float, round_length: float) -> float:
        """A random moment of this dispatcher's next slot, so that the same two do not always collide."""
        if self.terms.dispatchers == 1:
            return now + round_length * (0.5 + 0.5 * self._draw())
        slot_length = round_length / self.terms.dispatchers
        offset = (self.terms.position % self.terms.dispatchers) * slot_length + slot_length * self._draw()
        poll_at = now // round_length * round_length + offset
        return poll_at if poll_at >= now else poll_at + round_length
