"""Maps each event to calls on the rules of a dispatcher and returns the resulting actions.

``Dispatcher.handle(now, event)`` has one handler for each type of event. The handlers take no decisions themselves; the
rules do:

=========================================== ==========================================================
admission and deadlines of requests         :mod:`heronlug.balancer.admission`
ranking of the servers                      :mod:`heronlug.balancer.ranking`, ``payoffs``
selection of a server for an attempt        :mod:`heronlug.balancer.selection`, ``candidates``
exploration and probe requests              :mod:`heronlug.balancer.exploration`
sending, queueing and giving up             :mod:`heronlug.balancer.placement`, ``queue``, ``overload``
retries and learning after an attempt       :mod:`heronlug.balancer.retries`, ``deduplication``, ``learning``
hedging and silent attempts                 :mod:`heronlug.balancer.hedging`, ``silence``
ejection of failing servers                 :mod:`heronlug.balancer.outlier_detection`
slow start of servers that warm up          :mod:`heronlug.balancer.slow_start`, ``reservations``
failover between zones                      :mod:`heronlug.balancer.zone_failover`
load reports of other dispatchers           :mod:`heronlug.balancer.peer_load`, ``load_reports``
state for another process                   :mod:`heronlug.balancer.snapshot`
=========================================== ==========================================================
"""

from collections.abc import Callable
from random import Random
from typing import Any

from heronlug.balancer.actions import Action, GiveUpReason
from heronlug.balancer.events import (
    AttemptEnded,
    AttemptProgress,
    AttemptSnapshot,
    ClientGone,
    Event,
    FinalAnswerDue,
    ListKind,
    Outcome,
    PeerGone,
    PeerMessage,
    RequestAdopted,
    RequestArrived,
    RequestHandedOver,
    ServerListUpdate,
    TimerFired,
)
from heronlug.balancer.model import Attempt, Request
from heronlug.balancer.retries import reason_to_give_up
from heronlug.balancer.rules import make_rules, make_state
from heronlug.balancer.settings import Settings
from heronlug.balancer.snapshot import LearnedParts, restore_snapshot, take_snapshot


