"""Types of the cluster: who the members are, what comes in, what goes out.

All times are milliseconds of one clock per process that only goes forward; nothing here reads it.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple


class Health(IntEnum):
    """What a member is held to be, in the order in which one overrides the other at the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # on purpose


class MemberUpdate(NamedTuple):
    """One member's health as somebody tells it (SWIM, section 4)."""

    name: str
    address: str
    incarnation: int  # Unix milliseconds of the member's start, and one more with each refutation
    health: Health


class FencingToken(NamedTuple):
    """A fencing number: whoever writes under a lower one than was seen is late.  No two owners ever have the same."""

    number: int  # never below Unix milliseconds of the owner's start, and above all that it has seen
    owner: int  # the owner's tag, unique among the members


NO_TOKEN = FencingToken(0, 0)


@dataclass(frozen=True, slots=True)
class ClusterTiming:
    """How a cluster keeps time.  All figures in milliseconds; the same at every member."""

    probe_interval: float = 400.0  # between two probes of ours
    probe_timeout: float = 100.0  # for a direct answer; then others are asked to probe
    indirect_probes: int = 3  # so many others (k of SWIM)
    suspicion_min: float = 800.0  # the least time that a suspect has to refute
    suspicion_max: float = 2400.0  # and the most, until others confirm (Lifeguard: LHA-Suspicion)
    confirmations: int = 2  # independent suspicions that bring the most down to the least
    local_health_max: int = 6  # of Lifeguard's local health: a slow member probes by so many times more slowly
    retransmit_multiplier: int = 4  # an item of gossip is told so many times the logarithm of the members
    forget_after: float = 600_000.0  # who is dead or has left is forgotten after this
    lease_duration: float = 2000.0  # a lease by the clock of who grants it
    max_clock_drift: float = (
        0.02  # two clocks run apart by this share at most: the owner's lease is shorter by twice that
    )
    request_interval: float = 100.0  # an unanswered request for a lease, and an offer, is sent again after this
    renewal_fraction: float = 0.25  # of the lease, when it is renewed
    settle_time: float = (
        3000.0  # a new member owns nothing before, so that its list of members is whole by then; it grants
    )
    # nothing new before what a process of its name before it has granted has run out, which is a lease
    max_quorum_members: int = (
        9  # at most so many members are asked for a lease, those that come first in the duty's rank
    )
    heartbeat_interval: float = 400.0  # who publishes a sheet tells of it so often, also when nothing has changed
    fanout: int = 5  # and each that hears of something new tells so many others
    pull_timeout: float = 120.0  # a node that was asked for and has not come is asked for again after this
    rejoin_interval: float = 2000.0  # seeds are asked again so often while somebody is missing


# -- what comes in: see Node.receive and Node.wake; what goes out:


class SendTo(NamedTuple):
    """A datagram to an address."""

    address: str
    data: bytes


class WakeAt(NamedTuple):
    """Call ``wake`` at that time; an earlier call does no harm."""

    when: float


class MemberChanged(NamedTuple):
    """A member's health has changed here."""

    name: str
    health: Health
    cause: str


class LeaseGained(NamedTuple):
    """We own a duty: its work may be done, each step only while ``Node.may_act`` says so."""

    lease: str
    token: FencingToken
    cause: str


class LeaseLost(NamedTuple):
    """We own a duty no more."""

    lease: str
    token: FencingToken
    cause: str


class TableChanged(NamedTuple):
    """A sheet has changed: rows by their keys, None for those that are gone."""

    table: str
    changes: dict[bytes, bytes | None]


Action = SendTo | WakeAt | MemberChanged | LeaseGained | LeaseLost | TableChanged
