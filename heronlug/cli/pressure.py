"""Defines ``pressure``, which plays abusive clients beside well-behaved ones."""

from pathlib import Path

import click

from heronlug.cli.helpers import COUNT_ARGUMENT, FIRST_SEED_ARGUMENT, KEEP_OPTION, SOURCES_OPTION


@click.command()
@FIRST_SEED_ARGUMENT
@COUNT_ARGUMENT
@KEEP_OPTION
@click.option("--play", "kind", help="play this kind of abuse alone, instead of what the seed draws")
@click.option("--clients", type=click.IntRange(1), default=400, show_default=True, help="number of abusive clients")
@click.option(
    "--limits",
    type=(float, int),
    default=(192.0, 1024),
    show_default=True,
    help="limits of memory in MB and of descriptors",
)
@SOURCES_OPTION
def pressure(
    first: int,
    count: int,
    keep: Path | None,
    kind: str | None,
    clients: int,
    limits: tuple[float, int],
    sources: tuple[Path, ...],
) -> int:
    """Run the plans of COUNT seeds from FIRST on. The exit status is 1 if a limit or a rule is broken."""
    from heronlug.faults.abuse.plan import Abuse, AbuseKind
    from heronlug.faults.pressure.plan import ABUSE_S, CALM_S, draw, make_plan
    from heronlug.faults.pressure.verdict import judge
    from heronlug.faults.upgrades.run import play

    broken = 0
    for seed in range(first, first + count):
        if kind is None:
            plan = draw(seed)
        else:
            plan = make_plan(seed, *limits, (Abuse(AbuseKind(kind), clients, CALM_S, ABUSE_S),))
        report = judge(play(plan, keep / str(seed) if keep is not None else None, sources or (None,)))
        broken += bool(report.violations)
        print(f"{plan.memory_mb:g} MB, {plan.sockets} descriptors, {len(plan.upgrades)} upgrades", report.text())
    print(f"{count} runs, {broken} broken")
    return 1 if broken else 0
