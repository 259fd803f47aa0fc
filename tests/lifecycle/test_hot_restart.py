"""Tests the messages, state and connections that a hot restart hands over, without starting a process."""

import asyncio
import json
import socket
import unittest
from typing import Any, cast

import pytest
from drive import Host, server_entries, with_settings

from heronlug import ListKind, Outcome, PeerMessage, RequestArrived, RequestClass, ServerEntry, StartAttempt
from heronlug.backends.connection import ServerConnection
from heronlug.backends.pool import ConnectionPool
from heronlug.balancer.actions import Reject
from heronlug.balancer.errors import SnapshotError
from heronlug.balancer.events import AttemptEnded, AttemptSnapshot, PeerGone, RequestAdopted, RequestHandedOver
from heronlug.balancer.settings import Effect
from heronlug.frontends.http.request import HttpRequest
from heronlug.frontends.http.request_table import read_request, write_request
from heronlug.lifecycle.hot_restart.channel import PeerProcess, ReceivedMessage
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.model import ListedServer, Workload

SETTINGS = with_settings(reports_start=True, report_fields=(), gossip=True, instances=2)


def decoded_snapshot(host: Host) -> Any:
    """Returns the learned state of a host's dispatcher after JSON encoding and decoding."""
    return json.loads(json.dumps(host.dispatcher.snapshot()))


class SnapshotTransfer(unittest.TestCase):
    def host_with_traffic(self) -> Host:
        host = Host(SETTINGS, server_count=4)
        for number in range(60):
            request_id = host.new_request(0)
            host.now += 5 + 10 * (host.sent_to[request_id][0] % 3)
            if number == 30:
                host.end_attempt(request_id, 0, Outcome.ERROR)
            host.end_attempt(request_id, len(host.sent_to[request_id]) - 1)
        return host

    def test_new_process_resumes_with_the_learned_state_of_the_old_one(self) -> None:
        """Guards against a new process that sends to failing servers, or exceeds the slow start of a cold server."""
        old, new = self.host_with_traffic(), Host(SETTINGS, seed=2, server_count=4)
        request_id = old.new_request(2)
        new.now = old.now
        new.dispatcher.resume(decoded_snapshot(old), new.now)
        new_dispatcher, old_dispatcher = new.dispatcher, old.dispatcher
        old_dispatcher.rules.rerank(old.now)
        assert [server.id for server in new_dispatcher.rules.ranking.servers] == [
            server.id for server in old_dispatcher.rules.ranking.servers
        ]
        assert new_dispatcher.avoided_servers(new.now) == old_dispatcher.avoided_servers(old.now)
        assert old_dispatcher.avoided_servers(old.now)
        assert new_dispatcher.rules.retry_budget.level == old_dispatcher.rules.retry_budget.level
        server_id = old.sent_to[request_id][0]
        # the attempt in flight in the old process counts as a peer's
        assert new_dispatcher.state.servers.by_id[server_id].load.peer_slots == 1
        recent_work = [
            host.dispatcher.state.servers.by_id[server_id].slow_start.recent_work.total(0) for host in (old, new)
        ]
        assert recent_work[0] == recent_work[1]
        new.handle(PeerGone(SETTINGS.position))
        assert new_dispatcher.state.servers.by_id[server_id].load.peer_slots == 0

    def test_malformed_snapshot_changes_nothing(self) -> None:
        """Guards against partly applied state when another process sends a snapshot with missing or invalid values."""
        valid_snapshot = decoded_snapshot(self.host_with_traffic())
        new = Host(SETTINGS, seed=2, server_count=4)
        before = decoded_snapshot(new)
        malformed_snapshots: list[Any] = [
            None,
            [],
            {},
            {**valid_snapshot, "all": valid_snapshot["all"][1:]},
            {**valid_snapshot, "retries": "many"},
        ]
        malformed_snapshots += [
            {key: value for key, value in valid_snapshot.items() if key != name}
            for name in valid_snapshot
            if name != "halls"
        ]
        malformed_snapshots += [
            {**valid_snapshot, "workers": [[1, 0.0, 1, [], *["x"] * 8]]},
            {**valid_snapshot, "kinds": [[0, 1.0]]},
        ]
        malformed_snapshots += [
            {**valid_snapshot, "halls": [[0, phase, 1.0, stage, 0, 0.0]]} for phase, stage in (("lost", 0), ("left", 9))
        ]
        for malformed in malformed_snapshots:
            with pytest.raises(SnapshotError):
                new.dispatcher.resume(malformed, new.now)
        assert decoded_snapshot(new) == before


