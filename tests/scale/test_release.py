"""Large fleets: each request is answered in its time, whatever happens to the list, at a part of a core."""

import pytest
from end_to_end.harness import START_TIME, run_async

from scale.fleet import RELEASE_STEPS, LargeFleet

SERVERS = 3200  # sixteen times the usual number
STEP_MS = 1000.0  # ms between two steps of a release
REMAINING_MS = 2000  # ms that a client waits


@pytest.mark.parametrize("peers", [True, False], ids=["peers", "apart"])
def test_no_request_is_lost_while_a_large_cold_fleet_is_replaced(peers: bool) -> None:
    """All servers are cold, so requests wait here: to look at all servers for each of them takes all the CPU."""

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
    """Requests wait, and each part of a summary of load has them looked at again: at the cost of that part alone."""

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


@pytest.mark.parametrize("peers", [True, False], ids=["peers", "apart"])
def test_no_request_is_lost_while_retries_wait_for_their_budget(peers: bool) -> None:
    """Attempts fail, and the budget of retries is spent: what waits for it is no reason to look at any server."""

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
