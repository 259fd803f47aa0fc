"""Determines the servers that this dispatcher uses from its own list, the shared list and health check results.

The view decides which list is used and which changes are reported to the core; it has no I/O. Whether this dispatcher
watches service discovery itself is decided in :mod:`heronlug.discovery.reader_election`.

``share = "list"``: one member reads service discovery for all members.
``share = "news"``: each member reads service discovery; the shared list only drains or removes servers of the own list.
``share = "none"``: each member reads service discovery; only the results of health checks are shared.

A server that health checks find down is reported as draining: the server gets no new attempts, and its running
attempts continue. If more than a given fraction of the list is down, the results of health checks are ignored (Envoy's
panic threshold), since a failure of the checks themselves is then more likely.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from heronlug.balancer.events import ListKind, ServerState
from heronlug.requests.model import ListedServer

NO_LIST = -1
"""The version number of a list without a known version."""


class ListSource(Enum):
    """The endpoint list that the view uses."""

    NONE = "none"
    OWN = "own"
    SHARED = "shared"


class ListUpdate(NamedTuple):
    """An update that is reported to the core.

    Attributes:
        kind: The kind of the update.
        entries: The changed servers, or all servers if ``kind`` is a complete list.
    """

    kind: ListKind
    entries: list[ListedServer]


@dataclass(slots=True)
class KnownList:
    """A complete endpoint list.

    Attributes:
        servers: The servers by name.
        version: The version number from service discovery, or ``NO_LIST`` if none is known.
        known: Whether a list has been received.
    """

    servers: dict[str, ListedServer] = field(default_factory=dict)
    version: int = NO_LIST
    known: bool = False

    def apply(self, version: int, entries: Iterable[ListedServer], removed: Iterable[str]) -> None:
        """Applies added, changed and removed servers, and sets the resulting version."""
        self.known = version >= 0
        self.version = version
        for entry in entries:
            self.servers[entry.name] = entry
        for name in removed:
            self.servers.pop(name, None)

    def apply_watch(self, kind: ListKind, entries: list[ListedServer]) -> None:
        """Applies a complete list or changes from a watch; entries in state ``REMOVED`` remove their servers."""
        if kind is not ListKind.CHANGES:
            self.servers = {entry.name: entry for entry in entries}
        for entry in entries:
            if entry.state is ServerState.REMOVED:
                self.servers.pop(entry.name, None)
            else:
                self.servers[entry.name] = entry


class ServerView:
    """The servers that are reported to the core.

    Attributes:
        share: The sharing mode: ``none``, ``list`` or ``news``.
        panic_share: The fraction of servers that are down above which the results of health checks are ignored.
        own: The list from this dispatcher's own watch.
        shared: The list that another member publishes.
        source: The list that is used.
        watching: Whether the own watch is open, so that the own list is current.
        down: The servers that health checks have found down, each with the shard that published the result.
        panic: Whether the results of health checks are ignored.
        shared_ahead: Whether the shared list is newer than the own list in mode ``news``, so that the servers that the
            shared list drains or lacks are drained or removed.
        reported: The servers by name, as last reported to the core.
        switches: Number of changes of ``source`` after the first selection of a list.
    """

    def __init__(self, share: str = "none", panic_share: float = 0.5) -> None:
        """Creates a view without any list."""
        self.share = share
        self.panic_share = panic_share
        self.own = KnownList()
        self.shared = KnownList()
        self.source = ListSource.NONE
        self.watching = False
        self.down: dict[str, str] = {}
        self.panic = False
        self.shared_ahead = False
        self.reported: dict[str, ListedServer] = {}
        self.switches = 0

    # -- the own list

    def select_source(self, own: bool) -> ListUpdate | None:
        """Selects the own or the shared list.

        Args:
            own: Whether the own watch is open. If so, the own list is used once it is known; otherwise the shared list
                is used in mode ``list`` once it is known.

        Returns:
            The update to report to the core, or None if the source is unchanged.
        """
        self.watching = own
        own_usable = own and self.own.known
        new_source = ListSource.OWN if own_usable else self.source
        if self.share == "list" and self.shared.known and not own_usable:
            new_source = ListSource.SHARED
        if new_source is self.source:
            return None
        self._use(new_source)
        return ListUpdate(ListKind.CHANGES, self._all_changes())

    def apply_own_update(
        self, kind: ListKind, version: int | None, entries: Iterable[ListedServer]
    ) -> ListUpdate | None:
        """Applies an update from the own watch; returns the update to report to the core, or None."""
        entries = list(entries)
        if kind is ListKind.FAILED:
            self.watching = False
            return ListUpdate(kind, [])  # the core schedules the next poll
        self.own.apply_watch(kind, entries)
        previous = self.source
        if kind is not ListKind.CACHED:
            self.own.known = True
            self.own.version = version if version is not None else NO_LIST
            self.watching = True
            self._use(ListSource.OWN)
        elif self.source is ListSource.NONE:
            self.source = ListSource.OWN
        elif self.source is ListSource.SHARED:
            return None
        if kind is ListKind.CHANGES and self.source is previous:
            return ListUpdate(kind, self._changes({entry.name for entry in entries}))
        changes = self._all_changes()
        return ListUpdate(kind, changes if kind is ListKind.CHANGES else list(self.reported.values()))

    # -- lists and results from other members

    def apply_shared_update(
        self, version: int, entries: Iterable[ListedServer], removed: Iterable[str]
    ) -> list[ListedServer]:
        """Applies changes of the shared list; returns the changed servers to report to the core."""
        entries, removed = list(entries), list(removed)
        self.shared.apply(version, entries, removed)
        if not self._uses_shared:
            return []
        return self._changes({entry.name for entry in entries} | set(removed))

    def prefer_shared(self, shared: KnownList) -> list[ListedServer]:
        """Replaces the shared list by another one; returns the changed servers to report to the core."""
        self.shared = shared
        return self._all_changes() if self._uses_shared else []

    def apply_health_results(self, shard: str, down: Iterable[str], up: Iterable[str]) -> list[ListedServer]:
        """Applies health check results of a shard.

        Args:
            shard: The shard whose lease holder published the results.
            down: Names of servers that are down.
            up: Names of servers that are up again; names that another shard reports as down are ignored.

        Returns:
            The changed servers to report to the core.
        """
        changed = set()
        for name in up:
            if self.down.get(name) == shard:
                del self.down[name]
                changed.add(name)
        for name in down:
            self.down[name] = shard
            changed.add(name)
        return self._changes(changed)

    def withdraw(self, shard: str) -> list[ListedServer]:
        """Drops the results of a shard without an active lease holder; returns the changed servers for the core."""
        return self.apply_health_results(shard, (), [name for name, source in self.down.items() if source == shard])

    # -- changes

    def _use(self, source: ListSource) -> None:
        """Sets the list that is used, and counts the change."""
        self.switches += source is not self.source and self.source is not ListSource.NONE
        self.source = source

    @property
    def _uses_shared(self) -> bool:
        return self.source is ListSource.SHARED or self.share == "news"

    def _used_servers(self) -> dict[str, ListedServer]:
        """Returns the servers of the list that is used, by name."""
        return self.shared.servers if self.source is ListSource.SHARED else self.own.servers

    def _all_changes(self) -> list[ListedServer]:
        """Returns the changes of all servers since the last report to the core."""
        self._update_modes()
        return self._differences(self._used_servers().keys() | self.reported.keys())

    def _changes(self, names: set[str]) -> list[ListedServer]:
        """Returns the changes of these servers, or of all servers if ``panic`` or ``shared_ahead`` has changed."""
        if self._update_modes():
            return self._all_changes()
        return self._differences(names)

    def _update_modes(self) -> bool:
        """Updates ``panic`` and ``shared_ahead``; returns whether either has changed."""
        used_servers = self._used_servers()
        panic = sum(name in used_servers for name in self.down) > self.panic_share * len(used_servers)
        shared_ahead = self.share == "news" and self.shared.known and self.shared.version > self.own.version
        changed = panic is not self.panic or shared_ahead is not self.shared_ahead
        self.panic = panic
        self.shared_ahead = shared_ahead
        return changed

    def _differences(self, names: set[str]) -> list[ListedServer]:
        """Returns the changes of these servers since the last report to the core, and updates ``reported``."""
        used_servers = self._used_servers()
        changes = []
        for name in sorted(names):
            entry = self._reported_entry(used_servers.get(name))
            previous = self.reported.get(name)
            if entry is None and previous is not None:
                del self.reported[name]
                changes.append(previous._replace(state=ServerState.REMOVED))
            elif entry is not None and entry != previous:
                self.reported[name] = entry
                changes.append(entry)
        return changes

    def _reported_entry(self, entry: ListedServer | None) -> ListedServer | None:
        """Returns the entry to report for a server of the list, or None if the server is not reported."""
        if entry is None:
            return None
        if self.shared_ahead:
            shared = self.shared.servers.get(entry.name)
            if shared is None:
                return None
            if shared.state is not ServerState.READY:
                entry = entry._replace(state=shared.state)
        if entry.name in self.down and not self.panic and entry.state is ServerState.READY:
            entry = entry._replace(state=ServerState.DRAINING)
        return entry
