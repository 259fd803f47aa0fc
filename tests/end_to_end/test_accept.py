"""Tests that a connection stays queued while ``accept`` fails and is served afterwards.

Guards against the server class of the event loop: after ENFILE or EMFILE, that class accepts the connection with a
spare descriptor and closes it, so the client cannot tell whether its request ran.
"""

import os
import resource
import socket
from pathlib import Path

from end_to_end.harness import DispatcherHarness, done, request_bytes, request_id_of, run_async, until
from end_to_end.process import DispatcherProcess
from heronlug.frontends.http.client_state import ClientState
from heronlug.frontends.http.request import HttpRequest
from heronlug.standins.ports import free_port


class DescriptorShortage:
    """Keeps a process from opening further descriptors until :meth:`end` restores its limits."""

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self._original_limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        used_descriptors = {int(name) for name in os.listdir(f"/proc/{pid}/fd")}
        first_free = next(number for number in range(len(used_descriptors) + 1) if number not in used_descriptors)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (first_free, self._original_limits[1]))

    def end(self) -> None:
        resource.prlimit(self._pid, resource.RLIMIT_NOFILE, self._original_limits)


def test_connection_that_cannot_be_accepted_is_accepted_later(tmp_path: Path) -> None:
    """Guards, for each listener, against closing a connection that arrives while no descriptor is free.

    With half of the ``accept`` calls failing, the server class of the event loop closed 73 of 231 requests unread; with
    other errors, which leave connections queued, none.
    """

    async def test(listener: str) -> None:
        folder = tmp_path / listener
        folder.mkdir()
        harness = DispatcherHarness(1)
        program = DispatcherProcess(folder, harness)
        faktory = f"127.0.0.1:{free_port()}"
        (folder / "state.toml").write_text(f'log_level = "info"\n[faktory]\nlisten = "{faktory}"\n')
        program.environ["HERONLUG_STATE"] = str(folder / "state.toml")
        address, sent, expected = {
            "operators": (program.admin_address, b"GET /stats HTTP/1.1\r\nHost: x\r\n\r\n", b"HTTP/1.1 200 "),
            "faktory": (faktory, b"", b"+HI "),
        }.get(listener, (harness.listen, request_bytes("t1", "once", 4000), b"HTTP/1.1 200 "))
        inherited = None
        if listener == "inherited":
            host, port = harness.listen.split(":")
            inherited = socket.create_server((host, int(port)))
            program.inherited_descriptors = (inherited.fileno(),)
            program.environ["RELAY_INHERITED_FD"] = str(inherited.fileno())
        async with program.open():
            await program.confirmed()
            first_client = await program.dial()
            first_client.send(request_bytes("t0", "safe", 4000))
            server_connection, _ = await harness.servers["h1"].request()
            server_connection.send(done("t0"))
            await until(lambda: first_client.received.endswith(b"ok"), "the answer to the first request")
            shortage = DescriptorShortage(program.process.pid)
            client = await program.dial(address)
            client.send(sent)
            await until(
                lambda: client.ended or bool(program.logged("accept_failed")),
                "an accept_failed event or the end of the client connection",
            )
            assert not client.ended
            assert program.logged("accept_failed")[0]["listener"] == listener.replace("inherited", "clients")
            shortage.end()
            if address == harness.listen:
                server_connection, request = await harness.servers["h1"].request()
                server_connection.send(done(request_id_of(request)))
            await until(lambda: client.received.startswith(expected), "the answer after the descriptor shortage")
            metric = f'svc_accept_failures{{listener="{listener.replace("inherited", "clients")}"}}'
            assert await program.metric(metric) >= 1
        if inherited is not None:
            inherited.close()

    for listener in ("clients", "inherited", "operators", "faktory"):
        run_async(lambda listener=listener: test(listener))  # type: ignore[misc]


def test_connections_that_are_being_adopted_count_against_the_limit() -> None:
    """Guards against new clients accepted in the place of connections that another process has just handed over."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            frontend = harness.application.frontend
            frontend.max_connections = 1
            adopted, peer = socket.socketpair()
            frontend.adopt(adopted, ClientState(served=True))
            assert not frontend.has_room(opening=0)
            peer.close()
            await harness.settle()
            assert frontend.has_room(opening=0)

    run_async(test)


def test_adopted_connection_knows_what_is_left_to_answer_before_its_first_answer() -> None:
    """Guards against a connection that is closed after an answer although another process has read more from it."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            unanswered: list[bool] = []
            for state in (ClientState(True, queued=(HttpRequest(),)), ClientState(True, partial_request=b"POST /sa")):
                adopted, peer = socket.socketpair()
                harness.application.frontend.adopt(
                    adopted, state, lambda connection: unanswered.append(connection.has_unanswered_input)
                )
                await harness.settle()
                peer.close()
            assert unanswered == [True, True]

    run_async(test)
