"""Tests that each request is answered in time in a large fleet, with a dispatcher on a part of a core."""

from functools import partial

import pytest
from end_to_end.harness import START_TIME, run_async

from scale.fleet import RELEASE_STEPS, LargeFleet

SERVERS = 3200  # 16 times the usual number
STEP_MS = 1000.0  # time between two steps of a release
REMAINING_MS = 2000  # time that a client waits for its answer


@pytest.mark.parametrize("peers", [True, False], ids=["peers", "no-peers"])
def test_no_request_is_lost_while_a_large_cold_fleet_is_replaced(peers: bool) -> None:
    """Fails if a release of a large fleet of warming servers makes requests miss their time.

    Requests are queued because every server warms up; examining all servers for each request would use all the CPU.
    """

    async def test() -> None:
        harness = LargeFleet(SERVERS, peers=peers, started=START_TIME - 1)
        async with harness.open():
            clients = await harness.clients(40)
            harness.release(STEP_MS)
            if peers:
                harness.summarize(0)
            harness.ask_in_turn(clients, 25.0, int((RELEASE_STEPS + 2) * STEP_MS / 25.0), REMAINING_MS)
            await harness.run_until((RELEASE_STEPS + 2) * STEP_MS + REMAINING_MS + 1000)
            assert len(harness.client_requests) > 100
            assert harness.lost() == []
            assert harness.sent_to_draining() == []
        harness.close()

    run_async(test)


def test_no_request_is_lost_while_a_large_fleet_reports_full_load() -> None:
    """Fails if queued requests miss their time while load summaries report that all servers are full.

    Each part of a summary makes the queue check its requests again; the check may cost no more than that part.
    """

    async def test() -> None:
        harness = LargeFleet(SERVERS, peers=True)
        async with harness.open():
            clients = await harness.clients(20)
            harness.summarize(8)
            await harness.run_until(500)
            harness.ask_in_turn(clients, 100.0, 100, REMAINING_MS)
            await harness.run_until(15_000)
            assert len(harness.client_requests) > 20
            assert harness.lost() == []
        harness.close()

    run_async(test)


@pytest.mark.parametrize("peers", [True, False], ids=["peers", "no-peers"])
def test_no_request_is_lost_while_retries_wait_for_their_budget(peers: bool) -> None:
    """Fails if requests miss their time while failed attempts have used up the retry budget.

    A request that waits for a token must not cause any server to be examined.
    """

    async def test() -> None:
        harness = LargeFleet(SERVERS, peers=peers)
        harness.reject_all = True
        async with harness.open():
            clients = await harness.clients(60)
            harness.ask_in_turn(clients, 25.0, 200, REMAINING_MS)
            await harness.run_until(9_000)
            assert len(harness.client_requests) > 60
            assert harness.lost() == []
        harness.close()

    run_async(test)


def test_request_that_is_asked_late_is_judged_by_its_own_time() -> None:
    """Fails if a play that falls behind ends before the time of its last request, and counts that request as lost."""

    async def test() -> None:
        harness = LargeFleet(SERVERS // 16, peers=False)
        async with harness.open():
            clients = await harness.clients(2)
            harness.at(START_TIME + 999, partial(harness.stall, 2500.0))
            harness.at(START_TIME + 1000, partial(harness.ask_in_turn, clients, 25.0, 2, REMAINING_MS))
            await harness.run_until(4000)
            assert len(harness.client_requests) == 2
            assert harness.lost() == []
        harness.close()

    run_async(test)
