"""Defines ``plan`` and ``apply``, which show and apply the changes from the running state to a desired state."""

from pathlib import Path
from typing import Any

import click
import orjson

from heronlug.cli.helpers import CONTROL_OPTION, FILE_PATH
from heronlug.config.desired_state import State, StateError, difference, digest, parse
from heronlug.config.limits import load
from heronlug.config.strict_toml import ConfigProblems, Source
from heronlug.lifecycle.control import ask


def _running_state(control: str) -> State:
    """Returns the state of the running dispatcher."""
    state: State = ask(control, {"ask": "state"})["state"]
    return state


def _desired_state(control: str, path: Path) -> State:
    """Reads the desired state from a file and checks it against the running dispatcher.

    Raises:
        StateError: if the file cannot be read or has problems; the message lists each problem with its line.
    """
    try:
        source = Source.read(path)
        state = parse(source)
        if state["classes"]:
            broken_rules = ask(control, {"ask": "check", "classes": state["classes"]})["broken"]
            if broken_rules:
                raise ConfigProblems(load.problems(source, (load.BrokenClassRule(*rule) for rule in broken_rules)))
        return state
    except ConfigProblems as problems:
        raise StateError(str(problems)) from None


def _print_changes(changes: list[str]) -> None:
    """Prints the changes and their number by kind."""
    for line in changes:
        print(line)
    counts = [sum(1 for line in changes if line.startswith(sign)) for sign in "+~-"]
    print("Plan: {} to add, {} to change, {} to remove.".format(*counts) if changes else "Nothing to do.")


@click.command()
@click.argument("file", type=FILE_PATH)
@click.option("--save", type=FILE_PATH, help="write the plan to this file")
@CONTROL_OPTION
def plan(file: Path, save: Path | None, control: str) -> None:
    """Print the changes that the desired state in FILE would make to the running dispatcher."""
    running = _running_state(control)
    desired = _desired_state(control, file)
    _print_changes(difference(running, desired))
    if save is not None:
        save.write_bytes(orjson.dumps({"heronlug_plan": 1, "base": digest(running), "desired": desired}))
        save.chmod(0o600)


def _read_saved_plan(path: Path, data: bytes) -> tuple[str, Any]:
    """Returns the digest of the state that a saved plan starts from, and the desired state of the plan.

    Raises:
        StateError: if the data is not a saved plan of this version.
    """
    try:
        saved_plan = orjson.loads(data)
        if saved_plan["heronlug_plan"] != 1:
            msg = "unsupported version, expected 1"
            raise ValueError(msg)
        return str(saved_plan["base"]), saved_plan["desired"]
    except (ValueError, KeyError, TypeError) as error:
        msg = f"{path}: heronlug_plan: not a saved plan: {error!r}"
        raise StateError(msg) from None


@click.command()
@click.argument("file", type=FILE_PATH)
@CONTROL_OPTION
def apply(file: Path, control: str) -> None:
    """Apply FILE, a saved plan or a desired state, to the running dispatcher."""
    try:
        with file.open("rb") as opened_file:
            data = opened_file.read(8 * 1024 * 1024)
    except OSError as error:
        msg = f"{file}: {error.strerror}"
        raise StateError(msg) from None
    if data.lstrip().startswith(b"{"):
        base, desired = _read_saved_plan(file, data)
    else:
        base = digest(_running_state(control))
        desired = _desired_state(control, file)
    changes = ask(control, {"ask": "apply", "base": base, "desired": desired})["changes"]
    for line in changes:
        print(line)
    print("Applied." if changes else "Nothing to do.")
