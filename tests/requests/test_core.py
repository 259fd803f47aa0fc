"""What the core and the tables guard against, without a socket."""

import os
import socket
import unittest
from typing import Any, cast

from drive import KEYED, ONCE, SAFE, with_settings

from heronlug import CancelAttempt, ListKind, Outcome, ServerState, StartAttempt
from heronlug.backends.connection import ServerConnection
from heronlug.backends.pool import ConnectionPool
from heronlug.lifecycle.log import MAX_BUFFERED_LINES, Log
from heronlug.peers.datagrams import PeerSocket
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.model import Attempt, FinalAnswer, ListedServer, Request
from heronlug.requests.slots import SlotTable


class Front:
    """Records what the core asks of it."""

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

    def answer(self, request: Request, final: FinalAnswer, body: bytes, retry_after: float) -> None:
        self.answers.append((request.payload, final, body))


class Silent:
    """A decision module that does only what it is told to."""

    def __init__(self) -> None:
        self.actions: list[Any] = []
        self.events: list[Any] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        self.events.append(event)
        actions, self.actions = self.actions, []
        return actions


class Transport:
    """Records what is written."""

    def __init__(self) -> None:
        self.written = b""
        self.socket, self.other = socket.socketpair()

    def get_extra_info(self, name: str) -> Any:
        return self.socket

    def close(self) -> None:
        self.socket.close()
        self.other.close()

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
        self.front, self.module = Front(), Silent()
        settings = with_settings(classes=(SAFE, KEYED, ONCE), max_attempts=2)
        self.core = Core(settings, 1, self.front, self.deadlines)
        self.core.events.dispatcher = cast(Any, self.module)
        self.core.update_servers(ListKind.FULL, [ListedServer("h", "127.0.0.1:9")])
        self.host = next(iter(self.core.directory.by_number))

    def sent(self, load: Any = "m") -> tuple[Request, Attempt]:
        message = self.core.accept(load, 2, 1000.0)
        self.module.actions = [StartAttempt(message.handle, self.host)]
        self.core.peer_message(0, b"")
        return message, self.front.sent[-1]

    def later(self, ms: float) -> None:
        self.now += ms
        self.deadlines.run_due()

    def test_message_that_the_module_forgets_is_failed_at_its_give_up_time(self) -> None:
        message, relay = self.sent()
        self.later(1000)
        assert self.front.answers == [("m", FinalAnswer.FAILED, b"")]
        assert self.front.cancelled == [relay]  # a Send has no time-out of its own
        assert self.module.events[-1].outcome == Outcome.TIMEOUT
        assert (len(self.core.requests), len(self.core.attempts), len(self.deadlines)) == (0, 0, 0)

    def test_one_final_answer_whatever_comes_after(self) -> None:
        message, relay = self.sent()
        self.core.attempt_ended(relay, Outcome.SERVED, b"r")
        self.core.attempt_ended(relay, Outcome.RESET)
        self.core.client_left(message)
        self.later(2000)
        assert self.front.answers == [("m", FinalAnswer.SERVED, b"r")]

    def test_send_for_what_is_over_is_moot_and_never_sent(self) -> None:
        message, _ = self.sent()
        self.core.client_left(message)
        self.module.actions = [StartAttempt(message.handle, self.host), CancelAttempt(message.handle, 7)]
        self.core.peer_message(0, b"")
        assert len(self.front.sent) == 1
        assert self.module.events[-1].outcome == Outcome.CANCELLED_BEFORE_START

    def test_relay_still_dialling_when_its_host_drains_is_not_written(self) -> None:
        pool = ConnectionPool(
            self.deadlines, lambda *a, **k: None, lambda: None, conn_idle=4000, dial_timeout=250, max_connections=9
        )
        pool.core = self.core
        for told_off in (False, True):
            load = type(
                "Load", (), {"method": b"POST", "target": b"/x", "headers": {}, "body": b"", "request_id": "t"}
            )()
            _, relay = self.sent(load)
            connection = ServerConnection(pool, relay.server, "127.0.0.1:9")
            connection.attempt, connection.transport = relay, cast(Any, Transport())
            if told_off:
                self.core.update_servers(ListKind.CHANGES, [ListedServer("h", "127.0.0.1:9", ServerState.DRAINING)])
            pool.on_connected(connection)
            assert bool(cast(Any, connection.transport).written) == (not told_off)
            cast(Any, connection.transport).close()
        assert self.module.events[-1].outcome == Outcome.CONNECT_FAILED

    def test_break_is_never_ran_only_while_a_byte_is_unwritten(self) -> None:
        """The last byte of send-invites waits for 10 ms: a connection that breaks at its next request costs nothing."""
        pool = ConnectionPool(
            self.deadlines, lambda *a, **k: None, lambda: None, conn_idle=4000, dial_timeout=250, max_connections=9
        )
        pool.core = self.core
        never, perhaps = Outcome.CONNECT_FAILED, Outcome.RESET
        for wait, stuck, ended, whole, outcome in (
            (0, False, False, False, never),
            (11, False, False, True, perhaps),
            (11, True, False, True, never),
            (11, False, True, False, never),  # its end has come and waits to be read
        ):
            load = type(
                "Load", (), {"method": b"POST", "target": b"/x", "headers": {}, "body": b"ab", "request_id": "t"}
            )()
            _, relay = self.sent(load)
            connection = ServerConnection(pool, relay.server, "127.0.0.1:9")
            connection.transport = cast(Any, Transport())
            connection.write(relay)
            if ended:
                cast(Any, connection.transport).other.close()
            self.later(wait)
            if stuck:
                connection.pause_writing()
            assert cast(Any, connection.transport).written.endswith(b"ab") == whole
            connection.connection_lost(ConnectionResetError())
            assert self.module.events[-1].outcome == outcome
            cast(Any, connection.transport).close()


