"""Tests that a restarted dispatcher with an old cached list sends nothing to servers that left while it was down.

Guards against treating a cached list of any age as usable for 6 s and the grace from the process start. Dispatchers
were killed, servers left 2 s later, and the dispatchers restarted 16 s after that.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

from end_to_end.harness import (
    TIMEOUT_S,
    DispatcherHarness,
    StandIn,
    StandInConnection,
    done,
    request_bytes,
    request_id_of,
    run_async,
    until,
)
from end_to_end.process import DispatcherProcess
from heronlug.standins.ports import free_port

# In one day with full logs, three requests arrived between a restart and the first answer of discovery, and three
# requests went to removed servers, 9 to 11 s after these had left. Each went out at least 6 s after a change that only
# restarted dispatchers had missed. Discovery answered all dispatchers within a second of their start.

CLASS_NAMES = ("safe", "once", "keyed")
REMOVED_SERVERS = ("h1", "h2", "h3")
REMAINING_SERVERS = ("h4", "h5", "h6")
REJECTED_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class RestartedDispatcher:
    """A process that starts with a list of six servers, and the clients that send it requests."""

    def __init__(self, folder: Path, **config: str) -> None:
        self.harness = DispatcherHarness(6)
        self.program = DispatcherProcess(folder, self.harness, **config)
        self.clients: list[StandInConnection] = []

    async def run_async(self, test: Callable[["RestartedDispatcher"], Awaitable[None]]) -> None:
        async with self.program.open():
            await self.program.started()
            await test(self)

    async def requests(self, count: int) -> None:
        """Connects further clients, each of which sends one request; the effects alternate."""
        for number in range(len(self.clients), len(self.clients) + count):
            client = await self.program.dial()
            client.send(request_bytes(f"t{number}", CLASS_NAMES[number % len(CLASS_NAMES)], 4000))
            self.clients.append(client)

    def servers_with_requests(self, names: tuple[str, ...]) -> list[StandIn]:
        """Returns which of these servers have received a request."""
        return [self.harness.servers[name] for name in names if self.harness.servers[name].requests]

    async def wait_until_placed(self) -> None:
        """Waits until each request has arrived at a server or is queued, by the metrics of the program."""
        placed_count = waiting_count = 0
        for _ in range(int(TIMEOUT_S * 100)):
            placed_count = sum(server.requests for server in self.harness.servers.values())
            waiting_count = await self.program.metric("svc_waiting")
            if placed_count + waiting_count >= len(self.clients):
                return
            await asyncio.sleep(0.01)
        msg = f"not all requests were received or queued: {placed_count} received, {waiting_count} queued"
        raise AssertionError(msg)

    async def expect_served(self, names: tuple[str, ...]) -> None:
        """Checks that all requests arrive at these servers and are answered."""
        for _ in self.clients:
            await until(lambda: bool(self.servers_with_requests(names)), "a request at a server")
            server_connection, request = await self.servers_with_requests(names)[0].request()
            server_connection.send(done(request_id_of(request)))
        await until(lambda: all(client.received.endswith(b"ok") for client in self.clients), "all answers")


def test_servers_that_left_while_the_process_was_down_get_no_request(tmp_path: Path) -> None:
    """Guards against sending requests by the cached list before the first answer of discovery.

    The servers left over 8.5 s ago, so the change counts as notified and its grace has ended, whether or not the
    notification arrived. Discovery is reachable: it rejects the first poll, and answers the second one late.
    """

    async def test(restarted: RestartedDispatcher) -> None:
        harness = restarted.harness
        first_poll, _ = await harness.discovery.request()
        await restarted.requests(6)
        await restarted.wait_until_placed()
        first_poll.send(REJECTED_RESPONSE)
        second_poll, _ = await harness.discovery.request()
        await restarted.requests(6)
        await restarted.wait_until_placed()
        assert not restarted.servers_with_requests(REMOVED_SERVERS)
        second_poll.send(harness.list_response(5, *(f"{name}:left" for name in REMOVED_SERVERS)))
        await restarted.expect_served(REMAINING_SERVERS)
        assert not restarted.servers_with_requests(REMOVED_SERVERS)

    run_async(lambda: RestartedDispatcher(tmp_path).run_async(test))


def test_start_without_discovery_uses_the_cached_list(tmp_path: Path) -> None:
    """Guards against an outage of the dispatcher while discovery is down.

    No change counts as notified while discovery is down, so the cached list may be used.
    """

    async def test(restarted: RestartedDispatcher) -> None:
        await restarted.requests(6)
        await restarted.expect_served(REMOVED_SERVERS + REMAINING_SERVERS)

    unused_address = f"127.0.0.1:{free_port()}"
    run_async(lambda: RestartedDispatcher(tmp_path, discovery=unused_address).run_async(test))


def test_start_during_a_network_partition_uses_the_cached_list(tmp_path: Path) -> None:
    """Guards against an outage of the dispatcher when a partition hides discovery and no connection is refused."""

    async def test(restarted: RestartedDispatcher) -> None:
        await restarted.requests(6)
        await restarted.expect_served(REMOVED_SERVERS + REMAINING_SERVERS)

    with socket.create_server(("127.0.0.1", 0), backlog=0) as full_listener:
        address = full_listener.getsockname()
        pending_sockets = [socket.socket() for _ in range(3)]
        for sock in pending_sockets:  # fills the accept queue, so that the kernel answers no further connection request
            sock.setblocking(False)
            sock.connect_ex(address)
        run_async(lambda: RestartedDispatcher(tmp_path, discovery=f"127.0.0.1:{address[1]}").run_async(test))
        for sock in pending_sockets:
            sock.close()
