"""Hands requests and client connections over to the successor process."""

from collections.abc import Callable
from typing import Any, NamedTuple

from heronlug.config.platform import Config
from heronlug.frontends.http.connection import ClientConnection
from heronlug.frontends.http.frontend import HttpFrontend
from heronlug.lifecycle.graceful_shutdown import GracefulShutdown
from heronlug.lifecycle.hot_restart.channel import MAX_FDS
from heronlug.lifecycle.hot_restart.messages import ExchangeState, RequestHandover
from heronlug.lifecycle.hot_restart.session import HotRestart
from heronlug.lifecycle.hot_restart.shared_limits import Room, room_of_client, room_of_request
from heronlug.requests.core import Core
from heronlug.requests.model import Request


class _PausableConnections(NamedTuple):
    """The connections of a request, each of which can be handed over now."""

    client: ClientConnection
    servers: list[Any]  # one connection per attempt in flight, in the order of the attempts


class RequestSender:
    """Hands over idle client connections and, during a planned stop, requests in progress."""

    def __init__(
        self,
        config: Config,
        core: Core,
        frontend: HttpFrontend,
        shutdown: GracefulShutdown,
        session: HotRestart,
        give_room: Callable[[Room], None],
    ) -> None:
        """Creates a sender.

        Args:
            config: The configuration, which names zones and kinds of servers.
            core: The core of the HTTP frontend.
            frontend: The HTTP frontend.
            shutdown: Says whether requests in progress are handed over.
            session: Sends the messages to the successor.
            give_room: Called with the room that each connection or request takes along.
        """
        self._config = config
        self._core = core
        self._frontend = frontend
        self._shutdown = shutdown
        self._session = session
        self._give_room = give_room

    def hand_over(self) -> None:
        """Hands over every connection and request that is ready; called repeatedly until the process has none left."""
        self._frontend.hand_over_idle(self._hand_over_client)
        if self._shutdown.stopping:
            for request in self._core.requests:
                self._hand_over_request(request)

    def _hand_over_client(self, fd: int, served: bool) -> None:
        self._give_room(room_of_client())
        self._session.hand_over_client(fd, served)

    def _hand_over_request(self, request: Request) -> None:
        """Hands over a request that may outlast this process; does nothing while a connection is not ready."""
        attempts = self._core.attempt_snapshots(request)
        connections = self._pausable_connections(request)
        if attempts is None or connections is None:
            return
        paused_exchanges = [exchange.pause_for_handover() for exchange in connections.servers]
        handover = RequestHandover(
            request=request.payload,
            give_up_at=request.give_up_at,
            accepted_at=request.accepted_at,
            policy=request.policy,
            not_before=self._core.not_before(request),
            attempts=attempts,
            exchanges=[
                ExchangeState(answered=connection.answered, last=connection.last) for connection in paused_exchanges
            ],
        )
        message = handover.encode(self._config.zones, self._config.kinds)
        self._give_room(room_of_request(len(paused_exchanges), len(request.payload.body)))
        server_fds = [connection.fd for connection in paused_exchanges]
        self._session.hand_over_request(message, [connections.client.pause_for_handover(), *server_fds])
        self._core.hand_over(request)
        connections.client.detach()
        for exchange in connections.servers:
            exchange.detach()

    def _pausable_connections(self, request: Request) -> _PausableConnections | None:
        """Returns the connections of a request; None while a connection is in the middle of a read or write.

        Returns None also if the descriptors of the connections would exceed :data:`MAX_FDS`.
        """
        client = request.payload.connection
        servers = [attempt.exchange for attempt in request.attempts if attempt.in_flight]
        if client is None or not client.can_hand_over() or len(servers) >= MAX_FDS:
            return None
        if not all(exchange is not None and exchange.can_hand_over() for exchange in servers):
            return None
        return _PausableConnections(client, servers)
