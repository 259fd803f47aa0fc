"""Holds the record of one member: of this process itself, or of another member."""

from dataclasses import dataclass, field
from math import inf

from heronlug.cluster.model import Health, MemberUpdate
from heronlug.cluster.ownership import tag


@dataclass(slots=True)
class LocalMember:
    """This process as a member.

    Attributes:
        name: The name of this member, unique among the members.
        address: The address at which other members reach this member.
        incarnation: The start of this process in Unix milliseconds, raised with each refutation.
        leaving: Whether this member has announced that it leaves.
    """

    name: str
    address: str
    incarnation: int
    leaving: bool = False

    @property
    def tag(self) -> int:
        """Returns the 32-bit hash of the name."""
        return tag(self.name)

    @property
    def update(self) -> MemberUpdate:
        """Returns the update that announces this member."""
        health = Health.LEFT if self.leaving else Health.ALIVE
        return MemberUpdate(self.name, self.address, self.incarnation, health)


@dataclass(slots=True, eq=False)
class Member:
    """The record of another member. All times are milliseconds of this process's clock.

    Attributes:
        name: The name of the member, unique among the members.
        address: The address at which the member is reached.
        incarnation: The highest incarnation received for the member.
        joined_at: The last time at which the member was added, came back after an absence or started a new process.
        changed_at: The last time at which the health of the member changed.
        health: The health of the member as recorded here.
        last_received_at: The time at which the last datagram of the member arrived.
        suspected_by: The tags of the members that suspect this member independently.
        tag: The 32-bit hash of the name.
    """

    name: str
    address: str
    incarnation: int
    joined_at: float
    changed_at: float
    health: Health = Health.ALIVE
    last_received_at: float = -inf
    suspected_by: set[int] = field(default_factory=set)
    tag: int = field(init=False)

    def __post_init__(self) -> None:
        self.tag = tag(self.name)

    @property
    def active(self) -> bool:
        """Returns whether the member is alive, or suspected and not yet dead."""
        return self.health <= Health.SUSPECT

    @property
    def update(self) -> MemberUpdate:
        """Returns the update that reports the member to other members."""
        return MemberUpdate(self.name, self.address, self.incarnation, self.health)
