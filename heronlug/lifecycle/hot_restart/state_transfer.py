"""Implements the steps of a hot restart in the new process and in the old process."""

import asyncio
from collections.abc import Callable
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
from heronlug.lifecycle.hot_restart.channel import ReceivedMessage, socket_path
from heronlug.lifecycle.hot_restart.handed_over_requests import RequestSender
from heronlug.lifecycle.hot_restart.incoming_transfers import IncomingTransfers
from heronlug.lifecycle.hot_restart.inherited_sockets import LISTENER_SOCKET, PEER_SOCKET, InheritedSockets
from heronlug.lifecycle.hot_restart.messages import Feature, Message, MessageKind, ProcessState, RequestUpdate
from heronlug.lifecycle.hot_restart.outgoing_transfers import OutgoingTransfers
from heronlug.lifecycle.hot_restart.session import HotRestart
from heronlug.lifecycle.hot_restart.shared_limits import Resource, Room, SharedLimits
from heronlug.net.listener import Listener
from heronlug.peers.datagrams import PeerSocket
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Clock, Deadlines
from heronlug.requests.model import ListedServer
from heronlug.requests.past_requests import PastRequest

JOIN_RETRY_MS = 4000.0
"""Time for which a new process tries to reach the process that listens on its address, in ms: until its kill."""
JOIN_RETRY_INTERVAL_S = 0.05
"""Delay before another attempt to reach that process, in seconds."""
RECORDS_PER_MESSAGE = 500
"""Maximum number of past requests in one message."""
ROOM_TIMEOUT_MS = 1000.0
"""Time after which a new process no longer waits for room of the predecessor's limits, in ms."""


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
    clock: Clock

    @property
    def log(self) -> Callable[..., None]:
        """Logs events."""

    @property
    def turn(self) -> Callable[[], None]:
        """Runs the due deadlines; must be called after every external event."""


