"""The rules that a class's limits have to keep at a site: small functions, each with its own text.

A rule takes a :class:`ClassUnderCheck` and returns a :class:`BrokenRule`, or None.  No two rules report the same
problem: a rule that would compute with figures which another rule has found out of range returns None.
"""

from collections.abc import Callable
from functools import cached_property
from typing import NamedTuple

from heronlug.balancer.settings import Effect, RequestClass, Settings
from heronlug.config.limits.model import Given, limit


class BrokenRule(NamedTuple):
    """A rule that is broken: at which key, what is wrong, and what would be right."""

    key: str
    wrong: str
    right: str


class ClassUnderCheck:
    """One class: as the site has it, what the file gives, and what comes of both."""

    def __init__(self, site: Settings, lane: RequestClass, given: Given) -> None:
        self.site, self.lane, self.given = site, lane, given
        self.once, self.keyed = lane.effect is Effect.NON_IDEMPOTENT, lane.effect is Effect.IDEMPOTENT_BY_KEY

    @cached_property
    def set(self) -> RequestClass:
        """The class under its limits."""
        return limit(self.lane, self.given)

    @property
    def attempts(self) -> int:
        """The most attempts that it can have."""
        return self.site.max_attempts_of(self.set)

    @property
    def give_up(self) -> float:
        """When a job of it is given up."""
        return min(self.set.give_up_after or self.lane.deadline, self.lane.deadline)

    @property
    def copied(self) -> bool:
        """Whether the file asks for second copies."""
        return bool(self.given.get("second_copy")) or self.copied_after

    @property
    def copied_after(self) -> bool:
        """Whether the file says when a second copy goes out."""
        return "second_copy_after_ms" in self.given and self.given.get("second_copy", True)

    @property
    def waits(self) -> float:
        """All waits between its attempts together."""
        return sum(self.set.backoff_before(number) for number in range(1, self.attempts))

    @property
    def before_last(self) -> float:
        """How long after the first attempt the last one may begin: each runs its time-out, where it may follow one."""
        follows = self.set.retry_after_timeout and not self.once
        each = self.set.attempt_timeout if follows else self.site.dial_timeout if self.set.attempt_timeout else 0.0
        return (self.attempts - 1) * each + self.waits

    @property
    def times_known(self) -> bool:
        """Whether its times are in range one by one, so that their sum says something new."""
        return self.set.attempt_timeout <= self.give_up and self.waits < self.give_up


def attempts_past_cap(case: ClassUnderCheck) -> BrokenRule | None:
    """More attempts than the site allows."""
    if case.given.get("attempts", 1) <= case.site.max_attempts:
        return None
    cap = case.site.max_attempts
    return BrokenRule("attempts", f"{case.given['attempts']} attempts, and the site allows {cap}", f"1 to {cap}")


def give_up_past_site(case: ClassUnderCheck) -> BrokenRule | None:
    """Waiting longer than the site's deadline of the class."""
    if case.given.get("give_up_ms", 0) <= case.lane.deadline:
        return None
    return BrokenRule(
        "give_up_ms", f"{case.given['give_up_ms']:g} ms is past the class's deadline", f"{case.lane.deadline:g} at most"
    )


def timeout_without_cancel(case: ClassUnderCheck) -> BrokenRule | None:
    """A time-out of attempts needs leave to cancel them."""
    if "attempt_timeout_ms" not in case.given or case.site.may_cancel:
        return None
    return BrokenRule("attempt_timeout_ms", "attempts may not be cancelled at this site", "no time-out of attempts")


def timeout_past_give_up(case: ClassUnderCheck) -> BrokenRule | None:
    """A time-out that could never pass."""
    if case.set.attempt_timeout <= case.give_up:
        return None
    return BrokenRule(
        "attempt_timeout_ms",
        f"an attempt would be waited for longer than its job ({case.give_up:g} ms)",
        f"{case.give_up:g} at most",
    )


def again_without_timeout(case: ClassUnderCheck) -> BrokenRule | None:
    """What follows a time-out that there is not."""
    if "after_timeout" not in case.given or "attempt_timeout_ms" in case.given:
        return None
    return BrokenRule("after_timeout", "there is no attempt_timeout_ms that it could follow", "both keys, or neither")


def again_for_once(case: ClassUnderCheck) -> BrokenRule | None:
    """A class that must not repeat would run twice."""
    if not case.once or case.given.get("after_timeout") != "again":
        return None
    return BrokenRule(
        "after_timeout",
        "an attempt that timed out may have run, and this class must not run twice",
        '"end", which holds for it anyway; its further attempts are for those that provably never ran',
    )


def copy_of_once(case: ClassUnderCheck) -> BrokenRule | None:
    """A second copy of what must not repeat."""
    if not case.once or not case.copied:
        return None
    key = "second_copy" if case.given.get("second_copy") else "second_copy_after_ms"
    return BrokenRule(key, "this class must not run twice, so it has no second copy", "second_copy = false")


def copies_not_allowed(case: ClassUnderCheck) -> BrokenRule | None:
    """The site allows no second copies at all."""
    if case.once or case.site.hedging or not case.copied:
        return None
    key = "second_copy" if case.given.get("second_copy") else "second_copy_after_ms"
    return BrokenRule(key, "the site allows no second copies", "second_copy = false")


