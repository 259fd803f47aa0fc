"""Queues requests that no server has room for, so that each can still be sent to any server.

Requests that may be in time are kept apart from requests that are overdue or beyond the quota of their tenant, and
start first. Within a request class the newest request starts first, so that during an overload some requests are in
time. Between classes, the class with the shortest latency objective starts first. Once requests are overdue, the class
with the highest priority weight starts first, and the class that has been served worst gets an additional weight from
the settings.
"""

from collections.abc import Sequence
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from heronlug.balancer.actions import GiveUpReason
from heronlug.balancer.attempts import AttemptStarter
from heronlug.balancer.estimates import ClassValues
from heronlug.balancer.events import AttemptProgress, Event, PeerMessage, RequestArrived
from heronlug.balancer.loan_requests import LoanRequests
from heronlug.balancer.model import Request
from heronlug.balancer.overload import OverloadDetector
from heronlug.balancer.retries import RetryBudget
from heronlug.balancer.run_times import RunTimes
from heronlug.balancer.selection import Selection
from heronlug.balancer.settings import Settings
from heronlug.balancer.slow_start import MAX_LOAN_REQUESTS
from heronlug.balancer.state import BalancerState

NO_CLASS = -1


class QueuedRequest(NamedTuple):
    """An entry of a queue; the lowest entry starts first."""

    priority: float
    sequence: int
    request: Request


class QueueOrder:
    """Computes the priorities of the requests that may be in time."""

    __slots__ = ("_class_values", "_run_times", "_settings", "_worst_class")

    def __init__(self, settings: Settings, run_times: RunTimes, class_values: ClassValues) -> None:
        self._settings, self._run_times, self._class_values = settings, run_times, class_values
        self._worst_class = NO_CLASS

    def priority(self, request: Request) -> float:
        """Returns the priority of a request; the lowest value starts first.

        The priority is the latency objective, or the negative priority weight while requests whose late answer still
        has a value are overdue.
        """
        policy = request.policy
        if self._worst_class == NO_CLASS:
            return (
                policy.latency_objective + (policy.latency_factor - 1) * self._run_times.by_class[request.class_index]
            )
        weight_of_worst = self._settings.worst_class_weight
        extra_weight = 0.0
        if request.class_index == self._worst_class:
            extra_weight = weight_of_worst / self._class_values.share(request.class_index)
        return -policy.priority_weight * (1 - weight_of_worst + extra_weight)

    def update(self, overdue: Sequence[QueuedRequest]) -> bool:
        """Finds the class that is served worst while servers can't serve every request in time.

        Returns:
            Whether that class has changed.
        """
        overloaded = len(overdue) > 0 and overdue[0].priority < 0.0  # a late answer to the first request has a value
        worst = self._class_values.worst_class() if overloaded else NO_CLASS
        changed = worst != self._worst_class
        self._worst_class = worst
        return changed


