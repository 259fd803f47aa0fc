"""``python -m heronlug plan FILE`` and ``apply``: the difference between desired and running state, and its making."""

import argparse
import os
import sys
from pathlib import Path

import orjson

from heronlug.life.control import ask
from heronlug.life.state import State, StateError, difference, digest, read


def _running(control: str) -> State:
    state: State = ask(control, {"ask": "state"})["state"]
    return state


def _show(changes: list[str]) -> None:
    for line in changes:
        print(line)
    counts = [sum(1 for line in changes if line.startswith(sign)) for sign in "+~-"]
    print("Plan: {} to add, {} to change, {} to remove.".format(*counts) if changes else "Nothing to do.")


def plan(control: str, path: Path, save: Path | None) -> None:
    """Print what would change, and save it."""
    desired = read(path)
    running = _running(control)
    _show(difference(running, desired))
    if save is not None:
        save.write_bytes(orjson.dumps({"heronlug_plan": 1, "base": digest(running), "desired": desired}))
        save.chmod(0o600)


def apply(control: str, path: Path) -> None:
    """Carry out a saved plan, or plan a desired-state file and carry that out."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise StateError(f"{path}: {error.strerror}") from None
    if data.lstrip().startswith(b"{"):
        try:
            saved = orjson.loads(data)
            if saved["heronlug_plan"] != 1:
                raise ValueError("not of this version")
            base, desired = str(saved["base"]), saved["desired"]
        except (ValueError, KeyError, TypeError) as error:
            raise StateError(f"{path}: heronlug_plan: no saved plan: {error!r}") from None
    else:
        desired = read(path)
        base = digest(_running(control))
    changes = ask(control, {"ask": "apply", "base": base, "desired": desired})["changes"]
    for line in changes:
        print(line)
    print("Applied." if changes else "Nothing to do.")


def main(words: list[str]) -> int:
    """The command line; the exit status is 1 when it could not be done."""
    parser = argparse.ArgumentParser(prog="heronlug")
    parser.add_argument("command", choices=("plan", "apply"))
    parser.add_argument("file", type=Path, help="the desired state; for apply also a saved plan")
    parser.add_argument("--save", type=Path, help="keep the plan in this file")
    parser.add_argument("--control", default=os.environ.get("HERONLUG_CONTROL", ""), help="the daemon's socket")
    asked = parser.parse_args(words)
    try:
        if not asked.control:
            raise StateError("environment: HERONLUG_CONTROL: not set, and no --control")
        if asked.command == "plan":
            plan(asked.control, asked.file, asked.save)
        else:
            apply(asked.control, asked.file)
    except StateError as error:
        print(f"heronlug: {error}", file=sys.stderr)
        return 1
    return 0
