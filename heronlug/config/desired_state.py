"""Reads the desired state of a dispatcher from the operators' file and compares desired and running state.

The file is read at the start and by the plan and apply commands:

    log_level = "info"

    [faktory]
    listen = "127.0.0.1:7419"      # absent or empty: no Faktory listener
    password = ""
    beat_timeout_s = 60

    [[plugin]]
    name = "audit"
    file = "audit.wasm"            # relative to this file
    fuel = 100000                  # limit for each call
    memory_kb = 1024

    [class.send-invites]           # limits of a request class, see docs/operators/limits.md
    attempts = 3

The platform's own file has no limits; the modules that read classes, the cluster and service discovery are imported
only if a file has their tables.
"""

import hashlib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import orjson

from heronlug.balancer.settings import Settings
from heronlug.config.errors import ConfigurationError
from heronlug.config.log_levels import LEVELS
from heronlug.config.strict_toml import ConfigProblem, ConfigProblems, Source
from heronlug.config.strict_toml.source import Keys
from heronlug.net.http import split_address

State = dict[str, Any]
EMPTY: State = {"log_level": "info", "faktory": {}, "plugins": {}, "classes": {}, "cluster": {}, "register": {}}
FAKTORY_DEFAULTS: dict[str, Any] = {
    "listen": "",
    "password": "",
    "beat_timeout_s": 60.0,
    "reserve_for_s": 1800.0,
    "remember_s": 86400.0,
    "max_known": 100_000,
    "max_connections": 200,
    "store": "",
}
PLUGIN_DEFAULTS: dict[str, Any] = {"name": "", "file": "", "fuel": 100_000, "memory_kb": 1024}
STATE_KEYS = ("log_level", "faktory", "plugin", "class", "cluster", "register")
SITE_KEYS = ("serve", "site", "host")  # further keys of a file that is the whole configuration
MAX_MODULE_BYTES = 1024 * 1024
"""Maximum size of the module of a plug-in."""


class StateError(ConfigurationError, ValueError):
    """Raised if a file is invalid or a change cannot be made.

    The message has one line for each problem; a problem of a file names the file, the line and the key.
    """


def _with_defaults(
    table: Any, defaults: Mapping[str, Any], source: Source, key_path: Keys, problems: list[ConfigProblem]
) -> State:
    """Returns the table with defaults for absent keys; adds a problem for each unknown key and invalid value."""
    if not isinstance(table, dict):
        problems.append(source.problem(key_path, "not a table", f"expected [{key_path[0]}]"))
        return dict(defaults)
    for key, value in table.items():
        if key not in defaults:
            problems.append(source.problem((*key_path, key), "unknown key", "expected one of " + ", ".join(defaults)))
            continue
        number = isinstance(defaults[key], int | float)
        if isinstance(value, bool) or not isinstance(value, int | float if number else str):
            kind = "number" if number else "string"
            problems.append(source.problem((*key_path, key), f"{value!r} is not a {kind}", f"expected a {kind}"))
        elif number and not 0 < value < 1e12:
            shown = value if isinstance(value, float) else "the number"
            right = "expected more than 0 and less than 1e12"
            problems.append(source.problem((*key_path, key), f"{shown} is out of range", right))
    return {**defaults, **table}


def parse(source: Source, site: Settings | None = None) -> State:
    """Returns the state that an operators' file describes.

    Args:
        source: The file.
        site: The settings against which the limits of the classes are checked; None if the limits are
            checked only against their schema.

    Raises:
        ConfigProblems: If the file is invalid; the error has all problems.
    """
    table, problems = source.table, list[ConfigProblem]()
    for key in table.keys() - {*STATE_KEYS, *SITE_KEYS}:
        problems.append(
            source.problem((key,), "unknown key", "expected one of " + ", ".join((*STATE_KEYS, *SITE_KEYS)))
        )
    level = table.get("log_level", "info")
    if not isinstance(level, str) or level not in LEVELS:
        problems.append(
            source.problem(("log_level",), f"{level!r} is not a log level", "expected one of " + ", ".join(LEVELS))
        )
    faktory = _with_defaults(table.get("faktory", {}), FAKTORY_DEFAULTS, source, ("faktory",), problems)
    if faktory["listen"] and isinstance(faktory["listen"], str):
        try:
            split_address(faktory["listen"])
        except ValueError as error:
            problems.append(
                source.problem(("faktory", "listen"), str(error), "expected an address such as 127.0.0.1:7419")
            )
    if faktory["store"] and isinstance(faktory["store"], str):
        faktory["store"] = str((Path(source.path).parent / faktory["store"]).resolve())
    plugins = _read_plugins(table.get("plugin", []), source, problems)
    classes: dict[str, Any] = {}
    if "class" in table:
        from heronlug.config.limits import load

        classes, wrong = load.read(source)
        problems += [*wrong, *(load.problems(source, load.check(site, classes)) if site is not None else ())]
    cluster: State = {}
    if "cluster" in table:
        from heronlug.config import cluster_section

        cluster, wrong = cluster_section.read(source)
        problems += wrong
    discovery: State = {}
    if "register" in table:
        from heronlug.config import discovery_section

        discovery, wrong = discovery_section.read(source)
        problems += wrong
    if problems:
        raise ConfigProblems(problems)
    return {
        "log_level": level,
        "faktory": faktory if faktory["listen"] else {},
        "plugins": plugins,
        "classes": classes,
        "cluster": cluster,
        "register": discovery,
    }


