"""Limits of each class: how often, how long, after which wait, and whether with a second copy.

``model`` is what runs everywhere; ``load``, ``schema`` and ``rules`` read and check an operators' file and are imported
only where there is one to check.
"""

from heronlug.config.limits.model import KEYS, GivenLimits, resolve

__all__ = ["KEYS", "GivenLimits", "resolve"]
