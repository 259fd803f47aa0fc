"""Delivers jobs to workers: the core assigns a job, the worker fetches the job by FETCH and ends it by ACK or FAIL.

A delivered job may have run. The attempt of such a job therefore ends as a reset if the connection of its FETCH is
lost, if the worker misses a heartbeat, or if the reservation expires.
"""

from functools import partial

from heronlug.balancer.events import Outcome, ProgressKind
from heronlug.frontends.faktory.context import FaktoryContext
from heronlug.frontends.faktory.job import Job, delivered_form
from heronlug.frontends.faktory.recovery import must_be_stored_before_delivery
from heronlug.frontends.faktory.reservations import Reservations
from heronlug.frontends.faktory.resp import NO_JOB, bulk_string
from heronlug.frontends.faktory.worker import ReplyCallback, Reservation, Worker, WorkerConnection
from heronlug.frontends.faktory.workers import WorkerTable
from heronlug.requests.model import Attempt

ASSIGNMENT_TIMEOUT_MS = 2_500.0
"""Time in ms within which a worker must fetch an assigned job; after this time the job goes to another worker.

A job that was not fetched never ran, so the job can always be assigned again.
"""

REJECT_MARGIN_MS = 50.0
"""Time in ms before the deadline of a job at which the job is rejected if no worker has fetched it.

Rejecting a job shortly before its deadline is safer than letting the job fail at the deadline.
"""


