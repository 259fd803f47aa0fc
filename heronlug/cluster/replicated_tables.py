"""Tables that one member writes and all others read: by gossip, in pieces that fit into a datagram.

The owner of a duty publishes a sheet under its fence; each publication and each beat has a number.  An announcement
that is newer than what is known is passed on at once to a few others (eager push; Birman and others 1999), together
with the few nodes that it changes; what is still missing is pulled from whoever announced it, by the names of the
nodes, so a lost or repeated datagram costs time and nothing else, and unchanged parts never travel twice.  A sheet is
taken whole or not at all.  No I/O, no clock and no randomness of its own.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping
from math import inf
from random import Random
from typing import NamedTuple

from heronlug.cluster import merkle_trie
from heronlug.cluster.messages import MAX_NODES_PER_REQUEST, NodeData, NodeRequest, Part, Sync, TableAnnouncement
from heronlug.cluster.model import NO_TOKEN, ClusterTiming, FencingToken, TableChanged
from heronlug.cluster.ownership import tag

MAX_OPEN_NODE_REQUESTS = 192  # nodes asked for at once
MAX_UNREQUESTED_NODES = 256  # pieces kept that nobody asked for yet: they may have overtaken their announcement
MAX_HEARTBEATS_OLD = 1.1  # beats that a sheet may be old and is still told to whoever comes or asks
ANSWER_WINDOW = 200.0  # ms after which what comes is no answer any more
MEMBERS_POLLED = 2  # others that are asked at once
MAX_PUSHED_NODES = 12  # nodes sent along with an announcement; what changes more is pulled


class Version(NamedTuple):
    """The order of publications: a later owner's are all above those before."""

    token: FencingToken
    number: int


NO_VERSION = Version(NO_TOKEN, 0)


class TableState:
    """One sheet as it is known here."""

    __slots__ = (
        "fresh_at",
        "key",
        "missing",
        "name",
        "own_token",
        "pending",
        "polled_at",
        "previous_root",
        "push_queue",
        "received",
        "requested_until",
        "root",
        "source",
        "version",
    )

    def __init__(self, name: str) -> None:
        self.name, self.key = name, tag(name)
        self.version, self.root, self.previous_root = (
            NO_VERSION,
            merkle_trie.EMPTY,
            merkle_trie.EMPTY,
        )  # what is there whole
        self.fresh_at = -inf  # when something new was last heard of its owner
        self.push_queue: tuple[int, ...] = ()  # nodes that the present root has brought
        self.own_token: FencingToken | None = None  # while we publish it
        self.pending: TableAnnouncement | None = None  # what is being pulled
        self.source = 0  # from whom
        self.missing: dict[int, int | None] = {}  # nodes of it that are not there, with their counterparts
        self.requested_until: dict[int, float] = {}  # until when an answer may come
        self.polled_at = -inf  # when we last asked others for what is newer
        self.received: list[int] = []  # nodes that have come for it


