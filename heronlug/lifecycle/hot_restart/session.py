"""The upgrade: one process takes over from another, and for a while the two are one dispatcher.

The new one asks for the state and says when it serves; from then on the old one passes its clients on.  Whatever goes
wrong between them, each goes on by itself.
"""

import asyncio
import os
import socket
from collections.abc import Callable
from typing import Any, Protocol

from heronlug.lifecycle.hot_restart import channel as partner
from heronlug.lifecycle.hot_restart.channel import PeerProcess
from heronlug.requests.deadlines import Deadlines

VERSION = 1
SILENT = 1000.0  # a partner that has not told its state by then is none
FAREWELL = 1000.0  # so long the old one waits for the new one to have read all that it passed on


class HotRestartState(Protocol):
    """What of the daemon is handed over."""

    def state(self) -> tuple[dict[str, Any], list[int]]:
        """All that a new process needs to know, and its sockets."""

    def give_way(self) -> None:
        """Another process serves: take no clients, leave the peers to it, and hold less."""

    def take_back(self) -> None:
        """It has gone: all as before."""

    def alone(self) -> None:
        """The process before us has ended."""

    def told(self, table: dict[str, Any]) -> None:
        """News of the partner's messages."""

    def client(self, fd: int, served: bool) -> None:
        """A client's connection, passed on."""

    def message(self, table: dict[str, Any], fds: list[int]) -> None:
        """A message that runs, passed on with its connections."""


class HotRestart:
    """Both ends of it; a process may have one before it and one after it."""

    def __init__(
        self,
        parts: HotRestartState,
        name: str,
        path: str,
        deadlines: Deadlines,
        log: Callable[..., None],
        turn: Callable[[], None],
    ) -> None:
        self._parts, self._name, self._path = parts, name, path
        self._deadlines, self._log, self._turn = deadlines, log, turn
        self._listening: socket.socket | None = None
        self._state: asyncio.Future[tuple[dict[str, Any], list[int]] | None] | None = None
        self._parted: asyncio.Future[None] | None = None
        self._asking: set[PeerProcess] = set()  # they have asked and do not serve yet
        self.before: PeerProcess | None = None  # the process that we take over from
        self.after: PeerProcess | None = None  # the one that has taken over from us

    # -- the new process

    async def join(self) -> tuple[dict[str, Any], list[int]] | None:
        """The state of the process that runs, and its sockets; None where there is none to be had."""
        sock = partner.call(self._path) if self._path else None
        if sock is None:
            return None
        self._state = asyncio.get_running_loop().create_future()
        self.before = PeerProcess(sock, self._told, self._lost)
        self.before.send({"kind": "hello", "version": VERSION, "name": self._name})
        over = self._deadlines.call_after(SILENT, self._give_up_on, self.before)
        self._turn()
        state = await self._state
        self._deadlines.cancel(over)
        return state

    def renounce(self) -> None:
        """What it told makes no sense: start without it."""
        if self.before is not None:
            self.before.close()
            self.before = None

    def serving(self) -> None:
        """We take clients from now on."""
        if self.before is not None:
            self.before.send({"kind": "serving"})

    def listen(self) -> None:
        """Be found by the next process."""
        if not self._path:
            return
        self._deafen()
        try:
            self._listening = partner.listen(self._path)
        except OSError as error:
            self._log("handover_unavailable", error=str(error))
            return
        asyncio.get_running_loop().add_reader(self._listening.fileno(), self._accept)

    # -- the old process

    @property
    def handed(self) -> bool:
        """Whether another process serves in our place."""
        return self.after is not None

    def pass_on(self, fd: int, served: bool) -> None:
        """A client's connection goes to the process after us."""
        if self.after is not None:
            self.after.send({"kind": "client", "served": served}, [fd])

    def pass_message(self, table: dict[str, Any], fds: list[int]) -> None:
        """A message that runs goes to the process after us."""
        if self.after is not None:
            self.after.send({"kind": "message", **table}, fds)

    async def part(self) -> None:
        """The old process ends: it waits until the new one has everything, for what is unread might end with it."""
        if self.after is None:
            return
        self._parted = asyncio.get_running_loop().create_future()
        self.after.send({"kind": "bye"})
        over = self._deadlines.call_after(FAREWELL, self._part_anyway)
        self._turn()
        await self._parted
        self._deadlines.cancel(over)

    def _part_anyway(self) -> None:
        if self._parted is not None and not self._parted.done():
            self._parted.set_result(None)

    # -- both

    def tell(self, table: dict[str, Any]) -> None:
        """News of our messages, for whoever is beside us."""
        for other in (self.before, self.after, *self._asking):
            if other is not None:
                other.send({"kind": "news", **table})

    def close(self) -> None:
        """Leave.  The socket's file stays: another process may have put its own there."""
        self._deafen()
        for other in (self.before, self.after, *self._asking):
            if other is not None:
                other.close()

    # -- inside

    def _deafen(self) -> None:
        if self._listening is not None:
            asyncio.get_running_loop().remove_reader(self._listening.fileno())
            self._listening.close()
            self._listening = None

    def _accept(self) -> None:
        assert self._listening is not None
        try:
            sock, _ = self._listening.accept()
        except OSError:
            return
        sock.setblocking(False)
        if len(self._asking) >= 2 or not partner.is_ours(sock):
            sock.close()
        else:
            self._asking.add(PeerProcess(sock, self._told, self._lost))

    def _told(self, other: PeerProcess, message: dict[str, Any], fds: list[int]) -> None:
        kept = False
        try:
            kind = message["kind"]
            if other is self.before and kind == "state" and self._state is not None and not self._state.done():
                self._state.set_result((message, fds))
                kept = True
            elif other is self.before and kind == "client" and len(fds) == 1:
                self._parts.client(fds[0], message["served"] is True)
                kept = True
            elif other is self.before and kind == "message" and fds:
                kept = True
                self._parts.message(message, fds)
            elif other is self.before and kind == "bye":
                other.close()
                self._lost(other, "parted")
            elif kind == "news":
                self._parts.told(message)
            elif other in self._asking and kind == "hello":
                if message["version"] != VERSION or message["name"] != self._name:
                    raise ValueError("another kind of partner")
                state, ours = self._parts.state()
                other.send({"kind": "state", **state}, ours)
            elif other in self._asking and kind == "serving" and self.after is None:
                self._asking.discard(other)
                self.after = other
                self._log("handed_over")
                self._parts.give_way()
            else:
                raise ValueError(f"{kind!r} is not expected")
        finally:
            if not kept:
                for fd in fds:
                    os.close(fd)
        self._turn()

    def _lost(self, other: PeerProcess, why: str) -> None:
        """It has ended, or makes no sense."""
        self._asking.discard(other)
        if other is self.before:
            self.before = None
            self._log("partner_gone", which="before", why=why)
            if self._state is not None and not self._state.done():
                self._state.set_result(None)
            self._parts.alone()
        elif other is self.after and self._parted is not None:
            self._part_anyway()
        elif other is self.after:
            self.after = None
            self._log("partner_gone", which="after", why=why)
            self._parts.take_back()
        self._turn()

    def _give_up_on(self, other: PeerProcess) -> None:
        other.close()
        self._lost(other, "silent")
