"""The servers of the endpoint list by number, and whether the list may be used."""

from collections.abc import Iterable, Sequence

from heronlug.balancer.events import FORGET_AFTER, ListKind, ServerEntry, ServerListUpdate, ServerState
from heronlug.requests.model import ListedServer, Server
from heronlug.requests.server_numbers import ServerNumbers


class ServerDirectory:
    """Keeps the servers in step with the endpoint list, and words its updates for the balancer.

    Attributes:
        by_number: every server that is listed, or was removed less than ``FORGET_AFTER`` ago.
        stale: the list is older than the rules allow: any server may drain or be removed by now.
    """

    def __init__(self) -> None:
        self.by_number: dict[int, Server] = {}
        self.stale = False
        self._numbers = ServerNumbers()
        self._removed_at: dict[int, float] = {}  # when each removed server was notified so, oldest first

    @property
    def can_serve(self) -> bool:
        """Whether there is a server that may be sent something."""
        return not self.stale and self.has_ready_server

    @property
    def has_ready_server(self) -> bool:
        """Whether the list names a server that is ready, stale or not."""
        return any(server.ready for server in self.by_number.values())

    def listed(self) -> list[Server]:
        """The servers that have not been removed."""
        return [server for server in self.by_number.values() if server.listed]

    def number_of(self, name: str) -> int:
        """The number of a server's name."""
        return self._numbers.number_of(name)

    def update(self, kind: ListKind, entries: Sequence[ListedServer], now: float) -> ServerListUpdate:
        """Apply an update of the endpoint list; returns it as the balancer takes it."""
        server_entries = [self._apply(entry, now) for entry in entries]
        if kind in (ListKind.FULL, ListKind.CACHED):
            self._remove_all_but({server_entry.server for server_entry in server_entries}, now)
        if self.stale and kind in (ListKind.FULL, ListKind.CHANGES):
            self.stale, kind = False, ListKind.FULL  # the balancer has no list at all
            server_entries = self._listed_entries()
        return ServerListUpdate(kind, tuple(server_entries))

    def set_usable(self, usable: bool) -> ServerListUpdate | None:
        """Set whether the list may be used; while it may not, the balancer has none, so no server gets new work.

        Returns:
            The update for the balancer; None if nothing changes.
        """
        if usable is not self.stale:
            return None
        self.stale = not usable
        return ServerListUpdate(ListKind.CACHED, tuple(self._listed_entries()) if usable else ())

    def forget_removed(self, in_use: Iterable[int], now: float) -> None:
        """Forget servers that were removed long ago, unless attempts are in flight at them."""
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
        """Note since when a server may get nothing new, and since when it is removed."""
        state = server.entry.state
        if state is ServerState.READY:
            server.draining_since = None
        elif server.draining_since is None:
            server.draining_since = now
        if state is not ServerState.REMOVED:
            self._removed_at.pop(server.number, None)
        else:
            self._removed_at.setdefault(server.number, now)
