"""Defines the errors that the balancer raises."""


class BalancerError(Exception):
    """Base class of the errors of this package."""


class SettingsError(BalancerError, ValueError):
    """A setting has a value outside its accepted range.

    Attributes:
        key: the name of the setting.
        value: the value that is out of range.
        accepted: the accepted range, as it appears in the message.
    """

    def __init__(self, key: str, value: object, accepted: str) -> None:
        super().__init__(f"{key}: {value!r} is out of range, expected {accepted}")
        self.key, self.value, self.accepted = key, value, accepted


class SnapshotError(BalancerError, ValueError):
    """A snapshot of another process is malformed; no part of the snapshot was restored."""


class ZoneOrderError(BalancerError, ValueError):
    """An operator's order for a zone cannot be carried out; the zone is unchanged."""
