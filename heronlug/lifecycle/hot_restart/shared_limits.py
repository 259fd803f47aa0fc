"""Divides the limits of a dispatcher among its processes, so that together they never exceed them.

A process that has been started beside another one has no room at first. The old process gives it all room that it does
not need itself, and later whatever becomes free. A connection or request that is handed over takes its room along. Each
process lowers its own limit before the other process learns that it may raise its limit.
"""

from dataclasses import dataclass
from enum import StrEnum

from heronlug.backends.pool import ConnectionPool
from heronlug.frontends.http.client_input import SMALL_INPUT_BYTES
from heronlug.frontends.http.frontend import HttpFrontend
from heronlug.frontends.http.request import REQUEST_BYTES
from heronlug.memory.limits import MB, MIN_ACCOUNT_MB, PRIVATE_PROGRAM_MB, USABLE_SHARE
from heronlug.net.acceptor import Acceptor
from heronlug.net.http import MAX_BODY
from heronlug.requests.core import Core

SPARE_SERVER_CONNECTIONS = 4
"""Server connections that an old process keeps for retries and hedged requests."""
MAX_KEPT_FREE = 104
"""Maximum room for clients that is kept free for offered connections."""
TRANSIT_DESCRIPTORS = 24
"""Descriptors beside all limits for copies of offered connections, while there are two processes."""
THIRD_PROCESS_DESCRIPTORS = 24
"""Descriptors that a third process of a dispatcher needs for itself; the limits leave room for those of two."""
CLIENT_BYTES = REQUEST_BYTES + SMALL_INPUT_BYTES
"""Memory that an old process keeps for a request on each of its connections, in bytes."""
SPARE_BODIES = 4
"""Request bodies of the largest size for which an old process keeps memory."""
SECOND_PROGRAM_BYTES = int(PRIVATE_PROGRAM_MB * MB * USABLE_SHARE)
"""Memory by which the accounts of two processes together are smaller than that of one, in bytes."""
MIN_SHARED_BYTES = int(MIN_ACCOUNT_MB * MB)
"""Memory that the accounts of two processes may use together, even if it exceeds the limit, in bytes."""


class Resource(StrEnum):
    """A limited resource; the values are the keys of messages between processes."""

    CLIENTS = "clients"
    """Client connections."""

    SERVERS = "servers"
    """Server connections."""

    REQUESTS = "requests"
    """Open requests."""

    BODY_BYTES = "body_bytes"
    """Memory for request bodies, in bytes."""


Room = dict[Resource, int]
"""Amounts by resource."""


def room_of_client(body_bytes: int) -> Room:
    """Returns the room that a client connection without an open request takes along when it is handed over."""
    return {Resource.CLIENTS: 1, Resource.BODY_BYTES: body_bytes}


def room_of_request(server_connections: int, body_bytes: int) -> Room:
    """Returns the room that a request and its connections take along when they are handed over."""
    return {
        Resource.CLIENTS: 1,
        Resource.SERVERS: server_connections,
        Resource.REQUESTS: 1,
        Resource.BODY_BYTES: body_bytes,
    }


@dataclass
class _Share:
    """The share of one resource.

    Attributes:
        received: Amount that this process may use or give away.
        given: Amount that a successor has been given.
    """

    received: int
    given: int = 0

    @property
    def own(self) -> int:
        """Returns the amount that this process may use."""
        return max(0, self.received - self.given)


