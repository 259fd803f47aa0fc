"""Owns each request until its one final answer, and executes the balancer's actions.

Frontends pass requests to the methods of :class:`Core`, and backends report the ends of attempts to them.  The core
sends attempts and answers through a :class:`heronlug.requests.interfaces.Transport` and is independent of sockets and
protocols.
"""

from collections.abc import Callable, Sequence
from dataclasses import replace
from math import inf

from heronlug.balancer.actions import (
    Action,
    CancelAttempt,
    Fail,
    LogLine,
    Reject,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    Subscribe,
)
from heronlug.balancer.dispatcher import Dispatcher
from heronlug.balancer.events import (
    NEVER_RAN,
    AttemptEnded,
    AttemptProgress,
    ClientGone,
    Event,
    FinalAnswerDue,
    ListKind,
    Outcome,
    PeerGone,
    PeerMessage,
    ProgressKind,
    TimerFired,
)
from heronlug.balancer.settings import Effect, RequestClass, Settings
from heronlug.memory.account import MemoryAccount
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.event_queue import EventQueue
from heronlug.requests.handover import RequestHandover, arrival_event
from heronlug.requests.interfaces import EventLog, Plugins, Transport, log_nothing
from heronlug.requests.model import Attempt, FinalAnswer, ListedServer, RejectReason, Request, Workload
from heronlug.requests.past_requests import PastRequest, may_run_again
from heronlug.requests.request_table import RequestTable
from heronlug.requests.server_directory import ServerDirectory
from heronlug.requests.slots import SlotTable

POSTPONED_MS = 5.0
"""Delay before a postponed attempt checks again whether the update of the endpoint list has been read, in ms."""

MAX_OPEN = 20_000
"""Default limit of open requests, for callers that pass no other limit."""


