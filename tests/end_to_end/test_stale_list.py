"""A dispatcher that comes back with the list that it held long ago sends nothing to servers that left meanwhile.

What users saw: some requests went to servers 9 to 11 s after these had left.  Order of events: dispatchers were killed;
2 s later servers left, and discovery told everybody that ran; 16 s after that the dispatchers were started with the
list of before; discovery was asked by all of them at once and answered each within a second; what clients sent in that
second went by the old list.  Cause: a list that a process was given was held to be good for 6 s and the grace from the
start of the process, however old it was.

Evidence: each break came 6 s and more after a change that the dispatcher had not been written, which only those that
had been away had not; in a day with all logs, just three requests were taken by any of those between its start and its
first answer, and there were three breaks.
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

CLASS_NAMES = ("safe", "once", "keyed")
REMOVED_SERVERS = ("h1", "h2", "h3")
REMAINING_SERVERS = ("h4", "h5", "h6")
REJECTED_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class RestartedDispatcher:
    """A process that is given a list of six servers, and the requests of its clients."""

    def __init__(self, folder: Path, **config: str) -> None:
        self.harness = DispatcherHarness(6)
        self.program = DispatcherProcess(folder, self.harness, **config)
        self.clients: list[StandInConnection] = []

    async def run_async(self, test: Callable[["RestartedDispatcher"], Awaitable[None]]) -> None:
        async with self.program.open():
            await self.program.started()
            await test(self)

    async def requests(self, count: int) -> None:
        """So many clients more hand in a request each, of all effects in turn."""
        for number in range(len(self.clients), len(self.clients) + count):
            client = await self.program.dial()
            client.send(request_bytes(f"t{number}", CLASS_NAMES[number % len(CLASS_NAMES)], 4000))
            self.clients.append(client)

    def servers_with_requests(self, names: tuple[str, ...]) -> list[StandIn]:
        """Those of these servers that a request has come to."""
        return [self.harness.servers[name] for name in names if self.harness.servers[name].requests]

    async def wait_until_placed(self) -> None:
        """Until each request is at a server, or known to wait in the program."""
        placed_count = waiting_count = 0
        for _ in range(int(TIMEOUT_S * 100)):
            placed_count = sum(server.requests for server in self.harness.servers.values())
            waiting_count = await self.program.metric("svc_waiting")
            if placed_count + waiting_count >= len(self.clients):
                return
            await asyncio.sleep(0.01)
        msg = f"never: each request placed or waiting: {placed_count} placed, {waiting_count} wait"
        raise AssertionError(msg)

    async def expect_served(self, names: tuple[str, ...]) -> None:
        """All requests come to these servers, and are answered."""
        for _ in self.clients:
            await until(lambda: bool(self.servers_with_requests(names)), "a request at a server")
            server_connection, request = await self.servers_with_requests(names)[0].request()
            server_connection.send(done(request_id_of(request)))
        await until(lambda: all(client.received.endswith(b"ok") for client in self.clients), "all answers")


def test_servers_that_left_while_the_process_was_down_get_no_request(tmp_path: Path) -> None:
    """They left over 8.5 s ago, so the change counts as notified and the grace is over, whether or not it arrived.

    Discovery is at hand all the while: it refuses the first call, and takes its time over the next.
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
    """What discovery could not tell anybody does not count yet, and the list is all that can be known."""

    async def test(restarted: RestartedDispatcher) -> None:
        await restarted.requests(6)
        await restarted.expect_served(REMOVED_SERVERS + REMAINING_SERVERS)

    unused_address = f"127.0.0.1:{free_port()}"
    run_async(lambda: RestartedDispatcher(tmp_path, discovery=unused_address).run_async(test))


def test_start_behind_a_network_partition_uses_the_cached_list(tmp_path: Path) -> None:
    """The same behind a cut: nothing says no."""

    async def test(restarted: RestartedDispatcher) -> None:
        await restarted.requests(6)
        await restarted.expect_served(REMOVED_SERVERS + REMAINING_SERVERS)

    with socket.create_server(("127.0.0.1", 0), backlog=0) as full_listener:
        address = full_listener.getsockname()
        pending_sockets = [socket.socket() for _ in range(3)]
        for sock in pending_sockets:  # its queue is full, and the system answers no further dial
            sock.setblocking(False)
            sock.connect_ex(address)
        run_async(lambda: RestartedDispatcher(tmp_path, discovery=f"127.0.0.1:{address[1]}").run_async(test))
        for sock in pending_sockets:
            sock.close()