class StateTransfer:
    """Takes the state over from the predecessor at the start, and hands it over to the successor later.

    Attributes:
        session: The session with the other processes of this dispatcher.
        third_process_serves: Whether the successor has ended and its own successor accepts clients.
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
        self._limits = SharedLimits(parts.frontend, parts.backend, parts.core, parts.listener.acceptor)
        adopter = RequestAdopter(
            parts.core,
            parts.frontend,
            parts.backend,
            parts.discovery.client.parse_list,
            self._receive_moved_room,
        )
        self._incoming = IncomingTransfers(
            adopter.prepare, self.session.send_to_predecessor, parts.log, self._transfer_window
        )
        parts.frontend.arriving = lambda: max(len(self._incoming), self._limits.kept_free)
        self._outgoing = OutgoingTransfers(
            self.session, deadlines, parts.log, self._give_moved_room, self._hand_over_more, _call_when_closed
        )
        self._sender = RequestSender(config, parts.core, parts.frontend, parts.shutdown, self._outgoing)
        self.third_process_serves = False
        self._hands_over_more = False  # whether a further handover is scheduled
        self._predecessor_state: ProcessState | None = None  # None once the state has been used

    # -- the start of a process

    async def join(self) -> None:
        """Takes over the state and sockets of the running process, if there is one.

        A process that listens on the same address and does not answer is tried again: it may not be running just now,
        or not know yet that its successor has ended.
        """
        give_up_at = self._deadlines.clock() + JOIN_RETRY_MS
        received = await self.session.join()
        while received is None and self._sockets.listen_address_in_use() and self._deadlines.clock() < give_up_at:
            await asyncio.sleep(JOIN_RETRY_INTERVAL_S)
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
        self._adopt_clock()
        self._parts.core.requests.peer_process_ids.update(state.request_ids)
        self._predecessor_state = state
        if self.session.predecessor_has(Feature.ROOM):
            self._limits.await_room()
        else:
            self._limits.receive_half()

    def _adopt_clock(self) -> None:
        """Takes the clock of the predecessor, in which all times that it hands over are given.

        A stop that has begun has its times in the clock of this process.
        """
        predecessor = self.session.predecessor
        offset_ns = predecessor.clock_offset_ns if predecessor is not None else None
        if offset_ns is not None and not self._parts.shutdown.stopping:
            self._parts.clock.offset_ns = offset_ns

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
        self._deadlines.call_after(ROOM_TIMEOUT_MS, self._end_wait_for_room)

    def _end_wait_for_room(self) -> None:
        """Takes half of the limits if the predecessor has given no room, because it hangs."""
        if self.session.predecessor is not None and not self._limits.has_room:
            self._parts.log("no_room_given")
            self._limits.receive_half()

    # -- while there are two processes

    def clock_offset_ns(self) -> int:
        """Returns the difference of the clock of this process to the monotonic clock, in ns."""
        return self._parts.clock.offset_ns

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

    def past_requests(self) -> list[Message]:
        """Returns the updates with the requests that may have run, for a new process."""
        records = list(self._parts.core.requests.past)
        return [
            messages.past_requests(records[begin : begin + RECORDS_PER_MESSAGE])
            for begin in range(0, len(records), RECORDS_PER_MESSAGE)
        ]

    def successor_serves(self) -> None:
        """Hands idle clients over to the successor; requests in progress end in this process unless a stop begins."""
        self._parts.listener.pause()
        self._parts.peers.close()
        self._parts.backend.close_idle()
        if self.session.successor_has(Feature.ROOM):
            self._limits.successor_serves()
        else:
            self._limits.give_half()
        self._parts.shutdown.hand_over(self._hand_over)

    def _hand_over(self) -> None:
        """Gives the room to the successor that this process does not need, and hands over what is ready."""
        if self.session.successor_has(Feature.ROOM) and (room := self._limits.unneeded()):
            self._limits.give(room)
            self.session.send_to_successor(messages.room(room))
        self._sender.hand_over()

    def _hand_over_more(self) -> None:
        """Hands over what is ready in the next turn, because the successor has answered offers."""
        if not self._hands_over_more:
            self._hands_over_more = True
            self._deadlines.call_after(0.0, self._hand_over_now)
            self._parts.turn()

    def _hand_over_now(self) -> None:
        self._hands_over_more = False
        self._parts.shutdown.hand_over_now()

    def _transfer_window(self) -> int:
        return self._limits.transfer_window(self.session.handed_over)

    def successor_lost(self, third_process_serves: bool) -> None:
        """Takes back all offers, and accepts clients again unless a successor of the successor accepts them."""
        self._outgoing.withdraw_all()
        self._parts.core.peer_process_ended()
        self.third_process_serves = third_process_serves
        self._parts.shutdown.hand_over(None)
        self._parts.frontend.end_transfer()
        if third_process_serves:
            return
        self._limits.successor_ended()
        self._parts.listener.accept()
        self._sockets.open_peers_later(self._uses_peer_socket)
        self.session.listen()  # the successor had replaced the socket file with its own

    def predecessor_ended(self) -> None:
        """Discards the requests and offers of the predecessor and takes all room that it had."""
        self._incoming.withdraw_all()
        self._parts.core.peer_process_ended()
        self._limits.predecessor_ended()

    def receive_room(self, room: Room) -> None:
        """Raises the limits of this process by room that the predecessor has given."""
        self._limits.receive(room)

    def _receive_moved_room(self, room: Room) -> None:
        """Raises the limits by the room that a connection or request takes along.

        A predecessor that does not share its limits keeps its half of them, but accepts no clients in place of those
        that it hands over.
        """
        self._limits.receive(room if self.session.predecessor_has(Feature.ROOM) else {Resource.CLIENTS: 1})

    def _give_moved_room(self, room: Room) -> None:
        """Lowers the limits by the room that a connection or request takes along."""
        if self.session.successor_has(Feature.ROOM):
            self._limits.give(room)

    def receive_request_update(self, update: RequestUpdate) -> None:
        """Applies a request update."""
        core = self._parts.core
        core.requests.peer_process_ids.update(update.opened)
        for record in update.past:
            core.requests.past.add(record)
        core.requests.peer_process_ids.difference_update(update.ended)
        if update.counts is not None:
            core.peer_message(core.settings.position, update.counts)

    def receive_handover(self, received: ReceivedMessage) -> None:
        """Adopts a client connection or a request, or confirms that this process can do so."""
        self._incoming.receive(received)

    def receive_confirmation(self, message: Message) -> None:
        """Handles a confirmation of a handover, in either direction."""
        number = messages.read_transfer(message)
        match message["kind"]:
            case MessageKind.ACCEPTED:
                self._outgoing.accept(number, messages.read_window(message))
            case MessageKind.DECLINED:
                self._outgoing.decline(number, str(message.get("why", "")))
            case MessageKind.COMMITTED:
                self._incoming.commit(number)
            case MessageKind.WITHDRAWN:
                self._incoming.withdraw(number)

    def request_id_changed(self, request_id: str, opened: bool) -> None:
        """Notifies the other processes that a request of this process was accepted or removed."""
        make_update = messages.request_opened if opened else messages.request_ended
        self.session.send_request_update(make_update(request_id))

    def request_recorded(self, record: PastRequest) -> None:
        """Notifies the other processes that a request may have run and is not open any more."""
        if self.session.has_connected_process:
            self.session.send_request_update(messages.past_requests([record]))

    def _uses_peer_socket(self) -> bool:
        return not self.session.handed_over


def _call_when_closed(callback: Callable[[], None]) -> None:
    """Calls ``callback`` once the event loop has closed the connections that were aborted before.

    The loop ends an aborted connection in its next iteration, and closes the descriptor at the end of that.
    """
    loop = asyncio.get_running_loop()
    loop.call_soon(loop.call_soon, callback)
