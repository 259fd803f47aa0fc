"""Sends and receives the gossip between dispatchers over UDP; datagrams are small, unordered and may be lost."""

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
        gossip: State of the peers and of the messages sent to them.
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
        """Creates a protocol without a socket; asyncio passes the socket to :meth:`connection_made`.

        Args:
            peers: Addresses of all dispatchers by position, including this dispatcher.
            broadcast: Address that reaches all dispatchers; None to send to each peer separately.
            position: Position of this dispatcher.
            on_message: Called with the position of the sending peer and the message.
            log: Receives the log events.
            run_due: Called after each message, to run the deadlines that are due.
            clock: Returns the current time in ms.
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
        """Stores the transport of the socket that asyncio has opened."""
        # uvloop's transport implements the interface without being a subclass.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handles a datagram of a peer.

        Drops datagrams from unknown senders, oversized datagrams, and the broadcasts of this dispatcher itself.
        """
        peer = self._positions.get(addr[:2])
        if peer is None or peer == self._position or len(data) > MAX_DATAGRAM_BYTES:
            return
        message = self.gossip.receive(peer, data, self._clock())
        if not message:
            return
        try:
            self._on_message(peer, message)
        except Exception as error:  # a peer's message must not end this process
            self._log("exception", where="peers", error=repr(error))
        self._run_due()

    def error_received(self, exc: Exception) -> None:
        """Ignores the error, which occurs while a peer is down; gossip may be lost."""

    def others_serve(self) -> bool:
        """Returns whether a peer that is not leaving has sent a message recently."""
        return self.gossip.others_serve(self._clock())

    def leave(self) -> None:
        """Sends the goodbyes that are due, because the clients of this dispatcher move to the peers.

        Called repeatedly until the process ends.
        """
        for recipient in self.gossip.leave(self._clock()):
            self._send_datagram(LEAVING, recipient)

    def rejoin(self) -> None:
        """Cancels the leave; this dispatcher continues to serve."""
        self.gossip.rejoin()

    def send(self, message: bytes, recipient: int) -> None:
        """Sends a message to a peer or to ``ALL_PEERS``; drops a message that is too long for a datagram."""
        self._send_datagram(self.gossip.datagram(message, recipient, self._clock()), recipient)

    def _send_datagram(self, datagram: bytes, recipient: int) -> None:
        if self._transport is None or not datagram:
            return
        for address in self._addresses_of(recipient):
            self._transport.sendto(datagram, address)

    def _addresses_of(self, recipient: int) -> list[tuple[str, int]]:
        """Returns the addresses of a recipient; an empty list if no dispatcher has that position."""
        if recipient != ALL_PEERS:
            return self._addresses[recipient : recipient + 1]
        if self._broadcast is not None:
            return [self._broadcast]
        return [address for position, address in enumerate(self._addresses) if position != self._position]

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    @property
    def is_open(self) -> bool:
        """Returns whether the socket is open."""
        return self._transport is not None

    def fileno(self) -> int:
        """Returns the file descriptor of the socket; -1 if the socket is not open."""
        return int(self._transport.get_extra_info("socket").fileno()) if self._transport is not None else -1
