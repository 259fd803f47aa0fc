"""Tests in virtual time that the dispatcher follows the limits of each class."""

from dataclasses import replace
from random import Random
from typing import Any

import pytest
from drive import KEYED, ONCE, SAFE, Host, with_settings
from hypothesis import given, settings
from hypothesis import strategies as st

from heronlug import (
    Action,
    AttemptProgress,
    AttemptSnapshot,
    CancelAttempt,
    Effect,
    ListKind,
    Outcome,
    ProgressKind,
    RequestAdopted,
    RequestArrived,
    RequestClass,
    RequestHandedOver,
    ServerEntry,
    Settings,
    StartAttempt,
)
from heronlug.config.limits import model


class LimitCheckingHost(Host):
    """A host that cancels attempts on request and checks each request against the limits of its arrival."""

    def __init__(self, site: Settings, server_count: int = 4, seed: int = 1) -> None:
        self.policies: dict[int, RequestClass] = {}
        self.ended_at: dict[int, float] = {}  # when the last attempt of a request ended
        self.timed_out: set[int] = set()  # requests with an attempt that timed out
        super().__init__(site, seed, server_count)

    def handle(self, event: Any) -> list[Action]:
        """Records the limits of new requests and cancels attempts as the dispatcher asks."""
        if isinstance(event, RequestArrived):
            self.policies[event.request] = event.policy or self.settings.classes[event.request_class]
        actions = super().handle(event)
        for action in actions:
            if isinstance(action, CancelAttempt) and (action.request, action.attempt) not in self.outcomes:
                timeout = self.policies[action.request].attempt_timeout
                if timeout and self.now >= self.sent_at[action.request, action.attempt] + timeout:
                    self.timed_out.add(action.request)
                self.end_attempt(action.request, action.attempt, Outcome.CANCELLED)
        return actions

    def end_attempt(
        self, request: int, attempt: int, outcome: int = Outcome.SERVED, report: tuple[float, ...] = ()
    ) -> list[Action]:
        """Ends an attempt and records the time."""
        self.ended_at[request] = self.now
        return super().end_attempt(request, attempt, outcome, report)

    def _check_send(self, send: StartAttempt) -> None:
        request_class = self.policies[send.request]
        sent = self.sent_to.get(send.request, [])
        out = [n for n in range(len(sent)) if (send.request, n) not in self.outcomes]
        assert len(sent) < (
            request_class.max_attempts or self.settings.max_attempts
        ), "more attempts than its limits allow"
        if out:
            assert request_class.hedge, "a hedged request that its limits forbid"
            last = max(self.sent_at[send.request, n] for n in out)
            assert self.now >= last + request_class.hedge_after, "a hedged request that starts too early"
        elif sent:
            wait = request_class.backoff_before(len(sent))
            assert self.now >= self.ended_at[send.request] + wait, f"no wait of {wait} before attempt {len(sent) + 1}"
        assert (
            request_class.retry_after_timeout or out or send.request not in self.timed_out
        ), "a retry after a timeout that its limits forbid"
        super()._check_send(send)

    def check_timeouts(self) -> None:
        """Asserts that no attempt runs longer than its timeout, with 5 ms of tolerance."""
        for request, attempt in self.open_attempts():
            timeout = self.policies[request].attempt_timeout
            assert (
                request in self.final_states or not timeout or self.now <= self.sent_at[request, attempt] + timeout + 5
            )


def site(request_class: RequestClass = SAFE, **limits: Any) -> Settings:
    """Returns the usual settings, with limits for one class."""
    classes = tuple(replace(each, **limits) if each is request_class else each for each in (SAFE, KEYED, ONCE))
    return with_settings(classes=classes, reports_start=True, progress_interval=100.0, report_fields=())


