"""Limits of each request class: number of attempts, timeouts, backoff and hedging.

Every dispatcher imports ``model``.  ``load``, ``schema`` and ``rules`` read and check an operators' file and are
imported only if there is a file to check.
"""

from heronlug.config.limits.model import KEYS, GivenLimits, resolve

__all__ = ["KEYS", "GivenLimits", "resolve"]
