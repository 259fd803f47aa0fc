"""Errors in the messages of a hot restart."""


class HotRestartError(ValueError):
    """A message of the other process cannot be used."""


class MalformedMessageError(HotRestartError):
    """The received bytes or fields are not a valid hot-restart message."""


class UnexpectedMessageError(HotRestartError):
    """The other process sent a message that is not allowed in the current state."""


class IncompatiblePeerError(HotRestartError):
    """The other process belongs to another dispatcher or uses another version of the messages."""


class HandoverError(HotRestartError):
    """A connection or request of the predecessor cannot be continued in this process."""
