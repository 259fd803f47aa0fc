"""The daemon: puts the parts together, runs the loop, and sweeps the deadlines each turn."""

import asyncio
import gc
import os
import signal
import sys
import traceback
from dataclasses import replace
from functools import partial
from random import Random
from typing import Any, cast

import uvloop

from heronlug.backends.pool import ConnectionPool
from heronlug.balancer.events import ListKind
from heronlug.balancer.settings import RequestClass
from heronlug.config.desired_state import EMPTY, State, StateError, digest
from heronlug.config.files import Files
from heronlug.config.limits import resolve
from heronlug.config.platform import Config
from heronlug.config.reload import Reload
from heronlug.discovery.client import SPREAD, DiscoveryClient
from heronlug.discovery.endpoint_list import read_list
from heronlug.discovery.freshness import Freshness
from heronlug.discovery.freshness import State as ListState
from heronlug.frontends.faktory.frontend import FaktoryConfig, FaktoryFrontend
from heronlug.frontends.faktory.recovery import open_store
from heronlug.frontends.http.frontend import HttpFrontend
from heronlug.lifecycle import control
from heronlug.lifecycle import zone_commands as halls
from heronlug.lifecycle.admin import MAX_CALLERS, AdminEndpoint
from heronlug.lifecycle.control import RunningState
from heronlug.lifecycle.graceful_shutdown import GracefulShutdown
from heronlug.lifecycle.hot_restart.state_transfer import StateTransfer
from heronlug.lifecycle.log import Log
from heronlug.lifecycle.operations import accept_figures, calls
from heronlug.lifecycle.startup_signals import early
from heronlug.net.acceptor import Acceptor
from heronlug.net.http import split_address
from heronlug.net.listener import Listener
from heronlug.peers.datagrams import PeerSocket
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Clock, Deadlines
from heronlug.requests.model import Attempt, FinalAnswer, ListedServer, Request

CONFIRM_WITHIN = 3_000.0  # ms that a start waits for discovery to confirm its list before it takes clients
FAKTORY_BACKLOG = 128
LATE_TURN = 250.0  # ms that a timer may be late before it is worth a line
PROGRAM_MB, MIN_HELD = 24.0, 4.0  # what the program takes by itself; bodies of clients may take so much at least
SPARE_DESCRIPTORS = 64  # for the loop, the log, the inventory, the peers and the listeners


class DeadlineLoop:
    """The deadlines on a running loop: swept each turn, with one timer armed for the head."""

    def __init__(self, log: Log) -> None:
        self.clock = Clock()
        self.deadlines = Deadlines(self.clock.now)
        self._log = log
        self._timer: asyncio.TimerHandle | None = None
        self._armed_for: float | None = None

    def turn(self) -> None:
        """Sweep what is due, and arm the timer for what comes first."""
        try:
            self.deadlines.run_due()
        except Exception as error:  # one deadline's fault must not stop the others
            self._log("exception", where="deadlines", error=repr(error))
        head = self.deadlines.next_due()
        self._note_late()
        if head == self._armed_for:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer, self._armed_for = None, head
        if head is not None:
            delay = max(0.0, head - self.clock.now()) / 1000
            self._timer = asyncio.get_running_loop().call_later(delay, self._fire)

    def _note_late(self) -> None:
        """The loop has stood still past a timer, or the process had no processor meanwhile."""
        late = self.deadlines.lateness
        if late >= LATE_TURN:
            self._log("late_turn", ms=round(late, 1), deadlines=len(self.deadlines))

    def _fire(self) -> None:
        self._timer = self._armed_for = None
        self.turn()


