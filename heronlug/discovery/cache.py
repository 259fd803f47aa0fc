"""A list of hosts kept over a restart: what is written, and what it is worth when it is read again.

At a start it is what ``known`` is on the platform: perhaps old, good enough to serve by until the register answers, and
its version lets the first call ask for changes alone. One that cannot be trusted is no list at all, and is said to be
so: a file that is torn, of another register, too old or from the future.
"""

from hashlib import blake2b
from typing import Any, NamedTuple

import orjson

FORM = 1
MOST = 16 * 1024 * 1024  # bytes that are read
AHEAD = 60_000.0  # ms that a clock may have gone back since it was written
GAP = 5_000.0  # ms between two writings, at least


class CachedList(NamedTuple):
    """What a file holds."""

    at: float  # Unix ms of the writing
    table: dict[str, Any]  # the list in the register's own form, whole


def write(register: str, at: float, table: dict[str, Any]) -> bytes:
    """The bytes of a file."""
    body = orjson.dumps({"form": FORM, "register": register, "at": at, "list": table}, option=orjson.OPT_SORT_KEYS)
    return blake2b(body, digest_size=16).hexdigest().encode() + b"\n" + body


def read(data: bytes, register: str, now: float, longest: float) -> CachedList:
    """What stands in a file, if it may be trusted; raises ``ValueError`` that says why not.

    ``longest`` in milliseconds is how old it may be.
    """
    if len(data) > MOST:
        raise ValueError(f"it holds more than {MOST} bytes")
    head, _, body = data.partition(b"\n")
    if blake2b(body, digest_size=16).hexdigest().encode() != head:
        raise ValueError("it is torn: its checksum is another")
    found = orjson.loads(body)
    if not isinstance(found, dict) or found.get("form") != FORM:
        raise ValueError("it is of another form")
    if found.get("register") != register:
        raise ValueError(f"it is of another register, {found.get('register')}")
    at = found.get("at")
    if isinstance(at, bool) or not isinstance(at, int | float) or not isinstance(found.get("list"), dict):
        raise ValueError("it has no time or no list")
    if at > now + AHEAD:
        raise ValueError(f"it is from the future: written {(at - now) / 1000:.0f} s after now")
    if now - at > longest:
        raise ValueError(f"it is too old: written {(now - at) / 1000:.0f} s ago")
    return CachedList(float(at), found["list"])


class CacheSchedule:
    """When to write: soon after a change, and rarely."""

    def __init__(self, gap: float = GAP) -> None:
        self._gap = gap
        self._next = 0.0
        self._changed = False
        self.busy = False  # one is being written

    def changed(self, now: float) -> float | None:
        """The list has changed; when to write it, or None where that is planned already."""
        planned, self._changed = self._changed, True
        return None if planned or self.busy else max(now, self._next)

    def begin(self, now: float) -> bool:
        """Whether to write now; what changes from here on has to be written again."""
        if not self._changed or self.busy:
            return False
        self._changed, self.busy, self._next = False, True, now + self._gap
        return True

    def done(self, now: float) -> float | None:
        """It is written, or could not be; when to write again, if it has changed meanwhile."""
        self.busy = False
        return max(now, self._next) if self._changed else None
