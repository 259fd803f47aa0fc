"""The node register, read by one dispatcher for all: our own watch and the shared sheet, put together for the core.

What follows from them is decided in :class:`heronlug.cluster.hosts.HostView`. The sheet's rows are ``h`` and a host's
name, with the line of the register as msgpack; the row ``v`` has the register's version.
"""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from heronlug.cluster import trie
from heronlug.cluster.hosts import HostView
from heronlug.cluster.model import Fence
from heronlug.cluster.node import Node
from heronlug.interface import ListKind, WorkerState
from heronlug.life.beside import beside
from heronlug.memory.core import HostEntry
from heronlug.memory.deadlines import Deadlines, Key
from heronlug.wire.inventory import Inventory

DUTY = "register"  # and the sheet's name
VERSION = b"v"
LOOK = 200.0  # so often is it looked whether the shared list is fresh, in ms
TRUST = 3000.0  # the shared list has to have been fresh for so long before our own watch ends
LARGE = 300  # rows that are built into a sheet beside the loop
Line = tuple[str, int, str, str, int, float, float]  # address, state, zone, kind, cell, weight, started at
pack, unpack = msgspec.msgpack.encode, msgspec.msgpack.decode


def rows_of(entries: Iterable[HostEntry], zones: list[str], kinds: list[str]) -> trie.Rows:
    """The rows of hosts; zones and kinds go by name, for another dispatcher may number them otherwise."""
    return {
        b"h" + entry.name.encode(): pack((
            entry.address, int(entry.state), zones[entry.zone] if entry.zone < len(zones) else "",
            kinds[entry.kind] if entry.kind < len(kinds) else "", entry.cell, entry.weight, entry.started_at,
        ))
        for entry in entries
    }  # fmt: skip


def entry_of(key: bytes, value: bytes, zones: list[str], kinds: list[str]) -> HostEntry:
    """The host of a row; raises ``ValueError`` for one that makes no sense."""
    line: Line = msgspec.msgpack.decode(value, type=Line)
    address, state, zone, kind, cell, weight, started = line
    return HostEntry(
        key[1:].decode(), address, WorkerState(state), zones.index(zone) if zone in zones else len(zones),
        kinds.index(kind) if kind in kinds else len(kinds), cell, weight, started,
    )  # fmt: skip


