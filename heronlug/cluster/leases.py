"""Requests, renews, transfers and releases the leases of one member.

A lease must be granted by all its quorum members; unlike in Raft or Paxos, a majority is not enough. The quorum
members are the member that requests the lease and, in the lease's rendezvous ranking of the members that the
requester does not consider dead, the first ``max_quorum_members`` other members (fewer where there are fewer). Two
members can therefore see different quorums, and a dead member leaves the quorum instead of blocking the lease.

A quorum member grants a lease to one owner at a time, until ``lease_duration`` after the grant by its own clock. The
owner counts the grant from the time at which it sent the request, and only for ``1 - 2 * max_clock_drift`` of the
duration, so that the owner never acts after the grant has expired. With the defaults that is 1920 ms of 2000 ms.

Two members can act at the same time only if their quorums are disjoint, which requires that each of the two considers
the other member, and every member that voted for it, dead. That is a partition. The two act under different tokens,
and after the first datagram between them the member with the lower token stops.

No vote is granted before all quorum members are known to grant theirs. As in Paxos (Lamport 1998), a round of promises
comes first, unless a predecessor has released the lease. A promise is short and is replaced by a promise to a higher
token; a vote is bound to its token for a whole lease duration. Without the round of promises, two members that request
the lease with different views would each get some of the votes, and these votes would stay bound for a whole lease
duration whenever the release message is lost.

The stages of a lease are described in :mod:`heronlug.cluster.lease_state`.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from xxhash import xxh32_intdigest

from heronlug.cluster.lease_state import (
    PROMISE_FRACTION,
    LeaseEvent,
    LeaseStage,
    LeaseState,
    secured_until,
)
from heronlug.cluster.messages import (
    LeaseDenial,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    Part,
    TransferAcceptance,
    TransferCompletion,
    TransferOffer,
)
from heronlug.cluster.model import NO_TOKEN, ClusterTiming, FencingToken, LeaseCause, LeaseGained, LeaseLost
from heronlug.cluster.ownership import preferred_owner, tag

MAX_TRANSFER_MESSAGES = 12
"""The number of offers after which a leaving member drops a lease; also the number of repeats of a completion."""

RELEASE_REPEATS = 3
"""The number of times that a release message is repeated, since any datagram can be lost."""

REQUEST_ID_MASK = 0xFFFFFFFF
"""Limits request IDs to the 32 bits that they have in datagrams."""

RETRY_DELAY_MIN = 0.4
"""The shortest delay before a released lease is requested again, as a fraction of the lease duration."""

RETRY_DELAY_SPREAD = 0.4
"""The range of the additional delay above ``RETRY_DELAY_MIN``, as a fraction of the lease duration."""


@dataclass(frozen=True, slots=True)
class LeaseCallbacks:
    """The functions of a member that its lease manager calls. Times are milliseconds of this member's clock.

    Attributes:
        send: Sends a part to the member with the given tag.
        notify: Receives an event for each lease that is gained or lost.
        quorum: Returns the other quorum members of the named lease at a time, names by tag.
        candidates: Returns the names of the members that may own a lease at a time; this member can be among them.
    """

    send: Callable[[int, Part], None]
    notify: Callable[[LeaseGained | LeaseLost], None]
    quorum: Callable[[str, float], dict[int, str]]
    candidates: Callable[[float], list[str]]


class LeaseManager:
    """Manages all leases of one member. Times are milliseconds of this member's clock.

    Attributes:
        name: The name of this member.
        tag: The tag of this member.
        leases: The state of each lease, by the lease's key.
        leaving: Whether this member hands over its leases and no longer requests any.
        votes_from: The time from which this member grants requests that are not renewals; infinity until the node
            sets it at its first wake.
        conflicts: The number of leases that this member has lost because it saw a higher token.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        lease_names: list[str],
        timing: ClusterTiming,
        callbacks: LeaseCallbacks,
    ) -> None:
        """Creates a manager that holds no lease.

        Args:
            name: The name of this member.
            incarnation: The start time of this process in Unix milliseconds.
            lease_names: The names of the leases, the same at every member.
            timing: The timing of the cluster, the same at every member.
            callbacks: The functions of this member that the manager calls.
        """
        self.name = name
        self.tag = tag(name)
        self.timing = timing
        self.callbacks = callbacks
        # The owner field of tokens names the process, so that a restarted member never repeats a token.
        self.process_tag = tag(f"{name}\0{incarnation}")
        self.leases = {state.key: state for state in map(LeaseState, lease_names)}
        self.leaving = False
        self.votes_from = inf
        self.conflicts = 0
        self._min_token_number = incarnation
        self._last_request_id = 0
        self._vote_duration = timing.lease_duration * (1 - 2 * timing.max_clock_drift)
        self._renewal_margin = timing.lease_duration * (1 - timing.renewal_fraction)

    # -- queries

    def may_act(self, key: int, now: float) -> FencingToken | None:
        """Returns this member's token if it holds the lease, else None; check again before each protected step."""
        state = self.leases[key]
        return state.token if state.may_act(now) else None

    def next_wake(self) -> float:
        """Returns the earliest time at which :meth:`wake` has to be called."""
        return min((state.next_action_at for state in self.leases.values()), default=inf)

    def idle(self) -> bool:
        """Returns whether this member holds no lease and is handing over none."""
        return all(state.stage in (LeaseStage.IDLE, LeaseStage.REQUESTING) for state in self.leases.values())

    # -- time

    def wake(self, now: float) -> None:
        """Drops leases that have expired, updates the stages that are due and sends their messages."""
        candidates: list[str] | None = None
        for state in self.leases.values():
            self._expire(state, now)
            if state.next_action_at <= now:
                candidates = self.callbacks.candidates(now) if candidates is None else candidates
                self._step(state, candidates, now)

    def _expire(self, state: LeaseState, now: float) -> None:
        if state.stage.holds and now >= state.valid_until:
            self._lose(state, LeaseCause.EXPIRED)

    def _step(self, state: LeaseState, candidates: list[str], now: float) -> None:
        """Updates the stage for the current candidates, then sends the messages of that stage."""
        state.next_action_at = now + self.timing.request_interval
        if state.pending_releases:
            self._send_release(state, state.pending_releases.pop(), now)
        self._update_stage(state, preferred_owner(state.name, candidates), now)
        if state.stage is LeaseStage.REQUESTING:
            self._request(state, self._quorum(state, now), now)
        elif state.stage.holds:
            self._renew(state, now)
            if state.stage is LeaseStage.TRANSFERRING:
                self._offer(state)
        elif state.stage is LeaseStage.TRANSFERRED:
            self._repeat_completion(state, now)

    def _update_stage(self, state: LeaseState, preferred: str, now: float) -> None:
        """Changes the stage if this member has become the member that should hold the lease, or no longer is."""
        handed_over = now < state.offered_until
        wanted = not self.leaving and (preferred == self.name or handed_over)
        if state.stage is LeaseStage.IDLE and wanted and (now >= state.retry_at or handed_over):
            state.advance(LeaseEvent.REQUESTED)
            state.was_denied = False
            state.begin_request(self._new_token(state))
        elif state.stage is LeaseStage.REQUESTING and not wanted:
            self._withdraw(state, now)
        elif state.stage is LeaseStage.HELD and not wanted and preferred:
            state.advance(LeaseEvent.SUCCESSOR_FOUND)
            state.successor = tag(preferred)
            state.transfer_messages = 0
        elif state.stage is LeaseStage.TRANSFERRING and (wanted or tag(preferred) != state.successor):
            state.advance(LeaseEvent.TRANSFER_CANCELLED)

    # -- requests

    def _quorum(self, state: LeaseState, now: float) -> dict[int, str]:
        return self.callbacks.quorum(state.name, now)

    def _new_token(self, state: LeaseState) -> FencingToken:
        """Returns a token above every token that this member has seen for the lease."""
        seen = (state.vote.highest.number, state.highest_seen.number, state.token.number, self._min_token_number)
        return FencingToken(max(seen) + 1, self.process_tag)

    def _request(self, state: LeaseState, quorum: dict[int, str], now: float) -> None:
        """Sends a request to the quorum members whose grant is missing or expires soon.

        This member decides on its own vote first, by the same rules as on a request from another member.
        """
        for_promise = state.collecting_promises
        self._last_request_id = (self._last_request_id + 1) & REQUEST_ID_MASK
        request = state.new_request(self._last_request_id, now)
        answer = self._decide_vote(state, request, now)
        if isinstance(answer, LeaseDenial):
            self._on_denial(state, answer, now)
            return
        duration = self._grant_duration(for_promise)
        grants = state.grants(for_promise)
        grants[self.tag] = now + duration
        min_remaining = duration / 2 if for_promise else self._renewal_margin
        for member in quorum:
            if grants.get(member, -inf) - now < min_remaining:
                self.callbacks.send(member, request)
        if for_promise:
            self._count_promises(state, quorum, now)
        else:
            self._count_votes(state, quorum, now)

    def _renew(self, state: LeaseState, now: float) -> None:
        """Requests the lease again before the first grant expires."""
        quorum = self._quorum(state, now)
        if secured_until(state.granted_until, [*quorum, self.tag]) - now < self._renewal_margin:
            self._request(state, quorum, now)

    def _grant_duration(self, for_promise: bool) -> float:
        """Returns how long a grant counts from the time at which its request was sent, in milliseconds."""
        return self._vote_duration * PROMISE_FRACTION if for_promise else self._vote_duration

    def _count_promises(self, state: LeaseState, quorum: dict[int, str], now: float) -> None:
        """Requests votes once all quorum members have promised their votes."""
        if secured_until(state.promised_until, [*quorum, self.tag]) > now:
            state.collecting_votes = True
            self._request(state, quorum, now)

    def _count_votes(self, state: LeaseState, quorum: dict[int, str], now: float) -> None:
        """Takes or extends the lease up to the end of the vote that expires first; never shortens the lease."""
        until = secured_until(state.granted_until, [*quorum, self.tag])
        if until <= now:
            return
        state.valid_until = max(state.valid_until, until)
        if state.stage is LeaseStage.REQUESTING:
            cause = LeaseCause.HANDED_OVER if state.released != NO_TOKEN else LeaseCause.TAKEN_OVER
            state.advance(LeaseEvent.SECURED)
            state.released = NO_TOKEN
            state.offered_until = -inf
            state.times_gained += 1
            self.callbacks.notify(LeaseGained(state.name, state.token, cause))

    # -- messages

    def receive(self, sender: int, part: Part, now: float) -> None:
        """Handles a part of a datagram; parts about anything other than this member's leases are ignored."""
        if not isinstance(part, LEASE_PARTS):
            return
        state = self.leases.get(part.lease)
        if state is None:
            return
        self._expire(state, now)
        match part:
            case LeaseRequest():
                self._on_request(state, sender, part, now)
            case LeaseGrant():
                self._on_grant(state, sender, part, now)
            case LeaseDenial():
                if part.request_id in state.requests:
                    self._on_denial(state, part, now)
            case LeaseRelease():
                state.vote.release(part.token)
            case TransferOffer():
                if not self.leaving:
                    self.callbacks.send(sender, TransferAcceptance(state.key, part.token))
            case TransferAcceptance():
                self._on_acceptance(state, sender, part, now)
            case TransferCompletion():
                self._on_completion(state, part, now)

    def _on_request(self, state: LeaseState, sender: int, request: LeaseRequest, now: float) -> None:
        if (
            state.stage is LeaseStage.TRANSFERRED and request.token > state.token and sender == state.successor
        ):  # A request of the successor shows that it has received the completion.
            state.advance(LeaseEvent.TRANSFER_FINISHED)
            state.next_action_at = now + self.timing.lease_duration
        self.callbacks.send(sender, self._decide_vote(state, request, now))

    def _decide_vote(self, state: LeaseState, request: LeaseRequest, now: float) -> LeaseGrant | LeaseDenial:
        return state.vote.decide(request, now, self.timing.lease_duration, renewals_only=now < self.votes_from)

    def _on_grant(self, state: LeaseState, sender: int, grant: LeaseGrant, now: float) -> None:
        request = state.requests.get(grant.request_id)
        if request is None or grant.token != state.token:
            return
        grants = state.grants(request.for_promise)
        until = request.sent_at + self._grant_duration(request.for_promise)
        grants[sender] = max(until, grants.get(sender, -inf))
        if request.for_promise and state.stage is LeaseStage.REQUESTING and not state.collecting_votes:
            self._count_promises(state, self._quorum(state, now), now)
        elif state.stage is LeaseStage.REQUESTING or state.stage.holds:
            self._count_votes(state, self._quorum(state, now), now)

    def _on_denial(self, state: LeaseState, denial: LeaseDenial, now: float) -> None:
        """Gives way to a higher token: another member holds the lease, or requests it too.

        The first denial may only mean that the number of this member's token was too low, so the request is repeated
        with a higher number. If the second denial were handled in the same way, two members could outbid each other
        endlessly, each with some of the votes; instead, this member releases its token and retries after a delay.
        """
        state.highest_seen = max(state.highest_seen, denial.highest)
        if denial.highest <= state.token:
            return
        if state.stage.holds:
            self.conflicts += 1
            self._release(state, now)
            self._lose(state, LeaseCause.HIGHER_TOKEN)
        elif state.stage is LeaseStage.REQUESTING and not state.was_denied:
            state.was_denied = True
            if state.collecting_votes:
                self._send_release(state, state.token, now)
            state.begin_request(self._new_token(state))
        elif state.stage is LeaseStage.REQUESTING:
            self._withdraw(state, now)

    # -- transfer to a successor

    def _offer(self, state: LeaseState) -> None:
        state.transfer_messages += 1
        self.callbacks.send(state.successor, TransferOffer(state.key, state.token))
        if self.leaving and state.transfer_messages > MAX_TRANSFER_MESSAGES:
            self._lose(state, LeaseCause.NO_SUCCESSOR)

    def _on_acceptance(self, state: LeaseState, sender: int, acceptance: TransferAcceptance, now: float) -> None:
        """Stops acting because the successor has accepted the lease, then sends the completion to the successor."""
        if state.stage is not LeaseStage.TRANSFERRING:
            return
        if acceptance.token != state.token or sender != state.successor:
            return
        self._release(state, now)
        state.transfer_messages = 0
        state.next_action_at = now
        state.advance(LeaseEvent.TRANSFER_ACCEPTED)
        self.callbacks.notify(LeaseLost(state.name, state.token, LeaseCause.HANDED_OVER))
        self.callbacks.send(state.successor, TransferCompletion(state.key, state.token))

    def _repeat_completion(self, state: LeaseState, now: float) -> None:
        state.transfer_messages += 1
        if state.transfer_messages > MAX_TRANSFER_MESSAGES or now >= state.valid_until:
            state.advance(LeaseEvent.TRANSFER_FINISHED)
        else:
            self.callbacks.send(state.successor, TransferCompletion(state.key, state.token))

    def _on_completion(self, state: LeaseState, completion: TransferCompletion, now: float) -> None:
        """Schedules an immediate request without a round of promises, since the predecessor no longer acts."""
        if self.leaving or state.stage not in (LeaseStage.IDLE, LeaseStage.REQUESTING):
            return
        if completion.token >= state.vote.highest or completion.token == state.vote.token:
            state.released = completion.token
            state.offered_until = now + self.timing.lease_duration
            state.next_action_at = now

    # -- the end of a lease

    def _withdraw(self, state: LeaseState, now: float) -> None:
        self._release(state, now)
        state.advance(LeaseEvent.WITHDRAWN)

    def _lose(self, state: LeaseState, cause: LeaseCause) -> None:
        state.advance(LeaseEvent.LOST)
        state.valid_until = -inf
        state.granted_until.clear()
        self.callbacks.notify(LeaseLost(state.name, state.token, cause))

    def _release(self, state: LeaseState, now: float) -> None:
        """Frees all votes for this member's token, and delays its next request for the lease."""
        self._send_release(state, state.token, now)
        state.pending_releases = [state.token] * RELEASE_REPEATS
        state.vote.release_owner(self.process_tag)
        # The hash spreads the retries of the members in time without a source of randomness.
        spread = xxh32_intdigest(f"{self.name}{state.token.number}".encode()) / 2**32
        state.retry_at = now + self.timing.lease_duration * (RETRY_DELAY_MIN + RETRY_DELAY_SPREAD * spread)
        state.next_action_at = now + self.timing.request_interval

    def _send_release(self, state: LeaseState, token: FencingToken, now: float) -> None:
        for member in self._quorum(state, now):
            self.callbacks.send(member, LeaseRelease(state.key, token))


LEASE_PARTS = (
    LeaseRequest,
    LeaseGrant,
    LeaseDenial,
    LeaseRelease,
    TransferOffer,
    TransferAcceptance,
    TransferCompletion,
)
"""The kinds of message that concern leases."""
