"""Counts the memory that others can make a process hold, by holder, against one limit."""

from collections import Counter
from collections.abc import Callable
from enum import Enum

from heronlug.memory.holders import Holder

SHORT_SHARE = 0.6
"""Share of the limit from which memory is short."""

FULL_SHARE = 0.9
"""Share of the limit from which memory is full."""

CALM_MARGIN_SHARE = 0.1
"""Share of the limit by which the memory in use must fall below a threshold before the pressure counts as lower."""


UNLIMITED = 1 << 62
"""Limit of an account that is never reached, in bytes."""


class Pressure(Enum):
    """How much of the limit is in use; the values appear in logs."""

    CALM = "calm"
    SHORT = "short"
    FULL = "full"


LEVELS = tuple(Pressure)
"""The pressures in rising order."""

THRESHOLD_SHARES = (0.0, SHORT_SHARE, FULL_SHARE)
"""Share of the limit from which each pressure applies, in their order."""


class MemoryShortError(Exception):
    """Raised if memory cannot be reserved because the limit would be exceeded.

    Attributes:
        holder: What the memory was for.
    """

    def __init__(self, holder: Holder, size: int) -> None:
        super().__init__(f"no memory for {size} more bytes of {holder.value}")
        self.holder = holder


class MemoryAccount:
    """The memory of one process that others can cause.

    Memory is reserved before it is held, and released once. The sizes are estimates of what is held in the process,
    which is more than what comes on the wire.

    Attributes:
        by_holder: Reserved bytes by holder.
        refusals: Number of failed reservations by holder.
        used: Reserved bytes in total; exceeds the limit after :meth:`hold` or a lower limit.
        pressure: How much of the limit is in use.
        relieve: Called with the missing bytes, with who needs memory and how much, to release what others hold.
        on_pressure: Called with the pressure before, after it has changed.
    """

    __slots__ = (
        "_falls_below",
        "_limit",
        "_rises_at",
        "by_holder",
        "on_pressure",
        "pressure",
        "refusals",
        "relieve",
        "used",
    )

    def __init__(self, limit: int = UNLIMITED) -> None:
        """Creates an empty account with a limit in bytes."""
        self.by_holder: dict[Holder, int] = dict.fromkeys(Holder, 0)
        self.refusals: Counter[Holder] = Counter()
        self.used = 0
        self.pressure = Pressure.CALM
        self.relieve: Callable[[int, object, int], None] = lambda missing, requester, size: None
        self.on_pressure: Callable[[Pressure], None] = lambda before: None
        self._limit = limit
        self._set_thresholds()

    @property
    def limit(self) -> int:
        """Returns the limit in bytes."""
        return self._limit

    @limit.setter
    def limit(self, limit: int) -> None:
        """Changes the limit; what is reserved stays reserved."""
        self._limit = limit
        self._set_thresholds()
        self._update_pressure()

    def has_room(self, size: int) -> bool:
        """Returns whether so many bytes can be held without exceeding the limit."""
        return self.used + size <= self._limit

    def reserve(self, holder: Holder, size: int, requester: object = None, share: float = 1.0) -> None:
        """Reserves memory before it is held.

        Args:
            holder: What the memory is for.
            size: Number of bytes.
            requester: Who needs the memory, for :attr:`relieve`.
            share: Share of the limit that may be in use afterwards.

        Raises:
            MemoryShortError: The limit would be exceeded; nothing is reserved.
        """
        missing = self.used + size - int(self._limit * share)
        if missing > 0:
            self.relieve(missing, requester, size)
            if self.used + size > self._limit * share:
                self.refusals[holder] += 1
                raise MemoryShortError(holder, size)
        self.hold(holder, size)

    def hold(self, holder: Holder, size: int) -> None:
        """Counts memory that is held already, or that must not be refused."""
        self.by_holder[holder] += size
        self.used += size
        if not self._falls_below <= self.used < self._rises_at:
            self._update_pressure()

    def release(self, holder: Holder, size: int) -> None:
        """Releases reserved memory."""
        self.hold(holder, -size)

    def _set_thresholds(self) -> None:
        """Sets the bounds between which the pressure stays as it is."""
        level = LEVELS.index(self.pressure)
        shares = THRESHOLD_SHARES
        self._rises_at = shares[level + 1] * self._limit if level + 1 < len(shares) else float("inf")
        self._falls_below = (shares[level] - CALM_MARGIN_SHARE) * self._limit if level else float("-inf")

    def _update_pressure(self) -> None:
        before = self.pressure
        while self.used >= self._rises_at:
            self.pressure = LEVELS[LEVELS.index(self.pressure) + 1]
            self._set_thresholds()
        while self.used < self._falls_below:
            self.pressure = LEVELS[LEVELS.index(self.pressure) - 1]
            self._set_thresholds()
        if self.pressure is not before:
            self.on_pressure(before)


class Reservation:
    """Memory that one owner has reserved.

    Attributes:
        holder: What the memory is for.
        size: Reserved bytes.
    """

    __slots__ = ("_account", "holder", "size")

    def __init__(self, account: MemoryAccount, holder: Holder) -> None:
        """Creates an empty reservation."""
        self._account = account
        self.holder = holder
        self.size = 0

    def grow(self, size: int, requester: object = None, share: float = 1.0) -> None:
        """Reserves more bytes.

        Raises:
            MemoryShortError: The limit would be exceeded; the reservation stays as it was.
        """
        self._account.reserve(self.holder, size, requester, share)
        self.size += size

    def hold(self, size: int) -> None:
        """Sets the size to bytes that are held already, or that must not be refused."""
        self._account.hold(self.holder, size - self.size)
        self.size = size

    def release(self) -> None:
        """Releases all bytes; has no effect if none are reserved."""
        if self.size:
            self._account.release(self.holder, self.size)
            self.size = 0
