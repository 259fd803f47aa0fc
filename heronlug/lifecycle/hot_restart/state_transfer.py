"""Implements the steps of a hot restart in the new process and in the old process."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from heronlug.backends.pool import ConnectionPool
from heronlug.balancer.events import ListKind
from heronlug.config.platform import Config
from heronlug.discovery.endpoint_list import EndpointListError
from heronlug.frontends.http.frontend import HttpFrontend
from heronlug.lifecycle.discovery_service import DiscoveryService, write_current_list
from heronlug.lifecycle.graceful_shutdown import GracefulShutdown
from heronlug.lifecycle.hot_restart import messages
from heronlug.lifecycle.hot_restart.adopted_requests import RequestAdopter
from heronlug.lifecycle.hot_restart.channel import socket_path
from heronlug.lifecycle.hot_restart.handed_over_requests import RequestSender
from heronlug.lifecycle.hot_restart.inherited_sockets import LISTENER_SOCKET, PEER_SOCKET, InheritedSockets
from heronlug.lifecycle.hot_restart.messages import Message, ProcessState, RequestUpdate
from heronlug.lifecycle.hot_restart.session import HotRestart
from heronlug.net.listener import Listener
from heronlug.peers.datagrams import PeerSocket
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.model import ListedServer


class RestartedParts(Protocol):
    """The parts of a dispatcher that take part in a hot restart."""

    config: Config
    core: Core
    frontend: HttpFrontend
    backend: ConnectionPool
    discovery: DiscoveryService
    peers: PeerSocket
    listener: Listener
    shutdown: GracefulShutdown

    @property
    def log(self) -> Callable[..., None]:
        """Logs events."""

    @property
    def turn(self) -> Callable[[], None]:
        """Runs the due deadlines; must be called after every external event."""


@dataclass(frozen=True)
class SharedLimits:
    """Limits that apply to all processes of a dispatcher together.

    Attributes:
        clients: Maximum number of client connections.
        servers: Maximum number of server connections.
        requests: Maximum number of open requests.
    """

    clients: int
    servers: int
    requests: int


class StateTransfer:
    """Takes the state over from the predecessor at the start, and hands it over to the successor later.

    Attributes:
        session: The session with the other processes of this dispatcher.
    """

    def __init__(self, parts: RestartedParts, deadlines: Deadlines, folder: str | None) -> None:
        """Creates the state transfer of a dispatcher.

        Args:
            parts: The parts of the dispatcher.
            deadlines: The deadlines of the process.
            folder: The folder of the Unix socket; None disables hot restarts.
        """
        config = parts.config
        path = socket_path(folder, config.name, ":".join(map(str, config.listen))) if folder else ""
        self._parts = parts
        self._deadlines = deadlines
        self.session = HotRestart(self, config.name, path, deadlines, parts.log, parts.turn)
        self._sockets = InheritedSockets(config, parts.listener, parts.peers, deadlines, parts.log, parts.turn)
        self._request_adopter = RequestAdopter(
            parts.core, parts.frontend, parts.backend, parts.discovery.client.parse_list, parts.log
        )
        self._request_sender = RequestSender(config, parts.core, parts.frontend, parts.shutdown, self.session)
        self._total_limits = SharedLimits(
            parts.frontend.max_connections, parts.backend.max_connections, parts.core.max_open
        )
        self._predecessor_state: ProcessState | None = None  # None once the state has been used

    # -- the start of a process

    async def join(self) -> None:
        """Takes over the state and sockets of the running process, if there is one."""
        received = await self.session.join()
        if received is None:
            return
        try:
            state = ProcessState.decode(received.message)
            self._sockets.inherit(state.socket_names, received.fds)
        except (KeyError, TypeError, ValueError, OSError) as error:
            received.close()
            self._parts.log("handover_failed", error=repr(error))
            self.session.abandon_predecessor()
            return
        self._parts.core.requests.peer_process_ids.update(state.request_ids)
        self._predecessor_state = state
        self._divide_limits(2)

    async def open_peers(self) -> None:
        """Opens the peer socket; while another process uses the address, starts without the socket and retries."""
        await self._sockets.open_peers(self._uses_peer_socket)

    def open_listener(self) -> None:
        """Opens the client listening socket; raises ``OSError`` if the address cannot be bound."""
        self._sockets.open_listener()

    def use_state(self) -> None:
        """Applies the state of the predecessor, or else the cached or configured list, which is confirmed later."""
        client = self._parts.discovery.client
        state = self._predecessor_state
        self._predecessor_state = None
        entries = self._read_initial_list(state)
        client.has_list = bool(entries)
        client.on_update(ListKind.CACHED, entries)
        client.begin_freshness(state.list_valid_ms if state is not None else 0.0)
        if state is None:
            return
        try:
            self._parts.core.dispatcher.resume(state.learned, self._deadlines.clock())
            self._parts.log("taken_over", version=client.version, hosts=len(entries))
        except (ValueError, OverflowError) as error:
            self._parts.log("handover_failed", error=str(error))

    def _read_initial_list(self, state: ProcessState | None) -> list[ListedServer]:
        """Returns the servers of the first valid list among the handed-over, the cached and the configured list."""
        discovery = self._parts.discovery
        list_handed_over = state is not None and state.endpoint_list is not None
        cached_list = discovery.cache.load() if discovery.cache is not None and not list_handed_over else None
        handed_over_list = state.endpoint_list if state is not None else None
        for encoded_list in (handed_over_list, cached_list, self._parts.config.known):
            if encoded_list is not None:
                try:
                    discovery.client.version, _, entries = discovery.client.parse_list(encoded_list)
                except EndpointListError as error:
                    self._parts.log("bad_known_list", error=str(error))
                else:
                    return entries
        return []

    def announce_serving(self) -> None:
        """Notifies the predecessor that this process accepts clients, and listens for a successor."""
        self.session.announce_serving()
        self.session.listen()

    # -- while there are two processes

    def state(self) -> tuple[Message, list[int]]:
        """Returns the state message for a new process and the descriptors of the sockets that accompany the message."""
        parts = self._parts
        sockets = {LISTENER_SOCKET: parts.listener.fileno(), PEER_SOCKET: parts.peers.fileno()}
        open_sockets = {name: fd for name, fd in sockets.items() if fd >= 0}
        state = ProcessState(
            endpoint_list=write_current_list(parts.core, parts.discovery.client, parts.config),
            list_valid_ms=parts.discovery.client.freshness.remaining(self._deadlines.clock()),
            learned=parts.core.dispatcher.snapshot(),
            request_ids=tuple(sorted(parts.core.requests.ids)),
            socket_names=tuple(open_sockets),
        )
        return state.encode(), list(open_sockets.values())

    def successor_serves(self) -> None:
        """Hands idle clients over to the successor; requests in progress end in this process unless a stop begins."""
        self._divide_limits(2)
        self._parts.listener.pause()
        self._parts.peers.close()
        self._parts.backend.close_idle()
        self._parts.shutdown.hand_over(self._request_sender.hand_over)

    def successor_lost(self) -> None:
        """Accepts clients again after the successor has ended before this process."""
        self.predecessor_ended()
        self._parts.shutdown.hand_over(None)
        if not self._parts.shutdown.stopping:
            self._parts.listener.accept()
        self._sockets.open_peers_later(self._uses_peer_socket)
        self.session.listen()  # the successor had replaced the socket file with its own

    def predecessor_ended(self) -> None:
        """Discards the requests of the other process and restores the full limits, since no other process is left."""
        self._parts.core.peer_process_ended()
        self._divide_limits(1)

    def receive_request_update(self, message: Message) -> None:
        """Applies a request update; raises ``TypeError`` or ``ValueError`` if the message is malformed."""
        update = RequestUpdate.decode(message)
        core = self._parts.core
        core.requests.peer_process_ids.update(update.opened)
        core.requests.peer_process_ids.difference_update(update.ended)
        if update.counts is not None:
            core.peer_message(core.settings.position, update.counts)

    def adopt_client(self, fd: int, served: bool) -> None:
        """Adopts a client connection; ``served`` is true if an answer has been sent on the connection."""
        self._request_adopter.adopt_client(fd, served)

    def adopt_request(self, message: Message, fds: list[int]) -> None:
        """Adopts a request in progress and takes ownership of its descriptors."""
        self._request_adopter.adopt_request(message, fds)

    def request_id_changed(self, request_id: str, opened: bool) -> None:
        """Notifies the other processes that a request of this process was accepted or removed."""
        make_update = messages.request_opened if opened else messages.request_ended
        self.session.send_request_update(make_update(request_id))

    def _uses_peer_socket(self) -> bool:
        return not self.session.handed_over

    def _divide_limits(self, processes: int) -> None:
        """Divides the limits equally among this many processes."""
        self._parts.frontend.max_connections = self._total_limits.clients // processes
        self._parts.backend.max_connections = self._total_limits.servers // processes
        self._parts.core.max_open = self._total_limits.requests // processes
