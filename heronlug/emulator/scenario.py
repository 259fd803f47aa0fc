"""A scenario file: fleet, classes, arrivals and troubles, in TOML, checked whole before anything runs.

Spans are seconds (``_s``) or milliseconds (``_ms``) as the key says; rates are jobs a second over all dispatchers.
``docs/operators/experiments.md`` has every key.
"""

from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field, structs

from heronlug.config.strict_toml import ConfigProblem, ConfigProblems, Source
from heronlug.config.strict_toml.decode import decode
from heronlug.config.strict_toml.source import Keys
from heronlug.config.strict_toml.value_types import Share, Text
from heronlug.emulator.draws import distribution
from heronlug.emulator.policies import BUILT_IN_POLICY, POLICIES

PositiveSeconds = Annotated[float, Meta(gt=0, le=1e6, description="seconds, more than 0")]
NonNegativeSeconds = Annotated[float, Meta(ge=0, le=1e6, description="seconds, 0 or more")]
NonNegativeMillis = Annotated[float, Meta(ge=0, le=1e9, description="milliseconds, 0 or more")]
Count = Annotated[int, Meta(ge=1, le=100_000, description="a whole number, 1 or more")]
RequestRate = Annotated[float, Meta(gt=0, le=1e6, description="jobs a second, more than 0")]
Names = Annotated[list[Text], Meta(min_length=1, description="a list of at least one name")]


class Dispatchers(Struct, forbid_unknown_fields=True):
    """Those that share the hosts; they are put into the zones in turn."""

    count: Count = 4
    start_s: NonNegativeSeconds = 0.3  # a killed one is back after this
    max_open: Count = 20_000
    attempts_cap: Annotated[int, Meta(ge=1, le=64, description="a whole number, 1 to 64")] = 6
    second_copies: bool = True
    may_tell: bool = True
    halls: bool = False  # they leave a hall that fails as one
    lends: bool = True  # they lend each other their parts of what cold hosts bear
    paced: bool = False  # their calls of the register keep to a pace
    listed: bool = True  # at the start each has a list, if an old one
    over_s: NonNegativeSeconds = 0.0  # within this all have started


class Network(Struct, forbid_unknown_fields=True):
    """One way, as a median; the spread is lognormal."""

    inside_ms: NonNegativeMillis = 0.5
    across_ms: NonNegativeMillis = 15.0
    sigma: Annotated[float, Meta(ge=0, le=3, description="0 to 3")] = 0.3
    loss: Share = 0.0  # of the datagrams between dispatchers
    dial_timeout_ms: Annotated[float, Meta(gt=0, le=1e6, description="milliseconds, more than 0")] = 250.0


class DiscoveryTable(Struct, forbid_unknown_fields=True):
    """How long the register's news takes to a dispatcher, as a median."""

    lag_ms: NonNegativeMillis = 50.0
    sigma: Annotated[float, Meta(ge=0, le=3, description="0 to 3")] = 0.5
    call_ms: NonNegativeMillis = 0.0  # what a call costs it; 0: it answers all at once
    wait_most_ms: NonNegativeMillis = 1000.0  # a call that would wait longer is turned away
    told: bool = False  # the dispatchers are told what a call costs


class Safety(Struct, forbid_unknown_fields=True):
    """The figures of the four rules."""

    drain_grace_ms: NonNegativeMillis = 2500.0
    cold_from: Annotated[float, Meta(gt=0, le=1, description="a share, more than 0 and at most 1")] = 0.15
    warm_after_ms: NonNegativeMillis = 20_000.0
    tip_multiple: Annotated[float, Meta(ge=1, le=100, description="a factor, 1 to 100")] = 3.0
    overload_for_ms: Annotated[float, Meta(gt=0, le=1e9, description="milliseconds, more than 0")] = 3000.0


class ServerKindTable(Struct, forbid_unknown_fields=True):
    """A kind of host."""

    name: Text
    slots: Annotated[int, Meta(ge=1, le=1024, description="a whole number, 1 to 1024")]
    speed: Annotated[float, Meta(gt=0, le=1000, description="a factor, more than 0")] = 1.0
    queue: Annotated[int, Meta(ge=0, le=100_000, description="jobs, 0 or more")] = 64
    order: Annotated[Literal["fifo", "backfill", "priority"], Meta(description='"fifo", "backfill" or "priority"')] = (
        "fifo"
    )


class Pool(Struct, forbid_unknown_fields=True):
    """So many hosts of a kind in a zone."""

    kind: Text
    count: Count
    zone: str = ""  # the first one


