"""Measures on the emulator what a zone outage costs with and without zone failover, and counts wrong exclusions.

``python benchmarks/halls.py`` runs ``scenarios/halls-dead.toml``, in which a zone fails and returns cold, with zone
failover, without zone failover and with the oracle policy. ``--calm N`` runs N simulated days on which servers of all
zones crash, are replaced and pause but no zone fails, and counts the exclusions of zones.
"""

from concurrent.futures import ProcessPoolExecutor
from itertools import groupby
from pathlib import Path
from typing import Any, NamedTuple

import click
import numpy as np
from scipy import stats

from heronlug.balancer.zone_failover.zone_state import ZonePhase
from heronlug.cli.helpers import print_columns, print_json
from heronlug.conformance import Sent
from heronlug.emulator.policies import Oracle
from heronlug.emulator.scenario import load
from heronlug.emulator.world import World

SCENARIO_FILE = Path(__file__).parents[1] / "scenarios" / "halls-dead.toml"
VARIANTS = ("each for itself", "as one", "oracle")
"""Names of the runs without zone failover, with zone failover, and with the oracle policy."""
FAULTS_WITHOUT_ZONE_OUTAGE: list[dict[str, Any]] = [
    {"what": "crash", "at_s": 8, "share": 0.24},
    {"what": "deploy", "at_s": 14, "share": 0.6, "over_s": 20, "drain_s": 1},
    {"what": "pause", "at_s": 38, "for_s": 3, "share": 0.2},
    {"what": "dispatcher-kill", "at_s": 44, "share": 0.7},
]


class Run(NamedTuple):
    """Parameters of one run.

    Attributes:
        dispatchers: number of dispatchers.
        variant: a name of ``VARIANTS``.
        seed: seed of the run.
        span: simulated time in seconds.
    """

    dispatchers: int
    variant: str
    seed: int
    span: float = 50.0


def measure_run(run: Run) -> dict[str, float]:
    """Returns the figures of one run by the column heads of the table."""
    scenario = load(
        SCENARIO_FILE,
        {"dispatchers.count": run.dispatchers, "dispatchers.halls": run.variant == VARIANTS[1], "span_s": run.span},
    )
    if run.variant == Oracle.name:
        scenario.policy = Oracle.name
    sent: list[Sent] = []
    world = World(scenario, run.seed, record=lambda event: sent.append(event) if isinstance(event, Sent) else None)
    zone_by_server = {server.name: server.zone for server in world.servers.values()}
    figures = world.run()
    fault = scenario.trouble[0]
    fails_at, returns_at = fault.at_s * 1000, (fault.at_s + fault.for_s) * 1000
    zone = scenario.zones.index(fault.zone)
    sent_at = np.array([event.at for event in sent if zone_by_server[event.host] == zone])
    earned_value, requested_value = figures.value_by_second

    def attempts_per_s(begin: float, end: float) -> float:
        """Returns the attempts per second that are sent to the failing zone between two times in ms."""
        return float(((sent_at >= begin) & (sent_at < end)).sum()) * 1000 / (end - begin)

    def value_share(begin: float, end: float) -> float:
        """Returns the earned value as a share of the requested value between two times in ms."""
        seconds = slice(int(begin / 1000), int(end / 1000))
        return float(earned_value[seconds].sum() / requested_value[seconds].sum())

    usual_rate = attempts_per_s(fails_at - 5000, fails_at)
    full_share_at = next(
        (
            at
            for at in range(int(returns_at), int(run.span * 1000) - 2000, 500)
            if attempts_per_s(at, at + 2000) >= 0.9 * usual_rate
        ),
        float("nan"),
    )
    named_figures = figures.by_name()
    return {
        "worth": named_figures["service"],
        "worth while dead": value_share(fails_at, returns_at),
        "worth after": value_share(returns_at, run.span * 1000),
        "spent on finding out": attempts_per_s(fails_at, fails_at + 1000),
        "in the 2nd s": attempts_per_s(fails_at + 1000, fails_at + 2000),
        "then a second": attempts_per_s(fails_at + 2000, returns_at),
        "1st s back": attempts_per_s(returns_at, returns_at + 1000),
        "full share after s": (full_share_at - returns_at) / 1000,
        "cold load": named_figures["cold_peak"],
        "fell": named_figures["fell"],
        "rules broken": named_figures["violations"],
    }


def count_wrong_exclusions(run: Run) -> int:
    """Returns how many times a dispatcher excludes a zone on a day on which no zone fails."""
    scenario = load(
        SCENARIO_FILE, {"dispatchers.count": run.dispatchers, "span_s": 54, "trouble": FAULTS_WITHOUT_ZONE_OUTAGE}
    )
    world = World(scenario, run.seed)
    world.run()
    return sum(
        change.state.phase is ZonePhase.EXCLUDED
        for dispatcher in world.dispatchers
        for change in dispatcher.core.dispatcher.rules.zone_failover.changes
    )


def result_rows(runs: list[Run], pool: ProcessPoolExecutor) -> list[list[str]]:
    """Returns a row of means over the seeds for each dispatcher count and variant.

    The worth also has the half-width of its 95% confidence interval.
    """
    played = list(zip(runs, pool.map(measure_run, runs), strict=True))
    rows: list[list[str]] = []
    for (count, variant), group in groupby(played, key=lambda item: item[0][:2]):
        figures_by_seed = [figures for _, figures in group]
        if not rows:
            rows.append(["dispatchers", "way", *figures_by_seed[0]])
        cells = []
        for name in figures_by_seed[0]:
            values = np.array([figures[name] for figures in figures_by_seed])
            cell = f"{np.nanmean(values):.3g}" if not np.isnan(values).all() else "-"
            if name == "worth" and len(values) > 1:
                half_width = stats.t.ppf(0.975, len(values) - 1) * values.std(ddof=1) / len(values) ** 0.5
                cell = f"{values.mean():.3f} ± {half_width:.3f}"
            cells.append(cell)
        rows.append([str(count), variant, *cells])
    return rows


@click.command()
@click.option("--dispatchers", "sizes", multiple=True, type=int, default=(4, 16, 50, 200), show_default=True)
@click.option("--seeds", default=4, show_default=True)
@click.option("--calm", "days", default=0, help="number of days without a zone failure to run instead of the table")
@click.option("--json", "as_json", is_flag=True)
def main(sizes: tuple[int, ...], seeds: int, days: int, as_json: bool) -> None:
    """Run the scenario and print the table, or the exclusions of ``--calm``."""
    with ProcessPoolExecutor() as pool:
        if days:
            for count in sizes:
                exclusion_counts = list(
                    pool.map(count_wrong_exclusions, [Run(count, VARIANTS[1], seed) for seed in range(days)])
                )
                print(
                    f"{count} dispatchers, {days} days: "
                    f"{sum(map(bool, exclusion_counts))} with an excluded zone, {sum(exclusion_counts)} exclusions"
                )
            return
        rows = result_rows(
            [Run(n, variant, seed) for n in sizes for variant in VARIANTS for seed in range(1, seeds + 1)], pool
        )
    if as_json:
        print_json([dict(zip(rows[0], row, strict=True)) for row in rows[1:]])
    else:
        print_columns(rows)


if __name__ == "__main__":
    main()
