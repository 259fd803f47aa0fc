"""Defines ``fleet``, which runs dispatcher processes and injects faults as a test plan says."""

from pathlib import Path

import click

from heronlug.cli.helpers import FILE_PATH, print_json


@click.command()
@click.argument("file", type=FILE_PATH)
@click.option(
    "--keep", type=click.Path(file_okay=False, path_type=Path), help="write files and logs to this folder and keep them"
)
@click.option("--events", type=FILE_PATH, help="write the event history to this file, one event per line")
@click.option("--seed", type=int, help="seed to use instead of the test plan's")
@click.option("--json", "as_json", is_flag=True, help="print the verdict and the figures as one JSON object")
def fleet(file: Path, keep: Path | None, events: Path | None, seed: int | None, as_json: bool) -> int:
    """Run the test plan FILE on loopback. The exit status is 1 if a rule is violated or an expectation is not met."""
    from heronlug.config.strict_toml import ConfigProblems
    from heronlug.faults.harness import play
    from heronlug.faults.plan import load as load_plan

    try:
        plan = load_plan(file)
    except ConfigProblems as error:
        raise click.ClickException(str(error)) from None
    if seed is not None:
        plan.seed = seed
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
    try:
        verdict = play(plan, keep, events)
    except OSError as error:
        raise click.ClickException(str(error)) from None
    if as_json:
        broken = [[v.rule, v.at, v.what] for v in verdict.violations]
        print_json(
            {
                "name": verdict.name,
                "kept": verdict.kept,
                "faults": verdict.faults,
                "violations": broken,
                "figures": verdict.figures,
                "steps": verdict.steps,
            }
        )
    else:
        for at, what in verdict.steps:
            print(f"{at / 1000:8.2f} s  {what}")
        print(verdict.text())
    return 0 if verdict.kept else 1
