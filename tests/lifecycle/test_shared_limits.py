"""Tests that the processes of a dispatcher share its limits, and never hold more than the limits together."""

import asyncio
from pathlib import Path
from random import Random
from typing import Any, cast
from unittest.mock import MagicMock

from compatibility.samples import RestartProcess
from compatibility.test_recorded_forms import wait_until

from heronlug.lifecycle.hot_restart.shared_limits import (
    SECOND_PROGRAM_BYTES,
    TRANSIT_DESCRIPTORS,
    Resource,
    SharedLimits,
    room_of_client,
    room_of_request,
)
from heronlug.memory.limits import MB

TOTAL = 100


def make_limits() -> tuple[SharedLimits, Any]:
    """Returns the limits of one process, and the mock of its parts."""
    parts = MagicMock()
    parts.max_connections = parts.max_open = TOTAL
    parts.memory.limit, parts.memory.used, parts.opening = 64 * TOTAL * 1024, 0, 0
    parts.adopting = 0
    parts.requests.open_count, parts.connections, parts.requests.__len__.return_value = 0, [], 0
    return SharedLimits(parts, MagicMock(max_connections=TOTAL, open_count=0), parts, parts), parts


def test_successor_gets_all_room_that_its_predecessor_does_not_need(tmp_path: Path) -> None:
    """Guards against half of the limits for a process whose predecessor has a few connections left."""

    async def test() -> None:
        old, new = RestartProcess(str(tmp_path)), RestartProcess(str(tmp_path))
        busy = MagicMock()
        busy.can_hand_over.return_value = False
        old.application.frontend.connections, old.application.backend.open_count = [busy] * 7, 7
        old.takeover.session.listen()
        await new.takeover.join()
        assert new.application.frontend.max_connections == 0
        new.takeover.session.announce_serving()
        await wait_until(lambda: new.application.frontend.max_connections > 0)
        assert (old.application.frontend.max_connections, new.application.frontend.max_connections) == (7, 93)
        assert old.application.backend.max_connections + new.application.backend.max_connections == TOTAL
        assert old.core.max_open + new.core.max_open == 20_000
        old.close()
        await wait_until(lambda: new.application.frontend.max_connections == TOTAL)
        new.close()

    asyncio.run(test())


def test_processes_never_hold_more_than_the_limits_together() -> None:
    """Guards against room that two processes count as theirs, in a chain of three, whichever of them ends."""
    rng = Random(1)
    for _ in range(300):
        chain = [make_limits() for _ in range(3)]
        for limits, _ in chain[1:]:
            limits.await_room()
        for _ in range(30):
            giver = rng.randrange(2)
            (old, old_parts), (new, _) = chain[giver], chain[giver + 1]
            old_parts.connections = [0] * rng.randrange(20)
            spare = old.unneeded()
            room = rng.choice([spare, room_of_client(0), room_of_request(2, 1000)])
            if all(spare.get(resource, 0) >= amount for resource, amount in room.items()):
                old.give(room)
                new.receive(room)
            assert sum(parts.max_connections for _, parts in chain) <= TOTAL
        if rng.random() < 0.5:
            chain[0][0].successor_ended()
            assert chain[0][1].max_connections == TOTAL
        else:
            chain[1][0].predecessor_ended()
            assert chain[1][1].max_connections + chain[2][1].max_connections == TOTAL


def test_room_that_is_moved_leaves_the_old_process() -> None:
    """Guards against a handed-over request whose body or server connections both processes may use."""
    limits, parts = make_limits()
    limits.give(room_of_request(3, 5000))
    assert parts.max_connections == TOTAL - 1
    assert cast(int, parts.memory.limit) == 64 * TOTAL * 1024 - 5000
    assert limits.unneeded()[Resource.REQUESTS] == TOTAL - 1


def test_window_takes_free_room_only_as_far_as_new_connections_cannot_take_it() -> None:
    """Guards against copies of offered connections that exceed the descriptors once the room is in use."""
    limits, parts = make_limits()
    assert parts.max_connections == TOTAL
    window = limits.transfer_window(has_successor=False)
    assert window == TRANSIT_DESCRIPTORS + limits.kept_free
    assert 0 < limits.kept_free <= TOTAL // 2
    parts.connections = [0] * TOTAL
    assert limits.transfer_window(has_successor=False) == TRANSIT_DESCRIPTORS
    assert limits.kept_free == 0
    parts.connections = []
    assert limits.transfer_window(has_successor=True) == 0
    assert limits.kept_free == 0


def test_second_program_of_an_upgrade_has_its_memory_at_the_expense_of_the_account() -> None:
    """Guards against two processes that together pass a memory limit which each of them keeps."""
    limits, parts = make_limits()
    parts.memory.limit = total = int(24.5 * MB)
    limits = SharedLimits(parts, MagicMock(max_connections=TOTAL, open_count=0), parts, parts)
    parts.memory.used = 20 * MB
    limits.successor_serves()
    assert parts.memory.limit == total - SECOND_PROGRAM_BYTES
    assert parts.memory.relieve.call_args.args[0] == parts.memory.used - parts.memory.limit
    parts.memory.used = MB
    given = limits.unneeded()
    limits.give(given)
    assert given[Resource.BODY_BYTES] + parts.memory.limit == total - SECOND_PROGRAM_BYTES
    limits.successor_ended()
    assert parts.memory.limit == total
