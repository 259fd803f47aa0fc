"""Checks the lease protocol by explicit-state search: three members, one lease, every message order up to a bound.

Each state of real :class:`LeaseManager` objects is visited once. Two members may never act, and no vote may be bound
to a token whose owner lacks promises. Two tests break the protocol on purpose, and the check must detect it.
"""

import copy
import os
from collections import deque
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from heronlug.cluster.lease_state import LeaseStage, LeaseVote
from heronlug.cluster.leases import LeaseCallbacks, LeaseManager
from heronlug.cluster.messages import LeaseDenial, LeaseGrant
from heronlug.cluster.model import NO_TOKEN, ClusterTiming
from heronlug.cluster.ownership import tag

NAMES = ("a", "b", "c")
TIMING = ClusterTiming(max_clock_drift=0.0)
LEASE_KEY = tag("duty")
MAX_STATES = int(os.environ.get("CLUSTER_STATES", "15000"))


class ClusterState:
    """The state of three members and of the messages in flight between them."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.preferred = {name: NAMES[0] for name in NAMES}
        self.links: dict[tuple[str, str], tuple[Any, ...]] = {}
        self.restarts = dict.fromkeys(NAMES, 0)
        self.members = {name: self.new_member(name) for name in NAMES}
        for member in self.members.values():
            member.votes_from = 0.0

    def new_member(self, name: str) -> LeaseManager:
        others = {tag(other): other for other in NAMES if other != name}
        callbacks = LeaseCallbacks(
            send=lambda target, part: None,
            notify=lambda event: None,
            quorum=lambda lease, now: others,
            candidates=lambda now: [],
        )
        return LeaseManager(name, 1000 + self.restarts[name], ["duty"], TIMING, callbacks)

    def run_member(self, name: str, action: Any) -> None:
        """Runs an action on a member and puts the messages that the member sends on their links."""
        member = self.members[name]
        sent: list[tuple[str, Any]] = []
        names = {tag(other): other for other in NAMES}
        original_callbacks = member.callbacks
        member.callbacks = replace(
            original_callbacks,
            send=lambda target, part: sent.append((names[target], part)),
            candidates=lambda now: [self.preferred[name]],
        )
        action(member)
        member.callbacks = original_callbacks
        for target, part in sent:
            link = (name, target)
            in_flight = self.links.get(link, ())
            if part not in in_flight and len(in_flight) < 2:  # an equal message in flight has the same effect
                self.links[link] = (*in_flight, part)

    def settle(self) -> None:
        """Delivers all messages until the first member holds the lease, as happens without message loss."""
        for _ in range(2):
            self.run_member("a", lambda member: member.wake(self.now))
            while any(self.links.values()):
                (source, target), parts = next(item for item in self.links.items() if item[1])
                self.links[source, target] = parts[1:]
                self.run_member(
                    target, lambda member, part=parts[0], sender=source: member.receive(tag(sender), part, self.now)
                )
        assert self.owners() == ["a"]

    def key(self) -> Any:
        """Returns a value that is equal for equivalent states: times are relative to now, tokens are absolute."""

        def remaining(when: float) -> float:
            return max(-1.0, when - self.now)

        members = []
        for member in self.members.values():
            lease = member.leases[LEASE_KEY]
            members.append(
                (
                    lease.stage,
                    lease.token,
                    lease.highest_seen,
                    lease.released,
                    remaining(lease.valid_until),
                    remaining(lease.offered_until),
                    lease.successor,
                    lease.was_denied,
                    lease.transfer_messages,
                    tuple(sorted((voter, remaining(until)) for voter, until in lease.granted_until.items())),
                    tuple((remaining(sent), for_promise) for sent, for_promise in list(lease.requests.values())[-2:]),
                    lease.collecting_votes,
                    tuple(sorted((voter, remaining(until)) for voter, until in lease.promised_until.items())),
                    len(lease.pending_releases),
                    remaining(lease.retry_at),
                    lease.vote.promised,
                    remaining(lease.vote.promised_until),
                    lease.vote.token,
                    lease.vote.highest,
                    remaining(lease.vote.until),
                    remaining(member.votes_from),
                )
            )
        links = tuple(sorted((link, tuple(map(repr, parts))) for link, parts in self.links.items() if parts))
        return tuple(members), links, tuple(self.preferred.values()), tuple(self.restarts.values())

    def owners(self) -> list[str]:
        return [name for name, member in self.members.items() if member.may_act(LEASE_KEY, self.now) is not None]

    def early_votes(self) -> list[str]:
        """Returns a description of each vote bound to a member that does not have all promises yet."""
        leases = {name: member.leases[LEASE_KEY] for name, member in self.members.items()}
        collecting = {
            lease.token: name
            for name, lease in leases.items()
            if lease.stage is LeaseStage.REQUESTING and not lease.collecting_votes and lease.released == NO_TOKEN
        }
        votes = [lease.vote for lease in leases.values()]
        return [
            f"{collecting[vote.token]} got a vote before all promises"
            for vote in votes
            if vote.token in collecting and vote.until > self.now
        ]

    def successors(self) -> Iterator["ClusterState"]:
        """Yields the states one step away.

        In a step, one of two members wakes, or the first message of a link is lost, arrives, or arrives and its answer
        arrives too, or half a lease duration passes, or the preferred owner changes for two members, or one member
        restarts.
        """
        for name in NAMES[:2]:
            state = copy.deepcopy(self)
            for lease in state.members[name].leases.values():
                lease.next_action_at = state.now
            state.run_member(name, lambda member, now=state.now: member.wake(now))
            yield state
        for link, parts in self.links.items():
            # 2: the message and its answer arrive, 1: only the message arrives, 0: the message is lost.
            for delivered_messages in (2, 1, 0) if parts else ():
                state = copy.deepcopy(self)
                state.links[link] = parts[1:]
                source, target = link
                if delivered_messages:
                    state.run_member(
                        target,
                        lambda member, part=parts[0], sender=source, state=state: member.receive(
                            tag(sender), part, state.now
                        ),
                    )
                answer = state.links.get((target, source), ())
                if delivered_messages == 2 and len(answer) == 1 and not self.links.get((target, source)):
                    state.links[target, source] = ()
                    state.run_member(
                        source,
                        lambda member, part=answer[0], sender=target, state=state: member.receive(
                            tag(sender), part, state.now
                        ),
                    )
                yield state
        state = copy.deepcopy(self)
        state.now += TIMING.lease_duration / 2
        yield state
        if self.preferred["b"] == "a":
            state = copy.deepcopy(self)
            state.preferred = dict.fromkeys(NAMES, "b") | {"a": "a"}  # the members disagree on the preferred owner
            yield state
        if sum(self.restarts.values()) < 1:
            state = copy.deepcopy(self)
            state.restarts["c"] += 1
            state.members["c"] = state.new_member("c")
            state.members["c"].votes_from = state.now + TIMING.lease_duration
            yield state


def explore_states(max_states: int) -> tuple[int, list[str]]:
    """Visits up to ``max_states`` states, fewest steps first, until a step violates an invariant.

    Returns:
        The number of states visited and the violations found.
    """
    initial = ClusterState()
    initial.settle()
    visited, queue, violations = {initial.key()}, deque([initial]), []
    while queue and len(visited) < max_states:
        for state in queue.popleft().successors():
            key = state.key()
            if key in visited:
                continue
            visited.add(key)
            queue.append(state)
            if len(state.owners()) > 1:
                violations.append(str(state.owners()))
            violations += state.early_votes()
            if violations:
                return len(visited), violations
    return len(visited), violations


def test_no_state_has_two_holders() -> None:
    """Guards against an order of events in which two members hold the lease, or a vote is bound before all promises."""
    state_count, violations = explore_states(MAX_STATES)
    print(f"{state_count} states visited")
    assert state_count >= MAX_STATES
    assert not violations


def test_check_finds_a_vote_granted_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    """Breaks the protocol: quorum members grant every request, although an earlier vote has not expired."""

    def grant_every_request(
        self: LeaseVote, request: Any, now: float, lease_duration: float, renewals_only: bool
    ) -> LeaseGrant | LeaseDenial:
        self.token, self.until = request.token, now + lease_duration
        return LeaseGrant(request.lease, request.token, request.request_id)

    monkeypatch.setattr(LeaseVote, "decide", grant_every_request)
    # This change violates both invariants; the other one is switched off, so that the search finds the two holders.
    monkeypatch.setattr(ClusterState, "early_votes", lambda self: [])
    _, violations = explore_states(MAX_STATES * 2)
    assert violations == ["['a', 'b']"]


def test_check_finds_votes_granted_before_all_promises(monkeypatch: pytest.MonkeyPatch) -> None:
    """Breaks the protocol as in an earlier version, in which requests for promises bound votes.

    Two members that requested a lease with different views then left it without an owner for 8 s and 10 s.
    """
    decide = LeaseVote.decide

    def decide_without_promises(
        self: LeaseVote, request: Any, now: float, lease_duration: float, renewals_only: bool
    ) -> LeaseGrant | LeaseDenial:
        if request.released.owner == 0:
            request = request._replace(released=NO_TOKEN)
        return decide(self, request, now, lease_duration, renewals_only)

    monkeypatch.setattr(LeaseVote, "decide", decide_without_promises)
    _, violations = explore_states(MAX_STATES)
    assert violations
    assert violations[0].endswith("got a vote before all promises")
