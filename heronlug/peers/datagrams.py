"""Datagrams between dispatchers: small, unordered, and perhaps lost."""

import asyncio
from collections.abc import Callable
from typing import cast

from heronlug.net import http
from heronlug.peers.gossip import LEAVING, MAX_CONTENT, Gossip


class PeerSocket(asyncio.DatagramProtocol):
    """The socket on which dispatchers tell each other."""

    def __init__(
        self,
        peers: list[str],
        everyone: str | None,
        position: int,
        heard: Callable[[int, bytes], None],
        log: Callable[..., None],
        turn: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self.telling = Gossip(len(peers))
        self._addresses = [http.split_address(peer) for peer in peers]
        self._numbers = {address: number for number, address in enumerate(self._addresses)}
        self._everyone = http.split_address(everyone) if everyone else None
        self._position, self._heard, self._log, self._turn = position, heard, log, turn
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self._transport = cast(asyncio.DatagramTransport, transport)  # uvloop's is no subclass, and keeps to it

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """A datagram counts only from a peer's address; what we told everyone comes back to us too."""
        number = self._numbers.get(addr[:2])
        if number is None or number == self._position or len(data) > MAX_CONTENT:
            return
        data = self.telling.receive(number, data, self._clock())
        if not data:
            return
        try:
            self._heard(number, data)
        except Exception as error:  # a peer's bytes must not end us
            self._log("exception", where="peers", error=repr(error))
        self._turn()

    def error_received(self, exc: Exception) -> None:
        """A peer that is down answers so; nothing is owed."""

    def serving(self) -> bool:
        """Whether another dispatcher has lately been heard at work that is not leaving."""
        return self.telling.serving(self._clock())

    def leave(self) -> None:
        """We part: those that hear us are told that our clients will come to them."""
        for peer in self.telling.leave(self._clock()):
            self._send(LEAVING, peer)

    def stay(self) -> None:
        """We do not part after all."""
        self.telling.stay()

    def tell(self, content: bytes, peer: int) -> None:
        """Send to one peer, or to all with -1; a longer datagram than allowed is never sent."""
        self._send(self.telling.tell(content, peer, self._clock()), peer)

    def _send(self, content: bytes, peer: int) -> None:
        if self._transport is None or not content:
            return
        if peer >= 0:
            to = self._addresses[peer : peer + 1]
        elif self._everyone is not None:
            to = [self._everyone]
        else:
            to = [a for number, a in enumerate(self._addresses) if number != self._position]
        for address in to:
            self._transport.sendto(content, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    @property
    def open(self) -> bool:
        """Whether there is a socket."""
        return self._transport is not None

    def fileno(self) -> int:
        """The socket's descriptor, -1 for none."""
        return int(self._transport.get_extra_info("socket").fileno()) if self._transport is not None else -1
