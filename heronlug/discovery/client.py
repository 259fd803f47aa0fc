"""The client of service discovery: a watch made of polls, one after the other on a kept connection."""

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
"""How long a poll waits for a change, at the longest."""

WAIT_SPREAD = 0.4
"""Share of the wait by which dispatchers differ, so that the polls of many do not end together."""

ANSWER_GRACE_MS = 500.0
"""A poll is given up so long after its wait: what it missed counts as notified soon after."""

ANSWER_TIMEOUT_MS = 3_500.0
"""For an answer that does not wait for a change, and for the rest of one that has begun."""

DIAL_TIMEOUT_MS = 1_000.0
"""For an address that neither accepts nor refuses."""

UNREAD_CHECK_INTERVAL_MS = 500.0
"""How long a check for unread bytes holds; far below the grace for drains."""

FIRST_BACKOFF_MS = 300.0
"""Half of the longest pause after the first failed poll; it doubles with each further one."""

MAX_BACKOFF_MS = 1_000.0
"""The longest pause between failed polls."""

MAX_BACKOFF_DOUBLINGS = 8

FRESHNESS_EVENTS = {
    PollFailure.TIMED_OUT: FreshnessEvent.TIMED_OUT,
    PollFailure.REFUSED: FreshnessEvent.REFUSED,
    PollFailure.UNREACHABLE: FreshnessEvent.UNREACHABLE,
}
"""What a failure means for the freshness of the list; every other one is ``FreshnessEvent.FAILED``."""


class Pacer(Protocol):
    """Decides when to poll, see :class:`heronlug.discovery.poll_pacing.PollPacer`.

    Attributes:
        answer_timeout: How long, in ms, an answer may take that does not wait for a change.
    """

    answer_timeout: float

    @property
    def poll_wait(self) -> float:
        """How long, in ms, a poll waits for a change."""

    def first_poll_at(self, now: float, has_list: bool) -> float:
        """When the first poll may be sent."""

    def on_answer(self, answer_time: float) -> None:
        """A poll that did not wait for a change was answered after ``answer_time`` ms."""

    def on_failure(self, now: float, failure: PollFailure, has_list: bool, retry_after: float = 0.0) -> float:
        """When the next poll may be sent after one that failed."""


@dataclass(frozen=True, slots=True)
class DiscoveryTarget:
    """What to poll.

    Attributes:
        address: Host and port of service discovery; empty if there is none.
        version: The version of the list that is held; None requests the complete list.
        wait_fraction: This dispatcher's share of the longest wait.
    """

    address: str
    version: int | None
    wait_fraction: float = 1.0