def _read_plugins(listed: Any, source: Source, problems: list[ConfigProblem]) -> State:
    if not isinstance(listed, list):
        problems.append(source.problem(("plugin",), "not a list of tables", "expected [[plugin]]"))
        return {}
    plugins: State = {}
    for number, entry in enumerate(listed):
        key_path, before = ("plugin", number), len(problems)
        plugin = _with_defaults(entry, PLUGIN_DEFAULTS, source, key_path, problems)
        if len(problems) > before:
            continue
        if not plugin["name"] or plugin["name"] in plugins:
            problems.append(
                source.problem((*key_path, "name"), "the name is missing or used twice", "expected a unique name")
            )
        module = (Path(source.path).parent / plugin["file"]).resolve()
        try:
            data = module.read_bytes()
        except OSError as error:
            problems.append(
                source.problem((*key_path, "file"), error.strerror or str(error), "expected a WebAssembly module")
            )
            continue
        if len(data) > MAX_MODULE_BYTES:
            problems.append(
                source.problem(
                    (*key_path, "file"),
                    f"the module has more than {MAX_MODULE_BYTES} bytes",
                    "expected a smaller module",
                )
            )
        digest = hashlib.sha256(data).hexdigest()
        plugins[plugin.pop("name")] = {**plugin, "file": str(module), "sha256": digest}
    return plugins


def digest(state: State) -> str:
    """Returns the SHA-256 digest of a state; a plan contains the digest of the state from which the plan starts."""
    return hashlib.sha256(orjson.dumps(state, option=orjson.OPT_SORT_KEYS)).hexdigest()


def difference(running: State, desired: State) -> list[str]:
    """Returns one line for each item that is added (+), changed (~) or removed (-)."""
    lines = []
    if running["log_level"] != desired["log_level"]:
        lines.append(f"~ log_level: {running['log_level']} -> {desired['log_level']}")
    for what, old, new in (
        ("faktory", {"listener": running["faktory"]}, {"listener": desired["faktory"]}),
        ("plugin", running["plugins"], desired["plugins"]),
        ("cluster", {"member": running["cluster"]}, {"member": desired["cluster"]}),
        ("register", {"reading": running.get("register")}, {"reading": desired.get("register")}),
    ):
        for name in sorted({**old, **new}):
            before, after = old.get(name) or {}, new.get(name) or {}
            if before == after:
                continue
            sign = "~" if before and after else "+" if after else "-"
            keys = [key for key in sorted({**before, **after}) if before.get(key) != after.get(key)]
            shown = (
                [f"{key}: {_format_value(key, before)} -> {_format_value(key, after)}" for key in keys]
                if sign == "~"
                else []
            )
            lines.append(f"{sign} {what} {name}" + (" (" + "; ".join(shown) + ")" if shown else ""))
    return [*lines, *changed_limits(running["classes"], desired["classes"])]


def changed_limits(running: Mapping[str, Any], desired: Mapping[str, Any]) -> list[str]:
    """Returns one line for each limit that changes; a limit that is not given has the site's default."""
    lines = []
    for name in sorted({**running, **desired}):
        before, after = running.get(name, {}), desired.get(name, {})
        for key in sorted({**before, **after}):
            old, new = (_format_limit(given, key) for given in (before, after))
            if old != new:
                lines.append(f"~ class {name} {key}: {old} -> {new}")
    return lines


def _format_limit(given: Mapping[str, Any], key: str) -> str:
    value = given.get(key, "site default")
    return value if isinstance(value, str) else orjson.dumps(value).decode()


def _format_value(key: str, table: Mapping[str, Any]) -> str:
    value = str(table.get(key, "nothing"))
    return "(hidden)" if key == "password" else value[:12] if key == "sha256" else value