class RequestAdoption(unittest.TestCase):
    def test_adopted_request_keeps_its_attempt_and_its_retry_rules(self) -> None:
        """Guards against a second execution of a non-idempotent request, and a payoff for handed-over attempts."""
        for class_index, effect, retries in ((0, Effect.IDEMPOTENT, True), (2, Effect.NON_IDEMPOTENT, False)):
            old, new = Host(SETTINGS, server_count=3), Host(SETTINGS, seed=2, server_count=3)
            request_id = old.new_request(class_index)
            handed_over = old.dispatcher.attempt_snapshots(request_id)
            assert handed_over is not None
            assert len(handed_over) == 1
            payoff_counts = {server.id: server.payoff.count for server in old.dispatcher.state.servers.by_id.values()}
            old.handle(RequestHandedOver(request_id))
            assert [server.load.own_slots for server in old.dispatcher.state.servers.by_id.values()] == [0, 0, 0]
            assert {
                server.id: server.payoff.count for server in old.dispatcher.state.servers.by_id.values()
            } == payoff_counts
            old.advance_to(old.now + 9000)
            assert not old.final_states
            arrived = RequestArrived(7, class_index, new.now + 4000)
            actions = new.dispatcher.handle(new.now, RequestAdopted(arrived, new.now - 100, handed_over))
            assert not [action for action in actions if isinstance(action, StartAttempt)]
            assert new.dispatcher.state.servers.by_id[handed_over[0].server].load.own_slots == 1
            ended = AttemptEnded(7, 0, handed_over[0].server, Outcome.RESET, 100.0, False)
            actions = new.dispatcher.handle(new.now, ended)
            assert any(isinstance(action, StartAttempt) for action in actions) == retries, effect

    def test_adopted_request_without_an_attempt_is_placed(self) -> None:
        """Guards against a handed-over request that waits until its deadline because no attempt is started."""
        new = Host(SETTINGS, server_count=3)
        actions = new.dispatcher.handle(
            new.now, RequestAdopted(RequestArrived(7, 2, new.now + 4000), new.now - 100, ())
        )
        assert [action for action in actions if isinstance(action, StartAttempt | Reject)]

    def test_handed_over_request_is_decoded_unchanged(self) -> None:
        """Guards against bytes outside ASCII, or fields, that are lost when a request is written as JSON."""
        request = HttpRequest()
        request.method, request.target, request.body = b"POST", b"/x?a=%ff\xfe", bytes(range(256))
        request.headers, request.request_id, request.class_index = {b"x-txn": b"t", b"x-labels": b"\xe4=1"}, "t", 2
        request.workload, request.keep_alive = Workload(slots=2.0, retry=True), False
        other = read_request(json.loads(json.dumps(write_request(request))))
        for name in ("method", "target", "body", "headers", "request_id", "class_index", "workload", "keep_alive"):
            assert getattr(other, name) == getattr(request, name)


class OpenTransport:
    """A transport that discards all writes and never closes."""

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: bytes) -> None:
        pass

    def abort(self) -> None:
        pass

    def get_extra_info(self, name: str) -> Any:
        return self


