"""What passes from one process of a dispatcher to the next, and what each of the two does meanwhile."""

import asyncio
import errno
import os
import socket
from collections.abc import Callable
from math import isfinite
from typing import Any, Protocol

from heronlug.backends.pool import ConnectionPool
from heronlug.balancer.events import AttemptSnapshot, ListKind
from heronlug.config.limits import model
from heronlug.config.platform import Config
from heronlug.discovery.endpoint_list import EndpointListError, write_list
from heronlug.frontends.http.connection import ClientConnection
from heronlug.frontends.http.frontend import HttpFrontend
from heronlug.frontends.http.request_table import read_request, write_request
from heronlug.lifecycle.discovery_service import DiscoveryService, write_current_list
from heronlug.lifecycle.graceful_shutdown import GracefulShutdown
from heronlug.lifecycle.hot_restart.channel import MAX_FDS, place
from heronlug.lifecycle.hot_restart.session import HotRestart
from heronlug.net.listener import Listener
from heronlug.peers.datagrams import PeerSocket
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.model import ListedServer, Request

PEERS_AGAIN = 500.0  # until the peers' address is tried again, where another process has it


class RestartedApplication(Protocol):
    """The parts that have to do with it."""

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
        """Where events are told."""

    @property
    def turn(self) -> Callable[[], None]:
        """To be called after whatever came from elsewhere."""


