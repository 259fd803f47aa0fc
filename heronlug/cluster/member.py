"""One member of the cluster as another member, or the process itself, knows it."""

from dataclasses import dataclass, field
from math import inf

from heronlug.cluster.model import Health, MemberUpdate
from heronlug.cluster.ownership import tag


@dataclass(slots=True)
class LocalMember:
    """This process as a member.

    Attributes:
        name: The name, unique among the members.
        address: Where other members reach this one.
        incarnation: Unix milliseconds of the start, and one more with each refutation.
        leaving: Whether this member has announced that it leaves.
    """

    name: str
    address: str
    incarnation: int
    leaving: bool = False

    @property
    def tag(self) -> int:
        """The name in 32 bits."""
        return tag(self.name)

    @property
    def update(self) -> MemberUpdate:
        """What this member says of itself."""
        health = Health.LEFT if self.leaving else Health.ALIVE
        return MemberUpdate(self.name, self.address, self.incarnation, health)


@dataclass(slots=True, eq=False)
class Member:
    """Another member.  All times are milliseconds of this process's clock.

    Attributes:
        name: The name, unique among the members.
        address: Where it is reached.
        incarnation: The highest incarnation that is known.
        joined_at: When it was last found alive after it was not, or as a new process.
        changed_at: When its health changed last.
        health: What this member holds it to be.
        last_heard: When a datagram of it came last.
        suspected_by: Tags of the members that suspect it independently.
        tag: The name in 32 bits.
    """

    name: str
    address: str
    incarnation: int
    joined_at: float
    changed_at: float
    health: Health = Health.ALIVE
    last_heard: float = -inf
    suspected_by: set[int] = field(default_factory=set)
    tag: int = field(init=False)

    def __post_init__(self) -> None:
        self.tag = tag(self.name)

    @property
    def active(self) -> bool:
        """Whether it takes part: it is alive, or suspected and not yet dead."""
        return self.health <= Health.SUSPECT

    @property
    def update(self) -> MemberUpdate:
        """What this process tells others of it."""
        return MemberUpdate(self.name, self.address, self.incarnation, self.health)