class Core:
    """Manages the requests, attempts and servers of one protocol and executes the decisions of its dispatcher.

    All times are in milliseconds on the clock of ``deadlines``.

    Attributes:
        settings: Settings of the dispatcher, with the limits of the request classes that apply to new requests.
        transport: Frontend and backend that send answers and attempts.
        deadlines: Deadlines of the whole process, and its clock.
        plugins: Plug-ins that may reject requests and that observe final answers; None if there are no plug-ins.
        directory: Servers of the endpoint list.
        events: Queue of the events that the balancer handles.
        requests: Table of requests.
        attempts: Attempts in flight.
        has_unread_update: Returns whether an update of the endpoint list has arrived that has not been read yet; no
            attempt starts until the update has been read.
        max_open: Limit of open requests; requests above the limit are rejected.
        answer_by: Returns the latest time for the final answer of a new request, infinite if there is none.
        answer_counts: Number of final answers since the start, by class index and kind.
        dispatches: Number of attempts that were written completely.
        postponed: Number of attempts that have waited until an update of the endpoint list was read.
        handover: Hands requests over to another process, and continues those of another process.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        transport: Transport,
        deadlines: Deadlines,
        *,
        log: EventLog = log_nothing,
        subscribe: Callable[[], None] = lambda: None,
        send_peer_message: Callable[[bytes, int], None] = lambda content, peer: None,
        max_open: int = MAX_OPEN,
        max_retry_after: float = 0.0,
        plugins: Plugins | None = None,
        has_unread_update: Callable[[], bool] = lambda: False,
        memory: MemoryAccount | None = None,
    ) -> None:
        """Creates a core without any servers.

        Args:
            settings: Settings of the dispatcher.
            seed: Seed of the dispatcher's random number generator.
            transport: Frontend and backend that send answers and attempts.
            deadlines: Deadlines of the whole process, and its clock.
            log: Receives the log events.
            subscribe: Called when the balancer requests the endpoint list.
            send_peer_message: Called with a message and the position of the receiving peer, -1 for all peers.
            max_open: Limit of open requests.
            max_retry_after: Limit of the Retry-After of rejections, in ms; rejections carry half of the limit.
            plugins: Plug-ins that may reject requests and that observe final answers.
            has_unread_update: Returns whether an update of the endpoint list has arrived that has not been read yet.
            memory: Account of the memory of past requests; None for one without a limit.
        """
        self.settings, self.transport, self.deadlines = settings, transport, deadlines
        self.plugins = plugins
        self.directory = ServerDirectory()
        self.requests = RequestTable(deadlines, memory or MemoryAccount())
        self.attempts: SlotTable[Attempt] = SlotTable()
        self.has_unread_update = has_unread_update
        self.max_open = max_open
        self.answer_by: Callable[[], float] = lambda: inf
        self.class_names = [request_class.name for request_class in settings.classes]
        self.answer_counts = [dict.fromkeys(FinalAnswer, 0) for _ in self.class_names]
        self.dispatches = 0
        self.postponed = 0
        self._log, self._subscribe, self._send_peer_message = log, subscribe, send_peer_message
        self._retry_after = max_retry_after / 2
        self.events = EventQueue(Dispatcher(settings, seed), deadlines.clock, self._execute, self._log_slow_event)
        self.handover = RequestHandover(self, log)

    @property
    def dispatcher(self) -> Dispatcher:
        """Returns the dispatcher, which makes all decisions about requests."""
        return self.events.dispatcher

    # -- requests

    def accept(
        self,
        payload: object,
        class_index: int,
        remaining: float,
        *,
        request_id: str = "",
        size: int = 0,
        policy: RequestClass | None = None,
        workload: Workload | None = None,
        past: PastRequest | None = None,
    ) -> Request:
        """Accepts a request, which gets exactly one final answer from now on, possibly within this call.

        Args:
            payload: Data of the frontend, passed through unchanged.
            class_index: Index of the request class in the settings.
            remaining: Time until the client gives up, in ms.
            request_id: Id that the client gave the request; empty if there is none.
            size: Size of the body in bytes.
            policy: Request class with the limits of an earlier acceptance; None for the limits that apply now.
            workload: Work of the request as stated by the client; None if the client states nothing.
            past: Earlier request with the same id that may have run; its transmission counts as an attempt of this one.
        """
        now = self.deadlines.clock()
        policy = policy or self.settings.classes[class_index]
        if policy.give_up_after:
            remaining = min(remaining, policy.give_up_after)
        give_up_at = min(now + remaining, self.answer_by())
        request = Request(payload, class_index, policy, give_up_at, now, request_id)
        self.requests.add(request, self.time_out)
        self.requests.announce(request)
        self._log(
            "taken", message=request.handle, id=request_id, lane=policy.name, left=round(request.give_up_at - now)
        )
        reason = self._reason_to_reject(request, now, remaining, size)
        if reason is not None:
            self._close(request, FinalAnswer.REFUSED, b"", self._retry_after, reason.value)
        elif past is not None and past.first_sent_at is not None:
            self.handover.repeat(request, past.server, past.first_sent_at, workload)
        else:
            self.events.handle(arrival_event(request, workload))
        return request

    def may_repeat(self, past: PastRequest, class_index: int) -> bool:
        """Returns whether a request of a class may run although an earlier one with the same id may have run.

        A repeat by key needs the server of the earlier transmission, which determines where repeats are dropped.
        """
        policy = self.settings.classes[class_index]
        known_server = policy.effect is Effect.IDEMPOTENT or self.directory.knows(past.server)
        return known_server and may_run_again(past, policy, self.deadlines.clock())

    def _reason_to_reject(self, request: Request, now: float, remaining: float, size: int) -> RejectReason | None:
        """Returns the reason to reject a request without asking the balancer; None if the balancer decides."""
        if request.give_up_at <= now:
            return RejectReason.EXPIRED
        if self.requests.open_count > self.max_open:
            return RejectReason.TOO_MANY_OPEN
        if self.plugins is not None and not self.plugins.admit(request.class_index, remaining, size):
            return RejectReason.NOT_ADMITTED
        if not self.requests.past.reserve(request):
            return RejectReason.NO_RECORD
        return None

    def use_classes(self, classes: tuple[RequestClass, ...]) -> None:
        """Applies new limits, all at once, to the requests that are accepted from now on.

        Requests that are already accepted keep their limits.  The number, order, effects and latency objectives of the
        classes must stay the same, because the statistics of the balancer depend on them.
        """
        self.settings = replace(self.settings, classes=classes)

    def client_left(self, request: Request) -> None:
        """Closes a request whose client has disconnected, without a final answer."""
        if not request.closed:
            request.keep()
            request.client_gone = True
            self.requests.count_closed()
            self._log("client_gone", message=request.handle, id=request.request_id)
            self.events.handle(ClientGone(request.handle))
            self.requests.forget(request)

    def count_answer(self, class_index: int, final: FinalAnswer) -> None:
        """Counts a final answer; frontends also call this for requests that they answer without accepting them."""
        self.answer_counts[class_index][final] += 1

    def fail(self, request: Request) -> None:
        """Fails a request for a reason outside the balancer, and cancels its attempts in flight.

        The logged reason is ``connection_rejected``.
        """
        if not request.closed:
            self._close(request, FinalAnswer.FAILED, b"", reason="connection_rejected")
            self.events.handle(ClientGone(request.handle))
            self.requests.forget(request)

    def give_up_all(self) -> None:
        """Answers all open requests now with the final answers that the balancer chooses, because the process ends."""
        for request in list(self.requests):
            if not request.closed:
                self.events.handle(FinalAnswerDue(request.handle))

    @property
    def counts(self) -> dict[FinalAnswer, int]:
        """Returns the number of final answers of all classes, by kind."""
        return {final: sum(counts[final] for counts in self.answer_counts) for final in FinalAnswer}

    # -- attempts

    def may_write(self, attempt: Attempt) -> bool:
        """Returns whether the first byte of an attempt may still be written.

        Enforces the rules of draining and of repeated requests at the last moment: since the balancer decided, the
        server may have begun to drain, or the request may have been closed while the connection was established.
        """
        repeat_window_open = attempt.repeat_window_open(self.deadlines.clock())
        if self.directory.stale or not attempt.server.ready or not repeat_window_open:
            return False
        return attempt.in_flight and not self._is_closed(attempt.request)

    def outcome_if_forbidden(self, attempt: Attempt) -> Outcome | None:
        """Returns the outcome of an attempt whose first byte must not be written, or None if it may be.

        If the client may have disconnected unnoticed, the request is given up: one that never ran is rejected.
        """
        if self.transport.may_hide_disconnect(attempt.request):
            return Outcome.CANCELLED_BEFORE_START
        return None if self.may_write(attempt) else Outcome.CONNECT_FAILED

    def is_non_idempotent(self, attempt: Attempt) -> bool:
        """Returns whether the request of an attempt must not run twice.

        Such a request is sent again only if the earlier attempt provably never ran.
        """
        return attempt.request.policy.effect is Effect.NON_IDEMPOTENT

    def attempt_written(self) -> None:
        """Counts an attempt whose last byte has been written."""
        self.dispatches += 1

    def attempt_progressed(self, attempt: Attempt, kind: ProgressKind, share: float = 0.0) -> None:
        """Processes a server's report that an attempt has started, or which share of its work is done."""
        if attempt.in_flight:
            self.events.handle(
                AttemptProgress(attempt.request.handle, attempt.number, attempt.server.number, kind, share)
            )

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, result: bytes = b"") -> None:
        """Processes the end of an attempt; the first ``SERVED`` of an open request answers that request.

        Further ends of the same attempt are ignored.
        """
        if not attempt.in_flight:
            return
        attempt.request.keep()
        attempt.in_flight = False
        attempt.may_have_run = outcome not in NEVER_RAN and not attempt.incomplete
        self.attempts.remove(attempt.handle)
        request, now = attempt.request, self.deadlines.clock()
        elapsed = round(now - attempt.sent_at, 1)
        if outcome != Outcome.SERVED:
            self._log_attempt("relay_ended", attempt, outcome=outcome.log_name, ms=elapsed)
        else:
            self._log_attempt("relay_served", attempt, ms=elapsed)
            if not request.closed:
                self._close(request, FinalAnswer.SERVED, result)
        latency = max(0.0, now - attempt.sent_at)
        self.events.handle(
            AttemptEnded(request.handle, attempt.number, attempt.server.number, outcome, latency, request.closed)
        )
        self.requests.forget(request)

    def postpone(self, resume: Callable[[Attempt], None], attempt: Attempt) -> None:
        """Resumes an attempt in the next iteration of the event loop, because this one reads the endpoint list."""
        self.postponed += 1
        self._log_attempt("attempt_postponed", attempt)
        self.deadlines.call_after(0.0, resume, attempt)

    # -- servers and peers

    def update_servers(self, kind: ListKind, entries: Sequence[ListedServer]) -> None:
        """Applies an update of the endpoint list."""
        now = self.deadlines.clock()
        self.events.handle(self.directory.update(kind, entries, now))
        self.directory.forget_removed((attempt.server.number for attempt in self.attempts), now)

    def set_list_usable(self, usable: bool) -> None:
        """Sets whether the endpoint list may be used; while the list is unusable, no server gets new requests."""
        update = self.directory.set_usable(usable)
        if update is not None:
            self.events.handle(update)

    def peer_message(self, peer: int, content: bytes) -> None:
        """Processes a message from a peer."""
        self.events.handle(PeerMessage(peer, content))

    def peer_process_ended(self) -> None:
        """Discards the state of the other process of this dispatcher, which has ended.

        The requests that it still had may have run.
        """
        self.requests.past.add_unknown(self.requests.peer_process_ids, self.settings.classes)
        self.requests.peer_process_ids.clear()
        # The load of the other process is recorded under this dispatcher's own position, which no peer has.
        self.events.handle(PeerGone(self.settings.position))

    def server_counts(self) -> tuple[int, int]:
        """Returns the number of servers in the endpoint list, and how many of these servers the balancer avoids now."""
        listed = [server.number for server in self.directory.listed()]
        avoided = self.dispatcher.avoided_servers(self.deadlines.clock())
        return len(listed), sum(1 for number in listed if number in avoided)

    # -- events and actions

    def _log_slow_event(self, event: Event, elapsed: float) -> None:
        """Logs an event that blocked the event loop, or during which the process got no CPU time."""
        self._log(
            "slow_event",
            kind=type(event).__name__,
            ms=round(elapsed, 1),
            hosts=len(self.directory.by_number),
            open=self.requests.open_count,
            waiting=self.dispatcher.queue_length,
        )

    def _execute(self, action: Action, now: float) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action, now)
            case SetTimer():
                self.deadlines.call_at(now + action.delay, self.events.handle, TimerFired(action.token))
            case Reject() | Fail():
                self._close_unserved(action)
            case CancelAttempt():
                request = self.requests.get(action.request)
                if request is not None and action.attempt < len(request.attempts):
                    self._cancel_attempt(request.attempts[action.attempt], Outcome.CANCELLED)
            case SendPeerMessage():
                self._send_peer_message(action.content, action.peer)
            case Subscribe():
                self._subscribe()
            case LogLine():
                self._log("decision", text=action.text)

    def _start_attempt(self, action: StartAttempt, now: float) -> None:
        request, server = self.requests.get(action.request), self.directory.by_number[action.server]
        if request is None:
            never_began = AttemptEnded(
                action.request, 0, server.number, Outcome.CANCELLED_BEFORE_START, latency=0.0, final=True
            )
            self.events.append(never_began)
            return
        request.keep()
        attempt = Attempt(request, len(request.attempts), server, now)
        request.attempts.append(attempt)
        attempt.handle = self.attempts.add(attempt)
        if attempt.number:
            hedged = any(other.in_flight for other in request.attempts[:-1])
            self._log_attempt("attempt_hedged" if hedged else "attempt_retried", attempt)
        beyond_cap = attempt.number >= self.settings.max_attempts_of(request.policy)
        moot = now >= request.give_up_at or beyond_cap or self._is_closed(request)
        if moot or self.transport.may_hide_disconnect(request):
            self.attempt_ended(attempt, Outcome.CANCELLED_BEFORE_START)
        elif self.has_unread_update():
            self.postpone(self._begin_postponed, attempt)
        else:
            self.transport.send(attempt)

    def _begin_postponed(self, attempt: Attempt) -> None:
        """Sends a postponed attempt once the update has been read; ends the attempt if it may no longer be written."""
        if not attempt.in_flight:
            return
        if self.has_unread_update():
            self.deadlines.call_after(POSTPONED_MS, self._begin_postponed, attempt)
        elif (outcome := self.outcome_if_forbidden(attempt)) is not None:
            self.attempt_ended(attempt, outcome)
        else:
            self.transport.send(attempt)

    def _cancel_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.in_flight:
            attempt.request.keep()
            self.transport.cancel(attempt)
            self.attempt_ended(attempt, outcome)

    # -- final answers

    def _is_closed(self, request: Request) -> bool:
        """Returns whether a request is closed.

        Closes the request first if the client has disconnected and the event loop has not processed that yet.
        """
        if not request.closed and not self.transport.client_waits(request):
            self.client_left(request)
        return request.closed

    def _close_unserved(self, action: Reject | Fail) -> None:
        request = self.requests.get(action.request)
        if request is not None and not request.closed:
            final = FinalAnswer.REFUSED if isinstance(action, Reject) else FinalAnswer.FAILED
            self._close(request, final, b"", self._retry_after, action.reason.value)
            self.requests.forget(request)

    def time_out(self, request: Request) -> None:
        """Times out the attempts in flight at the deadline of a request, and fails the request if it is still open."""
        for attempt in request.attempts:
            self._cancel_attempt(attempt, Outcome.TIMEOUT)
        if not request.closed:
            self._log("overdue", message=request.handle, id=request.request_id)
            self._close(request, FinalAnswer.FAILED, b"", reason="overdue")
        self.requests.forget(request)

    def _close(
        self, request: Request, final: FinalAnswer, body: bytes, retry_after: float = 0.0, reason: str = ""
    ) -> None:
        """Gives the final answer of a request; all final answers are sent from here."""
        request.keep()
        request.final_answer = final
        self.requests.count_closed()
        self.count_answer(request.class_index, final)
        elapsed = self.deadlines.clock() - request.accepted_at
        self._log(
            "answer",
            message=request.handle,
            id=request.request_id,
            lane=self.settings.classes[request.class_index].name,
            final=final.value,
            relays=len(request.attempts),
            ms=round(elapsed, 1),
            **({"why": reason} if reason else {}),
        )
        self.transport.answer(request, final, body, retry_after)
        if self.plugins is not None:
            self.plugins.observe(request.class_index, final, elapsed)
        self.requests.forget(request)

    def _log_attempt(self, event: str, attempt: Attempt, **fields: object) -> None:
        request = attempt.request
        self._log(
            event,
            message=request.handle,
            id=request.request_id,
            relay=attempt.number,
            host=attempt.server.entry.name,
            **fields,
        )
