"""Who should own what: rendezvous hashing (Thaler, Ravishankar 1998); a death moves only the dead one's duties."""

from collections.abc import Iterable
from functools import lru_cache
from heapq import nlargest

from xxhash import xxh32_intdigest, xxh64_intdigest


def tag(name: str) -> int:
    """A name in 32 bits; the same at every member."""
    return int(xxh32_intdigest(name.encode()))


@lru_cache(maxsize=65_536)
def rendezvous_weight(duty: str, member: str) -> tuple[int, str]:
    """How much a member should own a duty; the member itself breaks ties."""
    return int(xxh64_intdigest(f"{duty}\0{member}".encode())), member


def preferred_owner(duty: str, members: Iterable[str]) -> str:
    """The member that should own a duty; none is empty."""
    return max(members, key=lambda member: rendezvous_weight(duty, member), default="")


def top_ranked(duty: str, members: dict[int, str], most: int) -> dict[int, str]:
    """So many of the members as come first in a duty's rank, by tag; all of them where there are no more."""
    if len(members) <= most:
        return members
    by_name = {name: number for number, name in members.items()}
    return {by_name[name]: name for name in nlargest(most, by_name, key=lambda member: rendezvous_weight(duty, member))}