class DiscoveryClient:
    """Watches the endpoint list while somebody is subscribed.

    A failure ends the watch. The pacer, or the pause of the freshness rules, decides when it begins again; without
    either it begins with the next subscription.

    Attributes:
        address: Host and port of service discovery; empty if there is none.
        version: The version of the list that is held; None requests the complete list.
        has_list: Whether there is a list to use, if an old one.
        freshness: Until when the list may be used.
        staleness: Reports when it may not be used any more.
        pacer: Decides when to poll; None where the balancer's subscriptions do.
        parse_list: Reads a decoded endpoint list; raises ``ValueError``.
        on_update: Receives the changes of the list, and ``ListKind.FAILED`` when the watch fails.
        flush: Ends the handling of an I/O event.
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
        self._last_empty_check_at = -math.inf  # all that arrived before that has been read

    # -- Subscription

    @property
    def watching(self) -> bool:
        """Whether the watch is open."""
        return self._state is WatchState.OPEN

    def subscribe(self) -> None:
        """Open the watch, unless it is open or planned or there is no address; a pacer may delay the first poll."""
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
        """Open the watch after a pause; its first poll is answered at once, even if there is nothing new."""
        self._poll_immediately = not self.watching
        self.subscribe()

    def change_address(self, address: str) -> None:
        """Poll another address from now on, for the complete list.

        The versions of the new address need not be those of the old one, so a poll for changes after the held version
        might wait for ever while unread changes count as notified. The held list stays until the answer comes.
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
        """Close the connection, and poll no more until the next :meth:`subscribe`."""
        self.staleness.cancel()
        self._change_state(WatchEvent.CLOSE)
        self._disconnect()

    # -- Freshness

    def begin_freshness(self, remaining: float) -> None:
        """Begin with a list that another process knows to be usable for ``remaining`` ms; 0 for an unknown age."""
        self.freshness.begin(self._deadlines.clock(), remaining)
        self.staleness.reset_timer()

    def has_unread_update(self) -> bool:
        """Whether the list must not be used for reasons that the event loop has not handled yet.

        If the loop was blocked, a change that counts as notified may wait unread in the kernel, or the timer that ends
        the use of the list may be overdue. Both are handled within one turn of the loop, so requests wait for that.
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
        """Send the first poll of a connection."""
        if connection is self._connection:
            self._send_poll(connection)
        else:
            connection.close()

    def on_answer_begun(self, connection: DiscoveryConnection) -> None:
        """Allow the rest of the answer its time, for its bytes may come slowly."""
        if connection is self._connection and not _is_immediate(connection):
            self._set_poll_deadline(connection, ANSWER_TIMEOUT_MS, "no whole answer in time", PollFailure.TIMED_OUT)

    def on_list_begun(self, connection: DiscoveryConnection) -> None:
        """Note that a list has begun: its changes count as notified from then on, whenever the rest of it comes."""
        if connection is self._connection:
            self.staleness.apply(FreshnessEvent.ANSWER_BEGUN)

    def on_answer(self, connection: DiscoveryConnection, body: bytes) -> None:
        """Take in an answer.

        The next poll is sent before that, because service discovery ends a watch 200 ms after its last answer.
        """
        if connection is not self._connection:
            return
        try:
            answer = self._read_answer(body)
        except ValueError as error:
            self.on_failure(connection, f"bad list: {error}", PollFailure.INVALID_ANSWER)
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
        """Close the watch after a failed poll; the list that is held stays.

        A watch that has fallen silent is opened again at once, and polls for what it missed: that counts as notified
        whether or not it has arrived.
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
        """The pause until the next poll, in ms: the list becomes stale meanwhile."""
        if self.freshness.retry_pause is not None:
            return self.freshness.retry_pause
        self._failures_in_row += 1
        longest_wait = FIRST_BACKOFF_MS * 2.0 ** min(self._failures_in_row, MAX_BACKOFF_DOUBLINGS)
        return min(MAX_BACKOFF_MS, longest_wait) * uniform(0.5, 1.0)

    def _open(self) -> None:
        self._next_poll = None
        self._change_state(WatchEvent.OPEN)
        self.staleness.report_next_answer = True
        # A poll without a wait brings what is missing at once, and shows sooner that nobody answers.
        reports_usable = self.staleness.on_usable_change is not None
        needs_missed_changes = reports_usable or self.freshness.state is FreshnessState.MISSED
        if needs_missed_changes and self.freshness.may_miss_changes:
            self._poll_immediately = True
        if self.pacer is not None and not self.has_list:
            self._poll_immediately = True
        self._poll()

    def _poll(self) -> None:
        """Send a poll on the connection, or dial one for it."""
        connection = self._connection
        if connection is not None and connection.reusable:
            self._send_poll(connection)
            return
        if self.freshness.state is FreshnessState.WATCHED:
            self.staleness.apply(FreshnessEvent.FAILED)
        connection = self._connection = DiscoveryConnection(self.address, self)
        self._set_poll_deadline(connection, DIAL_TIMEOUT_MS, "dial: no answer in time", PollFailure.UNREACHABLE)
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
        self._set_poll_deadline(connection, timeout, "no answer in time", PollFailure.TIMED_OUT)
        connection.send(poll, now)

    def _read_answer(self, body: bytes) -> EndpointList:
        answer = self.parse_list(orjson.loads(body))
        if not answer.complete and self.version is not None and answer.version < self.version:
            msg = f"changes of version {answer.version} after {self.version}"
            raise EndpointListError(msg)
        return answer

    def _set_poll_deadline(
        self, connection: DiscoveryConnection, timeout: float, reason: str, failure: PollFailure
    ) -> None:
        """Fail the poll unless it makes progress within ``timeout`` ms."""
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
    """Whether the connection's poll does not wait for a change; not so before the first poll."""
    return connection.poll is not None and connection.poll.immediate
