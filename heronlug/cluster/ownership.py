"""Who should own what: rendezvous hashing (Thaler, Ravishankar 1998); a death moves only the dead one's duties."""

from collections.abc import Iterable

from xxhash import xxh32_intdigest, xxh64_intdigest


def tag(name: str) -> int:
    """A name in 32 bits; the same at every member."""
    return int(xxh32_intdigest(name.encode()))


def ranked(duty: str, members: Iterable[str]) -> list[str]:
    """The members in the order in which they should own a duty, the first first."""
    return sorted(members, key=lambda member: (xxh64_intdigest(f"{duty}\0{member}".encode()), member), reverse=True)
