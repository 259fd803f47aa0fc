"""The cluster in virtual time: ``python benchmarks/cluster.py [--kills N]``.

Takeover times of owners killed at several rates of loss; false suspicions an hour; datagrams and bytes a second,
and CPU for each member at 4 to 200 members. The virtual network of the tests is used, so no socket bounds the size;
its cost is in the CPU figures, which are an upper bound.
"""

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
import numpy as np

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from cluster.virtual import Net  # noqa: E402

LOSSES = (0.0, 0.1, 0.3, 0.5)
SIZES = (4, 16, 48, 200)


def takeover(job: tuple[int, float]) -> float:
    """Milliseconds from a kill of a duty's owner until somebody else acts; four members."""
    seed, loss = job
    net = Net("abcd", seed, loss=loss, duties=["one"])
    net.may_overlap = True  # counted by the tests; here a run is never given up
    for name in net.names:
        net.start(name)
    net.run(8000 + seed % 400)
    victim = net.owner("one")
    if victim is None:
        return float("nan")
    net.kill(victim)
    killed = net.now
    while net.owner("one") is None and net.now - killed < 60_000:
        net.run(10)
    return net.now - killed


def suspicions(job: tuple[int, float]) -> tuple[int, int, float]:
    """Suspicions and deaths of members that live, in how many hours of all members together."""
    seed, loss = job
    net = Net("abcd", seed, loss=loss, duties=["one"])
    net.may_overlap = True
    for name in net.names:
        net.start(name)
    net.run(60_000)
    told = [action for _, _, action in net.log if hasattr(action, "health")]
    dead = sum(action.health.name == "DEAD" for action in told)
    return sum(action.health.name == "SUSPECT" for action in told), dead, 4 / 60


def traffic(size: int) -> tuple[int, float, float, float]:
    """Datagrams and bytes a second for each member, and milliseconds of CPU a second."""
    net = Net([f"m{n:03}" for n in range(size)], 1, loss=0.0)
    net.may_overlap = True
    for name in net.names:
        net.start(name)
    net.run(8000)
    sent, data, start = net.sent, net.bytes, time.process_time()
    span = 10.0 if size < 100 else 4.0
    net.run(span * 1000)
    cpu = (time.process_time() - start) / span / size * 1000
    return size, (net.sent - sent) / span / size, (net.bytes - data) / span / size, cpu


@click.command()
@click.option("--kills", default=500, help="kills at each rate of loss")
def main(kills: int) -> None:
    """Measure and print."""
    with ProcessPoolExecutor() as pool:
        print(f"{'loss':>5} {'takeover p50':>13} {'p99':>7} {'most':>7} ms   suspicions, false deaths an hour a member")
        for loss in LOSSES:
            took = np.array(list(pool.map(takeover, [(seed, loss) for seed in range(kills)], chunksize=8)))
            told = list(pool.map(suspicions, [(seed, loss) for seed in range(16)]))
            hours = sum(each[2] for each in told)
            p50, p99, most = np.nanpercentile(took, [50, 99, 100])
            wrong, dead = (sum(each[n] for each in told) / hours for n in (0, 1))
            print(f"{loss:5.0%} {p50:13.0f} {p99:7.0f} {most:7.0f}      {wrong:10.1f} {dead:10.1f}"
                  f"   ({np.isnan(took).sum()} of {kills} had no owner to kill)")  # fmt: skip
        print(f"\n{'members':>7} {'datagrams/s':>12} {'bytes/s':>9} {'CPU ms/s':>9}   a member, four duties, no loss")
        for size, datagrams, data, cpu in pool.map(traffic, SIZES):
            print(f"{size:7} {datagrams:12.1f} {data:9.0f} {cpu:9.2f}")


if __name__ == "__main__":
    main()
