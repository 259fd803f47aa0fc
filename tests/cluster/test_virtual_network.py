"""Checks four members in a virtual network over many seeds: takeover, restarts, partitions, pauses and leaves."""

import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from random import Random

import pytest

from cluster.virtual_network import VirtualNetwork
from heronlug.cluster.model import Health, LeaseGained, LeaseLost, MemberUpdate

SEEDS = int(os.environ.get("CLUSTER_SEEDS", "300"))
MAX_IDLE_MS = 5000.0  # the longest time that a lease may be without an owner at 30% loss


def settled_network(seed: int, loss: float = 0.3) -> VirtualNetwork:
    """Returns a network of four members that have run long enough to own leases."""
    net = VirtualNetwork("abcd", seed, loss=loss)
    for name in net.names:
        net.start(name)
    net.run(8000)
    net.longest_idle = 0.0
    return net


def kill_and_restart_owner(seed: int) -> float:
    """Kills and restarts the owner of a lease; returns the longest time that a lease had no owner, in milliseconds."""
    net = settled_network(seed)
    victim = net.owner(net.leases[seed % 4]) or "a"
    net.kill(victim)
    net.run(5500)
    net.start(victim)
    net.run(2500)
    return net.longest_idle


def inject_random_faults(seed: int) -> float:
    """Kills, restarts, pauses and leaves at random times, without partitions; returns 0."""
    net, rng = settled_network(seed), Random(seed)
    for _ in range(6):
        name, draw = rng.choice(net.names), rng.random()
        if name not in net.processes:
            net.start(name)
        elif draw < 0.4 and len(net.processes) > 2:
            net.kill(name)
        elif draw < 0.8:
            net.pause(name, rng.uniform(50, 4000))
        else:
            net.leave(name)
            net.run(1500)
            if name in net.processes:
                net.kill(name)
        net.run(rng.uniform(100, 2500))
    return 0.0


def run_seeds(run_seed: Callable[[int], float], seeds: int) -> list[float]:
    """Runs the function for each seed, on all cores; the error of a failed run names its seed."""
    with ProcessPoolExecutor() as pool:
        return list(pool.map(run_seed, range(seeds), chunksize=4))


def test_takeover_is_bounded_under_packet_loss() -> None:
    """Guards against a lease that stays without an owner too long after its owner is killed.

    The network loses 30% of datagrams, delays and duplicates others, and clocks drift by up to 1%. The network also
    checks its invariants after every change of members or leases.
    """
    idle_times = run_seeds(kill_and_restart_owner, SEEDS)
    assert (
        max(idle_times) <= MAX_IDLE_MS
    ), f"seed {idle_times.index(max(idle_times))}: {max(idle_times):.0f} ms without an owner"


def test_a_withdrawn_request_releases_its_own_vote() -> None:
    """Guards against a member that requests a lease under a new token but keeps its own vote for its first token.

    This seed, found in a run of ten thousand, then left a lease without an owner for 10 s.
    """
    assert kill_and_restart_owner(6800) <= MAX_IDLE_MS


def test_competing_requests_with_different_views_bind_no_votes() -> None:
    """Guards against two members that each get and renew some of the votes for a lease and never release them.

    Seed 61029, at which this was found, then left a lease without an owner for 10 s.
    """
    assert kill_and_restart_owner(61029) <= MAX_IDLE_MS


