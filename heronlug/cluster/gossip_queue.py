"""Queues the member updates that are sent along with other datagrams, each a limited number of times (SWIM, 4.1)."""

from math import ceil, log
from typing import NamedTuple

from heronlug.cluster.codec import encode_part
from heronlug.cluster.model import MemberUpdate


class _QueuedUpdate(NamedTuple):
    transmissions: int
    update: MemberUpdate


class GossipQueue:
    """A queue of member updates, in which the updates sent the fewest times come first."""

    def __init__(self, retransmit_multiplier: int) -> None:
        """Creates an empty queue.

        Args:
            retransmit_multiplier: The number of times that an update is sent, per unit of the binary logarithm of the
                number of members.
        """
        self._retransmit_multiplier = retransmit_multiplier
        self._queued: dict[str, _QueuedUpdate] = {}

    def put(self, update: MemberUpdate) -> None:
        """Adds an update; an earlier update of the same member is replaced."""
        self._queued[update.name] = _QueuedUpdate(0, update)

    def take(self, size_limit: int, member_count: int) -> list[MemberUpdate]:
        """Returns the updates to send in the next datagram and counts each as sent once.

        Args:
            size_limit: The largest total size of the updates, in bytes.
            member_count: The number of other members, from which the number of transmissions follows.
        """
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
