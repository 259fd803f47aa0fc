"""Tables that one member writes and all others read, replicated by gossip in nodes that fit into a datagram.

The holder of a lease publishes a table under its fencing token; each publication and each heartbeat has a number. A
member passes an announcement that is newer than what it knows on to a few others at once (eager push; Birman and
others 1999), with the few nodes that have changed. What is still missing it requests from the member that announced
it, by the names of the nodes. So a lost or repeated datagram costs time only, and unchanged nodes are never sent
again. A version is taken over completely or not at all. No I/O, no clock and no randomness of its own.
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
"""Nodes of a table that are requested at once."""

MAX_ANNOUNCED_AGE_HEARTBEATS = 1.1
"""How old a version may be, in heartbeat intervals, to be announced to a member that joins or asks."""

POLL_ANSWER_WINDOW_MS = 200.0
"""How long after a poll an announcement counts as its answer, in milliseconds."""

MEMBERS_POLLED = 2
"""Members that are asked for a newer version at once."""

MAX_PUSHED_NODES = 12
"""Nodes sent along with an announcement; if more have changed, all are fetched."""

SOURCE_WEIGHT = 3
"""How much likelier a repeated request goes to the member that announced the version than to any other one."""


class ReplicatedTables:
    """All replicated tables of a member.

    Attributes:
        states: The tables that are followed, by their tags.
        counts: Figures: ``pieces_sent``, ``pieces_taken``, ``pulled_again``, ``bad_nodes``.
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
        """Create an empty set of tables.

        Args:
            timing: The cluster's timing.
            rng: The source of randomness.
            send: Sends a message to the member with a tag.
            notify: Is told what has changed in a table that another member writes.
            other_members: The tags of the other active members.
            may_act: The token under which this member may write a table at a time.
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
        """The nodes of all tables by their names."""
        return self._store.nodes

    def follow(self, name: str) -> None:
        """Replicate this table; announcements of others are ignored."""
        state = TableState(name)
        self.states.setdefault(state.key, state)

    def rows(self, name: str) -> merkle_trie.Rows:
        """All rows of a table."""
        return dict(merkle_trie.walk(self.nodes, self.states[tag(name)].root))

    def age(self, name: str, now: float) -> float:
        """How long ago the writer confirmed the present version, in milliseconds; 0 for a table of this member."""
        state = self.states[tag(name)]
        return 0.0 if state.own_token is not None else now - state.confirmed_at

    def own_token(self, name: str) -> FencingToken | None:
        """The token that this member writes a table under, until a later writer is heard of."""
        return self.states[tag(name)].own_token

    def latest_token(self, name: str) -> FencingToken:
        """The token of the latest version that is complete here."""
        return self.states[tag(name)].version.token

    def poll(self, name: str, now: float) -> None:
        """Ask a few other members for a newer version, by announcing the present one to them."""
        state, others = self.states[tag(name)], self._other_members()
        if state.own_token is None and others:
            for member in self._rng.sample(others, min(MEMBERS_POLLED, len(others))):
                state.polled_at = now
                self._send(member, state.announcement)

    def next_wake(self) -> float:
        """When :meth:`wake` has something to do."""
        times = [deadline for state in self.states.values() for deadline in state.request_deadlines.values()]
        if any(state.own_token is not None for state in self.states.values()):
            times.append(self._next_heartbeat_at)
        return min(times, default=inf)

    # -- writing

    def publish(self, name: str, token: FencingToken, changes: Mapping[bytes, bytes | None], now: float) -> None:
        """Put rows in, and remove those that are None; the first publication goes on from the predecessor's version.

        Raises:
            RowTooLongError: A row is too long.
        """
        state = self.states[tag(name)]
        new_nodes: dict[int, bytes] = {}
        nodes = Overlay(self.nodes, new_nodes)
        root = state.root
        for key, value in changes.items():
            root = merkle_trie.change(nodes, root, key, value)
        self._publish(state, token, root, new_nodes, now)

    def replace(self, name: str, token: FencingToken, root: int, nodes: Mapping[int, bytes], now: float) -> None:
        """Publish a complete table that was built elsewhere."""
        self._publish(self.states[tag(name)], token, root, nodes, now)

    def withdraw(self, name: str) -> None:
        """Announce a table no more, as it may be out of date; it becomes stale everywhere and stays readable."""
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
        """Announce the present version to a few members, with its new nodes if they are few."""
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
        """Send the heartbeats of own tables, and repeat requests that were not answered."""
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
        """Request nodes again, perhaps from another member, as the present source may be unreachable."""
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
        """Handle a message if it is about tables."""
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
        """Announce the present version to one member, unless it may be out of date."""
        max_age = MAX_ANNOUNCED_AGE_HEARTBEATS * self.timing.heartbeat_interval
        current = state.own_token is not None or now - state.confirmed_at <= max_age
        if state.version != NO_VERSION and current:
            self._send(sender, state.announcement)

    def _confirmed_at(self, state: TableState, now: float) -> float:
        """When the writer confirmed a version that was announced just now.

        The answer to a poll, like the first announcement, may be as old as a version may be that is announced.
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
            state.own_token = None  # another writer has taken over
        if announcement.root == state.root:
            state.stop_fetching()
            state.confirmed_at = self._confirmed_at(state, now)
            state.version = version
            self._announce(state, sender)
        else:
            self._fetch(state, sender, announcement, now)

    def _fetch(self, state: TableState, sender: int, announcement: TableAnnouncement, now: float) -> None:
        """Fetch an announced version from the member that announced it."""
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
        """Request missing nodes, as many as may be requested at once and in full datagrams where possible."""
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
        """Make the pending version, which is complete, the present one, and announce it."""
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
        """Drop nodes that no table needs, once there are many."""
        if self._store.collection_due:
            self._store.retain([root for state in self.states.values() for root in state.live_roots()])
