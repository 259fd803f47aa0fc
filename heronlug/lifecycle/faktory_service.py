"""Opens, changes and closes the Faktory frontend of a running dispatcher, as plan and apply request."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from heronlug.config.platform import Config
from heronlug.lifecycle.log import Log
from heronlug.memory.account import MemoryAccount
from heronlug.net.acceptor import Acceptor
from heronlug.net.http import split_address
from heronlug.net.listener import Listener
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines

if TYPE_CHECKING:  # imported only when the frontend is first opened, to save memory in a dispatcher without Faktory
    from heronlug.frontends.faktory.config import FaktoryConfig
    from heronlug.frontends.faktory.frontend import FaktoryFrontend

LISTEN_BACKLOG = 128
"""Number of connections that may wait to be accepted."""
RETRY_SHARE = 1e3
"""Retries per request: in effect unlimited, since workers pull their jobs and retries cannot overload the workers."""
RETRY_BURST = 1e6
"""Maximum burst of retries: in effect unlimited; the maximum number of attempts per request still applies."""


@dataclass(frozen=True)
class OpenedListener:
    """A bound listener, with its configuration and the frontend that will serve on it."""

    config: "FaktoryConfig"
    listener: Listener
    frontend: "FaktoryFrontend"


class FaktoryService:
    """Owns the Faktory frontend, its store and its listener.

    Attributes:
        frontend: The frontend, created when first opened and never removed, since the frontend owns the accepted jobs.
        listener: The listener of the frontend; None while the frontend only finishes the accepted jobs.
    """

    def __init__(
        self,
        config: Config,
        http_core: Core,
        deadlines: Deadlines,
        log: Log,
        turn: Callable[[], None],
        is_stopping: Callable[[], bool] = lambda: False,
        memory: MemoryAccount | None = None,
    ) -> None:
        """Creates a service without a frontend.

        Args:
            config: the configuration of the dispatcher.
            http_core: the core whose settings both frontends share.
            deadlines: the deadlines of the process, and its clock.
            log: the event log.
            turn: runs the deadlines that are due.
            is_stopping: returns whether a planned stop of the process has begun.
            memory: the account of the process; None for one without a limit.
        """
        self.frontend: FaktoryFrontend | None = None
        self.listener: Listener | None = None
        self._config = config
        self._http_core = http_core
        self._max_open = http_core.max_open  # an upgrade changes the limit of the other frontend
        self._deadlines = deadlines
        self._log = log
        self._turn = turn
        self._is_stopping = is_stopping
        self._memory = memory or MemoryAccount()

    @property
    def cores(self) -> list[Core]:
        """Returns a list with the core of the frontend; empty without a frontend."""
        return [self.frontend.core] if self.frontend is not None else []

    async def open(self, table: dict[str, Any]) -> OpenedListener:
        """Binds the address of a ``[faktory]`` table, unless the address is already in use by this frontend.

        The first call also opens the store. The jobs in the store stay as they are until :meth:`use`.

        Raises:
            OSError: if the address cannot be bound.
            ValueError: if the store differs from the store in use.
        """
        new_config = _read_config(table)
        if self.frontend is not None and self.frontend.config.store != new_config.store:
            msg = "faktory: store: cannot change while the dispatcher runs; restart the dispatcher"
            raise ValueError(msg)
        frontend = self.frontend or self._make_frontend(new_config)
        if self.listener is not None and frontend.config.listen == new_config.listen:
            return OpenedListener(new_config, self.listener, frontend)
        listener = Listener(Acceptor("faktory", frontend.protocol, self._log))
        opened = OpenedListener(new_config, listener, frontend)
        try:
            listener.bind(new_config.listen, LISTEN_BACKLOG)
        except OSError:
            self.discard(opened)
            raise
        return opened

    def use(self, opened: OpenedListener | None) -> None:
        """Serves on an opened listener; with None, new jobs are rejected and the accepted jobs continue."""
        if self.frontend is None and opened is not None:
            self.frontend = opened.frontend
            self._recover(opened.frontend)
        if self.frontend is None:
            return
        listener = opened.listener if opened is not None else None
        if self.listener is not None and self.listener is not listener:
            self.listener.close()
        self.listener = listener
        if opened is not None:
            self.frontend.config = opened.config
        if listener is None:
            self.frontend.turn_off()
        else:
            self.frontend.turn_on()
            listener.accept()
        if self._is_stopping():  # the frontend may be opened after the stop has begun
            self.frontend.begin_stop()

    def discard(self, opened: OpenedListener) -> None:
        """Closes a listener that was opened but is not in use, and the store that was opened for it."""
        if opened.listener is not self.listener:
            opened.listener.close()
        if opened.frontend is not self.frontend:
            opened.frontend.close()

    def stop(self) -> None:
        """Stops accepting and starting jobs because the process stops; jobs that have started still finish."""
        if self.frontend is not None:
            self.frontend.begin_stop()

    def give_up_jobs(self) -> None:
        """Ends all open jobs because the time to answer is over, or leaves them to the next process."""
        if self.frontend is not None:
            self.frontend.give_up_jobs()

    def close(self) -> None:
        """Closes the listener, all connections and the store."""
        if self.frontend is not None:
            self.use(None)
            self.frontend.close()

    def _recover(self, frontend: "FaktoryFrontend") -> None:
        """Resumes the jobs in the store under the limits and with the plug-ins that are in effect now."""
        frontend.core.use_classes(self._http_core.settings.classes)
        frontend.core.plugins = self._http_core.plugins
        frontend.recover()

    def _make_frontend(self, faktory_config: "FaktoryConfig") -> "FaktoryFrontend":
        """Creates the frontend with a separate core: workers cannot run HTTP requests, and servers cannot run jobs."""
        from heronlug.frontends.faktory.frontend import FaktoryFrontend
        from heronlug.frontends.faktory.recovery import open_store

        store = open_store(faktory_config.store, self._log, self._turn, self._deadlines.clock)
        frontend = FaktoryFrontend(faktory_config, self._deadlines, self._log, self._turn, store, self._memory)
        settings = replace(
            self._http_core.settings,
            instances=1,
            position=0,
            gossip=False,
            list_pushed=True,
            report_fields=(),
            zone_failover=False,
            retry_share=RETRY_SHARE,
            retry_burst=RETRY_BURST,
        )
        frontend.core = Core(
            settings,
            self._config.seed ^ 1,
            frontend,
            self._deadlines,
            log=self._log,
            max_open=self._max_open,
            max_retry_after=self._config.max_come_back,
            plugins=self._http_core.plugins,
        )
        return frontend


def _read_config(table: dict[str, Any]) -> "FaktoryConfig":
    from heronlug.frontends.faktory.config import FaktoryConfig

    return FaktoryConfig(
        listen=split_address(table["listen"]),
        password=table["password"],
        heartbeat_timeout_ms=table["beat_timeout_s"] * 1000,
        reserve_ms=table["reserve_for_s"] * 1000,
        remember_ms=table["remember_s"] * 1000,
        max_known_jobs=int(table["max_known"]),
        max_connections=int(table["max_connections"]),
        store=table["store"],
    )
