"""Compares the figures of two variants over pairs of runs with the same seed and separates differences from noise."""

import math
from collections.abc import Sequence
from typing import Any, NamedTuple

import numpy as np
from numpy.typing import NDArray
from scipy import stats

from heronlug.experiments.store import StoredRun

CONFIDENCE = 0.95
"""Confidence level of the intervals."""
RESAMPLES = 4000
"""Number of bootstrap resamples."""


class Difference(NamedTuple):
    """Difference of one figure between the variants a and b.

    Attributes:
        figure: name of the figure.
        a: mean of the figure in variant a.
        b: mean of the figure in variant b.
        change: mean of b minus a over the pairs.
        low: lower bound of the confidence interval of ``change``, nan if there are fewer than three pairs.
        high: upper bound of the confidence interval, nan as ``low``.
        pairs: number of pairs in which both values are finite.
    """

    figure: str
    a: float
    b: float
    change: float
    low: float
    high: float
    pairs: int

    @property
    def noise(self) -> bool:
        """Whether the confidence interval contains zero or is unknown (nan)."""
        return not (self.low > 0 or self.high < 0)


def parse_params(text: str) -> dict[str, str]:
    """Parses the parameters of a variant, such as ``policy=random,dispatchers.count=4``.

    Raises:
        ValueError: if a part is not of the form KEY=VALUE.
    """
    params = {}
    for part in text.split(","):
        key, equals, value = part.partition("=")
        if not equals or not key:
            msg = f"{part!r} is not of the form KEY=VALUE"
            raise ValueError(msg)
        params[key.strip()] = value.strip()
    return params


def pairs(runs: Sequence[StoredRun], a: dict[str, str], b: dict[str, str]) -> list[tuple[StoredRun, StoredRun]]:
    """Returns pairs of runs of two variants that have the same seed and the same values of all other parameters.

    Args:
        runs: all runs of the experiment.
        a: parameters of variant a.
        b: parameters of variant b.

    Raises:
        ValueError: if a parameter does not vary in the runs, or if there are no pairs.
    """
    known = {key for run in runs for key in run.params}
    for key in a.keys() | b.keys():
        if key not in known:
            msg = f"parameter {key!r} does not vary in these runs; varying: {', '.join(sorted(known)) or 'none'}"
            raise ValueError(msg)
    runs_by_key: list[dict[Any, StoredRun]] = []
    for params in (a, b):
        matching = {}
        for run in runs:
            if all(str(run.params.get(key)) == value for key, value in params.items()):
                other_params = tuple(sorted((k, str(v)) for k, v in run.params.items() if k not in a.keys() | b.keys()))
                matching[run.seed, other_params] = run
        runs_by_key.append(matching)
    common_keys = sorted(runs_by_key[0].keys() & runs_by_key[1].keys())
    if not common_keys:
        msg = "no two runs of the variants agree in the seed and in all other parameters"
        raise ValueError(msg)
    return [(runs_by_key[0][key], runs_by_key[1][key]) for key in common_keys]


def compare(run_pairs: Sequence[tuple[StoredRun, StoredRun]], figures: Sequence[str] = ()) -> list[Difference]:
    """Returns the differences of figures over pairs of runs.

    Args:
        run_pairs: pairs from :func:`pairs`, at least one.
        figures: names of the figures to compare; empty for all figures.

    Raises:
        ValueError: if the runs have no figure of a name.
    """
    names = list(figures) or [name for name in run_pairs[0][0].figures if name in run_pairs[0][1].figures]
    differences = []
    for name in names:
        try:
            values = np.array([(a.figures[name], b.figures[name]) for a, b in run_pairs])
        except KeyError:
            msg = f"unknown figure {name!r}: expected one of {', '.join(run_pairs[0][0].figures)}"
            raise ValueError(msg) from None
        values = values[np.isfinite(values).all(axis=1)]
        if not len(values):
            continue
        change = values[:, 1] - values[:, 0]
        low, high = interval(change)
        differences.append(
            Difference(
                name,
                float(values[:, 0].mean()),
                float(values[:, 1].mean()),
                float(change.mean()),
                low,
                high,
                len(values),
            )
        )
    return differences


def interval(values: NDArray[np.float64]) -> tuple[float, float]:
    """Returns a bootstrap confidence interval of the mean (BCa; Efron 1987), nan for fewer than three values."""
    if len(values) < 3:
        return math.nan, math.nan
    if np.ptp(values) == 0:  # the bootstrap is undefined for identical values
        return float(values[0]), float(values[0])
    result = stats.bootstrap(
        (values,), np.mean, confidence_level=CONFIDENCE, n_resamples=RESAMPLES, random_state=np.random.default_rng(0)
    )
    return float(result.confidence_interval.low), float(result.confidence_interval.high)
