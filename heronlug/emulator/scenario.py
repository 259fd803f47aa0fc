"""Reads scenario files: servers, request classes, arrivals and faults, in TOML, checked as a whole before a run.

Times are seconds if the key ends in ``_s`` and milliseconds if it ends in ``_ms``; rates are requests per second over
all dispatchers. ``docs/operators/experiments.md`` describes every key.
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
RequestRate = Annotated[float, Meta(gt=0, le=1e6, description="requests per second, more than 0")]
Names = Annotated[list[Text], Meta(min_length=1, description="a list of at least one name")]


class Dispatchers(Struct, forbid_unknown_fields=True):
    """The ``[dispatchers]`` table; dispatchers share the servers and are assigned to zones in round-robin order.

    Attributes:
        count: number of dispatchers.
        start_s: time from the kill of a dispatcher to the start of its next process.
        max_open: maximum number of open requests at a dispatcher.
        attempts_cap: maximum number of attempts for a request.
        second_copies: whether requests may be hedged.
        may_tell: whether dispatchers exchange messages.
        halls: whether zone failover is on: dispatchers leave a zone that fails as a whole.
        lends: whether dispatchers lend each other their capacity shares of servers that are warming up.
        paced: whether dispatchers pace their calls of service discovery.
        listed: whether each dispatcher has an endpoint list, perhaps an outdated one, at the start.
        over_s: time over which the starts of the dispatchers are spread.
    """

    count: Count = 4
    start_s: NonNegativeSeconds = 0.3
    max_open: Count = 20_000
    attempts_cap: Annotated[int, Meta(ge=1, le=64, description="a whole number, 1 to 64")] = 6
    second_copies: bool = True
    may_tell: bool = True
    halls: bool = False
    lends: bool = True
    paced: bool = False
    listed: bool = True
    over_s: NonNegativeSeconds = 0.0


class Network(Struct, forbid_unknown_fields=True):
    """The ``[network]`` table; one-way delays are lognormal.

    Attributes:
        inside_ms: median one-way delay within a zone.
        across_ms: median one-way delay between zones.
        sigma: standard deviation of the logarithm of a delay.
        loss: share of the datagrams between dispatchers that is lost.
        dial_timeout_ms: time after which an attempt at an unreachable server fails.
    """

    inside_ms: NonNegativeMillis = 0.5
    across_ms: NonNegativeMillis = 15.0
    sigma: Annotated[float, Meta(ge=0, le=3, description="0 to 3")] = 0.3
    loss: Share = 0.0
    dial_timeout_ms: Annotated[float, Meta(gt=0, le=1e6, description="milliseconds, more than 0")] = 250.0


class DiscoveryTable(Struct, forbid_unknown_fields=True):
    """The ``[register]`` table of service discovery; lags are lognormal.

    Attributes:
        lag_ms: median time until a list or an event reaches a dispatcher.
        sigma: standard deviation of the logarithm of a lag.
        call_ms: time that one call occupies service discovery; 0 to answer all calls at once.
        wait_most_ms: longest wait of a call; a call that would wait longer is rejected.
        told: whether the dispatchers are configured with the cost of a call.
    """

    lag_ms: NonNegativeMillis = 50.0
    sigma: Annotated[float, Meta(ge=0, le=3, description="0 to 3")] = 0.5
    call_ms: NonNegativeMillis = 0.0
    wait_most_ms: NonNegativeMillis = 1000.0
    told: bool = False


class Safety(Struct, forbid_unknown_fields=True):
    """The ``[safety]`` table: limits that the four rules use.

    Attributes:
        drain_grace_ms: time after the notice of draining or removal in which a dispatcher may still send to a server.
        cold_from: share of its slots that a server has at the start of its process.
        warm_after_ms: time until a server has all its slots.
        tip_multiple: multiple of the present slots that running and queued executions may occupy without overload.
        overload_for_ms: duration of overload after which a server crashes.
    """

    drain_grace_ms: NonNegativeMillis = 2500.0
    cold_from: Annotated[float, Meta(gt=0, le=1, description="a share, more than 0 and at most 1")] = 0.15
    warm_after_ms: NonNegativeMillis = 20_000.0
    tip_multiple: Annotated[float, Meta(ge=1, le=100, description="a factor, 1 to 100")] = 3.0
    overload_for_ms: Annotated[float, Meta(gt=0, le=1e9, description="milliseconds, more than 0")] = 3000.0


class ServerKindTable(Struct, forbid_unknown_fields=True):
    """A ``[[kind]]`` table: a kind of server.

    Attributes:
        name: name of the kind.
        slots: number of slots of a server.
        speed: divisor of the work of an execution.
        queue: maximum number of queued executions.
        order: order in which queued executions start, see :class:`heronlug.emulator.servers.ServerKind`.
    """

    name: Text
    slots: Annotated[int, Meta(ge=1, le=1024, description="a whole number, 1 to 1024")]
    speed: Annotated[float, Meta(gt=0, le=1000, description="a factor, more than 0")] = 1.0
    queue: Annotated[int, Meta(ge=0, le=100_000, description="requests, 0 or more")] = 64
    order: Annotated[Literal["fifo", "backfill", "priority"], Meta(description='"fifo", "backfill" or "priority"')] = (
        "fifo"
    )


class Pool(Struct, forbid_unknown_fields=True):
    """A ``[[pool]]`` table: servers of one kind in one zone.

    Attributes:
        kind: name of the kind.
        count: number of servers.
        zone: name of the zone; empty for the first zone.
    """

    kind: Text
    count: Count
    zone: str = ""


class ClassTable(Struct, forbid_unknown_fields=True):
    """A ``[[class]]`` table: a request class and the behaviour of its clients.

    Attributes:
        name: name of the class.
        effect: whether a request may run twice, see :class:`heronlug.balancer.settings.Effect`.
        aim_ms: latency objective.
        deadline_ms: time from the arrival after which the client gives up.
        work: distribution of the execution time in ms at speed 1, see :mod:`heronlug.emulator.draws`.
        worth: value of a request that is served within the latency objective.
        late_worth: share of that value for a request that is served later.
        slots: number of slots that a request occupies at a server.
        retries: number of times a client submits a rejected request again.
        retry_wait_ms: shortest wait of a client before it submits a request again.
    """

    name: Text
    effect: Annotated[Literal["repeatable", "by_key", "once"], Meta(description='"repeatable", "by_key" or "once"')]
    aim_ms: Annotated[float, Meta(gt=0, le=1e9, description="milliseconds, more than 0")]
    deadline_ms: Annotated[float, Meta(gt=0, le=1e9, description="milliseconds, more than 0")]
    work: dict[str, Any]
    worth: Annotated[float, Meta(ge=0, le=1e6, description="0 or more")] = 1.0
    late_worth: Share = 0.5
    slots: Annotated[int, Meta(ge=1, le=64, description="a whole number, 1 to 64")] = 1
    retries: Annotated[int, Meta(ge=0, le=20, description="a whole number, 0 to 20")] = 0
    retry_wait_ms: NonNegativeMillis = 500.0


class Arrivals(Struct, forbid_unknown_fields=True, rename={"class_name": "class"}):
    """An ``[[arrivals]]`` table: arrivals of requests of one class.

    Attributes:
        class_name: name of the class, ``class`` in the file.
        shape: Poisson process with a constant rate, Poisson process with a rate that follows a sine wave, bursts, or a
            recorded trace.
        rate: mean rate of ``poisson`` and ``waves``.
        period_s: period of ``waves``.
        depth: amplitude of ``waves`` as a share of the rate.
        every_s: interval between the starts of two ``bursts``.
        size: number of requests in each of the ``bursts``.
        over_s: time over which each of the ``bursts`` is spread.
        file: file of a ``trace``: one line for each request, in seconds from ``from_s``.
        from_s: time of the first possible arrival.
        to_s: time after which no request arrives; the end of the run if not given.
    """

    class_name: Text
    shape: Annotated[
        Literal["poisson", "waves", "bursts", "trace"], Meta(description='"poisson", "waves", "bursts" or "trace"')
    ] = "poisson"
    rate: RequestRate | None = None
    period_s: PositiveSeconds = 60.0
    depth: Share = 0.5
    every_s: PositiveSeconds = 10.0
    size: Count = 100
    over_s: PositiveSeconds = 0.5
    file: str = ""
    from_s: NonNegativeSeconds = 0.0
    to_s: PositiveSeconds | None = None


class FaultTable(Struct, forbid_unknown_fields=True):
    """A ``[[trouble]]`` table: a fault.

    Attributes:
        what: kind of the fault.
        at_s: time at which the fault begins.
        for_s: duration of the fault.
        share: share of the servers, or of the dispatchers, that the fault affects.
        zone: name of the zone that the fault is limited to; empty for all zones.
        over_s: time over which the replacements of a ``deploy`` are spread.
        drain_s: time in a ``deploy`` from the draining of a server to the end of its process.
        factor: factor by which executions in a ``slow-zone`` take longer.
        listed: whether service discovery still lists the servers of ``hall-dies`` as ready.
        cold: whether the servers of ``hall-dies`` return as new processes.
    """

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
    share: Share = 0.1
    zone: str = ""
    over_s: PositiveSeconds = 30.0
    drain_s: NonNegativeSeconds = 3.0
    factor: Annotated[float, Meta(ge=1, le=1000, description="a factor, 1 or more")] = 4.0
    listed: bool = True
    cold: bool = True


class Scenario(Struct, forbid_unknown_fields=True, rename={"classes": "class"}):
    """A scenario file; once parsed, tables and lists hold the structs of ``TABLES`` and ``LISTS``.

    Attributes:
        name: name of the scenario.
        span_s: length of the run.
        classes: request classes, ``class`` in the file.
        kind: kinds of servers.
        pool: pools of servers.
        arrivals: arrivals of requests.
        warm_up_s: time from the start in which arrivals are not counted.
        seed: seed of all random streams.
        policy: name of the policy that chooses servers.
        zones: names of the zones.
        dispatchers: the ``[dispatchers]`` table.
        network: the ``[network]`` table.
        register: the ``[register]`` table.
        safety: the ``[safety]`` table.
        trouble: faults.
        folder: folder of the scenario file, which trace files are relative to; not a key of the file.
    """

    name: Text
    span_s: PositiveSeconds
    classes: list[Any]
    kind: list[Any]
    pool: list[Any]
    arrivals: list[Any]
    warm_up_s: NonNegativeSeconds = 0.0
    seed: Annotated[int, Meta(ge=0, le=2**31, description="a whole number, 0 or more")] = 1
    policy: Text = BUILT_IN_POLICY
    zones: Names = field(default_factory=lambda: ["here"])
    dispatchers: Any = field(default_factory=dict)
    network: Any = field(default_factory=dict)
    register: Any = field(default_factory=dict)
    safety: Any = field(default_factory=dict)
    trouble: list[Any] = field(default_factory=list)
    folder: str = ""


TABLES: dict[str, type[Struct]] = {
    "dispatchers": Dispatchers,
    "network": Network,
    "register": DiscoveryTable,
    "safety": Safety,
}
"""Structs of the tables that may occur once, by key."""
LISTS: dict[str, type[Struct]] = {
    "class": ClassTable,
    "kind": ServerKindTable,
    "pool": Pool,
    "arrivals": Arrivals,
    "trouble": FaultTable,
}
"""Structs of the tables that may occur several times, by key."""


def load(path: Path, changes: dict[str, Any] | None = None) -> Scenario:
    """Reads a scenario file.

    Args:
        path: path of the file.
        changes: values that replace values of the file, by dotted key as for :func:`put`.

    Raises:
        ConfigProblems: if the file or a changed value is invalid, with every problem found.
        ValueError: if a dotted key names no place in the scenario.
    """
    source = Source.read(path)
    for key, value in (changes or {}).items():
        put(source.table, key, value)
    return parse(source)


def put(table: dict[str, Any], key: str, value: Any) -> None:
    """Sets the value of a dotted key such as ``dispatchers.count`` or ``pool.0.count``.

    Raises:
        ValueError: if the key leads through a value that is not a table or list, or names an index that does not exist.
    """
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
        msg = f"{key}: no such key in the scenario"
        raise ValueError(msg) from None


def parse(source: Source) -> Scenario:
    """Returns the scenario of a file that was read.

    Raises:
        ConfigProblems: if the file is invalid, with every problem found.
    """
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
            problems.append(source.problem((key,), "missing", f"expected at least one [[{key}]]"))
    if not problems:
        problems = list(_consistency_problems(scenario, source))
    if problems:
        raise ConfigProblems(problems)
    return scenario


def _consistency_problems(scenario: Scenario, source: Source) -> Any:
    """Yields the problems of values that do not fit the values of other tables."""

    def problem(keys: Keys, wrong: str, accepted: str) -> ConfigProblem:
        return source.problem(keys, wrong, accepted)

    if scenario.policy not in (BUILT_IN_POLICY, *POLICIES):
        yield problem(
            ("policy",),
            f"unknown policy {scenario.policy!r}",
            "expected one of " + ", ".join((BUILT_IN_POLICY, *POLICIES)),
        )
    if scenario.warm_up_s >= scenario.span_s:
        yield problem(("warm_up_s",), "must be shorter than the run", f"expected less than {scenario.span_s:g}")
    kinds, class_names = ([each.name for each in listed] for listed in (scenario.kind, scenario.classes))
    for key, names in (("kind", kinds), ("class", class_names), ("zones", scenario.zones)):
        for number, name in enumerate(names):
            if name in names[:number]:
                yield problem((key, number), f"duplicate name {name!r}", "expected a unique name")
    for number, pool in enumerate(scenario.pool):
        if pool.kind not in kinds:
            yield problem(
                ("pool", number, "kind"), f"unknown kind {pool.kind!r}", "expected one of " + ", ".join(kinds)
            )
    for key, listed in (("pool", scenario.pool), ("trouble", scenario.trouble)):
        for number, each in enumerate(listed):
            if each.zone not in ("", *scenario.zones):
                yield problem(
                    (key, number, "zone"), f"unknown zone {each.zone!r}", "expected one of " + ", ".join(scenario.zones)
                )
    widest = max((kind.slots for kind in scenario.kind), default=0)
    for number, request_class in enumerate(scenario.classes):
        try:
            distribution(request_class.work)
        except (ValueError, TypeError) as error:
            yield problem(
                ("class", number, "work"),
                str(error),
                'expected a distribution such as {dist = "lognorm", s = 0.6, scale = 180.0}',
            )
        if request_class.aim_ms > request_class.deadline_ms:
            yield problem(
                ("class", number, "aim_ms"),
                "later than the deadline",
                f"expected at most {request_class.deadline_ms:g}",
            )
        if request_class.slots > widest:
            yield problem(("class", number, "slots"), "exceeds the slots of every kind", f"expected at most {widest}")
    for number, arrivals in enumerate(scenario.arrivals):
        if arrivals.class_name not in class_names:
            yield problem(
                ("arrivals", number, "class"),
                f"unknown class {arrivals.class_name!r}",
                "expected one of " + ", ".join(class_names),
            )
        if arrivals.shape in ("poisson", "waves") and arrivals.rate is None:
            yield problem(("arrivals", number, "rate"), "missing", "expected requests per second")
        if arrivals.shape == "trace" and not (Path(scenario.folder) / arrivals.file).is_file():
            yield problem(
                ("arrivals", number, "file"),
                f"file {arrivals.file!r} does not exist",
                "expected a path relative to the scenario",
            )
    for number, fault_table in enumerate(scenario.trouble):
        if fault_table.at_s >= scenario.span_s:
            yield problem(
                ("trouble", number, "at_s"), "at or after the end of the run", f"expected less than {scenario.span_s:g}"
            )
        if fault_table.what in ("partition", "slow-zone", "hall-dies") and not fault_table.zone:
            yield problem(("trouble", number, "zone"), "missing", "expected one of " + ", ".join(scenario.zones))


def to_plain_values(scenario: Scenario) -> dict[str, Any]:
    """Returns all values of a scenario as builtin types, without the folder."""
    values: dict[str, Any] = msgspec.to_builtins(structs.asdict(scenario))
    values.pop("folder")
    return values
