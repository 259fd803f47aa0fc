"""Leases of duties: who may act, under which fencing number, and how a duty is handed over.

A lease is granted by the owner itself and by its voters: the first in the duty's rank, some number of them, of all
members that it does not hold dead. A voter has
granted a duty to one owner at a time, until its own clock has run ``lease`` past the grant; the owner counts from
when it asked and stops ``2 * drift`` earlier, so it never acts when a voter's grant has run out. Hence two may act at
once only where neither has a voter in common with the other: each holds the other dead, and everybody who voted for
it. That is a partition, or a member that all others hold dead and that holds all others dead; both act under
different fences, and after the first datagram between them the one with the lower fence stops.

Nobody's vote is bound before all voters are known to give theirs (as in Paxos, Lamport 1998, a round of promises comes
first): who has no predecessor that has let go asks for promises. A promise binds nobody for long, and gives way to a
higher fence; a vote is bound for a lease. Without that, two that ask with different views each bind a part of the
votes, and the one that gives way leaves them bound, for a lease each time its word of that is lost.
"""

from collections.abc import Callable
from enum import Enum
from math import inf

from xxhash import xxh32_intdigest

from heronlug.cluster.codec import (
    LeaseDenial,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    Part,
    TransferAcceptance,
    TransferCompletion,
    TransferOffer,
)
from heronlug.cluster.model import NO_TOKEN, ClusterTiming, FencingToken, LeaseGained, LeaseLost
from heronlug.cluster.ownership import preferred_owner, tag

MAX_TRANSFER_TRIES = 12  # offers, and farewells, before one lets go without an answer
MAX_OPEN_REQUESTS = 32  # requests remembered
PROMISE_FRACTION = 0.25  # of a lease: so long a promise is kept
RELEASE_REPEATS = 3  # times that a vote is freed again after the first: the word of it may be lost


def unowned(fence: FencingToken) -> FencingToken:
    """What a request that only wants a promise has in place of a fence that was freed."""
    return FencingToken(fence.number, 0)


class LeaseStage(Enum):
    """Where one member stands with a duty."""

    IDLE = "idle"
    ASKING = "asking"
    HOLDING = "holding"
    OFFERING = "offering"  # holding, and somebody else should
    PASSED = "passed"  # stopped for somebody who has accepted


class LeaseVote:
    """What this member has granted of a duty."""

    __slots__ = ("fence", "highest", "promised", "promised_until", "until")

    def __init__(self) -> None:
        self.fence, self.highest, self.until = NO_TOKEN, NO_TOKEN, -inf
        self.promised, self.promised_until = NO_TOKEN, -inf


class LeaseState:
    """One duty as one member sees it."""

    __slots__ = (
        "asked",
        "fence",
        "freed",
        "frees",
        "gained",
        "granted",
        "heir",
        "key",
        "name",
        "next",
        "promised",
        "promises",
        "rest",
        "seen",
        "stage",
        "taking",
        "tries",
        "until",
        "vote",
    )

    def __init__(self, name: str) -> None:
        self.name, self.key = name, tag(name)
        self.stage = LeaseStage.IDLE
        self.vote = LeaseVote()
        self.fence = NO_TOKEN  # ours
        self.seen = NO_TOKEN  # the highest that others have told; what our own vote has granted is another matter
        self.until = -inf  # so long we may act
        self.granted: dict[int, float] = {}  # by voter: until when, by our clock
        self.asked: dict[int, tuple[float, bool]] = {}  # when we sent which request; whether for a promise
        self.promises: dict[int, float] = {}  # by voter: until when, by our clock
        self.taking = False  # all have promised: now they are asked for their votes
        self.frees: list[FencingToken] = []  # what to tell the voters again that we have let go of
        self.rest = -inf  # so long we ask for nothing
        self.freed = NO_TOKEN  # whose owner has let go of it for us
        self.promised = -inf  # so long we ask for it, for somebody hands it to us
        self.heir = 0  # whom we hand it to
        self.next = -inf  # when to send something again
        self.tries = 0
        self.gained = 0  # times that it has come to us


