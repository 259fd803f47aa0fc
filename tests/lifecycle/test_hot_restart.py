"""What passes between two processes of one dispatcher, without a process."""

import asyncio
import json
import os
import socket
import unittest
from typing import Any, cast

import pytest
from drive import Host, entries, with_settings

from heronlug import ListKind, Outcome, PeerMessage, RequestArrived, RequestClass, ServerEntry, StartAttempt
from heronlug.backends.connection import ServerConnection
from heronlug.backends.pool import ConnectionPool
from heronlug.balancer.actions import Reject
from heronlug.balancer.errors import SnapshotError
from heronlug.balancer.events import AttemptEnded, AttemptSnapshot, PeerGone, RequestAdopted, RequestHandedOver
from heronlug.balancer.settings import Effect
from heronlug.frontends.http.request import HttpRequest
from heronlug.frontends.http.request_table import read_request, write_request
from heronlug.lifecycle.hot_restart.channel import PeerProcess
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.model import ListedServer, Workload

SETTINGS = with_settings(reports_start=True, report_fields=(), gossip=True, instances=2)


def table(host: Host) -> Any:
    """What a host's dispatcher has learned, as it comes out at the other end."""
    return json.loads(json.dumps(host.dispatcher.snapshot()))


class Learned(unittest.TestCase):
    def busy(self) -> Host:
        host = Host(SETTINGS, workers=4)
        for number in range(60):
            job = host.job(0)
            host.now += 5 + 10 * (host.sent[job][0] % 3)
            if number == 30:
                host.end(job, 0, Outcome.ERROR)
            host.end(job, len(host.sent[job]) - 1)
        return host

    def test_new_process_goes_on_as_the_old_one_would(self) -> None:
        """Guards against an upgrade that begins by sending to what fails, or over a cold worker's budget."""
        old, new = self.busy(), Host(SETTINGS, seed=2, workers=4)
        job = old.job(2)
        new.now = old.now
        new.dispatcher.resume(table(old), new.now)
        here, there = new.dispatcher, old.dispatcher
        there.rules.rerank(old.now)
        assert [w.id for w in here.rules.ranking.servers] == [w.id for w in there.rules.ranking.servers]
        assert here.avoided_servers(new.now) == there.avoided_servers(old.now)
        assert there.avoided_servers(old.now)
        assert here.rules.retry_budget.level == there.rules.retry_budget.level
        worker = old.sent[job][0]
        assert here.state.servers.by_id[worker].load.peer_slots == 1  # what is out there is out here too
        work = [host.dispatcher.state.servers.by_id[worker].slow_start.recent_work.total(0) for host in (old, new)]
        assert work[0] == work[1]
        new.give(PeerGone(SETTINGS.position))
        assert here.state.servers.by_id[worker].load.peer_slots == 0

    def test_table_that_makes_no_sense_changes_nothing(self) -> None:
        whole = table(self.busy())
        new = Host(SETTINGS, seed=2, workers=4)
        before = table(new)
        wrong: list[Any] = [None, [], {}, {**whole, "all": whole["all"][1:]}, {**whole, "retries": "many"}]
        wrong += [{key: value for key, value in whole.items() if key != name} for name in whole if name != "halls"]
        wrong += [{**whole, "workers": [[1, 0.0, 1, [], *["x"] * 8]]}, {**whole, "kinds": [[0, 1.0]]}]
        wrong += [{**whole, "halls": [[0, phase, 1.0, stage, 0, 0.0]]} for phase, stage in (("lost", 0), ("left", 9))]
        for each in wrong:
            with pytest.raises(SnapshotError):
                new.dispatcher.resume(each, new.now)
        assert table(new) == before


class Adopted(unittest.TestCase):
    def test_running_job_goes_on_and_its_rules_with_it(self) -> None:
        """Guards against a second run of what must run once, and against a verdict on a host by who leaves."""
        for lane, effect, again in ((0, Effect.IDEMPOTENT, True), (2, Effect.NON_IDEMPOTENT, False)):
            old, new = Host(SETTINGS, workers=3), Host(SETTINGS, seed=2, workers=3)
            job = old.job(lane)
            passed = old.dispatcher.attempt_snapshots(job)
            assert passed is not None
            assert len(passed) == 1
            n = {w.id: w.payoff.count for w in old.dispatcher.state.servers.by_id.values()}
            old.give(RequestHandedOver(job))
            assert [w.load.own_slots for w in old.dispatcher.state.servers.by_id.values()] == [0, 0, 0]
            assert {w.id: w.payoff.count for w in old.dispatcher.state.servers.by_id.values()} == n
            old.until(old.now + 9000)
            assert not old.answered
            arrived = RequestArrived(7, lane, new.now + 4000)
            out = new.dispatcher.handle(new.now, RequestAdopted(arrived, new.now - 100, passed))
            assert not [action for action in out if isinstance(action, StartAttempt)]
            assert new.dispatcher.state.servers.by_id[passed[0].server].load.own_slots == 1
            ended = AttemptEnded(7, 0, passed[0].server, Outcome.RESET, 100.0, False)
            out = new.dispatcher.handle(new.now, ended)
            assert any(isinstance(action, StartAttempt) for action in out) == again, effect

    def test_job_without_an_attempt_is_placed(self) -> None:
        new = Host(SETTINGS, workers=3)
        out = new.dispatcher.handle(new.now, RequestAdopted(RequestArrived(7, 2, new.now + 4000), new.now - 100, ()))
        assert [action for action in out if isinstance(action, StartAttempt | Reject)]

    def test_request_comes_out_as_it_went_in(self) -> None:
        request = HttpRequest()
        request.method, request.target, request.body = b"POST", b"/x?a=%ff\xfe", bytes(range(256))
        request.headers, request.request_id, request.class_index = {b"x-txn": b"t", b"x-labels": b"\xe4=1"}, "t", 2
        request.workload, request.keep_alive = Workload(slots=2.0, retry=True), False
        other = read_request(json.loads(json.dumps(write_request(request))))
        for name in ("method", "target", "body", "headers", "request_id", "class_index", "workload", "keep_alive"):
            assert getattr(other, name) == getattr(request, name)


