"""What one member knows of one lease: its stage, the votes it has given and the votes it has received.

The stages of a lease and the events between them are in :data:`TRANSITIONS`.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NamedTuple

from heronlug.cluster.messages import LeaseDenial, LeaseGrant, LeaseRequest, without_owner
from heronlug.cluster.model import NO_TOKEN, FencingToken
from heronlug.cluster.ownership import tag

MAX_OPEN_REQUESTS = 32
"""Requests of a lease whose answers are still accepted."""

PROMISE_FRACTION = 0.25
"""How long a promise is kept, as a fraction of the lease duration."""


class LeaseStage(Enum):
    """The stage of a lease at one member.

    The values are what the operators' command ``cluster duties`` shows; the command calls a lease a duty.
    """

    IDLE = "idle"
    """Another member holds the lease, or nobody does."""

    REQUESTING = "asking"
    """This member collects promises, then votes."""

    HELD = "holding"
    """This member holds the lease and renews it."""

    TRANSFERRING = "offering"
    """This member holds the lease and offers it to the preferred owner."""

    TRANSFERRED = "passed"
    """This member has stopped acting and tells its successor so."""

    @property
    def holds(self) -> bool:
        """Whether this member holds the lease in this stage."""
        return self in (LeaseStage.HELD, LeaseStage.TRANSFERRING)


class LeaseEvent(Enum):
    """What moves a lease from one stage to another."""

    REQUESTED = "requested"
    """This member is the preferred owner, or is handed the lease."""

    WITHDRAWN = "withdrawn"
    """This member stops requesting: it is no longer preferred, or a request with a higher token competes."""

    SECURED = "secured"
    """All quorum members have granted the lease."""

    SUCCESSOR_FOUND = "successor found"
    """Another member is the preferred owner."""

    TRANSFER_CANCELLED = "transfer cancelled"
    """This member is preferred again, or a third one is."""

    TRANSFER_ACCEPTED = "transfer accepted"
    """The successor has accepted; this member has stopped acting."""

    TRANSFER_FINISHED = "transfer finished"
    """The successor requests the lease, or was told often enough that it may."""

    LOST = "lost"
    """The lease has expired, a higher token was seen, or this member leaves without a successor."""


TRANSITIONS: dict[tuple[LeaseStage, LeaseEvent], LeaseStage] = {
    (LeaseStage.IDLE, LeaseEvent.REQUESTED): LeaseStage.REQUESTING,
    (LeaseStage.REQUESTING, LeaseEvent.WITHDRAWN): LeaseStage.IDLE,
    (LeaseStage.REQUESTING, LeaseEvent.SECURED): LeaseStage.HELD,
    (LeaseStage.HELD, LeaseEvent.SUCCESSOR_FOUND): LeaseStage.TRANSFERRING,
    (LeaseStage.HELD, LeaseEvent.LOST): LeaseStage.IDLE,
    (LeaseStage.TRANSFERRING, LeaseEvent.TRANSFER_CANCELLED): LeaseStage.HELD,
    (LeaseStage.TRANSFERRING, LeaseEvent.TRANSFER_ACCEPTED): LeaseStage.TRANSFERRED,
    (LeaseStage.TRANSFERRING, LeaseEvent.LOST): LeaseStage.IDLE,
    (LeaseStage.TRANSFERRED, LeaseEvent.TRANSFER_FINISHED): LeaseStage.IDLE,
}
"""The next stage by the present one and the event; no other event may happen in a stage."""


class OpenRequest(NamedTuple):
    """A request for a lease that may still be answered."""

    sent_at: float
    for_promise: bool
    """Whether it asks for a promise rather than for a vote."""


def secured_until(grants: dict[int, float], members: Iterable[int]) -> float:
    """Until when all these members have given their votes, or promises, as ``grants`` records them by their tags.

    A lease needs all its quorum members, so the first vote to expire decides.
    """
    return min(grants.get(member, -inf) for member in members)


@dataclass(slots=True)
class LeaseVote:
    """What this member, as a quorum member, has granted of a lease.

    Attributes:
        token: The token of the owner that has the vote.
        until: When the vote ends, by this member's clock.
        highest: The highest token that was ever granted.
        promised: The token that is promised the vote.
        promised_until: When the promise ends.
    """

    token: FencingToken = NO_TOKEN
    until: float = -inf
    highest: FencingToken = NO_TOKEN
    promised: FencingToken = NO_TOKEN
    promised_until: float = -inf

    def decide(
        self, request: LeaseRequest, now: float, lease_duration: float, renewals_only: bool
    ) -> LeaseGrant | LeaseDenial:
        """Grant the lease to one owner at a time, and never under a token below one that was granted.

        Args:
            request: The request, of another member or of this one.
            now: The time by this member's clock.
            lease_duration: How long a vote is bound, in milliseconds.
            renewals_only: Whether the votes of the process before this one may still be bound.  They are not known
                here, so only an owner that states that it holds the lease already may go on.
        """
        if renewals_only and not request.is_renewal:
            return LeaseDenial(request.lease, self.highest, request.request_id)
        if request.token != self.token:
            if not self._available_to(request, now) or request.token <= self.highest:
                return LeaseDenial(request.lease, self.highest, request.request_id)
            if now < self.promised_until and request.token < self.promised:
                return LeaseDenial(request.lease, self.promised, request.request_id)
        if request.requests_promise:
            self.promised = request.token
            self.promised_until = now + lease_duration * PROMISE_FRACTION
        else:
            self.token = request.token
            self.until = now + lease_duration
            self.highest = max(self.highest, request.token)
        return LeaseGrant(request.lease, request.token, request.request_id)

    def release(self, token: FencingToken) -> None:
        """End the vote and the promise that were given to this token."""
        if token == self.token:
            self.until = -inf
        if token == self.promised:
            self.promised_until = -inf

    def release_owner(self, owner: int) -> None:
        """End the vote and the promise that were given to this owner, also under an earlier token."""
        if self.token.owner == owner:
            self.until = -inf
        if self.promised.owner == owner:
            self.promised_until = -inf

    def _available_to(self, request: LeaseRequest, now: float) -> bool:
        """Whether the vote is free for a request under another token than the present one."""
        if now >= self.until:
            return True
        if request.released == self.token != NO_TOKEN:
            return True
        # an owner that requests the lease anew no longer acts under its earlier token
        return request.token.owner == self.token.owner


@dataclass(slots=True)
class LeaseState:
    """One lease as one member sees it.  All times are milliseconds of this member's clock.

    Attributes:
        name: The lease's name, the same at every member.
        stage: Where this member stands with the lease.
        vote: What this member has granted.
        token: The fencing token that this member requests or holds the lease under.
        highest_seen: The highest token that other members have reported.
        valid_until: Until when this member may act.
        granted_until: Until when each quorum member has granted its vote, by the member's tag.
        promised_until: Until when each quorum member has promised its vote, by the member's tag.
        requests: Requests that may still be answered, by their number.
        collecting_votes: Whether all promises have come, so that votes are requested.
        released: The token of a predecessor that has handed the lease to this member.
        offered_until: Until when this member requests the lease because it was handed to it.
        successor: The tag of the member that this one hands the lease to.
        pending_releases: Tokens whose release is sent again.
        retry_at: When this member may request the lease again.
        next_action_at: When something has to be sent again.
        was_denied: Whether a request was denied since this member began to request the lease.
        transfer_messages: Offers, later completions, that the successor was sent in this transfer.
        times_gained: How often this member has become the owner.
    """

    name: str
    stage: LeaseStage = LeaseStage.IDLE
    vote: LeaseVote = field(default_factory=LeaseVote)
    token: FencingToken = NO_TOKEN
    highest_seen: FencingToken = NO_TOKEN
    valid_until: float = -inf
    granted_until: dict[int, float] = field(default_factory=dict)
    promised_until: dict[int, float] = field(default_factory=dict)
    requests: dict[int, OpenRequest] = field(default_factory=dict)
    collecting_votes: bool = False
    released: FencingToken = NO_TOKEN
    offered_until: float = -inf
    successor: int = 0
    pending_releases: list[FencingToken] = field(default_factory=list)
    retry_at: float = -inf
    next_action_at: float = -inf
    was_denied: bool = False
    transfer_messages: int = 0
    times_gained: int = 0

    @property
    def key(self) -> int:
        """The lease's name in 32 bits, as it stands in datagrams."""
        return tag(self.name)

    @property
    def collecting_promises(self) -> bool:
        """Whether the next request asks for promises: no predecessor has released the lease, and not all have come."""
        return self.stage is LeaseStage.REQUESTING and self.released == NO_TOKEN and not self.collecting_votes

    def advance(self, event: LeaseEvent) -> None:
        """Move to the stage that follows; raises ``KeyError`` for an event that cannot happen in this stage."""
        self.stage = TRANSITIONS[self.stage, event]

    def may_act(self, now: float) -> bool:
        """Whether this member holds the lease and it has not expired."""
        return self.stage.holds and now < self.valid_until

    def begin_request(self, token: FencingToken) -> None:
        """Request the lease under a new token; what was granted to earlier ones counts no more."""
        self.token = token
        self.granted_until.clear()
        self.promised_until.clear()
        self.requests.clear()
        self.collecting_votes = False

    def new_request(self, request_id: int, now: float) -> LeaseRequest:
        """The next request; answers to the oldest ones are not accepted any more."""
        for_promise = self.collecting_promises
        if self.stage is not LeaseStage.REQUESTING and now < self.valid_until:
            released = self.token  # makes it a renewal
        else:
            released = without_owner(self.token) if for_promise else self.released
        self.requests[request_id] = OpenRequest(now, for_promise)
        for old in list(self.requests)[:-MAX_OPEN_REQUESTS]:
            del self.requests[old]
        return LeaseRequest(self.key, self.token, request_id, released)

    def grants(self, for_promise: bool) -> dict[int, float]:
        """Where answers to a request are recorded."""
        return self.promised_until if for_promise else self.granted_until
