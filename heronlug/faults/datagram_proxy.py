"""Proxies of datagrams between the parties of a run."""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple, Protocol, cast


class DatagramFaults(Protocol):
    """Decides on the fate of each datagram."""

    def datagram_delay_ms(self, source: str, target: str) -> float | None:
        """By how much a datagram comes later; None where it is lost."""


class DatagramPorts(NamedTuple):
    """The parties' own ports.

    Attributes:
        names: of the parties, by port.
        ports: of the parties, by name.
    """

    names: Mapping[int, str]
    ports: Mapping[str, int]


class DatagramProxy(asyncio.DatagramProtocol):
    """Receives the datagrams for one party, and sends each on from the proxy of its sender.

    Attributes:
        transport: the open socket.
        port: where the other parties find this one.
    """

    def __init__(
        self, owner: str, ports: DatagramPorts, proxies: Mapping[str, "DatagramProxy"], faults: DatagramFaults
    ) -> None:
        self.transport: asyncio.DatagramTransport
        self.port = 0
        self._owner = owner
        self._ports = ports
        self._proxies = proxies
        self._faults = faults

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """A datagram for the owner; one from no party is dropped."""
        sender = self._ports.names.get(addr[1])
        if sender is None:
            return
        delay_ms = self._faults.datagram_delay_ms(sender, self._owner)
        if delay_ms is None:
            return
        if delay_ms:
            asyncio.get_running_loop().call_later(delay_ms / 1000, self._forward, sender, data)
        else:
            self._forward(sender, data)

    def error_received(self, exc: Exception) -> None:
        """The party does not listen, which its datagrams need not know."""

    def _forward(self, sender: str, data: bytes) -> None:
        transport = self._proxies[sender].transport
        if not transport.is_closing():
            transport.sendto(data, ("127.0.0.1", self._ports.ports[self._owner]))
