"""The Faktory frontend of a running dispatcher: opened, changed and closed by plan and apply."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from heronlug.config.platform import Config
from heronlug.lifecycle.log import Log
from heronlug.net.acceptor import Acceptor
from heronlug.net.http import split_address
from heronlug.net.listener import Listener
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines

if TYPE_CHECKING:  # loaded when it is first opened: a platform dispatcher runs without it, in little memory
    from heronlug.frontends.faktory.config import FaktoryConfig
    from heronlug.frontends.faktory.frontend import FaktoryFrontend

LISTEN_BACKLOG = 128
"""Connections that may wait to be accepted."""
RETRY_SHARE = 1e3
"""Retries for each request: no limit in effect, since workers pull their jobs and retries cannot overload them."""
RETRY_BURST = 1e6
"""Retries that may come at once: no limit in effect; each request's maximum of attempts still holds."""


@dataclass(frozen=True)
class OpenedListener:
    """A bound listener, and the configuration that it was bound for."""

    config: "FaktoryConfig"
    listener: Listener


class FaktoryService:
    """Owner of the Faktory frontend, its store and its listener.

    Attributes:
        frontend: made when it is first opened, and kept after that: it owns the jobs that it has taken.
        listener: that it serves on; None while it only finishes the jobs that it has taken.
    """

    def __init__(
        self, config: Config, http_core: Core, deadlines: Deadlines, log: Log, turn: Callable[[], None]
    ) -> None:
        """Make a service without a frontend; ``http_core`` gives the settings that both frontends share."""
        self.frontend: FaktoryFrontend | None = None
        self.listener: Listener | None = None
        self._config = config
        self._http_core = http_core
        self._deadlines = deadlines
        self._log = log
        self._turn = turn

    @property
    def cores(self) -> list[Core]:
        """The core of the frontend, where there is one."""
        return [self.frontend.core] if self.frontend is not None else []

    async def open(self, table: dict[str, Any]) -> OpenedListener:
        """Bind the address of a ``[faktory]`` table, unless it is the one in use.

        Raises:
            OSError: if the address cannot be bound.
            ValueError: if the store is another one than that in use.
        """
        new_config = _read_config(table)
        if self.frontend is not None and self.frontend.config.store != new_config.store:
            msg = "faktory: store: it changes with a restart alone"
            raise ValueError(msg)
        if self.frontend is None:
            self.frontend = self._make_frontend(new_config)
            self.frontend.recover()
        if self.listener is not None and self.frontend.config.listen == new_config.listen:
            return OpenedListener(new_config, self.listener)
        listener = Listener(Acceptor("faktory", self.frontend.protocol, self._log))
        listener.bind(new_config.listen, LISTEN_BACKLOG)
        return OpenedListener(new_config, listener)

    def use(self, opened: OpenedListener | None) -> None:
        """Serve on an opened listener; without one, only the jobs that were taken are finished."""
        if self.frontend is None:
            return
        listener = opened.listener if opened is not None else None
        if self.listener is not None and self.listener is not listener:
            self.listener.close()
        self.listener = listener
        if opened is not None:
            self.frontend.config = opened.config
        if listener is None:
            self.frontend.stop_accepting_jobs()
        else:
            self.frontend.accept_jobs()
            listener.accept()

    def discard(self, opened: OpenedListener) -> None:
        """Close a listener that was opened and is not in use."""
        if opened.listener is not self.listener:
            opened.listener.close()

    def stop(self) -> None:
        """Take no more jobs; those that were taken are finished."""
        if self.frontend is not None:
            self.frontend.stop_accepting_jobs()

    def close(self) -> None:
        """Close the listener, all connections and the store."""
        if self.frontend is not None:
            self.use(None)
            self.frontend.close()

    def _make_frontend(self, faktory_config: "FaktoryConfig") -> "FaktoryFrontend":
        """Make the frontend with a core of its own: its workers cannot run HTTP requests, nor servers its jobs."""
        from heronlug.frontends.faktory.frontend import FaktoryFrontend
        from heronlug.frontends.faktory.recovery import open_store

        store = open_store(faktory_config.store, self._log, self._turn)
        frontend = FaktoryFrontend(faktory_config, self._deadlines, self._log, self._turn, store)
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
            max_open=self._http_core.max_open,
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
