"""Encodes and decodes the rows of a replicated table that contains the endpoint list.

The key of a server's row is ``h`` followed by the server's name; the value is the server as msgpack. Three more rows
describe the list: ``v`` contains the version of the list, ``s`` is present while the writer has no open watch, and
``b`` contains the time when the version numbers of service discovery last restarted.
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
"""The value of the row that is present while the writer has no open watch."""

SERVER_PREFIX = b"h"

ServerColumns = tuple[str, int, str, str, int, float, float]
"""The columns of a server's row: address, state, zone, machine type, cell, weight, start time (Unix time in ms)."""


def server_key(name: str) -> bytes:
    """Returns the key of a server's row."""
    return SERVER_PREFIX + name.encode()


def server_name(key: bytes) -> str:
    """Returns the server name that the key of a row contains."""
    return key[len(SERVER_PREFIX) :].decode()


@dataclass(frozen=True, slots=True)
class ServerRowCodec:
    """Encodes servers as rows and decodes rows.

    Zones and machine types are encoded by name, since other dispatchers may number them differently.

    Attributes:
        zones: The zone names; the index is the zone number.
        kinds: The machine types; the index is the machine type's number.
    """

    zones: list[str]
    kinds: list[str]

    def encode(self, servers: Iterable[ListedServer]) -> merkle_trie.Rows:
        """Returns the rows of the given servers."""
        return {server_key(server.name): msgspec.msgpack.encode(self._columns(server)) for server in servers}

    def decode(self, key: bytes, value: bytes) -> ListedServer:
        """Returns the server that a row describes.

        A zone or machine type that this dispatcher does not know gets the next number after the configured names.

        Raises:
            ValueError: If the row does not describe a server.
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
    """The change of the endpoint list that a set of changed rows describes.

    Attributes:
        version: The version of the list, or -1 if the table contains no version.
        servers: The added and changed servers.
        removed: The names of the removed servers.
    """

    version: int
    servers: list[ListedServer] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)


class ServerTable:
    """The endpoint list in one replicated table, as this member has received it.

    Attributes:
        topic: The name of the table.
        known: The endpoint list in the table.
        watched: Whether the writer of the table has an open watch.
        versions_restarted_at: The time when the version numbers of service discovery last restarted, in Unix
            milliseconds; 0 if no restart is known.
    """

    def __init__(self, topic: str, codec: ServerRowCodec, log: EventLog) -> None:
        self.topic = topic
        self.known = KnownList()
        self.watched = True
        self.versions_restarted_at = 0.0
        self._codec = codec
        self._log = log

    def read(self, rows: Mapping[bytes, bytes | None]) -> ListChange:
        """Decodes changed rows and updates ``watched`` and ``versions_restarted_at``.

        A row that cannot be decoded is logged and skipped.

        Args:
            rows: The new values by row key; None for a removed row.

        Returns:
            The resulting change of the endpoint list, which is not applied to ``known``.
        """
        change = ListChange(self.known.version)
        for key, value in rows.items():
            try:
                self._read_row(key, value, change)
            except ValueError as error:  # includes msgspec's decoding errors
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
