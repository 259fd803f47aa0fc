"""Replicates tables by gossip: one member writes a table and all other members read it.

A table is a Merkle trie whose nodes fit into a datagram. The holder of a lease publishes a table under its fencing
token; each publication and each heartbeat has a number. A member that receives a newer announcement forwards it
immediately to a few other members (eager push; Birman and others 1999), together with the changed nodes if they are
few. The receiver requests the missing nodes by name from the member that announced the version. A lost or repeated
datagram therefore only delays replication, and unchanged nodes are never sent again. A version is applied completely
or not at all. This module has no I/O, no clock and no source of randomness: the caller provides the time and the
random generator.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from math import inf
from random import Random

from heronlug.cluster import merkle_trie
from heronlug.cluster.errors import MalformedNodeError
from heronlug.cluster.messages import MAX_NODES_PER_REQUEST, NodeData, NodeRequest, Part, Sync, TableAnnouncement
from heronlug.cluster.model import ClusterTiming, FencingToken, TableChanged
from heronlug.cluster.node_store import NodeStore, Overlay
from heronlug.cluster.ownership import tag
from heronlug.cluster.table_state import NO_VERSION, TableState, Version

MAX_OPEN_NODE_REQUESTS = 192
"""Maximum number of outstanding node requests per table."""

MAX_ANNOUNCED_AGE_HEARTBEATS = 1.1
"""Maximum age, in heartbeat intervals, of a version that is announced to a member that joins or polls."""

POLL_ANSWER_WINDOW_MS = 200.0
"""Time after a poll during which a received announcement counts as the response, in milliseconds."""

MEMBERS_POLLED = 2
"""Number of members that a poll asks for a newer version."""

MAX_PUSHED_NODES = 12
"""Maximum number of nodes sent with an announcement; if more have changed, the receivers request the nodes."""

SOURCE_WEIGHT = 3
"""Weight of the current source, in addition to the weight 1 of each active member, when a retry chooses a member."""


class ReplicatedTables:
    """The replicated tables of a member.

    Attributes:
        timing: The timing of the cluster.
        states: The followed tables by tag.
        counts: Counters by name: ``pieces_sent`` for nodes sent on request, ``pieces_taken`` for missing nodes
            received, ``pulled_again`` for repeated requests, ``bad_nodes`` for malformed nodes.
    """

    def __init__(
        self,
        timing: ClusterTiming,
        rng: Random,
        send: Callable[[int, Part], None],
        notify: Callable[[TableChanged], None],
        other_members: Callable[[], list[int]],
        may_act: Callable[[str, float], FencingToken | None],
    ) -> None:
        """Creates a set of tables that follows no table.

        Args:
            timing: The timing of the cluster.
            rng: The random generator.
            send: Sends a message to the member with the given tag.
            notify: Receives the changes of tables that other members write.
            other_members: Returns the tags of the other active members.
            may_act: Returns the token under which this member may write a table at a given time, or None.
        """
        self.timing = timing
        self.states: dict[int, TableState] = {}
        self.counts: Counter[str] = Counter()
        self._rng = rng
        self._send = send
        self._notify = notify
        self._other_members = other_members
        self._may_act = may_act
        self._store = NodeStore()
        self._next_heartbeat_at = -inf

    # -- queries

    @property
    def nodes(self) -> Mapping[int, bytes]:
        """Returns the nodes of all tables by name."""
        return self._store.nodes

    def follow(self, name: str) -> None:
        """Starts replicating a table; announcements of tables that are not followed are ignored."""
        state = TableState(name)
        self.states.setdefault(state.key, state)

    def rows(self, name: str) -> merkle_trie.Rows:
        """Returns all rows of a table."""
        return dict(merkle_trie.walk(self.nodes, self.states[tag(name)].root))

    def age(self, name: str, now: float) -> float:
        """Returns the time since the writer's last confirmation, in milliseconds; 0 if this member writes the table."""
        state = self.states[tag(name)]
        return 0.0 if state.own_token is not None else now - state.confirmed_at

    def own_token(self, name: str) -> FencingToken | None:
        """Returns the token under which this member writes a table, or None once a later writer is known."""
        return self.states[tag(name)].own_token

    def latest_token(self, name: str) -> FencingToken:
        """Returns the token of the latest complete version at this member."""
        return self.states[tag(name)].version.token

    def poll(self, name: str, now: float) -> None:
        """Asks a few other members for a newer version by announcing the current version to them."""
        state, others = self.states[tag(name)], self._other_members()
        if state.own_token is None and others:
            for member in self._rng.sample(others, min(MEMBERS_POLLED, len(others))):
                state.polled_at = now
                self._send(member, state.announcement)

    def next_wake(self) -> float:
        """Returns the time when :meth:`wake` must be called next, in milliseconds; infinite if nothing is scheduled."""
        times = [deadline for state in self.states.values() for deadline in state.request_deadlines.values()]
        if any(state.own_token is not None for state in self.states.values()):
            times.append(self._next_heartbeat_at)
        return min(times, default=inf)

    # -- writing

    def publish(self, name: str, token: FencingToken, changes: Mapping[bytes, bytes | None], now: float) -> None:
        """Publishes changed rows of a table.

        A writer's first publication is based on the version of the previous writer.

        Args:
            name: The name of the table.
            token: The fencing token under which this member writes the table.
            changes: The new values by row key; None removes a row.
            now: The current time, in milliseconds.

        Raises:
            RowTooLongError: If a row is too long.
        """
        state = self.states[tag(name)]
        new_nodes: dict[int, bytes] = {}
        nodes = Overlay(self.nodes, new_nodes)
        root = state.root
        for key, value in changes.items():
            root = merkle_trie.change(nodes, root, key, value)
        self._publish(state, token, root, new_nodes, now)

    def replace(self, name: str, token: FencingToken, root: int, nodes: Mapping[int, bytes], now: float) -> None:
        """Publishes a complete table, given by its root and the nodes that the caller has built."""
        self._publish(self.states[tag(name)], token, root, nodes, now)

    def withdraw(self, name: str) -> None:
        """Stops announcing a table that may be outdated.

        The table stays readable at every member, but becomes stale unless another member writes the table.
        """
        state = self.states[tag(name)]
        state.own_token = None
        state.confirmed_at = -inf

    def _publish(
        self, state: TableState, token: FencingToken, root: int, nodes: Mapping[int, bytes], now: float
    ) -> None:
        self._store.nodes.update(nodes)
        state.stop_fetching()
        state.own_token = token
        state.version = Version(token, state.version.number + 1 if state.version.token == token else 1)
        if root != state.root:
            self._set_root(state, root, tuple(nodes))
            self._collect_garbage()
        state.confirmed_at = now
        self._announce(state)
        next_heartbeat = now + self.timing.heartbeat_interval
        if self._next_heartbeat_at <= now or next_heartbeat < self._next_heartbeat_at:
            self._next_heartbeat_at = next_heartbeat

    def _set_root(self, state: TableState, root: int, new_nodes: tuple[int, ...]) -> None:
        state.previous_root, state.root = state.root, root
        state.push_queue = new_nodes if len(new_nodes) <= MAX_PUSHED_NODES else ()

    def _announce(self, state: TableState, received_from: int = 0) -> None:
        """Announces the current version to a few members, together with its new nodes if these are few."""
        others = [member for member in self._other_members() if member != received_from]
        announcement = state.announcement
        for member in self._rng.sample(others, min(self.timing.fanout, len(others))):
            for name in state.push_queue:
                if name in self.nodes:
                    self._send(member, NodeData(self.nodes[name]))
            self._send(member, announcement)
        state.push_queue = ()

    # -- time

    def wake(self, now: float) -> None:
        """Sends the heartbeats of the tables that this member writes and repeats requests that have timed out."""
        heartbeat = now >= self._next_heartbeat_at
        for state in self.states.values():
            if state.own_token is not None and self._may_act(state.name, now) != state.own_token:
                state.own_token = None
                state.confirmed_at = -inf
            if state.own_token is not None and heartbeat:
                state.version = Version(state.version.token, state.version.number + 1)
                state.confirmed_at = now
                self._announce(state)
            if any(deadline <= now for deadline in state.request_deadlines.values()):
                self._repeat_requests(state, now)
        if heartbeat:
            self._next_heartbeat_at = now + self.timing.heartbeat_interval

    def _repeat_requests(self, state: TableState, now: float) -> None:
        """Repeats timed-out requests, possibly to another member, since the current source may be unreachable."""
        state.request_deadlines = {
            name: deadline for name, deadline in state.request_deadlines.items() if deadline > now
        }
        others = self._other_members()
        if others:
            state.source = self._rng.choice([*others, *([state.source] * SOURCE_WEIGHT)])
        self.counts["pulled_again"] += 1
        self._request_nodes(state, now)

    # -- messages

    def receive(self, sender: int, part: Part, now: float) -> None:
        """Handles a message about tables; other messages are ignored."""
        match part:
            case TableAnnouncement():
                state = self.states.get(part.table)
                if state is not None:
                    self._on_announcement(state, sender, part, now)
            case NodeRequest():
                self._on_node_request(sender, part)
            case NodeData():
                self._on_node(part.data, now)
            case Sync():
                for state in self.states.values():
                    self._announce_to(state, sender, now)

    def _on_node_request(self, sender: int, request: NodeRequest) -> None:
        for name in request.names:
            if name in self.nodes:
                self._send(sender, NodeData(self.nodes[name]))
                self.counts["pieces_sent"] += 1

    def _announce_to(self, state: TableState, sender: int, now: float) -> None:
        """Announces the current version to one member, unless the version may be outdated."""
        max_age = MAX_ANNOUNCED_AGE_HEARTBEATS * self.timing.heartbeat_interval
        current = state.own_token is not None or now - state.confirmed_at <= max_age
        if state.version != NO_VERSION and current:
            self._send(sender, state.announcement)

    def _confirmed_at(self, state: TableState, now: float) -> float:
        """Returns the assumed time of the writer's confirmation of a version whose announcement arrives at ``now``.

        The first announcement of a table and the response to a poll may be up to ``MAX_ANNOUNCED_AGE_HEARTBEATS``
        heartbeat intervals old; any other announcement is assumed to be new.
        """
        is_answer = state.version == NO_VERSION or now - state.polled_at < POLL_ANSWER_WINDOW_MS
        if not is_answer:
            return now
        return max(state.confirmed_at, now - MAX_ANNOUNCED_AGE_HEARTBEATS * self.timing.heartbeat_interval)

    def _on_announcement(self, state: TableState, sender: int, announcement: TableAnnouncement, now: float) -> None:
        version = Version(announcement.token, announcement.number)
        if version < state.version:
            self._announce_to(state, sender, now)
        if version <= state.newest_known:
            return
        if state.own_token is not None:
            if announcement.token <= state.own_token:
                return
            state.own_token = None  # another member writes the table now
        if announcement.root == state.root:
            state.stop_fetching()
            state.confirmed_at = self._confirmed_at(state, now)
            state.version = version
            self._announce(state, sender)
        else:
            self._fetch(state, sender, announcement, now)

    def _fetch(self, state: TableState, sender: int, announcement: TableAnnouncement, now: float) -> None:
        """Starts fetching an announced version from the member that announced the version."""
        same_root = state.pending is not None and state.pending.root == announcement.root
        state.pending = announcement
        state.source = sender
        if not same_root:
            state.request_deadlines.clear()
            state.missing.clear()
            self._store.find_missing(state.missing, state.root, announcement.root)
        self._continue_fetch(state, announcement, now)

    def _continue_fetch(self, state: TableState, pending: TableAnnouncement, now: float) -> None:
        if state.missing.counterparts:
            self._request_nodes(state, now)
        else:
            self._take_over(state, pending, now)

    def _on_node(self, data: bytes, now: float) -> None:
        try:
            merkle_trie.rows_of(data)
            merkle_trie.children_of(data)
        except MalformedNodeError:
            self.counts["bad_nodes"] += 1
            return
        name = merkle_trie.name_of(data)
        if name in self.nodes:
            return
        waiting = [state for state in self.states.values() if name in state.missing.counterparts]
        if not waiting:
            self._store.add_unrequested(name, data)
            return
        self._store.nodes[name] = data
        self.counts["pieces_taken"] += 1
        for state in waiting:
            counterpart = state.missing.counterparts.pop(name)
            state.request_deadlines.pop(name, None)
            state.missing.received.append(name)
            self._store.find_missing(state.missing, counterpart, name)
            if state.pending is not None:
                self._continue_fetch(state, state.pending, now)

    def _request_nodes(self, state: TableState, now: float) -> None:
        """Requests missing nodes, up to ``MAX_OPEN_NODE_REQUESTS`` outstanding requests per table.

        While responses are outstanding and further nodes are missing, a request waits until it fills a datagram.
        """
        requested, missing = state.request_deadlines, state.missing.counterparts
        free_requests = MAX_OPEN_NODE_REQUESTS - len(requested)
        names = [name for name in missing if name not in requested][:free_requests]
        more_missing = requested and len(names) + len(requested) < len(missing)
        if len(names) < MAX_NODES_PER_REQUEST and more_missing:
            return
        for start in range(0, len(names), MAX_NODES_PER_REQUEST):
            batch = names[start : start + MAX_NODES_PER_REQUEST]
            requested.update(dict.fromkeys(batch, now + self.timing.pull_timeout))
            self._send(state.source, NodeRequest(tuple(batch)))

    def _take_over(self, state: TableState, pending: TableAnnouncement, now: float) -> None:
        """Replaces the current version by the pending version, which is complete, and announces it."""
        changes = merkle_trie.difference(self.nodes, state.root, pending.root)
        received = tuple(state.missing.received)
        state.stop_fetching()
        state.missing.received.clear()
        self._set_root(state, pending.root, received)
        state.confirmed_at = self._confirmed_at(state, now)
        state.version = Version(pending.token, pending.number)
        self._announce(state, state.source)
        self._collect_garbage()
        self._notify(TableChanged(state.name, changes))

    def _collect_garbage(self) -> None:
        """Drops the nodes that no table needs, if the node store requests a collection."""
        if self._store.collection_due:
            self._store.retain([root for state in self.states.values() for root in state.live_roots()])
