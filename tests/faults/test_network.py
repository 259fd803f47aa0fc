"""Each fault of a relay does what it says: against a plain echo, without the program.  No speed is asserted."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from heronlug.faults.network import RESET_ON_CLOSE, FaultyNetwork, NetworkPath

SHORT = 0.3  # s within which nothing may come


class Echo:
    """Sends back what it gets."""

    def __init__(self) -> None:
        self.taken = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.taken += 1
        while data := await reader.read(4096):
            writer.write(data)
        writer.close()


async def say(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes) -> bytes:
    writer.write(data)
    return await asyncio.wait_for(reader.readexactly(len(data)), 10)


def play(steps: Callable[[NetworkPath, str, Echo], Awaitable[None]]) -> None:
    async def run() -> None:
        echo, paths = Echo(), FaultyNetwork(1)
        server = await asyncio.start_server(echo.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        address = paths.proxy_connections("a", "b", lambda: f"127.0.0.1:{port}")
        try:
            await steps(paths.path_between("a", "b"), address, echo)
        finally:
            paths.close()
            server.close()

    asyncio.run(run())


def dial(address: str) -> Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    return asyncio.open_connection("127.0.0.1", int(address.rsplit(":", 1)[1]))


def test_a_cut_holds_bytes_both_ways_and_gives_them_when_it_is_over() -> None:
    async def steps(path: NetworkPath, address: str, echo: Echo) -> None:
        reader, writer = await dial(address)
        assert await say(reader, writer, b"one") == b"one"
        path.forward.held = path.backward.held = True
        path.apply_faults()
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(3), SHORT)
        with pytest.raises(TimeoutError):  # a dial through a cut neither comes up nor is refused
            await asyncio.wait_for(asyncio.shield(asyncio.ensure_future(dial(address))), SHORT)
        path.forward.held = path.backward.held = False
        path.apply_faults()
        assert await asyncio.wait_for(reader.readexactly(3), 10) == b"two"
        assert echo.taken == 1
        new, newer = await asyncio.wait_for(dial(address), 10)
        assert await say(new, newer, b"three") == b"three"

    play(steps)


def test_a_cut_one_way_lets_requests_through_and_holds_answers() -> None:
    async def steps(path: NetworkPath, address: str, echo: Echo) -> None:
        reader, writer = await dial(address)
        await say(reader, writer, b"x")
        path.backward.held = True
        path.apply_faults()
        writer.write(b"one")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(3), SHORT)
        (link,) = path.connections
        assert [data for _, data in link.target_end.pending] == [b"one"]  # the echo has answered

    play(steps)


def test_refused_dials_and_resets() -> None:
    async def steps(path: NetworkPath, address: str, echo: Echo) -> None:
        reader, writer = await dial(address)
        await say(reader, writer, b"x")
        path.refusing = True
        path.apply_faults()
        with pytest.raises(ConnectionRefusedError):
            await dial(address)
        assert await say(reader, writer, b"y") == b"y"  # what is open stays
        for link in list(path.connections):
            link.reset()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(reader.readexactly(1), 10)
        path.refusing = False
        path.apply_faults()
        assert await say(*await dial(address), b"z") == b"z"

    play(steps)


def test_half_of_an_answer_then_a_reset_and_a_trickle_brings_all() -> None:
    async def steps(path: NetworkPath, address: str, echo: Echo) -> None:
        path.backward.reset_after_bytes = 4
        reader, writer = await dial(address)
        writer.write(b"12345678")
        assert await asyncio.wait_for(reader.readexactly(4), 10) == b"1234"
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(reader.readexactly(1), 10)
        path.backward.reset_after_bytes, path.backward.bytes_per_second = 0, 40
        began = asyncio.get_running_loop().time()
        assert await say(*await dial(address), b"12345678") == b"12345678"
        assert asyncio.get_running_loop().time() - began > 0.1  # never sooner

    play(steps)


def test_a_path_that_is_silent_takes_dials_and_gives_nothing() -> None:
    async def steps(path: NetworkPath, address: str, echo: Echo) -> None:
        path.silent = path.forward.held = path.backward.held = True
        path.apply_faults()
        reader, writer = await asyncio.wait_for(dial(address), 10)
        writer.write(b"x")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), SHORT)

    play(steps)


def test_a_target_that_is_gone_refuses_and_a_closed_one_ends_the_link() -> None:
    async def steps(path: NetworkPath, address: str, echo: Echo) -> None:
        reader, writer = await dial(address)
        await say(reader, writer, b"x")
        writer.write_eof()
        assert await asyncio.wait_for(reader.read(), 10) == b""  # the echo closes, and so is this closed
        path.target_gone = True
        path.apply_faults()
        with pytest.raises(ConnectionRefusedError):
            await dial(address)

    play(steps)


def test_datagrams_come_from_the_relay_of_their_sender_and_are_lost_one_way() -> None:
    async def run() -> None:
        socks = [socket.socket(type=socket.SOCK_DGRAM) for _ in "ab"]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
        real = dict(zip("ab", (sock.getsockname()[1] for sock in socks), strict=True))
        paths, loop = FaultyNetwork(1), asyncio.get_running_loop()
        seen = await paths.proxy_datagrams(real)
        await loop.sock_sendto(socks[0], b"to b", ("127.0.0.1", seen["b"]))
        data, sender = await asyncio.wait_for(loop.sock_recvfrom(socks[1], 100), 10)
        assert (data, sender[1]) == (b"to b", seen["a"])
        paths.path_between("a", "b").forward.held = True
        await loop.sock_sendto(socks[0], b"lost", ("127.0.0.1", seen["b"]))
        await loop.sock_sendto(socks[1], b"to a", ("127.0.0.1", seen["a"]))
        data, sender = await asyncio.wait_for(loop.sock_recvfrom(socks[0], 100), 10)
        assert (data, sender[1]) == (b"to a", seen["b"])
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(loop.sock_recvfrom(socks[1], 100), SHORT)
        paths.close()
        for sock in socks:
            sock.close()

    asyncio.run(run())


def test_an_end_that_comes_to_a_connection_just_reset_is_no_fault_of_the_rig() -> None:
    async def run() -> None:
        paths, target = FaultyNetwork(1), socket.create_server(("127.0.0.1", 0))
        port = target.getsockname()[1]
        _, writer = await dial(paths.proxy_connections("a", "b", lambda: f"127.0.0.1:{port}"))
        path = paths.path_between("a", "b")
        async with asyncio.timeout(10):
            while not path.connections:
                await asyncio.sleep(0)
            path.forward.held = True
            writer.write_eof()
            (link,) = path.connections
            while not link.source_end.ended:
                await asyncio.sleep(0)
        there, _ = target.accept()
        there.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        there.close()  # its reset lies unread while the end goes on
        path.forward.held = False
        path.apply_faults()
        target.close()
        paths.close()
        writer.close()

    asyncio.run(run())
