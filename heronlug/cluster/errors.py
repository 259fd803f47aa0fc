"""Errors of the cluster."""


class ClusterError(Exception):
    """Base of all errors of this package."""


class MalformedMessageError(ClusterError, ValueError):
    """Bytes of a datagram that are no messages."""

    def __init__(self, offset: int, reason: str) -> None:
        """State what is wrong with the message at an offset of the datagram's body."""
        super().__init__(f"malformed message at byte {offset}: {reason}")
        self.offset = offset


class MalformedNodeError(ClusterError, ValueError):
    """Bytes that are not a node of a replicated table."""


class RowTooLongError(ClusterError, ValueError):
    """A row that does not fit into a node of a replicated table."""

    def __init__(self, size: int, max_size: int) -> None:
        """State the size of the row's key and value together, and what it may be, in bytes."""
        super().__init__(f"a row of {size} bytes: {max_size} at most")
        self.size = size
