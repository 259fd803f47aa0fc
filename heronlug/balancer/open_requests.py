"""Open requests and their attempts in flight: one owner books each start and end, and gives each final answer."""

from heronlug.balancer.actions import CancelAttempt, Fail, GiveUpReason, Reject
from heronlug.balancer.events import AttemptSnapshot
from heronlug.balancer.model import Attempt, Request
from heronlug.balancer.outbox import Outbox
from heronlug.balancer.peer_load import PeerLoad


class OpenRequests:
    """Requests by number until their final answer, and attempts in flight by request and number.

    Attributes:
        by_id: requests that are owed a final answer.
        attempts: attempts in flight, also those of requests that have been answered.
    """

    __slots__ = ("_may_cancel", "_outbox", "_peer_load", "attempts", "by_id")

    def __init__(self, outbox: Outbox, peer_load: PeerLoad, *, may_cancel: bool) -> None:
        self._outbox, self._peer_load = outbox, peer_load
        self._may_cancel = may_cancel
        self.by_id: dict[int, Request] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}

    def is_open(self, request: Request) -> bool:
        """Whether the request is still owed a final answer."""
        return self.by_id.get(request.id) is request

    # -- attempts

    def begin_attempt(self, attempt: Attempt) -> None:
        """Book the next attempt of a request, which starts now."""
        request = attempt.request
        self.attempts[request.id, len(request.attempts)] = attempt
        request.attempts.append(attempt)
        self._count_attempt(attempt, 1)

    def resume_attempt(self, attempt: Attempt, number: int) -> None:
        """Book an attempt that another process of this dispatcher started and that is in flight."""
        self.attempts[attempt.request.id, number] = attempt
        self._count_attempt(attempt, 1)

    def end_attempt(self, request_id: int, number: int) -> Attempt | None:
        """Book the end of an attempt; None if it is not in flight."""
        attempt = self.attempts.pop((request_id, number), None)
        if attempt is not None:
            self._count_attempt(attempt, -1)
            attempt.server.load.silent_attempts -= attempt.silent
        return attempt

    def _count_attempt(self, attempt: Attempt, change: int) -> None:
        """Count one attempt more in flight (1), or one less (-1), at its server."""
        server, slots = attempt.server, change * attempt.request.slots
        load = server.load
        if load.summary_number != self._peer_load.summaries_read:
            load.summary_number, load.slots_since_summary = self._peer_load.summaries_read, 0.0
        load.slots_since_summary += slots
        load.own_slots = max(0.0, load.own_slots + slots)
        load.own_attempts += change
        load.unstarted_attempts += change * attempt.unstarted
        self._peer_load.own_load_changed(server)

    # -- ends

    def finish(self, request: Request, reason: GiveUpReason) -> None:
        """Give a request up: the one place of final answers that no server gave.

        It is rejected where a retry by the client is harmless, because no attempt may have run or a second run does no
        harm; otherwise it is failed. A request that servers have found fault with gains nothing from a retry.
        """
        retry_may_succeed = request.retry_is_harmless and not request.rejected_by
        harmless = retry_may_succeed or not any(attempt.may_have_run for attempt in request.attempts)
        self._outbox.add(Reject(request.id, reason) if harmless else Fail(request.id, reason))
        self.close(request.id)

    def close(self, request_id: int) -> None:
        """Forget a request that is owed nothing any more, and cancel its attempts in flight."""
        request = self.by_id.pop(request_id, None)
        if request is not None and self._may_cancel:
            self.cancel_attempts(request, unstarted_only=False)

    def cancel_attempts(self, request: Request, *, unstarted_only: bool) -> None:
        """Cancel the attempts in flight of a request, or those of them that have not started."""
        self._outbox.extend(
            CancelAttempt(request.id, number)
            for number, attempt in enumerate(request.attempts)
            if attempt.in_flight and (attempt.unstarted or not unstarted_only)
        )

    def hand_over(self, request_id: int) -> None:
        """Forget a request that another process goes on with: nothing is owed, and nothing has ended."""
        request = self.by_id.pop(request_id, None)
        if request is not None:
            for number in range(len(request.attempts)):
                self.end_attempt(request_id, number)

    # -- for another process

    def attempt_snapshots(self, request_id: int) -> tuple[AttemptSnapshot, ...] | None:
        """The attempts of a request, for another process to go on with; None if it is over."""
        request = self.by_id.get(request_id)
        if request is None:
            return None
        return tuple(attempt.snapshot() for attempt in request.attempts)

    def not_before(self, request_id: int) -> float:
        """When the backoff of a request ends; 0 if there is none."""
        request = self.by_id.get(request_id)
        return request.not_before if request is not None else 0.0