def test_a_request_has_the_attempts_that_its_class_allows() -> None:
    """Guards against more or fewer attempts than the class allows; 0 means the cap of the site."""
    for attempts in (1, 2, 3, 0):
        host = LimitCheckingHost(site(max_attempts=attempts), server_count=6)
        request = host.new_request(0)
        while request not in host.final_states:
            host.end_attempt(request, len(host.sent_to[request]) - 1, Outcome.ERROR)
            host.advance_to(host.now + 50)
        assert len(host.sent_to[request]) == (attempts or 4)
        assert host.final_states[request] == "refused"


def test_a_retry_waits_for_its_backoff() -> None:
    """Guards against a retry before or long after its backoff; the last backoff applies to all further retries."""
    host = LimitCheckingHost(site(retry_backoff=(100.0, 400.0)))
    request = host.new_request(0)
    for attempt, wait in enumerate((100, 400, 400)):
        host.end_attempt(request, attempt, Outcome.CONNECT_FAILED)
        host.advance_to(host.now + wait - 2)
        assert len(host.sent_to[request]) == attempt + 1
        host.advance_to(host.now + 4)
        assert len(host.sent_to[request]) == attempt + 2
    host.end_attempt(request, 3, Outcome.SERVED)
    assert host.final_states[request] == "served"


def test_a_request_is_not_kept_for_a_backoff_past_its_deadline() -> None:
    """Guards against a request that gets no answer until near its deadline although no further attempt can be made."""
    host = LimitCheckingHost(site(retry_backoff=(4900.0,), hedge=False))
    request = host.new_request(0)
    host.advance_to(host.now + 200)
    host.end_attempt(request, 0, Outcome.ERROR)
    assert host.final_states[request] == "refused"


def test_a_client_that_leaves_during_the_backoff_ends_the_retries() -> None:
    """Guards against attempts for a client that has gone."""
    from heronlug import ClientGone

    host = LimitCheckingHost(site(retry_backoff=(100.0,)))
    request = host.new_request(0)
    host.end_attempt(request, 0, Outcome.ERROR)
    host.handle(ClientGone(request))
    host.final_states[request] = "gone"
    host.advance_to(host.now + 300)
    assert len(host.sent_to[request]) == 1


def test_an_attempt_that_times_out_is_retried() -> None:
    """Guards against an attempt that is not cancelled at its timeout, or not retried after it."""
    host = LimitCheckingHost(site(attempt_timeout=300.0, hedge=False))
    request = host.new_request(0)
    host.handle(AttemptProgress(request, 0, host.sent_to[request][0], ProgressKind.STARTED))
    host.advance_to(host.now + 299)
    assert host.open_attempts() == [(request, 0)]
    host.advance_to(host.now + 2)
    assert host.outcomes[request, 0] == Outcome.CANCELLED
    assert len(host.sent_to[request]) == 2
    host.end_attempt(request, 1)
    assert host.final_states[request] == "served"


def test_no_retry_after_a_timeout_when_the_limits_forbid_it() -> None:
    """Guards against a retry after a timeout although the class ends with the timeout."""
    host = LimitCheckingHost(site(attempt_timeout=300.0, retry_after_timeout=False, hedge=False))
    request = host.new_request(0)
    host.advance_to(host.now + 301)
    assert host.final_states[request] == "refused"
    assert len(host.sent_to[request]) == 1


def test_a_timeout_fails_a_non_idempotent_request() -> None:
    """Guards against a retry of an attempt that timed out and may have run, which would run the request twice."""
    host = LimitCheckingHost(site(ONCE, attempt_timeout=300.0, max_attempts=4))
    request = host.new_request(2)
    host.advance_to(host.now + 301)
    assert host.final_states[request] == "failed"
    assert len(host.sent_to[request]) == 1


