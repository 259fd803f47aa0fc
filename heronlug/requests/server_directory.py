"""Tracks the servers of the endpoint list by number, and whether the list may be used."""

from collections.abc import Iterable, Sequence

from heronlug.balancer.events import FORGET_AFTER, ListKind, ServerEntry, ServerListUpdate, ServerState
from heronlug.requests.model import ListedServer, Server
from heronlug.requests.server_numbers import ServerNumbers


class ServerDirectory:
    """Applies updates of the endpoint list to the servers and converts the updates for the balancer.

    Attributes:
        by_number: Servers that are listed, were removed less than ``FORGET_AFTER`` ms ago, or still have attempts in
            flight.
        stale: Whether the list is older than the rules allow, so that any server may be draining or removed.
    """

    def __init__(self) -> None:
        self.by_number: dict[int, Server] = {}
        self.stale = False
        self._numbers = ServerNumbers()
        self._removed_at: dict[int, float] = {}  # by number: time of the removal, oldest first

    @property
    def can_serve(self) -> bool:
        """Returns whether the list is usable and contains a ready server."""
        return not self.stale and self.has_ready_server

    @property
    def has_ready_server(self) -> bool:
        """Returns whether the list contains a ready server, even if the list is stale."""
        return any(server.ready for server in self.by_number.values())

    def listed(self) -> list[Server]:
        """Returns the servers that have not been removed."""
        return [server for server in self.by_number.values() if server.listed]

    def knows(self, name: str) -> bool:
        """Returns whether the server with this name is listed, or was removed only lately."""
        return bool(name) and self._numbers.number_of(name) in self.by_number

    def number_of(self, name: str) -> int:
        """Returns the number of the server with this name."""
        return self._numbers.number_of(name)

    def update(self, kind: ListKind, entries: Sequence[ListedServer], now: float) -> ServerListUpdate:
        """Applies an update of the endpoint list and returns the update for the balancer."""
        server_entries = [self._apply(entry, now) for entry in entries]
        if kind in (ListKind.FULL, ListKind.CACHED):
            self._remove_all_but({server_entry.server for server_entry in server_entries}, now)
        if self.stale and kind in (ListKind.FULL, ListKind.CHANGES):
            self.stale, kind = False, ListKind.FULL  # the balancer has had no list since the list became stale
            server_entries = self._listed_entries()
        return ServerListUpdate(kind, tuple(server_entries))

    def set_usable(self, usable: bool) -> ServerListUpdate | None:
        """Sets whether the list may be used.

        While the list is unusable, the balancer has an empty list, so that no server gets new requests.

        Returns:
            The update for the balancer; None if the list was in that state already.
        """
        if usable is not self.stale:
            return None
        self.stale = not usable
        return ServerListUpdate(ListKind.CACHED, tuple(self._listed_entries()) if usable else ())

    def forget_removed(self, in_use: Iterable[int], now: float) -> None:
        """Forgets servers that were removed ``FORGET_AFTER`` ms ago or earlier.

        Args:
            in_use: Numbers of the servers with attempts in flight, which are not forgotten.
            now: Current time in ms.
        """
        due = [number for number, at in self._removed_at.items() if at <= now - FORGET_AFTER]
        if not due:
            return
        used = set(in_use)
        for number in due:
            if number not in used:
                del self._removed_at[number]
                self._numbers.forget(self.by_number.pop(number).entry.name)

    def _listed_entries(self) -> list[ServerEntry]:
        return [server.as_entry() for server in self.listed()]

    def _apply(self, entry: ListedServer, now: float) -> ServerEntry:
        number = self._numbers.number_of(entry.name)
        server = self.by_number.get(number)
        if server is None:
            server = self.by_number[number] = Server(number, entry)
        server.entry = entry
        self._record_state(server, now)
        return server.as_entry()

    def _remove_all_but(self, listed: set[int], now: float) -> None:
        for number in self.by_number.keys() - listed:
            server = self.by_number[number]
            server.entry = server.entry._replace(state=ServerState.REMOVED)
            self._record_state(server, now)

    def _record_state(self, server: Server, now: float) -> None:
        """Records the times at which a server began to drain and was removed."""
        state = server.entry.state
        if state is ServerState.READY:
            server.draining_since = None
        elif server.draining_since is None:
            server.draining_since = now
        if state is not ServerState.REMOVED:
            self._removed_at.pop(server.number, None)
        else:
            self._removed_at.setdefault(server.number, now)
