"""Holds the state of one lease at one member: its stage, the vote granted and the votes and promises received.

:data:`TRANSITIONS` lists the stages of a lease and the events that lead from one stage to the next.
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
"""The number of most recent requests for a lease whose answers a member still accepts."""

PROMISE_FRACTION = 0.25
"""The duration of a promise, as a fraction of the lease duration."""


class LeaseStage(Enum):
    """The stage of a lease at one member.

    The command ``cluster duties``, which calls a lease a duty, shows these values to operators.
    """

    IDLE = "idle"
    """Another member holds the lease, or no member does."""

    REQUESTING = "asking"
    """This member requests the lease: it collects promises first, then votes."""

    HELD = "holding"
    """This member holds the lease and renews it."""

    TRANSFERRING = "offering"
    """This member holds the lease and offers it to the preferred owner."""

    TRANSFERRED = "passed"
    """This member no longer acts on the lease and sends its successor a completion message."""

    @property
    def holds(self) -> bool:
        """Returns whether a member in this stage holds the lease."""
        return self in (LeaseStage.HELD, LeaseStage.TRANSFERRING)


class LeaseEvent(Enum):
    """An event that moves a lease from one stage to another."""

    REQUESTED = "requested"
    """This member starts to request the lease: it is the preferred owner, or its predecessor handed the lease over."""

    WITHDRAWN = "withdrawn"
    """This member no longer requests the lease: another member is preferred, or competes with a higher token."""

    SECURED = "secured"
    """All quorum members have granted this member the lease."""

    SUCCESSOR_FOUND = "successor found"
    """Another member has become the preferred owner."""

    TRANSFER_CANCELLED = "transfer cancelled"
    """This member, or a third member, has become the preferred owner in place of the successor."""

    TRANSFER_ACCEPTED = "transfer accepted"
    """The successor has accepted the lease, and this member no longer acts."""

    TRANSFER_FINISHED = "transfer finished"
    """The successor has requested the lease, its completion messages are used up, or the lease has expired."""

    LOST = "lost"
    """The lease has expired, this member has seen a higher token, or this member leaves and no successor accepts."""


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
"""Maps the current stage and an event to the next stage; a pair that is missing here is a programming error."""


class OpenRequest(NamedTuple):
    """A request for a lease whose answers this member still accepts."""

    sent_at: float
    """The time at which the request was sent, in milliseconds of this member's clock."""
    for_promise: bool
    """Whether the request is for a promise rather than for a vote."""


def secured_until(grants: dict[int, float], members: Iterable[int]) -> float:
    """Returns the time until which all of ``members`` have granted their votes or promises.

    A lease needs every quorum member, so the grant that expires first decides.

    Args:
        grants: The end of each member's grant in milliseconds, by the member's tag.
        members: The tags of the quorum members; a member without a grant makes the result minus infinity.
    """
    return min(grants.get(member, -inf) for member in members)


