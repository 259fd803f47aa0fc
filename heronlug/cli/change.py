"""``plan`` and ``apply``: the difference between desired and running state, and its making."""

from pathlib import Path
from typing import Any

import click
import orjson

from heronlug.cli.helpers import FILE, SOCKET
from heronlug.config.desired_state import State, StateError, difference, digest, parse
from heronlug.config.limits import load
from heronlug.config.strict_toml import ConfigProblems, Source
from heronlug.lifecycle.control import ask


def _running(control: str) -> State:
    state: State = ask(control, {"ask": "state"})["state"]
    return state


def _desired(control: str, path: Path) -> State:
    """A file's state, checked against what runs; all of its faults with their lines."""
    try:
        source = Source.read(path)
        state = parse(source)
        if state["classes"]:
            broken = ask(control, {"ask": "check", "classes": state["classes"]})["broken"]
            if broken:
                raise ConfigProblems(load.problems(source, (load.BrokenClassRule(*each) for each in broken)))
        return state
    except ConfigProblems as faults:
        raise StateError(str(faults)) from None


def _show(changes: list[str]) -> None:
    for line in changes:
        print(line)
    counts = [sum(1 for line in changes if line.startswith(sign)) for sign in "+~-"]
    print("Plan: {} to add, {} to change, {} to remove.".format(*counts) if changes else "Nothing to do.")


@click.command()
@click.argument("file", type=FILE)
@click.option("--save", type=FILE, help="keep the plan in this file")
@SOCKET
def plan(file: Path, save: Path | None, control: str) -> None:
    """Print what FILE would change of the running daemon."""
    running = _running(control)
    desired = _desired(control, file)
    _show(difference(running, desired))
    if save is not None:
        save.write_bytes(orjson.dumps({"heronlug_plan": 1, "base": digest(running), "desired": desired}))
        save.chmod(0o600)


def _saved(path: Path, data: bytes) -> tuple[str, Any]:
    try:
        saved = orjson.loads(data)
        if saved["heronlug_plan"] != 1:
            msg = "not of this version"
            raise ValueError(msg)
        return str(saved["base"]), saved["desired"]
    except (ValueError, KeyError, TypeError) as error:
        msg = f"{path}: heronlug_plan: no saved plan: {error!r}"
        raise StateError(msg) from None


@click.command()
@click.argument("file", type=FILE)
@SOCKET
def apply(file: Path, control: str) -> None:
    """Carry out FILE: a saved plan, or a desired state, which is planned and carried out."""
    try:
        with file.open("rb") as opened:
            data = opened.read(8 * 1024 * 1024)
    except OSError as error:
        msg = f"{file}: {error.strerror}"
        raise StateError(msg) from None
    if data.lstrip().startswith(b"{"):
        base, desired = _saved(file, data)
    else:
        base = digest(_running(control))
        desired = _desired(control, file)
    changes = ask(control, {"ask": "apply", "base": base, "desired": desired})["changes"]
    for line in changes:
        print(line)
    print("Applied." if changes else "Nothing to do.")
