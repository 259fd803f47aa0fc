"""Shares service discovery among the members of a cluster: one member polls, all other members read its table.

:class:`heronlug.discovery.reader_election.ReaderElection` decides which member polls, and
:class:`heronlug.cluster.server_view.ServerView` decides which endpoint list is used. Two replicated tables have the
same format (:mod:`heronlug.cluster.server_rows`). The lease holder writes the lease table while its watch is open. The
interim table is written by a member that polls before a lease holder exists, or in place of a lease holder that cannot
poll; the member with the latest claim writes it.
"""

from collections.abc import Callable
from math import inf
from typing import NamedTuple

import msgspec

from heronlug.balancer.events import ListKind
from heronlug.cluster import merkle_trie
from heronlug.cluster.model import FencingToken
from heronlug.cluster.node import Node
from heronlug.cluster.server_rows import (
    UNWATCHED,
    UNWATCHED_KEY,
    VERSION_KEY,
    VERSIONS_RESTARTED_KEY,
    ServerRowCodec,
    ServerTable,
    server_key,
)
from heronlug.cluster.server_view import ListSource, ServerView
from heronlug.cluster.table_writer import TableWriter
from heronlug.discovery.client import DiscoveryClient
from heronlug.discovery.reader_election import MemberPosition, ReaderElection, Role, SharedListStatus
from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.interfaces import EventLog
from heronlug.requests.model import ListedServer

LEASE_TABLE = "register"
"""The name of the lease for polling and of the lease holder's table; members of every version exchange this name."""

INTERIM_TABLE = "register-scout"
"""The name of the table that a member writes while polling without the lease; exchanged like ``LEASE_TABLE``."""

TABLES = (LEASE_TABLE, INTERIM_TABLE)

ELECTION_INTERVAL_MS = 100.0
"""Time between two decisions on which member polls, in milliseconds."""

SILENCE_TO_PULL_MS = 600.0
"""Silence of all writers after which other members are asked for the tables, in milliseconds.

The value is one and a half heartbeat intervals.
"""

LONG_SILENCE_MS = 5000.0
"""Silence of all writers after which other members are asked less often, in milliseconds."""

LONG_SILENCE_INTERVALS = 10
"""Number of election intervals between two requests for the tables after a long silence, instead of one."""


class TablePreference(NamedTuple):
    """The sort key of a table; the table with the greatest key is used.

    Attributes:
        is_read: Whether ``is_fresh`` holds and the writer has an open watch.
        is_fresh: Whether the writer has confirmed the table recently and the list is not outdated.
        version: The version of the list, or -1 if no list is known.
    """

    is_read: bool
    is_fresh: bool
    version: int