class LeaseManager:
    """All duties of one member."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        duties: list[str],
        terms: ClusterTiming,
        send: Callable[[int, Part], None],
        told: Callable[[LeaseGained | LeaseLost], None],
        voters: Callable[[str, float], dict[int, str]],
        candidates: Callable[[float], list[str]],
    ) -> None:
        """``voters`` of a duty are others by tag, ``candidates`` the names of those that may own, perhaps us too."""
        self.name, self.tag, self.terms = name, tag(name), terms
        self.life = tag(f"{name}\0{incarnation}")  # of this process: a restart never repeats a fence
        self.duties = {duty.key: duty for duty in map(LeaseState, duties)}
        self.leaving = False
        self.votes_from = inf  # set once it is known when we began
        self.conflicts = 0  # times that we stopped for a higher fence
        self._floor = incarnation
        self._number = 0
        self._send, self._told, self._voters, self._candidates = send, told, voters, candidates
        self._span = terms.lease * (1 - 2 * terms.drift)

    # -- what is known

    def may_act(self, key: int, now: float) -> FencingToken | None:
        """Our fence while the lease holds; to be asked again before each step that matters."""
        duty = self.duties[key]
        return duty.fence if duty.stage in (LeaseStage.HOLDING, LeaseStage.OFFERING) and now < duty.until else None

    def next(self) -> float:
        """When there is something to do."""
        return min((d.next for d in self.duties.values()), default=inf)

    def idle(self) -> bool:
        """Whether we own nothing and owe nobody an answer."""
        return all(duty.stage in (LeaseStage.IDLE, LeaseStage.ASKING) for duty in self.duties.values())

    # -- time

    def wake(self, now: float) -> None:
        """Do what is due."""
        candidates: list[str] | None = None
        for duty in self.duties.values():
            self._lapse(duty, now)
            if duty.next <= now:
                candidates = self._candidates(now) if candidates is None else candidates
                self._step(duty, candidates, now)

    def _lapse(self, duty: LeaseState, now: float) -> None:
        if duty.stage in (LeaseStage.HOLDING, LeaseStage.OFFERING) and now >= duty.until:
            self._stop(duty, LeaseStage.IDLE, "lease over")

    def _step(self, duty: LeaseState, candidates: list[str], now: float) -> None:
        """What one member does about a duty, by its stage."""
        heir = preferred_owner(duty.name, candidates)
        ours = not self.leaving and (heir == self.name or now < duty.promised)
        duty.next = now + self.terms.ask_every
        if duty.frees:
            self._free(duty, duty.frees.pop(), now)
        if duty.stage is LeaseStage.IDLE and ours and (now >= duty.rest or now < duty.promised):
            duty.stage, duty.tries = LeaseStage.ASKING, 0
            self._new_fence(duty)
        elif duty.stage is LeaseStage.ASKING and not ours:
            self._let_go(duty, now)
            duty.stage = LeaseStage.IDLE
        elif duty.stage is LeaseStage.HOLDING and not ours and heir:
            duty.stage, duty.heir, duty.tries = LeaseStage.OFFERING, tag(heir), 0
        elif duty.stage is LeaseStage.OFFERING and (ours or tag(heir) != duty.heir):
            duty.stage = LeaseStage.HOLDING
        if duty.stage is LeaseStage.ASKING:
            self._ask(duty, self._voters(duty.name, now), now)
        elif duty.stage is LeaseStage.HOLDING or duty.stage is LeaseStage.OFFERING:
            voters = self._voters(duty.name, now)
            if self._secured(duty.granted, voters) - now < self._renewal():
                self._ask(duty, voters, now)
            if duty.stage is LeaseStage.OFFERING:
                duty.tries += 1
                self._send(duty.heir, TransferOffer(duty.key, duty.fence))
                if self.leaving and duty.tries > MAX_TRANSFER_TRIES:
                    self._stop(duty, LeaseStage.IDLE, "left without an heir")
        elif duty.stage is LeaseStage.PASSED:
            duty.tries += 1
            if duty.tries > MAX_TRANSFER_TRIES or now >= duty.until:
                duty.stage = LeaseStage.IDLE
            else:
                self._send(duty.heir, TransferCompletion(duty.key, duty.fence))

    def _secured(self, given: dict[int, float], voters: dict[int, str]) -> float:
        """How long what every voter has given holds, our own with them."""
        return min(given.get(voter, -inf) for voter in [*voters, self.tag])

    def _given(self, duty: LeaseState, sounding: bool) -> tuple[dict[int, float], float]:
        """What is given for a request, promises or votes, and how long that holds from when it was sent."""
        return (duty.promises, self._span * PROMISE_FRACTION) if sounding else (duty.granted, self._span)

    def _renewal(self) -> float:
        """With less left than this, a lease is renewed."""
        return self.terms.lease * (1 - self.terms.renew_at)

    def _new_fence(self, duty: LeaseState) -> None:
        number = max(duty.vote.highest.number, duty.seen.number, duty.fence.number, self._floor) + 1
        duty.fence = FencingToken(number, self.life)
        duty.granted.clear()
        duty.promises.clear()
        duty.asked.clear()
        duty.taking = False

    def _ask(self, duty: LeaseState, voters: dict[int, str], now: float) -> None:
        """Ask those whose grant runs out first; our own vote is given like any other."""
        holding = duty.stage is not LeaseStage.ASKING and now < duty.until
        sounding = duty.stage is LeaseStage.ASKING and duty.freed == NO_TOKEN and not duty.taking
        freed = duty.fence if holding else unowned(duty.fence) if sounding else duty.freed
        self._number = (self._number + 1) & 0xFFFFFFFF
        duty.asked[self._number] = now, sounding
        for number in list(duty.asked)[:-MAX_OPEN_REQUESTS]:
            del duty.asked[number]
        ask = LeaseRequest(duty.key, duty.fence, self._number, freed)
        answer = self._vote(duty, ask, now)
        if isinstance(answer, LeaseDenial):
            self._denied(duty, answer, now)
            return
        given, span = self._given(duty, sounding)
        enough = span / 2 if sounding else self._renewal()
        given[self.tag] = now + span
        for voter in voters:
            if given.get(voter, -inf) - now < enough:
                self._send(voter, ask)
        if sounding:
            self._take(duty, voters, now)
        else:
            self._reckon(duty, voters, now)

    def _take(self, duty: LeaseState, voters: dict[int, str], now: float) -> None:
        """All have promised: they are asked for their votes."""
        if self._secured(duty.promises, voters) > now:
            duty.taking = True
            self._ask(duty, voters, now)

    def _reckon(self, duty: LeaseState, voters: dict[int, str], now: float) -> None:
        """A lease holds as long as every voter's grant; what was secured once stays so."""
        until = self._secured(duty.granted, voters)
        if until <= now:
            return
        duty.until = max(duty.until, until)
        if duty.stage is LeaseStage.ASKING:
            cause = "handed over" if duty.freed != NO_TOKEN else "taken over"
            duty.stage, duty.freed, duty.promised = LeaseStage.HOLDING, NO_TOKEN, -inf
            duty.gained += 1
            self._told(LeaseGained(duty.name, duty.fence, cause))

    def _stop(self, duty: LeaseState, stage: LeaseStage, cause: str) -> None:
        duty.stage = stage
        if stage is LeaseStage.IDLE:
            duty.until = -inf
            duty.granted.clear()
        self._told(LeaseLost(duty.name, duty.fence, cause))

    # -- datagrams

    def heard(self, sender: int, part: Part, now: float) -> None:
        """A part that has to do with a duty."""
        if not isinstance(
            part,
            LeaseRequest
            | LeaseGrant
            | LeaseDenial
            | TransferOffer
            | TransferAcceptance
            | TransferCompletion
            | LeaseRelease,
        ):
            return
        duty = self.duties.get(part.duty)
        if duty is None:
            return
        self._lapse(duty, now)
        if isinstance(part, LeaseRequest):
            if duty.stage is LeaseStage.PASSED and part.fence > duty.fence and sender == duty.heir:
                duty.stage, duty.next = LeaseStage.IDLE, now + self.terms.lease  # our farewell has come through
            self._send(sender, self._vote(duty, part, now))
        elif isinstance(part, LeaseGrant) and part.fence == duty.fence and part.number in duty.asked:
            asked, sounding = duty.asked[part.number]
            given, span = self._given(duty, sounding)
            given[sender] = max(asked + span, given.get(sender, -inf))
            if sounding and duty.stage is LeaseStage.ASKING and not duty.taking:
                self._take(duty, self._voters(duty.name, now), now)
            elif duty.stage in (LeaseStage.ASKING, LeaseStage.HOLDING, LeaseStage.OFFERING):
                self._reckon(duty, self._voters(duty.name, now), now)
        elif isinstance(part, LeaseDenial) and part.number in duty.asked:
            self._denied(duty, part, now)
        elif isinstance(part, TransferOffer) and not self.leaving:
            self._send(sender, TransferAcceptance(duty.key, part.fence))
        elif isinstance(part, TransferAcceptance) and duty.stage is LeaseStage.OFFERING:
            if part.fence == duty.fence and sender == duty.heir:
                self._let_go(duty, now)
                duty.tries, duty.next = 0, now
                self._stop(duty, LeaseStage.PASSED, "handed over")
                self._send(duty.heir, TransferCompletion(duty.key, duty.fence))
        elif isinstance(part, LeaseRelease):
            if part.fence == duty.vote.fence:
                duty.vote.until = -inf
            if part.fence == duty.vote.promised:
                duty.vote.promised_until = -inf
        elif (
            isinstance(part, TransferCompletion)
            and not self.leaving
            and duty.stage in (LeaseStage.IDLE, LeaseStage.ASKING)
        ):
            if part.fence >= duty.vote.highest or part.fence == duty.vote.fence:
                duty.freed, duty.promised, duty.next = part.fence, now + self.terms.lease, now

    def _vote(self, duty: LeaseState, ask: LeaseRequest, now: float) -> LeaseGrant | LeaseDenial:
        """Grant one owner at a time, and never a fence below what has been granted."""
        vote = duty.vote
        if now < self.votes_from and ask.freed != ask.fence:
            # what the process before us has granted is not known here: until that has run out, only those that
            # hold a lease already, and say so by their own fence, may go on
            return LeaseDenial(duty.key, vote.highest, ask.number)
        if ask.fence != vote.fence:
            free = now >= vote.until or (ask.freed == vote.fence != NO_TOKEN)
            free = free or ask.fence.owner == vote.fence.owner  # it asks anew, and acts no more under the one before
            if not free or ask.fence <= vote.highest:
                return LeaseDenial(duty.key, vote.highest, ask.number)
            if now < vote.promised_until and ask.fence < vote.promised:
                return LeaseDenial(duty.key, vote.promised, ask.number)
        if ask.freed == unowned(ask.fence):  # a promise is all that it wants
            vote.promised, vote.promised_until = ask.fence, now + self.terms.lease * PROMISE_FRACTION
            return LeaseGrant(duty.key, ask.fence, ask.number)
        vote.fence, vote.until = ask.fence, now + self.terms.lease
        vote.highest = max(vote.highest, ask.fence)
        return LeaseGrant(duty.key, ask.fence, ask.number)

    def _denied(self, duty: LeaseState, deny: LeaseDenial, now: float) -> None:
        """Somebody else has it, or asks for it too; with a higher fence than ours we give way.

        The first time that may only mean that our number was too low: ask with one above.  After that two would go on
        raising each other's, each with a part of the votes: free ours, and ask again a little later.
        """
        duty.seen = max(duty.seen, deny.held)
        if deny.held <= duty.fence:
            return
        if duty.stage in (LeaseStage.HOLDING, LeaseStage.OFFERING):
            self.conflicts += 1
            self._let_go(duty, now)
            self._stop(duty, LeaseStage.IDLE, "higher fence seen")
        elif duty.stage is LeaseStage.ASKING and not duty.tries:
            duty.tries = 1
            if duty.taking:
                self._free(duty, duty.fence, now)
            self._new_fence(duty)
        elif duty.stage is LeaseStage.ASKING:
            self._let_go(duty, now)
            duty.stage = LeaseStage.IDLE

    def _let_go(self, duty: LeaseState, now: float) -> None:
        self._free(duty, duty.fence, now)
        duty.frees = [duty.fence] * RELEASE_REPEATS
        if duty.vote.fence.owner == self.life:  # also one under an earlier fence of ours: we act under none now
            duty.vote.until = -inf
        if duty.vote.promised.owner == self.life:
            duty.vote.promised_until = -inf
        # not all at the same time, and without randomness of our own
        share = xxh32_intdigest(f"{self.name}{duty.fence.number}".encode()) / 2**32
        duty.rest = now + self.terms.lease * (0.4 + 0.4 * share)
        duty.next = now + self.terms.ask_every

    def _free(self, duty: LeaseState, fence: FencingToken, now: float) -> None:
        """Votes for it are free; the word of that may be lost."""
        for voter in self._voters(duty.name, now):
            self._send(voter, LeaseRelease(duty.key, fence))
