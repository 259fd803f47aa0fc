"""Which of two ways is better, run by run of the same seed, and whether the difference is more than noise."""

import math
from collections.abc import Sequence
from typing import Any, NamedTuple

import numpy as np
from numpy.typing import NDArray
from scipy import stats

from heronlug.experiments.store import StoredRun

CONFIDENCE = 0.95
RESAMPLES = 4000


class Difference(NamedTuple):
    """A figure of two ways."""

    figure: str
    a: float  # means
    b: float
    change: float  # of b against a
    low: float  # of the confidence interval, nan where there are too few pairs
    high: float
    pairs: int

    @property
    def noise(self) -> bool:
        """Whether it may as well be none."""
        return not (self.low > 0 or self.high < 0)


def parse_params(text: str) -> dict[str, str]:
    """``policy=random,dispatchers.count=4``; raises ``ValueError``."""
    params = {}
    for part in text.split(","):
        key, equals, value = part.partition("=")
        if not equals or not key:
            msg = f"{part!r} is no KEY=VALUE"
            raise ValueError(msg)
        params[key.strip()] = value.strip()
    return params


def pairs(runs: Sequence[StoredRun], a: dict[str, str], b: dict[str, str]) -> list[tuple[StoredRun, StoredRun]]:
    """Runs of both ways with the same seed and the same of all else that varies; raises ``ValueError`` for none."""
    known = {key for run in runs for key in run.params}
    for key in a.keys() | b.keys():
        if key not in known:
            msg = f"{key!r} does not vary here; what does: {', '.join(sorted(known)) or 'nothing'}"
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
        msg = "no two runs have the same seed and all else alike"
        raise ValueError(msg)
    return [(runs_by_key[0][key], runs_by_key[1][key]) for key in common_keys]


def compare(run_pairs: Sequence[tuple[StoredRun, StoredRun]], figures: Sequence[str] = ()) -> list[Difference]:
    """Each figure, or those named; raises ``ValueError`` for one that there is not."""
    names = list(figures) or [name for name in run_pairs[0][0].figures if name in run_pairs[0][1].figures]
    differences = []
    for name in names:
        try:
            values = np.array([(a.figures[name], b.figures[name]) for a, b in run_pairs])
        except KeyError:
            msg = f"{name!r} is no figure; there are {', '.join(run_pairs[0][0].figures)}"
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
    """A bootstrap confidence interval of a mean (BCa; Efron 1987); nan for fewer than three values."""
    if len(values) < 3:
        return math.nan, math.nan
    if np.ptp(values) == 0:  # nothing to draw from
        return float(values[0]), float(values[0])
    result = stats.bootstrap(
        (values,), np.mean, confidence_level=CONFIDENCE, n_resamples=RESAMPLES, random_state=np.random.default_rng(0)
    )
    return float(result.confidence_interval.low), float(result.confidence_interval.high)
