"""Creates the parts of a dispatcher in order, and runs the dispatcher from its start to its stop."""

import asyncio
import gc
import os
import signal
import sys
import traceback
from functools import partial
from typing import Any, cast

import uvloop

from heronlug.backends.pool import ConnectionPool
from heronlug.config.desired_state import EMPTY, State, StateError, digest
from heronlug.config.files import Files
from heronlug.config.platform import Config
from heronlug.config.reload import Reload, ReloadHooks
from heronlug.frontends.http.frontend import HttpFrontend
from heronlug.lifecycle import control
from heronlug.lifecycle.admin import MAX_ADMIN_CONNECTIONS, AdminEndpoint
from heronlug.lifecycle.cluster_service import ClusterService
from heronlug.lifecycle.configuration_changes import ConfigurationChanges
from heronlug.lifecycle.deadline_loop import DeadlineLoop
from heronlug.lifecycle.discovery_service import DiscoveryService
from heronlug.lifecycle.faktory_service import FaktoryService
from heronlug.lifecycle.graceful_shutdown import GracefulShutdown, ShutdownHooks
from heronlug.lifecycle.hot_restart.state_transfer import StateTransfer
from heronlug.lifecycle.log import Log
from heronlug.lifecycle.memory_monitor import MemoryMonitor
from heronlug.lifecycle.operations import (
    ACCEPT_FAILURES,
    CLIENTS_CLOSED,
    SERVERS_CLOSED,
    OperatorCalls,
    labelled_metric,
    memory_metrics,
)
from heronlug.lifecycle.peer_messages import PeerMessages
from heronlug.lifecycle.process_signals import StopSignals, ignore_signals, startup_signals
from heronlug.lifecycle.readiness import Readiness
from heronlug.lifecycle.running_state import RunningState
from heronlug.lifecycle.transport import HttpTransport
from heronlug.memory import allocator
from heronlug.memory.account import MemoryAccount
from heronlug.memory.limits import derive as derive_limits
from heronlug.net.acceptor import Acceptor
from heronlug.net.listener import Listener
from heronlug.requests.core import Core

LATE_CLIENT_CHECK_INTERVAL_S = 0.02
"""Interval between two checks whether clients that connected during the last tasks are served, in seconds."""