class RequestQueue:
    """Holds the requests that wait for a server, and starts them when a server has room.

    Attributes:
        in_time: heap of the requests that may still be in time.
        overdue: heap of the requests that are overdue or beyond the quota of their tenant.
    """

    __slots__ = (
        "_aggregated",
        "_budget",
        "_dial_allowance",
        "_loans",
        "_open_requests",
        "_order",
        "_overload",
        "_peer_load",
        "_recheck_interval",
        "_recheck_planned",
        "_selection",
        "_sequence",
        "_starter",
        "_summaries_seen",
        "_timers",
        "in_time",
        "overdue",
    )

    def __init__(
        self,
        state: BalancerState,
        order: QueueOrder,
        selection: Selection,
        overload: OverloadDetector,
        budget: RetryBudget,
        *,
        starter: AttemptStarter,
        loans: LoanRequests,
    ) -> None:
        """Creates an empty queue.

        Args:
            state: shared state of the dispatcher.
            order: computes the priorities of the requests that may be in time.
            selection: chooses the server of a request.
            overload: detects overdue requests that can no longer be served usefully.
            budget: the retry budget.
            starter: starts attempts.
            loans: asks other dispatchers for capacity loans at servers that warm up.
        """
        derived = state.derived
        self._dial_allowance, self._aggregated = derived.dial_allowance, derived.aggregated
        self._recheck_interval = derived.summary_interval if derived.aggregated else derived.recheck_interval
        self._timers, self._open_requests, self._peer_load = state.timers, state.open_requests, state.peer_load
        self._order, self._selection, self._overload, self._budget = order, selection, overload, budget
        self._starter, self._loans = starter, loans
        self.in_time: list[QueuedRequest] = []
        self.overdue: list[QueuedRequest] = []
        self._sequence = 0
        self._recheck_planned = False
        self._summaries_seen = 0

    def __len__(self) -> int:
        return len(self.in_time) + len(self.overdue)

    def may_start_after(self, event: Event) -> bool:
        """Returns whether an event may have freed a server for a queued request.

        An arrival frees no server. Where aggregators send load summaries, single reports of other dispatchers don't
        count, only summaries.
        """
        if not len(self) or isinstance(event, RequestArrived):
            return False
        is_report = isinstance(event, AttemptProgress | PeerMessage)
        if not self._aggregated or not is_report:
            return True
        return self._summaries_seen != self._peer_load.summaries_read

    def mark_changed(self) -> None:
        """Records that something other than a load summary may have freed a server."""
        self._summaries_seen = -1

    def add(self, request: Request, now: float) -> None:
        """Adds a request that waits for a server."""
        self._sequence += 1
        late = request.over_quota or now > request.latest_start
        priority = -request.late_weight if late else self._order.priority(request)
        entry = QueuedRequest(priority, -self._sequence, request)
        heappush(self.overdue if late else self.in_time, entry)
        self._loans.ask([request], now)
        if not self._recheck_planned:  # a single chain of timers serves all requests
            self._plan_recheck(None, now)

    def drain(self, now: float) -> None:
        """Starts the requests that a server has room for: requests that may be in time first, then overdue ones."""
        self._summaries_seen = self._peer_load.summaries_read
        if self._order.update(self.overdue):
            self.in_time = [entry._replace(priority=self._order.priority(entry.request)) for entry in self.in_time]
            heapify(self.in_time)
        if self._drain_heap(self.in_time, now, overdue=False):
            self._drain_heap(self.overdue, now, overdue=True)

    def _drain_heap(self, heap: list[QueuedRequest], now: float, *, overdue: bool) -> bool:
        """Starts the first requests of a heap until no server has room; returns whether the whole heap was handled."""
        out_of_budget: list[QueuedRequest] = []
        has_room = True
        while heap and has_room:
            entry = heap[0]
            request = entry.request
            if not self._open_requests.is_open(request) or request.in_flight:
                heappop(heap)
            elif not overdue and request.latest_start < now:
                heappop(heap)
                heappush(self.overdue, QueuedRequest(-request.late_weight, entry.sequence, request))
            elif self._is_hopeless(request, now, overdue=overdue):
                heappop(heap)
                self._open_requests.finish(request, GiveUpReason.HOPELESS)
            elif (server := self._selection.choose(request, now, overdue=overdue)) is not None:
                heappop(heap)
                self._starter.start(request, server, now)
            elif request.attempts and self._budget.is_spent():
                out_of_budget.append(heappop(heap))  # the retry waits for a token without blocking other requests
            else:
                has_room = False
        for entry in out_of_budget:
            heappush(heap, entry)
        return has_room

    def _is_hopeless(self, request: Request, now: float, *, overdue: bool) -> bool:
        """Returns whether no attempt is useful: the repeat window is over, or the answer would come too late.

        Giving such a request up now leaves its client time to react.
        """
        if request.repeat_window_over_by(now + self._dial_allowance):
            return True
        return overdue and self._overload.is_hopeless(request, now)

    def _plan_recheck(self, _: None, now: float) -> None:
        """Sets a timer for the next check of the queue; the timer event itself makes the dispatcher drain the queue."""
        self._recheck_planned = len(self) > 0
        if self._recheck_planned:
            first = (self.in_time or self.overdue)[:MAX_LOAN_REQUESTS]
            self._loans.ask([entry.request for entry in first], now)
            self._timers.call_at(now + self._recheck_interval, self._plan_recheck, None)
