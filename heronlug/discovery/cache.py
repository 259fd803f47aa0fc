"""Defines the format of a cached endpoint list and the schedule by which the cache is written.

At the start of a process the cached list serves the same purpose as ``known``, the endpoint list in the platform's
configuration: the list may be old, but can be used until service discovery answers, and its version lets the first poll
request changes only. A cache that is damaged, too old, dated in the future or from another service discovery is
rejected with the reason.
"""

from hashlib import blake2b
from typing import Any, NamedTuple

import orjson

from heronlug.discovery.errors import DiscoveryError

FORMAT_VERSION = 1
"""Version of the cache format; a cache of any other version is rejected."""

MAX_CACHE_BYTES = 16 * 1024 * 1024
"""Size limit of a cache; a larger one is rejected."""

MAX_CLOCK_STEP_MS = 60_000.0
"""Largest tolerated backward step of the clock since the list was written."""

WRITE_INTERVAL_MS = 5_000.0
"""Minimum time between the starts of two writes."""

CHECKSUM_BYTES = 16
"""Length of the checksum before hexadecimal encoding."""


class CacheError(DiscoveryError, ValueError):
    """Raised if a cached list cannot be used; the message gives the reason."""


class CachedList(NamedTuple):
    """The endpoint list read from a cache.

    Attributes:
        written_at: Time at which the cache was written, in Unix time in ms.
        table: The complete list in the JSON form of service discovery.
    """

    written_at: float
    table: dict[str, Any]


def encode_cache(address: str, written_at: float, table: dict[str, Any]) -> bytes:
    """Returns the bytes of a cache.

    Args:
        address: Host and port of the service discovery that provided the list.
        written_at: Time of the write, in Unix time in ms.
        table: The complete list in the JSON form of service discovery.
    """
    content = {"form": FORMAT_VERSION, "register": address, "at": written_at, "list": table}
    body = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return _checksum(body) + b"\n" + body


def decode_cache(data: bytes, address: str, now: float, max_age: float) -> CachedList:
    """Returns the list that a cache contains.

    Args:
        data: The bytes of the cache.
        address: Host and port of the service discovery that must have provided the list.
        now: Current Unix time in ms.
        max_age: Age in ms up to which the list may be used.

    Raises:
        CacheError: The cache is damaged, too large, too old, dated in the future, of another format version or from
            another service discovery, or its content is not JSON.
    """
    if len(data) > MAX_CACHE_BYTES:
        msg = f"the cache is larger than {MAX_CACHE_BYTES} bytes"
        raise CacheError(msg)
    checksum, _, body = data.partition(b"\n")
    if _checksum(body) != checksum:
        msg = "the cache is damaged: its checksum does not match"
        raise CacheError(msg)
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        msg = f"the cache has no valid JSON: {error}"
        raise CacheError(msg) from error
    if not isinstance(content, dict) or content.get("form") != FORMAT_VERSION:
        msg = f"the cache does not have format version {FORMAT_VERSION}"
        raise CacheError(msg)
    if content.get("register") != address:
        msg = f"the list is from another service discovery, {content.get('register')}"
        raise CacheError(msg)
    written_at = content.get("at")
    table = content.get("list")
    if isinstance(written_at, bool) or not isinstance(written_at, int | float) or not isinstance(table, dict):
        msg = "the cache lacks a valid write time or a valid list"
        raise CacheError(msg)
    if written_at > now + MAX_CLOCK_STEP_MS:
        msg = f"the cache is dated in the future: written {(written_at - now) / 1000:.0f} s after now"
        raise CacheError(msg)
    if now - written_at > max_age:
        msg = f"the cache is too old: written {(now - written_at) / 1000:.0f} s ago"
        raise CacheError(msg)
    return CachedList(float(written_at), table)


class WriteSchedule:
    """Schedules cache writes: soon after a change, but at least one interval apart.

    Attributes:
        writing: Whether a write is in progress.
    """

    def __init__(self, interval: float = WRITE_INTERVAL_MS) -> None:
        """Creates a schedule; ``interval`` is the minimum time between the starts of two writes, in ms."""
        self.writing = False
        self._interval = interval
        self._next_write_at = 0.0
        self._changed = False

    def on_change(self, now: float) -> float | None:
        """Records a change of the list and returns the time of the write; None if one is scheduled or in progress."""
        is_planned = self._changed
        self._changed = True
        return None if is_planned or self.writing else max(now, self._next_write_at)

    def begin(self, now: float) -> bool:
        """Returns whether to write now, and marks the write as started; later changes need another write."""
        if not self._changed or self.writing:
            return False
        self._changed = False
        self.writing = True
        self._next_write_at = now + self._interval
        return True

    def end(self, now: float) -> float | None:
        """Records the end of a write and returns the time of the next write; None if nothing has changed since."""
        self.writing = False
        return max(now, self._next_write_at) if self._changed else None


def _checksum(body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_BYTES).hexdigest().encode()
