"""Hands requests and client connections over to the successor process."""

from dataclasses import dataclass
from typing import Any, NamedTuple

from heronlug.backends.connection import ServerConnection
from heronlug.balancer.events import AttemptSnapshot
from heronlug.config.platform import Config
from heronlug.frontends.http.connection import ClientConnection
from heronlug.frontends.http.frontend import HttpFrontend
from heronlug.lifecycle.graceful_shutdown import GracefulShutdown
from heronlug.lifecycle.hot_restart import messages
from heronlug.lifecycle.hot_restart.channel import MAX_FDS
from heronlug.lifecycle.hot_restart.messages import ExchangeState, RequestHandover
from heronlug.lifecycle.hot_restart.outgoing_transfers import OutgoingTransfers
from heronlug.lifecycle.hot_restart.shared_limits import room_of_client, room_of_request
from heronlug.requests.core import Core
from heronlug.requests.model import ListedServer, Request


class _PausableConnections(NamedTuple):
    """The connections of a request, each of which can be handed over now.

    Attributes:
        client: Connection of the client.
        servers: Connections of the attempts that have been sent, in the order of the attempts.
        unsent: Dials, or waits for a connection, of the attempts of which nothing has been written.
    """

    client: ClientConnection
    servers: list[Any]
    unsent: list[Any]


@dataclass(frozen=True)
class OfferedClient:
    """An idle client connection that is offered to the successor."""

    connection: ClientConnection

    def describe(self) -> dict[str, str]:
        """Returns the fields that identify the connection in the log."""
        return {"client": self.connection.client_address}

    def release(self) -> None:
        """Closes the descriptor of this process."""
        self.connection.detach()

    def reclaim(self) -> None:
        """Reads from the connection again."""
        self.connection.reclaim()


@dataclass(frozen=True)
class OfferedRequest:
    """A request that is offered to the successor with its connections."""

    core: Core
    request: Request
    client: ClientConnection
    servers: list[ServerConnection]
    unsent: list[Any]

    def describe(self) -> dict[str, str]:
        """Returns the fields that identify the request in the log."""
        return {"client": self.client.client_address, "id": self.request.request_id}

    def release(self) -> None:
        """Forgets the request and closes the descriptors of this process."""
        self.request.withdraw_offer = None
        self.core.handover.hand_over(self.request)
        self.client.detach()
        for exchange in (*self.servers, *self.unsent):
            exchange.detach()

    def reclaim(self) -> None:
        """Reads from the connections of the request again."""
        self.request.withdraw_offer = None
        self.client.reclaim()
        for exchange in self.servers:
            exchange.reclaim()


class RequestSender:
    """Hands over idle client connections and, during a planned stop, requests in progress."""

    def __init__(
        self,
        config: Config,
        core: Core,
        frontend: HttpFrontend,
        shutdown: GracefulShutdown,
        transfers: OutgoingTransfers,
    ) -> None:
        """Creates a sender.

        Args:
            config: The configuration, which names zones and kinds of servers.
            core: The core of the HTTP frontend.
            frontend: The HTTP frontend.
            shutdown: Says whether requests in progress are handed over.
            transfers: The offers to the successor.
        """
        self._config = config
        self._core = core
        self._frontend = frontend
        self._shutdown = shutdown
        self._transfers = transfers

    def hand_over(self) -> None:
        """Offers connections and requests that are ready; called repeatedly until the process has none left.

        Requests go first, since an answer is owed to their clients. Once the process stops, connections without a
        request that is being served are not read any more, so that what has to be handed over only becomes less.
        """
        if self._shutdown.transfer_over:
            return
        if self._shutdown.stopping:
            if self._transfers.confirmed:
                self._frontend.begin_transfer()
            for request in self._core.requests:
                if self._transfers.full:
                    return
                self._offer_request(request)
        for connection in self._frontend.connections:
            if self._transfers.full:
                return
            if connection.can_hand_over(self._transfers.confirmed) and not connection.serving:
                self._offer_client(connection)

    def _offer_client(self, connection: ClientConnection) -> None:
        state = connection.client_state()
        confirmed = self._transfers.confirmed
        now = self._core.deadlines.clock()
        message = messages.client_with_state(state, now) if confirmed else messages.client(state.served)
        fds = [connection.pause_for_handover()]
        self._transfers.offer(message, fds, OfferedClient(connection), room_of_client(state.body_bytes))

    def _offer_request(self, request: Request) -> None:
        """Offers a request that may outlast this process; does nothing while a connection is not ready."""
        connections = self._pausable_connections(request) if request.withdraw_offer is None else None
        attempts = self._core.handover.attempt_snapshots(request) if connections is not None else None
        if attempts is None or connections is None:
            return
        paused_exchanges = [exchange.pause_for_handover() for exchange in connections.servers]
        handover = RequestHandover(
            request=request.payload,
            give_up_at=request.give_up_at,
            accepted_at=request.accepted_at,
            policy=request.policy,
            not_before=self._core.handover.not_before(request),
            attempts=_without_unsent(request, attempts),
            exchanges=[
                ExchangeState(answered=connection.answered, last=connection.last) for connection in paused_exchanges
            ],
        )
        client_state = connections.client.client_state()
        message = {
            **handover.encode(self._config.zones, self._config.kinds),
            **messages.client_state_fields(client_state, self._core.deadlines.clock()),
        }
        fds = [connections.client.pause_for_handover(), *(connection.fd for connection in paused_exchanges)]
        item = OfferedRequest(self._core, request, *connections)
        room = room_of_request(len(paused_exchanges), len(request.payload.body) + client_state.body_bytes)
        number = self._transfers.offer(message, fds, item, room)
        if number is not None:
            request.withdraw_offer = lambda: self._transfers.withdraw(number)

    def _pausable_connections(self, request: Request) -> _PausableConnections | None:
        """Returns the connections of a request; None while a connection is in the middle of a read or write.

        Returns None also if the descriptors of the connections would exceed :data:`MAX_FDS`.
        """
        client = request.payload.connection
        exchanges = [attempt.exchange for attempt in request.attempts if attempt.in_flight]
        if client is None or not client.can_hand_over(self._transfers.confirmed) or len(exchanges) >= MAX_FDS:
            return None
        if any(exchange is None for exchange in exchanges):
            return None
        unsent = [exchange for exchange in exchanges if exchange.is_unsent]
        servers = [exchange for exchange in exchanges if not exchange.is_unsent]
        if not all(exchange.can_hand_over() for exchange in servers):
            return None
        return _PausableConnections(client, servers, unsent)


def _without_unsent(
    request: Request, attempts: list[tuple[ListedServer, AttemptSnapshot]]
) -> list[tuple[ListedServer, AttemptSnapshot]]:
    """Returns the attempts without those of which nothing has been written.

    The successor selects a server for the request anew. An unsent attempt before a sent one stays as one that never
    ran.
    """
    kept = [
        (server, snapshot._replace(in_flight=False, unstarted=False, may_have_run=False))
        if attempt.in_flight and attempt.exchange.is_unsent
        else (server, snapshot)
        for attempt, (server, snapshot) in zip(request.attempts, attempts, strict=True)
    ]
    while kept and request.attempts[len(kept) - 1].in_flight and not kept[-1][1].in_flight:
        kept.pop()
    return kept
