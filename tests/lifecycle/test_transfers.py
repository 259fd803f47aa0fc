"""Tests that exactly one of two processes continues what is handed over, whatever ends or is delayed."""

import asyncio
import os
import resource
import socket
from collections import deque
from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from heronlug.balancer.events import AttemptSnapshot
from heronlug.lifecycle.hot_restart.adopted_requests import RequestAdopter
from heronlug.lifecycle.hot_restart.channel import PeerProcess, ReceivedMessage
from heronlug.lifecycle.hot_restart.errors import HandoverError, UnexpectedMessageError
from heronlug.lifecycle.hot_restart.handed_over_requests import RequestSender, _without_unsent
from heronlug.lifecycle.hot_restart.incoming_transfers import IncomingTransfers
from heronlug.lifecycle.hot_restart.messages import MessageKind, client
from heronlug.lifecycle.hot_restart.outgoing_transfers import MIN_WINDOW, OFFER_TIMEOUT_MS, OutgoingTransfers
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.model import ListedServer


class Item:
    """An item, and the processes that continue it."""

    def __init__(self) -> None:
        self.in_old, self.in_new, self.offered = True, False, False

    def describe(self) -> dict[str, str]:
        return {}

    def release(self) -> None:
        self.in_old = False

    def reclaim(self) -> None:
        self.offered = False

    def adopt(self) -> None:
        self.in_new = True

    def close(self) -> None:
        pass


class TwoProcesses:
    """The transfers of two processes with a channel whose messages a test delivers."""

    def __init__(self) -> None:
        self.now = 0.0
        self.deadlines = Deadlines(lambda: self.now)
        self.to_new, self.to_old = deque[dict[str, Any]](), deque[dict[str, Any]]()
        self.items: dict[int, Item] = {}
        self.closing: list[Callable[[], None]] = []  # called once the loop has closed released descriptors
        self.abandoned = False
        self.window = MIN_WINDOW
        session = SimpleNamespace(
            handed_over=True,
            predecessor=None,
            successor_has=lambda feature: True,
            send_to_successor=lambda message, fds=None: self.to_new.append(message),
            abandon_successor=self._abandon,
        )
        ignore: Any = lambda *args, **fields: None  # noqa: E731
        self.old = OutgoingTransfers(
            cast(Any, session), self.deadlines, ignore, ignore, lambda: None, self.closing.append
        )
        self.new = IncomingTransfers(self._prepare, self.to_old.append, ignore, lambda: self.window)

    def _prepare(self, received: ReceivedMessage) -> Item:
        if received.message.get("unusable"):
            msg = "unusable"
            raise HandoverError(msg)
        return self.items[received.message["transfer"]]

    def _abandon(self) -> None:
        self.abandoned = True
        self.old.withdraw_all()

    def offer(self, unusable: bool = False) -> Item:
        item = Item()
        self.items[len(self.items) + 1] = item
        item.offered = True
        self.old.offer({**client(True), "unusable": unusable}, [0], item, {})
        return item

    def deliver_to_new(self) -> None:
        message = self.to_new.popleft()
        if message["kind"] == MessageKind.CLIENT:
            self.new.receive(ReceivedMessage(message, []))
        elif message["kind"] == MessageKind.COMMITTED:
            self.new.commit(message["transfer"])
        else:
            self.new.withdraw(message["transfer"])

    def deliver_to_old(self) -> None:
        message = self.to_old.popleft()
        if message["kind"] == MessageKind.ACCEPTED:
            self.old.accept(message["transfer"], message["window"])
        else:
            self.old.decline(message["transfer"], message["why"])


def test_exactly_one_process_continues_each_item_in_any_order_of_events() -> None:
    """Guards against an item that both processes continue, or that neither does, when an offer is taken back."""
    rng = Random(1)
    for _ in range(2000):
        processes = TwoProcesses()
        for _ in range(rng.randrange(1, 40)):
            step = rng.randrange(6)
            if step == 0 and not processes.old.full:
                processes.offer(unusable=rng.random() < 0.2)
            elif step in (1, 2) and processes.to_new:
                processes.deliver_to_new()
            elif step in (3, 4) and processes.to_old:
                processes.deliver_to_old()
            elif step == 5 and processes.items:
                processes.old.withdraw(rng.choice(list(processes.items)))
            assert not any(item.in_old and item.in_new for item in processes.items.values())
        if rng.random() < 0.5:  # the successor ends, or hangs, with messages unread on both sides
            processes.now += OFFER_TIMEOUT_MS
            processes.deadlines.run_due()
            processes.old.withdraw_all()
            unread_commits = {m["transfer"] for m in processes.to_new if m["kind"] == MessageKind.COMMITTED}
            for number, item in processes.items.items():
                assert item.in_old or item.in_new or number in unread_commits
        while processes.to_new or processes.to_old:
            if processes.to_new:
                processes.deliver_to_new()
            if processes.to_old:
                processes.deliver_to_old()
        for item in processes.items.values():
            assert item.in_old != item.in_new


def test_hanging_successor_is_abandoned_and_its_offers_taken_back() -> None:
    """Guards against a request that waits in the channel to a process that does not read."""
    processes = TwoProcesses()
    items = [processes.offer() for _ in range(MIN_WINDOW)]
    assert processes.old.full
    processes.now += OFFER_TIMEOUT_MS
    processes.deadlines.run_due()
    assert processes.abandoned
    assert all(item.in_old and not item.offered for item in items)


