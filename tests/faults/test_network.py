"""Tests each fault of the network proxies against an echo server, without the program.

A fault that the proxies do not inject would let test plans pass without testing anything. No test requires a
minimum speed.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from heronlug.faults.network import RESET_ON_CLOSE, FaultyNetwork, NetworkPath

SILENCE_S = 0.3
"""Seconds during which nothing may arrive."""


class Echo:
    """Echo server that counts its connections."""

    def __init__(self) -> None:
        self.accepted = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        while data := await reader.read(4096):
            writer.write(data)
        writer.close()


async def send_and_read_echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes) -> bytes:
    writer.write(data)
    return await asyncio.wait_for(reader.readexactly(len(data)), 10)


def run_steps(steps: Callable[[NetworkPath, str, Echo], Awaitable[None]]) -> None:
    async def run() -> None:
        echo, network = Echo(), FaultyNetwork(1)
        server = await asyncio.start_server(echo.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        address = network.proxy_connections("a", "b", lambda: f"127.0.0.1:{port}")
        try:
            await steps(network.path_between("a", "b"), address, echo)
        finally:
            network.close()
            server.close()

    asyncio.run(run())


def connect(address: str) -> Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    return asyncio.open_connection("127.0.0.1", int(address.rsplit(":", 1)[1]))


def test_cut_delays_bytes_in_both_directions_until_it_ends() -> None:
    async def steps(path: NetworkPath, address: str, echo: Echo) -> None:
        reader, writer = await connect(address)
        assert await send_and_read_echo(reader, writer, b"one") == b"one"
        path.forward.stalled = path.backward.stalled = True
        path.apply_faults()
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(3), SILENCE_S)
        with pytest.raises(TimeoutError):  # a connection through a cut is neither established nor refused
            await asyncio.wait_for(asyncio.shield(asyncio.ensure_future(connect(address))), SILENCE_S)
        path.forward.stalled = path.backward.stalled = False
        path.apply_faults()
        assert await asyncio.wait_for(reader.readexactly(3), 10) == b"two"
        assert echo.accepted == 1
        new_reader, new_writer = await asyncio.wait_for(connect(address), 10)
        assert await send_and_read_echo(new_reader, new_writer, b"three") == b"three"

    run_steps(steps)


def test_one_way_cut_passes_requests_and_delays_answers() -> None:
    async def steps(path: NetworkPath, address: str, echo: Echo) -> None:
        reader, writer = await connect(address)
        await send_and_read_echo(reader, writer, b"x")
        path.backward.stalled = True
        path.apply_faults()
        writer.write(b"one")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(3), SILENCE_S)
        (connection,) = path.connections
        assert [data for _, data in connection.target_end.pending] == [b"one"]  # the echo has answered

    run_steps(steps)


def test_refusal_spares_open_connections_and_reset_ends_them() -> None:
    async def steps(path: NetworkPath, address: str, echo: Echo) -> None:
        reader, writer = await connect(address)
        await send_and_read_echo(reader, writer, b"x")
        path.refusing = True
        path.apply_faults()
        with pytest.raises(ConnectionRefusedError):
            await connect(address)
        assert await send_and_read_echo(reader, writer, b"y") == b"y"  # open connections are not affected
        for connection in list(path.connections):
            connection.reset()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(reader.readexactly(1), 10)
        path.refusing = False
        path.apply_faults()
        assert await send_and_read_echo(*await connect(address), b"z") == b"z"

    run_steps(steps)


def test_answer_is_reset_half_way_and_trickle_delivers_all_bytes() -> None:
    async def steps(path: NetworkPath, address: str, echo: Echo) -> None:
        path.backward.reset_after_bytes = 4
        reader, writer = await connect(address)
        writer.write(b"12345678")
        assert await asyncio.wait_for(reader.readexactly(4), 10) == b"1234"
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(reader.readexactly(1), 10)
        path.backward.reset_after_bytes, path.backward.bytes_per_second = 0, 40
        started_at = asyncio.get_running_loop().time()
        assert await send_and_read_echo(*await connect(address), b"12345678") == b"12345678"
        assert asyncio.get_running_loop().time() - started_at > 0.1  # 8 bytes at 40 bytes/s cannot arrive at once

    run_steps(steps)


def test_silent_path_accepts_connections_and_delivers_nothing() -> None:
    async def steps(path: NetworkPath, address: str, echo: Echo) -> None:
        path.silent = path.forward.stalled = path.backward.stalled = True
        path.apply_faults()
        reader, writer = await asyncio.wait_for(connect(address), 10)
        writer.write(b"x")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), SILENCE_S)

    run_steps(steps)


def test_end_of_stream_closes_connection_and_stopped_target_refuses() -> None:
    async def steps(path: NetworkPath, address: str, echo: Echo) -> None:
        reader, writer = await connect(address)
        await send_and_read_echo(reader, writer, b"x")
        writer.write_eof()
        assert await asyncio.wait_for(reader.read(), 10) == b""  # the echo server closes, so the proxy closes this end
        path.target_gone = True
        path.apply_faults()
        with pytest.raises(ConnectionRefusedError):
            await connect(address)

    run_steps(steps)


def test_datagrams_come_from_senders_proxy_and_are_lost_in_one_direction() -> None:
    async def run() -> None:
        sockets = [socket.socket(type=socket.SOCK_DGRAM) for _ in "ab"]
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
        party_ports = dict(zip("ab", (sock.getsockname()[1] for sock in sockets), strict=True))
        network, loop = FaultyNetwork(1), asyncio.get_running_loop()
        proxy_ports = await network.proxy_datagrams(party_ports)
        await loop.sock_sendto(sockets[0], b"to b", ("127.0.0.1", proxy_ports["b"]))
        data, sender = await asyncio.wait_for(loop.sock_recvfrom(sockets[1], 100), 10)
        assert (data, sender[1]) == (b"to b", proxy_ports["a"])
        network.path_between("a", "b").forward.stalled = True
        await loop.sock_sendto(sockets[0], b"lost", ("127.0.0.1", proxy_ports["b"]))
        await loop.sock_sendto(sockets[1], b"to a", ("127.0.0.1", proxy_ports["a"]))
        data, sender = await asyncio.wait_for(loop.sock_recvfrom(sockets[0], 100), 10)
        assert (data, sender[1]) == (b"to a", proxy_ports["b"])
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(loop.sock_recvfrom(sockets[1], 100), SILENCE_S)
        network.close()
        for sock in sockets:
            sock.close()

    asyncio.run(run())


def test_end_of_stream_to_a_reset_target_raises_no_error() -> None:
    """Guards against an OSError in the proxy when the target resets a connection just before its end of stream."""

    async def run() -> None:
        network, target = FaultyNetwork(1), socket.create_server(("127.0.0.1", 0))
        port = target.getsockname()[1]
        _, writer = await connect(network.proxy_connections("a", "b", lambda: f"127.0.0.1:{port}"))
        path = network.path_between("a", "b")
        async with asyncio.timeout(10):
            while not path.connections:
                await asyncio.sleep(0)
            path.forward.stalled = True
            writer.write_eof()
            (connection,) = path.connections
            while not connection.source_end.ended:
                await asyncio.sleep(0)
        accepted_socket, _ = target.accept()
        accepted_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        accepted_socket.close()  # the proxy has not yet read the reset when it forwards the end of the stream
        path.forward.stalled = False
        path.apply_faults()
        target.close()
        network.close()
        writer.close()

    asyncio.run(run())
