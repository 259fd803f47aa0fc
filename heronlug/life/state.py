"""The desired state of a daemon: what plan and apply compare, and what the deploy file says at the start.

    log_level = "info"

    [faktory]
    listen = "127.0.0.1:7419"      # absent or empty: off
    password = ""
    beat_timeout_s = 60

    [[plugin]]
    name = "audit"
    file = "audit.wasm"            # beside this file
    fuel = 100000                  # for one call
    memory_kb = 1024
"""

import hashlib
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import orjson

from heronlug.life.log import LEVELS
from heronlug.wire.http import split_address

State = dict[str, Any]
EMPTY: State = {"log_level": "info", "faktory": {}, "plugins": {}}
FAKTORY: dict[str, Any] = {
    "listen": "", "password": "", "beat_timeout_s": 60.0, "reserve_for_s": 1800.0, "remember_s": 86400.0,
    "max_known": 100_000, "max_connections": 200,
}  # fmt: skip
PLUGIN: dict[str, Any] = {"name": "", "file": "", "fuel": 100_000, "memory_kb": 1024}
MAX_MODULE = 1024 * 1024


class StateError(ValueError):
    """A file that cannot be used: one line that names file and key."""


def _checked(table: Any, form: Mapping[str, Any], where: str) -> dict[str, Any]:
    """The table with what it leaves out; every key is known, and of its type."""
    if not isinstance(table, dict):
        raise StateError(f"{where}: not a table")
    for key, value in table.items():
        if key not in form:
            raise StateError(f"{where}{key}: unknown key")
        number = isinstance(form[key], int | float)
        if isinstance(value, bool) or not isinstance(value, int | float if number else str):
            raise StateError(f"{where}{key}: {value!r} is no {'number' if number else 'text'}")
        if number and not 0 < value < 1e12:
            raise StateError(f"{where}{key}: {value!r} is out of range")
    return {**form, **table}


def read(path: Path) -> State:
    """The state that a file describes; raises :class:`StateError`."""
    try:
        table = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise StateError(f"{path}: {' '.join(str(error).split())}") from None
    for key in table.keys() - {"log_level", "faktory", "plugin"}:
        raise StateError(f"{path}: {key}: unknown key")
    level = table.get("log_level", "info")
    if not isinstance(level, str) or level not in LEVELS:
        raise StateError(f"{path}: log_level: {level!r} is none of {', '.join(LEVELS)}")
    faktory = _checked(table.get("faktory", {}), FAKTORY, f"{path}: faktory.")
    if faktory["listen"]:
        try:
            split_address(faktory["listen"])
        except ValueError as error:
            raise StateError(f"{path}: faktory.listen: {error}") from None
    listed = table.get("plugin", [])
    if not isinstance(listed, list):
        raise StateError(f"{path}: plugin: not a list of tables")
    plugins: dict[str, Any] = {}
    for number, entry in enumerate(listed):
        where = f"{path}: plugin[{number}]."
        plugin = _checked(entry, PLUGIN, where)
        if not plugin["name"] or plugin["name"] in plugins:
            raise StateError(f"{where}name: missing, or there twice")
        module = (path.parent / plugin["file"]).resolve()
        try:
            data = module.read_bytes()
        except OSError as error:
            raise StateError(f"{where}file: {error.strerror}") from None
        if len(data) > MAX_MODULE:
            raise StateError(f"{where}file: over {MAX_MODULE} bytes")
        digest = hashlib.sha256(data).hexdigest()
        plugins[plugin.pop("name")] = {**plugin, "file": str(module), "sha256": digest}
    return {"log_level": level, "faktory": faktory if faktory["listen"] else {}, "plugins": plugins}


def digest(state: State) -> str:
    """What a plan is based on."""
    return hashlib.sha256(orjson.dumps(state, option=orjson.OPT_SORT_KEYS)).hexdigest()


def difference(running: State, desired: State) -> list[str]:
    """One line for each thing to add (+), change (~) or remove (-)."""
    lines = []
    if running["log_level"] != desired["log_level"]:
        lines.append(f"~ log_level: {running['log_level']} -> {desired['log_level']}")
    for what, old, new in (
        ("faktory", {"listener": running["faktory"]}, {"listener": desired["faktory"]}),
        ("plugin", running["plugins"], desired["plugins"]),
    ):
        for name in sorted({**old, **new}):
            before, after = old.get(name) or {}, new.get(name) or {}
            if before == after:
                continue
            sign = "~" if before and after else "+" if after else "-"
            keys = [key for key in sorted({**before, **after}) if before.get(key) != after.get(key)]
            shown = [f"{key}: {_shown(key, before)} -> {_shown(key, after)}" for key in keys] if sign == "~" else []
            lines.append(f"{sign} {what} {name}" + (" (" + "; ".join(shown) + ")" if shown else ""))
    return lines


def _shown(key: str, table: Mapping[str, Any]) -> str:
    value = str(table.get(key, "nothing"))
    return "(hidden)" if key == "password" else value[:12] if key == "sha256" else value
