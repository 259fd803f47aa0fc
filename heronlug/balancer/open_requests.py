"""Tracks open requests and attempts in flight, and gives the final answers that don't come from a server."""

from heronlug.balancer.actions import CancelAttempt, Fail, GiveUpReason, Reject
from heronlug.balancer.events import AttemptSnapshot
from heronlug.balancer.model import Attempt, Request
from heronlug.balancer.outbox import Outbox
from heronlug.balancer.peer_load import PeerLoad


class OpenRequests:
    """Tracks requests until their final answer, and records each start and end of an attempt.

    Attributes:
        by_id: requests without a final answer, by number.
        attempts: attempts in flight, by request and attempt number, including attempts of answered requests.
    """

    __slots__ = ("_may_cancel", "_outbox", "_peer_load", "attempts", "by_id")

    def __init__(self, outbox: Outbox, peer_load: PeerLoad, *, may_cancel: bool) -> None:
        self._outbox, self._peer_load = outbox, peer_load
        self._may_cancel = may_cancel
        self.by_id: dict[int, Request] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}

    def is_open(self, request: Request) -> bool:
        """Returns whether the request has no final answer yet."""
        return self.by_id.get(request.id) is request

    # -- attempts

    def begin_attempt(self, attempt: Attempt) -> None:
        """Records the next attempt of a request, which starts now."""
        request = attempt.request
        self.attempts[request.id, len(request.attempts)] = attempt
        request.attempts.append(attempt)
        self._count_attempt(attempt, 1)

    def resume_attempt(self, attempt: Attempt, number: int) -> None:
        """Records an attempt in flight that another process of this dispatcher started."""
        self.attempts[attempt.request.id, number] = attempt
        self._count_attempt(attempt, 1)

    def end_attempt(self, request_id: int, number: int) -> Attempt | None:
        """Records the end of an attempt; returns the attempt, or None if no such attempt is in flight."""
        attempt = self.attempts.pop((request_id, number), None)
        if attempt is not None:
            self._count_attempt(attempt, -1)
            attempt.server.load.silent_attempts -= attempt.silent
        return attempt

    def _count_attempt(self, attempt: Attempt, change: int) -> None:
        """Adds (1) or removes (-1) an attempt in flight in the load of its server."""
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
        """Gives a request up; every final answer that doesn't come from a server is given here.

        The request is rejected if a retry by the client is harmless, because no attempt may have run or a second run
        does no harm; otherwise the request is failed. A request that servers rejected as invalid gains nothing from a
        retry.
        """
        retry_may_succeed = request.retry_is_harmless and not request.rejected_by
        harmless = retry_may_succeed or not any(attempt.may_have_run for attempt in request.attempts)
        self._outbox.add(Reject(request.id, reason) if harmless else Fail(request.id, reason))
        self.close(request.id)

    def close(self, request_id: int) -> None:
        """Removes a request that needs no final answer, and cancels its attempts in flight if the settings allow it."""
        request = self.by_id.pop(request_id, None)
        if request is not None and self._may_cancel:
            self.cancel_attempts(request, unstarted_only=False)

    def cancel_attempts(self, request: Request, *, unstarted_only: bool) -> None:
        """Cancels the attempts in flight of a request, or only the unstarted attempts."""
        self._outbox.extend(
            CancelAttempt(request.id, number)
            for number, attempt in enumerate(request.attempts)
            if attempt.in_flight and (attempt.unstarted or not unstarted_only)
        )

    def hand_over(self, request_id: int) -> None:
        """Removes a request without a final answer, as another process takes over the request and its attempts."""
        request = self.by_id.pop(request_id, None)
        if request is not None:
            for number in range(len(request.attempts)):
                self.end_attempt(request_id, number)

    # -- handover to another process

    def attempt_snapshots(self, request_id: int) -> tuple[AttemptSnapshot, ...] | None:
        """Returns the attempts of a request for another process to take over, or None if the request is closed."""
        request = self.by_id.get(request_id)
        if request is None:
            return None
        return tuple(attempt.snapshot() for attempt in request.attempts)

    def not_before(self, request_id: int) -> float:
        """Returns the time in ms at which the backoff of a request ends, or 0 if the request has no backoff."""
        request = self.by_id.get(request_id)
        return request.not_before if request is not None else 0.0
