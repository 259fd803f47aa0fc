"""Defines and reads the ``[cluster]`` table of an operators' file and the key files that the table names.

The attributes of the structs are the keys of the file; a ``duty`` in the file is a periodic task.
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
"""Name of the table in the file."""

MIN_KEY_SIZE = 16
"""Minimum size of a key file in bytes, without leading and trailing white space."""

KEY_SIZE = 32
"""Size in bytes of the key that is derived from a key file."""

DISCOVERY_LEASE = "register"
"""Name of the lease for shared service discovery."""

HEALTH_CHECK_LEASE_PREFIX = "probe-"
"""Prefix of the names of the leases for health checks."""

Address = Annotated[str, Meta(min_length=1, description="an address such as 10.0.0.1:7946")]
Seconds = Annotated[float, Meta(gt=0, le=86_400, description="seconds, more than 0 and at most a day")]


class PeriodicTaskTable(Struct, forbid_unknown_fields=True):
    """A ``[[cluster.duty]]`` table: a periodic task, which one member at a time runs at each interval.

    Attributes:
        name: Unique name of the task, which is also the name of its lease.
        every_s: Interval of the runs, in seconds.
        command: Words of the command that a run executes; None if the task deletes files instead.
        sweep: A :class:`FileDeletionTable`; None if the task executes a command instead.
        longest_s: Time limit of a run, in seconds.
        jitter_s: Maximum additional delay of a run, in seconds; each run uses a different fraction.
    """

    name: Text
    every_s: Seconds
    command: Annotated[list[str], Meta(min_length=1, description="a list of words, the program first")] | None = None
    sweep: dict[str, Any] | None = None
    longest_s: Seconds = 60.0
    jitter_s: Annotated[float, Meta(ge=0, le=86_400, description="seconds, 0 to a day")] = 0.0


class FileDeletionTable(Struct, forbid_unknown_fields=True):
    """A periodic task that deletes old files in a folder that all members share."""

    folder: Text
    keep_s: Annotated[float, Meta(ge=1, le=1e9, description="seconds, 1 or more")]
    pattern: Annotated[str, Meta(pattern=r"^[^/]+$", description="file names such as *.plan, without folders")] = "*"


class SharedDiscoveryTable(Struct, forbid_unknown_fields=True):
    """The ``[cluster.register]`` table: sharing of service discovery among the members.

    Attributes:
        share: ``list`` if one member reads service discovery for all members; ``news`` if each member reads service
            discovery and the members share only which servers are drained or removed.
        stale_after_ms: Age from which the shared list is stale, in ms.
    """

    share: Annotated[Literal["list", "news"], Meta(description='"list" or "news"')]
    stale_after_ms: Annotated[
        float, Meta(ge=600, le=60_000, description="milliseconds, 600 (longer than a heartbeat interval) to 60000")
    ] = 1500.0


class HealthCheckTable(Struct, forbid_unknown_fields=True):
    """The ``[cluster.probe]`` table: health checks of the servers.

    Attributes:
        every_s: Interval between two checks of a server, in seconds.
        timeout_ms: Time limit of a check, in ms.
        fall: Number of consecutive failures after which a server is down.
        rise: Number of consecutive successes after which a server is up again.
        shards: Number of groups into which the servers are divided; one member at a time checks a group.
        path: Path that a check requests; a check with an empty path only opens a connection.
        panic_share: Fraction of servers that are down above which the results of the checks are ignored.
    """

    every_s: Annotated[float, Meta(ge=0.1, le=3600, description="seconds, 0.1 to 3600")] = 2.0
    timeout_ms: Annotated[float, Meta(ge=10, le=60_000, description="milliseconds, 10 to 60000")] = 500.0
    fall: Annotated[int, Meta(ge=1, le=100, description="failures in a row, 1 to 100")] = 3
    rise: Annotated[int, Meta(ge=1, le=100, description="successes in a row, 1 to 100")] = 2
    shards: Annotated[int, Meta(ge=1, le=64, description="a whole number, 1 to 64")] = 8
    path: Annotated[
        str, Meta(pattern=r"^(/[!-~]*)?$", description="a path such as /health, or empty to open a connection only")
    ] = ""
    panic_share: Annotated[float, Meta(gt=0, le=1, description="a share, more than 0 and at most 1")] = 0.5


class ClusterTable(Struct, forbid_unknown_fields=True):
    """The ``[cluster]`` table: the address and name of this member, its peers and what the members share."""

    listen: Address
    name: Text
    key_files: Annotated[
        list[str], Meta(min_length=1, max_length=2, description="one or two files; the key of the first one signs")
    ]
    advertise: Address | None = None  # the address at which peers reach this member, if it differs from listen
    seeds: list[Address] = field(default_factory=list)
    duty: list[Any] = field(default_factory=list)
    register: Any = None
    probe: Any = None


Problems = list[ConfigProblem]


def read(source: Source) -> tuple[dict[str, Any], Problems]:
    """Returns the table as plain values with absolute paths, and the problems of the table."""
    table, problems = decode(ClusterTable, source.table.get(SECTION, {}), source, (SECTION,))
    if table is None:
        return {}, problems
    tasks = _read_tasks(table.duty, source, problems)
    discovery = _read_section("register", SharedDiscoveryTable, table.register, source, problems)
    health_checks = _read_section("probe", HealthCheckTable, table.probe, source, problems)
    if health_checks and health_checks["timeout_ms"] > health_checks["every_s"] * 1000:
        wrong = f"{health_checks['timeout_ms']:g} ms is longer than every_s"
        right = f"expected at most {health_checks['every_s'] * 1000:g} ms"
        problems.append(source.problem((SECTION, "probe", "timeout_ms"), wrong, right))
    problems += _address_problems(table, source)
    files = [_absolute(name, source) for name in table.key_files]
    try:
        read_keys(files)
    except (OSError, KeyFileError) as error:
        problems.append(
            source.problem(
                (SECTION, "key_files"), str(error), f"expected different files of at least {MIN_KEY_SIZE} bytes"
            )
        )
    values = structs.asdict(table)
    values.update(register=discovery, probe=health_checks, key_files=files, duty=tasks)
    return values, problems


def _absolute(path: str, source: Source) -> str:
    """Returns the absolute form of a path that is relative to the operators' file."""
    return str((Path(source.path).parent / path).resolve())


