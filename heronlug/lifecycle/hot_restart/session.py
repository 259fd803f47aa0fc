"""The conversation of a hot restart, between a process and the one before it, and the one after it.

The new process asks for the state and says when it serves; from then on the old process hands its clients over.
When the connection between them fails, each goes on by itself.
"""

import asyncio
import os
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from heronlug.lifecycle.hot_restart import channel, messages
from heronlug.lifecycle.hot_restart.channel import PeerProcess
from heronlug.lifecycle.hot_restart.errors import UnexpectedMessageError
from heronlug.lifecycle.hot_restart.messages import Message, MessageKind
from heronlug.requests.deadlines import Deadlines

STATE_TIMEOUT_MS = 1000.0
"""How long a new process waits for the state of the old one, in ms."""
GOODBYE_TIMEOUT_MS = 1000.0
"""How long an old process waits until the new one has read all that was handed over, in ms."""
MAX_JOINING = 2
"""Processes that may have asked for the state and do not serve yet."""


@dataclass
class ReceivedMessage:
    """A message, and the descriptors that came with it until somebody else owns them."""

    message: Message
    fds: list[int]

    def take_fds(self) -> list[int]:
        """Give the descriptors to a new owner."""
        fds = self.fds
        self.fds = []
        return fds

    def close(self) -> None:
        """Close the descriptors that nobody has taken."""
        for fd in self.take_fds():
            os.close(fd)


class HandoverHandler(Protocol):
    """What a session calls when the other process has sent something, or has ended."""

    def state(self) -> tuple[Message, list[int]]:
        """All that a new process needs to know, and the sockets that it can use."""

    def successor_serves(self) -> None:
        """Another process serves: accept no clients, and leave the peers to it."""

    def successor_lost(self) -> None:
        """The process that had taken over has ended: serve again."""

    def predecessor_ended(self) -> None:
        """The process before this one has ended."""

    def receive_request_update(self, message: Message) -> None:
        """The other process has accepted or finished requests; raises ``TypeError`` or ``ValueError``."""

    def adopt_client(self, fd: int, served: bool) -> None:
        """Go on with a client's connection."""

    def adopt_request(self, message: Message, fds: list[int]) -> None:
        """Go on with a request in progress; owns the descriptors."""


