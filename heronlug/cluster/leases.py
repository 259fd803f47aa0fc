"""Leases: which member may act, under which fencing token, and how a lease is handed over.

A lease has quorum members, and all of them must grant it: unlike in Raft or Paxos, a majority is not enough. They are
the member that requests the lease and the first ``max_quorum_members`` others (fewer where there are fewer) in the
lease's rendezvous ranking of the members that the requester does not hold dead. So two members may see different
quorums, and a member that dies leaves the quorum instead of blocking it.

A quorum member grants a lease to one owner at a time, until its own clock has run ``lease_duration`` past the grant.
The owner counts the grant from when it sent the request, and only for ``1 - 2 * max_clock_drift`` of the duration, so
that it never acts after the grant has expired. With the defaults that is 1920 ms of 2000 ms.

Two members can act at once only if their quorums are disjoint: each holds the other, and every member that voted for
it, dead. That is a partition. Both act under different tokens, and after the first datagram between them the one with
the lower token stops.

No vote is bound before all quorum members are known to give theirs. As in Paxos (Lamport 1998), a round of promises
comes first, unless a predecessor has released the lease. A promise is short and gives way to a higher token; a vote
is bound for a whole lease. Without that round, two members that request the lease with different views would each
bind some of the votes, and those would stay bound for a whole lease whenever the release message is lost.

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
"""Offers after which a leaving member drops the lease, and completions after which a member sends no more."""

RELEASE_REPEATS = 3
"""How often a release is sent again after the first time, as it may be lost."""

REQUEST_ID_MASK = 0xFFFFFFFF
"""Request numbers have 32 bits."""

RETRY_DELAY_MIN = 0.4
"""The shortest time before a released lease is requested again, as a fraction of the lease duration."""

RETRY_DELAY_SPREAD = 0.4
"""How much longer that time may be, as a fraction of the lease duration."""


@dataclass(frozen=True, slots=True)
class LeaseCallbacks:
    """What the leases need of the member they belong to.

    Attributes:
        send: Sends a part to the member with this tag.
        notify: Is told when a lease is gained or lost.
        quorum: The other quorum members of a lease, names by tag, at a time.
        candidates: The names of the members that may own a lease at a time, perhaps this one too.
    """

    send: Callable[[int, Part], None]
    notify: Callable[[LeaseGained | LeaseLost], None]
    quorum: Callable[[str, float], dict[int, str]]
    candidates: Callable[[float], list[str]]


class LeaseManager:
    """All leases of one member.

    Attributes:
        leases: The leases by their keys.
        leaving: Whether this member hands its leases over and requests no more.
        votes_from: When this member may grant leases that nobody holds yet; set once the start time is known.
        conflicts: How often this member has stopped because of a higher token.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        lease_names: list[str],
        timing: ClusterTiming,
        callbacks: LeaseCallbacks,
    ) -> None:
        """Create the leases; ``incarnation`` is the start time of this process in Unix milliseconds."""
        self.name = name
        self.tag = tag(name)
        self.timing = timing
        self.callbacks = callbacks
        # Names this process, so that a restarted one never repeats a token.
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
        """The token of this member while the lease holds; to be asked again before each step that matters."""
        state = self.leases[key]
        return state.token if state.may_act(now) else None

    def next_wake(self) -> float:
        """When :meth:`wake` has something to do."""
        return min((state.next_action_at for state in self.leases.values()), default=inf)

    def idle(self) -> bool:
        """Whether this member holds no lease and is handing none over."""
        return all(state.stage in (LeaseStage.IDLE, LeaseStage.REQUESTING) for state in self.leases.values())

    # -- time

    def wake(self, now: float) -> None:
        """Let leases expire, and send what is due."""
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
        """Update the stage for the present candidates, then send what the stage calls for."""
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
        """Move the lease on if this member has become, or is no longer, the one that should hold it."""
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
        """A token above all that this member has seen of the lease."""
        seen = (state.vote.highest.number, state.highest_seen.number, state.token.number, self._min_token_number)
        return FencingToken(max(seen) + 1, self.process_tag)

    def _request(self, state: LeaseState, quorum: dict[int, str], now: float) -> None:
        """Ask the quorum members whose grant expires first; this member's own vote is given like any other."""
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
        """Request the lease again before the first grant expires."""
        quorum = self._quorum(state, now)
        if secured_until(state.granted_until, [*quorum, self.tag]) - now < self._renewal_margin:
            self._request(state, quorum, now)

    def _grant_duration(self, for_promise: bool) -> float:
        """How long an answer holds from when its request was sent, in milliseconds."""
        return self._vote_duration * PROMISE_FRACTION if for_promise else self._vote_duration

    def _count_promises(self, state: LeaseState, quorum: dict[int, str], now: float) -> None:
        """Request votes once all quorum members have promised theirs."""
        if secured_until(state.promised_until, [*quorum, self.tag]) > now:
            state.collecting_votes = True
            self._request(state, quorum, now)

    def _count_votes(self, state: LeaseState, quorum: dict[int, str], now: float) -> None:
        """Hold the lease as long as every vote; time that was secured once is not taken back."""
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
        """Handle a part of a datagram if it is about a lease that this member knows."""
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
        ):  # the successor has received the completion
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
        """Give way to a higher token: another member holds the lease, or requests it too.

        The first denial may only mean that the number of our token was too low, so the request is repeated with a
        higher one. After a second one two members would go on outbidding each other, each with some of the votes; so
        this one releases its token and requests the lease again a little later.
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
        """The successor has accepted: stop acting, then tell it so."""
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
        """The predecessor has stopped: request the lease at once, without a round of promises."""
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
        """Free all votes for our token, and wait before the lease is requested again."""
        self._send_release(state, state.token, now)
        state.pending_releases = [state.token] * RELEASE_REPEATS
        state.vote.release_owner(self.process_tag)
        # spreads the members' retries without randomness
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
"""The parts of a datagram that are about leases."""
