"""Defines the rules that the limits of a class must follow at a site.

A rule takes a :class:`ClassUnderCheck` and returns a :class:`BrokenRule`, or None if the rule is kept.  No two rules
report the same problem: a rule returns None if its calculation needs values that another rule rejects.
"""

from collections.abc import Callable
from functools import cached_property
from typing import NamedTuple

from heronlug.balancer.settings import Effect, RequestClass, Settings
from heronlug.config.limits.model import GivenLimits, apply_limits


class BrokenRule(NamedTuple):
    """A rule that is broken.

    Attributes:
        key: Key of the limit that breaks the rule.
        wrong: What is wrong.
        right: What is accepted.
    """

    key: str
    wrong: str
    right: str


class ClassUnderCheck:
    """A request class of a site with the limits that a file gives, and values that are derived from both.

    Attributes:
        site: Settings of the site.
        request_class: The class without the given limits.
        given: The limits that the file gives.
        non_idempotent: Whether a request of the class must not run twice.
        idempotent_by_key: Whether servers recognize a repeated request by its key.
    """

    def __init__(self, site: Settings, request_class: RequestClass, given: GivenLimits) -> None:
        self.site, self.request_class, self.given = site, request_class, given
        self.non_idempotent, self.idempotent_by_key = (
            request_class.effect is Effect.NON_IDEMPOTENT,
            request_class.effect is Effect.IDEMPOTENT_BY_KEY,
        )

    @cached_property
    def limited(self) -> RequestClass:
        """The class with its limits."""
        return apply_limits(self.request_class, self.given)

    @property
    def attempts(self) -> int:
        """The maximum number of attempts of a request."""
        return self.site.max_attempts_of(self.limited)

    @property
    def give_up_time(self) -> float:
        """The time after which a request is given up, in ms."""
        return min(self.limited.give_up_after or self.request_class.deadline, self.request_class.deadline)

    @property
    def hedged(self) -> bool:
        """Whether the file enables hedged requests."""
        return bool(self.given.get("second_copy")) or self.hedge_time_given

    @property
    def hedge_time_given(self) -> bool:
        """Whether the file sets the time of the hedged request and does not disable hedging."""
        return "second_copy_after_ms" in self.given and self.given.get("second_copy", True)

    @property
    def total_wait(self) -> float:
        """The sum of all waits between the attempts, in ms."""
        return sum(self.limited.backoff_before(number) for number in range(1, self.attempts))

    @property
    def last_attempt_offset(self) -> float:
        """The latest start of the last attempt after the start of the first, in ms.

        Each attempt counts with its timeout if another attempt may follow a timeout, otherwise with the dial timeout,
        or with 0 if the class has no attempt timeout.
        """
        timeout_is_retried = self.limited.retry_after_timeout and not self.non_idempotent
        time_per_attempt = (
            self.limited.attempt_timeout
            if timeout_is_retried
            else self.site.dial_timeout
            if self.limited.attempt_timeout
            else 0.0
        )
        return (self.attempts - 1) * time_per_attempt + self.total_wait

    @property
    def times_in_range(self) -> bool:
        """Whether each time is in range, so that a rule on their sum reports a separate problem."""
        return self.limited.attempt_timeout <= self.give_up_time and self.total_wait < self.give_up_time


