"""Tests that a server which sends without end is read a bounded part at a time, and holds a bounded memory."""

import pytest

from end_to_end.harness import (
    RESPONSE_HEAD,
    DispatcherHarness,
    StandInConnection,
    done,
    progress_chunk,
    request_id_of,
    run_async,
    served,
)
from heronlug.backends.connection import MAX_READ_BYTES
from heronlug.backends.response import MAX_UNFRAMED_BYTES
from heronlug.memory.holders import Holder
from heronlug.net.http import MAX_LINE, Lines


async def begun_response(harness: DispatcherHarness) -> tuple[StandInConnection, str]:
    await harness.post("first")
    server, request = await harness.servers["h1"].request()
    return server, request_id_of(request)


@pytest.mark.parametrize(
    "begin",
    [
        b"HTTP/1.1 200 OK\r\nX-Long: ",
        RESPONSE_HEAD + b"1\r\n \r\n0\r\nX-Long: ",
        RESPONSE_HEAD + b"1;extension=",
    ],
    ids=["head", "trailers", "extension"],
)
def test_head_without_end_ends_its_connection(begin: bytes) -> None:
    """Guards against memory that grows as long as a server sends the same field."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            server, _ = await begun_response(harness)
            server.send(begin)
            for _ in range(2 * MAX_UNFRAMED_BYTES // 1024):
                if not server.ended:
                    server.send(b"a" * 1024)
                await harness.turn_once()
            await harness.settle()
            assert server.ended
            (end,) = harness.logged("host_closed")
            assert end["why"] == "protocol_error"
            assert harness.application.memory.by_holder[Holder.SERVER_RESPONSES] == 0

    run_async(test)


def test_long_line_is_counted_until_it_is_complete() -> None:
    """Guards against lines of many servers that together exceed the memory of the process."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            server, request_id = await begun_response(harness)
            line = b'{"id":"%s","from":"h","state":"done","result":"%s"}\n' % (request_id.encode(), b"r" * 100_000)
            server.send(RESPONSE_HEAD + b"%x\r\n" % len(line) + line[:90_000])
            await harness.settle()
            assert harness.application.memory.by_holder[Holder.SERVER_RESPONSES] >= 90_000
            server.send(line[90_000:] + b"\r\n0\r\n\r\n")
            await harness.settle()
            assert harness.application.memory.by_holder[Holder.SERVER_RESPONSES] == 0

    run_async(test)


def test_server_at_full_speed_is_read_a_bounded_part_in_a_turn() -> None:
    """Guards against a server whose progress keeps the event loop from the clients."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client = await harness.post("first")
            server, request = await harness.servers["h1"].request()
            chunk = progress_chunk(request_id_of(request), "running")
            server.send_now(RESPONSE_HEAD + chunk * (16 * MAX_READ_BYTES // len(chunk)))
            (connection,) = harness.application.backend.connections
            received = []
            parse = connection.data_received
            connection.data_received = lambda data: (received.append(len(data)), parse(data))  # type: ignore
            await harness.turn_once()
            await harness.turn_once()
            assert 0 < sum(received) <= 2 * MAX_READ_BYTES
            server.send(done(request_id_of(request))[len(RESPONSE_HEAD) :])
            await harness.settle()
            assert served(client)

    run_async(test)


def test_line_in_very_many_parts_is_not_copied_for_each_part() -> None:
    """Guards against a long line in small parts that takes the processor for seconds."""
    lines = Lines()
    parts = 0
    while parts < MAX_LINE:
        assert lines.feed(b"a") == []
        parts += 1
    (line,) = lines.feed(b"\nrest")
    assert len(line) == MAX_LINE
    assert lines.held_bytes == len(b"rest")
    with pytest.raises(ValueError, match="longer"):
        lines.feed(b"a" * MAX_LINE)
