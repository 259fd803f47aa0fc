"""Member updates that are sent along with other datagrams, each a limited number of times (SWIM, section 4.1)."""

from math import ceil, log
from typing import NamedTuple

from heronlug.cluster.codec import encode_part
from heronlug.cluster.model import MemberUpdate


class _QueuedUpdate(NamedTuple):
    transmissions: int
    update: MemberUpdate


class GossipQueue:
    """The updates to send next: those that were sent least come first."""

    def __init__(self, retransmit_multiplier: int) -> None:
        """Create an empty queue; an update is sent ``retransmit_multiplier`` times the logarithm of the members."""
        self._retransmit_multiplier = retransmit_multiplier
        self._queued: dict[str, _QueuedUpdate] = {}

    def put(self, update: MemberUpdate) -> None:
        """Queue an update in place of an earlier one of the same member."""
        self._queued[update.name] = _QueuedUpdate(0, update)

    def take(self, size_limit: int, member_count: int) -> list[MemberUpdate]:
        """Updates of at most ``size_limit`` bytes together; counts them as sent to one of ``member_count`` others."""
        limit = self._retransmit_multiplier * ceil(log(member_count + 2, 2))
        taken: list[MemberUpdate] = []
        for name in sorted(self._queued, key=lambda name: self._queued[name].transmissions):
            transmissions, update = self._queued[name]
            size = len(encode_part(update))
            if size > size_limit:
                continue
            size_limit -= size
            taken.append(update)
            if transmissions + 1 >= limit:
                del self._queued[name]
            else:
                self._queued[name] = _QueuedUpdate(transmissions + 1, update)
        return taken
