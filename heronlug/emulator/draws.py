"""Provides the random draws of a run: a stream for each entity and distributions named as in ``scipy.stats``.

Each entity has its own stream, seeded with the seed of the run and the name of the entity, so that adding a server
does not change the draws of any other entity. The work of a request is drawn at its arrival, so that all policies
receive the same requests.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple
from zlib import crc32

import numpy as np
from numpy.typing import NDArray
from scipy import stats

BATCH_SIZE = 512
"""Number of values drawn at once."""
DISTRIBUTION_NAMES = ("constant", "expon", "gamma", "lognorm", "pareto", "uniform", "weibull_min")
"""Distributions that a scenario may name."""
FITTED_DISTRIBUTIONS = ("expon", "gamma", "lognorm", "weibull_min")
"""Distributions that :func:`fit` considers."""


def stream(seed: int, *names: str) -> np.random.Generator:
    """Returns the random stream of the entity with these names."""
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, *(crc32(n.encode()) for n in names)])))


def distribution(table: Mapping[str, Any]) -> Any:
    """Returns the frozen distribution that a table such as ``{dist = "lognorm", s = 0.6, scale = 180}`` describes.

    ``constant`` takes only ``value``, and its value is returned; the other distributions take the parameters of
    ``scipy.stats``.

    Raises:
        ValueError: if the name or a parameter is unknown, missing or not finite, if a value may be negative, or if the
            mean is not finite.
    """
    parameters = dict(table)
    name = parameters.pop("dist", "")
    if name not in DISTRIBUTION_NAMES:
        msg = f"dist {name!r} is unknown: expected one of {', '.join(DISTRIBUTION_NAMES)}"
        raise ValueError(msg)
    for key, value in parameters.items():
        if isinstance(value, bool) or not isinstance(value, int | float) or not np.isfinite(value):
            msg = f"{key} = {value!r} is not a finite number"
            raise ValueError(msg)
    if name == "constant":
        if set(parameters) != {"value"} or not parameters["value"] >= 0:
            msg = "dist 'constant' takes only the parameter value, which must be 0 or more"
            raise ValueError(msg)
        return float(parameters["value"])
    family = getattr(stats, name)
    shapes = family.shapes.split(", ") if family.shapes else []
    unknown = parameters.keys() - {*shapes, "loc", "scale"}
    if unknown or not set(shapes) <= parameters.keys():
        msg = f"dist {name!r} takes the parameters {', '.join([*shapes, 'loc', 'scale'])}"
        raise ValueError(msg)
    frozen = family(**parameters)
    lower_bound, mean = frozen.support()[0], frozen.mean()
    if not (np.isfinite(mean) and lower_bound >= 0):
        msg = (
            f"dist {name!r} with these parameters has a mean of {mean:g} and a minimum of {lower_bound:g}: "
            "times must be 0 or more, and their mean must be finite"
        )
        raise ValueError(msg)
    return frozen


class Draws:
    """Values of one distribution from one random stream, drawn in batches; a distribution may be a constant."""

    __slots__ = ("_batch", "_draw", "_position")

    def __init__(self, dist: Any, rng: np.random.Generator) -> None:
        if isinstance(dist, float):
            self._draw: Callable[[], NDArray[np.float64]] = lambda: np.full(BATCH_SIZE, dist)
        else:
            self._draw = lambda: dist.rvs(BATCH_SIZE, random_state=rng)
        self._batch: list[float] = []
        self._position = 0

    def next(self) -> float:
        """Returns the next value."""
        if self._position == len(self._batch):
            self._batch, self._position = [*map(float, self._draw())], 0
        self._position += 1
        return self._batch[self._position - 1]


class Fit(NamedTuple):
    """Distribution fitted to measured values.

    Attributes:
        name: name of the distribution in ``scipy.stats``.
        params: fitted parameters by name.
        aic: Akaike information criterion; a lower value is a better fit.
        ks: Kolmogorov-Smirnov statistic, the largest distance between the fitted and the empirical distribution
            functions.
    """

    name: str
    params: dict[str, float]
    aic: float
    ks: float


def fit(values: NDArray[np.float64]) -> list[Fit]:
    """Fits distributions to times in ms and returns the fits in ascending order of AIC, the best first.

    Raises:
        ValueError: if there are fewer than 20 values, or if a value is not finite or not above 0.
    """
    if len(values) < 20 or not np.all(np.isfinite(values)) or np.min(values) <= 0:
        msg = "a fit requires at least 20 values, all finite and above 0"
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
