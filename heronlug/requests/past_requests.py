"""Remembers the ids of requests that may have run, so that a request with the same id does not run again.

A client may leave while its request runs, or send an id again that was answered. The records pass between the processes
of an upgrade in both directions. Room for the record of a request is reserved when the request is accepted, so that no
record has to be forgotten early.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from heronlug.balancer.settings import Effect, RequestClass
from heronlug.memory.account import MemoryAccount
from heronlug.memory.holders import Holder
from heronlug.requests.model import Request

RECORD_BYTES = 256
"""Memory of a record without its id, in bytes."""

MAX_SHARE = 0.4
"""Share of the memory account that records may take."""

KEEP_MARGIN_MS = 1_000.0
"""Time for which a record is kept beyond the deadline and the repeat window of its class, in ms."""

BUCKET_MS = 1_000.0
"""Length of the spans by which records are forgotten together, in ms."""


class PastRequest(NamedTuple):
    """What is known of a request that may have run.

    Attributes:
        request_id: Id that the client gave the request.
        effect: Effect of the request; None if only its id is known, because another process was killed.
        first_sent_at: Time of the first transmission that may have run, in ms; None if it is unknown.
        server: Name of the server of that transmission; empty if it is unknown.
        forget_at: Time at which the record is forgotten, in ms.
    """

    request_id: str
    effect: Effect | None
    first_sent_at: float | None
    server: str
    forget_at: float


class PastRequests:
    """The records of one process.

    Attributes:
        on_recorded: Called with each new record, for the other processes of this dispatcher.
        max_bytes: Memory of all records from which on requests that need one are refused, in bytes.
    """

    def __init__(self, memory: MemoryAccount, clock: Callable[[], float]) -> None:
        """Creates an empty table.

        Args:
            memory: Account of the process, whose limit now determines that of the records: the limit shrinks while
                another process shares the memory, and the records must not.
            clock: Returns the time in ms.
        """
        self.on_recorded: Callable[[PastRequest], None] = lambda record: None
        self._memory = memory
        self.max_bytes = int(MAX_SHARE * memory.limit)
        self._clock = clock
        self._records: dict[str, PastRequest] = {}
        self._buckets: dict[int, list[str]] = {}  # ids by the span of time in which they are forgotten
        self._held_bytes = 0  # of the records, and of those that open requests may become

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[PastRequest]:
        return iter(list(self._records.values()))

    def find(self, request_id: str) -> PastRequest | None:
        """Returns the record of an id; None if no request with this id may have run lately."""
        record = self._records.get(request_id)
        return record if record is not None and record.forget_at > self._clock() else None

    def reserve(self, request: Request) -> bool:
        """Reserves room for the record of a request; returns False if there is none."""
        self._forget_due()
        if not _needs_record(request):
            return True
        if self._held_bytes + _cost(request.request_id) > self.max_bytes:
            self._memory.refusals[Holder.PAST_REQUESTS] += 1
            return False
        self.hold(request)
        return True

    def hold(self, request: Request) -> None:
        """Reserves room for the record of a request that is accepted already, whether or not there is room."""
        if _needs_record(request):
            request.holds_record = True
            self._hold_bytes(_cost(request.request_id))

    def request_ended(self, request: Request) -> None:
        """Turns the room that was reserved for a request into its record if it may have run, else releases the room."""
        if not request.holds_record:
            return
        request.holds_record = False
        self._hold_bytes(-_cost(request.request_id))
        attempt = next((attempt for attempt in request.attempts if attempt.may_have_run), None)
        if attempt is not None or request.continued_elsewhere:
            sent_at = attempt.sent_at if attempt is not None else None
            server = attempt.server.entry.name if attempt is not None else ""
            effect = request.policy.effect
            record = PastRequest(request.request_id, effect, sent_at, server, self._forget_at(request.policy))
            if self._add(record) and not request.continued_elsewhere:  # else the other process records its end
                self.on_recorded(record)

    def add(self, record: PastRequest) -> None:
        """Adds a record of another process, which the processes beyond this one need too."""
        if self._add(record):
            self.on_recorded(record)

    def _add(self, record: PastRequest) -> bool:
        """Adds a record, and returns whether it says more than was known; the earliest transmission counts."""
        known = self._records.get(record.request_id)
        if known is None:
            self._hold_bytes(_cost(record.request_id))
        else:
            record = _merge(known, record)
            if record == known:
                return False
        self._records[record.request_id] = record
        self._buckets.setdefault(int(record.forget_at // BUCKET_MS), []).append(record.request_id)
        return True

    def add_unknown(self, request_ids: Iterable[str], classes: Iterable[RequestClass]) -> None:
        """Adds the ids of requests that another process, which was killed, had accepted."""
        forget_at = max(self._forget_at(policy) for policy in classes)
        for request_id in request_ids:
            self.add(PastRequest(request_id, None, None, "", forget_at))

    def _forget_at(self, policy: RequestClass) -> float:
        window = policy.repeat_window if policy.effect is Effect.IDEMPOTENT_BY_KEY else 0.0
        return self._clock() + max(policy.deadline, window) + KEEP_MARGIN_MS

    def _hold_bytes(self, size: int) -> None:
        self._held_bytes += size
        self._memory.hold(Holder.PAST_REQUESTS, size)

    def _forget_due(self) -> None:
        """Forgets the records whose time is over; a record that was renewed is in a later bucket too."""
        now = self._clock()
        for bucket in [bucket for bucket in self._buckets if (bucket + 1) * BUCKET_MS <= now]:
            for request_id in self._buckets.pop(bucket):
                record = self._records.get(request_id)
                if record is not None and record.forget_at <= now:
                    del self._records[request_id]
                    self._hold_bytes(-_cost(request_id))


def _needs_record(request: Request) -> bool:
    return bool(request.request_id) and request.policy.effect is not Effect.IDEMPOTENT


def _cost(request_id: str) -> int:
    """Returns the memory of a record, in bytes."""
    return RECORD_BYTES + len(request_id)


def may_run_again(past: PastRequest, policy: RequestClass, now: float) -> bool:
    """Returns whether a request of a class may run although an earlier one with the same id may have run.

    Args:
        past: Record of the earlier request.
        policy: Class of the new request.
        now: Current time in ms.
    """
    if policy.effect is Effect.IDEMPOTENT:
        return past.effect in (None, Effect.IDEMPOTENT)
    if policy.effect is not Effect.IDEMPOTENT_BY_KEY or past.effect is not policy.effect or past.first_sent_at is None:
        return False
    return now - past.first_sent_at <= policy.repeat_window


def _merge(known: PastRequest, record: PastRequest) -> PastRequest:
    """Returns one record for two of the same id."""
    known_first = known.first_sent_at is not None and (
        record.first_sent_at is None or known.first_sent_at <= record.first_sent_at
    )
    first = known if known_first else record
    return first._replace(effect=known.effect or record.effect, forget_at=max(known.forget_at, record.forget_at))
