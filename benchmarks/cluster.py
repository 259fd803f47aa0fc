"""The cluster in virtual time: ``python benchmarks/cluster.py [--kills N]``.

Takeover times of owners killed at several rates of loss; false suspicions an hour; datagrams and bytes a second,
and CPU for each member at 4 to 200 members; how long a change of a sheet takes to reach all; the datagrams' form beside
msgpack. The virtual network of the tests is used, so no socket bounds the size; its cost is in the CPU figures, which
are an upper bound.
"""

import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
import msgspec
import numpy as np

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from cluster.virtual_network import VirtualNetwork  # noqa: E402

from heronlug.cluster import codec, datagrams, messages  # noqa: E402
from heronlug.cluster.model import FencingToken, Health, MemberUpdate  # noqa: E402

LOSSES = (0.0, 0.1, 0.3, 0.5)
SIZES = (4, 16, 48, 200)


def takeover(job: tuple[int, float]) -> float:
    """Milliseconds from a kill of a duty's owner until somebody else acts; four members."""
    seed, loss = job
    net = VirtualNetwork("abcd", seed, loss=loss, leases=["one"])
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
    net = VirtualNetwork("abcd", seed, loss=loss, leases=["one"])
    net.may_overlap = True
    for name in net.names:
        net.start(name)
    net.run(60_000)
    told = [action for _, _, action in net.log if hasattr(action, "health")]
    dead = sum(action.health.name == "DEAD" for action in told)
    return sum(action.health.name == "SUSPECT" for action in told), dead, 4 / 60


def traffic(size: int) -> tuple[int, float, float, float]:
    """Datagrams and bytes a second for each member, and milliseconds of CPU a second."""
    net = VirtualNetwork([f"m{n:03}" for n in range(size)], 1, loss=0.0)
    net.may_overlap = True
    for name in net.names:
        net.start(name)
    net.run(8000)
    sent, data, start = net.sent, net.bytes, time.process_time()
    span = 10.0 if size < 100 else 4.0
    net.run(span * 1000)
    cpu = (time.process_time() - start) / span / size * 1000
    return size, (net.sent - sent) / span / size, (net.bytes - data) / span / size, cpu


def table(job: tuple[int, float, int]) -> tuple[float, list[float]]:
    """Milliseconds until all have a first sheet of so many rows, and until all know each of ten changes."""
    size, loss, rows = job
    net = VirtualNetwork([f"m{n:03}" for n in range(size)], 1, loss=loss, leases=["register"], topics=["register"])
    net.may_overlap = True
    for name in net.names:
        net.start(name)
    net.run(9000)

    def publish(changes: dict[bytes, bytes | None]) -> float:
        owner = net.owner("register")
        if owner is None or not net.publish(owner, "register", changes):
            return float("nan")
        begun, wanted = net.now, net.processes[owner].tables["register"]
        while any(p.tables["register"] != wanted for p in net.processes.values()) and net.now - begun < 60_000:
            net.run(10)
        return net.now - begun

    row = b"10.0.0.1:8081 and what else there is of a host, 64 bytes of it"
    first = publish({b"h%d" % n: row for n in range(rows)})
    took = []
    for turn in range(10):
        took.append(publish({b"h%d" % turn: b"draining"}))
        net.run(500)
    return first, took


def per_call(call: Callable[[], object], rounds: int = 20_000) -> float:
    """Microseconds of a call, the least of three runs."""
    best = float("inf")
    for _ in range(3):
        start = time.perf_counter()
        for _ in range(rounds):
            call()
        best = min(best, time.perf_counter() - start)
    return best / rounds * 1e6


def forms() -> None:
    """The fixed form beside msgpack of the same tuples, by size and cost."""
    pack, unpack = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder().decode
    token = FencingToken(1_796_138_343_696, 0xB5C3A1D2)
    for part in (
        messages.Ping(0x6B3F21C4),
        messages.LeaseRequest(0xB5C3A1D2, token, 0x6B3F21C4, token),
        messages.TableAnnouncement(0xB5C3A1D2, token, 4711, 0xB5C3A1D2B5C3A1D2),
        MemberUpdate("dispatcher-12", "10.0.0.12:7946", 1_796_138_343_696, Health.ALIVE),
    ):
        fixed = codec.encode_part(part)
        flat = (type(part).__name__[0], *part)
        packed = pack(flat)
        print(
            f"{type(part).__name__:>10} {len(fixed):8} {len(packed):8} "
            f"{per_call(lambda p=part: codec.encode_part(p)):8.2f} {per_call(lambda f=flat: pack(f)):8.2f} "
            f"{per_call(lambda d=fixed: codec.decode_parts(d)):8.2f} {per_call(lambda d=packed: unpack(d)):8.2f}"
        )
    seal, other = datagrams.DatagramCodec(1, {1: b"k" * 32}, 0), datagrams.DatagramCodec(2, {1: b"k" * 32}, 0)
    print(
        f"seal a datagram {per_call(lambda: seal.pack([messages.Ping(1)])):.2f} us, "
        f"open one {per_call(lambda: other.unpack(seal.pack([messages.Ping(1)])[0])):.2f} us with its sealing"
    )


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
            print(
                f"{loss:5.0%} {p50:13.0f} {p99:7.0f} {most:7.0f}      {wrong:10.1f} {dead:10.1f}"
                f"   ({np.isnan(took).sum()} of {kills} had no owner to kill)"
            )
        print(f"\n{'members':>7} {'datagrams/s':>12} {'bytes/s':>9} {'CPU ms/s':>9}   a member, four duties, no loss")
        for size, datagrams, data, cpu in pool.map(traffic, SIZES):
            print(f"{size:7} {datagrams:12.1f} {data:9.0f} {cpu:9.2f}")
        print(f"\n{'members':>7} {'loss':>5} {'first of 1,000 rows':>20} {'a change p50':>13} {'most':>6} ms")
        jobs = [(size, loss, 1000) for size in (4, 16, 48) for loss in LOSSES[:3]] + [(200, 0.0, 300)]
        for (size, loss, rows), (first, took) in zip(jobs, pool.map(table, jobs), strict=True):
            p50, most = np.nanpercentile(took, [50, 100])
            print(f"{size:7} {loss:5.0%} {first:20.0f} {p50:13.0f} {most:6.0f}   {rows} rows")
    heads = ("fixed", "msgpack", "encode", "msgpack", "decode", "msgpack")
    print(f"\n{'part':>10} " + " ".join(f"{head:>8}" for head in heads) + "   bytes, then us")
    forms()


if __name__ == "__main__":
    main()
