"""Decides when a dispatcher polls service discovery if many dispatchers poll the same service.

Service discovery handles polls one after another, and a rejected poll takes some processing time too. A dispatcher can
infer the load of service discovery only from the results of its own polls. After a poll that was rejected or timed out,
the dispatcher therefore waits for its slot. Time is divided into rounds, which are the same for all dispatchers because
all of them read Unix time, and the position of a dispatcher determines its slot in each round. A round is as long as
service discovery needs for one poll (or two, without a list) of every dispatcher at the estimated cost of a poll. If
the operators do not configure that cost, the cost is guessed; the guess doubles with every third rejection in a row and
never exceeds the time that an answer took.

The usual scheme, in which each dispatcher doubles a random backoff independently, needed more polls than this scheme in
every comparison: dispatchers without knowledge of each other keep colliding. ``docs/design/coldstart.md`` has the
figures.

Times are in milliseconds of Unix time, as far as the clocks of the dispatchers agree.
"""

from collections.abc import Callable
from typing import NamedTuple

from heronlug.discovery.poll_failure import PollFailure

GUESSED_COST_MS = 20.0
"""Initial guess of the time that service discovery needs for a poll."""

MAX_GUESSED_COST_MS = 8 * GUESSED_COST_MS
"""Upper bound of the guessed cost."""

REJECTIONS_TO_DOUBLE = 3
"""Failures in a row after which a rejection doubles the guess; few distinct round lengths keep slots aligned."""

MIN_RETRY_MS = 200.0
"""Minimum time between a failed poll and the next poll."""

MIN_ROUND_MS = 600.0
"""Minimum length of a round."""

MAX_GUESSED_ROUND_MS = 20_000.0
"""Maximum length of a round if the cost is guessed."""

MAX_KNOWN_ROUND_MS = 120_000.0
"""Maximum length of a round if the operators configure the cost."""

MAX_UNAVAILABLE_ROUND_MS = 4_000.0
"""Maximum length to which backoff extends a round."""

MAX_BACKOFF_DOUBLINGS = 8
"""Bound of the exponent; the backoff reaches ``MAX_UNAVAILABLE_ROUND_MS`` earlier."""

MIN_POLL_WAIT_MS = 20_000.0
"""Lower bound of the time that a poll waits for a change, in ms."""

MAX_POLL_WAIT_MS = 60_000.0
"""Upper bound of the time that a poll waits for a change, in ms; the maximum that the protocol allows."""

RENEWAL_SHARE = 0.25
"""Fraction of the capacity of service discovery that polls ending without a change may use."""

ANSWER_TIMEOUT_MS = 3_000.0
"""Initial timeout of a poll that does not wait for a change."""

MAX_ANSWER_TIMEOUT_MS = 12_000.0
"""Upper bound of the timeout of a poll that does not wait for a change."""


class PollTerms(NamedTuple):
    """The polling dispatchers and the cost of their polls.

    Attributes:
        dispatchers: Number of dispatchers that poll for themselves.
        position: Index of this dispatcher among them, from 0.
        cost_ms: Time that service discovery needs for a poll; None if the operators do not configure it.
    """

    dispatchers: int = 1
    position: int = 0
    cost_ms: float | None = None


class PollPacer:
    """Paces the polls of one dispatcher.

    Attributes:
        terms: The polling dispatchers and the configured cost of their polls.
        cost_ms: Configured or guessed time that service discovery needs for a poll.
        answer_timeout: Timeout in ms of a poll that does not wait for a change.
        failures_in_row: Number of polls that have failed since the last answer.
    """

    def __init__(self, terms: PollTerms, draw: Callable[[], float]) -> None:
        """Creates a pacer; ``draw`` returns a random number from 0 to 1, which selects the time within a slot."""
        self.terms = terms
        self.cost_ms = terms.cost_ms or GUESSED_COST_MS
        self.answer_timeout = ANSWER_TIMEOUT_MS
        self.failures_in_row = 0
        self._draw = draw

    @property
    def poll_wait(self) -> float:
        """Returns the time, in ms, that a poll waits for a change; increases with the number of dispatchers."""
        return max(MIN_POLL_WAIT_MS, min(MAX_POLL_WAIT_MS, self.terms.dispatchers * self.cost_ms / RENEWAL_SHARE))

    def first_poll_at(self, now: float, has_list: bool) -> float:
        """Returns the time of the first poll: in this dispatcher's slot if the cost is configured, else ``now``."""
        if self.terms.cost_ms is None or self.terms.dispatchers == 1:
            return now
        return self._next_slot_time(now, self._round_length(has_list))

    def on_answer(self, answer_time: float) -> None:
        """Records that a poll without a wait was answered after ``answer_time`` ms."""
        self.failures_in_row = 0
        self.answer_timeout = max(ANSWER_TIMEOUT_MS, min(self.answer_timeout, 2 * answer_time))
        if self.terms.cost_ms is None:
            self.cost_ms = min(self.cost_ms, max(1.0, answer_time))

    def on_failure(self, now: float, failure: PollFailure, has_list: bool, retry_after: float = 0.0) -> float:
        """Records a failed poll and returns the time, in ms, at which the next one may be sent.

        Args:
            now: The current time, in ms.
            failure: The kind of failure.
            has_list: Whether the dispatcher has a list, so that one poll is enough.
            retry_after: Minimum wait requested by service discovery, in ms; 0 for none.
        """
        self.failures_in_row += 1
        if failure is PollFailure.TIMED_OUT:  # a longer timeout costs less than another poll that times out
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
        """Returns the time, in ms, that service discovery needs for the polls of all dispatchers."""
        polls_needed = self.terms.dispatchers * (1 if has_list else 2)
        longest_round = MAX_GUESSED_ROUND_MS if self.terms.cost_ms is None else MAX_KNOWN_ROUND_MS
        return max(MIN_ROUND_MS, min(longest_round, polls_needed * self.cost_ms))

    def _next_slot_time(self, now: float, round_length: float) -> float:
        """Returns a random time in this dispatcher's next slot, so that no two dispatchers collide repeatedly."""
        if self.terms.dispatchers == 1:
            return now + round_length * (0.5 + 0.5 * self._draw())
        slot_length = round_length / self.terms.dispatchers
        offset = (self.terms.position % self.terms.dispatchers) * slot_length + slot_length * self._draw()
        poll_at = now // round_length * round_length + offset
        return poll_at if poll_at >= now else poll_at + round_length
