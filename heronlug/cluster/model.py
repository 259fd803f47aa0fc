"""Types of the cluster: the state of members, fencing tokens, timing, and the actions of a member.

All times are milliseconds of one monotonic clock per process; nothing here reads it.
"""

from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import NamedTuple


class Health(IntEnum):
    """The health of a member; at the same incarnation a higher value overrides a lower one (SWIM, section 4.2)."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3
    """It has left on purpose."""


class MemberUpdate(NamedTuple):
    """One member's health as another member reports it (SWIM, section 4)."""

    name: str
    address: str
    incarnation: int
    """Unix milliseconds of the member's start, and one more with each refutation."""
    health: Health


class FencingToken(NamedTuple):
    """A fencing token: a write under a lower one than was seen comes too late.  No two owners ever have the same."""

    number: int
    """Never below Unix milliseconds of the owner's start, and above every number that the owner has seen."""
    owner: int
    """The owner's tag, unique among the members."""


NO_TOKEN = FencingToken(0, 0)


@dataclass(frozen=True, slots=True)
class ClusterTiming:
    """How a cluster keeps time; the same at every member.  All times are milliseconds.

    Attributes:
        probe_interval: Between two probes of one member.
        probe_timeout: How long a direct answer may take before other members are asked to probe.
        indirect_probes: How many other members are asked (k of SWIM).
        suspicion_min: The shortest time that a suspect has to refute.
        suspicion_max: The longest, while no other member confirms the suspicion (Lifeguard's LHA-Suspicion).
        confirmations: How many independent suspicions shorten that time to ``suspicion_min``.
        local_health_max: The highest local health multiplier (Lifeguard); a slow member probes more slowly by it.
        retransmit_multiplier: An update is sent this many times the logarithm of the number of members.
        forget_after: When a member that is dead or has left is forgotten.
        lease_duration: How long a lease is granted, by the clock of the quorum member that grants it.
        max_clock_drift: By which fraction two clocks differ in speed at most; an owner's lease is shorter by twice it.
        request_interval: When an unanswered lease request, or an offer, is sent again.
        renewal_fraction: The fraction of a lease after which it is renewed.
        settle_time: How long a new member owns nothing, so that its list of members is complete by then.  For one
            lease duration it also grants no new lease, as its predecessor's grants may still hold.
        max_quorum_members: How many other members are asked for a lease at most, the first in the lease's ranking.
        heartbeat_interval: How often the writer of a replicated table announces it, also when nothing has changed.
        fanout: How many members each member passes a new announcement on to.
        pull_timeout: When a table node that was requested and has not come is requested again.
        rejoin_interval: How often seeds are contacted while one is missing.
    """

    probe_interval: float = 400.0
    probe_timeout: float = 100.0
    indirect_probes: int = 3
    suspicion_min: float = 800.0
    suspicion_max: float = 2400.0
    confirmations: int = 2
    local_health_max: int = 6
    retransmit_multiplier: int = 4
    forget_after: float = 600_000.0
    lease_duration: float = 2000.0
    max_clock_drift: float = 0.02
    request_interval: float = 100.0
    renewal_fraction: float = 0.25
    settle_time: float = 3000.0
    max_quorum_members: int = 9
    heartbeat_interval: float = 400.0
    fanout: int = 5
    pull_timeout: float = 120.0
    rejoin_interval: float = 2000.0


class SendTo(NamedTuple):
    """Send a datagram to an address."""

    address: str
    data: bytes


class WakeAt(NamedTuple):
    """Call ``Node.wake`` at this time; an earlier call does no harm."""

    when: float


class MemberChanged(NamedTuple):
    """A member's health, as this member knows it, has changed."""

    name: str
    health: Health
    cause: str


class LeaseCause(StrEnum):
    """Why a member has gained or lost a lease; the values are logged."""

    HANDED_OVER = "handed over"
    """The lease was transferred: gained by the successor, lost by the predecessor."""

    TAKEN_OVER = "taken over"
    """Gained without a transfer: nobody holds the lease, or its holder is gone."""

    EXPIRED = "lease over"
    """Lost: it was not renewed in time."""

    HIGHER_TOKEN = "higher fence seen"
    """Lost: another member has a higher fencing token."""

    NO_SUCCESSOR = "left without an heir"
    """Lost: this member leaves the cluster, and its successor has not accepted the lease."""


class LeaseGained(NamedTuple):
    """This member holds a lease; each step of the work is allowed only while ``Node.may_act`` says so."""

    lease: str
    token: FencingToken
    cause: LeaseCause


class LeaseLost(NamedTuple):
    """This member holds a lease no more."""

    lease: str
    token: FencingToken
    cause: LeaseCause


class TableChanged(NamedTuple):
    """A replicated table has changed: rows by their keys, None for those that were removed."""

    table: str
    changes: dict[bytes, bytes | None]


Action = SendTo | WakeAt | MemberChanged | LeaseGained | LeaseLost | TableChanged
"""What a member asks its transport to do or to report."""
