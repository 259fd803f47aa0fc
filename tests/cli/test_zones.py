"""Runs the command ``halls`` against a running dispatcher through the control socket."""

import json
import os
import subprocess
import sys
import time
from pathlib import Path

from heronlug.standins.ports import free_ports, process_start_lock

CONFIG_TEMPLATE = """\
[serve]
listen = "127.0.0.1:{}"
[site]
zones = ["a", "b", "c"]
leave_halls = {}
[[site.class]]
name = "job"
effect = "repeatable"
aim_ms = 500
deadline_ms = 5000
"""
SERVER_TEMPLATE = """\
[[host]]
name = "r{0}"
address = "127.0.0.1:{1}"
zone = "{2}"
"""


def run_command(folder: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "heronlug", *arguments, "--control", str(folder / "control")]
    return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)


def start_dispatcher(folder: Path, leave_halls: str) -> subprocess.Popen[bytes]:
    ports = free_ports(7)
    servers = "".join(SERVER_TEMPLATE.format(number, ports[number + 1], "abc"[number % 3]) for number in range(6))
    (folder / "site.toml").write_text(CONFIG_TEMPLATE.format(ports[0], leave_halls) + servers)
    with process_start_lock:
        process = subprocess.Popen(
            [sys.executable, "-m", "heronlug", "serve", str(folder / "site.toml")],
            stdout=subprocess.DEVNULL,
            env={**os.environ, "HERONLUG_CONTROL": str(folder / "control"), "TMPDIR": str(folder)},
        )
    for _ in range(200):
        if (folder / "control").exists():
            break
        time.sleep(0.05)
    return process


def test_operator_excludes_and_returns_a_zone_within_limits(tmp_path: Path) -> None:
    """Guards against an order that is not applied, and against an order that is accepted although the order is invalid.

    With one of three zones excluded, the exclusion of a second zone would exclude 4 of 6 servers, more than half.
    An unknown zone and a negative duration are rejected too. A release lets the dispatcher decide again.
    """
    process = start_dispatcher(tmp_path, "true")
    try:
        rows = json.loads(run_command(tmp_path, "halls", "--json").stdout)
        assert [(row["hall"], row["state"], row["offered"]) for row in rows] == [(zone, "well", 2) for zone in "abc"]
        excluded = run_command(tmp_path, "halls", "leave", "b", "--for", "60")
        assert excluded.returncode == 0
        assert "by hand" in excluded.stdout
        for arguments, error_text in (
            (("leave", "c"), "4 of 6 hosts would be left, more than 50%"),
            (("leave", "z"), "there are a, b, c"),
            (("return", "b", "--for", "-1"), "more than 0"),
        ):
            refused = run_command(tmp_path, "halls", *arguments)
            assert refused.returncode == 1
            assert error_text in refused.stderr
        rows = json.loads(run_command(tmp_path, "halls", "release", "b", "--json").stdout)
        assert [row["decided"] for row in rows] == ["here"] * 3
    finally:
        process.kill()
        process.wait()


def test_command_fails_and_names_the_setting_if_zone_exclusion_is_off(tmp_path: Path) -> None:
    """Guards against a command that prints nothing, or an empty table, if ``leave_halls`` is false."""
    process = start_dispatcher(tmp_path, "false")
    try:
        refused = run_command(tmp_path, "halls")
        assert refused.returncode == 1
        assert "leave_halls is false" in refused.stderr
    finally:
        process.kill()
        process.wait()
