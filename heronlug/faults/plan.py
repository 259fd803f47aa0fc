"""Reads test plans: TOML files that say which parties run, which faults happen when, and which results are expected.

Parties are named ``d0`` (a dispatcher), ``r0`` (a server), ``register`` (service discovery) and ``clients``. A selector
is one of: a name; a pattern (``d*``); ``hall:a`` (parties in zone a); ``hall:a/r*`` (parties in zone a that match the
pattern); ``share:0.7/d*`` (that share of the matching parties, drawn from the seed); ``but:d1`` (all dispatchers except
the named ones); ``reading`` (dispatchers that have a watch open at service discovery when the step begins).
"""

from fnmatch import fnmatchcase
from pathlib import Path
from random import Random
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

from heronlug.config.strict_toml import ConfigProblem, ConfigProblems, Source
from heronlug.config.strict_toml.decode import decode
from heronlug.config.strict_toml.value_types import Share, Text

Count = Annotated[int, Meta(ge=0, le=4000, description="a whole number, 0 to 4000")]
Millis = Annotated[float, Meta(ge=0, le=3_600_000, description="milliseconds, 0 to an hour")]
Seconds = Annotated[float, Meta(ge=0, le=3600, description="seconds, 0 to an hour")]
NonNegative = Annotated[float, Meta(ge=0, le=1e9, description="a number, 0 or more")]
NameList = Annotated[list[str], Meta(min_length=1, description="a list of names")]
Flag = Annotated[bool, Meta(description="true or false")]

DISPATCHER_ACTIONS = ("kill", "stop", "go", "start", "term", "replace", "hup")
"""Steps that send a signal to a dispatcher's process, or start or replace the process."""
PATH_ACTIONS = ("cut", "silent", "refuse", "full", "reset", "delay", "loss", "trickle", "half", "heal")
"""Steps that set, or with ``heal`` end, a fault on network paths."""
DISCOVERY_ACTIONS = ("down", "up", "hang", "speak", "anew", "costs", "turn")
"""Steps on service discovery: stop, start, stop answering, answer, restart versions, set ``call_ms``, reject calls."""
SERVER_ACTIONS = ("die", "back", "list", "slow")
"""Steps on servers: end the process, start it, change its lifecycle in the endpoint list, slow it down."""
ACTIONS = (*DISPATCHER_ACTIONS, *PATH_ACTIONS, *DISCOVERY_ACTIONS, *SERVER_ACTIONS)
TIMED_ACTIONS = {  # actions that ``for_s`` reverts after that time
    "cut",
    "silent",
    "refuse",
    "full",
    "delay",
    "loss",
    "trickle",
    "half",
    "stop",
    "kill",
    "down",
    "hang",
    "turn",
    "die",
    "slow",
}


class DispatchersTable(Struct, forbid_unknown_fields=True):
    """Table ``[dispatchers]``: processes of the program under test."""

    count: Annotated[int, Meta(ge=1, le=400, description="a whole number, 1 to 400")]
    peers: Flag = True  # dispatchers exchange peer messages over UDP, as on the platform
    # Sharing mode of the endpoint list in a cluster; empty: the dispatchers form no cluster.
    cluster: Annotated[Literal["", "list", "news"], Meta(description='"", "list" or "news"')] = ""
    seeds: Annotated[int, Meta(ge=0, le=64, description="a whole number, 0 to 64")] = 3  # seed members of the cluster
    platform: Flag = False  # platform config with the endpoint list as of the start of the run
    log_taken: Flag = False  # log at debug level; a request logged as taken without an answer breaks rule 1
    leave_halls: Flag = False  # traffic leaves a failing zone as a whole
    more: str = ""  # TOML appended to each dispatcher's file; {name} and {folder} are substituted
    later: list[str] = field(default_factory=list)  # selectors of dispatchers that a step starts