class Application:
    """A dispatcher: creates its parts in the order of their dependencies and runs the steps of its start and stop."""

    def __init__(self, config: Config, files: Files, log: Log) -> None:
        """Creates all parts, without opening any socket or file."""
        self.config = config
        self.log = log
        self.stopped = asyncio.Event()
        self.deadline_loop = DeadlineLoop(log)
        self.turn = self.deadline_loop.turn
        self.clock = self.deadline_loop.clock
        self.limits = derive_limits(config.memory_mb, config.sockets, config.max_open)
        self.memory = MemoryAccount(self.limits.account_bytes)
        self.memory_monitor = MemoryMonitor(self.memory, config.memory_mb, self.deadline_loop.deadlines, log)
        self._make_backend()
        self._make_core()
        self._make_frontend()
        self._make_shutdown()
        self._make_services(files)

    # -- creation of the parts

    def _make_backend(self) -> None:
        """Creates the connection pool, the discovery service and the peer messages."""
        config = self.config
        deadlines = self.deadline_loop.deadlines
        self.backend = ConnectionPool(
            deadlines,
            self.log,
            self.turn,
            conn_idle=config.conn_idle,
            dial_timeout=config.settings.dial_timeout,
            max_connections=self.limits.connections,
            memory=self.memory,
        )
        self.discovery = DiscoveryService(config, self.backend, deadlines, self.log, self.turn)
        self.peer_messages = PeerMessages(config, deadlines, self.log, self.turn)
        self.peers = self.peer_messages.socket

    def _make_core(self) -> None:
        """Creates the core of the HTTP frontend and passes the core to the parts created earlier."""
        config = self.config
        self.transport = HttpTransport(self.backend)
        self.core = Core(
            config.settings,
            config.seed,
            self.transport,
            self.deadline_loop.deadlines,
            log=self.log,
            subscribe=self.discovery.subscribe,
            send_peer_message=self.peer_messages.send,
            max_open=self.limits.open_requests,
            max_retry_after=config.max_come_back,
            has_unread_update=self.discovery.client.has_unread_update,
            memory=self.memory,
        )
        self.backend.core = self.core
        self.discovery.core = self.core
        self.peer_messages.core = self.core
        # The maximum age of a list is a rule of the platform. If the operators run service discovery themselves
        # (`paced`), the last list is used at any age until a new list replaces it.
        if not config.paced:
            self.discovery.client.staleness.on_usable_change = self.core.set_list_usable

    def _make_frontend(self) -> None:
        """Creates the HTTP frontend and the listener for clients."""
        config = self.config
        self.readiness = Readiness(self.core, self.discovery.client, self.log)
        self.frontend = HttpFrontend(self.readiness, config.settings, self.limits.connections, self.memory, self.turn)
        self.memory.relieve = self.frontend.relieve_memory
        self.transport.frontend = self.frontend
        self.listener = Listener(Acceptor("clients", self.frontend.protocol, self.log))
        acceptor = self.listener.acceptor
        acceptor.owner, acceptor.on_exhausted = self.frontend, self.frontend.evict_one
        self.frontend.clients_wait = lambda: acceptor.waiting_for_room

    def _make_shutdown(self) -> None:
        """Creates the graceful shutdown and the state transfer of hot restarts."""
        deadlines = self.deadline_loop.deadlines
        max_deadline = max(request_class.deadline for request_class in self.config.settings.classes)
        hooks = ShutdownHooks(
            open_work=self._open_work,
            last_client_at=lambda: self.frontend.last_client_at,
            others_serve=lambda: self.peers.others_serve() or self.state_transfer.third_process_serves,
            leave_peers=self.peers.leave,
            rejoin_peers=self.peers.rejoin,
            give_up_requests=self._give_up_requests,
            close_idle=self.frontend.close_idle,
            stopped=self.stopped.set,
            end_transfer=self.frontend.end_transfer,
        )
        self.shutdown = GracefulShutdown(deadlines, max_deadline, hooks)
        self.state_transfer = StateTransfer(self, deadlines, os.environ.get("TMPDIR"))
        self.core.answer_by = self._answer_by
        self.core.requests.on_id_changed = self.state_transfer.request_id_changed
        self.core.requests.past.on_recorded = self.state_transfer.request_recorded
        self.hot_restart = self.state_transfer.session
        self.peer_messages.hot_restart = self.hot_restart
        self.readiness.shutdown = self.shutdown
        self.readiness.hot_restart = self.hot_restart

    def _make_services(self, files: Files) -> None:
        """Creates the Faktory frontend, the cluster membership, the admin endpoint, and plan, apply and reload."""
        config = self.config
        deadlines = self.deadline_loop.deadlines
        self.faktory = FaktoryService(
            config,
            self.core,
            deadlines,
            self.log,
            self.turn,
            is_stopping=lambda: self.shutdown.stopping,
            memory=self.memory,
        )
        self.cluster = ClusterService(config, self.core, self.discovery, self.log, self.turn)
        changes = ConfigurationChanges(config, self.log, self.core, self.discovery, self.faktory, self.cluster)
        self.running_state = RunningState(changes)
        if config.paced:
            self.discovery.use_options({})
        calls = OperatorCalls(
            self.shutdown, self.readiness.accepts_clients, self._cores, self.log, self._additional_metrics
        )
        self.admin = AdminEndpoint(calls.table(), deadlines, self.log, self.turn)
        self.admin_listener = Listener(Acceptor("operators", self.admin.protocol, self.log))
        hooks = ReloadHooks(
            read_files=partial(files.load, again=True),
            use_config=self._use_reloaded_config,
            use_limits=self.running_state.limit,
            read_keys=self.cluster.read_keys,
            use_keys=self.cluster.use_keys,
        )
        self.reload = Reload(config, hooks, self.log)

    # -- start and stop

    async def run(self, desired: State, control_path: str) -> None:
        """Serves until a planned stop has finished.

        Args:
            desired: The desired state at the start.
            control_path: Path of the control socket; an empty path disables the control socket.

        Raises:
            StateError: if the desired state cannot be reached.
            OSError: if an address cannot be bound.
        """
        self._handle_signals()
        await self.state_transfer.join()
        self.readiness.start()
        self.frontend.last_client_at = self.clock.now()
        await self.state_transfer.open_peers()
        await self.running_state.apply(digest(EMPTY), desired)
        controller = await control.listen(control_path, self.running_state) if control_path else None
        self._serve()
        await self.stopped.wait()
        await self._finish_before_exit()
        await self._serve_late_clients()
        self._close()
        if controller is not None:
            controller.close()
        self.faktory.close()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._log_exception)
        stop_signals = StopSignals(self.clock.now, self._stop)
        stop_signals.listen(loop)
        self.deadline_loop.before_deadlines = stop_signals.deliver

    def _serve(self) -> None:
        """Applies the handed-over state and starts to accept clients."""
        self.state_transfer.use_state()
        self.state_transfer.open_listener()
        self.listener.accept()
        self.state_transfer.announce_serving()
        if self.config.admin is not None:
            self.admin_listener.bind(self.config.admin, MAX_ADMIN_CONNECTIONS)
            self.admin_listener.accept()
        gc.collect()
        gc.freeze()
        if self.limits.missing_mb:
            self.log("memory_limit_too_small", limit_mb=self.config.memory_mb, missing_mb=self.limits.missing_mb)
        self.memory_monitor.start()
        self.log("started", name=self.config.name, listen=":".join(map(str, self.config.listen)), pid=os.getpid())
        # A reload needs a running configuration, so earlier signals were only recorded.
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload.begin)
        if startup_signals.reload_requested:
            self.reload.begin()
        self.turn()

    def _stop(self, signalled_at: float) -> None:
        """Begins a planned stop, whose time runs from the signal."""
        if self.shutdown.stop(signalled_at):
            self.log("stopping", messages=len(self.core.requests))
        self.faktory.stop()
        self.turn()

    async def _finish_before_exit(self) -> None:
        """Leaves the cluster, writes the cached list, and waits until the successor has read all messages."""
        await self.cluster.leave()
        await self.discovery.close_cache()
        await self.hot_restart.say_goodbye()

    async def _serve_late_clients(self) -> None:
        """Serves clients that connected during the last tasks; the sockets are closed right after the last check."""
        while self._open_work():
            self.frontend.close_idle()
            await asyncio.sleep(LATE_CLIENT_CHECK_INTERVAL_S)

    def _close(self) -> None:
        """Logs the end of the process and closes all sockets.

        Until this step the listener has accepted late clients, unless a successor has accepted them.
        """
        self.log("stopped", **{final.value: count for final, count in self.core.counts.items()})
        self.frontend.log_process_end()
        self.hot_restart.close()
        self.listener.close()
        self.admin_listener.close()
        self.admin.close()
        self.discovery.client.stop()
        self.peers.close()

    # -- callbacks of the parts

    def _use_reloaded_config(self, config: Config) -> None:
        self.discovery.use_reloaded_config(config)
        self.turn()

    def _answer_by(self) -> float:
        """Returns the latest time for the final answer of a new request.

        While clients are handed over to a successor, it gives the answers that take longer. Later, clients of new
        requests are to ask the successor.
        """
        if not self.hot_restart.handed_over:
            return self.shutdown.answer_by
        return self.clock.now() if self.shutdown.transfer_over else float("inf")

    def _give_up_requests(self) -> None:
        """Ends all open requests of both frontends."""
        self.core.give_up_all()
        self.faktory.give_up_jobs()

    def _cores(self) -> list[Core]:
        return [self.core, *self.faktory.cores]

    def _open_work(self) -> int:
        """Returns the number of requests, jobs, connections and processes that a stop waits for.

        A predecessor hands its clients over to this process, and through it to the successor.
        """
        jobs = sum(len(core.requests) for core in self._cores())
        predecessors = int(self.hot_restart.predecessor is not None and self.clock.now() < self.shutdown.answer_by)
        clients = len(self.frontend.connections) + self.frontend.adopting + self.listener.has_pending_connection
        return jobs + clients + predecessors

    def _additional_metrics(self) -> str:
        listeners = [self.listener, self.admin_listener]
        if self.faktory.listener is not None:
            listeners.append(self.faktory.listener)
        failures = {listener.acceptor.name: listener.acceptor.failures for listener in listeners}
        counts = [
            labelled_metric(ACCEPT_FAILURES, "listener", failures),
            labelled_metric(CLIENTS_CLOSED, "why", dict(sorted(self.frontend.closes.items()))),
            labelled_metric(SERVERS_CLOSED, "why", dict(sorted(self.backend.closes.items()))),
            memory_metrics(self.memory, self.config.memory_mb),
        ]
        return "".join(counts) + self.cluster.metrics()

    def _log_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        trace = traceback.format_exception(error)[-3:] if error is not None else None
        self.log("exception", where="loop", error=repr(error or context.get("message")), trace=trace)


async def _serve(config: Config, files: Files, log: Log, desired: State, control_path: str) -> None:
    await Application(config, files, log).run(desired, control_path)
    ignore_signals(asyncio.get_running_loop())


def main(config: Config, desired: State, files: Files, control_path: str = "") -> int:
    """Runs a dispatcher in the foreground.

    Returns:
        The exit status: 2 if an address cannot be bound or the desired state cannot be reached, else 0.
    """
    allocator.configure()
    log = Log(level=cast(str, desired["log_level"]))
    try:
        uvloop.run(_serve(config, files, log, desired, control_path))
    except (StateError, OSError) as error:
        print(f"heronlug: {error}", file=sys.stderr)
        return 2
    finally:
        log.close()
    return 0
