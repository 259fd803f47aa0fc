"""Tests which waiting jobs an end releases or fails, also against a reference model on random graphs."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heronlug.scheduling.chains import ChainState, Edge, OnFailure, RequestChains, parse_edges

GRAPH = st.lists(
    st.lists(st.tuples(st.integers(0, 30), st.sampled_from(OnFailure)), max_size=4), min_size=1, max_size=25
)


@given(GRAPH, st.lists(st.tuples(st.integers(0, 24), st.booleans()), max_size=60))
def test_released_and_failed_jobs_match_the_reference_model(
    graph: list[list[tuple[int, OnFailure]]], ends: list[tuple[int, bool]]
) -> None:
    """Failure: a job waits for ever, or starts although a required parent has failed, in some order of ends."""
    chains = RequestChains()
    edges: list[list[tuple[int, OnFailure]]] = []
    state: dict[int, str] = {}  # state by job: ready, waits, served or failed

    def state_by_definition(number: int) -> str:
        """Returns the state of a job that has not started, derived from the states of its parents."""
        for parent, on_failure in edges[number]:
            if state[parent] == "failed" and on_failure is OnFailure.FAIL:
                return "failed"
        all_ended = all(state[parent] in ("served", "failed") for parent, _ in edges[number])
        return "ready" if all_ended else "waits"

    def update_states() -> None:
        changed = True
        while changed:
            changed = False
            for number, previous in list(state.items()):
                if previous == "waits" and state_by_definition(number) != "waits":
                    state[number] = state_by_definition(number)
                    changed = True

    def end(number: int, served: bool) -> None:
        states_before = dict(state)
        state[number] = "served" if served else "failed"
        update_states()
        consequences = chains.request_ended(f"j{number}", served)
        changed = {n: current for n, current in state.items() if current != states_before[n] and n != number}
        assert sorted(consequences.released) == sorted(f"j{n}" for n, current in changed.items() if current == "ready")
        assert sorted(consequences.failed) == sorted(f"j{n}" for n, current in changed.items() if current == "failed")

    pending_ends = list(ends)
    for number, parents in enumerate(graph):
        edges.append([(parent % number, on_failure) for parent, on_failure in parents] if number else [])
        open_edges, ended_edges = [], []
        for parent, on_failure in edges[number]:
            edge = Edge(f"j{parent}", on_failure)
            if state[parent] in ("served", "failed"):
                ended_edges.append((edge, state[parent] == "served"))
            else:
                open_edges.append(edge)
        state[number] = state_by_definition(number)
        added = chains.add(f"j{number}", open_edges, ended_edges)
        assert added.value == state[number]
        if pending_ends and pending_ends[0][0] <= number and state[pending_ends[0][0]] in ("ready", "waits"):
            end(*pending_ends[0])
        pending_ends = pending_ends[1:]
    for number, served in pending_ends:
        if number in state and state[number] in ("ready", "waits"):
            end(number, served)
    assert len(chains) == sum(current == "waits" for current in state.values())


def test_diamond_releases_the_last_job_after_both_sides_end() -> None:
    """Failure: a job with two parents starts after the end of the first parent."""
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


def test_failure_fails_all_descendants_in_a_chain_of_a_thousand_jobs() -> None:
    """Failure: a deep chain exceeds the recursion limit, or descendants of a cancelled job wait for ever."""
    chains = RequestChains()
    chains.add("j0", [], [])
    for number in range(1, 1000):
        chains.add(f"j{number}", [Edge(f"j{number - 1}")], [])
    assert len(chains.request_ended("j500", False).failed) == 499  # j500 is cancelled while waiting
    assert chains.request_ended("j0", False).failed == [f"j{n}" for n in range(1, 500)]
    assert not len(chains)


def test_stricter_of_two_edges_to_one_parent_applies() -> None:
    """Failure: the order of two edges to the same parent decides whether the job fails with the parent."""
    for edges in ([Edge("p", OnFailure.RELEASE), Edge("p")], [Edge("p"), Edge("p", OnFailure.RELEASE)]):
        chains = RequestChains()
        chains.add("c", edges, [])
        assert chains.request_ended("p", False).failed == ["c"]


def test_parse_edges_accepts_jids_and_objects_and_rejects_anything_else() -> None:
    """Failure: an invalid dependency of a pushed job is accepted, or the error does not name the fault."""
    assert parse_edges(None, None) == []
    assert parse_edges(["a", {"jid": "b", "on_failure": "release"}], None) == [Edge("a"), Edge("b", OnFailure.RELEASE)]
    assert parse_edges(["a", {"jid": "b"}], "release") == [Edge("a", OnFailure.RELEASE), Edge("b", OnFailure.RELEASE)]
    invalid: list[tuple[object, object, str]] = [
        ("a", None, "no list"),
        ([1], None, "no jid"),
        (["a"], "stop", "neither"),
        ([{"jid": "a", "on_failure": 1}], None, "neither"),
        (["a"] * 65, None, "64"),
    ]
    for raw_parents, default_on_failure, message in invalid:
        with pytest.raises(ValueError, match=message):
            parse_edges(raw_parents, default_on_failure)