class ReplicatedTables:
    """All sheets of a member.  ``send`` takes a member's tag, ``told`` what has changed, ``others`` who is there."""

    def __init__(
        self,
        terms: ClusterTiming,
        rng: Random,
        send: Callable[[int, Part], None],
        told: Callable[[TableChanged], None],
        others: Callable[[], list[int]],
        may_act: Callable[[str, float], FencingToken | None],
    ) -> None:
        self.timing = terms
        self.states: dict[int, TableState] = {}
        self.nodes: dict[int, bytes] = {merkle_trie.EMPTY: b"L"}
        self.counts: Counter[str] = Counter()
        self._rng, self._send, self._told, self._others, self._may_act = rng, send, told, others, may_act
        self._loose: OrderedDict[int, bytes] = OrderedDict()
        self._sweep_at = 1024
        self._beat_at = -inf

    # -- what is known

    def follow(self, name: str) -> None:
        """Read this sheet; others than those followed are not taken in."""
        topic = TableState(name)
        self.states.setdefault(topic.key, topic)

    def rows(self, name: str) -> merkle_trie.Rows:
        """All rows of a sheet."""
        return dict(merkle_trie.walk(self.nodes, self.states[tag(name)].root))

    def age(self, name: str, now: float) -> float:
        """How long ago its owner was last heard of it; 0 for one of ours."""
        topic = self.states[tag(name)]
        return 0.0 if topic.own_token is not None else now - topic.fresh_at

    def own_token(self, name: str) -> FencingToken | None:
        """The fence that we write it under, until a later one is heard of."""
        return self.states[tag(name)].own_token

    def latest_token(self, name: str) -> FencingToken:
        """The fence of the latest version that is known."""
        return self.states[tag(name)].version.token

    def poll(self, name: str, now: float) -> None:
        """We have not heard of it lately: a few others, who see how old ours is, tell what is newer."""
        topic, others = self.states[tag(name)], self._others()
        if topic.own_token is None and others:
            for whom in self._rng.sample(others, min(MEMBERS_POLLED, len(others))):
                topic.polled_at = now
                self._send(whom, TableAnnouncement(topic.key, topic.version.token, topic.version.number, topic.root))

    def next_wake(self) -> float:
        """When there is something to do."""
        times = [until for topic in self.states.values() for until in topic.requested_until.values()]
        if any(topic.own_token is not None for topic in self.states.values()):
            times.append(self._beat_at)
        return min(times, default=inf)

    # -- what we write

    def publish(self, name: str, fence: FencingToken, changes: Mapping[bytes, bytes | None], now: float) -> None:
        """Put rows in, and take those out that are None; raises ``ValueError`` for one that is too long.

        The first publication under a fence goes on from what is known of the owner before.
        """
        topic = self.states[tag(name)]
        fresh: dict[int, bytes] = {}
        nodes = _Over(self.nodes, fresh)
        root = topic.root
        for key, value in changes.items():
            root = merkle_trie.change(nodes, root, key, value)
        self._publish(topic, fence, root, fresh, now)

    def replace(self, name: str, fence: FencingToken, root: int, nodes: Mapping[int, bytes], now: float) -> None:
        """Put a table, built beside, in the place of what was there."""
        self._publish(self.states[tag(name)], fence, root, nodes, now)

    def withdraw(self, name: str) -> None:
        """Announce it no more: what we know may be out of date.  It goes stale everywhere, and stays readable."""
        topic = self.states[tag(name)]
        topic.own_token = None
        topic.fresh_at = -inf

    def _publish(
        self, topic: TableState, fence: FencingToken, root: int, fresh: Mapping[int, bytes], now: float
    ) -> None:
        self.nodes.update(fresh)
        topic.pending, topic.own_token = None, fence
        topic.missing.clear()
        topic.requested_until.clear()
        topic.version = Version(fence, topic.version.number + 1 if topic.version.token == fence else 1)
        if root != topic.root:
            topic.previous_root, topic.root = topic.root, root
            topic.push_queue = tuple(fresh) if len(fresh) <= MAX_PUSHED_NODES else ()
            self._sweep()
        topic.fresh_at = now
        self._announce(topic, 0)
        self._beat_at = (
            min(self._beat_at, now + self.timing.heartbeat_interval)
            if self._beat_at > now
            else now + self.timing.heartbeat_interval
        )

    def _announce(self, topic: TableState, heard_of: int) -> None:
        """Tell a few; the fewer nodes it has brought, the more of it goes along."""
        others = [whom for whom in self._others() if whom != heard_of]
        part = TableAnnouncement(topic.key, topic.version.token, topic.version.number, topic.root)
        for whom in self._rng.sample(others, min(self.timing.fanout, len(others))):
            for name in topic.push_queue:
                if name in self.nodes:
                    self._send(whom, NodeData(self.nodes[name]))
            self._send(whom, part)
        topic.push_queue = ()

    # -- time

    def wake(self, now: float) -> None:
        """Beat for what is ours, and ask again for what has not come."""
        beat = now >= self._beat_at
        for topic in self.states.values():
            if topic.own_token is not None and self._may_act(topic.name, now) != topic.own_token:
                topic.own_token, topic.fresh_at = None, -inf
            if topic.own_token is not None and beat:
                topic.version = Version(topic.version.token, topic.version.number + 1)
                topic.fresh_at = now
                self._announce(topic, 0)
            if any(until <= now for until in topic.requested_until.values()):
                topic.requested_until = {name: until for name, until in topic.requested_until.items() if until > now}
                others = self._others()
                if others:  # it may be the one who told of it that cannot be reached
                    topic.source = self._rng.choice([*others, *([topic.source] * 3)])
                self.counts["pulled_again"] += 1
                self._pull(topic, now)
        if beat:
            self._beat_at = now + self.timing.heartbeat_interval

    # -- datagrams

    def receive(self, sender: int, part: Part, now: float) -> None:
        """A part that has to do with sheets."""
        if isinstance(part, TableAnnouncement):
            topic = self.states.get(part.table)
            if topic is not None:
                self._heard_of(topic, sender, part, now)
        elif isinstance(part, NodeRequest):
            for name in part.names:
                if name in self.nodes:
                    self._send(sender, NodeData(self.nodes[name]))
                    self.counts["pieces_sent"] += 1
        elif isinstance(part, NodeData):
            self._piece(part.data, now)
        elif isinstance(part, Sync):
            self._greet(sender, now)

    def _greet(self, sender: int, now: float) -> None:
        """Whoever comes hears what there is at once; what we have not heard of lately may be old, and is not told."""
        for topic in self.states.values():
            self._answer(topic, sender, now)

    def _answer(self, topic: TableState, sender: int, now: float) -> None:
        if topic.version != NO_VERSION and (
            topic.own_token is not None or now - topic.fresh_at <= MAX_HEARTBEATS_OLD * self.timing.heartbeat_interval
        ):
            self._send(sender, TableAnnouncement(topic.key, topic.version.token, topic.version.number, topic.root))

    def _fresh(self, topic: TableState, now: float) -> float:
        """When its writer was last heard: what was asked for may be as old as it may be told."""
        asked = topic.version == NO_VERSION or now - topic.polled_at < ANSWER_WINDOW
        return max(topic.fresh_at, now - MAX_HEARTBEATS_OLD * self.timing.heartbeat_interval) if asked else now

    def _heard_of(self, topic: TableState, sender: int, part: TableAnnouncement, now: float) -> None:
        version = Version(part.token, part.number)
        if version < topic.version:
            self._answer(topic, sender, now)
        if version <= topic.version or (topic.pending is not None and version <= _version(topic.pending)):
            return
        if topic.own_token is not None and part.token > topic.own_token:
            topic.own_token = None  # somebody has taken over, and we have not noticed yet
        elif topic.own_token is not None:
            return
        if part.root == topic.root:
            topic.pending = None
            topic.missing.clear()
            topic.requested_until.clear()
            topic.fresh_at = self._fresh(topic, now)
            topic.version = version
            self._announce(topic, sender)
            return
        known = topic.pending is not None and topic.pending.root == part.root
        topic.pending, topic.source = part, sender
        if not known:
            topic.requested_until.clear()
            topic.received.clear()
            topic.missing = self._still_absent(topic, topic.root, part.root)
        if topic.missing:
            self._pull(topic, now)
        else:
            self._adopt(topic, now)

    def _still_absent(self, topic: TableState, old: int | None, new: int) -> dict[int, int | None]:
        """What is missing below a node, after what has come by itself is put in."""
        missing = merkle_trie.absent(self.nodes, old, new)
        while found := [name for name in missing if name in self._loose]:
            for name in found:
                self.nodes[name] = self._loose.pop(name)
                topic.received.append(name)
                missing.update(merkle_trie.absent(self.nodes, missing.pop(name), name))
        return missing

    def _piece(self, data: bytes, now: float) -> None:
        try:
            merkle_trie.rows_of(data)
            merkle_trie.children_of(data)
        except merkle_trie.MalformedNodeError:
            self.counts["bad_nodes"] += 1
            return
        name = merkle_trie.name_of(data)
        if name in self.nodes:
            return
        wanting = [topic for topic in self.states.values() if name in topic.missing]
        if not wanting:
            self._loose[name] = data
            while len(self._loose) > MAX_UNREQUESTED_NODES:
                self._loose.popitem(last=False)
            return
        self.nodes[name] = data
        self.counts["pieces_taken"] += 1
        for topic in wanting:
            counterpart = topic.missing.pop(name)
            topic.requested_until.pop(name, None)
            topic.received.append(name)
            topic.missing.update(self._still_absent(topic, counterpart, name))
            if topic.missing:
                self._pull(topic, now)
            else:
                self._adopt(topic, now)

    def _pull(self, topic: TableState, now: float) -> None:
        """Ask for what is missing, as much at once as the window has room for and in whole datagrams where it can."""
        room = MAX_OPEN_NODE_REQUESTS - len(topic.requested_until)
        free = [name for name in topic.missing if name not in topic.requested_until][:room]
        if (
            len(free) < MAX_NODES_PER_REQUEST
            and topic.requested_until
            and len(free) + len(topic.requested_until) < len(topic.missing)
        ):
            return  # more will come to be asked for together
        for at in range(0, len(free), MAX_NODES_PER_REQUEST):
            chosen = free[at : at + MAX_NODES_PER_REQUEST]
            topic.requested_until.update(dict.fromkeys(chosen, now + self.timing.pull_timeout))
            self._send(topic.source, NodeRequest(tuple(chosen)))

    def _adopt(self, topic: TableState, now: float) -> None:
        """It is there whole: read it, and tell others."""
        part, topic.pending = topic.pending, None
        assert part is not None
        topic.requested_until.clear()
        changes = merkle_trie.difference(self.nodes, topic.root, part.root)
        topic.previous_root, topic.root = topic.root, part.root
        topic.fresh_at = self._fresh(topic, now)
        topic.version = _version(part)
        topic.push_queue = tuple(topic.received) if len(topic.received) <= MAX_PUSHED_NODES else ()
        topic.received.clear()
        self._announce(topic, topic.source)
        self._sweep()
        self._told(TableChanged(topic.name, changes))

    def _sweep(self) -> None:
        """Forget nodes that are in no sheet of now, of before, or being pulled."""
        if len(self.nodes) <= self._sweep_at:
            return
        live: set[int] = {merkle_trie.EMPTY}
        for topic in self.states.values():
            roots = [topic.root, topic.previous_root, *([topic.pending.root] if topic.pending is not None else [])]
            for root in roots:
                live.update(merkle_trie.names(self.nodes, root))
            # below a node that is missing nothing can be told apart yet
            for counterpart in topic.missing.values():
                if counterpart is not None:
                    live.update(merkle_trie.names(self.nodes, counterpart))
        self.nodes = {name: node for name, node in self.nodes.items() if name in live}
        self._sweep_at = 2 * len(self.nodes) + 1024


def _version(part: TableAnnouncement) -> Version:
    return Version(part.token, part.number)


class _Over(dict[int, bytes]):
    """A store over another: reads from both, writes into the second."""

    def __init__(self, below: Mapping[int, bytes], above: dict[int, bytes]) -> None:
        super().__init__()
        self._below, self._above = below, above

    def __getitem__(self, name: int) -> bytes:
        return self._above[name] if name in self._above else self._below[name]

    def __setitem__(self, name: int, node: bytes) -> None:
        if name not in self._below:
            self._above[name] = node