class SharedDiscovery:
    """Passes endpoint lists from the discovery client and from the replicated tables to the core.

    Attributes:
        view: Selects the endpoint list that is used.
        election: Decides whether this member polls.
        lists_read: Number of lists and changes received from the own watch.
        interim_reads: Number of times this member started to write the interim table.
    """

    def __init__(
        self,
        view: ServerView,
        client: DiscoveryClient,
        on_update: Callable[[ListKind, list[ListedServer]], None],
        codec: ServerRowCodec,
        election: ReaderElection,
        deadlines: Deadlines,
        log: EventLog,
    ) -> None:
        """Creates an instance that has not joined the cluster.

        Args:
            view: Selects the endpoint list that is used.
            client: The client that polls service discovery.
            on_update: Receives the updates for the core.
            codec: Encodes and decodes the rows of the tables.
            election: Decides whether this member polls.
            deadlines: The clock and timers, in milliseconds.
            log: Writes log events.
        """
        self.view = view
        self.election = election
        self.lists_read = 0
        self.interim_reads = 0
        self._client = client
        self._on_update = on_update
        self._codec = codec
        self._deadlines = deadlines
        self._log = log
        self._node: Node | None = None
        self._flush: Callable[[], None] = lambda: None
        self._writers: dict[str, TableWriter] = {}
        self._tables = {topic: ServerTable(topic, codec, log) for topic in TABLES}
        self._preferred = LEASE_TABLE
        self._lease: FencingToken | None = None
        self._election_timer: Key | None = None
        self._list_read_at = -inf
        self._versions_restarted_at = 0.0
        self._rows_cache: merkle_trie.Rows | None = None
        self._next_pull_at = -inf
        view.prefer_shared(self._tables[LEASE_TABLE].known)

    def join(self, node: Node, flush: Callable[[], None]) -> None:
        """Follows the tables and starts the election; does nothing in mode ``none``.

        Args:
            node: The cluster member that replicates the tables.
            flush: Sends the messages that the node has queued.
        """
        self._node = node
        self._flush = flush
        if self.view.share == "none":
            return
        for topic in TABLES:
            node.tables.follow(topic)
            self._writers[topic] = TableWriter(topic, node, self._deadlines, flush, self._on_write_error)
        self._election_timer = self._deadlines.call_after(0.0, self._on_election)

    def close(self) -> None:
        """Cancels the election timer and closes the table writers."""
        self._deadlines.cancel(self._election_timer)
        for writer in self._writers.values():
            writer.close()

    # -- The core and the discovery client

    def subscribe(self) -> None:
        """Starts updates for the core; opens the own watch if this member polls."""
        if self._node is None or self.view.share != "list" or self.election.role is Role.READ:
            self._open_watch()

    def on_client_update(self, kind: ListKind, entries: list[ListedServer]) -> None:
        """Applies a list, changes or a failure from the own watch."""
        previous = self.view.own
        now = self._deadlines.clock()
        self.lists_read += kind is not ListKind.FAILED
        if kind is ListKind.FULL and previous.known and (self._client.version or 0) < previous.version:
            self._versions_restarted_at = now
        if kind in (ListKind.FULL, ListKind.CHANGES):
            self._list_read_at = now
        update = self.view.apply_own_update(kind, self._client.version, entries)
        self._rows_cache = None
        self._write()
        if update is not None:
            self._on_update(*update)

    # -- The lease

    def on_lease_gained(self, token: FencingToken) -> None:
        """Starts writing the lease table: this member polls for all members."""
        self._lease = token
        self._writers[LEASE_TABLE].start(token)
        self._decide()
        self._write()

    def on_lease_lost(self) -> None:
        """Stops writing the lease table, which another member writes from now on."""
        self._lease = None
        self._stop_writing(LEASE_TABLE)

    # -- Reading the tables

    def on_table_change(self, topic: str, rows: dict[bytes, bytes | None]) -> None:
        """Applies changed rows of a table; None stands for a removed row."""
        self._rows_cache = None
        table = self._tables[topic]
        change = table.read(rows)
        if topic != self._preferred:
            table.known.apply(change.version, change.servers, change.removed)
            return
        update = self.view.apply_shared_update(change.version, change.servers, change.removed)
        if update:
            self._on_update(ListKind.CHANGES, update)

    def _read_table(self, topic: str) -> None:
        """Applies all rows of a table, as rows of another writer."""
        node = self._require_node()
        rows: dict[bytes, bytes | None] = dict(node.tables.rows(topic))
        for name in self._tables[topic].known.servers:
            rows.setdefault(server_key(name), None)
        for key in (UNWATCHED_KEY, VERSIONS_RESTARTED_KEY):
            rows.setdefault(key, None)
        self.on_table_change(topic, rows)

    def _status(self, topic: str) -> SharedListStatus | None:
        """Returns the status of a table, or None if this member writes the table."""
        tables = self._require_node().tables
        table = self._tables[topic]
        own = self.view.own
        if tables.own_token(topic) is not None:
            return None
        is_older = own.known and table.known.version < own.version
        outdated = table.watched and is_older and table.versions_restarted_at <= self._list_read_at
        return SharedListStatus(tables.age(topic, self._deadlines.clock()), table.watched, outdated)

    def _statuses(self) -> dict[str, SharedListStatus]:
        statuses = {topic: self._status(topic) for topic in TABLES}
        return {topic: status for topic, status in statuses.items() if status is not None}

    def _pull_tables(self, statuses: dict[str, SharedListStatus]) -> None:
        """Asks other members for the tables after a silence, since they may have received newer announcements."""
        now = self._deadlines.clock()
        silence = min((status.age for status in statuses.values()), default=0.0)
        if silence <= SILENCE_TO_PULL_MS or now < self._next_pull_at:
            return
        polls_each_time = silence < LONG_SILENCE_MS or silence == inf
        self._next_pull_at = now + ELECTION_INTERVAL_MS * (1 if polls_each_time else LONG_SILENCE_INTERVALS)
        for topic in statuses:
            self._require_node().tables.poll(topic, now)
        self._flush()

    def _prefer_best_table(self) -> None:
        """Uses the table with the greater preference, which compares open watch, freshness and list version."""
        preferences = {topic: self._preference(topic) for topic in TABLES}
        best = max(TABLES, key=lambda topic: preferences[topic])
        if preferences[best] <= preferences[self._preferred]:
            return
        self._preferred = best
        update = self.view.prefer_shared(self._tables[best].known)
        if update:
            self._on_update(ListKind.CHANGES, update)

    def _preference(self, topic: str) -> TablePreference:
        status = self._status(topic)
        known = self._tables[topic].known
        if status is None or not known.known:
            return TablePreference(False, False, -1)
        is_fresh = self._is_recent(status) and not status.outdated
        return TablePreference(is_fresh and status.watched, is_fresh, known.version)

    def _is_recent(self, status: SharedListStatus | None) -> bool:
        return status is not None and status.age <= self.election.stale_after

    # -- Election of the polling member

    def _on_election(self) -> None:
        self._election_timer = self._deadlines.call_after(ELECTION_INTERVAL_MS, self._on_election)
        if self._writers[INTERIM_TABLE].is_superseded:
            self._stop_writing(INTERIM_TABLE)
        self._decide()
        self._write()

    def _decide(self) -> None:
        """Decides this member's role and opens or closes its watch."""
        if self.view.share != "list":
            self._open_watch()
            self._prefer_best_table()
            return
        statuses = self._statuses()
        self._pull_tables(statuses)
        previous = self.election.role
        position = MemberPosition(*self._require_node().rank_position(LEASE_TABLE))
        role = self.election.decide(
            self._deadlines.clock(), self._lease is not None, position, statuses.values(), self.view.watching
        )
        self._prefer_best_table()
        if role is Role.READ:
            self._open_watch()
        elif role is Role.FOLLOW or not self._client.watching:
            self._client.stop()  # a poll in flight may complete; no further poll is sent
        if self._should_use_shared_list(role):
            self._use_shared_list()
        if role is not previous:
            self._log_role(role, previous, position)

    def _open_watch(self) -> None:
        """Opens the own watch if it is closed; after a failure the client's pacer determines the time."""
        if not self._client.watching:
            self._client.resume()

    def _should_use_shared_list(self, role: Role) -> bool:
        """Returns whether the shared list is used.

        A member that polls without success also uses the shared list, unless its own list is newer.
        """
        shared = self.view.shared
        own = self.view.own
        if role is Role.FOLLOW:
            return True
        is_not_older = shared.known and (not own.known or shared.version >= own.version)
        return is_not_older and not self.view.watching and role is not Role.LISTEN

    def _use_shared_list(self) -> None:
        update = self.view.select_source(own=False)
        self._rows_cache = None
        if update is not None:
            self._log("register_shared", version=self.view.shared.version, hosts=len(self.view.shared.servers))
            self._on_update(*update)

    def _log_role(self, role: Role, previous: Role, position: MemberPosition) -> None:
        if role is not Role.READ:
            self._log("register_role", role=role.value)
            return
        # Operators' pages quote the values of cause; they must not change.
        cause = "turn" if previous is Role.WAIT else "nobody is heard"
        if self._lease is not None:
            cause = "owner"
        self._log(
            "register_own",
            cause=cause,
            place=position.rank,
            of=position.others + 1,
            shared_version=self.view.shared.version,
            own_version=self.view.own.version,
        )

    # -- Writing the tables

    def _write(self) -> None:
        """Publishes the list that this member reads, or the fact that this member tries to read one."""
        if self._node is None or not self._writers:
            return
        if self._lease is not None:
            if self.view.watching:
                self._writers[LEASE_TABLE].publish(self._rows())
            elif self._node.tables.own_token(LEASE_TABLE) is not None:
                self._node.tables.withdraw(LEASE_TABLE)
        if self.view.share == "list":
            self._write_interim_table(self._node)

    def _write_interim_table(self, node: Node) -> None:
        writer = self._writers[INTERIM_TABLE]
        is_reader = self.election.role is Role.READ
        may_claim = is_reader and self._may_claim_interim_table()
        if may_claim and writer.token is None:
            self.interim_reads += 1
            writer.start(node.claim(INTERIM_TABLE, self._deadlines.clock()))
        if writer.token is None or writer.is_superseded:
            return
        if may_claim:
            writer.publish(self._rows())
        elif not is_reader or self.view.watching:
            node.release(INTERIM_TABLE)
            self._stop_writing(INTERIM_TABLE)

    def _stop_writing(self, topic: str) -> None:
        """Stops writing a table; its rows become a shared list for this member as for all other members.

        The rows are read as a whole, because the next writer announces only what differs from them.
        """
        self._writers[topic].stop()
        self._read_table(topic)

    def _may_claim_interim_table(self) -> bool:
        """Returns whether this member, as a reader, may write the interim table.

        A reader without an open watch writes the table only if no other member does.
        """
        if self.view.watching:
            return self._lease is None
        return not self._is_recent(self._status(INTERIM_TABLE))

    def _rows(self) -> merkle_trie.Rows:
        """Returns the rows of the list that this member has read or received; cached until the next change."""
        if self._rows_cache is not None:
            return self._rows_cache
        uses_own = self.view.own.known or self.view.source is not ListSource.SHARED
        base = self.view.own if uses_own else self.view.shared
        rows = self._codec.encode(base.servers.values())
        if base.known:
            rows[VERSION_KEY] = msgspec.msgpack.encode(base.version)
        if self._versions_restarted_at:
            rows[VERSIONS_RESTARTED_KEY] = msgspec.msgpack.encode(self._versions_restarted_at)
        if not self.view.watching:
            rows[UNWATCHED_KEY] = UNWATCHED
        self._rows_cache = rows
        return rows

    def _on_write_error(self, error: str) -> None:
        """Withdraws a list that cannot be shared, so that each member polls service discovery itself."""
        self._log("register_not_shared", error=error)
        if self._node is None:
            return
        for topic in TABLES:
            if self._node.tables.own_token(topic) is not None:
                self._node.tables.withdraw(topic)

    def _require_node(self) -> Node:
        if self._node is None:
            message = "shared discovery has not joined a cluster; call join() first"
            raise RuntimeError(message)
        return self._node