def test_a_non_idempotent_request_that_never_ran_is_retried_after_its_backoff() -> None:
    """Guards against the failure of a request that certainly never ran, since its connection failed."""
    host = LimitCheckingHost(site(ONCE, retry_backoff=(50.0,), max_attempts=2))
    request = host.new_request(2)
    host.end_attempt(request, 0, Outcome.CONNECT_FAILED)
    host.advance_to(host.now + 60)
    assert len(host.sent_to[request]) == 2
    host.end_attempt(request, 1, Outcome.CONNECT_FAILED)
    assert host.final_states[request] == "refused"


def test_a_class_with_hedging_disabled_is_not_hedged() -> None:
    """Guards against a hedge that the class forbids; if the class allows hedging, the same silent request is hedged."""
    for second_copy, sent in ((True, 2), (False, 1)):
        host = LimitCheckingHost(site(hedge=second_copy))
        request = host.new_request(0)
        host.handle(AttemptProgress(request, 0, host.sent_to[request][0], ProgressKind.STARTED))
        for _ in range(40):
            host.advance_to(host.now + 20)
            host.handle(
                AttemptProgress(99, 0, 1, ProgressKind.PROGRESS)
            )  # any event makes the dispatcher check for hedges
        assert len(host.sent_to[request]) == sent
        unstarted = host.new_request(0)
        host.advance_to(host.now + 400)
        assert (len(host.sent_to[unstarted]) > 1) == second_copy


def test_a_hedge_starts_at_its_time_and_not_before() -> None:
    """Guards against a hedge before its time, a second hedge, and a slower attempt that is not cancelled."""
    host = LimitCheckingHost(site(hedge_after=700.0))
    request = host.new_request(0)
    host.advance_to(host.now + 698)
    assert len(host.sent_to[request]) == 1
    host.advance_to(host.now + 4)
    assert len(host.sent_to[request]) == 2
    host.advance_to(host.now + 690)
    assert len(host.sent_to[request]) == 2  # one hedge at a time
    host.end_attempt(request, 1)
    assert host.outcomes[request, 0] == Outcome.CANCELLED  # the attempt that the hedge has overtaken


def test_a_request_keeps_the_limits_that_it_was_accepted_under() -> None:
    """Guards against changed settings that affect open requests: each request keeps the limits of its arrival."""
    strict = replace(SAFE, max_attempts=1, retry_backoff=(1000.0,))
    host = LimitCheckingHost(site())
    first = host.new_request(0)
    second = host.new_request(0, policy=strict)
    host.end_attempt(second, 0, Outcome.ERROR)
    assert host.final_states[second] == "refused"
    assert len(host.sent_to[second]) == 1
    host.dispatcher.settings = replace(host.settings, classes=(strict, KEYED, ONCE))
    host.end_attempt(first, 0, Outcome.ERROR)
    assert len(host.sent_to[first]) == 2


def test_limits_are_handed_over_to_another_process() -> None:
    """Guards against a handover that loses the backoff of a waiting request or the timeout of an attempt in flight."""
    request_class = replace(SAFE, max_attempts=2, attempt_timeout=300.0, retry_backoff=(200.0,), hedge=False)
    received = model.read(SAFE, model.write(request_class))
    assert received == request_class
    new = LimitCheckingHost(site())
    new.now = 5000.0
    for request, attempt, not_before in (
        (1, AttemptSnapshot(1, 4900.0, False, False, True, 4900.0), 5100.0),
        (2, AttemptSnapshot(2, 4900.0, True, False, True, 4900.0), 0.0),
    ):
        event = RequestArrived(request, 0, 9000.0, policy=received)
        new.policies[request] = received
        new.requests[request] = event
        new.sent_to[request], new.sent_at[request, 0] = [attempt.server], attempt.sent_at
        if not attempt.in_flight:
            new.outcomes[request, 0], new.ended_at[request] = Outcome.ERROR, 4900.0
        new.handle(RequestAdopted(event, 4900.0, (attempt,), not_before))
    assert [len(new.sent_to[request]) for request in (1, 2)] == [1, 1]
    new.advance_to(5099.0)
    assert len(new.sent_to[1]) == 1
    new.advance_to(5101.0)
    assert len(new.sent_to[1]) == 2
    new.advance_to(5202.0)  # the timeout starts when the other process sent the attempt
    assert new.outcomes[2, 0] == Outcome.CANCELLED
    new.advance_to(5410.0)
    assert len(new.sent_to[2]) == 2
    new.handle(RequestHandedOver(1))
    new.final_states[1] = "passed"
    new.finish_requests()


