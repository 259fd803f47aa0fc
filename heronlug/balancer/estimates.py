"""Maintains running estimates: token buckets, start delays and the value served per request class."""


class TokenBucket:
    """A token bucket that fills at a constant rate up to its burst size.

    The caller defines the clock: ``at`` may be a time or a count of requests, and the rate is in tokens per unit of
    that clock.
    """

    __slots__ = ("_as_of", "_burst", "_level", "_rate")

    def __init__(self, burst: float, rate: float) -> None:
        self._burst = self._level = burst
        self._rate = rate
        self._as_of = 0.0

    @property
    def level(self) -> float:
        """Number of tokens at the last update."""
        return self._level

    def has(self, at: float) -> bool:
        """Returns whether a token is available at that time."""
        self._level = min(self._burst, self._level + (at - self._as_of) * self._rate)
        self._as_of = at
        return self._level >= 1

    def take(self, at: float) -> bool:
        """Takes a token and returns True; returns False if no token is available."""
        taken = self.has(at)
        self._level -= taken
        return taken

    def set_level(self, level: float, at: float) -> None:
        """Sets the number of tokens at that time, limited to the burst size."""
        self._level, self._as_of = min(self._burst, level), at


class StartDelay:
    """Estimated delay of the report of a start at a server with a free slot, smoothed like round trips in RFC 6298.

    The delay of the network and of a handshake is not known in advance; an attempt that waits in a queue takes longer.
    """

    __slots__ = ("_deviation", "_mean")

    def __init__(self) -> None:
        self._mean = self._deviation = -1.0  # no report yet

    def record(self, delay: float) -> None:
        """Updates the estimate with the delay of one report, in ms."""
        if self._mean < 0:
            self._mean, self._deviation = delay, delay / 2
        else:
            self._deviation += (abs(delay - self._mean) - self._deviation) / 4
            self._mean += (delay - self._mean) / 8

    def upper_bound(self, limit: float) -> float:
        """Returns a delay in ms that reports rarely exceed, at most ``limit``; ``limit`` before the first report."""
        return limit if self._mean < 0 else min(limit, self._mean + 4 * self._deviation)


class ClassValues:
    """Value requested and served in each class, averaged over about the last thousand requests."""

    __slots__ = ("_requested", "_served")

    REMAINING = 1 - 1 / 1024  # decay factor of every value per request

    def __init__(self, classes: int) -> None:
        self._requested = [0.0] * classes
        self._served = [0.0] * classes

    def record_requested(self, class_index: int, value: float) -> None:
        """Records the value of an admitted request."""
        self._requested = [self.REMAINING * requested for requested in self._requested]
        self._served = [self.REMAINING * served for served in self._served]
        self._requested[class_index] += value

    def record_served(self, class_index: int, value: float) -> None:
        """Records the value of a served request."""
        self._served[class_index] += value

    def share(self, class_index: int) -> float:
        """Returns the share of a class in the value requested, above 0; 1 while the class has no value requested."""
        return self._requested[class_index] / (sum(self._requested) or 1.0) or 1.0

    def worst_class(self) -> int:
        """Returns the index of the class with the smallest share of its value served."""
        pairs = zip(self._served, self._requested, strict=True)
        served_shares = [served / requested if requested else 1.0 for served, requested in pairs]
        return served_shares.index(min(served_shares))
