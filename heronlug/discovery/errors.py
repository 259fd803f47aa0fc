"""Defines the base class of the errors of service discovery."""


class DiscoveryError(Exception):
    """Base class of errors about service discovery, endpoint lists and their cache."""
