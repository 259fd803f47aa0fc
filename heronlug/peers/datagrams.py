"""The socket of the gossip between dispatchers: its datagrams are small, unordered, and may be lost."""

import asyncio
from collections.abc import Callable
from typing import cast

from heronlug.net import http
from heronlug.peers.goodbye import ALL_PEERS
from heronlug.peers.gossip import LEAVING, MAX_DATAGRAM_BYTES, Gossip
from heronlug.requests.interfaces import EventLog


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives the gossip of one dispatcher.

    Attributes:
        gossip: Which peers serve, and what they were sent.
    """

    def __init__(
        self,
        peers: list[str],
        broadcast: str | None,
        position: int,
        on_message: Callable[[int, bytes], None],
        log: EventLog,
        run_due: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        """Create a protocol that has no socket yet.

        Args:
            peers: The addresses of all dispatchers by position, this one included.
            broadcast: An address that reaches all of them, or None.
            position: The position of this dispatcher.
            on_message: Is given each message with the position of the peer that sent it.
            log: Where events are logged.
            run_due: Is called after each message, to handle what follows from it.
            clock: The time in ms.
        """
        self.gossip = Gossip(len(peers))
        self._addresses = [http.split_address(peer) for peer in peers]
        self._positions = {address: number for number, address in enumerate(self._addresses)}
        self._broadcast = http.split_address(broadcast) if broadcast else None
        self._position = position
        self._on_message = on_message
        self._log = log
        self._run_due = run_due
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Use the socket, which is open now."""
        self._transport = cast(asyncio.DatagramTransport, transport)  # uvloop's is no subclass, and keeps to it

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram of a peer; others are dropped, such as this dispatcher's own broadcasts."""
        peer = self._positions.get(addr[:2])
        if peer is None or peer == self._position or len(data) > MAX_DATAGRAM_BYTES:
            return
        message = self.gossip.receive(peer, data, self._clock())
        if not message:
            return
        try:
            self._on_message(peer, message)
        except Exception as error:  # what a peer sends must not end this process
            self._log("exception", where="peers", error=repr(error))
        self._run_due()

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer is down: gossip may be lost."""

    def others_serve(self) -> bool:
        """Whether a peer was heard lately that is not leaving."""
        return self.gossip.others_serve(self._clock())

    def leave(self) -> None:
        """Send the goodbyes that are due: this dispatcher's clients will come to the peers.

        To be called again and again until the process ends.
        """
        for recipient in self.gossip.leave(self._clock()):
            self._send_datagram(LEAVING, recipient)

    def rejoin(self) -> None:
        """Serve on: this dispatcher does not leave after all."""
        self.gossip.rejoin()

    def send(self, message: bytes, recipient: int) -> None:
        """Send a message to a peer or ``ALL_PEERS``; one that is too long for a datagram is dropped."""
        self._send_datagram(self.gossip.datagram(message, recipient, self._clock()), recipient)

    def _send_datagram(self, datagram: bytes, recipient: int) -> None:
        if self._transport is None or not datagram:
            return
        for address in self._addresses_of(recipient):
            self._transport.sendto(datagram, address)

    def _addresses_of(self, recipient: int) -> list[tuple[str, int]]:
        """Where a datagram is sent; none for a position that no dispatcher has."""
        if recipient != ALL_PEERS:
            return self._addresses[recipient : recipient + 1]
        if self._broadcast is not None:
            return [self._broadcast]
        return [address for position, address in enumerate(self._addresses) if position != self._position]

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    @property
    def is_open(self) -> bool:
        """Whether there is a socket."""
        return self._transport is not None

    def fileno(self) -> int:
        """The descriptor of the socket, -1 if there is none."""
        return int(self._transport.get_extra_info("socket").fileno()) if self._transport is not None else -1
