"""Defines ``upgrades``, which replaces the process of a dispatcher under load, as seeds draw it."""

from pathlib import Path

import click

from heronlug.cli.helpers import COUNT_ARGUMENT, FIRST_SEED_ARGUMENT, KEEP_OPTION, SOURCES_OPTION, print_columns


@click.command()
@FIRST_SEED_ARGUMENT
@COUNT_ARGUMENT
@KEEP_OPTION
@SOURCES_OPTION
def upgrades(first: int, count: int, keep: Path | None, sources: tuple[Path, ...]) -> int:
    """Run the plans of COUNT seeds from FIRST on. The exit status is 1 if a request is lost or a rule broken."""
    from heronlug.faults.upgrades.coverage import coverage_table, total
    from heronlug.faults.upgrades.run import play
    from heronlug.faults.upgrades.soak import draw

    reports = []
    for seed in range(first, first + count):
        reports.append(play(draw(seed), keep / str(seed) if keep is not None else None, sources or (None,)))
        print(reports[-1].text(), flush=True)
    print_columns(coverage_table(total(report.reached for report in reports)))
    broken = sum(bool(report.violations) for report in reports)
    print(f"{count} runs, {broken} broken")
    return 1 if broken else 0