def _read_section(key: str, kind: type[Struct], value: object, source: Source, problems: Problems) -> dict[str, Any]:
    """Returns the values of a table below ``[cluster]``, or an empty dict if the table is absent or invalid."""
    if value is None:
        return {}
    section, found = decode(kind, value, source, (SECTION, key))
    problems += found
    return structs.asdict(section) if section is not None else {}


def _read_tasks(tables: list[Any], source: Source, problems: Problems) -> list[dict[str, Any]]:
    """Returns the periodic tasks that can be decoded; adds the problems of all tasks to ``problems``."""
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
    """Returns the task with its ``sweep`` table decoded; a task has either a command or a sweep."""
    if (task.command is None) is (task.sweep is None):
        wrong = "the periodic task has no command and no sweep, or has a command and a sweep"
        problems.append(source.problem((SECTION, "duty", index), wrong, "expected either command or sweep"))
        return task
    if task.sweep is None:
        return task
    deletion, found = decode(FileDeletionTable, task.sweep, source, (SECTION, "duty", index, "sweep"))
    problems += found
    if deletion is None:
        return task
    return structs.replace(task, sweep={**structs.asdict(deletion), "folder": _absolute(deletion.folder, source)})


def _task_problems(task: PeriodicTaskTable, index: int, known: list[str], source: Source) -> Problems:
    """Returns the problems with the name and the times of a task."""
    problems: Problems = []
    key_path = (SECTION, "duty", index)
    if task.name == DISCOVERY_LEASE or task.name.startswith(HEALTH_CHECK_LEASE_PREFIX):
        wrong = f"{task.name!r} is the name of a lease that the dispatcher uses itself"
        problems.append(source.problem((*key_path, "name"), wrong, "expected another name"))
    if task.name in known:
        problems.append(source.problem((*key_path, "name"), f"{task.name!r} is used twice", "expected a unique name"))
    if task.longest_s + task.jitter_s > task.every_s:
        wrong = f"a run of {task.longest_s:g} s, {task.jitter_s:g} s late, has not ended when the next run starts"
        problems.append(source.problem((*key_path, "every_s"), wrong, "expected at least longest_s + jitter_s"))
    return problems


def _address_problems(table: ClusterTable, source: Source) -> Problems:
    """Returns a problem for each address that cannot be parsed."""
    places: list[tuple[tuple[str | int, ...], str]] = [((SECTION, "listen"), table.listen)]
    if table.advertise:
        places.append(((SECTION, "advertise"), table.advertise))
    places += [((SECTION, "seeds", index), seed) for index, seed in enumerate(table.seeds)]
    problems: Problems = []
    for key_path, address in places:
        try:
            split_address(address)
        except ValueError as error:
            problems.append(source.problem(key_path, str(error), "expected an address such as 10.0.0.1:7946"))
    return problems


def read_keys(files: list[str]) -> dict[int, bytes]:
    """Returns the keys by their numbers, in the order of the files; the first key signs.

    Raises:
        OSError: If a file cannot be read.
        KeyFileError: If a key is too short, or if two keys have the same number.
    """
    keys: dict[int, bytes] = {}
    for name in files:
        data = Path(name).read_bytes().strip()
        if len(data) < MIN_KEY_SIZE:
            raise KeyFileError(name, f"the key has only {len(data)} bytes")
        key = blake2b(data, digest_size=KEY_SIZE).digest()
        number = blake2b(key, digest_size=1).digest()[0]
        if number in keys:
            raise KeyFileError(name, "the key, or the number of the key, is the same as in the other file")
        keys[number] = key
    return keys
