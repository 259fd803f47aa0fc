"""Sends, queues or gives up a request that is due for its next attempt."""

from heronlug.balancer.actions import GiveUpReason
from heronlug.balancer.attempts import AttemptStarter
from heronlug.balancer.model import Request
from heronlug.balancer.queue import RequestQueue
from heronlug.balancer.selection import Selection
from heronlug.balancer.state import BalancerState


class Placement:
    """Places requests immediately or after their backoff."""

    __slots__ = ("_dial_allowance", "_open_requests", "_queue", "_selection", "_starter", "_tick", "_timers")

    def __init__(
        self,
        state: BalancerState,
        selection: Selection,
        queue: RequestQueue,
        starter: AttemptStarter,
    ) -> None:
        self._tick, self._dial_allowance = state.settings.tick, state.derived.dial_allowance
        self._timers, self._open_requests = state.timers, state.open_requests
        self._selection, self._queue, self._starter = selection, queue, starter

    def schedule_give_up(self, request: Request) -> None:
        """Sets the timer that gives a request up one tick before its ``give_up_at`` time."""
        self._timers.call_at(request.give_up_at - self._tick, self._on_give_up_time, request)

    def place_after_backoff(self, request: Request, backoff_ends: float, now: float) -> None:
        """Places a request when its backoff ends, or gives it up now if no attempt can follow the backoff."""
        request.not_before = backoff_ends
        if now >= backoff_ends:
            self.place(request, now)
        elif len(request.attempts) >= request.max_attempts:
            self._open_requests.finish(request, GiveUpReason.NO_ATTEMPT)
        elif backoff_ends < request.give_up_at - self._tick:
            self._timers.call_at(backoff_ends, self.place, request)
        else:
            self._open_requests.finish(request, GiveUpReason.NO_TIME)

    def place(self, request: Request, now: float) -> None:
        """Sends the next attempt of a request, queues the request, or gives it up."""
        if request.give_up_at - self._tick <= now:
            self._open_requests.finish(request, GiveUpReason.NO_TIME)
        elif request.attempts_spent_by(now + self._dial_allowance):
            self._open_requests.finish(request, GiveUpReason.NO_ATTEMPT)
        elif (server := self._selection.choose(request, now)) is not None:
            self._starter.start(request, server, now)
        elif request.rejected_by:
            # The request itself is most likely invalid, so it does not wait until a second server can confirm that.
            self._open_requests.finish(request, GiveUpReason.FAULTY)
        else:
            self._queue.add(request, now)

    def _on_give_up_time(self, request: Request, _: float) -> None:
        self._open_requests.finish(request, GiveUpReason.NO_TIME)
