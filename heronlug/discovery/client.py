"""Watches the endpoint list of service discovery by consecutive polls on a persistent connection."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import uniform
from typing import Any, Protocol

import orjson

from heronlug.balancer.events import ListKind
from heronlug.discovery.connection import DiscoveryConnection, Poll
from heronlug.discovery.endpoint_list import EndpointList, EndpointListError
from heronlug.discovery.freshness import Freshness, FreshnessEvent, FreshnessState
from heronlug.discovery.poll_failure import PollFailure
from heronlug.discovery.staleness import StalenessMonitor
from heronlug.discovery.watch_state import WatchEvent, WatchState, next_state
from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.interfaces import EventLog
from heronlug.requests.model import ListedServer

POLL_WAIT_MS = 20_000.0
"""Maximum time that a poll waits for a change, unless a pacer sets the wait."""

WAIT_SPREAD = 0.4
"""Fraction of the wait by which the waits of dispatchers differ, so that their polls do not end together."""

ANSWER_GRACE_MS = 500.0
"""Time from the end of a poll's wait until the poll times out; a missed change counts as notified soon after that."""

ANSWER_TIMEOUT_MS = 3_500.0
"""Timeout of an answer to a poll without a wait, and of the rest of an answer that has begun."""

DIAL_TIMEOUT_MS = 1_000.0
"""Timeout of a dial that is neither accepted nor refused."""

UNREAD_CHECK_INTERVAL_MS = 500.0
"""Minimum time between two checks for unread bytes; far below the grace of draining servers."""

FIRST_BACKOFF_MS = 300.0
"""Half of the maximum pause after the first failed poll; each further failure doubles the maximum."""

MAX_BACKOFF_MS = 1_000.0
"""Maximum pause after a failed poll."""

MAX_BACKOFF_DOUBLINGS = 8
"""Bound of the exponent; ``MAX_BACKOFF_MS`` is reached earlier."""

FRESHNESS_EVENTS = {
    PollFailure.TIMED_OUT: FreshnessEvent.TIMED_OUT,
    PollFailure.REFUSED: FreshnessEvent.REFUSED,
    PollFailure.UNREACHABLE: FreshnessEvent.UNREACHABLE,
}
"""Freshness events of poll failures; every failure not listed is ``FreshnessEvent.FAILED``."""


class Pacer(Protocol):
    """Decides when to poll, see :class:`heronlug.discovery.poll_pacing.PollPacer`.

    Attributes:
        answer_timeout: Timeout in ms of a poll that does not wait for a change.
    """

    answer_timeout: float

    @property
    def poll_wait(self) -> float:
        """Returns the maximum time, in ms, that a poll waits for a change."""

    def first_poll_at(self, now: float, has_list: bool) -> float:
        """Returns the time, in ms, at which the first poll may be sent."""

    def on_answer(self, answer_time: float) -> None:
        """Records that a poll without a wait was answered after ``answer_time`` ms."""

    def on_failure(self, now: float, failure: PollFailure, has_list: bool, retry_after: float = 0.0) -> float:
        """Records a failed poll and returns the time, in ms, at which the next one may be sent."""


@dataclass(frozen=True, slots=True)
class DiscoveryTarget:
    """The service discovery to poll, and the version that the first poll starts from.

    Attributes:
        address: Host and port of service discovery; empty if there is none.
        version: Version of the current list; None requests the complete list.
        wait_fraction: Fraction of the maximum wait that this dispatcher's polls wait.
    """

    address: str
    version: int | None
    wait_fraction: float = 1.0


