"""Tests the emulator against queueing theory: M/M/1, M/M/c, M/G/1, the power of two choices and Little's law.

Bounds are confidence intervals of batch means (99.9%) from fixed seeds.
"""

from math import factorial, sqrt

import numpy as np
import pytest
from numpy.typing import NDArray
from scipy import stats

from emulator.fleets import scenario
from heronlug.emulator.draws import Draws, stream
from heronlug.emulator.servers import EmulatedServer, Execution, ExecutionState, ServerKind, WarmupModel
from heronlug.emulator.timeline import Timeline
from heronlug.emulator.world import World

REQUESTS, BATCHES = 40_000, 30


def waiting_times(slots: int, rate: float, work: object, seed: int) -> NDArray[np.float64]:
    """Returns waiting times in ms at one server, without the first tenth of the requests."""
    timeline, waits_ms = Timeline(), []
    server = EmulatedServer("h", ServerKind("k", slots, queue_length=10**9), 0, timeline, WarmupModel())
    gaps = Draws(stats.expon(scale=1 / rate), stream(seed, "gaps"))
    work_draws = Draws(work, stream(seed, "works"))

    def record_wait(execution: Execution, state: ExecutionState) -> None:
        if state is ExecutionState.STARTED:
            waits_ms.append(execution.started_at - execution.arrived_at)

    def arrive(left: int) -> None:
        server.accept(Execution(None, work_draws.next(), 1.0, 1.0, record_wait))
        if left:
            timeline.schedule_after(gaps.next(), arrive, left - 1)

    arrive(REQUESTS)
    timeline.run(1e12)
    assert len(waits_ms) == REQUESTS + 1
    assert server.occupied_slots == 0
    return np.array(waits_ms[REQUESTS // 10 :])


def assert_mean_within_confidence(values: NDArray[np.float64], expected: float) -> None:
    """Asserts that the confidence interval of the mean contains the expected mean and is not too wide to be useful."""
    means = np.array([batch.mean() for batch in np.array_split(values, BATCHES)])
    half_width = stats.t.ppf(0.9995, BATCHES - 1) * means.std(ddof=1) / sqrt(BATCHES)
    assert half_width < 0.5 * expected
    assert (
        abs(means.mean() - expected) <= half_width
    ), f"{means.mean():.2f} +- {half_width:.2f}, {expected:.2f} was expected"


def erlang_c(slots: int, load: float) -> float:
    """Returns the probability that a request has to wait (Erlang 1917)."""
    all_busy = load**slots / factorial(slots) * slots / (slots - load)
    return all_busy / (sum(load**n / factorial(n) for n in range(slots)) + all_busy)


@pytest.mark.parametrize(("slots", "utilization"), [(1, 0.5), (1, 0.8), (4, 0.8), (16, 0.85)])
def test_mean_wait_of_m_m_c_follows_erlang_c(slots: int, utilization: float) -> None:
    """Errors in the queue or in the slots of the emulated server would shift the mean wait from Erlang's formula."""
    mean = 100.0
    rate = utilization * slots / mean
    expected = erlang_c(slots, utilization * slots) * mean / (slots * (1 - utilization))
    assert_mean_within_confidence(waiting_times(slots, rate, stats.expon(scale=mean), seed=slots), expected)


@pytest.mark.parametrize("work", [stats.lognorm(0.8, scale=80.0), stats.gamma(0.7, scale=120.0), 100.0])
def test_mean_wait_of_m_g_1_follows_pollaczek_khinchine(work: object) -> None:
    """Errors in the draws of work would shift the mean wait from the formula of Pollaczek and Khinchine."""
    mean, variance = (work, 0.0) if isinstance(work, float) else work.stats("mv")  # type: ignore[attr-defined]
    utilization = 0.7
    rate = utilization / float(mean)
    expected = rate * (float(variance) + float(mean) ** 2) / (2 * (1 - utilization))
    assert_mean_within_confidence(waiting_times(1, rate, work, seed=3), expected)


def queue_length_shares(policy: str, utilization: float, server_count: int = 80) -> list[float]:
    """Returns the shares of single-slot servers with at least 1, 2, 3 and 4 requests, averaged over time."""
    rate = utilization * server_count / 0.1
    text = f"""
name = "queues"
span_s = 40
policy = "{policy}"
[dispatchers]
count = 1
attempts_cap = 1
[network]
inside_ms = 0.001
sigma = 0.0
[register]
lag_ms = 0.0
[safety]
tip_multiple = 100.0
[[kind]]
name = "k"
slots = 1
queue = 10000
[[pool]]
kind = "k"
count = {server_count}
[[class]]
name = "c"
effect = "repeatable"
aim_ms = 100
deadline_ms = 100000
work = {{dist = "expon", scale = 100.0}}
[[arrivals]]
class = "c"
rate = {rate}
"""
    from heronlug.config.strict_toml import Source
    from heronlug.emulator.scenario import parse

    world = World(parse(Source.parse("queues.toml", text.encode())))
    counts = np.zeros(4)

    def sample(left: int) -> None:
        inside = np.array([server.occupied_slots for server in world.servers.values()])
        counts[:] += [(inside >= level).mean() for level in (1, 2, 3, 4)]
        if left:
            world.timeline.schedule_after(100.0, sample, left - 1)

    world.timeline.schedule_at(10_000.0, sample, 299)
    world.run()
    return [float(share) for share in counts / 300]


def test_queue_lengths_of_two_choices_lie_between_random_and_shortest_queue() -> None:
    """Policies whose choice is not the one that they are named after would show in their queue lengths.

    With two choices and many servers, the share of queues of length k or more is utilization^(2^k - 1) (Mitzenmacher
    2001).
    """
    utilization = 0.8
    two = queue_length_shares("two-choices", utilization)
    assert two[0] == pytest.approx(utilization, rel=0.04)
    assert two[1:3] == pytest.approx([two[0] ** 3, two[0] ** 7], rel=0.1)
    random, shortest = queue_length_shares("random", utilization), queue_length_shares("shortest-queue", utilization)
    # each server is an M/M/1 queue
    assert random[:3] == pytest.approx([utilization, utilization**2, utilization**3], rel=0.08)
    # hardly any request waits in the shortest queue at this utilization
    assert shortest[1] < 0.2 * two[1] < 0.2 * random[1]


@pytest.mark.parametrize("seed", range(3))
def test_littles_law_holds_for_each_run(seed: int) -> None:
    """Requests that the emulator loses or ends twice would make the two sides of the law differ."""
    figures = World(scenario(), seed).run()
    mean_open_requests, rate_times_stay = figures.littles_law
    assert mean_open_requests == pytest.approx(rate_times_stay, rel=1e-9)
    assert 5 < mean_open_requests < 200