class Register:
    """Between the inventory and the core."""

    def __init__(
        self, view: HostView, inventory: Inventory, tell: Callable[[ListKind, list[HostEntry]], None],
        deadlines: Deadlines, log: Callable[..., None], zones: list[str], kinds: list[str],
    ) -> None:  # fmt: skip
        self.view = view
        self._inventory, self._tell, self._deadlines, self._log = inventory, tell, deadlines, log
        self._zones, self._kinds = zones, kinds
        self._node: Node | None = None
        self._flush: Callable[[], None] = lambda: None  # after each publication
        self._fence: Fence | None = None
        self._published: trie.Rows = {}
        self._building: asyncio.Task[None] | None = None
        self._look_at: Key | None = None
        self._fresh_since: float | None = None
        self._own_on = True  # our own watch is wanted; when it fails the module says when it begins again
        self.readings = 0  # lists that our own watch has brought

    def join(self, node: Node, flush: Callable[[], None]) -> None:
        """Read what others publish, and publish when it is our duty."""
        self._node, self._flush = node, flush
        if self.view.share != "none":
            node.sheets.follow(DUTY)
            self._look_at = self._deadlines.after(LOOK, self._look)

    def close(self) -> None:
        """Look no more."""
        self._deadlines.drop(self._look_at)
        if self._building is not None:
            self._building.cancel()

    # -- the core and the inventory

    def subscribe(self) -> None:
        """The core wants a watch: ours goes on unless the shared list does."""
        if self._wants_own():
            self._watch()

    def own_news(self, kind: ListKind, entries: list[HostEntry]) -> None:
        """Our own watch has brought something."""
        self.readings += kind is not ListKind.FAILED
        told = self.view.own_news(kind, self._inventory.version, entries)
        if self._node is not None and self._fence is not None:
            if kind is ListKind.FAILED:
                self._node.sheets.withdraw(DUTY)
                self._flush()
            else:
                self._publish({entry.name for entry in entries} if kind is ListKind.CHANGES else None)
        if told is not None:
            self._tell(*told)

    # -- the duty

    def gained(self, fence: Fence) -> None:
        """We read for all from now on; what is known of the owner before is gone on with."""
        assert self._node is not None
        self._fence, self._published = fence, self._node.sheets.rows(DUTY)
        self._own_on = True
        if self.view.watching:
            self._publish(None)
        else:
            self._watch()

    def lost(self) -> None:
        """Another reads, from what we have published: that is the shared list for us too."""
        self._fence = None
        self._published = {}
        if self._node is not None:
            rows: dict[bytes, bytes | None] = dict(self._node.sheets.rows(DUTY))
            for name in self.view.shared.hosts:
                rows.setdefault(b"h" + name.encode(), None)
            self.sheet(rows)

    # -- the sheet

    def sheet(self, changes: dict[bytes, bytes | None]) -> None:
        """The shared list has changed."""
        assert self._node is not None
        version, entries, gone = self.view.shared.version, [], []
        for key, value in changes.items():
            try:
                if key == VERSION:
                    version = unpack(value or b"\xff", type=int)
                elif value is None:
                    gone.append(key[1:].decode())
                else:
                    entries.append(entry_of(key, value, self._zones, self._kinds))
            except ValueError as error:  # msgspec's errors are ValueErrors too
                self._log("bad_row", sheet=DUTY, key=key.hex(), error=str(error))
        told = self.view.shared_news(version, entries, gone)
        if told:
            self._tell(ListKind.CHANGES, told)

    # -- inside

    def _wants_own(self) -> bool:
        if self._node is None:
            return True
        age = self._node.sheets.age(DUTY, self._deadlines.clock()) if self.view.share != "none" else 0.0
        return self.view.wants_own(self._fence is not None, age)

    def _watch(self) -> None:
        if not self._inventory.watching:
            self._inventory.resume()

    def _look(self) -> None:
        """Whether our own watch should be on."""
        now = self._deadlines.clock()
        self._look_at = self._deadlines.at(now + LOOK, self._look)
        if self._wants_own():
            self._fresh_since = None
            if not self._own_on:
                self._log("register_own", shared_version=self.view.shared.version, own_version=self.view.own.version)
                self._own_on = True
                self._watch()
            return
        self._fresh_since = now if self._fresh_since is None else self._fresh_since
        if now - self._fresh_since >= TRUST and self._own_on:
            self._own_on = False
            told = self.view.use(own=False)
            self._log("register_shared", version=self.view.shared.version, hosts=len(self.view.shared.hosts))
            self._inventory.stop()
            if told is not None:
                self._tell(*told)

    def _publish(self, names: set[str] | None) -> None:
        """Put what we read into the sheet: these hosts, or all that are other than what was published."""
        assert self._node is not None
        if self._fence is None or self._building is not None:
            return  # what is being built is compared again when it is done
        own, now = self.view.own, self._deadlines.clock()
        changes: dict[bytes, bytes | None] = {}
        if names is None:
            rows = rows_of(own.hosts.values(), self._zones, self._kinds)
            changes = {key: value for key, value in rows.items() if self._published.get(key) != value}
            changes.update((key, None) for key in self._published.keys() - rows.keys() if key != VERSION)
        else:
            there = [own.hosts[name] for name in names if name in own.hosts]
            changes.update(rows_of(there, self._zones, self._kinds))
            changes.update((b"h" + name.encode(), None) for name in names if name not in own.hosts)
        changes[VERSION] = pack(own.version)
        if len(changes) > LARGE:
            self._building = asyncio.get_running_loop().create_task(self._build(self._fence, changes))
            return
        try:
            self._node.sheets.publish(DUTY, self._fence, changes, now)
        except ValueError as error:
            self._refused(error)
        else:
            self._put(changes)

    async def _build(self, fence: Fence, changes: dict[bytes, bytes | None]) -> None:
        rows = {**self._published, **changes}
        whole = {key: value for key, value in rows.items() if value is not None}
        nodes: dict[int, bytes] = {}
        try:
            root = await beside(trie.build, whole, nodes)
            if self._node is not None and self._fence == fence:
                self._node.sheets.publish_whole(DUTY, fence, root, nodes, self._deadlines.clock())
                self._put(changes)
        except ValueError as error:
            self._refused(error)
            return
        finally:
            self._building = None
        self._publish(None)

    def _put(self, changes: dict[bytes, bytes | None]) -> None:
        for key, value in changes.items():
            if value is None:
                self._published.pop(key, None)
            else:
                self._published[key] = value
        self._flush()

    def _refused(self, error: ValueError) -> None:
        """A list that cannot be shared is shared by nobody: each reads it itself."""
        self._log("register_not_shared", error=str(error))
        if self._node is not None:
            self._node.sheets.withdraw(DUTY)
            self._flush()
