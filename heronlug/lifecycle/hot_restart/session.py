"""Runs the protocol of a hot restart between a process, its predecessor and its successor.

The new process requests the state and announces when it accepts clients. From then on the old process hands its client
connections over. If the connection between the two processes fails, each process continues on its own.
"""

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from heronlug.lifecycle.hot_restart import channel, messages
from heronlug.lifecycle.hot_restart.channel import PeerProcess, ReceivedMessage
from heronlug.lifecycle.hot_restart.errors import UnexpectedMessageError
from heronlug.lifecycle.hot_restart.messages import Feature, Message, MessageKind, RequestUpdate
from heronlug.lifecycle.hot_restart.shared_limits import Room
from heronlug.requests.deadlines import Deadlines

STATE_TIMEOUT_MS = 1000.0
"""Time for which a new process waits for the state of the old process, in ms."""
GOODBYE_TIMEOUT_MS = 1000.0
"""Time for which an old process waits until the new process has read all handed-over messages, in ms."""
HANGING = "silent"
"""Reason for the end of the connection to a process that does not answer."""
MAX_JOINING = 2
"""Maximum number of connected processes that do not accept clients yet."""


class HandoverHandler(Protocol):
    """Callbacks of a session for the messages and the end of another process."""

    def clock_offset_ns(self) -> int:
        """Returns the difference of the clock of this process to the monotonic clock, in ns."""

    def state(self) -> tuple[Message, list[int]]:
        """Returns the state message for a new process and the descriptors of the sockets that accompany the message."""

    def past_requests(self) -> list[Message]:
        """Returns the updates with the requests that may have run, for a new process."""

    def successor_serves(self) -> None:
        """Pauses the listener and closes the peer socket, since the successor now uses both sockets."""

    def successor_lost(self, third_process_serves: bool) -> None:
        """Accepts clients again after the successor has ended, unless its own successor accepts them."""

    def predecessor_ended(self) -> None:
        """Restores the full limits of this process after the predecessor has ended."""

    def receive_request_update(self, update: RequestUpdate) -> None:
        """Applies a request update."""

    def receive_room(self, room: Room) -> None:
        """Raises the limits of this process by room that the predecessor has given."""

    def receive_handover(self, received: ReceivedMessage) -> None:
        """Adopts a client connection or a request, or confirms that this process can do so."""

    def receive_confirmation(self, message: Message) -> None:
        """Handles a confirmation of a handover, in either direction."""


