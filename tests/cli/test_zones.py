"""The command and the control socket, against a running program."""

import json
import os
import subprocess
import sys
import time
from pathlib import Path

from heronlug.standins.ports import free_ports, process_start_lock

FILE = """\
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
HOST = """\
[[host]]
name = "r{0}"
address = "127.0.0.1:{1}"
zone = "{2}"
"""


def words(folder: Path, *given: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "heronlug", *given, "--control", str(folder / "control")]
    return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)


def started(folder: Path, leaves: str) -> subprocess.Popen[bytes]:
    ports = free_ports(7)
    hosts = "".join(HOST.format(n, ports[n + 1], "abc"[n % 3]) for n in range(6))
    (folder / "site.toml").write_text(FILE.format(ports[0], leaves) + hosts)
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


def test_a_hall_is_left_and_returned_to_by_hand_within_bounds(tmp_path: Path) -> None:
    process = started(tmp_path, "true")
    try:
        rows = json.loads(words(tmp_path, "halls", "--json").stdout)
        assert [(row["hall"], row["state"], row["offered"]) for row in rows] == [(h, "well", 2) for h in "abc"]
        left = words(tmp_path, "halls", "leave", "b", "--for", "60")
        assert left.returncode == 0
        assert "by hand" in left.stdout
        for given, wrong in (
            (("leave", "c"), "4 of 6 hosts would be left, more than 50%"),
            (("leave", "z"), "there are a, b, c"),
            (("return", "b", "--for", "-1"), "more than 0"),
        ):
            refused = words(tmp_path, "halls", *given)
            assert refused.returncode == 1
            assert wrong in refused.stderr
        rows = json.loads(words(tmp_path, "halls", "release", "b", "--json").stdout)
        assert [row["decided"] for row in rows] == ["here"] * 3
    finally:
        process.kill()
        process.wait()


def test_without_the_setting_the_command_says_so(tmp_path: Path) -> None:
    process = started(tmp_path, "false")
    try:
        refused = words(tmp_path, "halls")
        assert refused.returncode == 1
        assert "leave_halls is false" in refused.stderr
    finally:
        process.kill()
        process.wait()
