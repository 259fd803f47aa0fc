"""Chooses the preferred owner of a lease by rendezvous hashing (Thaler, Ravishankar 1998).

When a member fails, only the leases of this member move to other members.
"""

from collections.abc import Iterable
from functools import lru_cache
from heapq import nlargest

from xxhash import xxh32_intdigest, xxh64_intdigest

WEIGHT_CACHE_SIZE = 65_536
"""The number of pairs of a lease and a member whose weights are cached."""


def tag(name: str) -> int:
    """Returns the 32-bit hash that identifies a name in datagrams, the same at every member."""
    return int(xxh32_intdigest(name.encode()))


@lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def rendezvous_weight(lease: str, member: str) -> tuple[int, str]:
    """Returns the weight of a member for a lease; the highest weight is preferred, and the name breaks ties."""
    return int(xxh64_intdigest(f"{lease}\0{member}".encode())), member


def preferred_owner(lease: str, members: Iterable[str]) -> str:
    """Returns the name of the member that should own a lease, or an empty string if ``members`` is empty."""
    return max(members, key=lambda member: rendezvous_weight(lease, member), default="")


def top_ranked(lease: str, members: dict[int, str], limit: int) -> dict[int, str]:
    """Returns the ``limit`` members with the highest weights for a lease, or all if fewer; maps tags to names."""
    if len(members) <= limit:
        return members
    tags = {name: member_tag for member_tag, name in members.items()}
    return {tags[name]: name for name in nlargest(limit, tags, key=lambda member: rendezvous_weight(lease, member))}
