"""The rows of a replicated table that holds the endpoint list.

A server's row has the key ``h`` and the server's name; its value is the server as msgpack. Three more rows describe the
list: ``v`` has its version, ``s`` is there while its writer has no open watch, ``b`` says when the versions of service
discovery last restarted.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from heronlug.balancer.events import ServerState
from heronlug.cluster import merkle_trie
from heronlug.cluster.server_view import KnownList
from heronlug.requests.interfaces import EventLog
from heronlug.requests.model import ListedServer

VERSION_KEY = b"v"
UNWATCHED_KEY = b"s"
VERSIONS_RESTARTED_KEY = b"b"

UNWATCHED = b"\x01"
"""The value of the row that is there while the writer has no open watch."""

SERVER_PREFIX = b"h"

ServerColumns = tuple[str, int, str, str, int, float, float]
"""A server's row: address, state, zone, machine type, cell, weight, started at (Unix time in ms)."""


def server_key(name: str) -> bytes:
    """The key of a server's row."""
    return SERVER_PREFIX + name.encode()


def server_name(key: bytes) -> str:
    """The name of the server that a row's key stands for."""
    return key[len(SERVER_PREFIX) :].decode()


@dataclass(frozen=True, slots=True)
class ServerRowCodec:
    """Encodes servers as rows; zones and machine types go by name, for other dispatchers may number them differently.

    Attributes:
        zones: The names of the zones, in the order of their numbers.
        kinds: The machine types, in the order of their numbers.
    """

    zones: list[str]
    kinds: list[str]

    def encode(self, servers: Iterable[ListedServer]) -> merkle_trie.Rows:
        """The rows of servers."""
        return {server_key(server.name): msgspec.msgpack.encode(self._columns(server)) for server in servers}

    def decode(self, key: bytes, value: bytes) -> ListedServer:
        """The server of a row.

        Raises:
            ValueError: It is no server's row.
        """
        columns: ServerColumns = msgspec.msgpack.decode(value, type=ServerColumns)
        address, state, zone, kind, cell, weight, started_at = columns
        return ListedServer(
            name=server_name(key),
            address=address,
            state=ServerState(state),
            zone=self.zones.index(zone) if zone in self.zones else len(self.zones),
            kind=self.kinds.index(kind) if kind in self.kinds else len(self.kinds),
            cell=cell,
            weight=weight,
            started_at=started_at,
        )

    def _columns(self, server: ListedServer) -> ServerColumns:
        return (
            server.address,
            int(server.state),
            self.zones[server.zone] if server.zone < len(self.zones) else "",
            self.kinds[server.kind] if server.kind < len(self.kinds) else "",
            server.cell,
            server.weight,
            server.started_at,
        )


@dataclass(slots=True)
class ListChange:
    """What changed rows mean.

    Attributes:
        version: The version of the list; -1 if it has none.
        servers: Servers that are new or have changed.
        removed: The names of servers that are not on it any more.
    """

    version: int
    servers: list[ListedServer] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)


class ServerTable:
    """One replicated table with the endpoint list, as it is known here.

    Attributes:
        topic: The table's name.
        known: The list in it.
        watched: Whether its writer has an open watch.
        versions_restarted_at: When the versions of service discovery last restarted, in Unix time in ms.
    """

    def __init__(self, topic: str, codec: ServerRowCodec, log: EventLog) -> None:
        self.topic = topic
        self.known = KnownList()
        self.watched = True
        self.versions_restarted_at = 0.0
        self._codec = codec
        self._log = log

    def read(self, rows: Mapping[bytes, bytes | None]) -> ListChange:
        """Read changed rows; None stands for a row that is gone. A row that makes no sense is logged and skipped."""
        change = ListChange(self.known.version)
        for key, value in rows.items():
            try:
                self._read_row(key, value, change)
            except ValueError as error:  # msgspec's errors are ValueErrors too
                self._log("bad_row", sheet=self.topic, key=key.hex(), error=str(error))
        return change

    def _read_row(self, key: bytes, value: bytes | None, change: ListChange) -> None:
        if key == VERSION_KEY:
            change.version = msgspec.msgpack.decode(value, type=int) if value is not None else -1
        elif key == UNWATCHED_KEY:
            self.watched = value is None
        elif key == VERSIONS_RESTARTED_KEY:
            self.versions_restarted_at = msgspec.msgpack.decode(value, type=float) if value is not None else 0.0
        elif value is None:
            change.removed.append(server_name(key))
        else:
            change.servers.append(self._codec.decode(key, value))
