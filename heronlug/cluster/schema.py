"""The form of ``[cluster]`` in an operators' file, and the files with its keys."""

from hashlib import blake2b
from pathlib import Path
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field, structs

from heronlug.config.strict_toml import ConfigProblem, Source
from heronlug.config.strict_toml.decode import decode
from heronlug.config.strict_toml.value_types import Text
from heronlug.net.http import split_address

SECTION = "cluster"
MIN_KEY_SIZE = 16  # bytes
Address = Annotated[str, Meta(min_length=1, description="an address such as 10.0.0.1:7946")]
Seconds = Annotated[float, Meta(gt=0, le=86_400, description="seconds, more than 0 and at most a day")]


class PeriodicTaskTable(Struct, forbid_unknown_fields=True):
    """A periodic duty: one of the members runs its command at each interval."""

    name: Text
    every_s: Seconds
    command: Annotated[list[str], Meta(min_length=1, description="a list of words, the program first")] | None = None
    sweep: dict[str, Any] | None = None
    longest_s: Seconds = 60.0
    jitter_s: Annotated[float, Meta(ge=0, le=86_400, description="seconds, 0 to a day")] = 0.0


class SweepTable(Struct, forbid_unknown_fields=True):
    """Files of a folder that all members see are deleted when they are old."""

    folder: Text
    keep_s: Annotated[float, Meta(ge=1, le=1e9, description="seconds, 1 or more")]
    pattern: Annotated[str, Meta(pattern=r"^[^/]+$", description="file names such as *.plan, without folders")] = "*"


class SharedDiscoveryTable(Struct, forbid_unknown_fields=True):
    """How the reading of the node register is shared."""

    share: Annotated[Literal["list", "news"], Meta(description='"list" or "news"')]
    stale_after_ms: Annotated[
        float, Meta(ge=600, le=60_000, description="milliseconds, 600 (more than a beat) to 60000")
    ] = 1500.0


class HealthCheckTable(Struct, forbid_unknown_fields=True):
    """How hosts are probed."""

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


def read(source: Source) -> tuple[dict[str, Any], list[ConfigProblem]]:
    """The table as plain values, paths made whole; and the faults of it."""
    table, faults = decode(ClusterTable, source.table.get(SECTION, {}), source, (SECTION,))
    if table is None:
        return {}, faults
    duties: list[dict[str, Any]] = []
    for number, each in enumerate(table.duty):
        duty, wrong = decode(PeriodicTaskTable, each, source, (SECTION, "duty", number))
        faults += wrong
        if duty is None:
            continue
        if duty.name == "register" or duty.name.startswith("probe-"):
            wrong_text = f"{duty.name!r} is a duty of the program's own"
            faults.append(source.fault((SECTION, "duty", number, "name"), wrong_text, "another name"))
        if (duty.command is None) is (duty.sweep is None):
            faults.append(
                source.fault(
                    (SECTION, "duty", number),
                    "there is nothing, or more than one thing, to do",
                    "either command or sweep",
                )
            )
        elif duty.sweep is not None:
            sweep, wrong = decode(SweepTable, duty.sweep, source, (SECTION, "duty", number, "sweep"))
            faults += wrong
            if sweep is not None:
                folder = str((Path(source.path).parent / sweep.folder).resolve())
                duty = structs.replace(duty, sweep={**structs.asdict(sweep), "folder": folder})
        if duty.name in [known["name"] for known in duties]:
            faults.append(
                source.fault((SECTION, "duty", number, "name"), f"{duty.name!r} is there twice", "its own name")
            )
        if duty.longest_s + duty.jitter_s > duty.every_s:
            wrong_text = f"a run of {duty.longest_s:g} s, {duty.jitter_s:g} s late, is not over when the next begins"
            faults.append(source.fault((SECTION, "duty", number, "every_s"), wrong_text, "more than both together"))
        duties.append(structs.asdict(duty))
    shared: dict[str, dict[str, Any]] = {"register": {}, "probe": {}}
    forms: tuple[tuple[str, type[Struct], Any], ...] = (
        ("register", SharedDiscoveryTable, table.register),
        ("probe", HealthCheckTable, table.probe),
    )
    for key, form, given in forms:
        if given is not None:
            made, wrong = decode(form, given, source, (SECTION, key))
            faults += wrong
            shared[key] = structs.asdict(made) if made is not None else {}
    if shared["probe"] and shared["probe"]["timeout_ms"] > shared["probe"]["every_s"] * 1000:
        wrong_text = f"{shared['probe']['timeout_ms']:g} ms is more than the interval"
        right = f"{shared['probe']['every_s'] * 1000:g} at most"
        faults.append(source.fault((SECTION, "probe", "timeout_ms"), wrong_text, right))
    advertised = [table.advertise] if table.advertise else []
    for key, addresses in (("listen", [table.listen]), ("advertise", advertised), ("seeds", table.seeds)):
        for number, address in enumerate(addresses):
            try:
                split_address(address)
            except ValueError as error:
                at = (SECTION, key) if key != "seeds" else (SECTION, key, number)
                faults.append(source.fault(at, str(error), "such as 10.0.0.1:7946"))
    files = [str((Path(source.path).parent / name).resolve()) for name in table.key_files]
    try:
        read_keys(files)
    except (OSError, ValueError) as error:
        faults.append(source.fault((SECTION, "key_files"), str(error), f"files of {MIN_KEY_SIZE} bytes or more"))
    return {**structs.asdict(table), **shared, "key_files": files, "duty": duties}, faults


def read_keys(files: list[str]) -> dict[int, bytes]:
    """The keys by their numbers, the one that signs first; raises ``OSError`` or ``ValueError``."""
    found: dict[int, bytes] = {}
    for name in files:
        data = Path(name).read_bytes().strip()
        if len(data) < MIN_KEY_SIZE:
            raise ValueError(f"{name}: a key of {len(data)} bytes")
        key = blake2b(data, digest_size=32).digest()
        number = blake2b(key, digest_size=1).digest()[0]
        if number in found:
            raise ValueError(f"{name}: the same key, or one of the same number, as the other")
        found[number] = key
    return found
