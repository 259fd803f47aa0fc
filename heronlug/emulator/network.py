"""Emulates the network between zones: delays, lost datagrams and partitions."""

from collections.abc import Callable
from typing import Any, NamedTuple

from scipy.stats import lognorm

from heronlug.emulator.draws import Draws, stream
from heronlug.emulator.scenario import Network
from heronlug.emulator.servers import EmulatedServer
from heronlug.emulator.timeline import Timeline


def lognormal_draws(sigma: float, seed: int, *names: str, median: float = 1.0) -> Draws:
    """Returns lognormal draws with a given median, or constant draws of the median if sigma or the median is 0.

    Args:
        sigma: standard deviation of the logarithm.
        seed: seed of the run.
        names: names of the random stream.
        median: median of the draws.
    """
    distribution = lognorm(sigma, scale=median) if sigma and median else median
    return Draws(distribution, stream(seed, "ways", *names))


class DeferredCall(NamedTuple):
    """Call that is made when a partition heals."""

    callback: Callable[..., object]
    args: tuple[Any, ...]


class EmulatedNetwork:
    """Network between dispatchers and servers, and among dispatchers."""

    def __init__(self, timeline: Timeline, table: Network, seed: int) -> None:
        self._timeline, self._table, self._seed = timeline, table, seed
        self._server_factors: dict[str, Draws] = {}
        self._datagram_factors = lognormal_draws(table.sigma, seed, "datagrams")
        self._losses = stream(seed, "losses")
        self._partitioned_zones: set[int] = set()
        self._deferred_calls: list[DeferredCall] = []

    def add_server(self, name: str) -> None:
        """Creates the random stream for the delays of a server."""
        self._server_factors[name] = lognormal_draws(self._table.sigma, self._seed, name)

    def median_one_way_ms(self, zone: int, other: int) -> float:
        """Returns the median one-way delay between two zones, in ms."""
        return float(self._table.inside_ms if zone == other else self._table.across_ms)

    def one_way_ms(self, zone: int, server: EmulatedServer) -> float:
        """Draws the one-way delay between a zone and a server, in ms."""
        return self.median_one_way_ms(zone, server.zone) * self._server_factors[server.name].next()

    def send_datagram(self, zone: int, other: int, deliver: Callable[..., object], *args: Any) -> None:
        """Sends a datagram between zones; the datagram may be lost or overtake another datagram."""
        loss = self._table.loss
        if self.is_partitioned(zone, other) or (loss and self._losses.random() < loss):
            return
        delay = self.median_one_way_ms(zone, other) * self._datagram_factors.next()
        self._timeline.schedule_after(delay, deliver, *args)

    # -- partitions

    def is_partitioned(self, zone: int, other: int) -> bool:
        """Returns whether a partition separates two zones."""
        partitioned = self._partitioned_zones
        return zone != other and bool(partitioned) and (zone in partitioned or other in partitioned)

    def partition(self, zone: int) -> None:
        """Cuts a zone off from all other zones."""
        self._partitioned_zones.add(zone)

    def defer_until_heal(self, callback: Callable[..., object], *args: Any) -> None:
        """Defers a call until a partition heals."""
        self._deferred_calls.append(DeferredCall(callback, args))

    def heal(self, zone: int) -> None:
        """Reconnects a zone and makes the deferred calls."""
        self._partitioned_zones.discard(zone)
        deferred, self._deferred_calls = self._deferred_calls, []
        for call in deferred:
            call.callback(*call.args)
