"""Defines the errors of the cluster package."""


class ClusterError(Exception):
    """The base class of all errors of this package."""


class MalformedMessageError(ClusterError, ValueError):
    """Raised if the body of a datagram is not a sequence of valid messages."""

    def __init__(self, offset: int, reason: str) -> None:
        """Creates the error.

        Args:
            offset: The byte offset of the malformed message in the datagram's body.
            reason: What is wrong with the message.
        """
        super().__init__(f"malformed message at byte {offset}: {reason}")
        self.offset = offset


class MalformedNodeError(ClusterError, ValueError):
    """Raised if bytes do not form a valid node of a replicated table."""


class RowTooLongError(ClusterError, ValueError):
    """Raised if a row does not fit into a node of a replicated table."""

    def __init__(self, size: int, max_size: int) -> None:
        """Creates the error.

        Args:
            size: The total size of the row's key and value, in bytes.
            max_size: The largest total size that fits, in bytes.
        """
        super().__init__(f"a row has {size} bytes of key and value; a row may have {max_size} at most")
        self.size = size
