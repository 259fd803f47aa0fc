"""Measures the cluster in virtual time: ``python benchmarks/cluster.py [--kills N]``.

The output shows, for several loss rates, the takeover times after kills of the lease holder and the false suspicions
per hour; for 4 to 200 members, the datagrams, bytes and CPU time per second and member; the time until a change of a
replicated table reaches all members; and the datagram encoding in comparison with msgpack. The virtual network of the
tests is used, so sockets do not limit the cluster size. The CPU figures include the cost of the virtual network and are
therefore an upper bound.
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

LOSS_RATES = (0.0, 0.1, 0.3, 0.5)
CLUSTER_SIZES = (4, 16, 48, 200)


def measure_takeover(run_parameters: tuple[int, float]) -> float:
    """Returns the ms from a kill of the lease holder to the takeover, with four members; nan without a holder."""
    seed, loss = run_parameters
    network = VirtualNetwork("abcd", seed, loss=loss, leases=["one"])
    network.may_overlap = True  # the tests check overlaps; an overlap must not abort a measurement
    for name in network.names:
        network.start(name)
    network.run(8000 + seed % 400)
    owner = network.owner("one")
    if owner is None:
        return float("nan")
    network.kill(owner)
    killed_at = network.now
    while network.owner("one") is None and network.now - killed_at < 60_000:
        network.run(10)
    return network.now - killed_at


def count_suspicions(run_parameters: tuple[int, float]) -> tuple[int, int, float]:
    """Returns the numbers of false suspicions and false deaths, and the sum of the members' running times in hours."""
    seed, loss = run_parameters
    network = VirtualNetwork("abcd", seed, loss=loss, leases=["one"])
    network.may_overlap = True
    for name in network.names:
        network.start(name)
    network.run(60_000)
    health_changes = [action for _, _, action in network.log if hasattr(action, "health")]
    dead = sum(action.health.name == "DEAD" for action in health_changes)
    return sum(action.health.name == "SUSPECT" for action in health_changes), dead, 4 / 60


def measure_traffic(size: int) -> tuple[int, float, float, float]:
    """Returns the cluster size, and datagrams, bytes and milliseconds of CPU time, each per second and member."""
    network = VirtualNetwork([f"m{n:03}" for n in range(size)], 1, loss=0.0)
    network.may_overlap = True
    for name in network.names:
        network.start(name)
    network.run(8000)
    datagram_count, byte_count, start = network.sent, network.bytes, time.process_time()
    duration_s = 10.0 if size < 100 else 4.0
    network.run(duration_s * 1000)
    cpu = (time.process_time() - start) / duration_s / size * 1000
    return (
        size,
        (network.sent - datagram_count) / duration_s / size,
        (network.bytes - byte_count) / duration_s / size,
        cpu,
    )


def measure_table(run_parameters: tuple[int, float, int]) -> tuple[float, list[float]]:
    """Returns the milliseconds until all members have a new table, and until all members have each of ten changes."""
    size, loss, rows = run_parameters
    network = VirtualNetwork([f"m{n:03}" for n in range(size)], 1, loss=loss, leases=["register"], topics=["register"])
    network.may_overlap = True
    for name in network.names:
        network.start(name)
    network.run(9000)

    def publish(changes: dict[bytes, bytes | None]) -> float:
        owner = network.owner("register")
        if owner is None or not network.publish(owner, "register", changes):
            return float("nan")
        started_at, expected_rows = network.now, network.processes[owner].tables["register"]
        while (
            any(p.tables["register"] != expected_rows for p in network.processes.values())
            and network.now - started_at < 60_000
        ):
            network.run(10)
        return network.now - started_at

    row = b"10.0.0.1:8081 and what else there is of a host, 64 bytes of it"
    first_ms = publish({b"h%d" % n: row for n in range(rows)})
    times_ms = []
    for number in range(10):
        times_ms.append(publish({b"h%d" % number: b"draining"}))
        network.run(500)
    return first_ms, times_ms


def call_time_us(call: Callable[[], object], rounds: int = 20_000) -> float:
    """Returns the microseconds per call, the minimum of three measurements."""
    best = float("inf")
    for _ in range(3):
        start = time.perf_counter()
        for _ in range(rounds):
            call()
        best = min(best, time.perf_counter() - start)
    return best / rounds * 1e6


