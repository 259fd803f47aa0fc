"""Brings jobs to workers: assigned by the core, collected by FETCH, ended by ACK or FAIL.

What has been delivered may have run. If the connection that it was fetched on is lost, a heartbeat is missed or the
reservation ends, the attempt ends as a reset.
"""

from functools import partial

from heronlug.balancer.events import Outcome, ProgressKind
from heronlug.frontends.faktory.context import FaktoryContext
from heronlug.frontends.faktory.job import DEFAULT_QUEUE, Job
from heronlug.frontends.faktory.recovery import must_be_stored_before_delivery
from heronlug.frontends.faktory.reservations import Reservations
from heronlug.frontends.faktory.resp import NO_JOB, bulk_json
from heronlug.frontends.faktory.worker import ReplyCallback, Reservation, Worker, WorkerConnection
from heronlug.frontends.faktory.workers import WorkerTable
from heronlug.requests.model import Attempt

ASSIGNMENT_TIMEOUT_MS = 2_500.0
"""A job that its worker does not fetch within this time never ran, and goes elsewhere."""

REJECT_MARGIN_MS = 50.0
"""Time before its deadline by which a job has to be fetched: it is rejected then, which is safer than to fail it."""


class JobDelivery:
    """Assigns, delivers and ends jobs."""

    def __init__(self, context: FaktoryContext, workers: WorkerTable, reservations: Reservations) -> None:
        self._context = context
        self._workers = workers
        self._reservations = reservations

    def assign(self, attempt: Attempt) -> None:
        """Assign a job to a worker, which has to fetch it soon."""
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
        """Drop an attempt: a worker cannot be stopped, but how it ends does not count any more."""
        worker = self._worker_of(attempt)
        self._reservations.unassign(worker, attempt)
        reservation = worker.reservations.get(attempt.request.payload.jid)
        if reservation is not None and reservation.attempt is attempt:
            self._reservations.release(reservation)

    def match(self, worker: Worker) -> None:
        """Deliver the assigned jobs to the FETCHes that wait; a worker that drains gets none."""
        fetching = [connection for connection in worker.connections if connection.fetching]
        for connection in [connection for connection in fetching if connection.peer_connected]:
            attempt = _first_in_queues(worker, connection.queues)
            if attempt is None or worker.state:
                continue
            self._reservations.unassign(worker, attempt)
            # a hedged request to a worker that has the job already would replace its reservation
            if not self._context.core.may_write(attempt) or attempt.request.payload.jid in worker.reservations:
                self._context.core.attempt_ended(attempt, Outcome.FULL)
                continue
            self._reserve(worker, connection, attempt)

    def acknowledge(self, worker: Worker, jid: str, outcome: Outcome) -> None:
        """End a job by ACK or FAIL; one that is not reserved any more is only logged."""
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
        """Reserve a job for a worker, and deliver it, after that has been stored where it must be."""
        job: Job = attempt.request.payload
        deadlines = self._context.deadlines
        timeout = deadlines.call_after(job.reserve_ms, self._reservations.reset, worker, job.jid, "reservation passed")
        reservation = worker.reservations[job.jid] = Reservation(attempt, worker, connection, timeout)
        connection.reserved_jids.add(job.jid)
        reply = connection.defer_reply()
        if must_be_stored_before_delivery(job.policy):
            self._context.store.deliver(job.jid, deadlines.clock(), partial(self._deliver, reservation, reply))
        else:
            self._deliver(reservation, reply, "")

    def _deliver(self, reservation: Reservation, reply: ReplyCallback, store_failure: str) -> None:
        """Write a reserved job to its worker, if it still should; ``store_failure`` is empty for none."""
        attempt = reservation.attempt
        job: Job = attempt.request.payload
        core = self._context.core
        if reservation.worker.reservations.get(job.jid) is not reservation:
            reply(NO_JOB)  # cancelled meanwhile, and nothing has gone out
        elif store_failure or not reservation.connection.peer_connected or not core.may_write(attempt):
            self._reservations.release(reservation)
            core.attempt_ended(attempt, Outcome.FULL)
            reply(NO_JOB)
        else:
            reservation.written = True
            core.attempt_written()
            reply(bulk_json({"queue": DEFAULT_QUEUE, "retry": 0, **job.payload}))
            core.attempt_progressed(attempt, ProgressKind.STARTED)


def _first_in_queues(worker: Worker, queues: list[str]) -> Attempt | None:
    """The first assigned attempt whose job is in one of these queues."""
    return next((attempt for attempt in worker.assigned if attempt.request.payload.queue in queues), None)