class ClassTable(Struct, forbid_unknown_fields=True):
    """A class of jobs."""

    name: Text
    effect: Annotated[Literal["repeatable", "by_key", "once"], Meta(description='"repeatable", "by_key" or "once"')]
    aim_ms: Annotated[float, Meta(gt=0, le=1e9, description="milliseconds, more than 0")]
    deadline_ms: Annotated[float, Meta(gt=0, le=1e9, description="milliseconds, more than 0")]
    work: dict[str, Any]  # milliseconds at speed 1, see heronlug.emulator.draws
    worth: Annotated[float, Meta(ge=0, le=1e6, description="0 or more")] = 1.0
    late_worth: Share = 0.5
    slots: Annotated[int, Meta(ge=1, le=64, description="a whole number, 1 to 64")] = 1
    retries: Annotated[int, Meta(ge=0, le=20, description="a whole number, 0 to 20")] = 0  # of a client that is refused
    retry_wait_ms: NonNegativeMillis = 500.0


class Arrivals(Struct, forbid_unknown_fields=True, rename={"lane": "class"}):
    """Jobs of one class: at random with a rate that stays, waves or bursts, or as recorded."""

    lane: Text
    shape: Annotated[
        Literal["poisson", "waves", "bursts", "trace"], Meta(description='"poisson", "waves", "bursts" or "trace"')
    ] = "poisson"
    rate: RequestRate | None = None
    period_s: PositiveSeconds = 60.0  # of waves
    depth: Share = 0.5  # of waves: the rate goes up and down by this share
    every_s: PositiveSeconds = 10.0  # of bursts
    size: Count = 100  # of bursts: jobs
    over_s: PositiveSeconds = 0.5  # of bursts: within this
    file: str = ""  # of a trace: a line for each job, seconds from the start
    from_s: NonNegativeSeconds = 0.0
    to_s: PositiveSeconds | None = None


class FaultTable(Struct, forbid_unknown_fields=True):
    """Something that befalls the fleet."""

    what: Annotated[
        Literal[
            "crash",
            "hang",
            "pause",
            "deploy",
            "dispatcher-kill",
            "partition",
            "slow-zone",
            "register-silent",
            "hall-dies",
        ],
        Meta(
            description='"crash", "hang", "pause", "deploy", "dispatcher-kill", "partition", "slow-zone", '
            '"register-silent" or "hall-dies"'
        ),
    ]
    at_s: NonNegativeSeconds
    for_s: PositiveSeconds = 10.0
    share: Share = 0.1  # of the hosts, or of the dispatchers
    zone: str = ""
    over_s: PositiveSeconds = 30.0  # of a deploy: within this all have been replaced
    drain_s: NonNegativeSeconds = 3.0  # of a deploy: from the drain to the end of the process
    factor: Annotated[float, Meta(ge=1, le=1000, description="a factor, 1 or more")] = 4.0  # of a slow zone
    listed: bool = True  # of a hall that dies: the register goes on to say that its hosts are ready
    cold: bool = True  # of a hall that dies: its hosts come back as new processes


class Scenario(Struct, forbid_unknown_fields=True, rename={"classes": "class"}):
    """One scenario.  The lists hold :class:`ServerKindTable` and so on once it has been read."""

    name: Text
    span_s: PositiveSeconds
    classes: list[Any]
    kind: list[Any]
    pool: list[Any]
    arrivals: list[Any]
    warm_up_s: NonNegativeSeconds = 0.0  # what arrives before is not counted
    seed: Annotated[int, Meta(ge=0, le=2**31, description="a whole number, 0 or more")] = 1
    policy: Text = BUILT_IN_POLICY
    zones: Names = field(default_factory=lambda: ["here"])
    dispatchers: Any = field(default_factory=dict)
    network: Any = field(default_factory=dict)
    register: Any = field(default_factory=dict)
    safety: Any = field(default_factory=dict)
    trouble: list[Any] = field(default_factory=list)
    folder: str = ""  # of the file, for those that it names


TABLES: dict[str, type[Struct]] = {
    "dispatchers": Dispatchers,
    "network": Network,
    "register": DiscoveryTable,
    "safety": Safety,
}
LISTS: dict[str, type[Struct]] = {
    "class": ClassTable,
    "kind": ServerKindTable,
    "pool": Pool,
    "arrivals": Arrivals,
    "trouble": FaultTable,
}


def load(path: Path, changes: dict[str, Any] | None = None) -> Scenario:
    """Read a file, with other values in place of some of it; raises :class:`ConfigProblems` with all that is wrong."""
    source = Source.read(path)
    for key, value in (changes or {}).items():
        put(source.table, key, value)
    return parse(source)


def put(table: dict[str, Any], key: str, value: Any) -> None:
    """Another value at a place such as ``dispatchers.count`` or ``pool.0.count``; raises ``ValueError``."""
    *steps, last = key.split(".")
    container: Any = table
    try:
        for step in steps:
            container = container[int(step)] if isinstance(container, list) else container.setdefault(step, {})
        if isinstance(container, list):
            container[int(last)] = value
        else:
            container[last] = value
    except (KeyError, IndexError, ValueError, TypeError, AttributeError):
        msg = f"{key}: there is no such place in the scenario"
        raise ValueError(msg) from None


