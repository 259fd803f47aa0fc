"""``fleet``: many processes of the program with faults between them, by a script."""

from pathlib import Path

import click

from heronlug.cli.helpers import FILE_PATH, print_json


@click.command()
@click.argument("file", type=FILE_PATH)
@click.option("--keep", type=click.Path(file_okay=False, path_type=Path), help="keep files and logs in this folder")
@click.option("--events", type=FILE_PATH, help="write the history there, a line an event")
@click.option("--seed", type=int, help="in place of the script's")
@click.option("--json", "as_json", is_flag=True, help="one JSON object of verdict and figures")
def fleet(file: Path, keep: Path | None, events: Path | None, seed: int | None, as_json: bool) -> int:
    """Play the script FILE on loopback.  The exit status is 1 where a rule or an expectation was broken."""
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
