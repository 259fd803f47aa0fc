"""Defines the types that the cluster modules share: member health, fencing tokens, timing and the actions of a member.

All times are milliseconds of one monotonic clock per process; these types never read a clock.
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
    """The member has announced that it leaves."""


class MemberUpdate(NamedTuple):
    """A report of one member's health, sent by that member or by another member (SWIM, section 4)."""

    name: str
    address: str
    incarnation: int
    """The member's start in Unix milliseconds, raised with each refutation."""
    health: Health


class FencingToken(NamedTuple):
    """A fencing token, unique to one owner: a write under a token below one already seen is stale and is rejected."""

    number: int
    """At least the owner's start in Unix milliseconds, and above every number that the owner has seen."""
    owner: int
    """A 32-bit tag of the owner, unique among the members."""


NO_TOKEN = FencingToken(0, 0)


@dataclass(frozen=True, slots=True)
class ClusterTiming:
    """The timing parameters of a cluster, the same at every member. All times are milliseconds.

    Attributes:
        probe_interval: The interval at which each member starts a probe of another member.
        probe_timeout: The time without a direct answer after which other members are asked to probe.
        indirect_probes: The number of other members that are asked to probe (k of SWIM).
        suspicion_min: The shortest time that a suspect has to refute the suspicion.
        suspicion_max: The time that a suspect has while no other member confirms the suspicion (Lifeguard's
            LHA-Suspicion).
        confirmations: The number of independent confirmations that shorten this time to ``suspicion_min``.
        local_health_max: The highest local health multiplier (Lifeguard), by which a slow member slows its probes.
        retransmit_multiplier: The number of times that an update is sent, per unit of the binary logarithm of the
            number of members.
        forget_after: The time after which a member that is dead or has left is forgotten.
        lease_duration: The duration of a grant, by the clock of the quorum member that grants the lease.
        max_clock_drift: The largest relative difference in speed between two clocks; an owner stops using a lease twice
            this fraction of the duration before the end.
        request_interval: The time after which an unanswered lease request or offer is sent again.
        renewal_fraction: The fraction of a lease after which it is renewed.
        settle_time: The time for which a new member owns no lease, so that its list of members is complete by then.
            For one lease duration a new member also grants no new lease, since grants of its predecessor may be valid.
        max_quorum_members: The largest number of other quorum members, taken from the top of the lease's ranking.
        heartbeat_interval: The interval at which the writer of a replicated table announces it, even if unchanged.
        fanout: The number of members to which each member passes on a new announcement.
        pull_timeout: The time after which a table node that was requested and has not arrived is requested again.
        rejoin_interval: The interval at which seeds are contacted while a seed is missing.
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
    """Asks the transport to send a datagram to an address."""

    address: str
    data: bytes


class WakeAt(NamedTuple):
    """Asks the transport to call ``Node.wake`` at a time; an earlier call is harmless."""

    when: float


class MemberChanged(NamedTuple):
    """Reports that the recorded health of another member has changed."""

    name: str
    health: Health
    cause: str


class LeaseCause(StrEnum):
    """The reason for which a member gained or lost a lease; the values are logged."""

    HANDED_OVER = "handed over"
    """The lease was transferred: the successor gained it, the predecessor lost it."""

    TAKEN_OVER = "taken over"
    """The member gained the lease without a transfer: there was no holder, or the holder is gone."""

    EXPIRED = "lease over"
    """The member lost the lease because it was not renewed in time."""

    HIGHER_TOKEN = "higher fence seen"
    """The member lost the lease because another member has a higher fencing token."""

    NO_SUCCESSOR = "left without an heir"
    """The member lost the lease because it leaves the cluster and its successor has not accepted the lease."""


class LeaseGained(NamedTuple):
    """Reports that this member has gained a lease; each step under it still requires a token from ``Node.may_act``."""

    lease: str
    token: FencingToken
    cause: LeaseCause


class LeaseLost(NamedTuple):
    """Reports that this member no longer holds a lease."""

    lease: str
    token: FencingToken
    cause: LeaseCause


class TableChanged(NamedTuple):
    """Reports a change of a replicated table: new and changed rows by key, None for a removed row."""

    table: str
    changes: dict[bytes, bytes | None]


Action = SendTo | WakeAt | MemberChanged | LeaseGained | LeaseLost | TableChanged
"""An action that a member asks its transport to take, or an event that it reports."""
