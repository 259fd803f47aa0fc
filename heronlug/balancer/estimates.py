"""Small running figures: token buckets, delays and values by class, each on a clock that its owner counts."""


class TokenBucket:
    """A token bucket that fills at an even rate, up to its burst."""

    __slots__ = ("_as_of", "_burst", "_level", "_rate")

    def __init__(self, burst: float, rate: float) -> None:
        self._burst = self._level = burst
        self._rate = rate
        self._as_of = 0.0

    @property
    def level(self) -> float:
        """The tokens that there were at the last call."""
        return self._level

    def has(self, at: float) -> bool:
        """Whether there is a token at that time."""
        self._level = min(self._burst, self._level + (at - self._as_of) * self._rate)
        self._as_of = at
        return self._level >= 1

    def take(self, at: float) -> bool:
        """Take a token; returns False if there is none."""
        taken = self.has(at)
        self._level -= taken
        return taken

    def set_level(self, level: float, at: float) -> None:
        """Set the tokens that there are at that time."""
        self._level, self._as_of = min(self._burst, level), at


class StartDelay:
    """How long the report of a start takes where nothing holds it up, estimated as RFC 6298 does round trips.

    What has to wait in a queue takes longer than the network and a handshake; how long those take is not known.
    """

    __slots__ = ("_deviation", "_mean")

    def __init__(self) -> None:
        self._mean = self._deviation = -1.0  # nothing is known

    def record(self, delay: float) -> None:
        """Record that a report took so long, in ms."""
        if self._mean < 0:
            self._mean, self._deviation = delay, delay / 2
        else:
            self._deviation += (abs(delay - self._mean) - self._deviation) / 4
            self._mean += (delay - self._mean) / 8

    def upper_bound(self, limit: float) -> float:
        """A time that reports rarely exceed, in ms; ``most`` at most, and while nothing is known."""
        return limit if self._mean < 0 else min(limit, self._mean + 4 * self._deviation)


class ClassValues:
    """Value requested and served in each class, remembered over about a thousand requests."""

    __slots__ = ("_requested", "_served")

    REMAINING = 1 - 1 / 1024  # of every value, after each request

    def __init__(self, classes: int) -> None:
        self._requested = [0.0] * classes
        self._served = [0.0] * classes

    def record_requested(self, class_index: int, value: float) -> None:
        """Record that a request of that value came."""
        self._requested = [self.REMAINING * requested for requested in self._requested]
        self._served = [self.REMAINING * served for served in self._served]
        self._requested[class_index] += value

    def record_served(self, class_index: int, value: float) -> None:
        """Record that so much of the value was served."""
        self._served[class_index] += value

    def share(self, class_index: int) -> float:
        """The share of a class in the value requested, above 0; 1 while its requests have no value."""
        return self._requested[class_index] / (sum(self._requested) or 1.0) or 1.0

    def worst_class(self) -> int:
        """The class of which the smallest part has been served."""
        pairs = zip(self._served, self._requested, strict=True)
        served_shares = [served / requested if requested else 1.0 for served, requested in pairs]
        return served_shares.index(min(served_shares))
