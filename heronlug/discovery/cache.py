"""The format of a cached endpoint list, and when it is written.

At a start the cached list serves as ``known`` does on the platform: it may be old, but it is good enough to use until
service discovery answers, and with its version the first poll can ask for changes only. A cache that is damaged, too
old, from the future or of another service discovery is rejected with the reason.
"""

from hashlib import blake2b
from typing import Any, NamedTuple

import orjson

from heronlug.discovery.errors import DiscoveryError

FORMAT_VERSION = 1
"""The version of the format."""

MAX_CACHE_BYTES = 16 * 1024 * 1024
"""A larger file is rejected."""

MAX_CLOCK_STEP_MS = 60_000.0
"""The clock may have been set back by so much since the list was written."""

WRITE_INTERVAL_MS = 5_000.0
"""The shortest time between two writes."""

CHECKSUM_BYTES = 16


class CacheError(DiscoveryError, ValueError):
    """A cached list cannot be used."""


class CachedList(NamedTuple):
    """What a cache holds.

    Attributes:
        written_at: When it was written, in Unix time in ms.
        table: The complete list in the form of service discovery.
    """

    written_at: float
    table: dict[str, Any]


def encode_cache(address: str, written_at: float, table: dict[str, Any]) -> bytes:
    """The bytes of a cache.

    Args:
        address: Host and port of the service discovery that the list is from.
        written_at: Unix time in ms.
        table: The complete list in the form of service discovery.
    """
    content = {"form": FORMAT_VERSION, "register": address, "at": written_at, "list": table}
    body = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return _checksum(body) + b"\n" + body


def decode_cache(data: bytes, address: str, now: float, max_age: float) -> CachedList:
    """The list of a cache.

    Args:
        data: The bytes of the cache.
        address: Host and port of the service discovery that the list must be from.
        now: Unix time in ms.
        max_age: The age up to which it may be used, in ms.

    Raises:
        CacheError: It cannot be used.
    """
    if len(data) > MAX_CACHE_BYTES:
        msg = f"it holds more than {MAX_CACHE_BYTES} bytes"
        raise CacheError(msg)
    checksum, _, body = data.partition(b"\n")
    if _checksum(body) != checksum:
        msg = "it is torn: its checksum is another"
        raise CacheError(msg)
    content = orjson.loads(body)
    if not isinstance(content, dict) or content.get("form") != FORMAT_VERSION:
        msg = f"it is of another form than {FORMAT_VERSION}"
        raise CacheError(msg)
    if content.get("register") != address:
        msg = f"it is of another register, {content.get('register')}"
        raise CacheError(msg)
    written_at = content.get("at")
    table = content.get("list")
    if isinstance(written_at, bool) or not isinstance(written_at, int | float) or not isinstance(table, dict):
        msg = "it has no time or no list"
        raise CacheError(msg)
    if written_at > now + MAX_CLOCK_STEP_MS:
        msg = f"it is from the future: written {(written_at - now) / 1000:.0f} s after now"
        raise CacheError(msg)
    if now - written_at > max_age:
        msg = f"it is too old: written {(now - written_at) / 1000:.0f} s ago"
        raise CacheError(msg)
    return CachedList(float(written_at), table)


class WriteSchedule:
    """Decides when a cache is written: soon after a change, but rarely.

    Attributes:
        writing: Whether a write is under way.
    """

    def __init__(self, interval: float = WRITE_INTERVAL_MS) -> None:
        """``interval`` is the shortest time between two writes, in ms."""
        self.writing = False
        self._interval = interval
        self._next_write_at = 0.0
        self._changed = False

    def on_change(self, now: float) -> float | None:
        """The list has changed; returns when to write it, or None if that is planned already."""
        is_planned = self._changed
        self._changed = True
        return None if is_planned or self.writing else max(now, self._next_write_at)

    def begin(self, now: float) -> bool:
        """Whether to write now; a change after this call is written by another write."""
        if not self._changed or self.writing:
            return False
        self._changed = False
        self.writing = True
        self._next_write_at = now + self._interval
        return True

    def end(self, now: float) -> float | None:
        """A write has ended; returns when to write again if the list has changed meanwhile."""
        self.writing = False
        return max(now, self._next_write_at) if self._changed else None


def _checksum(body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_BYTES).hexdigest().encode()