class DiscoveryTable(Struct, forbid_unknown_fields=True):
    """Table ``[register]``: stand-in for service discovery, which processes calls one after another."""

    call_ms: Millis = 0.0  # processing time of a call
    wait_most_ms: Millis = 1000.0  # a call that would wait longer is rejected
    turned_ms: Millis = 0.0  # processing time of a rejected call
    retry_after_ms: Millis = 0.0  # Retry-After of a rejection; 0 sends none
    down: Flag = False  # service discovery is down when the run starts


class ServersTable(Struct, forbid_unknown_fields=True):
    """Table ``[runners]``: stand-in servers."""

    count: Count = 4
    slots: Annotated[int, Meta(ge=1, le=1024, description="a whole number, 1 to 1024")] = 4
    queue: Annotated[int, Meta(ge=0, le=100_000, description="requests, 0 or more")] = 64
    cold: Flag = False  # all servers start to warm up when the run begins
    cold_from: Annotated[float, Meta(gt=0, le=1, description="a share, more than 0")] = 0.15
    warm_after_ms: Millis = 20_000.0
    tip_multiple: Annotated[float, Meta(ge=1, le=100, description="a factor, 1 to 100")] = 3.0
    overload_for_ms: Millis = 3000.0


class ClassTable(Struct, forbid_unknown_fields=True):
    """Table ``[[class]]``: a request class."""

    name: Text
    rate: Annotated[float, Meta(gt=0, le=10_000, description="requests per second, more than 0")]
    effect: Annotated[Literal["repeatable", "by_key", "once"], Meta(description='"repeatable", "by_key" or "once"')] = (
        "repeatable"
    )
    work_ms: Millis = 50.0  # mean; the work of each request is drawn from 0.5 to 1.5 times this value
    aim_ms: Millis = 1000.0
    deadline_ms: Millis = 5000.0
    worth: NonNegative = 1.0


class Step(Struct, forbid_unknown_fields=True, rename={"source": "from", "target": "to"}):
    """Table ``[[step]]``: an action on parties or paths at a given time."""

    at_s: Seconds
    do: Annotated[Literal[ACTIONS], Meta(description="one of " + ", ".join(ACTIONS))]  # type: ignore[valid-type]
    who: list[str] = field(default_factory=list)  # selectors of the affected parties
    source: list[str] = field(default_factory=lambda: ["*"])  # selectors of the sources of affected paths
    target: list[str] = field(default_factory=lambda: ["*"])  # selectors of the targets of affected paths
    both: Flag = True  # affect both directions; false: only from source to target
    for_s: Seconds | None = None  # time after which the step is reverted
    every_s: Seconds = 0.0  # interval between parties; 0 affects all of them at once
    ms: Millis = 0.0  # delay of a path, or processing time of a discovery call
    # Bytes per second of a trickle, or bytes that a connection forwards before its reset.
    bytes: Annotated[int, Meta(ge=0, le=10_000_000, description="bytes, 0 or more")] = 0
    share: Share = 0.0  # share of datagrams lost, or of discovery calls rejected
    factor: Annotated[float, Meta(gt=0, le=1000, description="a factor, more than 0")] = 1.0
    state: Annotated[Literal["active", "leaving", "left"], Meta(description='"active", "leaving" or "left"')] = "active"
    cold: Flag = True  # a restarted server warms up again


class FailedTable(Struct, forbid_unknown_fields=True):
    """Table ``[[expect.failed]]``: bound on failed attempts into a zone that began within a time span."""

    hall: Text
    from_s: Seconds
    to_s: Seconds
    most: Annotated[int, Meta(ge=0, le=1_000_000, description="a whole number, 0 or more")] = 0


class ExpectTable(Struct, forbid_unknown_fields=True):
    """Table ``[expect]``: expected results in addition to the four rules; an absent key sets no expectation."""

    calls_most: NonNegative | None = None
    calls_in_1s_most: NonNegative | None = None
    calls_in_100ms_most: NonNegative | None = None
    dials_in_1s_most: NonNegative | None = None  # at any single server
    turned_most: NonNegative | None = None
    listed: Flag = False  # every running dispatcher has the complete list at the end
    reading: list[int] | None = None  # minimum and maximum number of dispatchers with an open watch at the end
    served_least: Share | None = None  # share of the requests that were not lost with their dispatcher
    failed: list[FailedTable] = field(default_factory=list)
    alive: Flag = True  # no process ends unless a step ends it; false allows such an end


