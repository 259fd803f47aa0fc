"""Which member should own a lease: rendezvous hashing (Thaler, Ravishankar 1998).

When a member fails, only the leases that it owned move to another one.
"""

from collections.abc import Iterable
from functools import lru_cache
from heapq import nlargest

from xxhash import xxh32_intdigest, xxh64_intdigest

WEIGHT_CACHE_SIZE = 65_536
"""Pairs of a lease and a member whose weight is remembered."""


def tag(name: str) -> int:
    """A name in 32 bits; the same at every member."""
    return int(xxh32_intdigest(name.encode()))


@lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def rendezvous_weight(lease: str, member: str) -> tuple[int, str]:
    """The weight of a member for a lease; the highest should own it.  The name breaks ties."""
    return int(xxh64_intdigest(f"{lease}\0{member}".encode())), member


def preferred_owner(lease: str, members: Iterable[str]) -> str:
    """The member that should own a lease; empty if there are no members."""
    return max(members, key=lambda member: rendezvous_weight(lease, member), default="")


def top_ranked(lease: str, members: dict[int, str], limit: int) -> dict[int, str]:
    """The ``limit`` members with the highest weights for a lease, names by tag; all of them if they are no more."""
    if len(members) <= limit:
        return members
    tags = {name: member_tag for member_tag, name in members.items()}
    return {tags[name]: name for name in nlargest(limit, tags, key=lambda member: rendezvous_weight(lease, member))}
