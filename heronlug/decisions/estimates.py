"""Small running figures: budgets, delays and shares, each fed by the caller's own clock."""


class TokenBucket:
    """A token bucket, filled at a rate along any clock that the caller counts."""

    __slots__ = ("_at", "_burst", "_level", "_rate")

    def __init__(self, burst: float, rate: float) -> None:
        self._burst = self._level = burst
        self._rate = rate
        self._at = 0.0

    def has(self, at: float) -> bool:
        """Whether a token is there at that time."""
        self._level = min(self._burst, self._level + (at - self._at) * self._rate)
        self._at = at
        return self._level >= 1

    @property
    def level(self) -> float:
        """The tokens there were when it was last asked."""
        return self._level

    def refill(self, level: float, at: float) -> None:
        """So many tokens at that time."""
        self._level, self._at = min(self._burst, level), at

    def take(self, at: float) -> bool:
        """Take a token; False if there is none."""
        taken = self.has(at)
        self._level -= taken
        return taken


class Lag:
    """How long the word of a start takes, where nothing holds it up: as RFC 6298 reckons round trips.

    What has to wait in a queue takes longer than the way and a handshake; how long those take is not told.
    """

    __slots__ = ("_deviation", "_mean")

    def __init__(self) -> None:
        self._mean = self._deviation = -1.0

    def heard(self, took: float) -> None:
        """So long it took."""
        if self._mean < 0:
            self._mean, self._deviation = took, took / 2
        else:
            self._deviation += (abs(took - self._mean) - self._deviation) / 4
            self._mean += (took - self._mean) / 8

    def usual(self, most: float) -> float:
        """It rarely takes longer; ``most`` while nothing is known, and at most."""
        return most if self._mean < 0 else min(most, self._mean + 4 * self._deviation)


class Ledger:
    """Value asked for and won in each class, remembered over about a thousand jobs."""

    __slots__ = ("_asked", "_won")

    KEEP = 1 - 1 / 1024

    def __init__(self, classes: int) -> None:
        self._asked = [0.0] * classes
        self._won = [0.0] * classes

    def ask(self, cls: int, value: float) -> None:
        """A job of that value came."""
        self._asked = [self.KEEP * asked for asked in self._asked]
        self._won = [self.KEEP * won for won in self._won]
        self._asked[cls] += value

    def win(self, cls: int, value: float) -> None:
        """So much of what was asked for was answered."""
        self._won[cls] += value

    def part(self, cls: int) -> float:
        """The part of a class in the value asked for, above 0; 1 while its jobs are worth nothing."""
        return self._asked[cls] / (sum(self._asked) or 1.0) or 1.0

    def worst(self) -> int:
        """The class with the least won for what it asked."""
        shares = [won / asked if asked else 1.0 for won, asked in zip(self._won, self._asked, strict=True)]
        return shares.index(min(shares))