class FaultPlan(Struct, forbid_unknown_fields=True, rename={"classes": "class"}):
    """A complete test plan; the function ``parse`` replaces its raw tables by the structs above."""

    name: Text
    span_s: Annotated[float, Meta(gt=0, le=3600, description="seconds, more than 0")]
    dispatchers: Any
    seed: Annotated[int, Meta(ge=0, le=2**31, description="a whole number, 0 or more")] = 1
    begin: Annotated[Literal["start", "listed"], Meta(description='"start" or "listed"')] = "start"
    halls: NameList = field(default_factory=lambda: ["a"])
    slack_ms: Millis = 1000.0  # tolerance for answers and drains: clock differences and a busy machine
    told_after_ms: Millis = 4000.0  # cluster members that do not poll count as notified of a change after this time
    relays: Annotated[
        list[Literal["register", "runners", "peers"]], Meta(description='of "register", "runners", "peers"')
    ] = field(default_factory=lambda: ["register", "runners", "peers"])  # paths that go through a proxy
    register: Any = field(default_factory=dict)
    runners: Any = field(default_factory=dict)
    expect: Any = field(default_factory=dict)
    classes: list[Any] = field(default_factory=list)
    step: list[Any] = field(default_factory=list)

    @property
    def longest_deadline_s(self) -> float:
        """Longest deadline of all request classes, in seconds."""
        return max((table.deadline_ms for table in self.classes), default=0.0) / 1000

    @property
    def parties(self) -> list[str]:
        """Names of all parties that a selector can match."""
        dispatchers = [f"d{number}" for number in range(self.dispatchers.count)]
        return [*dispatchers, *(f"r{number}" for number in range(self.runners.count)), "register", "clients"]

    def has_party(self, party: str) -> bool:
        """Returns whether a party has this name, without building the list of all parties."""
        count = {"d": self.dispatchers.count, "r": self.runners.count}.get(party[:1], 0)
        number = party[1:]
        if not number.isdecimal() or f"{int(number)}" != number:
            return party in ("register", "clients")
        return int(number) < int(count)

    def zone_of(self, party: str) -> str:
        """Returns the zone of a party; service discovery and clients have none, which is an empty string."""
        return self.halls[int(party[1:]) % len(self.halls)] if party[1:].isdigit() else ""


TABLES: dict[str, type[Struct]] = {
    "dispatchers": DispatchersTable,
    "register": DiscoveryTable,
    "runners": ServersTable,
    "expect": ExpectTable,
}
LISTS: dict[str, type[Struct]] = {"class": ClassTable, "step": Step}


def load(path: Path) -> FaultPlan:
    """Reads a test plan from a file.

    Raises:
        ConfigProblems: if the plan is invalid, with every problem found.
    """
    return parse(Source.read(path))


def parse(source: Source) -> FaultPlan:
    """Parses the test plan of a file that has been read.

    Raises:
        ConfigProblems: if the plan is invalid, with every problem found.
    """
    plan, problems = decode(FaultPlan, source.table, source, ())
    if plan is None:
        raise ConfigProblems(problems)
    for key, table_type in TABLES.items():
        decoded, found = decode(table_type, getattr(plan, key), source, (key,))
        setattr(plan, key, decoded)
        problems += found
    for key, table_type in LISTS.items():
        attribute = "classes" if key == "class" else key
        listed = []
        for number, table in enumerate(getattr(plan, attribute)):
            decoded, found = decode(table_type, table, source, (key, number))
            listed.append(decoded)
            problems += found
        setattr(plan, attribute, listed)
    if not problems:
        problems = _cross_table_problems(plan, source)
    if problems:
        raise ConfigProblems(problems)
    return plan


