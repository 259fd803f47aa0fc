"""The base of this package's errors."""


class DiscoveryError(Exception):
    """Something is wrong with service discovery or with a list of servers."""