class Application:
    """One dispatcher."""

    def __init__(self, config: Config, files: Files, log: Log) -> None:
        self.config, self.log = config, log
        self.running = RunningState(self)
        self.faktory: FaktoryFrontend | None = None  # made when it is first listened for, and kept: it owns its jobs
        self._faktory_listener: Listener | None = None
        self.loop = DeadlineLoop(log)
        self.turn = self.loop.turn
        self.left = asyncio.Event()
        self._began = self.loop.clock.now()
        deadlines, settings = self.loop.deadlines, config.settings
        half = max(16, (config.sockets - SPARE_DESCRIPTORS) // 2)
        spare = max(MIN_HELD, (config.memory_mb - PROGRAM_MB) / 2)  # half of what the program itself leaves
        self.south = ConnectionPool(
            deadlines,
            log,
            self.turn,
            conn_idle=config.conn_idle,
            dial_timeout=settings.dial_timeout,
            max_connections=half,
        )
        self.peers = PeerSocket(
            config.peers, config.peers_all, settings.position, self._heard, log, self.turn, deadlines.clock
        )
        read = partial(read_list, zones=config.zones, kinds=config.kinds, to_clock=float)  # our clock is Unix time
        self.inventory = DiscoveryClient(
            config.discovery,
            0,
            read,
            self._news,
            deadlines,
            log,
            self.turn,
            Freshness(config.pushed, settings.poll_interval, settings.drain_grace),
            part=1.0 - SPREAD * settings.position / settings.instances,
        )
        self.core = Core(
            settings,
            config.seed,
            self,
            deadlines,
            log=log,
            subscribe=self._subscribe,
            send_peer_message=lambda content, peer: self.takeover.tell(content, peer),
            max_open=min(config.max_open, int(config.memory_mb * 32)),  # bodies apart, a message takes a few KB
            max_retry_after=config.max_come_back,
            has_unread_update=self.inventory.behind,
        )
        self.south.core = self.core
        if not config.paced:  # operators' files that pace their calls go by the list they have for longer
            self.inventory.on_good = self.core.set_list_usable
        self.north = HttpFrontend(self, settings, half, int(spare * 1024 * 1024), self.turn)
        self.leaving = GracefulShutdown(
            deadlines,
            max(lane.deadline for lane in settings.classes),
            self._busy,
            lambda: self.north.came_at,
            self.peers.serving,
            self.peers.leave,
            self.peers.stay,
            self.core.give_up_all,
            self.north.close_idle,
            self.left.set,
        )
        self.listener = Listener(Acceptor("clients", self.north.protocol, log))
        self.listener.acceptor.exhausted = self.north.make_room
        self.operators = Listener(Acceptor("operators", lambda: self.admin.protocol(), log))
        self.takeover = StateTransfer(self, deadlines, os.environ.get("TMPDIR"))
        self.core.on_request_id = self.takeover.named
        self.member: Any = None  # our membership, where there is a cluster
        self.keep: Any = None  # the file of the list, where one is kept
        if config.paced:
            self.use_register({})
        table = calls(self.leaving, self._takes_clients, self._cores, log, self._more_figures)
        self.admin = AdminEndpoint(table, deadlines, log, self.turn)
        self.reload = Reload(
            config,
            partial(files.load, again=True),
            self._moved,
            self.running.limit,
            log,
            lambda: self.member.read_keys() if self.member is not None else None,
            self._use_keys,
        )

    # -- the front of the platform's protocol

    def send(self, relay: Attempt) -> None:
        """Begin a relay."""
        self.south.send(relay)

    def cancel(self, relay: Attempt) -> None:
        """Give a relay up."""
        self.south.cancel(relay)

    def answer(self, message: Request, final: FinalAnswer, body: bytes, come_back: float) -> None:
        """Answer a client."""
        self.north.answer(message, final, body, come_back)

    def client_waits(self, message: Request) -> bool:
        """Whether a client still waits."""
        return self.north.client_waits(message)

    # -- start and stop

    def ready(self) -> bool:
        """Whether serving is possible."""
        wanted = self.leaving.wanted or self.takeover.handover.handed
        return wanted and (self.core.directory.can_serve or self._waits_for_discovery())

    def _waits_for_discovery(self) -> bool:
        """Whether clients are taken though the list that was given is not confirmed: their requests wait for that."""
        unconfirmed = self.inventory.freshness.state is ListState.UNCONFIRMED
        waited = self.loop.clock.now() - self._began >= CONFIRM_WITHIN
        return unconfirmed and waited and self.core.directory.has_ready_server

    def parting(self) -> bool:
        """Whether clients' connections end with their next answer."""
        return self.leaving.is_draining()

    async def run(self, desired: State, control_path: str) -> None:
        """Serve until a planned stop is over; raises :class:`StateError` when the desired state can't be had."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._exception)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        await self.takeover.join()
        await self.takeover.open_peers()
        await self.running.apply(digest(EMPTY), desired)
        controller = await control.listen(control_path, self.running) if control_path else None
        self.takeover.take_up()
        self.takeover.open_listener()
        self.listener.accept()
        self.takeover.serving()
        if self.config.admin is not None:
            self.operators.bind(self.config.admin, MAX_CALLERS)
            self.operators.accept()
        gc.collect()
        gc.freeze()
        self.log("started", name=self.config.name, listen=":".join(map(str, self.config.listen)))
        loop.add_signal_handler(signal.SIGHUP, self.reload.begin)  # from here on there is something to change
        if early.came:
            self.reload.begin()
        self.turn()
        await self.left.wait()
        if self.member is not None:
            await self.member.cluster.leave()
        if self.keep is not None:
            await self.keep.close()
        await self.takeover.handover.part()
        self.log("stopped", **{final.value: count for final, count in self.core.counts.items()})
        self.takeover.handover.close()
        self.listener.close()
        self.operators.close()
        self.admin.close()
        self.inventory.stop()
        self.peers.close()
        if controller is not None:
            controller.close()
        if self.faktory is not None:
            self.use_faktory(None)
            self.faktory.close()
            self.faktory.store.close()

    # -- what plan and apply change

    async def open_faktory(self, terms: dict[str, Any]) -> Any:
        """Bind the second front's address, unless it is the one that it has already."""
        wanted = FaktoryConfig(
            listen=split_address(terms["listen"]),
            password=terms["password"],
            beat_timeout=terms["beat_timeout_s"] * 1000,
            reserve_for=terms["reserve_for_s"] * 1000,
            remember=terms["remember_s"] * 1000,
            max_known=int(terms["max_known"]),
            max_connections=int(terms["max_connections"]),
            store=terms["store"],
        )
        if self.faktory is not None and self.faktory.terms.store != wanted.store:
            raise ValueError("faktory: store: it changes with a restart alone")
        if self.faktory is None:
            self.faktory = self._make_faktory(wanted)
            self.faktory.recover()
        if self._faktory_listener is not None and self.faktory.terms.listen == wanted.listen:
            return wanted, self._faktory_listener
        listener = Listener(Acceptor("faktory", self.faktory.protocol, self.log))
        listener.bind(wanted.listen, FAKTORY_BACKLOG)
        return wanted, listener

    def use_faktory(self, listener: Any) -> None:
        """Serve the second front on this listener; without one, only what it has taken is still worked off."""
        front = self.faktory
        if front is None:
            return
        terms, used = listener or (front.terms, None)
        if self._faktory_listener is not None and self._faktory_listener is not used:
            self._faktory_listener.close()
        self._faktory_listener, front.terms = used, terms
        front.open(used is not None)
        if used is not None:
            used.accept()

    def drop_faktory(self, listener: Any) -> None:
        """Close what :meth:`open_faktory` has bound, unless it is in use."""
        _, bound = listener
        if bound is not self._faktory_listener:
            bound.close()

    def use_register(self, terms: dict[str, Any]) -> None:
        """Keep to a pace, and keep the list; the code of both is loaded only here."""
        from heronlug.discovery.poll_pacing import PollPacer
        from heronlug.discovery.poll_pacing import PollTerms as PaceTerms

        config, settings = self.config, self.core.settings
        cost = 1000 / terms["calls_per_s"] if terms.get("calls_per_s") else None
        many = PaceTerms(settings.instances, settings.position, cost)
        self.inventory.pace = PollPacer(many, Random(config.seed or None).random)
        if terms.get("keep"):
            from heronlug.discovery.cache_file import CacheFile

            self.keep = CacheFile(
                terms["keep"],
                terms["keep_for_s"] * 1000,
                lambda: self.inventory.address,
                self.takeover.listed,
                self.loop.deadlines,
                self.log,
            )

    async def join_cluster(self, terms: dict[str, Any]) -> None:
        """Be a member; its code is loaded only here."""
        from heronlug.lifecycle.cluster_member import ClusterMember

        config = self.config
        member = ClusterMember(
            terms,
            self.inventory,
            self.core,
            self._news,
            self.loop.deadlines,
            self.log,
            self.turn,
            config.zones,
            config.kinds,
        )
        await member.open()
        self.member = member

    def cluster_view(self, what: str) -> list[dict[str, Any]]:
        """The members, or the duties."""
        if self.member is None:
            raise StateError("there is no [cluster] in the file that runs")
        cluster = self.member.cluster
        view: list[dict[str, Any]] = cluster.members() if what == "members" else cluster.duties()
        return view

    def halls(self, asked: dict[str, Any]) -> list[dict[str, Any]]:
        """The halls, after an order for one of them."""
        if asked["ask"] == "hall":
            rows = halls.order(self.core, self.config.zones, asked)
            self.log("hall_ordered", hall=asked["hall"], do=asked["do"], for_s=asked.get("for_s"))
            return rows
        return halls.view(self.core, self.config.zones)

    def _more_figures(self) -> str:
        listeners = [self.listener, self.operators, *([self._faktory_listener] if self._faktory_listener else [])]
        failures = {listener.acceptor.name: listener.acceptor.failures for listener in listeners}
        cluster = str(self.member.cluster.figures()) if self.member is not None else ""
        return accept_figures(failures) + cluster

    def _use_keys(self, found: dict[int, bytes] | None) -> None:
        if self.member is not None and found is not None:
            self.member.cluster.use_keys(found)

    def _subscribe(self) -> None:
        if self.member is not None:
            self.member.subscribe()
        else:
            self.inventory.subscribe()

    def load_plugins(self, plugins: dict[str, tuple[bytes, int, int]]) -> Any:
        """Compile plug-ins.  wasmtime is imported only here: where none is configured it takes no memory."""
        from heronlug.plugins.host import PluginHost

        return PluginHost.load(plugins)

    def use_plugins(self, loaded: Any) -> None:
        """Put plug-ins in the place of those before."""
        hooks = None
        if loaded:
            from heronlug.plugins.host import PluginHost

            hooks = PluginHost(self.log)
            hooks.use(loaded)
        self.core.plugins = hooks
        if self.faktory is not None:
            self.faktory.core.plugins = hooks

    def use_level(self, level: str) -> None:
        """Log from this level on."""
        self.log.level = level

    def broken_limits(self, classes: State) -> list[tuple[str, str, str, str]]:
        """The rules that limits break here; the checker is loaded only where there are limits to check."""
        from heronlug.config.limits.load import check

        return [(b.name, b.key, b.wrong, b.right) for b in check(self.config.settings, classes)]

    def resolved_limits(self, classes: State) -> tuple[RequestClass, ...]:
        """All classes under limits that break no rule."""
        return resolve(self.config.settings.classes, classes)

    def use_limits(self, classes: tuple[RequestClass, ...]) -> None:
        """Both fronts take jobs in under these limits from now on; open ones keep theirs."""
        for core in self._cores():
            core.use_classes(classes)

    def _make_faktory(self, terms: FaktoryConfig) -> FaktoryFrontend:
        """The second front has a core of its own: its workers cannot run what came by HTTP, nor the other way."""
        front = FaktoryFrontend(
            terms, self.loop.deadlines, self.log, self.turn, open_store(terms.store, self.log, self.turn)
        )
        settings = replace(
            self.core.settings,
            instances=1,
            position=0,
            gossip=False,
            list_pushed=True,
            report_fields=(),
            zone_failover=False,
            retry_share=1e3,
            retry_burst=1e6,  # workers pull: no storm; the cap of attempts holds
        )
        front.core = Core(
            settings,
            self.config.seed ^ 1,
            front,
            self.loop.deadlines,
            log=self.log,
            max_open=self.core.max_open,
            max_retry_after=self.config.max_come_back,
            plugins=self.core.plugins,
        )
        return front

    def _on_signal(self) -> None:
        if self.leaving.stop():
            self.log("stopping", messages=len(self.core.requests))
            if not self.takeover.handover.handed:  # else what runs longer passes on
                self.core.answer_by = self.leaving.answer_by
        if self.faktory is not None:
            self.faktory.open(False)
        self.turn()

    def _takes_clients(self) -> bool:
        return self.ready() and not self.takeover.handover.handed

    def _cores(self) -> list[Core]:
        return [self.core, *([self.faktory.core] if self.faktory is not None else [])]

    def _busy(self) -> int:
        jobs = len(self.faktory.core.requests) if self.faktory is not None else 0
        return len(self.core.requests) + len(self.north.connections) + jobs + self.listener.waits

    def _news(self, kind: ListKind, entries: list[ListedServer]) -> None:
        self.core.update_servers(kind, entries)
        self.south.retire(self.core.directory.by_number)
        if self.keep is not None and kind is not ListKind.CACHED and entries:
            self.keep.changed()

    def _moved(self, config: Config) -> None:
        """What a reload changes: where discovery is, or the hosts that a file lists."""
        if config.discovery:
            self.inventory.move(config.discovery)
        elif config.known is not None:
            self.inventory.news(ListKind.FULL, self.inventory.read(config.known)[2])
        self.turn()

    def _heard(self, peer: int, content: bytes) -> None:
        self.core.peer_message(peer, content)

    def _exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        trace = traceback.format_exception(error)[-3:] if error is not None else None
        self.log("exception", where="loop", error=repr(error or context.get("message")), trace=trace)


async def _serve(config: Config, files: Files, log: Log, desired: State, control_path: str) -> None:
    await Application(config, files, log).run(desired, control_path)


def main(config: Config, desired: State, files: Files, control_path: str = "") -> int:
    """Run a dispatcher in the foreground; the exit status is 2 when it cannot listen or load what it should."""
    log = Log(level=cast(str, desired["log_level"]))
    try:
        uvloop.run(_serve(config, files, log, desired, control_path))
    except (StateError, OSError) as error:
        print(f"heronlug: {error}", file=sys.stderr)
        return 2
    finally:
        log.close()
    return 0
