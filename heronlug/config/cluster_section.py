"""The schema of ``[cluster]`` in an operators' file, and the files with its keys.

The attributes of the classes are the keys of the file; a duty in the file is a periodic task.
"""

from hashlib import blake2b
from pathlib import Path
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field, structs

from heronlug.config.errors import KeyFileError
from heronlug.config.strict_toml import ConfigProblem, Source
from heronlug.config.strict_toml.decode import decode
from heronlug.config.strict_toml.value_types import Text
from heronlug.net.http import split_address

SECTION = "cluster"
"""The table's name in the file."""

MIN_KEY_SIZE = 16
"""Bytes of a key file at least, without white space around."""

KEY_SIZE = 32
"""Bytes of a key that is made of a file."""

DISCOVERY_LEASE = "register"
"""Name of the lease of shared service discovery."""

HEALTH_CHECK_LEASE_PREFIX = "probe-"
"""Start of the names of the leases of health checks."""

Address = Annotated[str, Meta(min_length=1, description="an address such as 10.0.0.1:7946")]
Seconds = Annotated[float, Meta(gt=0, le=86_400, description="seconds, more than 0 and at most a day")]


class PeriodicTaskTable(Struct, forbid_unknown_fields=True):
    """A periodic task, ``[[cluster.duty]]``: one of the members runs its command at each interval."""

    name: Text
    every_s: Seconds
    command: Annotated[list[str], Meta(min_length=1, description="a list of words, the program first")] | None = None
    sweep: dict[str, Any] | None = None
    longest_s: Seconds = 60.0
    jitter_s: Annotated[float, Meta(ge=0, le=86_400, description="seconds, 0 to a day")] = 0.0


class SweepTable(Struct, forbid_unknown_fields=True):
    """Deletion of old files in a folder that all members see."""

    folder: Text
    keep_s: Annotated[float, Meta(ge=1, le=1e9, description="seconds, 1 or more")]
    pattern: Annotated[str, Meta(pattern=r"^[^/]+$", description="file names such as *.plan, without folders")] = "*"


class SharedDiscoveryTable(Struct, forbid_unknown_fields=True):
    """How service discovery is shared."""

    share: Annotated[Literal["list", "news"], Meta(description='"list" or "news"')]
    stale_after_ms: Annotated[
        float, Meta(ge=600, le=60_000, description="milliseconds, 600 (more than a beat) to 60000")
    ] = 1500.0


class HealthCheckTable(Struct, forbid_unknown_fields=True):
    """How the health of servers is checked."""

    every_s: Annotated[float, Meta(ge=0.1, le=3600, description="seconds, 0.1 to 3600")] = 2.0
    timeout_ms: Annotated[float, Meta(ge=10, le=60_000, description="milliseconds, 10 to 60000")] = 500.0
    fall: Annotated[int, Meta(ge=1, le=100, description="failures in a row, 1 to 100")] = 3
    rise: Annotated[int, Meta(ge=1, le=100, description="successes in a row, 1 to 100")] = 2
    shards: Annotated[int, Meta(ge=1, le=64, description="a whole number, 1 to 64")] = 8
    path: Annotated[
        str, Meta(pattern=r"^(/[!-~]*)?$", description="a path such as /health, or nothing for a connection alone")
    ] = ""
    panic_share: Annotated[float, Meta(gt=0, le=1, description="a share, more than 0 and at most 1")] = 0.5


class ClusterTable(Struct, forbid_unknown_fields=True):
    """The members and what they share."""

    listen: Address
    name: Text
    key_files: Annotated[list[str], Meta(min_length=1, max_length=2, description="one or two files, the first signs")]
    advertise: Address | None = None  # where others reach us, if that is not where we listen
    seeds: list[Address] = field(default_factory=list)
    duty: list[Any] = field(default_factory=list)
    register: Any = None
    probe: Any = None


Problems = list[ConfigProblem]


def read(source: Source) -> tuple[dict[str, Any], Problems]:
    """The table as plain values with absolute paths, and what is wrong with it."""
    table, problems = decode(ClusterTable, source.table.get(SECTION, {}), source, (SECTION,))
    if table is None:
        return {}, problems
    tasks = _read_tasks(table.duty, source, problems)
    discovery = _read_section("register", SharedDiscoveryTable, table.register, source, problems)
    health_checks = _read_section("probe", HealthCheckTable, table.probe, source, problems)
    if health_checks and health_checks["timeout_ms"] > health_checks["every_s"] * 1000:
        wrong = f"{health_checks['timeout_ms']:g} ms is more than the interval"
        right = f"{health_checks['every_s'] * 1000:g} at most"
        problems.append(source.problem((SECTION, "probe", "timeout_ms"), wrong, right))
    problems += _address_problems(table, source)
    files = [_absolute(name, source) for name in table.key_files]
    try:
        read_keys(files)
    except (OSError, KeyFileError) as error:
        problems.append(source.problem((SECTION, "key_files"), str(error), f"files of {MIN_KEY_SIZE} bytes or more"))
    values = structs.asdict(table)
    values.update(register=discovery, probe=health_checks, key_files=files, duty=tasks)
    return values, problems