class Dispatcher:
    """Turns the events of one dispatcher into actions.

    Attributes:
        settings: the settings of this dispatcher.
        state: servers, requests and load reports, shared by the rules.
        rules: the rules that take the decisions.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Creates a dispatcher with an empty list of servers.

        Args:
            settings: the settings of this dispatcher.
            seed: seed of the random number generator; the same seed gives the same sequence in every process.
        """
        self.settings = settings
        self._rng = Random(seed)
        self.state = make_state(settings)
        self.rules = make_rules(self.state, self._rng)
        self._handlers: dict[type, Callable[[Any, float], None]] = {
            RequestArrived: self._on_request_arrived,
            RequestAdopted: self._on_request_adopted,
            RequestHandedOver: self._on_request_handed_over,
            ClientGone: self._on_client_gone,
            FinalAnswerDue: self._on_final_answer_due,
            AttemptProgress: self._on_attempt_progress,
            AttemptEnded: self._on_attempt_ended,
            ServerListUpdate: self._on_server_list,
            PeerMessage: self._on_peer_message,
            PeerGone: self._on_peer_gone,
            TimerFired: self._on_timer_fired,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Returns the actions that follow from an event, in order.

        An event of an unknown type, or for an unknown request or attempt, is ignored.

        Args:
            now: the current time in ms, not earlier than that of the previous event.
            event: the event to handle.
        """
        state = self.state
        state.outbox.begin()
        handler = self._handlers.get(type(event))
        if handler is None:
            return state.outbox.actions
        handler(event, now)
        self.rules.silence.check(now)
        if self.rules.queue.may_start_after(event):
            self.rules.queue.drain(now)
        state.timers.run_due(now, state.open_requests, state.outbox)
        self.rules.load_reports.report_if_due(now)
        return state.outbox.actions

    @property
    def queue_length(self) -> int:
        """Number of requests that wait in the queue for a server."""
        return len(self.rules.queue)

    def avoided_servers(self, now: float) -> set[int]:
        """Returns the numbers of the servers that receive no ordinary requests at this time."""
        return self.state.servers.avoided(now)

    def attempt_snapshots(self, request_id: int) -> tuple[AttemptSnapshot, ...] | None:
        """Returns the attempts of a request for a handover to another process; None if the request is not open."""
        return self.state.open_requests.attempt_snapshots(request_id)

    def not_before(self, request_id: int) -> float:
        """Returns the time at which the backoff of a request ends, 0 if the request has none."""
        return self.state.open_requests.not_before(request_id)

    def snapshot(self) -> dict[str, Any]:
        """Returns the learned state as a table for another process of this dispatcher."""
        return take_snapshot(self._learned_parts())

    def resume(self, table: object, now: float) -> None:
        """Restores the learned state of another process of this dispatcher and updates the ranking.

        Args:
            table: the result of :meth:`snapshot` in the other process.
            now: the current time in ms.

        Raises:
            SnapshotError: if the table is malformed.
        """
        restore_snapshot(self._learned_parts(), table, now)
        self.rules.rerank(now)

    # -- requests

    def _on_request_arrived(self, event: RequestArrived, now: float) -> None:
        if event.request_class < len(self.settings.classes) and event.request not in self.state.open_requests.by_id:
            self.rules.placement.place(self._admit(event, now), now)

    def _on_request_adopted(self, event: RequestAdopted, now: float) -> None:
        """Takes over a request of another process; attempts in flight continue and are not sent again."""
        request = self._admit(event.arrival, event.accepted_at)
        servers = self.state.servers.by_id
        request.attempts = [Attempt.restore(request, servers[s.server], s) for s in event.attempts]
        request.not_before = event.not_before
        for number, attempt in enumerate(request.attempts):
            if attempt.in_flight:
                self.state.open_requests.resume_attempt(attempt, number)
                self.rules.starter.watch(attempt, now)
        if not request.in_flight:
            self.rules.placement.place_after_backoff(request, request.not_before, now)

    def _on_request_handed_over(self, event: RequestHandedOver, now: float) -> None:
        self.state.open_requests.hand_over(event.request)

    def _on_client_gone(self, event: ClientGone, now: float) -> None:
        self.state.open_requests.close(event.request)

    def _on_final_answer_due(self, event: FinalAnswerDue, now: float) -> None:
        request = self.state.open_requests.by_id.get(event.request)
        if request is not None:
            self.state.open_requests.finish(request, GiveUpReason.SHUTDOWN)

    def _admit(self, arrival: RequestArrived, now: float) -> Request:
        request = self.rules.admission.admit(arrival, now)
        self.state.open_requests.by_id[request.id] = request
        self.rules.placement.schedule_give_up(request)
        return request

    # -- attempts

    def _on_attempt_progress(self, event: AttemptProgress, now: float) -> None:
        attempt = self.state.open_requests.attempts.get((event.request, event.attempt))
        if attempt is None:
            return
        attempt.record_progress(now)
        if attempt.unstarted:
            self.rules.starts.record_start(attempt, now)
            if self.settings.may_cancel:  # the other attempts are hedges, needed only until one has started
                self.state.open_requests.cancel_attempts(attempt.request, unstarted_only=True)

    def _on_attempt_ended(self, event: AttemptEnded, now: float) -> None:
        attempt = self.state.open_requests.end_attempt(event.request, event.attempt)
        if attempt is None:
            return
        if self.rules.learning.record_end(attempt, event, now) and self.rules.ranking.is_due(now):
            self.rules.rerank(now)
        served = event.outcome == Outcome.SERVED
        self.rules.selection.freed = [attempt.server] if served else []
        if self.state.open_requests.is_open(attempt.request):
            self.rules.learning.attribute_rejections(attempt, event.outcome, now)
            self._continue_after_attempt(attempt, event, now)

    def _continue_after_attempt(self, attempt: Attempt, event: AttemptEnded, now: float) -> None:
        request = attempt.request
        if event.final:
            value = request.value if now <= request.due_at else request.value * request.policy.late_value
            self.rules.class_values.record_served(request.class_index, value)
            self.state.open_requests.close(request.id)
        elif (reason := reason_to_give_up(attempt, event.outcome)) is not None:
            self.state.open_requests.finish(request, reason)
        elif not request.in_flight:
            backoff = request.policy.backoff_before(len(request.attempts))
            self.rules.placement.place_after_backoff(request, now + backoff, now)

    # -- servers and peers

    def _on_server_list(self, event: ServerListUpdate, now: float) -> None:
        if event.kind == ListKind.FAILED:
            self.rules.subscription.record_failure(now)
            return
        self.rules.subscription.record_list(event.kind, now)
        ready = self.state.servers.apply_list(event, now)
        ready.sort(key=lambda server: (server.zone != self.settings.zone, self._rng.random()))  # own zone first
        self.rules.ranking.use_ready(ready)
        self.rules.rerank(now)
        self.state.peer_load.set_ready_servers(self.rules.ranking.servers)

    def _on_peer_message(self, event: PeerMessage, now: float) -> None:
        servers = self.state.servers.by_id
        self.state.outbox.extend(self.rules.shares.receive(event, servers, now))
        for outcome in self.state.peer_load.receive(event, servers, now):
            outcome.server.outlier.record_end(outcome.badly, now)

    def _on_peer_gone(self, event: PeerGone, now: float) -> None:
        self.state.peer_load.forget_peer(event.peer, self.state.servers.by_id)

    def _on_timer_fired(self, event: TimerFired, now: float) -> None:
        self.state.timers.timer_fired()

    def _learned_parts(self) -> LearnedParts:
        rules = self.rules
        return LearnedParts(self.state, rules.ranking, rules.arrivals, rules.retry_budget, rules.zone_failover)
