"""Tests that recorded event streams, made before limits existed, give the same actions if no limits are set."""

import pytest
from recorded import record

from heronlug.balancer.dispatcher import Dispatcher


@pytest.mark.parametrize("name", record.SITES)
def test_actions_match_the_recorded_stream(name: str) -> None:
    header, events = record.read(name)
    dispatcher = Dispatcher(record.settings(name), 7)
    action_lists = [list(dispatcher.handle(now, event)) for now, event in events]
    action_names = [record.ACTIONS[type(action)] for actions in action_lists for action in actions]
    assert {kind: action_names.count(kind) for kind in sorted(set(action_names))} == header["actions"]
    assert record.digest(action_lists) == header["digest"]