class Transport:
    """Takes all, and never closes."""

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


class TornAnswers(unittest.TestCase):
    LINES = (
        b'{"id":"t","state":"started"}\n',
        b'{"id":"t","state":"running","share":0.5}\n',
        b'{"id":"t","state":"done","result":"ok"}\n',
    )

    def connection(self) -> tuple[Core, list[bytes], ServerConnection, Any]:
        now, answers = [1e12], list[bytes]()

        class Front:
            def send(self, relay: Any) -> None:
                relays.append(relay)

            def cancel(self, relay: Any) -> None:
                pass

            def client_waits(self, message: Any) -> bool:
                return True

            def answer(self, message: Any, final: Any, body: bytes, come_back: float) -> None:
                answers.append(final.value.encode() + b" " + body)

        relays: list[Any] = []
        deadlines = Deadlines(lambda: now[0])
        lane = RequestClass(latency_objective=200, deadline=5000, effect=Effect.IDEMPOTENT)
        core = Core(with_settings(classes=(lane,)), 1, cast(Any, Front()), deadlines)
        pool = ConnectionPool(
            deadlines, lambda *a, **k: None, lambda: None, conn_idle=4000, dial_timeout=250, max_connections=9
        )
        pool.core = core
        core.update_servers(ListKind.FULL, [ListedServer("h", "127.0.0.1:9")])
        request = HttpRequest()
        request.method, request.target, request.request_id, request.class_index = b"POST", b"/x", "t", 0
        core.accept(request, 0, 4000.0, request_id="t")
        connection = ServerConnection(pool, relays[0].server, "127.0.0.1:9")
        connection.handle = pool.connections.add(connection)
        connection.transport = cast(Any, Transport())
        return core, answers, connection, relays[0]

    def test_wherever_it_is_read_on_the_answer_is_the_same(self) -> None:
        """Guards against a line or a chunk torn between two processes, which would end the relay as an error."""
        first_line, *others = self.LINES
        for pieces in (self.LINES, (first_line[:9], first_line[9:], *others)):
            body = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
            data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body + b"0\r\n\r\n"
            passed = []
            for cut in range(len(data)):
                _, answers, first, relay = self.connection()
                first.write(relay)
                if cut:
                    first.data_received(data[:cut])
                if not first.can_hand_over():
                    continue
                passed.append(cut)
                _, answers, second, relay = self.connection()
                second.resume(relay, cut > 0, False)
                second.data_received(data[cut:])
                assert answers == [b"served ok"], cut
            head = data.index(b"\r\n\r\n") + 4
            assert passed[:2] == [0, head]
            assert len(passed) == 4  # before it, after the head, and after two lines; with the third it ends


class Parted(unittest.IsolatedAsyncioTestCase):
    async def test_what_a_partner_passed_on_before_it_ended_is_not_lost(self) -> None:
        """A process that ends with news unread resets the socket, and the reset is told before what it has sent."""
        for sends in (False, True):
            ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            ours.setblocking(False)
            got: list[tuple[dict[str, Any], int]] = []
            ended = asyncio.get_running_loop().create_future()

            def told(_: PeerProcess, message: dict[str, Any], fds: list[int], got: Any = got) -> None:
                got.append((message, len(fds)))
                for fd in fds:
                    os.close(fd)

            partner = PeerProcess(ours, told, lambda _, why, ended=ended: ended.set_result(why))  # type: ignore[misc]
            partner.send({"news": 1})
            for number in range(3):
                socket.send_fds(theirs, [b'.{"n":%d}' % number], [theirs.fileno()])
            theirs.close()
            if sends:
                partner.send({"news": 2})
            assert await asyncio.wait_for(ended, 10) == "closed"
            assert got == [({"n": number}, 1) for number in range(3)]


class Peering(unittest.TestCase):
    def test_counts_of_the_process_before_are_its_own(self) -> None:
        """What it tells counts as told by ourselves, for no peer has our position."""
        new = Host(SETTINGS, workers=2)
        new.dispatcher.state.peer_load.set_counts(0, {1: 3}, new.dispatcher.state.servers.by_id, new.now)
        assert new.dispatcher.state.servers.by_id[1].load.peer_slots == 3
        content = new.dispatcher.state.peer_load.STAMP.pack(b"c", new.now) + new.dispatcher.state.peer_load.PAIR.pack(
            1, 1
        )
        new.give(PeerMessage(0, content))
        assert new.dispatcher.state.servers.by_id[1].load.peer_slots == 1

    def test_attempt_at_a_worker_that_is_listed_no_more(self) -> None:
        new = Host(SETTINGS, workers=2)
        new.listed(ListKind.CHANGES, (ServerEntry(9), *entries(2)))
        passed = (AttemptSnapshot(9, new.now, True, True, True, new.now),)
        new.dispatcher.handle(new.now, RequestAdopted(RequestArrived(7, 0, new.now + 4000), new.now, passed))
        assert new.dispatcher.state.servers.by_id[9].load.own_attempts == 1
