"""Which servers this dispatcher uses, out of its own list, the shared list and the results of health checks.

Decides and does nothing: which list is used, and which changes the core is told. Whether this dispatcher has to watch
service discovery itself is decided in :mod:`heronlug.discovery.reader_election`.

``share = "list"``: one member reads service discovery for all.
``share = "news"``: all read; the shared list counts only where it drains or lacks a server that the own list names.
``share = "none"``: all read; only the results of health checks are shared.

A server that health checks find down is reported as draining: it gets no new attempts, and those that run there go on.
If more than a given fraction of the list is down, the health checks are ignored (Envoy's panic threshold), as then it
is likelier that the checks themselves fail.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from heronlug.balancer.events import ListKind, ServerState
from heronlug.requests.model import ListedServer

NO_LIST = -1
"""The version of a list that is not known."""


class ListSource(Enum):
    """Which list is used."""

    NONE = "none"
    OWN = "own"
    SHARED = "shared"


class ListUpdate(NamedTuple):
    """What the core is told."""

    kind: ListKind
    entries: list[ListedServer]


@dataclass(slots=True)
class KnownList:
    """One complete list.

    Attributes:
        servers: The servers by their names.
        version: The version that service discovery gave it; ``NO_LIST`` for none.
        known: Whether a list has come.
    """

    servers: dict[str, ListedServer] = field(default_factory=dict)
    version: int = NO_LIST
    known: bool = False

    def apply(self, version: int, entries: Iterable[ListedServer], removed: Iterable[str]) -> None:
        """Apply changes, and the version that they lead to."""
        self.known = version >= 0
        self.version = version
        for entry in entries:
            self.servers[entry.name] = entry
        for name in removed:
            self.servers.pop(name, None)

    def apply_watch(self, kind: ListKind, entries: list[ListedServer]) -> None:
        """Apply a complete list, or changes, of a watch; servers that it names as removed go."""
        if kind is not ListKind.CHANGES:
            self.servers = {entry.name: entry for entry in entries}
        for entry in entries:
            if entry.state is ServerState.REMOVED:
                self.servers.pop(entry.name, None)
            else:
                self.servers[entry.name] = entry


class ServerView:
    """The servers as they are reported to the core.

    Attributes:
        share: How lists are shared: ``none``, ``list`` or ``news``.
        panic_share: The fraction of servers above which the results of health checks are ignored.
        own: The list of this dispatcher's own watch.
        shared: The list that another member publishes.
        source: Which of the two is used.
        watching: Whether the own watch is on, so that the own list is current.
        down: Servers that health checks have found down, with the shard that says so.
        panic: Whether the results of health checks are ignored.
        shared_ahead: Whether the shared list is newer than the own one, and counts for what it takes away.
        reported: What the core was told last.
        switches: How often the source has changed.
    """

    def __init__(self, share: str = "none", panic_share: float = 0.5) -> None:
        """Create a view without any list."""
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
        """Use the own list, or the shared one; what the core is told, if the source changes."""
        self.watching = own
        own_usable = own and self.own.known
        new_source = ListSource.OWN if own_usable else self.source
        if self.share == "list" and self.shared.known and not own_usable:
            new_source = ListSource.SHARED
        if new_source is self.source:
            return None
        self.switches += self.source is not ListSource.NONE
        self.source = new_source
        return ListUpdate(ListKind.CHANGES, self._all_changes())

    def apply_own_update(
        self, kind: ListKind, version: int | None, entries: Iterable[ListedServer]
    ) -> ListUpdate | None:
        """Apply what the own watch has brought; what the core is told, if anything."""
        entries = list(entries)
        if kind is ListKind.FAILED:
            self.watching = False
            return ListUpdate(kind, [])  # the core decides when to poll again
        self.own.apply_watch(kind, entries)
        previous = self.source
        if kind is not ListKind.CACHED:
            self.own.known = True
            self.own.version = version if version is not None else NO_LIST
            self.watching = True
            self.source = ListSource.OWN
        elif self.source is ListSource.NONE:
            self.source = ListSource.OWN
        elif self.source is ListSource.SHARED:
            return None
        if kind is ListKind.CHANGES and self.source is previous:
            return ListUpdate(kind, self._changes({entry.name for entry in entries}))
        changes = self._all_changes()
        return ListUpdate(kind, changes if kind is ListKind.CHANGES else list(self.reported.values()))

    # -- what other members publish

    def apply_shared_update(
        self, version: int, entries: Iterable[ListedServer], removed: Iterable[str]
    ) -> list[ListedServer]:
        """Apply changes of the shared list; the changes that the core is told."""
        entries, removed = list(entries), list(removed)
        self.shared.apply(version, entries, removed)
        if not self._uses_shared:
            return []
        return self._changes({entry.name for entry in entries} | set(removed))

    def prefer_shared(self, shared: KnownList) -> list[ListedServer]:
        """Use this one of several shared lists from now on; the changes that the core is told."""
        self.shared = shared
        return self._all_changes() if self._uses_shared else []

    def apply_health_results(self, shard: str, down: Iterable[str], up: Iterable[str]) -> list[ListedServer]:
        """Apply that the owner of a shard holds servers down, or up again; the changes that the core is told."""
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
        """Drop all results of a shard that nobody checks any more; the changes that the core is told."""
        return self.apply_health_results(shard, (), [name for name, source in self.down.items() if source == shard])

    # -- changes

    @property
    def _uses_shared(self) -> bool:
        return self.source is ListSource.SHARED or self.share == "news"

    def _used_servers(self) -> dict[str, ListedServer]:
        """The servers of the list that is used."""
        return self.shared.servers if self.source is ListSource.SHARED else self.own.servers

    def _all_changes(self) -> list[ListedServer]:
        """What has changed for the core among all servers."""
        self._update_modes()
        return self._differences(self._used_servers().keys() | self.reported.keys())

    def _changes(self, names: set[str]) -> list[ListedServer]:
        """What has changed for the core among these servers, or among all if that follows from them."""
        if self._update_modes():
            return self._all_changes()
        return self._differences(names)

    def _update_modes(self) -> bool:
        """Decide whether health checks are ignored and the shared list counts; whether one of both has changed."""
        used_servers = self._used_servers()
        panic = sum(name in used_servers for name in self.down) > self.panic_share * len(used_servers)
        shared_ahead = self.share == "news" and self.shared.known and self.shared.version > self.own.version
        changed = panic is not self.panic or shared_ahead is not self.shared_ahead
        self.panic = panic
        self.shared_ahead = shared_ahead
        return changed

    def _differences(self, names: set[str]) -> list[ListedServer]:
        """How these servers differ from what the core was told last, which is updated."""
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
        """A server of the list as it is reported; None if it is not."""
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
