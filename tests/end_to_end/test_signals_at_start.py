"""Tests that a SIGHUP during the start of the process leads to a reload and not to an exit."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from end_to_end.harness import TIMEOUT_S, DispatcherHarness
from heronlug.standins.ports import free_port


@pytest.mark.parametrize("signals", [1, 3])
def test_reload_during_the_start_is_done_after_it(tmp_path: Path, signals: int) -> None:
    """Guards against an exit, or a lost reload, when SIGHUP arrives before the event loop runs.

    The configuration file is a pipe, so the process is reading it when the signals arrive. The new file has replaced
    the pipe by then.
    """
    path, moved = tmp_path / "config.json", f"127.0.0.1:{free_port()}"
    raw = DispatcherHarness(1).raw
    os.mkfifo(path)
    env = {**os.environ, "RELAY_CONFIG": str(path), "TMPDIR": str(tmp_path)}
    with subprocess.Popen([sys.executable, "-m", "heronlug"], env=env, stdout=subprocess.PIPE) as process:
        assert process.stdout is not None
        try:
            with path.open("w") as pipe:  # opens when the process reads the file
                new = tmp_path / "new.json"
                new.write_text(json.dumps({**raw, "discovery": moved}))
                new.rename(path)
                for _ in range(signals):
                    process.send_signal(signal.SIGHUP)
                pipe.write(json.dumps(raw))
            lines = iter(process.stdout.readline, b"")
            reloaded = next(
                (event_fields for event_fields in map(json.loads, lines) if event_fields["event"] == "reloaded"),
                None,
            )
            assert reloaded is not None
            assert reloaded["discovery"] == moved
            process.send_signal(signal.SIGTERM)
            process.stdout.read()
            assert process.wait(TIMEOUT_S) == 0
        finally:
            process.kill()


def test_process_that_ends_ignores_further_signals(tmp_path: Path) -> None:
    """Guards against a signal in the last moments of a planned stop that ends the process with another status."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(DispatcherHarness(1).raw))
    env = {**os.environ, "RELAY_CONFIG": str(path), "TMPDIR": str(tmp_path)}
    for _ in range(5):
        with subprocess.Popen([sys.executable, "-m", "heronlug"], env=env, stdout=subprocess.PIPE) as process:
            assert process.stdout is not None
            lines = iter(process.stdout.readline, b"")
            assert any(b'"started"' in line for line in lines)
            process.send_signal(signal.SIGTERM)
            assert any(b'"stopped"' in line for line in lines)
            while process.poll() is None:
                process.send_signal(signal.SIGHUP)
                process.send_signal(signal.SIGTERM)
            assert process.returncode == 0