def copy_denied_and_timed(case: ClassUnderCheck) -> BrokenRule | None:
    """No second copy, and a time for it."""
    if case.given.get("second_copy", True) or "second_copy_after_ms" not in case.given:
        return None
    return BrokenRule("second_copy_after_ms", "second_copy = false stands beside it", "one of the two keys")


def copy_without_attempt(case: ClassUnderCheck) -> BrokenRule | None:
    """A copy is an attempt, and there is only one."""
    if not case.copied or case.once or not case.site.hedging or case.attempts > 1:
        return None
    key = "second_copy" if case.given.get("second_copy") else "second_copy_after_ms"
    return BrokenRule(key, "a second copy is a second attempt, and there is only one", "attempts = 2 or more")


def copy_past_timeout(case: ClassUnderCheck) -> BrokenRule | None:
    """A copy of an attempt that is over by then."""
    timeout, after = case.set.attempt_timeout, case.set.hedge_after
    if not case.copied_after or not timeout or after < timeout:
        return None
    wrong = f"the attempt has timed out by then ({timeout:g} ms)"
    return BrokenRule("second_copy_after_ms", wrong, f"less than {timeout:g}")


def copy_past_give_up(case: ClassUnderCheck) -> BrokenRule | None:
    """A copy for a job that is over by then."""
    if not case.copied_after or case.set.attempt_timeout or case.set.hedge_after < case.give_up:
        return None
    return BrokenRule(
        "second_copy_after_ms", f"the job is given up by then ({case.give_up:g} ms)", f"less than {case.give_up:g}"
    )


def window_without_key(case: ClassUnderCheck) -> BrokenRule | None:
    """A repeat window of a class that hosts know by no key."""
    if case.keyed or not case.given.get("repeat_window_ms"):
        return None
    wrong = f"the class is {case.lane.effect.value}, and its repeats have no window"
    return BrokenRule("repeat_window_ms", wrong, "no such key")


def window_past_hosts(case: ClassUnderCheck) -> BrokenRule | None:
    """Repeats after the hosts have forgotten the key would run twice."""
    if not case.keyed or case.given.get("repeat_window_ms", 0) <= case.lane.repeat_window:
        return None
    hosts = case.lane.repeat_window
    return BrokenRule(
        "repeat_window_ms", f"hosts drop repeats for {hosts:g} ms, and one after that runs twice", f"{hosts:g} at most"
    )


def window_past_use(case: ClassUnderCheck) -> BrokenRule | None:
    """Attempts that would come after the window and so never be made."""
    window, timed = case.set.repeat_window, "attempt_timeout_ms" in case.given or case.set.retry_backoff
    if not case.keyed or not timed or case.attempts < 2 or not case.times_known:
        return None
    if case.before_last <= window or case.before_last + case.set.attempt_timeout > case.give_up:
        return None
    return BrokenRule(
        "repeat_window_ms" if "repeat_window_ms" in case.given else "attempts",
        f"the last attempt would come {case.before_last:g} ms after the first, when a repeat is allowed no more",
        f"times that add up to at most {window:g}",
    )


def waits_past_attempts(case: ClassUnderCheck) -> BrokenRule | None:
    """More waits than there are attempts to wait for."""
    given = len(case.given.get("wait_ms", ()))
    if given < case.attempts or attempts_past_cap(case):
        return None
    most = case.attempts - 1
    return BrokenRule("wait_ms", f"{given} waits before {most} further attempts", f"{most} at most")


def waits_past_give_up(case: ClassUnderCheck) -> BrokenRule | None:
    """Waits that alone use up the time."""
    if waits_past_attempts(case) or attempts_past_cap(case) or case.waits < case.give_up:
        return None
    return BrokenRule(
        "wait_ms", f"the waits add up to {case.waits:g} ms", f"less than {case.give_up:g}, the give-up time"
    )


def times_past_give_up(case: ClassUnderCheck) -> BrokenRule | None:
    """Attempts and waits that add up past the give-up time."""
    if not case.set.attempt_timeout or not case.times_known or attempts_past_cap(case):
        return None
    total = case.before_last + case.set.attempt_timeout
    if total <= case.give_up or waits_past_attempts(case):
        return None
    return BrokenRule(
        "attempt_timeout_ms",
        f"{case.attempts} attempts with their waits take {total:g} ms",
        f"{case.give_up:g} ms at most, the give-up time",
    )


RULES: tuple[Callable[[ClassUnderCheck], BrokenRule | None], ...] = (
    attempts_past_cap,
    give_up_past_site,
    timeout_without_cancel,
    timeout_past_give_up,
    again_without_timeout,
    again_for_once,
    copy_of_once,
    copies_not_allowed,
    copy_denied_and_timed,
    copy_without_attempt,
    copy_past_timeout,
    copy_past_give_up,
    window_without_key,
    window_past_hosts,
    window_past_use,
    waits_past_attempts,
    waits_past_give_up,
    times_past_give_up,
)


def notes(case: ClassUnderCheck) -> list[str]:
    """What the limits mean where that may surprise; no faults."""
    said = []
    if case.once and case.given.get("attempts", 1) > 1:
        said.append("attempts: further ones are made only when all before provably never ran")
    if case.once and "attempt_timeout_ms" in case.given:
        said.append("attempt_timeout_ms: what times out may have run, so the job fails then")
    if case.keyed and case.set.repeat_window == 0:
        said.append("repeat_window_ms: with 0, what may have run is not tried again")
    if case.give_up < case.lane.latency_objective:
        said.append(f"give_up_ms: less than the class's aim of {case.lane.latency_objective:g} ms")
    return said
