"""Ends the assignments and reservations of jobs, with or without an acknowledgement by the worker."""

from heronlug.balancer.events import Outcome
from heronlug.frontends.faktory.context import FaktoryContext
from heronlug.frontends.faktory.worker import Reservation, Worker
from heronlug.requests.model import Attempt


class Reservations:
    """Ends assignments and reservations and reports the end of their attempts to the core.

    Attributes:
        reset_count: number of reservations that were reset, whether or not a byte of the job had been written to the
            worker.
    """

    def __init__(self, context: FaktoryContext) -> None:
        self.reset_count = 0
        self._context = context

    def unassign(self, worker: Worker, attempt: Attempt) -> None:
        """Removes an attempt from the attempts that a worker may fetch."""
        if attempt in worker.assigned:
            worker.assigned.remove(attempt)
        self._context.deadlines.cancel(attempt.exchange)
        attempt.exchange = None

    def return_assigned(self, worker: Worker) -> None:
        """Ends all attempts that a worker has not fetched; their jobs never ran, so they may be assigned again."""
        for attempt in list(worker.assigned):
            self.unassign(worker, attempt)
            self._context.core.attempt_ended(attempt, Outcome.CONNECT_FAILED)

    def release(self, reservation: Reservation) -> Attempt:
        """Removes a reservation and returns its attempt, whose end the caller must report to the core."""
        jid = reservation.attempt.request.payload.jid
        del reservation.worker.reservations[jid]
        self._context.deadlines.cancel(reservation.timeout)
        reservation.connection.reserved_jids.discard(jid)
        return reservation.attempt

    def reset(self, worker: Worker, jid: str, reason: str) -> None:
        """Ends a reservation, if there is one, without an acknowledgement.

        If a byte of the job was written, the job may have run, and its request class decides whether it may run again.

        Args:
            worker: the worker that holds the reservation.
            jid: the job id.
            reason: the reason for the log.
        """
        reservation = worker.reservations.get(jid)
        if reservation is None:
            return
        attempt = self.release(reservation)
        self.reset_count += 1
        self._context.log("job_reset", jid=jid, wid=worker.wid, why=reason)
        self._context.core.attempt_ended(attempt, Outcome.RESET if reservation.written else Outcome.CONNECT_FAILED)

    def reset_all(self, worker: Worker, reason: str) -> None:
        """Ends all reservations of a worker without an acknowledgement; ``reason`` is for the log."""
        for jid in list(worker.reservations):
            self.reset(worker, jid, reason)