class JobDelivery:
    """Assigns jobs to workers, delivers the jobs and ends them."""

    def __init__(self, context: FaktoryContext, workers: WorkerTable, reservations: Reservations) -> None:
        self._context = context
        self._workers = workers
        self._reservations = reservations

    def assign(self, attempt: Attempt) -> None:
        """Assigns a job to a worker, which must fetch the job within ``ASSIGNMENT_TIMEOUT_MS``."""
        worker = self._worker_of(attempt)
        if not worker.connections or worker.state:
            self._context.core.attempt_ended(attempt, Outcome.CONNECT_FAILED)
            return
        worker.assigned.append(attempt)
        deadlines = self._context.deadlines
        until_reject_ms = attempt.request.give_up_at - REJECT_MARGIN_MS - deadlines.clock()
        timeout_ms = max(0.0, min(ASSIGNMENT_TIMEOUT_MS, until_reject_ms))
        attempt.exchange = deadlines.call_after(timeout_ms, self._on_not_fetched, attempt)
        self.match(worker)

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt.

        The protocol cannot stop a job that a worker has fetched; the result of such a job is ignored.
        """
        worker = self._worker_of(attempt)
        self._reservations.unassign(worker, attempt)
        reservation = worker.reservations.get(attempt.request.payload.jid)
        if reservation is not None and reservation.attempt is attempt:
            self._reservations.release(reservation)

    def match(self, worker: Worker) -> None:
        """Delivers the assigned jobs of a worker to its waiting FETCH commands; a draining worker gets no job."""
        fetching = [connection for connection in worker.connections if connection.fetching]
        for connection in [connection for connection in fetching if connection.peer_connected]:
            attempt = _first_in_queues(worker, connection.queues)
            if attempt is None or worker.state:
                continue
            self._reservations.unassign(worker, attempt)
            # Delivering a hedged request to a worker that already holds the job would replace its reservation.
            if not self._context.core.may_write(attempt) or attempt.request.payload.jid in worker.reservations:
                self._context.core.attempt_ended(attempt, Outcome.FULL)
                continue
            self._reserve(worker, connection, attempt)

    def acknowledge(self, worker: Worker, jid: str, outcome: Outcome) -> None:
        """Ends a job by ACK or FAIL; if the job is no longer reserved, the command is only logged."""
        reservation = worker.reservations.get(jid)
        if reservation is None:
            self._context.log("late_ack", jid=jid, wid=worker.wid)
            return
        attempt = self._reservations.release(reservation)
        self._context.core.attempt_ended(attempt, outcome)

    def _worker_of(self, attempt: Attempt) -> Worker:
        return self._workers.by_wid[attempt.server.entry.name]

    def _on_not_fetched(self, attempt: Attempt) -> None:
        self._reservations.unassign(self._worker_of(attempt), attempt)
        self._context.core.attempt_ended(attempt, Outcome.FULL)

    def _reserve(self, worker: Worker, connection: WorkerConnection, attempt: Attempt) -> None:
        """Reserves a job for a worker and delivers the job, after storing the delivery if the class requires that."""
        job: Job = attempt.request.payload
        deadlines = self._context.deadlines
        # Operators' pages quote the cause "reservation passed"; it must not change.
        timeout = deadlines.call_after(job.reserve_ms, self._reservations.reset, worker, job.jid, "reservation passed")
        reservation = worker.reservations[job.jid] = Reservation(attempt, worker, connection, timeout)
        connection.reserved_jids.add(job.jid)
        reply = connection.defer_reply()
        if job.payload:
            self._store_delivery(reservation, reply, job.payload)
        else:
            self._context.memory.hold_payload(job)
            self._context.store.read_job(job.jid, partial(self._on_payload_read, reservation, reply))

    def _on_payload_read(
        self, reservation: Reservation, reply: ReplyCallback, payload: bytes, store_failure: str
    ) -> None:
        """Goes on with a delivery once the payload of the job has been read, or could not be read."""
        cancelled = self._is_cancelled(reservation)
        if store_failure and not cancelled:
            self._context.log("job_not_read", jid=reservation.attempt.request.payload.jid, why=store_failure)
        if store_failure or cancelled:
            self._end_unwritten(reservation, reply)
        else:
            self._store_delivery(reservation, reply, payload)

    def _store_delivery(self, reservation: Reservation, reply: ReplyCallback, payload: bytes) -> None:
        """Delivers a job, after storing the delivery if the class requires that."""
        job: Job = reservation.attempt.request.payload
        deliver = partial(self._deliver, reservation, reply, payload)
        if must_be_stored_before_delivery(job.policy):
            self._context.store.deliver(job.jid, self._context.deadlines.clock(), deliver)
        else:
            deliver("")

    def _deliver(self, reservation: Reservation, reply: ReplyCallback, payload: bytes, store_failure: str) -> None:
        """Writes a reserved job to its worker if the delivery is still valid.

        Args:
            reservation: the reservation of the job.
            reply: writes the reply to the FETCH.
            payload: the pushed job as JSON.
            store_failure: reason why the delivery could not be stored; empty if the delivery was stored.
        """
        attempt = reservation.attempt
        job: Job = attempt.request.payload
        core = self._context.core
        forbidden = self._is_cancelled(reservation) or not reservation.connection.peer_connected
        if store_failure or forbidden or not core.may_write(attempt):
            self._end_unwritten(reservation, reply)
        else:
            reservation.written = True
            core.attempt_written()
            self._context.log("job_delivered", jid=job.jid, wid=reservation.worker.wid, relay=attempt.number)
            reply(bulk_string(delivered_form(payload)))
            core.attempt_progressed(attempt, ProgressKind.STARTED)
            if self._context.store.is_durable:
                self._context.memory.drop_payload(job)

    def _is_cancelled(self, reservation: Reservation) -> bool:
        """Returns whether the attempt was cancelled before any byte of the job was written."""
        jid = reservation.attempt.request.payload.jid
        return reservation.worker.reservations.get(jid) is not reservation

    def _end_unwritten(self, reservation: Reservation, reply: ReplyCallback) -> None:
        """Ends a delivery before any byte of the job was written.

        The core assigns the job again, unless it has cancelled the attempt.
        """
        self._context.memory.drop_read_payload(reservation.attempt.request.payload)
        if not self._is_cancelled(reservation):
            self._reservations.release(reservation)
            self._context.core.attempt_ended(reservation.attempt, Outcome.FULL)
        reply(NO_JOB)


def _first_in_queues(worker: Worker, queues: list[str]) -> Attempt | None:
    """Returns the first assigned attempt whose job is in one of these queues, or None."""
    return next((attempt for attempt in worker.assigned if attempt.request.payload.queue in queues), None)