def test_random_faults_never_make_two_holders() -> None:
    """Guards against two holders of one lease after kills, restarts, pauses and leaves; the network checks it."""
    run_seeds(inject_random_faults, SEEDS // 3)


def test_the_same_seed_repeats_the_same_run() -> None:
    """Guards against hidden randomness or clock reads, which would make a failing seed impossible to replay."""
    logs = [repr([net.log for net in [settled_network(5)]]) for _ in range(2)]
    assert logs[0] == logs[1]


def test_only_the_leases_of_a_dead_member_move() -> None:
    """Guards against a member's death that moves leases of the other members too."""
    net = VirtualNetwork("abcd", 3, leases=[f"d{n}" for n in range(12)])
    for name in net.names:
        net.start(name)
    net.run(9000)
    before = {lease: net.owner(lease) for lease in net.leases}
    assert set(before.values()) == set("abcd")
    net.kill("b")
    net.run(6000)
    after = {lease: net.owner(lease) for lease in net.leases}
    assert all(owner is not None and owner != "b" for owner in after.values())
    assert {lease for lease in before if before[lease] != after[lease]} == {
        lease for lease in before if before[lease] == "b"
    }


def test_a_leaving_member_transfers_its_leases_before_they_expire() -> None:
    """Guards against a leave that lets leases expire, or that other members record as a death."""
    net = settled_network(11, loss=0.0)
    lease = net.leases[0]
    owner = net.owner(lease)
    assert owner is not None
    net.leave(owner)
    net.run(600)
    assert net.owner(lease) not in (None, owner)
    assert net.longest_idle < 300
    net.run(1500)
    assert net.processes[owner].node.left
    others = [process.node.membership.members[owner].health for name, process in net.processes.items() if name != owner]
    assert others == [Health.LEFT] * 3


@pytest.mark.parametrize(
    "lost", ["TransferOffer", "TransferAcceptance", "TransferCompletion", "LeaseRequest", "LeaseGrant", "LEFT"]
)
def test_a_transfer_survives_the_loss_of_each_message(lost: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a transfer that never ends, or an unowned lease, if each message is lost three times."""
    from heronlug.cluster import codec, datagrams

    net = settled_network(13, loss=0.0)
    lease = net.leases[1]
    owner = net.owner(lease)
    assert owner is not None
    dropped = 0
    send = net._send

    def send_with_loss(sender: str, action: object) -> None:
        nonlocal dropped
        parts = codec.decode_parts(action.data[datagrams.HEADER.size : -datagrams.AUTHENTICATION_TAG_SIZE])  # type: ignore[attr-defined]
        kinds = {type(part).__name__ for part in parts}
        kinds |= {part.health.name for part in parts if isinstance(part, MemberUpdate)}
        if lost in kinds and dropped < 3:
            dropped += 1
            return
        send(sender, action)  # type: ignore[arg-type]

    monkeypatch.setattr(net, "_send", send_with_loss)
    net.leave(owner)
    net.run(MAX_IDLE_MS)
    assert dropped == 3
    assert net.owner(lease) not in (None, owner)
    assert net.longest_idle <= MAX_IDLE_MS


def test_leases_survive_rolling_and_simultaneous_restarts() -> None:
    """Guards against leases that stay without an owner after members restart one by one, or all at once."""
    for seed in range(6):
        net = settled_network(seed)
        for name in net.names:
            net.kill(name)
            net.run(200)
            net.start(name)
            net.run(6500)
        net.run(2500)
        assert net.longest_idle <= MAX_IDLE_MS
        for name in net.names:
            net.kill(name)
        for name in net.names:
            net.start(name)
        net.run(9000)
        assert all(net.owner(lease) for lease in net.leases), f"seed {seed}"


def test_a_healed_partition_leaves_one_holder() -> None:
    """Guards against two holders that still act after a partition has healed.

    During the partition a member on each side holds the lease, under different tokens. Afterwards the member with the
    lower token must stop.
    """
    for seed in range(8):
        net = settled_network(seed, loss=0.1)
        net.may_overlap = True
        net.split("ab", "cd")
        net.run(15_000)
        for lease in net.leases:
            owners = net.owners(lease)
            assert len(owners) == 2, f"seed {seed}"
            assert len({"ab".find(owner) >= 0 for owner in owners}) == 2, f"seed {seed}"
        net.cut.clear()
        net.run(6000)
        net.overlap, net.overlap_since = 0.0, {}
        net.may_overlap = False
        net.run(4000)
        assert [len(net.owners(lease)) for lease in net.leases] == [1] * 4, f"seed {seed}"


def test_a_one_way_cut_moves_the_lease_without_a_second_holder() -> None:
    """Guards against an owner that keeps acting while it receives datagrams but none of its own arrive."""
    for seed in range(6):
        net = settled_network(seed, loss=0.0)
        owner = net.owner(net.leases[0])
        assert owner is not None
        # The owner receives datagrams, but its own datagrams are lost.
        net.cut = {(owner, other) for other in net.names if other != owner}
        net.run(9000)
        assert net.owner(net.leases[0]) not in (None, owner), f"seed {seed}"


def test_a_resumed_holder_does_not_act() -> None:
    """Guards against a paused holder that resumes after a takeover and goes on acting, or reports no lost lease."""
    for seed in range(6):
        net = settled_network(seed, loss=0.0)
        lease = net.leases[0]
        owner = net.owner(lease)
        assert owner is not None
        net.pause(owner, 7000.0)
        net.run(6900)
        other = net.owner(lease)
        assert other not in (None, owner)
        net.run(4000)
        events = [
            action for _, name, action in net.log if name == owner and isinstance(action, LeaseGained | LeaseLost)
        ]
        assert any(isinstance(action, LeaseLost) and action.lease == lease for action in events)


def test_fencing_tokens_only_rise() -> None:
    """Guards against a takeover, after kills and restarts, under a token below that of an earlier owner."""
    for seed in range(4):
        net = settled_network(seed, loss=0.2)
        for round_number in range(4):
            name = net.owner(net.leases[0]) or "a"
            net.kill(name)
            net.run(5500)
            net.start(name)
            net.run(4000 + 100 * round_number)
        events = [action for _, _, action in net.log if isinstance(action, LeaseGained)]
        gained = [action.token for action in events if action.lease == net.leases[0]]
        assert len(gained) >= 4
        assert gained == sorted(gained)