def attempts_above_cap(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports more attempts than the site allows."""
    if case.given.get("attempts", 1) <= case.site.max_attempts:
        return None
    cap = case.site.max_attempts
    return BrokenRule(
        "attempts", f"{case.given['attempts']} attempts are requested but the site allows {cap}", f"expected 1 to {cap}"
    )


def give_up_after_deadline(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports a give-up time past the deadline of the class at the site."""
    if case.given.get("give_up_ms", 0) <= case.request_class.deadline:
        return None
    return BrokenRule(
        "give_up_ms",
        f"{case.given['give_up_ms']:g} ms is past the deadline of the class",
        f"expected at most {case.request_class.deadline:g} ms",
    )


def timeout_without_cancel(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports an attempt timeout at a site that does not allow attempts to be cancelled."""
    if "attempt_timeout_ms" not in case.given or case.site.may_cancel:
        return None
    return BrokenRule(
        "attempt_timeout_ms", "attempts may not be cancelled at this site", "expected no attempt_timeout_ms"
    )


def timeout_after_give_up(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports an attempt timeout that is later than the give-up time and so never expires."""
    if case.limited.attempt_timeout <= case.give_up_time:
        return None
    return BrokenRule(
        "attempt_timeout_ms",
        f"an attempt could take longer than its request ({case.give_up_time:g} ms)",
        f"expected at most {case.give_up_time:g} ms",
    )


def after_timeout_without_timeout(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports ``after_timeout`` without an attempt timeout."""
    if "after_timeout" not in case.given or "attempt_timeout_ms" in case.given:
        return None
    return BrokenRule(
        "after_timeout", "there is no attempt_timeout_ms to which the key applies", "expected both keys or neither"
    )


def retry_of_non_idempotent(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports a retry after a timeout for a class whose requests must not run twice."""
    if not case.non_idempotent or case.given.get("after_timeout") != "again":
        return None
    return BrokenRule(
        "after_timeout",
        "an attempt that timed out may have run, and a request of this class must not run twice",
        'expected "end", the default here: this class is retried only after attempts that provably never ran',
    )


def hedge_of_non_idempotent(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports hedging for a class whose requests must not run twice."""
    if not case.non_idempotent or not case.hedged:
        return None
    key = "second_copy" if case.given.get("second_copy") else "second_copy_after_ms"
    return BrokenRule(
        key, "a request of this class must not run twice, so no second copy is allowed", "expected second_copy = false"
    )


def hedging_not_allowed(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports hedging at a site that does not allow hedging."""
    if case.non_idempotent or case.site.hedging or not case.hedged:
        return None
    key = "second_copy" if case.given.get("second_copy") else "second_copy_after_ms"
    return BrokenRule(key, "the site allows no second copies", "expected second_copy = false")


def hedge_disabled_and_timed(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports a time for the hedged request while hedging is disabled."""
    if case.given.get("second_copy", True) or "second_copy_after_ms" not in case.given:
        return None
    return BrokenRule("second_copy_after_ms", "second_copy = false is also set", "expected only one of the two keys")


def hedge_without_second_attempt(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports hedging for a class that allows only one attempt; a hedged request is an attempt too."""
    if not case.hedged or case.non_idempotent or not case.site.hedging or case.attempts > 1:
        return None
    key = "second_copy" if case.given.get("second_copy") else "second_copy_after_ms"
    return BrokenRule(
        key, "a second copy is a second attempt, and only one attempt is allowed", "expected attempts = 2 or more"
    )


def hedge_after_attempt_timeout(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports a hedged request that would start after the timeout of the first attempt."""
    timeout, hedge_after = case.limited.attempt_timeout, case.limited.hedge_after
    if not case.hedge_time_given or not timeout or hedge_after < timeout:
        return None
    wrong = f"the attempt has timed out by then ({timeout:g} ms)"
    return BrokenRule("second_copy_after_ms", wrong, f"expected less than {timeout:g} ms")


def hedge_after_give_up(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports a hedged request that would start after the request is given up."""
    if not case.hedge_time_given or case.limited.attempt_timeout or case.limited.hedge_after < case.give_up_time:
        return None
    return BrokenRule(
        "second_copy_after_ms",
        f"the request is given up by then ({case.give_up_time:g} ms)",
        f"expected less than {case.give_up_time:g} ms",
    )


def repeat_window_without_key(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports a repeat window for a class whose requests servers do not recognize by a key."""
    if case.idempotent_by_key or not case.given.get("repeat_window_ms"):
        return None
    wrong = f"the effect of the class is {case.request_class.effect.value}, so no repeat window applies"
    return BrokenRule("repeat_window_ms", wrong, "expected no repeat_window_ms")


def repeat_window_above_servers(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports a repeat window after which servers no longer recognize the key, so that a repeat would run twice."""
    if not case.idempotent_by_key or case.given.get("repeat_window_ms", 0) <= case.request_class.repeat_window:
        return None
    server_window = case.request_class.repeat_window
    return BrokenRule(
        "repeat_window_ms",
        f"servers drop repeats for {server_window:g} ms, and a later repeat runs twice",
        f"expected at most {server_window:g} ms",
    )


def attempts_after_repeat_window(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports attempts that could start only after the repeat window and so are never made."""
    window, has_delays = case.limited.repeat_window, "attempt_timeout_ms" in case.given or case.limited.retry_backoff
    if not case.idempotent_by_key or not has_delays or case.attempts < 2 or not case.times_in_range:
        return None
    if (
        case.last_attempt_offset <= window
        or case.last_attempt_offset + case.limited.attempt_timeout > case.give_up_time
    ):
        return None
    return BrokenRule(
        "repeat_window_ms" if "repeat_window_ms" in case.given else "attempts",
        f"the last attempt would start {case.last_attempt_offset:g} ms after the first, when a repeat is "
        "no longer allowed",
        f"expected times that add up to at most {window:g} ms",
    )


def more_waits_than_retries(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports more waits than further attempts."""
    given = len(case.given.get("wait_ms", ()))
    if given < case.attempts or attempts_above_cap(case):
        return None
    max_waits = case.attempts - 1
    return BrokenRule(
        "wait_ms", f"{given} waits are given for {max_waits} further attempts", f"expected at most {max_waits}"
    )


def waits_exceed_give_up(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports waits whose sum reaches the give-up time."""
    if more_waits_than_retries(case) or attempts_above_cap(case) or case.total_wait < case.give_up_time:
        return None
    return BrokenRule(
        "wait_ms",
        f"the waits add up to {case.total_wait:g} ms",
        f"expected less than {case.give_up_time:g} ms, the give-up time",
    )


def attempts_exceed_give_up(case: ClassUnderCheck) -> BrokenRule | None:
    """Reports attempts and waits whose sum exceeds the give-up time."""
    if not case.limited.attempt_timeout or not case.times_in_range or attempts_above_cap(case):
        return None
    total = case.last_attempt_offset + case.limited.attempt_timeout
    if total <= case.give_up_time or more_waits_than_retries(case):
        return None
    return BrokenRule(
        "attempt_timeout_ms",
        f"{case.attempts} attempts with their waits take {total:g} ms",
        f"expected at most {case.give_up_time:g} ms, the give-up time",
    )


RULES: tuple[Callable[[ClassUnderCheck], BrokenRule | None], ...] = (
    attempts_above_cap,
    give_up_after_deadline,
    timeout_without_cancel,
    timeout_after_give_up,
    after_timeout_without_timeout,
    retry_of_non_idempotent,
    hedge_of_non_idempotent,
    hedging_not_allowed,
    hedge_disabled_and_timed,
    hedge_without_second_attempt,
    hedge_after_attempt_timeout,
    hedge_after_give_up,
    repeat_window_without_key,
    repeat_window_above_servers,
    attempts_after_repeat_window,
    more_waits_than_retries,
    waits_exceed_give_up,
    attempts_exceed_give_up,
)


def notes(case: ClassUnderCheck) -> list[str]:
    """Returns notes on limits that break no rule but may have a surprising effect."""
    texts = []
    if case.non_idempotent and case.given.get("attempts", 1) > 1:
        texts.append("attempts: a further attempt is made only if all earlier attempts provably never ran")
    if case.non_idempotent and "attempt_timeout_ms" in case.given:
        texts.append("attempt_timeout_ms: an attempt that times out may have run, so its request fails")
    if case.idempotent_by_key and case.limited.repeat_window == 0:
        texts.append("repeat_window_ms: with 0, an attempt that may have run is not retried")
    if case.give_up_time < case.request_class.latency_objective:
        texts.append(
            f"give_up_ms: less than the latency objective of the class, {case.request_class.latency_objective:g} ms"
        )
    return texts