def parse(source: Source) -> Scenario:
    """The scenario of a file; raises :class:`ConfigProblems`."""
    scenario, problems = decode(Scenario, {k: v for k, v in source.table.items() if k != "folder"}, source, ())
    if scenario is None:
        raise ConfigProblems(problems)
    scenario.folder = str(Path(source.path).parent)

    def decode_table(kind: type[Any], table: Any, *at: str | int) -> Any:
        decoded, found = decode(kind, table, source, at)
        problems.extend(found)
        return decoded

    for key, kind in TABLES.items():
        setattr(scenario, key, decode_table(kind, getattr(scenario, key), key))
    for key, kind in LISTS.items():
        attribute = "classes" if key == "class" else key
        decoded = [decode_table(kind, table, key, number) for number, table in enumerate(getattr(scenario, attribute))]
        setattr(scenario, attribute, decoded)
        if not decoded and key != "trouble":
            problems.append(source.problem((key,), "there is none", f"at least one [[{key}]]"))
    if not problems:
        problems = list(_consistency_problems(scenario, source))
    if problems:
        raise ConfigProblems(problems)
    return scenario


def _consistency_problems(scenario: Scenario, source: Source) -> Any:
    """What the tables have wrong among each other."""

    def problem(keys: Keys, wrong: str, accepted: str) -> ConfigProblem:
        return source.problem(keys, wrong, accepted)

    if scenario.policy not in (BUILT_IN_POLICY, *POLICIES):
        yield problem(("policy",), f"{scenario.policy!r} is none", "one of " + ", ".join((BUILT_IN_POLICY, *POLICIES)))
    if scenario.warm_up_s >= scenario.span_s:
        yield problem(("warm_up_s",), "nothing is left of the span", f"less than {scenario.span_s:g}")
    kinds, class_names = ([each.name for each in listed] for listed in (scenario.kind, scenario.classes))
    for key, names in (("kind", kinds), ("class", class_names), ("zones", scenario.zones)):
        for number, name in enumerate(names):
            if name in names[:number]:
                yield problem((key, number), f"{name!r} is there twice", "a name of its own")
    for number, pool in enumerate(scenario.pool):
        if pool.kind not in kinds:
            yield problem(("pool", number, "kind"), f"{pool.kind!r} is no kind", "one of " + ", ".join(kinds))
    for key, listed in (("pool", scenario.pool), ("trouble", scenario.trouble)):
        for number, each in enumerate(listed):
            if each.zone not in ("", *scenario.zones):
                yield problem((key, number, "zone"), f"{each.zone!r} is no zone", "one of " + ", ".join(scenario.zones))
    widest = max((kind.slots for kind in scenario.kind), default=0)
    for number, request_class in enumerate(scenario.classes):
        try:
            distribution(request_class.work)
        except (ValueError, TypeError) as error:
            yield problem(("class", number, "work"), str(error), 'such as {dist = "lognorm", s = 0.6, scale = 180.0}')
        if request_class.aim_ms > request_class.deadline_ms:
            yield problem(("class", number, "aim_ms"), "past the deadline", f"{request_class.deadline_ms:g} at most")
        if request_class.slots > widest:
            yield problem(("class", number, "slots"), "no kind has so many", f"{widest} at most")
    for number, arrivals in enumerate(scenario.arrivals):
        if arrivals.lane not in class_names:
            yield problem(
                ("arrivals", number, "class"), f"{arrivals.lane!r} is no class", "one of " + ", ".join(class_names)
            )
        if arrivals.shape in ("poisson", "waves") and arrivals.rate is None:
            yield problem(("arrivals", number, "rate"), "missing", "jobs a second")
        if arrivals.shape == "trace" and not (Path(scenario.folder) / arrivals.file).is_file():
            yield problem(("arrivals", number, "file"), f"{arrivals.file!r} is no file", "beside the scenario")
    for number, fault_table in enumerate(scenario.trouble):
        if fault_table.at_s >= scenario.span_s:
            yield problem(("trouble", number, "at_s"), "after the end", f"less than {scenario.span_s:g}")
        if fault_table.what in ("partition", "slow-zone", "hall-dies") and not fault_table.zone:
            yield problem(("trouble", number, "zone"), "missing", "one of " + ", ".join(scenario.zones))


def to_plain_values(scenario: Scenario) -> dict[str, Any]:
    """All values, for keeping with a run."""
    values: dict[str, Any] = msgspec.to_builtins(structs.asdict(scenario))
    values.pop("folder")
    return values
