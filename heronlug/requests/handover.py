"""Hands open requests over to another process of the same dispatcher, and continues those of another process.

A request that an earlier process delivered before a restart is continued in the same way.
"""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from heronlug.balancer.events import AttemptSnapshot, ListKind, RequestAdopted, RequestArrived, RequestHandedOver
from heronlug.requests.interfaces import EventLog
from heronlug.requests.model import Attempt, ListedServer, Request, Workload

if TYPE_CHECKING:
    from heronlug.requests.core import Core


class RequestHandover:
    """Moves requests between the core of this process and that of another one.

    Attributes:
        handed_over: Number of requests that another process has continued.
        adopted: Number of requests continued from another process.
    """

    def __init__(self, core: "Core", log: EventLog) -> None:
        self.handed_over = 0
        self.adopted = 0
        self._core, self._log = core, log

    def adopt(
        self,
        request: Request,
        handed_over: Sequence[tuple[ListedServer, AttemptSnapshot]],
        workload: Workload | None = None,
        not_before: float = 0.0,
    ) -> list[Attempt]:
        """Continues a request that another process accepted.

        Returns the attempts of the other process, some of which the balancer may have ended already. The caller
        assigns connections to those in flight.

        Args:
            request: Request that is not in any table yet.
            handed_over: Attempts of the request, each with its server.
            workload: Work of the request as stated by the client.
            not_before: Time at which the backoff of the request ends; 0 if there is none.
        """
        self._core.requests.add(request, self._core.time_out)
        self._core.requests.past.hold(request)
        snapshots = [self._restore_attempt(request, entry, snapshot) for entry, snapshot in handed_over]
        attempts = list(request.attempts)
        self._log(
            "request_adopted",
            message=request.handle,
            id=request.request_id,
            hosts=request.hosts_in_flight,
            left=round(request.give_up_at - self._core.deadlines.clock()),
        )
        self.adopted += 1
        arrival = arrival_event(request, workload)
        self._core.events.handle(RequestAdopted(arrival, request.accepted_at, tuple(snapshots), not_before))
        return attempts

    def repeat(self, request: Request, server: str, sent_at: float, workload: Workload | None) -> None:
        """Continues an accepted request with the transmission of an earlier one with the same id, which may have run.

        Args:
            request: Request that is in the table already.
            server: Name of the server of the earlier transmission, which is known.
            sent_at: Time of that transmission, in ms.
            workload: Work of the request as stated by the client.
        """
        entry = self._core.directory.by_number[self._core.directory.number_of(server)].entry
        earlier = AttemptSnapshot(0, sent_at, False, False, True, sent_at)
        snapshot = self._restore_attempt(request, entry, earlier)
        self._log("request_repeated", message=request.handle, id=request.request_id, host=server)
        arrival = arrival_event(request, workload)
        self._core.events.handle(RequestAdopted(arrival, request.accepted_at, (snapshot,)))

    def _restore_attempt(self, request: Request, entry: ListedServer, snapshot: AttemptSnapshot) -> AttemptSnapshot:
        """Adds an attempt of another process to a request; returns its snapshot with the number of the server."""
        core = self._core
        number = core.directory.number_of(entry.name)
        if number not in core.directory.by_number:
            core.update_servers(ListKind.CHANGES, [entry])
        server = core.directory.by_number[number]
        attempt = Attempt(request, len(request.attempts), server, snapshot.sent_at)
        attempt.in_flight, attempt.may_have_run = snapshot.in_flight, snapshot.may_have_run
        request.attempts.append(attempt)
        if attempt.in_flight:
            attempt.handle = core.attempts.add(attempt)
        return snapshot._replace(server=number)

    def attempt_snapshots(self, request: Request) -> list[tuple[ListedServer, AttemptSnapshot]] | None:
        """Returns the attempts of a request for a handover to another process; None if the request is closed."""
        snapshots = None if request.closed else self._core.dispatcher.attempt_snapshots(request.handle)
        if snapshots is None or len(snapshots) != len(request.attempts):
            return None
        pairs = zip(request.attempts, snapshots, strict=True)
        return [(attempt.server.entry, snapshot) for attempt, snapshot in pairs]

    def not_before(self, request: Request) -> float:
        """Returns the time at which the backoff of a request ends; 0 if there is none."""
        return self._core.dispatcher.not_before(request.handle)

    def hand_over(self, request: Request) -> None:
        """Forgets a request that another process continues, without an answer and without ending its attempts."""
        self._log("request_handed_over", message=request.handle, id=request.request_id, hosts=request.hosts_in_flight)
        self.handed_over += 1
        request.client_gone = True
        request.continued_elsewhere = True
        self._core.requests.count_closed()
        for attempt in request.attempts:
            if attempt.in_flight:
                attempt.in_flight = False
                self._core.attempts.remove(attempt.handle)
        self._core.events.handle(RequestHandedOver(request.handle))
        self._core.requests.forget(request)


def arrival_event(request: Request, workload: Workload | None) -> RequestArrived:
    """Returns the arrival event of a request for the balancer."""
    slots, memory, work_hint, tenant, key, retry = workload or Workload()
    return RequestArrived(
        request.handle,
        request.class_index,
        request.give_up_at,
        slots,
        memory,
        work_hint,
        tenant,
        key,
        retry,
        request.policy,
    )
