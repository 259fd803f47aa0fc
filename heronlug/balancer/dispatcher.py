"""The dispatcher: one handler for each event, nothing is decided here.

``Dispatcher.handle(now, event)`` returns the actions to carry out.  Each handler is a list of calls on the rules:

=========================================== ==========================================================
what is accepted, with which times          :mod:`heronlug.balancer.admission`
the order of the servers                    :mod:`heronlug.balancer.ranking`, ``payoffs``
which server an attempt may go to           :mod:`heronlug.balancer.selection`, ``candidates``
servers visited beside the ranking          :mod:`heronlug.balancer.exploration`
what is sent, queued or given up            :mod:`heronlug.balancer.placement`, ``queue``, ``overload``
what follows an attempt                     :mod:`heronlug.balancer.retries`, ``deduplication``, ``learning``
copies beside an attempt                    :mod:`heronlug.balancer.hedging`, ``silence``
servers that fail                           :mod:`heronlug.balancer.outlier_detection`
servers that warm up                        :mod:`heronlug.balancer.slow_start`, ``reservations``
zones that fail as one                      :mod:`heronlug.balancer.zone_failover`
what other dispatchers report               :mod:`heronlug.balancer.peer_load`, ``load_reports``
what another process goes on with           :mod:`heronlug.balancer.snapshot`
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
    """Decides for one dispatcher: events in, actions out.

    Attributes:
        settings: what it was configured with.
        state: servers, requests, reports: what the rules share.
        rules: what decides.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Make a dispatcher that knows no server yet.

        Args:
            settings: of this dispatcher.
            seed: of its random draws: dispatchers and processes with the same seed draw the same.
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
        """The actions that follow from an event, in order; an event of unknown type or id is ignored.

        Args:
            now: the time, never before that of the last event.
            event: what has happened.
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
        """Requests that wait for a server."""
        return len(self.rules.queue)

    def avoided_servers(self, now: float) -> set[int]:
        """The servers that get no ordinary request now."""
        return self.state.servers.avoided(now)

    def attempt_snapshots(self, request_id: int) -> tuple[AttemptSnapshot, ...] | None:
        """The attempts of a request, for another process to go on with; None if it is over."""
        return self.state.open_requests.attempt_snapshots(request_id)

    def not_before(self, request_id: int) -> float:
        """When the backoff of a request ends; 0 if there is none."""
        return self.state.open_requests.not_before(request_id)

    def snapshot(self) -> dict[str, Any]:
        """What has been learned, for another process of this dispatcher."""
        return take_snapshot(self._learned_parts())

    def resume(self, table: object, now: float) -> None:
        """Go on with what another process has learned.

        Raises:
            SnapshotError: the table makes no sense.
        """
        restore_snapshot(self._learned_parts(), table, now)
        self.rules.rerank(now)

    # -- requests

    def _on_request_arrived(self, event: RequestArrived, now: float) -> None:
        if event.request_class < len(self.settings.classes) and event.request not in self.state.open_requests.by_id:
            self.rules.placement.place(self._admit(event, now), now)

    def _on_request_adopted(self, event: RequestAdopted, now: float) -> None:
        """Another process accepted it: what is in flight goes on, and nothing is sent twice."""
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
            if self.settings.may_cancel:  # its copies that have not started elsewhere have lost
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
