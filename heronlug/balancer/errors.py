"""Errors of the balancer."""


class BalancerError(Exception):
    """Base of all errors of this package."""


class SettingsError(BalancerError, ValueError):
    """A setting has a value that cannot be used."""

    def __init__(self, key: str, value: object) -> None:
        super().__init__(f"{key}: {value!r} is out of range")
        self.key, self.value = key, value


class SnapshotError(BalancerError, ValueError):
    """A snapshot of another process makes no sense; nothing of it was taken up."""


class ZoneOrderError(BalancerError, ValueError):
    """An operator's order for a zone that cannot be carried out; nothing has changed."""
