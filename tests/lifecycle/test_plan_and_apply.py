"""Tests plan and apply against a running dispatcher, and the isolation of faulty plug-ins."""

import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import pytest
import wasmtime
from exchange import EXCHANGES_FOLDER, ExchangePlayer

from heronlug.plugins.host import PluginError, PluginHost
from heronlug.requests.model import FinalAnswer
from heronlug.standins.ports import free_port

EXCHANGE_WORDS = (EXCHANGES_FOLDER / "words.txt").read_text()
REJECT_CLASS_1_MODULE = (
    """(module (func (export "admit") (param i32 f64 i32) (result i32) local.get 0 i32.const 1 i32.ne))"""
)
TRAP_MODULE = """(module (func (export "admit") (param i32 f64 i32) (result i32) unreachable))"""
ENDLESS_LOOP_MODULE = """(module (func (export "observe") (param i32 i32 f64) (loop br 0)))"""
MEMORY_GROWING_MODULE = (
    """(module (memory 1) (func (export "admit") (param i32 f64 i32) (result i32) i32.const 1000 memory.grow))"""
)
LARGE_MEMORY_MODULE = """(module (memory 1000) (func (export "observe") (param i32 i32 f64)))"""
IMPORTING_MODULE = """(module (import "env" "f" (func)) (func (export "observe") (param i32 i32 f64)))"""
WRONG_SIGNATURE_MODULE = """(module (func (export "admit") (param i32) (result i32) local.get 0))"""


def host_with_plugin(text: str, fuel: int = 10_000) -> tuple[PluginHost, list[str]]:
    """Returns a plug-in host with one plug-in, and the list of events that the host logs."""
    logged: list[str] = []
    host = PluginHost(lambda event, **fields: logged.append(event))
    host.use(PluginHost.load({"p": (bytes(wasmtime.wat2wasm(text)), fuel, 128)}))
    return host, logged


class PluginHooks(unittest.TestCase):
    def test_admit_decides_by_class(self) -> None:
        """Guards against an ``admit`` result that is ignored or applied to another request class."""
        host, logged = host_with_plugin(REJECT_CLASS_1_MODULE)
        assert [host.admit(class_index, 500.0, 10) for class_index in (0, 1, 2)] == [True, False, True]
        host.observe(0, FinalAnswer.SERVED, 1.0)
        assert logged == []

    def test_plugin_that_traps_or_spends_its_fuel_is_disabled_and_requests_are_admitted(self) -> None:
        """Guards against a faulty plug-in that rejects requests, blocks the dispatcher, or fails again at each call."""
        for text in (TRAP_MODULE, ENDLESS_LOOP_MODULE):
            host, logged = host_with_plugin(text)
            assert host.admit(1, 500.0, 10)
            host.observe(1, FinalAnswer.FAILED, 3.0)
            assert host.admit(1, 500.0, 10)
            assert logged == ["hook_disabled"]

    def test_memory_is_bounded(self) -> None:
        """Guards against a plug-in that takes more memory than configured, at its start or later."""
        host, _ = host_with_plugin(MEMORY_GROWING_MODULE)
        assert host.admit(1, 500.0, 10)  # memory.grow fails with -1, which differs from 0 and therefore admits
        with pytest.raises(PluginError):
            host_with_plugin(LARGE_MEMORY_MODULE)

    def test_unusable_module_is_not_loaded(self) -> None:
        """Guards against modules that import functions, or export no hook of the right signature."""
        for text in (IMPORTING_MODULE, WRONG_SIGNATURE_MODULE, "(module)"):
            with pytest.raises(PluginError):
                host_with_plugin(text)


