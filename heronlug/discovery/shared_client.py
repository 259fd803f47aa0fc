"""Shares service discovery among the members of a cluster: one member polls, all others read a replicated table.

:class:`heronlug.discovery.reader_election.Reading` decides who polls, and
:class:`heronlug.cluster.server_view.HostView` which endpoint list holds.  There are two tables of the same form: one is
written by the lease holder while its watch is open, the other by whichever member polls before there is a lease holder
or in place of one that cannot; its last claim counts.  A row's key is ``h`` and a server's name, its value the server's
entry as msgpack; ``v`` holds the list's version, ``s`` is there while the writer's watch is closed, ``b`` says when the
versions of service discovery began anew.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf
from random import Random

import msgspec

from heronlug.balancer.events import ListKind, ServerState
from heronlug.cluster import merkle_trie
from heronlug.cluster.model import FencingToken
from heronlug.cluster.node import Node
from heronlug.cluster.server_view import KnownList, ListSource, ServerView
from heronlug.discovery.client import DiscoveryClient
from heronlug.discovery.reader_election import MemberPosition, ReaderElection, Role, SharedListStatus
from heronlug.net.background import run_in_background
from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.model import ListedServer

DUTY = "register"  # and the sheet's name
SCOUT = "register-scout"
VERSION, STATE, ANEW = b"v", b"s", b"b"
LOOK = 100.0  # so often is it decided who reads, in ms
UNHEARD = 600.0  # without a word of any reader others are asked; a beat and a half
UNHEARD_LONG = 5000.0  # then less often
LARGE = 300  # rows that are built into a sheet beside the loop
Line = tuple[str, int, str, str, int, float, float]  # address, state, zone, kind, cell, weight, started at
pack, unpack = msgspec.msgpack.encode, msgspec.msgpack.decode


def rows_of(entries: Iterable[ListedServer], zones: list[str], kinds: list[str]) -> merkle_trie.Rows:
    """The rows of hosts; zones and kinds go by name, for another dispatcher may number them otherwise."""
    return {
        b"h" + entry.name.encode(): pack(
            (
                entry.address,
                int(entry.state),
                zones[entry.zone] if entry.zone < len(zones) else "",
                kinds[entry.kind] if entry.kind < len(kinds) else "",
                entry.cell,
                entry.weight,
                entry.started_at,
            )
        )
        for entry in entries
    }


def entry_of(key: bytes, value: bytes, zones: list[str], kinds: list[str]) -> ListedServer:
    """The host of a row; raises ``ValueError`` for one that makes no sense."""
    line: Line = msgspec.msgpack.decode(value, type=Line)
    address, state, zone, kind, cell, weight, started = line
    return ListedServer(
        key[1:].decode(),
        address,
        ServerState(state),
        zones.index(zone) if zone in zones else len(zones),
        kinds.index(kind) if kind in kinds else len(kinds),
        cell,
        weight,
        started,
    )


class Writer:
    """One sheet as we write it."""

    def __init__(
        self, topic: str, node: Node, deadlines: Deadlines, flush: Callable[[], None], refused: Callable[[str], None]
    ) -> None:
        self.topic = topic
        self.fence: FencingToken | None = None
        self._node, self._deadlines, self._flush, self._refused = node, deadlines, flush, refused
        self._published: merkle_trie.Rows = {}
        self._said = False  # something has been written under this fence
        self._wanted: merkle_trie.Rows | None = None  # what came while a sheet was being built
        self._building: asyncio.Task[None] | None = None

    def begin(self, fence: FencingToken) -> None:
        """Write from now on; what is known of the writer before is gone on with."""
        self.fence, self._published, self._said = fence, self._node.tables.rows(self.topic), False

    def end(self) -> None:
        """Write no more; what we wrote goes stale, unless somebody else writes already."""
        if self.fence is not None and self._node.tables.own_token(self.topic) is not None:
            self._node.tables.withdraw(self.topic)
        self.fence, self._published, self._wanted = None, {}, None
        self._flush()

    @property
    def lost(self) -> bool:
        """Whether somebody else has begun to write after us."""
        return self.fence is not None and self._said and self._node.tables.own_token(self.topic) is None

    def put(self, rows: merkle_trie.Rows) -> None:
        """The rows are these now."""
        if self.fence is None:
            return
        if self._building is not None:
            self._wanted = rows
            return
        writing = self._node.tables.own_token(self.topic) is not None
        if (writing and rows is self._published) or self._node.tables.latest_token(self.topic) > self.fence:
            return
        changes: dict[bytes, bytes | None] = {k: v for k, v in rows.items() if self._published.get(k) != v}
        changes.update((key, None) for key in self._published.keys() - rows.keys())
        if writing and not changes:
            self._published = rows
            return
        if len(changes) > LARGE:
            self._building = asyncio.get_running_loop().create_task(self._build(self.fence, rows))
            return
        try:
            self._node.tables.publish(self.topic, self.fence, changes, self._deadlines.clock())
        except ValueError as error:
            self._refused(str(error))
        else:
            self._published, self._said = rows, True
            self._flush()

    def close(self) -> None:
        """Build no more."""
        if self._building is not None:
            self._building.cancel()

    async def _build(self, fence: FencingToken, rows: merkle_trie.Rows) -> None:
        nodes: dict[int, bytes] = {}
        try:
            root = await run_in_background(merkle_trie.build, rows, nodes)
            if self.fence == fence:
                self._node.tables.replace(self.topic, fence, root, nodes, self._deadlines.clock())
                self._published, self._said = rows, True
                self._flush()
        except ValueError as error:
            self._refused(str(error))
        finally:
            self._building = None
        wanted, self._wanted = self._wanted, None
        if wanted is not None:
            self.put(wanted)


@dataclass(slots=True)
class Shared:
    """One sheet as it is known here."""

    listed: KnownList = field(default_factory=KnownList)
    watched: bool = True  # by its writer
    anew: float = 0.0  # when the register's versions began anew, Unix ms


class SharedDiscovery:
    """Between the inventory and the core."""

    def __init__(
        self,
        view: ServerView,
        inventory: DiscoveryClient,
        tell: Callable[[ListKind, list[ListedServer]], None],
        deadlines: Deadlines,
        log: Callable[..., None],
        zones: list[str],
        kinds: list[str],
        stale_after: float = 1500.0,
        seeds: int = 0,
    ) -> None:
        """``stale_after`` in milliseconds without a word of whoever reads for all; ``seeds`` is how many we know."""
        self.view = view
        self.reading = ReaderElection(stale_after, seeds, Random().random())
        self._inventory, self._tell, self._deadlines, self._log = inventory, tell, deadlines, log
        self._zones, self._kinds = zones, kinds
        self._node: Node | None = None
        self._writers: dict[str, Writer] = {}
        self._shared = {DUTY: Shared(), SCOUT: Shared()}
        self._chosen = DUTY
        view.prefer_shared(self._shared[DUTY].listed)
        self._owner: FencingToken | None = None
        self._look_at: Key | None = None
        self._read_at = -inf  # when our own watch last brought something
        self._anew = 0.0
        self._made: merkle_trie.Rows | None = None
        self._ask_at = -inf
        self._flush: Callable[[], None] = lambda: None
        self.readings = 0  # lists that our own watch has brought
        self.scouted = 0  # times that we read without a lease

    def join(self, node: Node, flush: Callable[[], None]) -> None:
        """Read what others publish, and publish when it is our duty."""
        self._node, self._flush = node, flush
        if self.view.share != "none":
            for topic in (DUTY, SCOUT):
                node.tables.follow(topic)
                self._writers[topic] = Writer(topic, node, self._deadlines, flush, self._refused)
            self._look_at = self._deadlines.call_after(0.0, self._look)

    def close(self) -> None:
        """Look no more."""
        self._deadlines.cancel(self._look_at)
        for writer in self._writers.values():
            writer.close()

    # -- the core and the inventory

    def subscribe(self) -> None:
        """The core wants a watch: ours goes on where that is our part."""
        if self._node is None or self.view.share != "list" or self.reading.role is Role.READ:
            self._watch()

    def own_news(self, kind: ListKind, entries: list[ListedServer]) -> None:
        """Our own watch has brought something."""
        before, now = self.view.own, self._deadlines.clock()
        failed = kind is ListKind.FAILED
        self.readings += not failed
        if kind is ListKind.FULL and before.known and (self._inventory.version or 0) < before.version:
            self._anew = now
        if kind in (ListKind.FULL, ListKind.CHANGES):
            self._read_at = now
        told = self.view.apply_own_update(kind, self._inventory.version, entries)
        self._made = None
        self._write()
        if told is not None:
            self._tell(*told)

    # -- the duty

    def gained(self, fence: FencingToken) -> None:
        """We read for all from now on."""
        self._owner = fence
        self._writers[DUTY].begin(fence)
        self._decide()
        self._write()

    def lost(self) -> None:
        """Another reads, from what we have published: that is a shared list for us too."""
        self._owner = None
        self._writers[DUTY].end()
        self._reread(DUTY)

    # -- the sheets

    def sheet(self, topic: str, changes: dict[bytes, bytes | None]) -> None:
        """A shared list has changed."""
        self._made = None
        shared, entries, gone = self._shared[topic], [], []
        version = shared.listed.version
        for key, value in changes.items():
            try:
                if key == VERSION:
                    version = unpack(value, type=int) if value is not None else -1
                elif key == STATE:
                    shared.watched = value is None
                elif key == ANEW:
                    shared.anew = unpack(value, type=float) if value is not None else 0.0
                elif value is None:
                    gone.append(key[1:].decode())
                else:
                    entries.append(entry_of(key, value, self._zones, self._kinds))
            except ValueError as error:  # msgspec's errors are ValueErrors too
                self._log("bad_row", sheet=topic, key=key.hex(), error=str(error))
        if topic != self._chosen:
            shared.listed.apply(version, entries, gone)
        elif told := self.view.apply_shared_update(version, entries, gone):
            self._tell(ListKind.CHANGES, told)

    # -- inside

    def _reread(self, topic: str) -> None:
        """A sheet that we wrote is one that others write."""
        assert self._node is not None
        rows: dict[bytes, bytes | None] = dict(self._node.tables.rows(topic))
        for name in self._shared[topic].listed.servers:
            rows.setdefault(b"h" + name.encode(), None)
        for key in (STATE, ANEW):
            rows.setdefault(key, None)
        self.sheet(topic, rows)

    def _heard(self, topic: str) -> SharedListStatus | None:
        """A sheet that somebody else writes."""
        assert self._node is not None
        sheets, shared, now = self._node.tables, self._shared[topic], self._deadlines.clock()
        if sheets.own_token(topic) is not None:
            return None
        watched = shared.watched and shared.listed.known
        own = self.view.own
        behind = watched and own.known and shared.listed.version < own.version and shared.anew <= self._read_at
        return SharedListStatus(sheets.age(topic, now), watched, behind)

    def _watch(self) -> None:
        """Our own watch is wanted; after a failure the pace says when it begins again."""
        if not self._inventory.watching:
            self._inventory.resume()

    def _look(self) -> None:
        """Who reads now, and what follows from it for us."""
        self._look_at = self._deadlines.call_after(LOOK, self._look)
        scout = self._writers[SCOUT]
        if scout.lost:
            scout.end()
            self._reread(SCOUT)
        self._decide()
        self._write()

    def _decide(self) -> None:
        assert self._node is not None
        if self.view.share != "list":
            self._watch()
            self._choose()
            return
        heard = {topic: self._heard(topic) for topic in (DUTY, SCOUT)}
        self._ask(heard)
        before = self.reading.role
        place = MemberPosition(*self._node.place(DUTY))
        role = self.reading.decide(
            self._deadlines.clock(),
            self._owner is not None,
            place,
            [h for h in heard.values() if h is not None],
            self.view.watching,
        )
        self._choose()
        if role is Role.READ:
            self._watch()
        elif role is Role.FOLLOW or not self._inventory.watching:
            self._inventory.stop()  # a call that is out in our turn may end; none is made after it
        # who tries in vain, the owner too, goes by what somebody else reads, or holds, where that is no older
        shared, own = self.view.shared, self.view.own
        newer = shared.known and (not own.known or shared.version >= own.version)
        if role is Role.FOLLOW or (newer and not self.view.watching and role is not Role.LISTEN):
            told, self._made = self.view.select_source(own=False), None
            if told is not None:
                self._log("register_shared", version=self.view.shared.version, hosts=len(self.view.shared.servers))
                self._tell(*told)
        if role is Role.READ and before is not Role.READ:
            cause = "owner" if self._owner is not None else "turn" if before is Role.WAIT else "nobody is heard"
            self._log(
                "register_own",
                cause=cause,
                place=place.rank,
                of=place.others + 1,
                shared_version=self.view.shared.version,
                own_version=self.view.own.version,
            )
        elif role is not before:
            self._log("register_role", role=role.value)

    def _ask(self, heard: dict[str, SharedListStatus | None]) -> None:
        """Some others may have heard a reader that we have not: the word of it goes by chance."""
        assert self._node is not None
        age, now = min((h.age for h in heard.values() if h is not None), default=0.0), self._deadlines.clock()
        if age > UNHEARD and now >= self._ask_at:
            self._ask_at = now + (LOOK if age < UNHEARD_LONG or age == inf else 10 * LOOK)
            for topic, one in heard.items():
                if one is not None:
                    self._node.tables.poll(topic, now)
            self._flush()

    def _choose(self) -> None:
        """Which of the shared lists counts: one whose reader is heard, then the newer one."""

        def worth(topic: str) -> tuple[bool, bool, int]:
            heard, shared = self._heard(topic), self._shared[topic]
            if heard is None or not shared.listed.known:
                return False, False, -1
            fresh = heard.age <= self.reading.stale_after and not heard.behind
            return fresh and heard.watched, fresh, shared.listed.version

        worths = {topic: worth(topic) for topic in (DUTY, SCOUT)}
        best = max(worths, key=lambda topic: worths[topic])
        if worths[best] > worths[self._chosen]:
            self._chosen = best
            told = self.view.prefer_shared(self._shared[best].listed)
            if told:
                self._tell(ListKind.CHANGES, told)

    def _write(self) -> None:
        """Say what we read, or that we try to."""
        if self._node is None or not self._writers:
            return
        duty, scout = self._writers[DUTY], self._writers[SCOUT]
        reads, works = self.reading.role is Role.READ, self.view.watching
        if self._owner is not None:
            if works:
                duty.put(self._rows())
            elif self._node.tables.own_token(DUTY) is not None:
                self._node.tables.withdraw(DUTY)
        if self.view.share != "list":
            return
        # a turn to look is no claim, before it has found something
        claims = reads and (self._owner is None if works else not self._tried_by_another())
        if claims and scout.fence is None:
            self.scouted += 1
            scout.begin(self._node.claim(SCOUT, self._deadlines.clock()))
        if scout.fence is not None and not scout.lost:
            if claims:
                scout.put(self._rows())
            elif not reads or works:
                self._node.release(SCOUT)
                scout.end()

    def _tried_by_another(self) -> bool:
        heard = self._heard(SCOUT)
        return heard is not None and heard.age <= self.reading.stale_after

    def _rows(self) -> merkle_trie.Rows:
        """What we have read, or what we hold from others where we have not; made anew after each change."""
        if self._made is not None:
            return self._made
        base = self.view.own if self.view.own.known or self.view.source is not ListSource.SHARED else self.view.shared
        rows = rows_of(base.servers.values(), self._zones, self._kinds)
        if base.known:
            rows[VERSION] = pack(base.version)
        if self._anew:
            rows[ANEW] = pack(self._anew)
        if not self.view.watching:
            rows[STATE] = b"\x01"
        self._made = rows
        return rows

    def _refused(self, error: str) -> None:
        """A list that cannot be shared is shared by nobody: each reads it itself."""
        self._log("register_not_shared", error=error)
        if self._node is not None:
            for topic in (DUTY, SCOUT):
                if self._node.tables.own_token(topic) is not None:
                    self._node.tables.withdraw(topic)
