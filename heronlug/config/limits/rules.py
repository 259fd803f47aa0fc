"""The rules that a class's limits have to keep at a site: small functions, each with its own text.

A rule takes a :class:`ClassUnderCheck` and returns a :class:`BrokenRule`, or None.  No two rules report the same
problem: a rule that would compute with figures which another rule has found out of range returns None.
"""

from collections.abc import Callable
from functools import cached_property
from typing import NamedTuple

from heronlug.balancer.settings import Effect, RequestClass, Settings
from heronlug.config.limits.model import GivenLimits, apply_limits


class BrokenRule(NamedTuple):
    """A rule that is broken: at which key, what is wrong, and what would be right."""

    key: str
    wrong: str
    right: str


class ClassUnderCheck:
    """One class: as the site has it, what the file gives, and what comes of both."""

    def __init__(self, site: Settings, request_class: RequestClass, given: GivenLimits) -> None:
        self.site, self.request_class, self.given = site, request_class, given
        self.non_idempotent, self.idempotent_by_key = (
            request_class.effect is Effect.NON_IDEMPOTENT,
            request_class.effect is Effect.IDEMPOTENT_BY_KEY,
        )

    @cached_property
    def limited(self) -> RequestClass:
        """The class under its limits."""
        return apply_limits(self.request_class, self.given)

    @property
    def attempts(self) -> int:
        """The most attempts that it can have."""
        return self.site.max_attempts_of(self.limited)

    @property
    def give_up_time(self) -> float:
        """When a job of it is given up."""
        return min(self.limited.give_up_after or self.request_class.deadline, self.request_class.deadline)

    @property
    def hedged(self) -> bool:
        """Whether the file asks for second copies."""
        return bool(self.given.get("second_copy")) or self.hedge_time_given

    @property
    def hedge_time_given(self) -> bool:
        """Whether the file says when a second copy goes out."""
        return "second_copy_after_ms" in self.given and self.given.get("second_copy", True)

    @property
    def total_wait(self) -> float:
        """All waits between its attempts together."""
        return sum(self.limited.backoff_before(number) for number in range(1, self.attempts))

    @property
    def last_attempt_offset(self) -> float:
        """How long after the first attempt the last one may begin: each runs its time-out, where it may follow one."""
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
        """Whether its times are in range one by one, so that their sum says something new."""
        return self.limited.attempt_timeout <= self.give_up_time and self.total_wait < self.give_up_time


def attempts_above_cap(case: ClassUnderCheck) -> BrokenRule | None:
    """More attempts than the site allows."""
    if case.given.get("attempts", 1) <= case.site.max_attempts:
        return None
    cap = case.site.max_attempts
    return BrokenRule("attempts", f"{case.given['attempts']} attempts, and the site allows {cap}", f"1 to {cap}")


def give_up_after_deadline(case: ClassUnderCheck) -> BrokenRule | None:
    """Waiting longer than the site's deadline of the class."""
    if case.given.get("give_up_ms", 0) <= case.request_class.deadline:
        return None
    return BrokenRule(
        "give_up_ms",
        f"{case.given['give_up_ms']:g} ms is past the class's deadline",
        f"{case.request_class.deadline:g} at most",
    )


def timeout_without_cancel(case: ClassUnderCheck) -> BrokenRule | None:
    """A time-out of attempts needs leave to cancel them."""
    if "attempt_timeout_ms" not in case.given or case.site.may_cancel:
        return None
    return BrokenRule("attempt_timeout_ms", "attempts may not be cancelled at this site", "no time-out of attempts")


def timeout_after_give_up(case: ClassUnderCheck) -> BrokenRule | None:
    """A time-out that could never pass."""
    if case.limited.attempt_timeout <= case.give_up_time:
        return None
    return BrokenRule(
        "attempt_timeout_ms",
        f"an attempt would be waited for longer than its job ({case.give_up_time:g} ms)",
        f"{case.give_up_time:g} at most",
    )


def after_timeout_without_timeout(case: ClassUnderCheck) -> BrokenRule | None:
    """What follows a time-out that there is not."""
    if "after_timeout" not in case.given or "attempt_timeout_ms" in case.given:
        return None
    return BrokenRule("after_timeout", "there is no attempt_timeout_ms that it could follow", "both keys, or neither")


def retry_of_non_idempotent(case: ClassUnderCheck) -> BrokenRule | None:
    """A class that must not repeat would run twice."""
    if not case.non_idempotent or case.given.get("after_timeout") != "again":
        return None
    return BrokenRule(
        "after_timeout",
        "an attempt that timed out may have run, and this class must not run twice",
        '"end", which holds for it anyway; its further attempts are for those that provably never ran',
    )


def hedge_of_non_idempotent(case: ClassUnderCheck) -> BrokenRule | None:
    """A second copy of what must not repeat."""
    if not case.non_idempotent or not case.hedged:
        return None
    key = "second_copy" if case.given.get("second_copy") else "second_copy_after_ms"
    return BrokenRule(key, "this class must not run twice, so it has no second copy", "second_copy = false")