class PlanAndApply(unittest.TestCase):
    def setUp(self) -> None:
        self.player = ExchangePlayer()
        self.addCleanup(self.player.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "p.wasm").write_bytes(wasmtime.wat2wasm(REJECT_CLASS_1_MODULE))
        self.port = free_port()
        self.file = self.write_config("a.toml", self.port)

    def write_config(self, name: str, port: int, rest: str = "") -> Path:
        path = self.folder / name
        plugin = '[[plugin]]\nname = "p"\nfile = "p.wasm"\n'
        path.write_text(f'log_level = "debug"\n[faktory]\nlisten = "127.0.0.1:{port}"\n{plugin}{rest}')
        return path

    def run_command(self, *words: object) -> tuple[int, str, str]:
        environ = {**os.environ, "HERONLUG_CONTROL": self.player.control_path}
        process = subprocess.run(
            [sys.executable, "-m", "heronlug", *map(str, words)], env=environ, capture_output=True, text=True
        )
        return process.returncode, process.stdout, process.stderr

    def test_applied_plan_leaves_nothing_to_do(self) -> None:
        """Guards against changes that are reported but not in effect, applied twice, or applied from a stale plan."""
        plan = self.folder / "plan.json"
        status, output, _ = self.run_command("plan", self.file, "--save", plan)
        assert status == 0
        assert (
            output == "~ log_level: info -> debug\n+ faktory listener\n+ plugin p\n"
            "Plan: 2 to add, 1 to change, 0 to remove.\n"
        )
        assert "Applied." in self.run_command("apply", plan)[1]
        assert self.run_command("apply", plan)[:2] == (0, "Nothing to do.\n")
        assert self.run_command("plan", self.file)[1] == "Nothing to do.\n"
        self.player.faktory_address = f"127.0.0.1:{self.port}"
        self.player.play(
            EXCHANGE_WORDS + 'f1 < {hi}\nf1 > HELLO {"v":2}\\r\\n{push job-0001 once}\n'
            "f1 < +OK\\r\\n-ERR refused, come back later\\r\\n\n"  # the plug-in rejects the class in both frontends
            "c1 > {post t1 once 4000}\nc1 < {refused}\n"
        )
        assert self.run_command("apply", self.write_config("b.toml", free_port()))[0] == 0
        status, output, error = self.run_command("apply", plan)
        assert (status, output) == (1, "")
        assert error == "heronlug: the plan is stale: the running state has changed since it was made\n"

    def test_failed_apply_changes_nothing(self) -> None:
        """Guards against a partly applied change when the address of the Faktory frontend is already in use."""
        used_port = self.player.standins.listeners["h1"].getsockname()[1]
        status, _, error = self.run_command("apply", self.write_config("b.toml", used_port))
        assert (status, error.count("\n")) == (1, 1)
        output = self.run_command("plan", self.file)[1]
        assert "Plan: 2 to add, 1 to change, 0 to remove." in output  # no part of the failed change is in effect

    def test_changed_module_makes_the_plan_stale(self) -> None:
        """Guards against a module that is loaded although its file has changed since the plan."""
        plan = self.folder / "plan.json"
        self.run_command("plan", self.file, "--save", plan)
        (self.folder / "p.wasm").write_bytes(wasmtime.wat2wasm(TRAP_MODULE))
        assert "plugin p: the plan is stale" in self.run_command("apply", plan)[2]

    def test_error_for_a_bad_file_names_file_line_and_key(self) -> None:
        """Guards against errors from which an operator cannot find the invalid entry, and against a traceback."""
        for rest, line, key in (
            ("fuel = 'x'", 7, "plugin.0.fuel: 'x' is not a number"),
            ("fule = 1", 7, "plugin.0.fule: unknown key"),
            ("[[plugin]]\nname = 'q'\nfile = 'none'", 9, "plugin.1.file: No such file or directory"),
            ("[other]", 7, "other: unknown key"),
            ("= 1", 7, "Invalid statement"),
            ("[class.once]\nattempts = 4", 8, "class.once.attempts: 4 attempts are requested but the site allows 3"),
            ("[class.none]\nattempts = 2", 7, "class.none: the site has no such class"),
        ):
            path = self.write_config("bad.toml", self.port, rest)
            status, _, error = self.run_command("plan", path)
            assert (status, error.count("\n")) == (1, 1)
            assert f"{path}:{line}: {key}" in error
        plan = self.folder / "plan.json"
        plan.write_text(json.dumps({"base": 1}))
        assert self.run_command("apply", plan)[0] == 1

    def test_only_the_same_user_can_open_the_control_socket(self) -> None:
        """Guards against a control socket that other users can open, for lack of a restrictive umask."""
        assert Path(self.player.control_path).stat().st_mode & 63 == 0


if __name__ == "__main__":
    unittest.main()
