"""Reads experiment files: a scenario, values set for all runs, varied parameters and the number of seeds.

For example::

    name = "dispatchers"
    scenario = "../scenarios/steady.toml"   # relative to this file
    seeds = 10

    [set]
    span_s = 30

    [vary]
    policy = ["heronlug", "random"]
    dispatchers.count = [4, 16, 50]
"""

import hashlib
from collections.abc import Iterator
from itertools import product
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import msgspec
import orjson
from msgspec import Meta, Struct, field

import heronlug
from heronlug.config.strict_toml import ConfigProblems, Source
from heronlug.config.strict_toml.decode import decode
from heronlug.emulator import scenario as scenarios
from heronlug.emulator.scenario import Scenario

Params = dict[str, Any]
MAX_RUNS = 100_000
"""Maximum number of runs of an experiment."""
CODE_PACKAGES = ("balancer", "config", "conformance", "discovery", "emulator", "memory", "requests")
"""Packages of heronlug that a run imports."""


class Experiment(Struct, forbid_unknown_fields=True):
    """An experiment file.

    Attributes:
        name: name of the experiment.
        scenario: path of the scenario file, relative to the experiment file.
        seeds: number of seeds for each combination of varied values.
        first_seed: first seed; further seeds follow consecutively.
        set: values set for all runs, by dotted key of the scenario.
        vary: lists of values to vary, by dotted key of the scenario.
    """

    name: Annotated[str, Meta(min_length=1, max_length=64, description="a text of 1 to 64 characters")]
    scenario: Annotated[str, Meta(min_length=1, description="the path of a scenario file, relative to this one")]
    seeds: Annotated[int, Meta(ge=1, le=10_000, description="a whole number, 1 or more")] = 5
    first_seed: Annotated[int, Meta(ge=0, le=2**30, description="a whole number, 0 or more")] = 1
    set: dict[str, Any] = field(default_factory=dict)
    vary: dict[str, Any] = field(default_factory=dict)


class PlannedRun(NamedTuple):
    """A run that is to be executed.

    Attributes:
        key: digest of everything that the outcome depends on.
        path: path of the scenario file.
        params: varied values, by dotted key.
        fixed: values set for all runs, by dotted key.
        seed: seed of the run.
        code: version of the program at the time when the experiment was read; a later change of the files is ignored.
    """

    key: str
    path: str
    params: Params
    fixed: Params
    seed: int
    code: str


def dotted_keys(table: dict[str, Any], prefix: str = "") -> Params:
    """Flattens nested tables to dotted keys; ``prefix`` is put before each key."""
    flat: Params = {}
    for key, value in table.items():
        if isinstance(value, dict):
            flat |= dotted_keys(value, f"{prefix}{key}.")
        else:
            flat[prefix + key] = value
    return flat


def version() -> str:
    """Returns the version of the program followed by a digest of the packages that a run imports."""
    digest, root = hashlib.sha256(), Path(heronlug.__file__).parent
    for package in CODE_PACKAGES:
        for path in sorted((root / package).rglob("*.py")):
            digest.update(str(path.relative_to(root)).encode() + path.read_bytes())
    return f"{heronlug.__version__}+{digest.hexdigest()[:8]}"


def read(path: Path) -> tuple[Experiment, list[PlannedRun]]:
    """Reads an experiment file and returns the experiment and its planned runs; checks every scenario.

    Raises:
        ConfigProblems: if the file, or the scenario with a combination of values, is invalid.
    """
    source = Source.read(path)
    experiment, problems = decode(Experiment, source.table, source, ())
    if experiment is None:
        raise ConfigProblems(problems)
    experiment.set, experiment.vary = dotted_keys(experiment.set), dotted_keys(experiment.vary)
    for key, values in experiment.vary.items():
        keys = ("vary", *key.split("."))
        if not isinstance(values, list) or not values:
            problems.append(
                source.problem(keys, f"{values!r} is not a list of values", "expected a list of at least one value")
            )
        elif any(value in values[:number] for number, value in enumerate(values)):
            problems.append(source.problem(keys, "duplicate value", "expected each value once"))
        if key in experiment.set or key == "seed":
            problems.append(
                source.problem(
                    keys, "already set elsewhere", "expected each key in only one of seeds, [set] and [vary]"
                )
            )
    if problems:
        raise ConfigProblems(problems)
    scenario_path = path.parent / experiment.scenario
    planned_runs, code = [], version()
    for params in combinations(experiment.vary):
        try:
            scenario = scenarios.load(scenario_path, {**experiment.set, **params})
        except ConfigProblems as error:
            with_params = ", ".join(f"{key} = {value!r}" for key, value in params.items())
            text = f"invalid with {with_params or 'the values of [set]'}: {error.problems[0]}"
            raise ConfigProblems([source.problem(("scenario",), text, "expected a valid scenario")]) from None
        except ValueError as error:
            raise ConfigProblems([source.problem(("vary",), str(error), "expected a key of the scenario")]) from None
        for seed in range(experiment.first_seed, experiment.first_seed + experiment.seeds):
            key = hashlib.sha256(
                orjson.dumps([outcome_inputs(scenario), seed, code], option=orjson.OPT_SORT_KEYS)
            ).hexdigest()
            planned_runs.append(PlannedRun(key[:24], str(scenario_path), params, experiment.set, seed, code))
    if len(planned_runs) > MAX_RUNS:
        raise ConfigProblems([source.problem(("vary",), f"{len(planned_runs)} runs", f"expected at most {MAX_RUNS}")])
    return experiment, planned_runs


def outcome_inputs(scenario: Scenario) -> Any:
    """Returns everything that the outcome of a run depends on except the seed; a digest represents a trace file."""
    inputs = scenarios.to_plain_values(scenario)
    inputs.pop("seed")
    for arrivals in scenario.arrivals:
        if arrivals.shape == "trace":
            data = (Path(scenario.folder) / arrivals.file).read_bytes()
            inputs.setdefault("traces", []).append(hashlib.sha256(data).hexdigest())
    return msgspec.to_builtins(inputs)


def combinations(vary: dict[str, list[Any]]) -> Iterator[Params]:
    """Yields all combinations of the varied values."""
    for values in product(*vary.values()):
        yield dict(zip(vary, values, strict=True))
