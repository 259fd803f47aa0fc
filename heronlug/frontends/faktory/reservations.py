"""How assignments and reservations of jobs end without or with an acknowledgement."""

from heronlug.balancer.events import Outcome
from heronlug.frontends.faktory.context import FaktoryContext
from heronlug.frontends.faktory.worker import Reservation, Worker
from heronlug.requests.model import Attempt


class Reservations:
    """Ends assignments and reservations, and reports that to the core.

    Attributes:
        reset_count: reservations that were lost after they may have reached their worker, or on the way to it.
    """

    def __init__(self, context: FaktoryContext) -> None:
        self.reset_count = 0
        self._context = context

    def unassign(self, worker: Worker, attempt: Attempt) -> None:
        """Take an attempt from the ones that a worker may fetch."""
        if attempt in worker.assigned:
            worker.assigned.remove(attempt)
        self._context.deadlines.cancel(attempt.exchange)
        attempt.exchange = None

    def return_assigned(self, worker: Worker) -> None:
        """End all attempts that a worker has not fetched; they never ran."""
        for attempt in list(worker.assigned):
            self.unassign(worker, attempt)
            self._context.core.attempt_ended(attempt, Outcome.CONNECT_FAILED)

    def release(self, reservation: Reservation) -> Attempt:
        """Remove a reservation; returns its attempt, whose end the caller reports."""
        jid = reservation.attempt.request.payload.jid
        del reservation.worker.reservations[jid]
        self._context.deadlines.cancel(reservation.timeout)
        reservation.connection.reserved_jids.discard(jid)
        return reservation.attempt

    def reset(self, worker: Worker, jid: str, reason: str) -> None:
        """End a reservation, if there is one: the job may have run, and its class says whether it may run again."""
        reservation = worker.reservations.get(jid)
        if reservation is None:
            return
        attempt = self.release(reservation)
        self.reset_count += 1
        self._context.log("job_reset", jid=jid, wid=worker.wid, why=reason)
        self._context.core.attempt_ended(attempt, Outcome.RESET if reservation.written else Outcome.CONNECT_FAILED)
