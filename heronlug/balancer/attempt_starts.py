"""What the start of an attempt teaches, where servers report starts: slots in use, and how long a report takes."""

from collections import defaultdict

from heronlug.balancer.derived_settings import DerivedSettings
from heronlug.balancer.estimates import StartDelay
from heronlug.balancer.model import Attempt, Server
from heronlug.balancer.slow_start import CapacityShares


class AttemptStarts:
    """Records starts, and attempts that wait for one.

    Attributes:
        delays: by zone, how long the report of a start takes where nothing holds it up.
    """

    __slots__ = ("_learns_from_starts", "_shares", "delays")

    def __init__(self, derived: DerivedSettings, shares: CapacityShares) -> None:
        self._learns_from_starts = derived.learns_from_starts
        self._shares = shares
        self.delays: defaultdict[int, StartDelay] = defaultdict(StartDelay)

    def record_start(self, attempt: Attempt, now: float) -> None:
        """Record that an attempt has started."""
        server, delay = attempt.server, now - attempt.sent_at
        attempt.unstarted, attempt.started_at = False, now
        server.load.unstarted_attempts -= 1
        self.delays[server.zone].record(delay)
        self._shares.record_start(server, delay)
        if self._learns_from_starts:
            server.capacity.record_start(_busy_slots(server))

    def record_wait(self, attempt: Attempt) -> None:
        """Record that an attempt has not started in the time in which a start is usually reported."""
        if self._learns_from_starts:
            attempt.server.capacity.record_wait(_busy_slots(attempt.server))


def _busy_slots(server: Server) -> float:
    """Slots in use, as far as they are known."""
    load = server.load
    return load.own_slots - load.unstarted_attempts + load.peer_slots
