"""Adopts the requests and client connections that the previous process hands over."""

import os
import socket
from collections.abc import Callable
from dataclasses import dataclass

from heronlug.backends.pool import ConnectionPool
from heronlug.frontends.http.client_state import ClientState
from heronlug.frontends.http.connection import ClientConnection
from heronlug.frontends.http.frontend import HttpFrontend
from heronlug.lifecycle.hot_restart import messages
from heronlug.lifecycle.hot_restart.channel import ReceivedMessage
from heronlug.lifecycle.hot_restart.errors import HandoverError
from heronlug.lifecycle.hot_restart.incoming_transfers import PreparedHandover
from heronlug.lifecycle.hot_restart.messages import MessageKind, ReadList, RequestHandover
from heronlug.lifecycle.hot_restart.shared_limits import Room, room_of_client, room_of_request
from heronlug.requests.core import Core
from heronlug.requests.model import Attempt, Request


class RequestAdopter:
    """Resumes the client connections and requests that the previous process has handed over."""

    def __init__(
        self,
        core: Core,
        frontend: HttpFrontend,
        backend: ConnectionPool,
        read_list: ReadList,
        receive_room: Callable[[Room], None],
    ) -> None:
        """Creates an adopter that uses these parts.

        Args:
            core: The core of the HTTP frontend.
            frontend: The HTTP frontend.
            backend: The connection pool.
            read_list: Decodes the servers of a request's attempts.
            receive_room: Called with the room that each connection or request takes along.
        """
        self._core = core
        self._frontend = frontend
        self._backend = backend
        self._read_list = read_list
        self._receive_room = receive_room

    def prepare(self, received: ReceivedMessage) -> PreparedHandover:
        """Decodes a client connection or a request in progress, and takes its descriptors.

        Raises:
            HandoverError: if the message is malformed or descriptors are missing; the descriptors are then not taken.
        """
        if received.fds_cut_off:
            msg = "descriptors are missing: this process has none free"
            raise HandoverError(msg)
        if received.message["kind"] == MessageKind.CLIENT:
            return self._prepare_client(received)
        return self._prepare_request(received)

    def _prepare_client(self, received: ReceivedMessage) -> "AdoptableClient":
        if len(received.fds) != 1:
            msg = f"expected 1 descriptor for a client connection, got {len(received.fds)}"
            raise HandoverError(msg)
        served = received.message.get("served") is True
        try:
            state = messages.read_client_state(received.message, served, self._core.deadlines.clock())
        except (KeyError, TypeError, ValueError) as error:
            msg = f"malformed client connection: {error!r}"
            raise HandoverError(msg) from error
        (client,) = _sockets(received)
        return AdoptableClient(self, client, state)

    def _prepare_request(self, received: ReceivedMessage) -> "AdoptableRequest":
        classes = self._core.settings.classes
        try:
            handover = RequestHandover.decode(received.message, len(received.fds) - 1, self._read_list, classes)
            state = messages.read_client_state(received.message, True, self._core.deadlines.clock())
        except (KeyError, TypeError, ValueError, IndexError) as error:
            msg = f"malformed request: {error!r}"
            raise HandoverError(msg) from error
        client, *servers = _sockets(received)
        return AdoptableRequest(self, handover, state, client, servers)

    def adopt_client(self, client: socket.socket, state: ClientState) -> None:
        """Adopts a client connection without a complete request."""
        self._receive_room(room_of_client(state.body_bytes))
        self._frontend.adopt(client, state)

    def adopt_request(
        self, handover: RequestHandover, state: ClientState, client: socket.socket, servers: list[socket.socket]
    ) -> None:
        """Adopts a request in progress; ``servers`` are the connections of its attempts in flight."""
        self._receive_room(room_of_request(len(servers), len(handover.request.body) + state.body_bytes))
        handover.request.hold_memory(self._frontend.memory)
        self._frontend.adopt(client, state, lambda connection: self._resume_request(connection, handover, servers))

    def _resume_request(
        self, connection: ClientConnection, handover: RequestHandover, servers: list[socket.socket]
    ) -> None:
        """Resumes the request once the client connection is ready."""
        http_request = handover.request
        http_request.connection = connection
        request = Request(
            http_request,
            http_request.class_index,
            handover.policy,
            handover.give_up_at,
            handover.accepted_at,
            http_request.request_id,
        )
        workload = http_request.workload
        attempts = self._core.handover.adopt(request, handover.attempts, workload, handover.not_before)
        self._adopt_exchanges(attempts, handover, servers)
        if not request.closed:
            connection.resume_request(request)

    def _adopt_exchanges(
        self, attempts: list[Attempt], handover: RequestHandover, servers: list[socket.socket]
    ) -> None:
        """Adopts the server connections of the attempts in flight, to read the rest of the answers.

        The balancer may have ended some attempts by now, and with the last one the request.
        """
        adopted = zip(attempts, handover.attempts, strict=True)
        in_flight = [attempt for attempt, (_, snapshot) in adopted if snapshot.in_flight]
        for attempt, sock, exchange in zip(in_flight, servers, handover.exchanges, strict=True):
            if attempt.in_flight:
                self._backend.adopt(attempt, sock, exchange.answered, exchange.last)
            else:
                sock.close()


@dataclass(frozen=True)
class AdoptableClient:
    """A client connection that this process can continue."""

    adopter: RequestAdopter
    client: socket.socket
    state: ClientState

    def adopt(self) -> None:
        """Continues the connection."""
        self.adopter.adopt_client(self.client, self.state)

    def close(self) -> None:
        """Closes the descriptor of this process."""
        self.client.close()


@dataclass(frozen=True)
class AdoptableRequest:
    """A request in progress, with its connections, that this process can continue."""

    adopter: RequestAdopter
    handover: RequestHandover
    state: ClientState
    client: socket.socket
    servers: list[socket.socket]

    def adopt(self) -> None:
        """Continues the request."""
        self.adopter.adopt_request(self.handover, self.state, self.client, self.servers)

    def close(self) -> None:
        """Closes the descriptors of this process."""
        for sock in (self.client, *self.servers):
            sock.close()


def _sockets(received: ReceivedMessage) -> list[socket.socket]:
    """Takes the descriptors of a message as sockets.

    Raises:
        HandoverError: if a descriptor is not a socket; all descriptors are then closed.
    """
    sockets: list[socket.socket] = []
    fds = received.take_fds()
    try:
        for fd in fds:
            sockets.append(socket.socket(fileno=fd))
    except OSError as error:
        for fd in fds[len(sockets) :]:
            os.close(fd)
        for sock in sockets:
            sock.close()
        msg = f"a descriptor is not a socket: {error}"
        raise HandoverError(msg) from error
    return sockets
