"""Errors of a hot restart."""


class HotRestartError(ValueError):
    """What the other process sent cannot be used."""


class MalformedMessageError(HotRestartError):
    """Bytes or fields that are no message of a hot restart."""


class UnexpectedMessageError(HotRestartError):
    """A message that the other process may not send now."""


class IncompatiblePeerError(HotRestartError):
    """A process of another dispatcher, or one that speaks another version."""