def _absolute(path: str, source: Source) -> str:
    """A path that is relative to the operators' file, made absolute."""
    return str((Path(source.path).parent / path).resolve())


def _read_section(key: str, kind: type[Struct], value: object, source: Source, problems: Problems) -> dict[str, Any]:
    """The values of a table below ``[cluster]``; empty if it is not given or cannot be read."""
    if value is None:
        return {}
    section, found = decode(kind, value, source, (SECTION, key))
    problems += found
    return structs.asdict(section) if section is not None else {}


def _read_tasks(tables: list[Any], source: Source, problems: Problems) -> list[dict[str, Any]]:
    """The periodic tasks that can be read."""
    tasks: list[dict[str, Any]] = []
    for index, table in enumerate(tables):
        task, found = decode(PeriodicTaskTable, table, source, (SECTION, "duty", index))
        problems += found
        if task is None:
            continue
        task = _read_work(task, index, source, problems)
        problems += _task_problems(task, index, [known["name"] for known in tasks], source)
        tasks.append(structs.asdict(task))
    return tasks


def _read_work(task: PeriodicTaskTable, index: int, source: Source, problems: Problems) -> PeriodicTaskTable:
    """The task with its deletion of files read; a task has either that or a command."""
    if (task.command is None) is (task.sweep is None):
        wrong = "there is nothing, or more than one thing, to do"
        problems.append(source.problem((SECTION, "duty", index), wrong, "either command or sweep"))
        return task
    if task.sweep is None:
        return task
    sweep, found = decode(SweepTable, task.sweep, source, (SECTION, "duty", index, "sweep"))
    problems += found
    if sweep is None:
        return task
    return structs.replace(task, sweep={**structs.asdict(sweep), "folder": _absolute(sweep.folder, source)})


def _task_problems(task: PeriodicTaskTable, index: int, known: list[str], source: Source) -> Problems:
    """What is wrong with the name and the times of a task."""
    problems: Problems = []
    key_path = (SECTION, "duty", index)
    if task.name == DISCOVERY_LEASE or task.name.startswith(HEALTH_CHECK_LEASE_PREFIX):
        wrong = f"{task.name!r} is a duty of the program's own"
        problems.append(source.problem((*key_path, "name"), wrong, "another name"))
    if task.name in known:
        problems.append(source.problem((*key_path, "name"), f"{task.name!r} is there twice", "its own name"))
    if task.longest_s + task.jitter_s > task.every_s:
        wrong = f"a run of {task.longest_s:g} s, {task.jitter_s:g} s late, is not over when the next begins"
        problems.append(source.problem((*key_path, "every_s"), wrong, "more than both together"))
    return problems


def _address_problems(table: ClusterTable, source: Source) -> Problems:
    """Addresses that cannot be parsed."""
    places: list[tuple[tuple[str | int, ...], str]] = [((SECTION, "listen"), table.listen)]
    if table.advertise:
        places.append(((SECTION, "advertise"), table.advertise))
    places += [((SECTION, "seeds", index), seed) for index, seed in enumerate(table.seeds)]
    problems: Problems = []
    for key_path, address in places:
        try:
            split_address(address)
        except ValueError as error:
            problems.append(source.problem(key_path, str(error), "such as 10.0.0.1:7946"))
    return problems


def read_keys(files: list[str]) -> dict[int, bytes]:
    """The keys by their numbers, the one that signs first.

    Raises:
        OSError: A file cannot be read.
        KeyFileError: A key is too short, or two have the same number.
    """
    keys: dict[int, bytes] = {}
    for name in files:
        data = Path(name).read_bytes().strip()
        if len(data) < MIN_KEY_SIZE:
            raise KeyFileError(name, f"a key of {len(data)} bytes")
        key = blake2b(data, digest_size=KEY_SIZE).digest()
        number = blake2b(key, digest_size=1).digest()[0]
        if number in keys:
            raise KeyFileError(name, "the same key, or one of the same number, as the other")
        keys[number] = key
    return keys
