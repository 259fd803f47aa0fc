"""The dispatcher: one handler for each event, nothing is decided here.

``Dispatcher.handle(now, event)`` returns the actions to carry out.  Each handler is a list of calls on the rules:

=========================================== ==========================================================
what is accepted, with which times          :mod:`heronlug.balancer.admission`
the order of the servers                    :mod:`heronlug.balancer.ranking`, ``payoffs``
which server an attempt may go to           :mod:`heronlug.balancer.selection`, ``candidates``
servers visited beside the ranking          :mod:`heronlug.balancer.exploration`
what is sent, queued or given up            :mod:`heronlug.balancer.placement`, ``queue``, ``overload``
what follows an attempt                     :mod:`heronlug.balancer.retries`, ``deduplication``
copies beside an attempt                    :mod:`heronlug.balancer.hedging`, ``silence``
servers that fail                           :mod:`heronlug.balancer.outlier_detection`
servers that warm up                        :mod:`heronlug.balancer.slow_start`, ``reservations``
zones that fail as one                      :mod:`heronlug.balancer.zone_failover`
what other dispatchers report               :mod:`heronlug.balancer.peer_load`, ``load_reports``
what another process goes on with           :mod:`heronlug.balancer.snapshot`
=========================================== ==========================================================
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from heronlug.balancer.actions import Action, GiveUpReason, StartAttempt
from heronlug.balancer.admission import Admission
from heronlug.balancer.attempt_starts import AttemptStarts
from heronlug.balancer.attempt_timeouts import AttemptTimeouts
from heronlug.balancer.derived_settings import derive
from heronlug.balancer.estimates import ClassValues
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
    ServerState,
    TimerFired,
)
from heronlug.balancer.exploration import Exploration
from heronlug.balancer.hedging import Hedging
from heronlug.balancer.list_subscription import ListSubscription
from heronlug.balancer.load_reports import LoadReports
from heronlug.balancer.model import Attempt, Request, Server
from heronlug.balancer.open_requests import OpenRequests
from heronlug.balancer.outbox import Outbox
from heronlug.balancer.outlier_detection import FAILURES, OutlierDetection
from heronlug.balancer.overload import OverloadDetector
from heronlug.balancer.payoffs import PayoffGrading
from heronlug.balancer.peer_load import PeerLoad
from heronlug.balancer.placement import Placement
from heronlug.balancer.queue import QueueOrder, RequestQueue
from heronlug.balancer.ranking import Ranking
from heronlug.balancer.retries import ArrivalCount, RetryBudget, RetryRules, reason_to_give_up
from heronlug.balancer.run_times import RunTimes
from heronlug.balancer.selection import Selection
from heronlug.balancer.servers import ServerTable
from heronlug.balancer.settings import Settings
from heronlug.balancer.silence import SilenceDetection
from heronlug.balancer.slow_start import CapacityShares
from heronlug.balancer.snapshot import LearnedParts, restore_snapshot, take_snapshot
from heronlug.balancer.state import BalancerState
from heronlug.balancer.timers import TimerQueue
from heronlug.balancer.zone_failover.controller import ZoneFailover


class Dispatcher:
    """Decides for one dispatcher: events in, actions out.

    Attributes:
        settings: what it was configured with.
        state: servers, requests, reports: what the rules share.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Make a dispatcher that knows no server yet.

        Args:
            settings: of this dispatcher.
            seed: of its random draws: dispatchers and processes with the same seed draw the same.
        """
        rng = Random(seed)
        self.settings = settings
        self.state = state = _make_state(settings)
        self.derived = derived = state.derived
        self.arrivals = ArrivalCount()
        self.retry_budget = RetryBudget(settings, self.arrivals)
        self.class_values = ClassValues(len(settings.classes))
        self.shares = CapacityShares(settings, self._on_loan)
        self.outliers = OutlierDetection(settings, derived, rng, state.outbox)
        self.exploration = Exploration(settings, state.peer_load)
        self.ranking = Ranking(state, self.shares, self.outliers, self.exploration)
        sees_starts_only = derived.learns_from_starts and self.shares.without_gossip
        self.overload = OverloadDetector(state.open_requests, state.run_times, sees_starts_only=sees_starts_only)
        self.selection = Selection(
            state,
            self.ranking,
            self.exploration,
            self.outliers,
            self.shares,
            self.overload,
            RetryRules(settings, derived, self.retry_budget),
        )
        state.peer_load.on_load_changed = self.selection.server_changed
        self.starts = AttemptStarts(derived, self.shares)
        self.queue = RequestQueue(
            state,
            QueueOrder(settings, state.run_times, self.class_values),
            self.selection,
            self.overload,
            self.retry_budget,
            start=self._start_attempt,
            ask_for_loans=self._ask_for_loans,
        )
        self.placement = Placement(state, self.selection, self.queue, start=self._start_attempt)
        self.hedging = Hedging(
            state,
            self.starts,
            self.selection,
            start=self._start_attempt,
            has_queue=lambda: bool(self.queue.in_time),
        )
        self.timeouts = AttemptTimeouts(state.timers, state.open_requests, state.outbox)
        self.silence = SilenceDetection(settings, derived, state.open_requests, self.hedging)
        self.admission = Admission(settings, self.arrivals, state.run_times, self.class_values)
        self.grading = PayoffGrading(settings, state.run_times)
        self.load_reports = LoadReports(state)
        self.subscription = ListSubscription(settings, rng, state.outbox, state.timers)
        self.zone_failover = ZoneFailover(state, self.exploration, self._rerank)
        self.zone_failover.begin()
        self.load_reports.begin()
        self._rng = rng
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
        self.silence.check(now)
        if self._may_start_queued(event):
            self.queue.drain(now)
        state.timers.run_due(now, state.open_requests, state.outbox)
        self.load_reports.report_if_due(now)
        return state.outbox.actions

    @property
    def queue_length(self) -> int:
        """Requests that wait for a server."""
        return len(self.queue)

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
        self._rerank(now)

    # -- requests

    def _on_request_arrived(self, event: RequestArrived, now: float) -> None:
        if event.request_class < len(self.settings.classes) and event.request not in self.state.open_requests.by_id:
            self.placement.place(self._admit(event, now), now)

    def _on_request_adopted(self, event: RequestAdopted, now: float) -> None:
        """Another process accepted it: what is in flight goes on, and nothing is sent twice."""
        request = self._admit(event.arrival, event.accepted_at)
        servers = self.state.servers.by_id
        request.attempts = [Attempt.restore(request, servers[s.server], s) for s in event.attempts]
        request.not_before = event.not_before
        for number, attempt in enumerate(request.attempts):
            if attempt.in_flight:
                self.state.open_requests.resume_attempt(attempt, number)
                self._watch(attempt, now)
        if not request.in_flight:
            self.placement.place_after_backoff(request, request.not_before, now)

    def _on_request_handed_over(self, event: RequestHandedOver, now: float) -> None:
        self.state.open_requests.hand_over(event.request)

    def _on_client_gone(self, event: ClientGone, now: float) -> None:
        self.state.open_requests.close(event.request)

    def _on_final_answer_due(self, event: FinalAnswerDue, now: float) -> None:
        request = self.state.open_requests.by_id.get(event.request)
        if request is not None:
            self.state.open_requests.finish(request, GiveUpReason.SHUTDOWN)

    def _admit(self, arrival: RequestArrived, now: float) -> Request:
        request = self.admission.admit(arrival, now)
        self.state.open_requests.by_id[request.id] = request
        self.placement.give_up_in_time(request)
        return request

    # -- attempts

    def _start_attempt(self, request: Request, server: Server, now: float) -> None:
        self.retry_budget.spend(request)
        attempt = Attempt(request, server, now, self.settings.reports_start)
        self.state.open_requests.begin_attempt(attempt)
        self.shares.record_send(server, request.work, now)
        self._watch(attempt, now)
        self.ranking.send_count += 1
        self.state.outbox.add(StartAttempt(request.id, server.id))

    def _watch(self, attempt: Attempt, now: float) -> None:
        self.timeouts.watch(attempt)
        self.hedging.watch(attempt, now)

    def _on_attempt_progress(self, event: AttemptProgress, now: float) -> None:
        attempt = self.state.open_requests.attempts.get((event.request, event.attempt))
        if attempt is None:
            return
        attempt.record_progress(now)
        if attempt.unstarted:
            self.starts.record_start(attempt, now)
            if self.settings.may_cancel:  # its copies that have not started elsewhere have lost
                self.state.open_requests.cancel_attempts(attempt.request, unstarted_only=True)

    def _on_attempt_ended(self, event: AttemptEnded, now: float) -> None:
        attempt = self.state.open_requests.end_attempt(event.request, event.attempt)
        if attempt is None:
            return
        server, request, outcome = attempt.server, attempt.request, event.outcome
        if 0 <= self.derived.free_slots_index < len(event.report):
            server.capacity.record_free_slots(event.report[self.derived.free_slots_index])
        if outcome == Outcome.SERVED:
            server.outlier.last_progress_at, server.outlier.unresponsive = now, False
        has_run = not attempt.unstarted
        attempt.record_end(outcome)
        if outcome != Outcome.CANCELLED or (has_run and self.settings.reports_start):
            self._learn(attempt, event, now)
        self.selection.freed = [server] if outcome == Outcome.SERVED else []
        if self.state.open_requests.is_open(request):
            self._judge_rejections(attempt, outcome, now)
            self._go_on_after(attempt, event, now)

    def _learn(self, attempt: Attempt, event: AttemptEnded, now: float) -> None:
        server, outcome = attempt.server, event.outcome
        run_time = self.overload.run_time(attempt, event.latency, now)
        payoff = self.grading.grade(attempt, outcome, event.latency, run_time)
        if payoff is None:
            return
        server.payoff.add(payoff)
        failed = outcome in FAILURES
        self.state.peer_load.record_outcome(server, failed)
        server.outlier.record_end(failed, now)
        self.outliers.record_outcome(server, outcome, now)
        if self.ranking.is_due(now):
            self._rerank(now)

    def _judge_rejections(self, attempt: Attempt, outcome: int, now: float) -> None:
        """A server that rejects a request which another one serves has failed."""
        request = attempt.request
        if outcome == Outcome.REJECTED_BY_SERVER:
            request.rejected_by.append(attempt.server)
        elif outcome == Outcome.SERVED:
            for server in request.rejected_by:
                self.outliers.record_outcome(server, Outcome.ERROR, now)

    def _go_on_after(self, attempt: Attempt, event: AttemptEnded, now: float) -> None:
        request = attempt.request
        if event.final:
            value = request.value if now <= request.due_at else request.value * request.policy.late_value
            self.class_values.record_served(request.class_index, value)
            self.state.open_requests.close(request.id)
        elif (reason := reason_to_give_up(attempt, event.outcome)) is not None:
            self.state.open_requests.finish(request, reason)
        elif not request.in_flight:
            backoff = request.policy.backoff_before(len(request.attempts))
            self.placement.place_after_backoff(request, now + backoff, now)

    def _may_start_queued(self, event: Event) -> bool:
        """Whether an event may have made room for a queued request: an arrival takes room, most reports free none."""
        if not len(self.queue) or isinstance(event, RequestArrived):
            return False
        is_report = isinstance(event, AttemptProgress | PeerMessage)
        return not (self.derived.aggregated and is_report) or self.queue.has_new_summary

    # -- servers and peers

    def _on_server_list(self, event: ServerListUpdate, now: float) -> None:
        if event.kind == ListKind.FAILED:
            self.subscription.failed(now)
            return
        self.subscription.received(event.kind, now)
        ready = self.state.servers.apply_list(event, now)
        ready.sort(key=lambda server: (server.zone != self.settings.zone, self._rng.random()))  # own zone first
        for server in self.ranking.servers:
            server.in_ranking = server.state is ServerState.READY
        for server in ready:
            server.in_ranking = True
        self.ranking.set_servers([*(server for server in self.ranking.servers if server.in_ranking), *ready])
        self._rerank(now)
        self.state.peer_load.set_ready_servers(self.ranking.servers)

    def _on_peer_message(self, event: PeerMessage, now: float) -> None:
        servers = self.state.servers.by_id
        self.state.outbox.extend(self.shares.receive(event, servers, now))
        for outcome in self.state.peer_load.receive(event, servers, now):
            outcome.server.outlier.record_end(outcome.badly, now)

    def _on_peer_gone(self, event: PeerGone, now: float) -> None:
        self.state.peer_load.forget_peer(event.peer, self.state.servers.by_id)

    def _on_timer_fired(self, event: TimerFired, now: float) -> None:
        self.state.timers.timer_fired()

    def _on_loan(self, server: Server) -> None:
        self.selection.server_changed(server)
        self.queue.check_again()

    def _ask_for_loans(self, requests: Sequence[Request], now: float) -> None:
        self.state.outbox.extend(self.shares.request_loans(requests, self.ranking.warming, now))

    def _rerank(self, now: float) -> None:
        self.load_reports.expire(now)
        self.ranking.update(now)
        self.selection.ranking_changed()

    def _learned_parts(self) -> LearnedParts:
        return LearnedParts(self.state, self.ranking, self.arrivals, self.retry_budget, self.zone_failover)


def _make_state(settings: Settings) -> BalancerState:
    derived = derive(settings)
    outbox, peer_load = Outbox(), PeerLoad()
    return BalancerState(
        settings=settings,
        derived=derived,
        outbox=outbox,
        timers=TimerQueue(),
        servers=ServerTable(slots_unreported=derived.learns_from_starts, on_forgotten=peer_load.forget_server),
        open_requests=OpenRequests(outbox, peer_load, may_cancel=settings.may_cancel),
        peer_load=peer_load,
        run_times=RunTimes(),
    )
