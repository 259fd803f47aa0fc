"""Learns the slots in use and the delay of start reports, where servers report the start of an attempt."""

from collections import defaultdict

from heronlug.balancer.derived_settings import DerivedSettings
from heronlug.balancer.estimates import StartDelay
from heronlug.balancer.model import Attempt, Server
from heronlug.balancer.slow_start import CapacityShares


class AttemptStarts:
    """Records starts of attempts and overdue starts.

    Attributes:
        delays: by zone, the estimated delay of the report of a start at a server with a free slot.
    """

    __slots__ = ("_learns_from_starts", "_shares", "delays")

    def __init__(self, derived: DerivedSettings, shares: CapacityShares) -> None:
        self._learns_from_starts = derived.learns_from_starts
        self._shares = shares
        self.delays: defaultdict[int, StartDelay] = defaultdict(StartDelay)

    def record_start(self, attempt: Attempt, now: float) -> None:
        """Records that an attempt has started."""
        server, delay = attempt.server, now - attempt.sent_at
        attempt.unstarted, attempt.started_at = False, now
        server.load.unstarted_attempts -= 1
        self.delays[server.zone].record(delay)
        self._shares.record_start(server, delay)
        if self._learns_from_starts:
            server.capacity.record_start(_busy_slots(server))

    def record_wait(self, attempt: Attempt) -> None:
        """Records that the start of an attempt is overdue: not reported within the usual delay."""
        if self._learns_from_starts:
            attempt.server.capacity.record_wait(_busy_slots(attempt.server))


def _busy_slots(server: Server) -> float:
    """Returns the known number of slots in use at a server."""
    load = server.load
    return load.own_slots - load.unstarted_attempts + load.peer_slots