class SharedLimits:
    """The limits of one process, as parts of the limits of the dispatcher.

    Attributes:
        kept_free: Number of client connections for which room is kept, because the predecessor may offer descriptors.
    """

    def __init__(self, frontend: HttpFrontend, backend: ConnectionPool, core: Core, acceptor: Acceptor) -> None:
        """Creates the limits of a process that runs alone, with the limits that the parts have now.

        Args:
            frontend: The HTTP frontend.
            backend: The connection pool.
            core: The core of the HTTP frontend.
            acceptor: Accepts the client connections.
        """
        self._frontend = frontend
        self._backend = backend
        self._core = core
        self._acceptor = acceptor
        self._totals: Room = {
            Resource.CLIENTS: frontend.max_connections,
            Resource.SERVERS: backend.max_connections,
            Resource.REQUESTS: core.max_open,
            Resource.BODY_BYTES: frontend.memory.limit,
        }
        self._shares = {resource: _Share(total) for resource, total in self._totals.items()}
        self._has_predecessor = False
        self._second_program_bytes = 0
        self.kept_free = 0

    @property
    def has_room(self) -> bool:
        """Returns whether this process may accept clients at all."""
        return self._shares[Resource.CLIENTS].received > 0

    # -- towards the predecessor

    def await_room(self) -> None:
        """Gives up all room until the predecessor gives some."""
        self._has_predecessor = True
        self._set_received({})

    def receive(self, room: Room) -> None:
        """Adds room that the predecessor has given, or that a handed-over connection or request takes along."""
        for resource, amount in room.items():
            self._shares[resource].received += amount
        self._apply()

    def receive_half(self) -> None:
        """Takes half of each limit, beside a predecessor that does not share its limits."""
        self._has_predecessor = True
        self._set_received({resource: total // 2 for resource, total in self._totals.items()})

    def predecessor_ended(self) -> None:
        """Takes all room that the predecessor had."""
        self._has_predecessor = False
        self.kept_free = 0
        self._set_received(self._totals)

    def transfer_window(self, has_successor: bool) -> int:
        """Returns the number of offered descriptors that this process can hold before the predecessor closes its own.

        Half of the free room for clients counts too. It is kept free of new connections meanwhile.

        Args:
            has_successor: Whether a third process holds descriptors too.
        """
        if has_successor:
            self.kept_free = 0
            return 0
        free = self._shares[Resource.CLIENTS].own - self._client_count()
        self.kept_free = max(0, min(MAX_KEPT_FREE, free // 2))
        return TRANSIT_DESCRIPTORS + self.kept_free

    # -- towards the successor

    def successor_serves(self) -> None:
        """Makes room for the program of the successor, at the expense of the largest unfinished requests."""
        own = self._shares[Resource.BODY_BYTES].own
        self._second_program_bytes = max(0, min(SECOND_PROGRAM_BYTES, own - MIN_SHARED_BYTES))
        self._apply()
        memory = self._frontend.memory
        if memory.used > memory.limit:
            memory.relieve(memory.used - memory.limit, None, 0)

    def give(self, room: Room) -> None:
        """Lowers the limits of this process by room that the successor gets."""
        for resource, amount in room.items():
            self._shares[resource].given += amount
        self._apply()

    def give_half(self) -> None:
        """Keeps half of each limit, beside a successor that does not share its limits."""
        for resource, total in self._totals.items():
            self._shares[resource].given = total // 2
        self._apply()

    def successor_ended(self) -> None:
        """Takes back all room that the successor had."""
        self._second_program_bytes = 0
        for share in self._shares.values():
            share.given = 0
        self._apply()

    def unneeded(self) -> Room:
        """Returns the room that this process does not need while a successor accepts the clients."""
        needed = self._needed()
        needed[Resource.BODY_BYTES] += self._second_program_bytes
        spare = {resource: share.own - needed[resource] for resource, share in self._shares.items()}
        return {resource: amount for resource, amount in spare.items() if amount > 0}

    # -- internals

    def _needed(self) -> Room:
        """Returns what this process needs for its connections, and for the requests that may still arrive on them."""
        clients = self._client_count()
        withheld = THIRD_PROCESS_DESCRIPTORS // 2 if self._has_predecessor else 0
        return {
            Resource.CLIENTS: clients + withheld,
            Resource.SERVERS: self._backend.open_count + SPARE_SERVER_CONNECTIONS + withheld,
            Resource.REQUESTS: self._core.requests.open_count + clients,
            Resource.BODY_BYTES: self._frontend.memory.used + clients * CLIENT_BYTES + SPARE_BODIES * MAX_BODY,
        }

    def _client_count(self) -> int:
        """Returns the number of client connections, with those that are being opened or adopted."""
        return len(self._frontend.connections) + self._frontend.adopting + self._acceptor.opening

    def _set_received(self, room: Room) -> None:
        for resource, share in self._shares.items():
            share.received = room.get(resource, 0)
        self._apply()

    def _apply(self) -> None:
        self._frontend.max_connections = self._shares[Resource.CLIENTS].own
        self._backend.max_connections = self._shares[Resource.SERVERS].own
        self._core.max_open = self._shares[Resource.REQUESTS].own
        self._frontend.memory.limit = max(0, self._shares[Resource.BODY_BYTES].own - self._second_program_bytes)
        self._acceptor.look_again()
        self._backend.look_again()
