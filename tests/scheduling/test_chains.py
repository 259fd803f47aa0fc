"""Chains against a plain model: what is released and failed, whatever the graph and the order of ends."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heronlug.scheduling.chains import ChainState, Edge, OnFailure, RequestChains, parse_edges

GRAPH = st.lists(
    st.lists(st.tuples(st.integers(0, 30), st.sampled_from(OnFailure)), max_size=4), min_size=1, max_size=25
)


@given(GRAPH, st.lists(st.tuples(st.integers(0, 24), st.booleans()), max_size=60))
def test_what_follows_from_ends_is_what_a_plain_look_at_the_graph_gives(
    graph: list[list[tuple[int, OnFailure]]], ends: list[tuple[int, bool]]
) -> None:
    chains = RequestChains()
    edges: list[list[tuple[int, OnFailure]]] = []
    state: dict[int, str] = {}  # ready, waits, served, failed

    def outcome(number: int) -> str:
        """By the definition alone, from the states of its parents."""
        for parent, how in edges[number]:
            if state[parent] == "failed" and how is OnFailure.FAIL:
                return "failed"
        met = all(state[parent] in ("served", "failed") for parent, _ in edges[number])
        return "ready" if met else "waits"

    def settle() -> None:
        changed = True
        while changed:
            changed = False
            for number, was in list(state.items()):
                if was == "waits" and outcome(number) != "waits":
                    state[number] = outcome(number)
                    changed = True

    def end(number: int, served: bool) -> None:
        before = dict(state)
        state[number] = "served" if served else "failed"
        settle()
        found = chains.request_ended(f"j{number}", served)
        changed = {n: now for n, now in state.items() if now != before[n] and n != number}
        assert sorted(found.released) == sorted(f"j{n}" for n, now in changed.items() if now == "ready")
        assert sorted(found.failed) == sorted(f"j{n}" for n, now in changed.items() if now == "failed")

    queue = list(ends)
    for number, wanted in enumerate(graph):
        edges.append([(parent % number, how) for parent, how in wanted] if number else [])
        open_, over = [], []
        for parent, how in edges[number]:
            edge = Edge(f"j{parent}", how)
            if state[parent] in ("served", "failed"):
                over.append((edge, state[parent] == "served"))
            else:
                open_.append(edge)
        state[number] = outcome(number)
        start = chains.add(f"j{number}", open_, over)
        assert start.value == state[number]
        if queue and queue[0][0] <= number and state[queue[0][0]] in ("ready", "waits"):
            end(*queue[0])
        queue = queue[1:]
    for number, served in queue:
        if number in state and state[number] in ("ready", "waits"):
            end(number, served)
    assert len(chains) == sum(now == "waits" for now in state.values())


def test_a_diamond() -> None:
    chains = RequestChains()
    assert chains.add("top", [], []) is ChainState.READY
    for side in ("left", "right"):
        assert chains.add(side, [Edge("top")], []) is ChainState.WAITS
    assert chains.add("bottom", [Edge("left"), Edge("right", OnFailure.RELEASE)], []) is ChainState.WAITS
    assert chains.request_ended("top", True).released == ["left", "right"]
    assert chains.request_ended("right", False) == ([], [])
    assert chains.parents("bottom") == ["left"]
    assert chains.request_ended("left", True).released == ["bottom"]
    assert not len(chains)


def test_a_chain_a_thousand_deep_fails_at_once_and_one_that_is_cancelled_fails_what_follows() -> None:
    chains = RequestChains()
    chains.add("j0", [], [])
    for number in range(1, 1000):
        chains.add(f"j{number}", [Edge(f"j{number - 1}")], [])
    assert len(chains.request_ended("j500", False).failed) == 499  # cancelled while it waited
    assert chains.request_ended("j0", False).failed == [f"j{n}" for n in range(1, 500)]
    assert not len(chains)


def test_of_two_edges_to_one_parent_the_stricter_holds() -> None:
    for edges in ([Edge("p", OnFailure.RELEASE), Edge("p")], [Edge("p"), Edge("p", OnFailure.RELEASE)]):
        chains = RequestChains()
        chains.add("c", edges, [])
        assert chains.request_ended("p", False).failed == ["c"]


def test_edges_as_they_are_given() -> None:
    assert parse_edges(None, None) == []
    assert parse_edges(["a", {"jid": "b", "on_failure": "release"}], None) == [Edge("a"), Edge("b", OnFailure.RELEASE)]
    assert parse_edges(["a", {"jid": "b"}], "release") == [Edge("a", OnFailure.RELEASE), Edge("b", OnFailure.RELEASE)]
    broken: list[tuple[object, object, str]] = [
        ("a", None, "no list"),
        ([1], None, "no jid"),
        (["a"], "stop", "neither"),
        ([{"jid": "a", "on_failure": 1}], None, "neither"),
        (["a"] * 65, None, "64"),
    ]
    for given_, default, why in broken:
        with pytest.raises(ValueError, match=why):
            parse_edges(given_, default)
