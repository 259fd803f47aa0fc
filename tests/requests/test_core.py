"""Tests of the core, its tables, the peer datagrams and the log, without network traffic."""

import os
import socket
import unittest
from typing import Any, cast

import pytest
from drive import KEYED, ONCE, SAFE, with_settings

from heronlug import CancelAttempt, ListKind, Outcome, Reject, ServerState, StartAttempt
from heronlug.backends.connection import ServerConnection
from heronlug.backends.pool import ConnectionPool
from heronlug.balancer.events import PeerMessage
from heronlug.lifecycle.log import MAX_BUFFERED_LINES, Log
from heronlug.peers.datagrams import PeerSocket
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.model import Attempt, FinalAnswer, ListedServer, Request
from heronlug.requests.slots import SlotTable


class RecordingTransport:
    """Records the calls of the core."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []
        self.cancelled: list[Attempt] = []
        self.answers: list[tuple[Any, FinalAnswer, bytes]] = []

    def send(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        self.cancelled.append(attempt)

    def client_waits(self, request: Request) -> bool:
        return True

    def may_hide_disconnect(self, request: Request) -> bool:
        return False

    def answer(self, request: Request, final: FinalAnswer, body: bytes, retry_after: float) -> None:
        self.answers.append((request.payload, final, body))


class StubDispatcher:
    """Records events, and returns the actions that the test has set for the next event."""

    def __init__(self) -> None:
        self.actions: list[Any] = []
        self.events: list[Any] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        self.events.append(event)
        actions, self.actions = self.actions, []
        return actions


class RecordingSocketTransport:
    """Records written data; has a connected socket pair, so that a test can close the server's end."""

    def __init__(self) -> None:
        self.written = b""
        self.socket, self.server_end = socket.socketpair()

    def get_extra_info(self, name: str) -> Any:
        return self.socket

    def close(self) -> None:
        self.socket.close()
        self.server_end.close()

    def write(self, data: bytes) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        pass

    def is_closing(self) -> bool:
        return False


class CoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 1e12
        self.deadlines = Deadlines(lambda: self.now)
        self.transport, self.dispatcher = RecordingTransport(), StubDispatcher()
        settings = with_settings(classes=(SAFE, KEYED, ONCE), max_attempts=2)
        self.core = Core(settings, 1, self.transport, self.deadlines)
        self.core.events.dispatcher = cast(Any, self.dispatcher)
        self.core.update_servers(ListKind.FULL, [ListedServer("h", "127.0.0.1:9")])
        self.server_number = next(iter(self.core.directory.by_number))

    def accept_and_send(self, payload: Any = "m") -> tuple[Request, Attempt]:
        request = self.core.accept(payload, 2, 1000.0)
        self.dispatcher.actions = [StartAttempt(request.handle, self.server_number)]
        self.core.peer_message(0, b"")
        return request, self.transport.sent[-1]

    def advance(self, ms: float) -> None:
        self.now += ms
        self.deadlines.run_due()

    def test_action_that_raises_does_not_stop_the_other_actions_and_events(self) -> None:
        """Guards against a request without an answer because the action for another one raised."""
        requests = [self.core.accept(number, 0, 1000.0) for number in range(3)]
        answer = self.transport.answer

        def fail_once(request: Request, *rest: Any) -> None:
            if request is requests[0]:
                raise RuntimeError
            answer(request, *rest)

        self.transport.answer = fail_once  # type: ignore[method-assign,assignment]
        self.core.events.append(PeerMessage(0, b"queued"))
        self.dispatcher.actions = [Reject(request.handle) for request in requests]
        with pytest.raises(RuntimeError):
            self.core.peer_message(0, b"")
        assert self.transport.answers == [(number, FinalAnswer.REFUSED, b"") for number in (1, 2)]
        assert self.dispatcher.events[-1] == PeerMessage(0, b"")

    def test_request_that_the_dispatcher_never_answers_fails_at_its_deadline(self) -> None:
        """Failure: a request without any decision stays open for ever, and its attempt and deadline leak."""
        request, attempt = self.accept_and_send()
        self.advance(1000)
        assert self.transport.answers == [("m", FinalAnswer.FAILED, b"")]
        assert self.transport.cancelled == [attempt]  # attempts have no timeout of their own
        assert self.dispatcher.events[-1].outcome == Outcome.TIMEOUT
        assert (len(self.core.requests), len(self.core.attempts), len(self.deadlines)) == (0, 0, 0)

    def test_answered_request_with_an_attempt_in_flight_takes_no_place_of_open_requests(self) -> None:
        """Failure: requests are rejected as too many open ones although those before them have their answers."""
        self.core.max_open = 1
        request, attempt = self.accept_and_send()
        self.dispatcher.actions = [StartAttempt(request.handle, self.server_number)]
        self.core.peer_message(0, b"")
        self.core.attempt_ended(attempt, Outcome.SERVED, b"r")
        assert len(self.core.requests) == 1
        self.core.accept("n", 0, 1000.0)
        assert [payload for payload, _, _ in self.transport.answers] == ["m"]

    def test_later_events_cause_no_second_final_answer(self) -> None:
        """Failure: a reset, a disconnect or the deadline after the answer sends a second answer to the client."""
        request, attempt = self.accept_and_send()
        self.core.attempt_ended(attempt, Outcome.SERVED, b"r")
        self.core.attempt_ended(attempt, Outcome.RESET)
        self.core.client_left(request)
        self.advance(2000)
        assert self.transport.answers == [("m", FinalAnswer.SERVED, b"r")]

    def test_request_accepted_as_non_idempotent_stays_so_when_its_class_changes(self) -> None:
        """Failure: a request that must not run twice is written without its last byte withheld, after an upgrade."""
        request = Request("m", 0, ONCE, self.now + 1000.0, self.now)  # the class with index 0 is idempotent
        self.core.handover.adopt(request, [])
        self.dispatcher.actions = [StartAttempt(request.handle, self.server_number)]
        self.core.peer_message(0, b"")
        assert self.core.is_non_idempotent(self.transport.sent[-1])

    def test_attempt_of_a_closed_request_is_cancelled_before_start(self) -> None:
        """Failure: the dispatcher starts an attempt of a request whose client has left, and a server runs it."""
        request, _ = self.accept_and_send()
        self.core.client_left(request)
        self.dispatcher.actions = [StartAttempt(request.handle, self.server_number), CancelAttempt(request.handle, 7)]
        self.core.peer_message(0, b"")
        assert len(self.transport.sent) == 1
        assert self.dispatcher.events[-1].outcome == Outcome.CANCELLED_BEFORE_START

    def test_attempt_is_not_written_if_its_server_drains_during_the_dial(self) -> None:
        """Failure: a draining server gets a request because the attempt was decided before the dial ended."""
        pool = ConnectionPool(
            self.deadlines, lambda *a, **k: None, lambda: None, conn_idle=4000, dial_timeout=250, max_connections=9
        )
        pool.core = self.core
        for draining in (False, True):
            payload = type(
                "Payload", (), {"method": b"POST", "target": b"/x", "headers": {}, "body": b"", "request_id": "t"}
            )()
            _, attempt = self.accept_and_send(payload)
            connection = ServerConnection(pool, attempt.server, "127.0.0.1:9")
            connection.attempt, connection.transport = attempt, cast(Any, RecordingSocketTransport())
            if draining:
                self.core.update_servers(ListKind.CHANGES, [ListedServer("h", "127.0.0.1:9", ServerState.DRAINING)])
            pool.on_connected(connection)
            assert bool(cast(Any, connection.transport).written) == (not draining)
            cast(Any, connection.transport).close()
        assert self.dispatcher.events[-1].outcome == Outcome.CONNECT_FAILED

    def test_lost_connection_proves_no_execution_only_while_a_byte_is_unwritten(self) -> None:
        """Failure: a lost connection is reported as possibly executed although the server never got the whole request.

        The last byte of a non-idempotent request is withheld for 10 ms. A connection that is lost before that byte is
        written, such as a reused connection that breaks at its next request, proves that the request has not run.
        """
        pool = ConnectionPool(
            self.deadlines, lambda *a, **k: None, lambda: None, conn_idle=4000, dial_timeout=250, max_connections=9
        )
        pool.core = self.core
        never_ran, may_have_run = Outcome.CONNECT_FAILED, Outcome.RESET
        for elapsed, writing_paused, server_closed, fully_written, outcome in (
            (0, False, False, False, never_ran),
            (11, False, False, True, may_have_run),
            (11, True, False, True, never_ran),
            (11, False, True, False, never_ran),  # the end of the stream is not read yet
        ):
            payload = type(
                "Payload", (), {"method": b"POST", "target": b"/x", "headers": {}, "body": b"ab", "request_id": "t"}
            )()
            _, attempt = self.accept_and_send(payload)
            connection = ServerConnection(pool, attempt.server, "127.0.0.1:9")
            connection.transport = cast(Any, RecordingSocketTransport())
            connection.write(attempt)
            if server_closed:
                cast(Any, connection.transport).server_end.close()
            self.advance(elapsed)
            if writing_paused:
                connection.pause_writing()
            assert cast(Any, connection.transport).written.endswith(b"ab") == fully_written
            connection.connection_lost(ConnectionResetError())
            assert self.dispatcher.events[-1].outcome == outcome
            cast(Any, connection.transport).close()


