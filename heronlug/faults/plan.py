"""A rig's script: what is started, what befalls it and when, and what has to hold in the end.  TOML, by ``forms``.

A party is named ``d0`` (a dispatcher), ``r0`` (a runner), ``register`` or ``clients``. A selector names parties:
a name, a pattern (``d*``), ``hall:a``, ``hall:a/r*`` (of these the runners), ``share:0.7/d*`` (so many of them, drawn
from the seed), ``but:d1`` (all dispatchers but these), ``reading`` (the dispatchers that watch the register at that
moment).
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
NonNegative = Annotated[float, Meta(ge=0, le=1e9, description="a figure, 0 or more")]
NameList = Annotated[list[str], Meta(min_length=1, description="a list of names")]
Flag = Annotated[bool, Meta(description="true or false")]

DISPATCHER_ACTIONS = ("kill", "stop", "go", "start", "term", "replace", "hup")  # of dispatchers
PATH_ACTIONS = ("cut", "silent", "refuse", "full", "reset", "delay", "loss", "trickle", "half", "heal")  # of paths
DISCOVERY_ACTIONS = ("down", "up", "hang", "speak", "anew", "costs", "turn")  # of the register itself
SERVER_ACTIONS = ("die", "back", "list", "slow")  # of runners
ACTIONS = (*DISPATCHER_ACTIONS, *PATH_ACTIONS, *DISCOVERY_ACTIONS, *SERVER_ACTIONS)
TIMED_ACTIONS = {  # what ``for_s`` takes back
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
    """The processes of the program."""

    count: Annotated[int, Meta(ge=1, le=400, description="a whole number, 1 to 400")]
    peers: Flag = True  # they tell each other over UDP, as on the platform
    cluster: Annotated[Literal["", "list", "news"], Meta(description='"", "list" or "news"')] = ""
    seeds: Annotated[int, Meta(ge=0, le=64, description="a whole number, 0 to 64")] = 3  # of the cluster
    platform: Flag = False  # configured as on the platform, each with the list as it is when the run begins
    log_taken: Flag = False  # each log tells of what is taken; what has no answer there breaks rule 1
    leave_halls: Flag = False  # a hall that fails as one is left as one
    more: str = ""  # TOML that stands at the end of each one's file; {name} and {folder} are put in
    later: list[str] = field(default_factory=list)  # selectors of those that a step starts


class DiscoveryTable(Struct, forbid_unknown_fields=True):
    """The node register: it works through calls one after another."""

    call_ms: Millis = 0.0  # what a call costs it
    wait_most_ms: Millis = 1000.0  # a call that would wait longer is turned away
    turned_ms: Millis = 0.0  # what that costs it
    retry_after_ms: Millis = 0.0  # told then; 0 for nothing
    down: Flag = False  # at the start


class ServersTable(Struct, forbid_unknown_fields=True):
    """Stand-in runners."""

    count: Count = 4
    slots: Annotated[int, Meta(ge=1, le=1024, description="a whole number, 1 to 1024")] = 4
    queue: Annotated[int, Meta(ge=0, le=100_000, description="jobs, 0 or more")] = 64
    cold: Flag = False  # all have just started when the clock begins
    cold_from: Annotated[float, Meta(gt=0, le=1, description="a share, more than 0")] = 0.15
    warm_after_ms: Millis = 20_000.0
    tip_multiple: Annotated[float, Meta(ge=1, le=100, description="a factor, 1 to 100")] = 3.0
    overload_for_ms: Millis = 3000.0


class ClassTable(Struct, forbid_unknown_fields=True):
    """A class of jobs."""

    name: Text
    rate: Annotated[float, Meta(gt=0, le=10_000, description="jobs a second, more than 0")]
    effect: Annotated[Literal["repeatable", "by_key", "once"], Meta(description='"repeatable", "by_key" or "once"')] = (
        "repeatable"
    )
    work_ms: Millis = 50.0  # the mean; each job's is drawn from 0.5 to 1.5 times that
    aim_ms: Millis = 1000.0
    deadline_ms: Millis = 5000.0
    worth: NonNegative = 1.0


class Step(Struct, forbid_unknown_fields=True, rename={"source": "from", "target": "to"}):
    """One thing that happens."""

    at_s: Seconds
    do: Annotated[Literal[ACTIONS], Meta(description="one of " + ", ".join(ACTIONS))]  # type: ignore[valid-type]
    who: list[str] = field(default_factory=list)  # whom it befalls
    source: list[str] = field(default_factory=lambda: ["*"])  # of paths
    target: list[str] = field(default_factory=lambda: ["*"])
    both: Flag = True  # ways; false: only what goes from source to target
    for_s: Seconds | None = None  # then it is taken back
    every_s: Seconds = 0.0  # with several parties: one after another, so far apart
    ms: Millis = 0.0  # of a delay, or of a call's cost
    bytes: Annotated[int, Meta(ge=0, le=10_000_000, description="bytes, 0 or more")] = 0  # a second, or of an answer
    share: Share = 0.0  # of a loss, of calls turned away
    factor: Annotated[float, Meta(gt=0, le=1000, description="a factor, more than 0")] = 1.0
    state: Annotated[Literal["active", "leaving", "left"], Meta(description='"active", "leaving" or "left"')] = "active"
    cold: Flag = True  # a runner that comes back


class FailedTable(Struct, forbid_unknown_fields=True):
    """How many relays into a hall may fail that began within a time."""

    hall: Text
    from_s: Seconds
    to_s: Seconds
    most: Annotated[int, Meta(ge=0, le=1_000_000, description="a whole number, 0 or more")] = 0


class ExpectTable(Struct, forbid_unknown_fields=True):
    """What has to hold beside the four rules.  What is absent is not asked for."""

    calls_most: NonNegative | None = None
    calls_in_1s_most: NonNegative | None = None
    calls_in_100ms_most: NonNegative | None = None
    dials_in_1s_most: NonNegative | None = None  # at any one runner
    turned_most: NonNegative | None = None
    listed: Flag = False  # every dispatcher that lives has the whole list in the end
    reading: list[int] | None = None  # at least and at most so many watch the register in the end
    served_least: Share | None = None  # of the jobs whose clients did not lose their dispatcher
    failed: list[FailedTable] = field(default_factory=list)
    alive: Flag = True  # nobody ended that no step ended


class FaultPlan(Struct, forbid_unknown_fields=True, rename={"classes": "class"}):
    """A whole script.  The lists hold the forms above once it has been read."""

    name: Text
    span_s: Annotated[float, Meta(gt=0, le=3600, description="seconds, more than 0")]
    dispatchers: Any
    seed: Annotated[int, Meta(ge=0, le=2**31, description="a whole number, 0 or more")] = 1
    begin: Annotated[Literal["start", "listed"], Meta(description='"start" or "listed"')] = "start"
    halls: NameList = field(default_factory=lambda: ["a"])
    slack_ms: Millis = 1000.0  # granted to answers and to drains, for clocks and a busy machine
    told_after_ms: Millis = 4000.0  # who does not read itself counts as told of a change after this
    relays: Annotated[
        list[Literal["register", "runners", "peers"]], Meta(description='of "register", "runners", "peers"')
    ] = field(default_factory=lambda: ["register", "runners", "peers"])  # paths that go through a relay
    register: Any = field(default_factory=dict)
    runners: Any = field(default_factory=dict)
    expect: Any = field(default_factory=dict)
    classes: list[Any] = field(default_factory=list)
    step: list[Any] = field(default_factory=list)

    @property
    def longest_deadline_s(self) -> float:
        """The longest deadline of all classes, in seconds."""
        return max((table.deadline_ms for table in self.classes), default=0.0) / 1000

    @property
    def parties(self) -> list[str]:
        """All that selectors may name."""
        dispatchers = [f"d{number}" for number in range(self.dispatchers.count)]
        return [*dispatchers, *(f"r{number}" for number in range(self.runners.count)), "register", "clients"]

    def has_party(self, party: str) -> bool:
        """Whether it is the name of a party, with no look at all the others."""
        count = {"d": self.dispatchers.count, "r": self.runners.count}.get(party[:1], 0)
        number = party[1:]
        if not number.isdecimal() or f"{int(number)}" != number:
            return party in ("register", "clients")
        return int(number) < int(count)

    def zone_of(self, party: str) -> str:
        """Where a party stands; the register and the clients stand nowhere."""
        return self.halls[int(party[1:]) % len(self.halls)] if party[1:].isdigit() else ""


TABLES: dict[str, type[Struct]] = {
    "dispatchers": DispatchersTable,
    "register": DiscoveryTable,
    "runners": ServersTable,
    "expect": ExpectTable,
}
LISTS: dict[str, type[Struct]] = {"class": ClassTable, "step": Step}


def load(path: Path) -> FaultPlan:
    """Read a file; raises :class:`ConfigProblems` with all that is wrong."""
    return parse(Source.read(path))


def parse(source: Source) -> FaultPlan:
    """The script of a file; raises :class:`ConfigProblems`."""
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
    """What is wrong among the tables."""
    problems: list[ConfigProblem] = []
    for number, step in enumerate(plan.step):
        problems += _step_problems(step, number, plan, source)
    for index, selector in enumerate(plan.dispatchers.later):
        if not select_parties([selector], plan, Random(1)):
            problems.append(source.problem(("dispatchers", "later", index), f"{selector!r} names nobody", "such as d3"))
    bounds = plan.expect.reading
    if bounds is not None and (len(bounds) != 2 or bounds[0] > bounds[1]):
        problems.append(source.problem(("expect", "reading"), f"{bounds} is no span", "such as [1, 2]"))
    if plan.dispatchers.cluster and "runners" in plan.relays and plan.runners.count:
        wrong = "with [dispatchers] cluster one list serves all, and so does one address of each runner"
        problems.append(source.problem(("relays",), wrong, '["register", "peers"]'))
    return problems


def _step_problems(step: Step, number: int, plan: FaultPlan, source: Source) -> list[ConfigProblem]:
    """What is wrong with one step, which is the ``number``-th of the file."""
    problems = []
    step_key = ("step", number)
    if step.at_s >= plan.span_s:
        problems.append(source.problem((*step_key, "at_s"), "after the end", f"less than {plan.span_s:g}"))
    if step.do in (*DISPATCHER_ACTIONS, *SERVER_ACTIONS) and not step.who:
        problems.append(source.problem((*step_key, "who"), "nobody", 'such as ["d0"]'))
    if step.for_s is not None and step.do not in TIMED_ACTIONS:
        accepted = "no for_s; it can be taken back of " + ", ".join(sorted(TIMED_ACTIONS))
        problems.append(source.problem((*step_key, "for_s"), f"{step.do!r} is over at once", accepted))
    for key, selectors in (("who", step.who), ("from", step.source), ("to", step.target)):
        for index, selector in enumerate(selectors):
            if selector != "reading" and not select_parties([selector], plan, Random(1), ["d0"]):
                wrong = f"{selector!r} names nobody"
                problems.append(source.problem((*step_key, key, index), wrong, "a party of the script"))
    return problems


def select_parties(selectors: list[str], plan: FaultPlan, rng: Random, reading: list[str] | None = None) -> list[str]:
    """The parties that selectors name, each once, in order."""
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