@dataclass(slots=True)
class LeaseVote:
    """The vote and the promise of this member, as a quorum member, for one lease.

    Attributes:
        token: The token to which the vote was granted most recently.
        until: The end of the vote, in milliseconds of this member's clock.
        highest: The highest token that this member has ever granted its vote.
        promised: The token to which the vote was promised most recently.
        promised_until: The end of the promise, in milliseconds of this member's clock.
    """

    token: FencingToken = NO_TOKEN
    until: float = -inf
    highest: FencingToken = NO_TOKEN
    promised: FencingToken = NO_TOKEN
    promised_until: float = -inf

    def decide(
        self, request: LeaseRequest, now: float, lease_duration: float, renewals_only: bool
    ) -> LeaseGrant | LeaseDenial:
        """Grants or denies a request, so that one owner at a time has the vote and granted tokens never decrease.

        Args:
            request: A request of another member or of this one.
            now: The time, in milliseconds of this member's clock.
            lease_duration: The duration of a vote, in milliseconds.
            renewals_only: Whether a vote that the previous process of this member granted may still be valid. This
                process has no record of that vote, so it denies every request that is not a renewal.

        Returns:
            The answer to send to the requester.
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
        """Ends the vote and the promise that were granted to this token."""
        if token == self.token:
            self.until = -inf
        if token == self.promised:
            self.promised_until = -inf

    def release_owner(self, owner: int) -> None:
        """Ends the vote and the promise that were granted to this owner, under its current or an earlier token."""
        if self.token.owner == owner:
            self.until = -inf
        if self.promised.owner == owner:
            self.promised_until = -inf

    def _available_to(self, request: LeaseRequest, now: float) -> bool:
        """Returns whether the vote can be granted to a request whose token differs from the current token."""
        if now >= self.until:
            return True
        if request.released == self.token != NO_TOKEN:
            return True
        # An owner that requests the lease under a new token no longer acts under its earlier token.
        return request.token.owner == self.token.owner


@dataclass(slots=True)
class LeaseState:
    """The state of one lease at one member. All times are milliseconds of this member's clock.

    Attributes:
        name: The name of the lease, the same at every member.
        stage: The stage of the lease at this member.
        vote: The vote and the promise that this member has granted as a quorum member.
        token: The fencing token under which this member requests or holds the lease.
        highest_seen: The highest token that other members have reported in denials.
        valid_until: The time at which this member must stop acting unless the lease is renewed.
        granted_until: The end of each quorum member's vote for this member, by the quorum member's tag.
        promised_until: The end of each quorum member's promise to this member, by the quorum member's tag.
        requests: The requests whose answers are still accepted, by request ID.
        collecting_votes: Whether all quorum members have promised their votes, so that votes are requested.
        released: The token of a predecessor that has handed the lease to this member.
        offered_until: The time until which this member requests the lease because a predecessor handed it over.
        successor: The tag of the member to which this member hands the lease.
        pending_releases: One token for each release message that is still to be repeated.
        retry_at: The earliest time at which this member may request the lease again.
        next_action_at: The next time at which the stage is updated and messages are sent.
        was_denied: Whether a request was denied since this member began to request the lease.
        transfer_messages: The number of offers, later of completions, sent to the successor in this transfer.
        times_gained: The number of times that this member has become the owner.
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
        """Returns the 32-bit tag that identifies the lease in datagrams."""
        return tag(self.name)

    @property
    def collecting_promises(self) -> bool:
        """Returns whether the next request is for promises.

        Promises are requested until all quorum members have given theirs, unless a predecessor released the lease.
        """
        return self.stage is LeaseStage.REQUESTING and self.released == NO_TOKEN and not self.collecting_votes

    def advance(self, event: LeaseEvent) -> None:
        """Moves to the stage that follows ``event``.

        Raises:
            KeyError: If ``event`` cannot happen in the current stage.
        """
        self.stage = TRANSITIONS[self.stage, event]

    def may_act(self, now: float) -> bool:
        """Returns whether this member holds the lease and the lease has not expired."""
        return self.stage.holds and now < self.valid_until

    def begin_request(self, token: FencingToken) -> None:
        """Sets a new token to request the lease under and discards the grants that earlier tokens received."""
        self.token = token
        self.granted_until.clear()
        self.promised_until.clear()
        self.requests.clear()
        self.collecting_votes = False

    def new_request(self, request_id: int, now: float) -> LeaseRequest:
        """Returns and records the next request; only the newest ``MAX_OPEN_REQUESTS`` requests stay open."""
        for_promise = self.collecting_promises
        if self.stage is not LeaseStage.REQUESTING and now < self.valid_until:
            released = self.token  # marks the request as a renewal
        else:
            released = without_owner(self.token) if for_promise else self.released
        self.requests[request_id] = OpenRequest(now, for_promise)
        for old in list(self.requests)[:-MAX_OPEN_REQUESTS]:
            del self.requests[old]
        return LeaseRequest(self.key, self.token, request_id, released)

    def grants(self, for_promise: bool) -> dict[int, float]:
        """Returns the record of granted promises or of granted votes: end times by the tag of the quorum member."""
        return self.promised_until if for_promise else self.granted_until
