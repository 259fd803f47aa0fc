"""Adopts the requests and client connections that the previous process hands over."""

import socket
from collections.abc import Callable

from heronlug.backends.pool import ConnectionPool
from heronlug.frontends.http.connection import ClientConnection
from heronlug.frontends.http.frontend import HttpFrontend
from heronlug.lifecycle.hot_restart.messages import Message, ReadList, RequestHandover
from heronlug.lifecycle.hot_restart.shared_limits import Room, room_of_client, room_of_request
from heronlug.requests.core import Core
from heronlug.requests.model import Request


class RequestAdopter:
    """Resumes the client connections and requests that the previous process has handed over."""

    def __init__(
        self,
        core: Core,
        frontend: HttpFrontend,
        backend: ConnectionPool,
        read_list: ReadList,
        log: Callable[..., None],
        receive_room: Callable[[Room], None],
    ) -> None:
        """Creates an adopter that uses these parts.

        Args:
            core: The core of the HTTP frontend.
            frontend: The HTTP frontend.
            backend: The connection pool.
            read_list: Decodes the servers of a request's attempts.
            log: Logs events.
            receive_room: Called with the room that each connection or request takes along.
        """
        self._core = core
        self._frontend = frontend
        self._backend = backend
        self._read_list = read_list
        self._log = log
        self._receive_room = receive_room

    def adopt_client(self, fd: int, served: bool) -> None:
        """Adopts a client connection; ``served`` is true if an answer has already been sent on the connection."""
        self._receive_room(room_of_client())
        self._frontend.adopt(socket.socket(fileno=fd), served)

    def adopt_request(self, message: Message, fds: list[int]) -> None:
        """Adopts a request in progress.

        A malformed message is logged, and its connections are closed.

        Args:
            message: The handed-over request.
            fds: The descriptor of the client connection, then those of the servers of the attempts in flight.
        """
        client, *servers = [socket.socket(fileno=fd) for fd in fds]
        try:
            classes = self._core.settings.classes
            handover = RequestHandover.decode(message, len(servers), self._read_list, classes)
        except (KeyError, TypeError, ValueError, IndexError) as error:
            for sock in (client, *servers):
                sock.close()
            self._log("handover_failed", error=repr(error))
            return
        self._receive_room(room_of_request(len(servers), len(handover.request.body)))
        self._frontend.body_memory.adopt(handover.request)
        self._frontend.adopt(client, True, lambda connection: self._resume_request(connection, handover, servers))

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
        self._core.adopt(request, handover.attempts, http_request.workload, handover.not_before)
        self._adopt_exchanges(request, handover, servers)
        if not request.closed:
            connection.resume_request(request)

    def _adopt_exchanges(self, request: Request, handover: RequestHandover, servers: list[socket.socket]) -> None:
        """Adopts the server connections of the attempts in flight, to read the rest of the answers."""
        # By now the balancer may have ended some attempts, or started another attempt, which has its own connection.
        adopted = zip(request.attempts, handover.attempts, strict=False)
        in_flight = [attempt for attempt, (_, snapshot) in adopted if snapshot.in_flight]
        for attempt, sock, exchange in zip(in_flight, servers, handover.exchanges, strict=True):
            if attempt.in_flight:
                self._backend.adopt(attempt, sock, exchange.answered, exchange.last)
            else:
                sock.close()
