"""Defines the base class of configuration errors and the error of a cluster key file."""


class ConfigurationError(Exception):
    """Base class of all configuration errors."""


class KeyFileError(ConfigurationError, ValueError):
    """Raised if the key in a cluster key file cannot be used.

    Attributes:
        path: Path of the key file.
    """

    def __init__(self, path: str, reason: str) -> None:
        """Creates the error of the file at ``path``; ``reason`` says what is wrong with its key."""
        super().__init__(f"{path}: {reason}")
        self.path = path