class HotRestart:
    """The connections of a process with its predecessor and its successor.

    Attributes:
        predecessor: the process that this one takes over from; None where there is none.
        successor: the process that has taken over from this one; None where there is none.
    """

    def __init__(
        self,
        handler: HandoverHandler,
        name: str,
        path: str,
        deadlines: Deadlines,
        log: Callable[..., None],
        turn: Callable[[], None],
    ) -> None:
        """Make a session of the dispatcher ``name`` on the Unix socket ``path``; an empty path switches it off."""
        self._handler = handler
        self._name = name
        self._path = path
        self._deadlines = deadlines
        self._log = log
        self._turn = turn
        self._listening_socket: socket.socket | None = None
        self._received_state: asyncio.Future[ReceivedMessage | None] | None = None
        self._goodbye_done: asyncio.Future[None] | None = None
        self._joining: set[PeerProcess] = set()  # they have connected and do not serve yet
        self.predecessor: PeerProcess | None = None
        self.successor: PeerProcess | None = None

    # -- the new process

    async def join(self) -> ReceivedMessage | None:
        """Ask the process that runs for its state and sockets; None where there is no such process."""
        sock = channel.connect(self._path) if self._path else None
        if sock is None:
            return None
        self._received_state = asyncio.get_running_loop().create_future()
        self.predecessor = PeerProcess(sock, self._receive, self._handle_disconnect)
        self.predecessor.send(messages.hello(self._name))
        timeout = self._deadlines.call_after(STATE_TIMEOUT_MS, self._handle_state_timeout, self.predecessor)
        self._turn()
        state = await self._received_state
        self._deadlines.cancel(timeout)
        return state

    def abandon_predecessor(self) -> None:
        """Start without the process before, whose state cannot be used."""
        if self.predecessor is not None:
            self.predecessor.close()
            self.predecessor = None

    def announce_serving(self) -> None:
        """Tell the process before that this one accepts clients."""
        if self.predecessor is not None:
            self.predecessor.send(messages.serving())

    def listen(self) -> None:
        """Let the next process connect."""
        if not self._path:
            return
        self._stop_listening()
        try:
            self._listening_socket = channel.listen(self._path)
        except OSError as error:
            self._log("handover_unavailable", error=str(error))
            return
        asyncio.get_running_loop().add_reader(self._listening_socket.fileno(), self._accept, self._listening_socket)

    # -- the old process

    @property
    def handed_over(self) -> bool:
        """Whether another process serves in place of this one."""
        return self.successor is not None

    def hand_over_client(self, fd: int, served: bool) -> None:
        """Send a client's connection to the successor; ``served`` says whether it has had an answer."""
        if self.successor is not None:
            self.successor.send(messages.client(served), [fd])

    def hand_over_request(self, message: Message, fds: list[int]) -> None:
        """Send a request in progress to the successor."""
        if self.successor is not None:
            self.successor.send(message, fds)

    async def say_goodbye(self) -> None:
        """Wait until the successor has read everything, for what is unread could be lost with this process."""
        if self.successor is None:
            return
        self._goodbye_done = asyncio.get_running_loop().create_future()
        self.successor.send(messages.goodbye())
        timeout = self._deadlines.call_after(GOODBYE_TIMEOUT_MS, self._end_goodbye)
        self._turn()
        await self._goodbye_done
        self._deadlines.cancel(timeout)

    def _end_goodbye(self) -> None:
        if self._goodbye_done is not None and not self._goodbye_done.done():
            self._goodbye_done.set_result(None)

    # -- both

    def send_request_update(self, message: Message) -> None:
        """Tell every connected process about requests of this one."""
        for process in self._connected_processes():
            process.send(message)

    def close(self) -> None:
        """Close all connections. The socket's file stays: another process may have put its own there."""
        self._stop_listening()
        for process in self._connected_processes():
            process.close()

    def _connected_processes(self) -> list[PeerProcess]:
        return [process for process in (self.predecessor, self.successor, *self._joining) if process is not None]

    def _stop_listening(self) -> None:
        if self._listening_socket is not None:
            asyncio.get_running_loop().remove_reader(self._listening_socket.fileno())
            self._listening_socket.close()
            self._listening_socket = None

    def _accept(self, listening_socket: socket.socket) -> None:
        try:
            sock, _ = listening_socket.accept()
        except OSError:
            return
        sock.setblocking(False)
        if len(self._joining) >= MAX_JOINING or not channel.is_same_user(sock):
            sock.close()
        else:
            self._joining.add(PeerProcess(sock, self._receive, self._handle_disconnect))

    def _receive(self, process: PeerProcess, message: Message, fds: list[int]) -> None:
        """Handle a message; raises what is wrong with it, and then the connection ends."""
        received = ReceivedMessage(message, fds)
        try:
            kind = message["kind"]
            if kind == MessageKind.REQUEST_UPDATE:
                self._handler.receive_request_update(message)
            elif process is self.predecessor:
                self._receive_from_predecessor(process, kind, received)
            elif process in self._joining:
                self._receive_from_joining(process, kind, message)
            else:
                msg = f"{kind!r} is not expected"
                raise UnexpectedMessageError(msg)
        finally:
            received.close()
        self._turn()

    def _receive_from_predecessor(self, process: PeerProcess, kind: object, received: ReceivedMessage) -> None:
        """Handle what the old process sends."""
        message = received.message
        if kind == MessageKind.STATE and self._received_state is not None and not self._received_state.done():
            self._received_state.set_result(ReceivedMessage(message, received.take_fds()))
        elif kind == MessageKind.CLIENT and len(received.fds) == 1:
            self._handler.adopt_client(received.fds[0], message["served"] is True)
            received.take_fds()
        elif kind == MessageKind.REQUEST and received.fds:
            self._handler.adopt_request(message, received.take_fds())
        elif kind == MessageKind.GOODBYE:
            process.close()
            self._handle_disconnect(process, "parted")
        else:
            msg = f"{kind!r} is not expected from the process before"
            raise UnexpectedMessageError(msg)

    def _receive_from_joining(self, process: PeerProcess, kind: object, message: Message) -> None:
        """Handle what a new process sends."""
        if kind == MessageKind.HELLO:
            messages.check_hello(message, self._name)
            state, sockets = self._handler.state()
            process.send(state, sockets)
        elif kind == MessageKind.SERVING and self.successor is None:
            self._joining.discard(process)
            self.successor = process
            self._log("handed_over")
            self._handler.successor_serves()
        else:
            msg = f"{kind!r} is not expected from a process that starts"
            raise UnexpectedMessageError(msg)

    def _handle_disconnect(self, process: PeerProcess, reason: str) -> None:
        """The connection with a process has ended."""
        self._joining.discard(process)
        if process is self.predecessor:
            self.predecessor = None
            self._log("partner_gone", which="before", why=reason)
            if self._received_state is not None and not self._received_state.done():
                self._received_state.set_result(None)
            self._handler.predecessor_ended()
        elif process is self.successor and self._goodbye_done is not None:
            self._end_goodbye()
        elif process is self.successor:
            self.successor = None
            self._log("partner_gone", which="after", why=reason)
            self._handler.successor_lost()
        self._turn()

    def _handle_state_timeout(self, process: PeerProcess) -> None:
        process.close()
        self._handle_disconnect(process, "silent")
