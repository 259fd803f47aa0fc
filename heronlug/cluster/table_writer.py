"""Writes a replicated table and builds large changes outside the event loop."""

import asyncio
from collections.abc import Callable

from heronlug.cluster import merkle_trie
from heronlug.cluster.model import FencingToken
from heronlug.cluster.node import Node
from heronlug.net.background import run_in_background
from heronlug.requests.deadlines import Deadlines

LARGE_CHANGE_ROWS = 300
"""Maximum number of changed rows that are applied in the event loop; larger changes are built in a thread."""


class TableWriter:
    """Writes one table.

    Attributes:
        topic: The name of the table.
        token: The fencing token under which this member writes the table; None while this member does not write it.
    """

    def __init__(
        self,
        topic: str,
        node: Node,
        deadlines: Deadlines,
        flush: Callable[[], None],
        on_error: Callable[[str], None],
    ) -> None:
        """Creates a writer without a token.

        Args:
            topic: The name of the table.
            node: The cluster member that replicates the table.
            deadlines: The clock, in milliseconds.
            flush: Sends the messages that the node has queued.
            on_error: Receives the error text if the table cannot be written.
        """
        self.topic = topic
        self.token: FencingToken | None = None
        self._node = node
        self._deadlines = deadlines
        self._flush = flush
        self._on_error = on_error
        self._published: merkle_trie.Rows = {}
        self._has_published = False  # whether rows were published under the current token
        self._pending: merkle_trie.Rows | None = None  # the rows passed to publish() during a build
        self._build_task: asyncio.Task[None] | None = None

    @property
    def is_superseded(self) -> bool:
        """Returns whether another member has started to write the table after this member."""
        return self.token is not None and self._has_published and self._node.tables.own_token(self.topic) is None

    def start(self, token: FencingToken) -> None:
        """Starts writing under a token, based on the rows of the previous writer."""
        self.token = token
        self._published = self._node.tables.rows(self.topic)
        self._has_published = False

    def stop(self) -> None:
        """Stops writing; the table becomes stale unless another member writes it."""
        if self.token is not None and self._node.tables.own_token(self.topic) is not None:
            self._node.tables.withdraw(self.topic)
        self.token = None
        self._published = {}
        self._pending = None
        self._flush()

    def publish(self, rows: merkle_trie.Rows) -> None:
        """Replaces the rows of the table; does nothing while this member has no token.

        During a build the rows are stored, and are published when the build ends.
        """
        if self.token is None:
            return
        if self._build_task is not None:
            self._pending = rows
            return
        is_writer = self._node.tables.own_token(self.topic) is not None
        if (is_writer and rows is self._published) or self._node.tables.latest_token(self.topic) > self.token:
            return
        changes = self._changes(rows)
        if is_writer and not changes:
            self._published = rows
        elif len(changes) > LARGE_CHANGE_ROWS:
            self._build_task = asyncio.get_running_loop().create_task(self._build(self.token, rows))
        else:
            self._publish_changes(self.token, changes, rows)

    def close(self) -> None:
        """Cancels a build that is in progress."""
        if self._build_task is not None:
            self._build_task.cancel()

    def _changes(self, rows: merkle_trie.Rows) -> dict[bytes, bytes | None]:
        changes: dict[bytes, bytes | None] = {
            key: value for key, value in rows.items() if self._published.get(key) != value
        }
        changes.update((key, None) for key in self._published.keys() - rows.keys())
        return changes

    def _publish_changes(self, token: FencingToken, changes: dict[bytes, bytes | None], rows: merkle_trie.Rows) -> None:
        try:
            self._node.tables.publish(self.topic, token, changes, self._deadlines.clock())
        except ValueError as error:
            self._on_error(str(error))
        else:
            self._record_published(rows)

    async def _build(self, token: FencingToken, rows: merkle_trie.Rows) -> None:
        nodes: dict[int, bytes] = {}
        try:
            root = await run_in_background(merkle_trie.build, rows, nodes)
            if self.token == token:
                self._node.tables.replace(self.topic, token, root, nodes, self._deadlines.clock())
                self._record_published(rows)
        except ValueError as error:
            self._on_error(str(error))
        finally:
            self._build_task = None
        pending = self._pending
        self._pending = None
        if pending is not None:
            self.publish(pending)

    def _record_published(self, rows: merkle_trie.Rows) -> None:
        self._published = rows
        self._has_published = True
        self._flush()