def hedging_not_allowed(case: ClassUnderCheck) -> BrokenRule | None:
    """The site allows no second copies at all."""
    if case.non_idempotent or case.site.hedging or not case.hedged:
        return None
    key = "second_copy" if case.given.get("second_copy") else "second_copy_after_ms"
    return BrokenRule(key, "the site allows no second copies", "second_copy = false")


def hedge_disabled_and_timed(case: ClassUnderCheck) -> BrokenRule | None:
    """No second copy, and a time for it."""
    if case.given.get("second_copy", True) or "second_copy_after_ms" not in case.given:
        return None
    return BrokenRule("second_copy_after_ms", "second_copy = false stands beside it", "one of the two keys")


def hedge_without_second_attempt(case: ClassUnderCheck) -> BrokenRule | None:
    """A copy is an attempt, and there is only one."""
    if not case.hedged or case.non_idempotent or not case.site.hedging or case.attempts > 1:
        return None
    key = "second_copy" if case.given.get("second_copy") else "second_copy_after_ms"
    return BrokenRule(key, "a second copy is a second attempt, and there is only one", "attempts = 2 or more")


def hedge_after_attempt_timeout(case: ClassUnderCheck) -> BrokenRule | None:
    """A copy of an attempt that is over by then."""
    timeout, hedge_after = case.limited.attempt_timeout, case.limited.hedge_after
    if not case.hedge_time_given or not timeout or hedge_after < timeout:
        return None
    wrong = f"the attempt has timed out by then ({timeout:g} ms)"
    return BrokenRule("second_copy_after_ms", wrong, f"less than {timeout:g}")


def hedge_after_give_up(case: ClassUnderCheck) -> BrokenRule | None:
    """A copy for a job that is over by then."""
    if not case.hedge_time_given or case.limited.attempt_timeout or case.limited.hedge_after < case.give_up_time:
        return None
    return BrokenRule(
        "second_copy_after_ms",
        f"the job is given up by then ({case.give_up_time:g} ms)",
        f"less than {case.give_up_time:g}",
    )


def repeat_window_without_key(case: ClassUnderCheck) -> BrokenRule | None:
    """A repeat window of a class that hosts know by no key."""
    if case.idempotent_by_key or not case.given.get("repeat_window_ms"):
        return None
    wrong = f"the class is {case.request_class.effect.value}, and its repeats have no window"
    return BrokenRule("repeat_window_ms", wrong, "no such key")


def repeat_window_above_servers(case: ClassUnderCheck) -> BrokenRule | None:
    """Repeats after the hosts have forgotten the key would run twice."""
    if not case.idempotent_by_key or case.given.get("repeat_window_ms", 0) <= case.request_class.repeat_window:
        return None
    server_window = case.request_class.repeat_window
    return BrokenRule(
        "repeat_window_ms",
        f"hosts drop repeats for {server_window:g} ms, and one after that runs twice",
        f"{server_window:g} at most",
    )


def attempts_after_repeat_window(case: ClassUnderCheck) -> BrokenRule | None:
    """Attempts that would come after the window and so never be made."""
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
        f"the last attempt would come {case.last_attempt_offset:g} ms after the first, when a repeat is "
        "allowed no more",
        f"times that add up to at most {window:g}",
    )


def more_waits_than_retries(case: ClassUnderCheck) -> BrokenRule | None:
    """More waits than there are attempts to wait for."""
    given = len(case.given.get("wait_ms", ()))
    if given < case.attempts or attempts_above_cap(case):
        return None
    max_waits = case.attempts - 1
    return BrokenRule("wait_ms", f"{given} waits before {max_waits} further attempts", f"{max_waits} at most")


def waits_exceed_give_up(case: ClassUnderCheck) -> BrokenRule | None:
    """Waits that alone use up the time."""
    if more_waits_than_retries(case) or attempts_above_cap(case) or case.total_wait < case.give_up_time:
        return None
    return BrokenRule(
        "wait_ms", f"the waits add up to {case.total_wait:g} ms", f"less than {case.give_up_time:g}, the give-up time"
    )


def attempts_exceed_give_up(case: ClassUnderCheck) -> BrokenRule | None:
    """Attempts and waits that add up past the give-up time."""
    if not case.limited.attempt_timeout or not case.times_in_range or attempts_above_cap(case):
        return None
    total = case.last_attempt_offset + case.limited.attempt_timeout
    if total <= case.give_up_time or more_waits_than_retries(case):
        return None
    return BrokenRule(
        "attempt_timeout_ms",
        f"{case.attempts} attempts with their waits take {total:g} ms",
        f"{case.give_up_time:g} ms at most, the give-up time",
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
    """What the limits mean where that may surprise; no faults."""
    texts = []
    if case.non_idempotent and case.given.get("attempts", 1) > 1:
        texts.append("attempts: further ones are made only when all before provably never ran")
    if case.non_idempotent and "attempt_timeout_ms" in case.given:
        texts.append("attempt_timeout_ms: what times out may have run, so the job fails then")
    if case.idempotent_by_key and case.limited.repeat_window == 0:
        texts.append("repeat_window_ms: with 0, what may have run is not tried again")
    if case.give_up_time < case.request_class.latency_objective:
        texts.append(f"give_up_ms: less than the class's aim of {case.request_class.latency_objective:g} ms")
    return texts