class Echoes(unittest.TestCase):
    def test_own_echo_a_stranger_and_an_overlong_datagram_are_dropped(self) -> None:
        heard: list[tuple[int, bytes]] = []
        addresses = ["127.0.0.1:1001", "127.0.0.1:1002"]
        peers = PeerSocket(
            addresses, None, 0, lambda n, data: heard.append((n, data)), lambda *a, **k: None, lambda: None, lambda: 0.0
        )
        for port, size in ((1001, 9), (1002, 9), (1003, 9), (1002, 257), (1002, 256)):
            peers.datagram_received(b"c" * size, ("127.0.0.1", port))
        assert heard == [(1, b"c" * 9), (1, b"c" * 256)]


class Handover(unittest.TestCase):
    def test_who_is_silent_or_leaving_takes_no_clients_over(self) -> None:
        """Clients sent away while nobody else served had no dispatcher at all."""
        now = [0.0]
        addresses = ["127.0.0.1:1001", "127.0.0.1:1002"]
        quiet: Any = lambda *a, **k: None  # noqa: E731
        peers = PeerSocket(addresses, None, 0, quiet, quiet, quiet, lambda: now[0])
        seen = []
        for at, data in ((0, b""), (10, b"c"), (1100, b""), (1200, b"c"), (1210, b"l"), (1300, b"c"), (1900, b"c")):
            now[0] = at
            if data:
                peers.datagram_received(data, ("127.0.0.1", 1002))
            seen.append(peers.others_serve())
        assert seen == [False, True, False, True, False, False, True]


class Tables(unittest.TestCase):
    def test_old_ticket_finds_nothing_in_a_slot_used_again(self) -> None:
        slots: SlotTable[str] = SlotTable()
        first = slots.add("a")
        assert slots.remove(first) == "a"
        second = slots.add("b")
        assert (slots.get(first), slots.get(second), len(slots)) == (None, "b", 1)

    def test_deadlines_in_order_and_what_is_added_meanwhile_later(self) -> None:
        now, seen = [0.0], list[int]()
        deadlines = Deadlines(lambda: now[0])
        deadlines.call_at(2.0, seen.append, 2)
        deadlines.call_at(1.0, lambda: deadlines.call_at(0.0, seen.append, 0))
        deadlines.cancel(deadlines.call_at(1.5, seen.append, 1))
        assert (deadlines.run_due(), deadlines.next_due()) == (0, 1.0)
        now[0] = 3.0
        deadlines.run_due()
        assert seen == [2]
        deadlines.run_due()
        assert seen == [2, 0]


class Logging(unittest.TestCase):
    def test_full_pipe_stops_nothing(self) -> None:
        reader, writer = os.pipe()
        log = Log(writer)
        for number in range(3 * MAX_BUFFERED_LINES):  # it would hang here if a line were written on this thread
            log("started", number=number, text="x" * 50)
        assert log.dropped > 0
        os.close(reader)
        log.close()
        os.close(writer)


if __name__ == "__main__":
    unittest.main()