@pytest.mark.parametrize(
    "table",
    [
        None,
        {},
        {"attempts": 1},
        {**model.write(SAFE), "attempts": -1},
        {**model.write(SAFE), "give_up_ms": "x"},
        {**model.write(SAFE), "wait_ms": [float("nan")]},
        {**model.write(SAFE), "after_timeout": "maybe"},
        {**model.write(SAFE), "second_copy": 1},
        {**model.write(SAFE), "more": 1},
    ],
)
def test_malformed_limits_of_another_process_are_rejected(table: Any) -> None:
    """Guards against a handover that accepts missing, unknown or invalid limits."""
    with pytest.raises((ValueError, TypeError)):
        model.read(SAFE, table)


LIMITS_STRATEGY = st.fixed_dictionaries(
    {},
    optional={
        "max_attempts": st.integers(1, 4),
        "attempt_timeout": st.sampled_from([40.0, 150.0, 900.0]),
        "retry_after_timeout": st.booleans(),
        "retry_backoff": st.sampled_from([(), (30.0,), (5.0, 200.0)]),
        "hedge": st.booleans(),
        "hedge_after": st.sampled_from([0.0, 60.0, 300.0]),
    },
)


@settings(max_examples=60)
@given(st.tuples(LIMITS_STRATEGY, LIMITS_STRATEGY, LIMITS_STRATEGY), st.integers(0, 10_000))
def test_any_limits_hold_under_any_faults(drawn_limits: tuple[dict[str, Any], ...], seed: int) -> None:
    """Guards against a broken limit, a broken rule or a lost request under random limits and failures.

    Limits change while requests are open; each request keeps the limits of its arrival.
    """
    rng = Random(seed)
    unlimited = (SAFE, KEYED, ONCE)
    host = LimitCheckingHost(site(), server_count=6, seed=seed)
    for _ in range(120):
        classes = tuple(
            replace(request_class, **limits)
            for request_class, limits in zip(unlimited, rng.sample(drawn_limits, 3), strict=True)
        )
        choice = rng.random()
        if choice < 0.4:
            class_number = rng.randrange(3)
            host.new_request(class_number, policy=classes[class_number])
        elif choice < 0.8 and (out := host.open_attempts()):
            request, attempt = rng.choice(out)
            if rng.random() < 0.4:
                host.handle(AttemptProgress(request, attempt, host.sent_to[request][attempt], ProgressKind.STARTED))
            else:
                host.end_attempt(request, attempt, rng.choice([1, 1, 2, 3, 5, 6]))
        elif choice < 0.85:
            host.update_servers(ListKind.CHANGES, (ServerEntry(rng.randrange(1, 7), cell=rng.randrange(3)),))
        host.advance_to(host.now + rng.expovariate(1 / 25))
        host.check_timeouts()
    host.finish_requests()


def test_every_limit_is_handed_over() -> None:
    """Guards against a limit that is missing from the handover table and so is lost by a hot restart."""
    request_class = RequestClass(
        latency_objective=1,
        deadline=9,
        effect=Effect.IDEMPOTENT_BY_KEY,
        max_attempts=2,
        attempt_timeout=3,
        retry_after_timeout=False,
        retry_backoff=(1.0,),
        hedge=False,
        hedge_after=2,
        give_up_after=8,
        repeat_window=7,
    )
    bare = RequestClass(latency_objective=1, deadline=9, effect=Effect.IDEMPOTENT_BY_KEY)
    assert model.read(bare, model.write(request_class)) == request_class
