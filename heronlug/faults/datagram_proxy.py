"""Proxies that forward, delay or drop UDP datagrams between the parties of a run."""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple, Protocol, cast


class DatagramFaults(Protocol):
    """Decides whether a datagram is dropped, delayed or forwarded at once."""

    def datagram_delay_ms(self, source: str, target: str) -> float | None:
        """Returns the delay of a datagram in milliseconds, or None if the datagram is lost."""


class DatagramPorts(NamedTuple):
    """The UDP ports on which the parties themselves listen.

    Attributes:
        names: name of each party by port.
        ports: port of each party by name.
    """

    names: Mapping[int, str]
    ports: Mapping[str, int]


class DatagramProxy(asyncio.DatagramProtocol):
    """Receives the datagrams for one party and forwards each from the proxy of its sender.

    Attributes:
        transport: transport of the open socket.
        port: port to which the other parties send datagrams for this party.
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
        """Stores the transport and its port."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forwards a datagram to the owner; a datagram from an unknown port is dropped."""
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
        """Ignores the error that the socket reports if the receiving party does not listen."""

    def _forward(self, sender: str, data: bytes) -> None:
        transport = self._proxies[sender].transport
        if not transport.is_closing():
            transport.sendto(data, ("127.0.0.1", self._ports.ports[self._owner]))