class DiscoveryClient:
    """Watches the endpoint list while a subscription exists.

    A failure ends the watch. The pacer or, without a pacer, the backoff decides when the watch starts again; if the age
    of the list is not limited either, the watch starts again with the next :meth:`subscribe`.

    Attributes:
        address: Host and port of service discovery; empty if there is none.
        version: Version of the current list; None requests the complete list.
        has_list: Whether a list is available, however old.
        freshness: Limits how long the list may be used.
        staleness: Reports when the list becomes stale or usable again.
        pacer: Decides when to poll; None if the subscriptions of the balancer do.
        parse_list: Parses a decoded endpoint list; raises ``ValueError`` if the list is invalid.
        on_update: Called with the changes of the list, and with ``ListKind.FAILED`` when the watch fails.
        flush: Called at the end of each I/O event.
    """

    def __init__(
        self,
        target: DiscoveryTarget,
        parse_list: Callable[[Any], EndpointList],
        on_update: Callable[[ListKind, list[ListedServer]], None],
        freshness: Freshness,
        deadlines: Deadlines,
        log: EventLog,
        flush: Callable[[], None],
    ) -> None:
        self.address = target.address
        self.version = target.version
        self.has_list = False
        self.freshness = freshness
        self.staleness = StalenessMonitor(freshness, deadlines, log, lambda: self.version, bool(target.address))
        self.pacer: Pacer | None = None
        self.parse_list = parse_list
        self.on_update = on_update
        self.flush = flush
        self._wait_fraction = target.wait_fraction
        self._deadlines = deadlines
        self._log = log
        self._state = WatchState.NEW
        self._connection: DiscoveryConnection | None = None
        self._poll_immediately = False  # the next poll does not wait for a change
        self._poll_deadline: Key | None = None
        self._next_poll: Key | None = None
        self._failures_in_row = 0
        self._last_empty_check_at = -math.inf  # data that arrived before this time has been read

    # -- Subscription

    @property
    def watching(self) -> bool:
        """Returns whether the watch is open."""
        return self._state is WatchState.OPEN

    def subscribe(self) -> None:
        """Opens the watch unless the watch is open or scheduled or has no address; a pacer may delay the first poll."""
        if not self.address or self._state in (WatchState.OPEN, WatchState.SCHEDULED):
            return
        if self.pacer is not None and self._state is WatchState.NEW:
            now = self._deadlines.clock()
            first_poll_at = self.pacer.first_poll_at(now, self.has_list)
            if first_poll_at > now:
                self._schedule(first_poll_at)
                return
        self._open()

    def resume(self) -> None:
        """Opens the watch after a pause; the first poll is answered immediately, even if nothing has changed."""
        self._poll_immediately = not self.watching
        self.subscribe()

    def change_address(self, address: str) -> None:
        """Polls another address from now on, first for the complete list.

        The versions of the new address need not match those of the old one. A poll for changes after the current
        version could therefore wait forever while unread changes count as notified. The current list stays in use until
        the answer arrives.
        """
        if address == self.address:
            return
        self._disconnect()
        self.address = address
        self.version = None
        self.staleness.has_address = bool(address)
        self.staleness.apply(FreshnessEvent.ADDRESS_CHANGED)
        self._open()

    def stop(self) -> None:
        """Closes the connection and stops polling until the next :meth:`subscribe`."""
        self.staleness.cancel()
        self._change_state(WatchEvent.CLOSE)
        self._disconnect()

    # -- Freshness

    def begin_freshness(self, remaining: float) -> None:
        """Starts with a list that another process found usable for ``remaining`` more ms; 0 for an unknown age."""
        self.freshness.begin(self._deadlines.clock(), remaining)
        self.staleness.reset_timer()

    def has_unread_update(self) -> bool:
        """Returns whether the event loop has an update or a timer to handle before the list may be used.

        After the loop was blocked, a change that counts as notified may still be unread in the kernel, or the timer
        that marks the list as stale may be overdue. The loop handles either within one iteration, so requests wait for
        that iteration.
        """
        if self.staleness.is_overdue:
            return True
        now = self._deadlines.clock()
        if now - self._last_empty_check_at < UNREAD_CHECK_INTERVAL_MS:
            return False
        if self._connection is not None and self._connection.has_unread_data:
            return True
        self._last_empty_check_at = now
        return False

    # -- PollObserver

    def on_connected(self, connection: DiscoveryConnection) -> None:
        """Sends the first poll of a connection."""
        if connection is self._connection:
            self._send_poll(connection)
        else:
            connection.close()

    def on_answer_begun(self, connection: DiscoveryConnection) -> None:
        """Gives the rest of the answer a timeout of its own, because its bytes may arrive slowly."""
        if connection is self._connection and not _is_immediate(connection):
            self._set_poll_deadline(
                connection, ANSWER_TIMEOUT_MS, "rest of the answer timed out", PollFailure.TIMED_OUT
            )

    def on_list_begun(self, connection: DiscoveryConnection) -> None:
        """Applies the start of a list: its changes count as notified from now on, even if the rest arrives later."""
        if connection is self._connection:
            self.staleness.apply(FreshnessEvent.ANSWER_BEGUN)

    def on_answer(self, connection: DiscoveryConnection, body: bytes) -> None:
        """Applies an answer.

        The next poll is sent before the update is reported, because service discovery ends a watch 200 ms after its
        last answer.
        """
        if connection is not self._connection:
            return
        try:
            answer = self._read_answer(body)
        except ValueError as error:
            self.on_failure(connection, f"invalid endpoint list: {error}", PollFailure.INVALID_ANSWER)
            return
        now = self._deadlines.clock()
        report = bool(answer.servers) or answer.complete or self.staleness.report_next_answer
        self.version = answer.version
        self.has_list = True
        self._failures_in_row = 0
        self.staleness.report_next_answer = False
        self.staleness.answered_at = now
        if self.pacer is not None and _is_immediate(connection):
            self.pacer.on_answer(now - connection.sent_at)
        self.staleness.apply(FreshnessEvent.ANSWERED)
        self._poll()
        if report:
            self._log("inventory", version=answer.version, whole=answer.complete, entries=len(answer.servers))
            self.on_update(ListKind.FULL if answer.complete else ListKind.CHANGES, answer.servers)

    def on_failure(self, connection: DiscoveryConnection, reason: str, failure: PollFailure) -> None:
        """Closes the watch after a failed poll; the current list stays.

        A watch whose poll timed out is reopened immediately and polls for the missed changes, because these count as
        notified whether or not they have arrived.
        """
        if connection is not self._connection or not self.watching:
            return
        now = self._deadlines.clock()
        self.staleness.apply(FRESHNESS_EVENTS.get(failure, FreshnessEvent.FAILED))
        self._disconnect()
        self._log(
            "inventory_failed",
            why=reason,
            how=failure.value,
            at_once=_is_immediate(connection),
            after_ms=round(now - connection.sent_at) if connection.sent_at else None,
        )
        if failure is PollFailure.TIMED_OUT and not _is_immediate(connection):
            self._poll_immediately = True
            self._poll()
            return
        self._change_state(WatchEvent.CLOSE)
        self._schedule_retry(now, failure, connection.retry_after_ms)
        self.on_update(ListKind.FAILED, [])

    # -- Internals

    def _change_state(self, event: WatchEvent) -> None:
        self._state = next_state(self._state, event)

    def _schedule(self, when: float) -> None:
        self._change_state(WatchEvent.SCHEDULE)
        self._next_poll = self._deadlines.call_at(when, self._open)

    def _schedule_retry(self, now: float, failure: PollFailure, retry_after: float) -> None:
        if self.pacer is not None:
            self._schedule(self.pacer.on_failure(now, failure, self.has_list, retry_after))
        elif self.staleness.on_usable_change is not None:
            self._schedule(self._deadlines.clock() + self._backoff())

    def _backoff(self) -> float:
        """Returns the pause until the next poll, in ms; short, because the list becomes stale in the meantime."""
        if self.freshness.retry_pause is not None:
            return self.freshness.retry_pause
        self._failures_in_row += 1
        longest_wait = FIRST_BACKOFF_MS * 2.0 ** min(self._failures_in_row, MAX_BACKOFF_DOUBLINGS)
        return min(MAX_BACKOFF_MS, longest_wait) * uniform(0.5, 1.0)

    def _open(self) -> None:
        self._next_poll = None
        self._change_state(WatchEvent.OPEN)
        self.staleness.report_next_answer = True
        # A poll without a wait returns missed changes immediately, and detects sooner that service discovery is down.
        reports_usable = self.staleness.on_usable_change is not None
        needs_missed_changes = reports_usable or self.freshness.state is FreshnessState.MISSED
        if needs_missed_changes and self.freshness.may_miss_changes:
            self._poll_immediately = True
        if self.pacer is not None and not self.has_list:
            self._poll_immediately = True
        self._poll()

    def _poll(self) -> None:
        """Sends a poll on the current connection, or dials a new connection for the poll."""
        connection = self._connection
        if connection is not None and connection.reusable:
            self._send_poll(connection)
            return
        if self.freshness.state is FreshnessState.WATCHED:
            self.staleness.apply(FreshnessEvent.FAILED)
        connection = self._connection = DiscoveryConnection(self.address, self)
        self._set_poll_deadline(connection, DIAL_TIMEOUT_MS, "dial timed out", PollFailure.UNREACHABLE)
        connection.dial()

    def _send_poll(self, connection: DiscoveryConnection) -> None:
        longest_wait = self.pacer.poll_wait if self.pacer is not None else POLL_WAIT_MS
        poll = Poll(self.version, 0.0 if self._poll_immediately else longest_wait * self._wait_fraction)
        self._poll_immediately = False
        now = self._deadlines.clock()
        self.freshness.poll_sent(now, 0.0 if poll.immediate else poll.wait_ms)
        self.staleness.reset_timer()
        timeout = poll.wait_ms + ANSWER_GRACE_MS
        if poll.immediate:
            timeout = self.pacer.answer_timeout if self.pacer is not None else ANSWER_TIMEOUT_MS
        self._set_poll_deadline(connection, timeout, "answer timed out", PollFailure.TIMED_OUT)
        connection.send(poll, now)

    def _read_answer(self, body: bytes) -> EndpointList:
        answer = self.parse_list(orjson.loads(body))
        if not answer.complete and self.version is not None and answer.version < self.version:
            msg = f"generation {answer.version} of the changes is below the current generation {self.version}"
            raise EndpointListError(msg)
        return answer

    def _set_poll_deadline(
        self, connection: DiscoveryConnection, timeout: float, reason: str, failure: PollFailure
    ) -> None:
        """Fails the poll with ``reason`` unless it makes progress within ``timeout`` ms."""
        self._deadlines.cancel(self._poll_deadline)
        self._poll_deadline = self._deadlines.call_after(timeout, self.on_failure, connection, reason, failure)

    def _disconnect(self) -> None:
        self._deadlines.cancel(self._poll_deadline)
        self._deadlines.cancel(self._next_poll)
        connection = self._connection
        self._connection = None
        self._next_poll = None
        if connection is not None:
            connection.close()


def _is_immediate(connection: DiscoveryConnection) -> bool:
    """Returns whether the connection's last poll did not wait for a change; False before the first poll."""
    return connection.poll is not None and connection.poll.immediate