def compare_encodings() -> None:
    """Prints the sizes and costs of the datagram encoding and of msgpack for the same data."""
    pack, unpack = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder().decode
    token = FencingToken(1_796_138_343_696, 0xB5C3A1D2)
    for part in (
        messages.Ping(0x6B3F21C4),
        messages.LeaseRequest(0xB5C3A1D2, token, 0x6B3F21C4, token),
        messages.TableAnnouncement(0xB5C3A1D2, token, 4711, 0xB5C3A1D2B5C3A1D2),
        MemberUpdate("dispatcher-12", "10.0.0.12:7946", 1_796_138_343_696, Health.ALIVE),
    ):
        fixed = codec.encode_part(part)
        fields = (type(part).__name__[0], *part)
        packed = pack(fields)
        print(
            f"{type(part).__name__:>10} {len(fixed):8} {len(packed):8} "
            f"{call_time_us(lambda p=part: codec.encode_part(p)):8.2f} {call_time_us(lambda f=fields: pack(f)):8.2f} "
            f"{call_time_us(lambda d=fixed: codec.decode_parts(d)):8.2f} "
            f"{call_time_us(lambda d=packed: unpack(d)):8.2f}"
        )
    sender, receiver = datagrams.DatagramCodec(1, {1: b"k" * 32}, 0), datagrams.DatagramCodec(2, {1: b"k" * 32}, 0)
    print(
        f"seal a datagram {call_time_us(lambda: sender.pack([messages.Ping(1)])):.2f} us, "
        f"seal and open a datagram {call_time_us(lambda: receiver.unpack(sender.pack([messages.Ping(1)])[0])):.2f} us"
    )


@click.command()
@click.option("--kills", default=500, help="number of kills at each loss rate")
def main(kills: int) -> None:
    """Measure the cluster and print the results."""
    with ProcessPoolExecutor() as pool:
        print(f"{'loss':>5} {'takeover p50':>13} {'p99':>7} {'most':>7} ms   suspicions, false deaths an hour a member")
        for loss in LOSS_RATES:
            times_ms = np.array(list(pool.map(measure_takeover, [(seed, loss) for seed in range(kills)], chunksize=8)))
            suspicion_counts = list(pool.map(count_suspicions, [(seed, loss) for seed in range(16)]))
            hours = sum(counts[2] for counts in suspicion_counts)
            p50, p99, most = np.nanpercentile(times_ms, [50, 99, 100])
            false_suspicions, dead = (sum(counts[n] for counts in suspicion_counts) / hours for n in (0, 1))
            print(
                f"{loss:5.0%} {p50:13.0f} {p99:7.0f} {most:7.0f}      {false_suspicions:10.1f} {dead:10.1f}"
                f"   ({np.isnan(times_ms).sum()} of {kills} had no owner to kill)"
            )
        print(f"\n{'members':>7} {'datagrams/s':>12} {'bytes/s':>9} {'CPU ms/s':>9}   a member, four duties, no loss")
        for size, datagrams, byte_count, cpu in pool.map(measure_traffic, CLUSTER_SIZES):
            print(f"{size:7} {datagrams:12.1f} {byte_count:9.0f} {cpu:9.2f}")
        print(f"\n{'members':>7} {'loss':>5} {'first of 1,000 rows':>20} {'a change p50':>13} {'most':>6} ms")
        table_runs = [(size, loss, 1000) for size in (4, 16, 48) for loss in LOSS_RATES[:3]] + [(200, 0.0, 300)]
        for (size, loss, rows), (first_ms, times_ms) in zip(
            table_runs, pool.map(measure_table, table_runs), strict=True
        ):
            p50, most = np.nanpercentile(times_ms, [50, 100])
            print(f"{size:7} {loss:5.0%} {first_ms:20.0f} {p50:13.0f} {most:6.0f}   {rows} rows")
    headings = ("fixed", "msgpack", "encode", "msgpack", "decode", "msgpack")
    print(f"\n{'part':>10} " + " ".join(f"{heading:>8}" for heading in headings) + "   bytes, then us")
    compare_encodings()


if __name__ == "__main__":
    main()