class HotRestart:
    """The connections of a process to its predecessor and its successor.

    Attributes:
        predecessor: The process from which this process takes over; None if there is none.
        successor: The process that has taken over from this process; None if there is none.
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
        """Creates a session of dispatcher ``name`` on the Unix socket ``path``; an empty path disables hot restarts."""
        self._handler = handler
        self._name = name
        self._path = path
        self._deadlines = deadlines
        self._log = log
        self._turn = turn
        self._listening_socket: socket.socket | None = None
        self._received_state: asyncio.Future[ReceivedMessage | None] | None = None
        self._goodbye_done: asyncio.Future[None] | None = None
        self._joining: set[PeerProcess] = set()  # connected, but not accepting clients yet
        self.predecessor: PeerProcess | None = None
        self.successor: PeerProcess | None = None

    # -- the new process

    async def join(self) -> ReceivedMessage | None:
        """Requests and returns the state and sockets of the running process; None without a process or an answer."""
        sock = channel.connect(self._path) if self._path else None
        if sock is None:
            return None
        self._received_state = asyncio.get_running_loop().create_future()
        self.predecessor = PeerProcess(sock, self._receive, self._handle_disconnect)
        self.predecessor.send(messages.features())
        self.predecessor.send(messages.hello(self._name))
        timeout = self._deadlines.call_after(STATE_TIMEOUT_MS, self._abandon, self.predecessor)
        self._turn()
        state = await self._received_state
        self._deadlines.cancel(timeout)
        return state

    def abandon_predecessor(self) -> None:
        """Disconnects from the predecessor, whose state cannot be used."""
        if self.predecessor is not None:
            self.predecessor.close()
            self.predecessor = None

    def predecessor_has(self, feature: Feature) -> bool:
        """Returns whether there is a predecessor with this feature."""
        return self.predecessor is not None and feature in self.predecessor.features

    def send_to_predecessor(self, message: Message) -> None:
        """Sends a message to the predecessor, if there is one."""
        if self.predecessor is not None:
            self.predecessor.send(message)

    def announce_serving(self) -> None:
        """Notifies the predecessor that this process accepts clients."""
        if self.predecessor is not None:
            self.predecessor.send(messages.serving())

    def listen(self) -> None:
        """Starts to listen for a new process; a failure is logged."""
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
        """Returns whether a successor accepts clients in place of this process."""
        return self.successor is not None

    def successor_has(self, feature: Feature) -> bool:
        """Returns whether there is a successor with this feature."""
        return self.successor is not None and feature in self.successor.features

    def send_to_successor(self, message: Message, fds: list[int] | None = None) -> None:
        """Sends a message to the successor, if there is one.

        Raises:
            OSError: if no descriptor is free for the copies that are sent; then nothing is sent.
        """
        if self.successor is not None:
            self.successor.send(message, fds)

    def abandon_successor(self) -> None:
        """Disconnects from the successor, which does not answer."""
        if self.successor is not None:
            self._abandon(self.successor)

    async def say_goodbye(self) -> None:
        """Waits until the successor has read all messages, since unread messages could be lost at the exit."""
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

    # -- new and old process

    @property
    def has_connected_process(self) -> bool:
        """Returns whether another process of this dispatcher is connected."""
        return bool(self._connected_processes())

    def send_request_update(self, message: Message) -> None:
        """Sends an update on the requests of this process to every connected process."""
        for process in self._connected_processes():
            process.send(message)

    def close(self) -> None:
        """Closes all connections; the socket file stays, since the file may already belong to another process."""
        self._stop_listening()
        for process in self._connected_processes():
            process.close()

    def _connected_processes(self) -> list[PeerProcess]:
        return [process for process in (self.predecessor, self.successor, *self._joining) if process is not None]

    def _another_process_listens(self) -> bool:
        """Returns whether another process of this dispatcher waits for a successor, and so accepts clients."""
        sock = channel.connect(self._path)
        if sock is not None:
            sock.close()
        return sock is not None

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

    def _receive(self, process: PeerProcess, received: ReceivedMessage) -> None:
        """Handles a message; an exception for a malformed or unexpected message ends the connection."""
        message = received.message
        kind = message["kind"]
        if kind == MessageKind.REQUEST_UPDATE:
            self._receive_request_update(process, RequestUpdate.decode(message))
        elif process is self.predecessor:
            self._receive_from_predecessor(process, kind, received)
        elif process in self._joining:
            self._receive_from_joining(process, kind, message)
        elif kind in (MessageKind.ACCEPTED, MessageKind.DECLINED):
            self._handler.receive_confirmation(message)
        else:
            msg = f"message kind {kind!r} is not accepted from the successor"
            raise UnexpectedMessageError(msg)
        self._turn()

    def _receive_request_update(self, process: PeerProcess, update: RequestUpdate) -> None:
        if update.features:
            process.features, process.clock_offset_ns = update.features, update.clock_offset_ns
            if process in self._joining:
                process.send(messages.features(self._handler.clock_offset_ns()))
        self._handler.receive_request_update(update)

    def _receive_from_predecessor(self, process: PeerProcess, kind: object, received: ReceivedMessage) -> None:
        """Handles a message of the old process."""
        message = received.message
        if kind == MessageKind.STATE and self._received_state is not None and not self._received_state.done():
            self._received_state.set_result(ReceivedMessage(message, received.take_fds()))
        elif kind in (MessageKind.CLIENT, MessageKind.REQUEST):
            self._handler.receive_handover(received)
        elif kind in (MessageKind.COMMITTED, MessageKind.WITHDRAWN):
            self._handler.receive_confirmation(message)
        elif kind == MessageKind.ROOM:
            self._handler.receive_room(messages.read_room(message))
        elif kind == MessageKind.GOODBYE:
            process.close()
            self._handle_disconnect(process, "parted")
        else:
            msg = f"message kind {kind!r} is not accepted from the predecessor"
            raise UnexpectedMessageError(msg)

    def _receive_from_joining(self, process: PeerProcess, kind: object, message: Message) -> None:
        """Handles a message of a new process that does not accept clients yet."""
        if kind == MessageKind.HELLO:
            messages.check_hello(message, self._name)
            state, sockets = self._handler.state()
            process.send(state, sockets)
            for update in self._handler.past_requests():
                process.send(update)
        elif kind == MessageKind.SERVING and self.successor is None:
            self._joining.discard(process)
            self.successor = process
            self._log("handed_over")
            self._handler.successor_serves()
        else:
            msg = f"message kind {kind!r} is not accepted from a starting process"
            raise UnexpectedMessageError(msg)

    def _handle_disconnect(self, process: PeerProcess, reason: str) -> None:
        """Handles the end of the connection to a process."""
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
            self._handler.successor_lost(reason != HANGING and self._another_process_listens())
        self._turn()

    def _abandon(self, process: PeerProcess) -> None:
        """Disconnects from a process that does not answer."""
        process.close()
        self._handle_disconnect(process, HANGING)
