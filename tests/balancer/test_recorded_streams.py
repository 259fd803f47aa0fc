"""With no limits set, the module decides as it did before there were any: recorded streams, action by action."""

import pytest
from recorded import record

from heronlug.balancer.dispatcher import Dispatcher


@pytest.mark.parametrize("name", record.SITES)
def test_decisions_of_a_recorded_stream(name: str) -> None:
    head, events = record.read(name)
    dispatcher = Dispatcher(record.settings(name), 7)
    answers = [list(dispatcher.handle(now, event)) for now, event in events]
    kinds = [record.ACTIONS[type(action)] for actions in answers for action in actions]
    assert {kind: kinds.count(kind) for kind in sorted(set(kinds))} == head["actions"]
    assert record.digest(answers) == head["digest"]
