"""The daemon: puts the parts together, runs the loop, and sweeps the deadlines each turn."""

import asyncio
import gc
import signal
import traceback
from functools import partial
from typing import Any

import uvloop

from heronlug.interface import ListKind
from heronlug.life.config import Config
from heronlug.life.log import Log
from heronlug.life.stop import Stop
from heronlug.memory.core import Core, Final, HostEntry, Message, Relay
from heronlug.memory.deadlines import Clock, Deadlines
from heronlug.wire.inventory import BadList, Inventory, read_list
from heronlug.wire.north import North
from heronlug.wire.peers import Peers
from heronlug.wire.south import South

SPARE_DESCRIPTORS = 64  # for the loop, the log, the inventory, the peers and the listeners


class Loop:
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
            self.deadlines.sweep()
        except Exception as error:  # one deadline's fault must not stop the others
            self._log("exception", where="deadlines", error=repr(error))
        head = self.deadlines.head()
        if head == self._armed_for:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer, self._armed_for = None, head
        if head is not None:
            delay = max(0.0, head - self.clock.now()) / 1000
            self._timer = asyncio.get_running_loop().call_later(delay, self._fire)

    def _fire(self) -> None:
        self._timer = self._armed_for = None
        self.turn()


class Daemon:
    """One dispatcher."""

    def __init__(self, config: Config, log: Log) -> None:
        self.config, self.log = config, log
        self.loop = Loop(log)
        self.turn = self.loop.turn
        self.stopping = False
        self.left = asyncio.Event()
        deadlines, settings = self.loop.deadlines, config.settings
        half = max(16, (config.sockets - SPARE_DESCRIPTORS) // 2)
        self.south = South(
            deadlines, log, self.turn,
            conn_idle=config.conn_idle, dial_timeout=settings.dial_timeout, max_connections=half,
        )  # fmt: skip
        self.peers = Peers(config.peers, config.peers_all, settings.position, self._heard, log, self.turn)
        read = partial(read_list, zones=config.zones, kinds=config.kinds, to_clock=float)  # our clock is Unix time
        self.inventory = Inventory(config.discovery, 0, read, self._news, deadlines, log, self.turn)
        self.core = Core(
            settings, config.seed, self, deadlines, log=log,
            subscribe=self.inventory.subscribe, tell=self.peers.tell,
            max_open=min(config.max_open, int(config.memory_mb * 8)),  # 64 KiB each fill half of the memory
            max_come_back=config.max_come_back,
        )  # fmt: skip
        self.south.core = self.core
        self.north = North(self, settings, half, self.turn)
        self.stop = Stop(
            deadlines, self._busy, lambda: self.north.opened_at, self.north.close_idle, self.left.set
        )

    # -- the front of the platform's protocol

    def send(self, relay: Relay) -> None:
        """Begin a relay."""
        self.south.send(relay)

    def cancel(self, relay: Relay) -> None:
        """Give a relay up."""
        self.south.cancel(relay)

    def answer(self, message: Message, final: Final, body: bytes, come_back: float) -> None:
        """Answer a client."""
        self.north.answer(message, final, body, come_back)

    # -- start and stop

    def ready(self) -> bool:
        """Whether serving is possible."""
        return not self.stopping and self.core.can_serve

    async def run(self) -> None:
        """Serve until a planned stop is over."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._exception)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        if self.config.peer_listen and self.config.settings.may_tell:
            await loop.create_datagram_endpoint(lambda: self.peers, local_addr=self.config.peer_listen)
        self._cached()
        server = await loop.create_server(self.north.protocol, *self.config.listen, backlog=512)
        gc.collect()
        gc.freeze()
        self.log("started", name=self.config.name, listen=":".join(map(str, self.config.listen)))
        self.turn()
        await self.left.wait()
        self.log("stopped", **{final.value: count for final, count in self.core.counts.items()})
        server.close()
        self.inventory.stop()
        self.peers.close()

    def _on_signal(self) -> None:
        if not self.stopping:
            self.log("stopping", messages=len(self.core.messages))
        self.stopping = True
        self.stop.begin()
        self.turn()

    def _busy(self) -> int:
        return len(self.core.messages) + len(self.north.connections)

    def _cached(self) -> None:
        """The list as last held: perhaps old, and the module asks for a new one at once."""
        entries: list[HostEntry] = []
        if self.config.known is not None:
            try:
                version, _, entries = self.inventory._read(self.config.known)
                self.inventory.version = version
            except BadList as error:
                self.log("bad_known_list", error=str(error))
        self.core.inventory(ListKind.CACHED, entries)

    def _news(self, kind: ListKind, entries: list[HostEntry]) -> None:
        self.core.inventory(kind, entries)
        self.south.retire(self.core.hosts)

    def _heard(self, peer: int, content: bytes) -> None:
        self.core.heard(peer, content)

    def _exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        trace = traceback.format_exception(error)[-3:] if error is not None else None
        self.log("exception", where="loop", error=repr(error or context.get("message")), trace=trace)


async def _serve(config: Config, log: Log) -> None:
    await Daemon(config, log).run()


def main(config: Config) -> int:
    """Run a dispatcher in the foreground."""
    log = Log()
    try:
        uvloop.run(_serve(config, log))
    finally:
        log.close()
    return 0
