"""Errors of the configuration."""


class ConfigurationError(Exception):
    """Base of all errors of this package."""


class KeyFileError(ConfigurationError, ValueError):
    """A file whose key cannot be used."""

    def __init__(self, path: str, reason: str) -> None:
        """State what is wrong with the key of the file at ``path``."""
        super().__init__(f"{path}: {reason}")
        self.path = path