def test_window_of_the_successor_limits_the_descriptors_in_transit() -> None:
    """Guards against copies beyond the descriptors of both processes, and a handover of a few items for each answer."""
    processes = TwoProcesses()
    first = [processes.offer() for _ in range(MIN_WINDOW)]
    assert processes.old.full
    processes.window = 10
    processes.deliver_to_new()
    processes.deliver_to_old()
    assert not first[0].in_old
    processes.closing.pop()()
    for _ in range(10 - (MIN_WINDOW - 1)):
        assert not processes.old.full
        processes.offer()
    assert processes.old.full
    processes.deliver_to_new()
    processes.deliver_to_old()
    assert processes.old.full  # the descriptor is not closed yet
    processes.closing.pop()()
    assert not processes.old.full


def test_requests_are_offered_before_idle_connections() -> None:
    """Guards against requests that are still here at the kill, behind hundreds of idle connections."""
    offered: list[str] = []
    transfers: Any = SimpleNamespace(full=False, confirmed=True)
    idle = SimpleNamespace(can_hand_over=lambda unfinished: True, serving=False)
    sender = RequestSender(
        cast(Any, None),
        cast(Any, SimpleNamespace(requests=["request"])),
        cast(Any, SimpleNamespace(connections=[idle], begin_transfer=lambda: offered.append("held"))),
        cast(Any, SimpleNamespace(stopping=True, transfer_over=False)),
        transfers,
    )
    sender._offer_request = lambda request: offered.append("request")  # type: ignore[method-assign]
    sender._offer_client = lambda connection: offered.append("idle")  # type: ignore[method-assign]
    sender.hand_over()
    assert offered == ["held", "request", "idle"]


def test_request_passes_without_attempts_of_which_nothing_is_written() -> None:
    """Guards against requests that stay until the kill behind dials, or waits for a connection, of a second each."""
    sent, unsent = SimpleNamespace(is_unsent=False, can_hand_over=lambda: True), SimpleNamespace(is_unsent=True)
    snapshot = AttemptSnapshot(1, 5.0, True, True, True, 5.0)
    never_ran = snapshot._replace(in_flight=False, unstarted=False, may_have_run=False)
    server = ListedServer("h", "127.0.0.1:9")
    for exchanges, expected in (
        ([unsent], []),
        ([sent, unsent], [snapshot]),
        ([unsent, sent], [never_ran, snapshot]),
        ([sent], [snapshot]),
    ):
        attempts = [SimpleNamespace(in_flight=True, exchange=exchange) for exchange in exchanges]
        client = SimpleNamespace(can_hand_over=lambda unfinished: True)
        request: Any = SimpleNamespace(attempts=attempts, payload=SimpleNamespace(connection=client))
        sender = RequestSender(*cast(Any, [None, None, None, None, SimpleNamespace(confirmed=True)]))
        connections = sender._pausable_connections(request)
        assert connections is not None
        assert (connections.servers, connections.unsent) == (
            [each for each in exchanges if each is sent],
            [each for each in exchanges if each is unsent],
        )
        kept = _without_unsent(request, [(server, snapshot) for _ in attempts])
        assert [each for _, each in kept] == expected


def test_answers_to_offers_that_were_never_made_end_the_channel() -> None:
    """Guards against a confused process whose messages release or adopt something else."""
    processes = TwoProcesses()
    with pytest.raises(UnexpectedMessageError):
        processes.old.accept(1, 0)
    with pytest.raises(UnexpectedMessageError):
        processes.new.commit(1)


def test_offer_whose_descriptors_are_cut_off_is_declined() -> None:
    """Guards against a request that is lost, or a channel that ends, while the receiver has no free descriptor."""

    async def test() -> None:
        own_socket, other_socket = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        own_socket.setblocking(False)
        received: list[bool] = []
        answers: list[dict[str, Any]] = []
        core: Any = SimpleNamespace(deadlines=Deadlines(lambda: 0.0))
        adopter = RequestAdopter(core, *cast(Any, [None] * 4))
        transfers = IncomingTransfers(adopter.prepare, answers.append, lambda *args, **fields: None, lambda: 0)

        def on_message(_: PeerProcess, message: ReceivedMessage) -> None:
            received.append(message.fds_cut_off)
            transfers.receive(message)

        process = PeerProcess(own_socket, on_message, lambda _, why: None)
        packet = b'.{"kind":"client","served":true,"transfer":7}'
        socket.send_fds(other_socket, [packet], [other_socket.fileno()])
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        first_free = os.dup(0)
        os.close(first_free)
        resource.setrlimit(resource.RLIMIT_NOFILE, (first_free, hard))
        try:
            process._read()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        assert received == [True]
        assert [(answer["kind"], answer["transfer"]) for answer in answers] == [(MessageKind.DECLINED, 7)]
        process.close()
        other_socket.close()

    asyncio.run(test())


@pytest.mark.parametrize(
    "message",
    [
        {"kind": MessageKind.CLIENT, "served": True},
        {"kind": MessageKind.REQUEST, "request": {"method": "POST"}},
        {"kind": MessageKind.REQUEST},
    ],
)
def test_malformed_handover_is_declined_with_a_reason(message: dict[str, Any]) -> None:
    """Guards against a message cut short that ends the channel and everything that is in it."""
    answers: list[dict[str, Any]] = []
    core: Any = SimpleNamespace(settings=SimpleNamespace(classes=()), deadlines=Deadlines(lambda: 0.0))
    adopter = RequestAdopter(core, *cast(Any, [None] * 4))
    transfers = IncomingTransfers(adopter.prepare, answers.append, lambda *args, **fields: None, lambda: 0)
    transfers.receive(ReceivedMessage({**message, "transfer": 3}, []))
    assert [(answer["kind"], bool(answer["why"])) for answer in answers] == [(MessageKind.DECLINED, True)]