class PeerDatagramTest(unittest.TestCase):
    def test_own_broadcast_unknown_sender_and_oversized_datagram_are_dropped(self) -> None:
        """Failure: the balancer processes datagrams that no peer has sent, or that exceed the size limit."""
        received: list[tuple[int, bytes]] = []
        addresses = ["127.0.0.1:1001", "127.0.0.1:1002"]
        peers = PeerSocket(
            addresses,
            None,
            0,
            lambda position, data: received.append((position, data)),
            lambda *a, **k: None,
            lambda: None,
            lambda: 0.0,
        )
        for port, size in ((1001, 9), (1002, 9), (1003, 9), (1002, 257), (1002, 256)):
            peers.datagram_received(b"c" * size, ("127.0.0.1", port))
        assert received == [(1, b"c" * 9), (1, b"c" * 256)]


class ServingPeersTest(unittest.TestCase):
    def test_silent_or_leaving_peer_does_not_count_as_serving(self) -> None:
        """Failure: a stopping dispatcher sends its clients away although no other dispatcher serves them."""
        now = [0.0]
        addresses = ["127.0.0.1:1001", "127.0.0.1:1002"]
        ignore: Any = lambda *a, **k: None  # noqa: E731
        peers = PeerSocket(addresses, None, 0, ignore, ignore, ignore, lambda: now[0])
        serving = []
        for at, data in ((0, b""), (10, b"c"), (1100, b""), (1200, b"c"), (1210, b"l"), (1300, b"c"), (1900, b"c")):
            now[0] = at
            if data:
                peers.datagram_received(data, ("127.0.0.1", 1002))
            serving.append(peers.others_serve())
        assert serving == [False, True, False, True, False, False, True]


class TableTest(unittest.TestCase):
    def test_old_handle_finds_nothing_in_a_reused_slot(self) -> None:
        """Failure: a late event with an old handle affects the request that uses the slot now."""
        slots: SlotTable[str] = SlotTable()
        first = slots.add("a")
        assert slots.remove(first) == "a"
        second = slots.add("b")
        assert (slots.get(first), slots.get(second), len(slots)) == (None, "b", 1)

    def test_due_deadlines_run_in_order_and_added_ones_in_the_next_run(self) -> None:
        """Failure: a deadline that adds a due deadline keeps the run going, or a cancelled deadline is called."""
        now, called = [0.0], list[int]()
        deadlines = Deadlines(lambda: now[0])
        deadlines.call_at(2.0, called.append, 2)
        deadlines.call_at(1.0, lambda: deadlines.call_at(0.0, called.append, 0))
        deadlines.cancel(deadlines.call_at(1.5, called.append, 1))
        assert (deadlines.run_due(), deadlines.next_due()) == (0, 1.0)
        now[0] = 3.0
        deadlines.run_due()
        assert called == [2]
        deadlines.run_due()
        assert called == [2, 0]


class LogTest(unittest.TestCase):
    def test_full_pipe_does_not_block_the_caller(self) -> None:
        """Failure: no process reads the log pipe, and the event loop blocks once the pipe is full."""
        reader, writer = os.pipe()
        log = Log(writer)
        dropped = 0
        for number in range(3 * MAX_BUFFERED_LINES):  # blocks here if lines are written on this thread
            log("started", number=number, text="x" * 50)
            dropped = max(dropped, log.dropped)  # counts from 0 again after each buffered line
        assert dropped > 0
        os.close(reader)
        log.close()
        os.close(writer)


if __name__ == "__main__":
    unittest.main()
