"""All chance of a run: streams spawned for each entity, and distributions by their names in ``scipy.stats``.

Every entity draws from a stream of its own, seeded by the run's seed and its name, so that one host more changes no
other's draws; and a job's work is drawn when it arrives, so that two policies are given the same jobs.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple
from zlib import crc32

import numpy as np
from numpy.typing import NDArray
from scipy import stats

BATCH_SIZE = 512
DISTRIBUTION_NAMES = ("constant", "expon", "gamma", "lognorm", "pareto", "uniform", "weibull_min")
FITTED_DISTRIBUTIONS = ("expon", "gamma", "lognorm", "weibull_min")


def stream(seed: int, *names: str) -> np.random.Generator:
    """The stream of one entity."""
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, *(crc32(n.encode()) for n in names)])))


def distribution(table: Mapping[str, Any]) -> Any:
    """A frozen distribution out of ``{dist = "lognorm", s = 0.6, scale = 180}``; raises ``ValueError``.

    ``constant`` takes ``value`` alone; all others the parameters that scipy has for them.
    """
    parameters = dict(table)
    name = parameters.pop("dist", "")
    if name not in DISTRIBUTION_NAMES:
        msg = f"{name!r} is none of {', '.join(DISTRIBUTION_NAMES)}"
        raise ValueError(msg)
    for key, value in parameters.items():
        if isinstance(value, bool) or not isinstance(value, int | float) or not np.isfinite(value):
            msg = f"{key}: {value!r} is no finite number"
            raise ValueError(msg)
    if name == "constant":
        if set(parameters) != {"value"} or not parameters["value"] >= 0:
            msg = "a constant takes value, 0 or more, and nothing else"
            raise ValueError(msg)
        return float(parameters["value"])
    family = getattr(stats, name)
    shapes = family.shapes.split(", ") if family.shapes else []
    unknown = parameters.keys() - {*shapes, "loc", "scale"}
    if unknown or not set(shapes) <= parameters.keys():
        msg = f"{name} takes {', '.join([*shapes, 'loc', 'scale'])}"
        raise ValueError(msg)
    frozen = family(**parameters)
    lower_bound, mean = frozen.support()[0], frozen.mean()
    if not (np.isfinite(mean) and lower_bound >= 0):
        msg = (
            f"{name} with these has a mean of {mean:g} and begins at {lower_bound:g}: times are 0 or more, "
            "and their mean is finite"
        )
        raise ValueError(msg)
    return frozen


class Draws:
    """Values of one distribution from one stream, drawn in batches."""

    __slots__ = ("_batch", "_draw", "_position")

    def __init__(self, dist: Any, rng: np.random.Generator) -> None:
        if isinstance(dist, float):
            self._draw: Callable[[], NDArray[np.float64]] = lambda: np.full(BATCH_SIZE, dist)
        else:
            self._draw = lambda: dist.rvs(BATCH_SIZE, random_state=rng)
        self._batch: list[float] = []
        self._position = 0

    def next(self) -> float:
        """The next value."""
        if self._position == len(self._batch):
            self._batch, self._position = [*map(float, self._draw())], 0
        self._position += 1
        return self._batch[self._position - 1]


class Fit(NamedTuple):
    """A distribution fitted to values."""

    name: str
    params: dict[str, float]
    aic: float  # less is better
    ks: float  # the largest distance between the two distribution functions


def fit(values: NDArray[np.float64]) -> list[Fit]:
    """Distributions fitted to times (ms, positive), the best by AIC first; raises ``ValueError`` for too few."""
    if len(values) < 20 or not np.all(np.isfinite(values)) or np.min(values) <= 0:
        msg = "20 values or more, all above 0, are needed"
        raise ValueError(msg)
    candidates = []
    for name in FITTED_DISTRIBUTIONS:
        family = getattr(stats, name)
        params = family.fit(values, floc=0)
        shapes = family.shapes.split(", ") if family.shapes else []
        likelihood = float(np.sum(family.logpdf(values, *params)))
        distance = float(stats.kstest(values, family.cdf, args=params).statistic)
        parameters = dict(zip([*shapes, "loc", "scale"], map(float, params), strict=True))
        candidates.append(Fit(name, parameters, 2 * (len(shapes) + 1) - 2 * likelihood, distance))
    return sorted(candidates, key=lambda each: each.aic)