class SplitAnswers(unittest.TestCase):
    LINES = (
        b'{"id":"t","state":"started"}\n',
        b'{"id":"t","state":"running","share":0.5}\n',
        b'{"id":"t","state":"done","result":"ok"}\n',
    )

    def connection(self) -> tuple[Core, list[bytes], ServerConnection, Any]:
        now, answers = [1e12], list[bytes]()

        class RecordingTransport:
            def send(self, attempt: Any) -> None:
                attempts.append(attempt)

            def cancel(self, attempt: Any) -> None:
                pass

            def client_waits(self, request: Any) -> bool:
                return True

            def may_hide_disconnect(self, request: Any) -> bool:
                return False

            def answer(self, request: Any, final: Any, body: bytes, retry_after: float) -> None:
                answers.append(final.value.encode() + b" " + body)

        attempts: list[Any] = []
        deadlines = Deadlines(lambda: now[0])
        request_class = RequestClass(latency_objective=200, deadline=5000, effect=Effect.IDEMPOTENT)
        core = Core(with_settings(classes=(request_class,)), 1, cast(Any, RecordingTransport()), deadlines)
        pool = ConnectionPool(
            deadlines, lambda *a, **k: None, lambda: None, conn_idle=4000, dial_timeout=250, max_connections=9
        )
        pool.core = core
        core.update_servers(ListKind.FULL, [ListedServer("h", "127.0.0.1:9")])
        request = HttpRequest()
        request.method, request.target, request.request_id, request.class_index = b"POST", b"/x", "t", 0
        core.accept(request, 0, 4000.0, request_id="t")
        connection = ServerConnection(pool, attempts[0].server, "127.0.0.1:9")
        connection.handle = pool.connections.add(connection)
        connection.transport = cast(Any, OpenTransport())
        return core, answers, connection, attempts[0]

    def test_answer_is_the_same_wherever_the_handover_splits_the_response(self) -> None:
        """Guards against a line or chunk split between two processes, which would end the attempt with an error."""
        first_line, *others = self.LINES
        for chunks in (self.LINES, (first_line[:9], first_line[9:], *others)):
            body = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
            data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body + b"0\r\n\r\n"
            handed_over = []
            for split_at in range(len(data)):
                _, answers, first_connection, attempt = self.connection()
                first_connection.write(attempt)
                if split_at:
                    first_connection.data_received(data[:split_at])
                if not first_connection.can_hand_over():
                    continue
                handed_over.append(split_at)
                _, answers, second_connection, attempt = self.connection()
                second_connection.resume(attempt, split_at > 0, False)
                second_connection.data_received(data[split_at:])
                assert answers == [b"served ok"], split_at
            head = data.index(b"\r\n\r\n") + 4
            assert handed_over[:2] == [0, head]
            # before the response, after the head, and after each of the first two lines; the third line is the answer
            assert len(handed_over) == 4


class ProcessEnd(unittest.IsolatedAsyncioTestCase):
    async def test_messages_sent_before_the_other_process_ended_are_received(self) -> None:
        """Guards against lost messages: a process that ends with unread input resets the socket.

        The kernel reports the reset before the messages that the process has sent.
        """
        for sends in (False, True):
            own_socket, other_socket = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            own_socket.setblocking(False)
            received: list[tuple[dict[str, Any], int]] = []
            ended = asyncio.get_running_loop().create_future()

            def on_message(_: PeerProcess, message: ReceivedMessage, received: Any = received) -> None:
                received.append((message.message, len(message.fds)))

            other_process = PeerProcess(own_socket, on_message, lambda _, why, ended=ended: ended.set_result(why))  # type: ignore[misc]
            other_process.send({"news": 1})
            for number in range(3):
                socket.send_fds(other_socket, [b'.{"n":%d}' % number], [other_socket.fileno()])
            other_socket.close()
            if sends:
                other_process.send({"news": 2})
            assert await asyncio.wait_for(ended, 10) == "closed"
            assert received == [({"n": number}, 1) for number in range(3)]


class PeerSlots(unittest.TestCase):
    def test_slot_counts_of_the_predecessor_replace_the_handed_over_counts(self) -> None:
        """Guards against slots counted twice.

        The predecessor reports under the position of this dispatcher, which no other peer has.
        """
        new = Host(SETTINGS, server_count=2)
        new.dispatcher.state.peer_load.set_counts(0, {1: 3}, new.dispatcher.state.servers.by_id, new.now)
        assert new.dispatcher.state.servers.by_id[1].load.peer_slots == 3
        content = new.dispatcher.state.peer_load.STAMP.pack(b"c", new.now) + new.dispatcher.state.peer_load.PAIR.pack(
            1, 1
        )
        new.handle(PeerMessage(0, content))
        assert new.dispatcher.state.servers.by_id[1].load.peer_slots == 1

    def test_adopted_attempt_counts_at_a_removed_server(self) -> None:
        """Guards against an error or a lost attempt when the server of a handed-over attempt is no longer listed."""
        new = Host(SETTINGS, server_count=2)
        new.update_servers(ListKind.CHANGES, (ServerEntry(9), *server_entries(2)))
        handed_over = (AttemptSnapshot(9, new.now, True, True, True, new.now),)
        new.dispatcher.handle(new.now, RequestAdopted(RequestArrived(7, 0, new.now + 4000), new.now, handed_over))
        assert new.dispatcher.state.servers.by_id[9].load.own_attempts == 1
