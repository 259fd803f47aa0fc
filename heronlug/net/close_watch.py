"""Notices that the other side has closed a connection that is not read."""

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from heronlug.requests.deadlines import Deadlines

CLOSE_CHECK_INTERVAL_MS = 50.0
"""Interval between two checks whether clients have closed connections that are not read, in ms."""


class WatchedConnection(Protocol):
    """A connection of a client that may not be read for some time."""

    @property
    def is_reading_paused(self) -> bool:
        """Returns whether the connection is not read, so that its end would not be noticed."""

    @property
    def client_connected(self) -> bool:
        """Returns whether the client has not closed its side of the connection."""


ConnectionT = TypeVar("ConnectionT", bound=WatchedConnection)


class CloseWatch(Generic[ConnectionT]):
    """Checks the connections of a frontend that are not read, all with one timer."""

    def __init__(self, deadlines: Deadlines, end: Callable[[ConnectionT], None]) -> None:
        """Creates a watch without connections; ``end`` is called with a connection whose client has closed it."""
        self._deadlines = deadlines
        self._end = end
        self._paused: dict[ConnectionT, None] = {}  # some may be read again by now

    def add(self, connection: ConnectionT) -> None:
        """Watches a connection until it is read again."""
        if not self._paused:
            self._deadlines.call_after(CLOSE_CHECK_INTERVAL_MS, self._check)
        self._paused[connection] = None

    def remove(self, connection: ConnectionT) -> None:
        """Stops watching a connection, which has ended."""
        self._paused.pop(connection, None)

    def _check(self) -> None:
        """Ends the connections whose clients have closed them, and checks the others again later."""
        for connection in list(self._paused):
            if not connection.is_reading_paused:
                self.remove(connection)
            elif not connection.client_connected:
                self.remove(connection)
                self._end(connection)
        if self._paused:
            self._deadlines.call_after(CLOSE_CHECK_INTERVAL_MS, self._check)