class StateTransfer:
    """The parts of a daemon, as the process before or after it needs them."""

    def __init__(self, daemon: RestartedApplication, deadlines: Deadlines, folder: str | None) -> None:
        config = daemon.config
        path = place(folder, config.name, ":".join(map(str, config.listen))) if folder else ""
        self._daemon, self._deadlines = daemon, deadlines
        self.handover = HotRestart(self, config.name, path, deadlines, daemon.log, daemon.turn)
        self._whole = daemon.frontend.max_connections, daemon.backend.max_connections, daemon.core.max_open
        self._sockets: dict[str, int] = {}
        self._table: dict[str, Any] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    # -- the start of a process

    async def join(self) -> None:
        """Ask the process that runs, if there is one."""
        joined = await self.handover.join()
        if joined is None:
            return
        table, fds = joined
        try:
            kinds = {"peers": socket.SOCK_DGRAM, "listen": socket.SOCK_STREAM}
            sockets = dict(zip(map(str, table["sockets"]), fds, strict=True))
            if any(kinds.get(name) != _kind(fd) for name, fd in sockets.items()) or len(sockets) != len(fds):
                raise ValueError("sockets of the wrong kinds")
            self.told({"opened": table["names"]})
        except (KeyError, TypeError, ValueError, OSError) as error:
            for fd in fds:
                os.close(fd)
            self._daemon.log("handover_failed", error=repr(error))
            self.handover.renounce()
            return
        self._table, self._sockets = table, sockets
        self._share(2)

    async def open_peers(self) -> None:
        """Hear the peers; while another process holds the address and does not pass it on, do without."""
        config, peers = self._daemon.config, self._daemon.peers
        fd = self._sockets.pop("peers", None)
        if config.peer_listen is None or not config.settings.gossip or peers.open or self.handover.handed:
            if fd is not None:
                os.close(fd)
            return
        if fd is not None:
            sock = socket.socket(fileno=fd)
        else:
            sock = socket.socket(socket.AF_INET6 if ":" in config.peer_listen[0] else socket.AF_INET, socket.SOCK_DGRAM)
            try:
                sock.bind(config.peer_listen)
            except OSError as error:
                sock.close()
                if error.errno != errno.EADDRINUSE:
                    raise
                self._daemon.log("peers_unavailable", error=str(error))
                self._deadlines.call_after(PEERS_AGAIN, self._later, self.open_peers)
                self._daemon.turn()
                return
        sock.setblocking(False)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: peers, sock=sock)

    def open_listener(self) -> None:
        """The clients' socket: inherited, passed on, or our own; raises ``OSError``."""
        config, fd = self._daemon.config, self._sockets.pop("listen", None)
        try:
            if config.inherited_fd is not None:
                self._daemon.listener.use(config.inherited_fd)
            elif fd is not None:
                self._daemon.listener.use(fd)
            else:
                self._daemon.listener.bind(config.listen)
        finally:
            for left in [*([fd] if fd is not None else []), *self._sockets.values()]:
                os.close(left)
            self._sockets.clear()

    def take_up(self) -> None:
        """The list as last held, here or by the process before: perhaps old, and the module asks for a new one."""
        inventory, core = self._daemon.discovery.client, self._daemon.core
        entries: list[ListedServer] = []
        keep = self._daemon.discovery.cache
        kept = keep.load() if keep is not None and "known" not in self._table else None
        for known in (self._table.get("known"), kept, self._daemon.config.known):
            if known is not None:
                try:
                    inventory.version, _, entries = inventory.read(known)
                    break
                except EndpointListError as error:
                    self._daemon.log("bad_known_list", error=str(error))
        inventory.listed = bool(entries)
        inventory.news(ListKind.CACHED, entries)
        inventory.begin_clock(_milliseconds(self._table.get("list_good_ms")))
        if self._table:
            try:
                core.dispatcher.resume(self._table.get("learned"), self._deadlines.clock())
                self._daemon.log("taken_over", version=inventory.version, hosts=len(entries))
            except (ValueError, OverflowError) as error:
                self._daemon.log("handover_failed", error=str(error))
        self._table = {}

    def serving(self) -> None:
        """We take clients: tell the process before us, and be found by the next."""
        self.handover.serving()
        self.handover.listen()

    # -- while there are two

    def state(self) -> tuple[dict[str, Any], list[int]]:
        """All that a new process needs to know, and the sockets that it can use."""
        daemon = self._daemon
        sockets = {"listen": daemon.listener.fileno(), "peers": daemon.peers.fileno()}
        there = {name: fd for name, fd in sockets.items() if fd >= 0}
        table = {
            "known": write_current_list(daemon.core, daemon.discovery.client, daemon.config),
            "list_good_ms": daemon.discovery.client.freshness.remaining(self._deadlines.clock()),
            "learned": daemon.core.dispatcher.snapshot(),
            "names": sorted(daemon.core.request_ids),
            "sockets": list(there),
        }
        return table, list(there.values())

    def give_way(self) -> None:
        """Another process serves: what is idle goes to it, what is running ends here."""
        self._share(2)
        self._daemon.listener.pause()
        self._daemon.peers.close()
        self._daemon.backend.close_idle()
        self._daemon.shutdown.hand_over(self._pass_on)

    def take_back(self) -> None:
        """The process after us has gone before we have ended."""
        self.alone()
        self._daemon.shutdown.hand_over(None)
        if not self._daemon.shutdown.stopping:
            self._daemon.listener.accept()
        self._later(self.open_peers)
        self.handover.listen()  # the file that others find us by was its own at last

    def alone(self) -> None:
        """There is no other process of this dispatcher any more."""
        self._daemon.core.peer_process_ended()
        self._share(1)

    def told(self, table: dict[str, Any]) -> None:
        """The partner opens messages and ends them, and counts what it has out; raises ``TypeError``."""
        core = self._daemon.core
        core.peer_process_request_ids.update(map(str, table.get("opened") or ()))
        core.peer_process_request_ids.difference_update(map(str, table.get("ended") or ()))
        if "counts" in table:
            core.peer_message(core.settings.position, bytes.fromhex(table["counts"]))

    def client(self, fd: int, served: bool) -> None:
        """A client's connection, passed on by the process before us."""
        self._daemon.frontend.adopt(socket.socket(fileno=fd), served)

    def message(self, table: dict[str, Any], fds: list[int]) -> None:
        """A message that runs, passed on by the process before us: first its client, then the hosts in turn."""
        first, *rest = [socket.socket(fileno=fd) for fd in fds]
        try:
            request = read_request(table["request"])
            whole, _, entries = self._daemon.discovery.client.read(table["hosts"])
            passed = [
                (entry, AttemptSnapshot(*values)) for entry, values in zip(entries, table["attempts"], strict=True)
            ]
            out = [dict(wire) for wire in table["wires"]]
            if len(out) != len(rest) or len(out) != sum(attempt.in_flight for _, attempt in passed) or whole != 0:
                raise ValueError("not one connection for each relay that is out")
            give_up_at, accepted_at = float(table["give_up_at"]), float(table["taken_at"])
            terms = self._daemon.core.settings.classes[request.class_index]
            if "terms" in table:  # a program of before limits tells none
                terms = model.read(terms, table["terms"])
            not_before = float(table.get("not_before", 0.0))
        except (KeyError, TypeError, ValueError, IndexError) as error:
            for sock in (first, *rest):
                sock.close()
            self._daemon.log("handover_failed", error=repr(error))
            return

        def made(connection: ClientConnection) -> None:
            request.connection = connection
            message = Request(request, request.class_index, terms, give_up_at, accepted_at, request.request_id)
            self._daemon.core.adopt(message, passed, request.workload, not_before)
            # the module may have ended some of them by now, or have sent one more, which has its own connection
            theirs = [relay for relay, (_, attempt) in zip(message.attempts, passed, strict=False) if attempt.in_flight]
            for relay, sock, wire in zip(theirs, rest, out, strict=True):
                if relay.in_flight:
                    self._daemon.backend.adopt(relay, sock, wire.get("answered") is True, wire.get("last") is True)
                else:
                    sock.close()
            if not message.closed:
                connection.resume_request(message)

        self._daemon.frontend.adopt(first, True, made)

    def named(self, name: str, opened: bool) -> None:
        """A message of ours begins or ends."""
        self.handover.tell({"opened" if opened else "ended": [name]})

    def _pass_on(self) -> None:
        self._daemon.frontend.hand_over_idle(self.handover.pass_on)
        if self._daemon.shutdown.stopping:
            for message in self._daemon.core.requests:
                self._pass_message(message)

    def _pass_message(self, message: Request) -> None:
        """What runs longer than we may goes on in the process after us, once all of it is between two reads."""
        core, client = self._daemon.core, message.payload.connection
        attempts = core.attempt_snapshots(message)
        wires = [relay.exchange for relay in message.attempts if relay.in_flight]
        if attempts is None or client is None or not client.can_hand_over() or len(wires) >= MAX_FDS:
            return
        if not all(wire is not None and wire.can_pass() for wire in wires):
            return
        config = self._daemon.config
        paused = [wire.pause() for wire in wires]
        table = {
            "request": write_request(message.payload),
            "give_up_at": message.give_up_at,
            "taken_at": message.accepted_at,
            "terms": model.write(message.policy),
            "not_before": core.not_before(message),
            "hosts": write_list(0, [entry for entry, _ in attempts], config.zones, config.kinds, True),
            "attempts": [list(attempt) for _, attempt in attempts],
            "wires": [known for _, known in paused],
        }
        self.handover.pass_message(table, [client.pause_for_handover(), *(fd for fd, _ in paused)])
        core.hand_over(message)
        client.detach()
        for wire in wires:
            wire.let_go()

    def _share(self, parts: int) -> None:
        """The limits hold for all processes together."""
        north, south, messages = (limit // parts for limit in self._whole)
        self._daemon.frontend.max_connections, self._daemon.backend.max_connections = north, south
        self._daemon.core.max_open = messages

    def _later(self, what: Callable[[], Any]) -> None:
        task = asyncio.get_running_loop().create_task(what())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _kind(fd: int) -> int:
    """Which kind of socket a descriptor is; raises ``OSError`` for what is none."""
    with socket.socket(fileno=os.dup(fd)) as sock:
        return sock.type


def _milliseconds(value: object) -> float:
    """A span that another process has told, 0 where it makes no sense."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        return 0.0
    return max(0.0, float(value))