def _cross_table_problems(plan: FaultPlan, source: Source) -> list[ConfigProblem]:
    """Returns the problems that concern several tables of a plan."""
    problems: list[ConfigProblem] = []
    for number, step in enumerate(plan.step):
        problems += _step_problems(step, number, plan, source)
    for index, selector in enumerate(plan.dispatchers.later):
        if not select_parties([selector], plan, Random(1)):
            problems.append(
                source.problem(
                    ("dispatchers", "later", index), f"{selector!r} matches no party", "expected a selector such as d3"
                )
            )
    bounds = plan.expect.reading
    if bounds is not None and (len(bounds) != 2 or bounds[0] > bounds[1]):
        problems.append(
            source.problem(
                ("expect", "reading"),
                f"{bounds} is not a pair of minimum and maximum",
                "expected a pair such as [1, 2]",
            )
        )
    if plan.dispatchers.cluster and "runners" in plan.relays and plan.runners.count:
        wrong = (
            "with [dispatchers] cluster all dispatchers share one address of each server, so servers have no proxies"
        )
        problems.append(source.problem(("relays",), wrong, 'expected ["register", "peers"]'))
    return problems


def _step_problems(step: Step, number: int, plan: FaultPlan, source: Source) -> list[ConfigProblem]:
    """Returns the problems of a step, whose index in the file is ``number``."""
    problems = []
    step_key = ("step", number)
    if step.at_s >= plan.span_s:
        problems.append(
            source.problem(
                (*step_key, "at_s"),
                "the step begins at or after the end of the run",
                f"expected less than {plan.span_s:g}",
            )
        )
    if step.do in (*DISPATCHER_ACTIONS, *SERVER_ACTIONS) and not step.who:
        problems.append(
            source.problem((*step_key, "who"), "the action names no party", 'expected a list such as ["d0"]')
        )
    if step.for_s is not None and step.do not in TIMED_ACTIONS:
        accepted = "expected no for_s; actions with a duration are " + ", ".join(sorted(TIMED_ACTIONS))
        problems.append(source.problem((*step_key, "for_s"), f"{step.do!r} has no duration", accepted))
    for key, selectors in (("who", step.who), ("from", step.source), ("to", step.target)):
        for index, selector in enumerate(selectors):
            if selector != "reading" and not select_parties([selector], plan, Random(1), ["d0"]):
                wrong = f"{selector!r} matches no party"
                problems.append(source.problem((*step_key, key, index), wrong, "expected a party of the plan"))
    return problems


def select_parties(selectors: list[str], plan: FaultPlan, rng: Random, reading: list[str] | None = None) -> list[str]:
    """Returns the parties that the selectors match, each once, in the order of the selectors.

    Args:
        selectors: selectors as described in the module docstring.
        plan: test plan whose parties are selected.
        rng: source of randomness for ``share`` selectors.
        reading: dispatchers that the selector ``reading`` stands for.
    """
    chosen: dict[str, None] = {}
    for selector in selectors:
        chosen.update(dict.fromkeys(_parties_of(selector, plan, rng, reading or [])))
    return list(chosen)


def _parties_of(selector: str, plan: FaultPlan, rng: Random, reading: list[str]) -> list[str]:
    if selector == "reading":
        return reading
    if plan.has_party(selector):
        return [selector]
    head, colon, rest = selector.partition(":")
    value, _, pattern = rest.partition("/")
    if colon and head == "hall":
        return [p for p in plan.parties if plan.zone_of(p) == value and fnmatchcase(p, pattern or "*")]
    if colon and head == "share":
        candidates = [p for p in plan.parties if fnmatchcase(p, pattern or "d*")]
        try:
            count = round(float(value) * len(candidates))
        except ValueError:
            return []
        return sorted(rng.sample(candidates, min(len(candidates), max(0, count))), key=candidates.index)
    if colon and head == "but":
        names = rest.split(",")
        return [p for p in plan.parties if p.startswith("d") and not any(fnmatchcase(p, n) for n in names)]
    return [p for p in plan.parties if fnmatchcase(p, selector)]
