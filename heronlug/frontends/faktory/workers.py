"""Tracks connections, heartbeats and states of workers and reports workers to the core as servers."""

from heronlug.balancer.events import ListKind, ServerState
from heronlug.frontends.faktory.context import FaktoryContext
from heronlug.frontends.faktory.errors import UnknownWorkerError
from heronlug.frontends.faktory.reservations import Reservations
from heronlug.frontends.faktory.resp import JsonObject
from heronlug.frontends.faktory.worker import Worker, WorkerConnection
from heronlug.requests.model import ListedServer

QUIET = "quiet"
"""State of a worker that accepts no further jobs."""

TERMINATE = "terminate"
"""State of a worker that is shutting down."""

REPORTED_STATES = {QUIET: QUIET, "quieting": QUIET, TERMINATE: TERMINATE, "terminating": TERMINATE}
"""Worker states by the spelling that a heartbeat may report."""


class WorkerTable:
    """Holds all workers that have ever connected.

    Attributes:
        by_wid: the workers by wid.
    """

    def __init__(self, context: FaktoryContext, reservations: Reservations) -> None:
        self.by_wid: dict[str, Worker] = {}
        self._context = context
        self._reservations = reservations

    def connect(self, wid: str, connection: WorkerConnection) -> Worker:
        """Adds a connection to a worker and returns the worker; the first connection makes the worker ready."""
        worker = self.by_wid.setdefault(wid, Worker(wid))
        if not worker.connections:
            worker.state = ""
            worker.connections.add(connection)
            self._restart_heartbeat_timeout(worker)
            self._report(worker, ServerState.READY)
        worker.connections.add(connection)
        return worker

    def disconnect(self, worker: Worker, connection: WorkerConnection) -> None:
        """Removes a lost connection and resets its reservations.

        A worker without connections is reported to the core as removed.
        """
        worker.connections.discard(connection)
        if not worker.connections:
            self._remove(worker)
        for jid in list(connection.reserved_jids):
            self._reservations.reset(worker, jid, "connection lost")

    def heartbeat(self, fields: JsonObject) -> str:
        """Handles the argument of BEAT.

        Returns:
            The state that the worker must adopt, or an empty string.

        Raises:
            UnknownWorkerError: if the worker is not connected.
        """
        worker = self.by_wid.get(str(fields.get("wid")))
        if worker is None or not worker.connections:
            raise UnknownWorkerError
        self._restart_heartbeat_timeout(worker)
        reported = str(fields.get("current_state") or fields.get("state") or "")
        if reported in REPORTED_STATES and not worker.state:
            self._drain(worker, REPORTED_STATES[reported])
        return worker.state

    def drain_all(self) -> None:
        """Stops assigning jobs and returns all assigned jobs that no worker has fetched."""
        connected = [worker for worker in self.by_wid.values() if worker.connections]
        for worker in connected:
            worker.state = worker.state or QUIET
            self._report(worker, ServerState.DRAINING)
        for worker in connected:
            self._reservations.return_assigned(worker)

    def reset_reservations(self, reason: str) -> None:
        """Resets the reservations of all workers; ``reason`` is for the log."""
        for worker in self.by_wid.values():
            self._reservations.reset_all(worker, reason)

    def _restart_heartbeat_timeout(self, worker: Worker) -> None:
        deadlines = self._context.deadlines
        deadlines.cancel(worker.heartbeat_timeout)
        timeout_ms = self._context.config.heartbeat_timeout_ms
        worker.heartbeat_timeout = deadlines.call_after(timeout_ms, self._on_missed_heartbeat, worker)

    def _on_missed_heartbeat(self, worker: Worker) -> None:
        self._context.log("beat_missed", wid=worker.wid)
        for connection in list(worker.connections):
            connection.abort()
        self._remove(worker)
        self._reservations.reset_all(worker, "beat missed")

    def _drain(self, worker: Worker, state: str) -> None:
        """Stops assigning jobs to a worker that has reported a draining state."""
        self._context.log("worker_told_off", wid=worker.wid, state=state)
        worker.state = state
        self._report(worker, ServerState.DRAINING)
        self._reservations.return_assigned(worker)

    def _remove(self, worker: Worker) -> None:
        self._context.deadlines.cancel(worker.heartbeat_timeout)
        worker.state = worker.state or TERMINATE
        self._report(worker, ServerState.REMOVED)
        self._reservations.return_assigned(worker)

    def _report(self, worker: Worker, state: ServerState) -> None:
        """Reports a worker to the core without a start time.

        A worker needs no slow start, because it fetches jobs at its own pace.
        """
        self._context.core.update_servers(ListKind.CHANGES, [ListedServer(worker.wid, worker.wid, state)])
