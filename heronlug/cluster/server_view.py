"""Which hosts this dispatcher holds to be there, out of its own reading, the shared list and the verdicts of probes.

Decides and does nothing: which list holds, and what the core is to be told. Whether our own watch of the register has
to be on is decided in :mod:`heronlug.discovery.reader_election`.

``share = "list"``: one member reads the register for all.
``share = "news"``: all read; of the shared list counts only that a host which our own list names drains or has gone.
``share = "none"``: all read; only the verdicts of probes are shared.

A host that the probes find down is told as draining: nothing new goes there, and what runs there goes on. If more than
a stated share of the list is down, the probes are not believed (Envoy calls that panic): then it is more likely that
they fail.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from heronlug.balancer.events import ListKind, ServerState
from heronlug.requests.model import ListedServer


class ListSource(Enum):
    """Which list holds."""

    NONE = "none"
    OWN = "own"
    SHARED = "shared"


@dataclass(slots=True)
class KnownList:
    """One list, whole."""

    servers: dict[str, ListedServer] = field(default_factory=dict)
    version: int = -1  # the register's; -1 for none
    known: bool = False

    def apply(self, version: int, entries: Iterable[ListedServer], gone: Iterable[str]) -> None:
        """It has changed."""
        self.known, self.version = version >= 0, version
        for entry in entries:
            self.servers[entry.name] = entry
        for name in gone:
            self.servers.pop(name, None)


class ServerView:
    """The hosts as the core is told of them."""

    def __init__(self, share: str = "none", panic_share: float = 0.5) -> None:
        self.share, self.panic_share = share, panic_share
        self.own, self.shared = KnownList(), KnownList()
        self.source = ListSource.NONE
        self.watching = False  # our own watch is on, and what it says is as it was last told
        self.down: dict[str, str] = {}  # hosts that probes have found down, and which shard says so
        self.panic = False
        self.shared_ahead = False  # the others' list is newer than ours, and counts for what it takes away
        self.reported: dict[str, ListedServer] = {}
        self.switches = 0

    # -- our own watch

    def select_source(self, own: bool) -> tuple[ListKind, list[ListedServer]] | None:
        """Go by our own list, or by the shared one; what the core is to be told, if anything changes."""
        self.watching = own
        ours = own and self.own.known
        wanted = ListSource.OWN if ours else self.source
        if self.share == "list" and self.shared.known and not ours:
            wanted = ListSource.SHARED
        if wanted is self.source:
            return None
        self.switches += self.source is not ListSource.NONE
        self.source = wanted
        return self._news(None)

    def apply_own_update(
        self, kind: ListKind, version: int | None, entries: Iterable[ListedServer]
    ) -> tuple[ListKind, list[ListedServer]] | None:
        """Our own watch has brought this; what the core is to be told, if anything."""
        entries = list(entries)
        if kind is ListKind.FAILED:
            self.watching = False
            return kind, []  # the core decides when to ask again
        if kind is not ListKind.CHANGES:
            self.own.servers = {entry.name: entry for entry in entries}
        for entry in entries:
            if entry.state is ServerState.REMOVED:
                self.own.servers.pop(entry.name, None)
            else:
                self.own.servers[entry.name] = entry
        before = self.source
        if kind is not ListKind.CACHED:
            self.own.known, self.watching = True, True
            self.own.version = version if version is not None else -1
            self.source = ListSource.OWN
        elif self.source is ListSource.NONE:
            self.source = ListSource.OWN
        elif self.source is ListSource.SHARED:
            return None
        whole = kind is not ListKind.CHANGES or self.source is not before
        changed = None if whole else {entry.name for entry in entries}
        _, told = self._news(changed)
        return (kind, list(self.reported.values())) if kind is not ListKind.CHANGES else (kind, told)

    # -- what others say

    def apply_shared_update(
        self, version: int, entries: Iterable[ListedServer], gone: Iterable[str]
    ) -> list[ListedServer]:
        """The shared list has changed; what the core is to be told as changes."""
        entries, gone = list(entries), list(gone)
        self.shared.apply(version, entries, gone)
        if self.source is not ListSource.SHARED and self.share != "news":
            return []
        return self._news({entry.name for entry in entries} | set(gone))[1]

    def prefer_shared(self, listed: KnownList) -> list[ListedServer]:
        """Of several shared lists this one counts from now on; what the core is to be told as changes."""
        self.shared = listed
        return self._news(None)[1] if self.source is ListSource.SHARED or self.share == "news" else []

    def apply_health_results(self, shard: str, down: Iterable[str], up: Iterable[str]) -> list[ListedServer]:
        """A shard's owner holds these hosts down, and these up again; what the core is to be told as changes."""
        touched = set()
        for name in up:
            if self.down.get(name) == shard:
                del self.down[name]
                touched.add(name)
        for name in down:
            self.down[name] = shard
            touched.add(name)
        return self._news(touched)[1]

    def withdraw(self, shard: str) -> list[ListedServer]:
        """Nobody probes this shard any more: what was said of its hosts counts no more."""
        return self.apply_health_results(shard, (), [name for name, by in self.down.items() if by == shard])

    # -- inside

    def _news(self, names: set[str] | None) -> tuple[ListKind, list[ListedServer]]:
        """What has changed for the core among these hosts, or among all."""
        base = self.shared.servers if self.source is ListSource.SHARED else self.own.servers
        held_down = sum(name in base for name in self.down)
        panic = held_down > self.panic_share * len(base)
        ahead = self.share == "news" and self.shared.known and self.shared.version > self.own.version
        if panic is not self.panic or ahead is not self.shared_ahead or names is None:
            self.panic, self.shared_ahead, names = panic, ahead, base.keys() | self.reported.keys()
        told = []
        for name in sorted(names):
            entry = self._entry(base.get(name))
            before = self.reported.get(name)
            if entry is None and before is not None:
                del self.reported[name]
                told.append(before._replace(state=ServerState.REMOVED))
            elif entry is not None and entry != before:
                self.reported[name] = entry
                told.append(entry)
        return ListKind.CHANGES, told

    def _entry(self, entry: ListedServer | None) -> ListedServer | None:
        """A host as it counts here."""
        if entry is None:
            return None
        if self.shared_ahead:
            other = self.shared.servers.get(entry.name)
            if other is None:
                return None
            if other.state is not ServerState.READY:
                entry = entry._replace(state=other.state)
        if entry.name in self.down and not self.panic and entry.state is ServerState.READY:
            entry = entry._replace(state=ServerState.DRAINING)
        return entry
