"""Plan and apply against a running program, and plug-ins that misbehave."""

import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import pytest
import wasmtime
from exchange import FOLDER, ExchangePlayer

from heronlug.plugins.host import PluginError, PluginHost
from heronlug.requests.model import FinalAnswer
from heronlug.standins.ports import free_port

WORDS = (FOLDER / "words.txt").read_text()
REFUSE_ONCE = """(module (func (export "admit") (param i32 f64 i32) (result i32) local.get 0 i32.const 1 i32.ne))"""
TRAP = """(module (func (export "admit") (param i32 f64 i32) (result i32) unreachable))"""
SPIN = """(module (func (export "observe") (param i32 i32 f64) (loop br 0)))"""
GREEDY = """(module (memory 1) (func (export "admit") (param i32 f64 i32) (result i32) i32.const 1000 memory.grow))"""
BIG = """(module (memory 1000) (func (export "observe") (param i32 i32 f64)))"""
IMPORTS = """(module (import "env" "f" (func)) (func (export "observe") (param i32 i32 f64)))"""
OTHER = """(module (func (export "admit") (param i32) (result i32) local.get 0))"""


def load(text: str, fuel: int = 10_000) -> tuple[PluginHost, list[str]]:
    """A host with one plug-in, and what it logs."""
    logged: list[str] = []
    host = PluginHost(lambda event, **fields: logged.append(event))
    host.use(PluginHost.load({"p": (bytes(wasmtime.wat2wasm(text)), fuel, 128)}))
    return host, logged


class Hooks(unittest.TestCase):
    def test_admit_decides_by_class(self) -> None:
        host, logged = load(REFUSE_ONCE)
        assert [host.admit(lane, 500.0, 10) for lane in (0, 1, 2)] == [True, False, True]
        host.observe(0, FinalAnswer.SERVED, 1.0)
        assert logged == []

    def test_trap_and_spent_fuel_disable_the_plugin_and_admit(self) -> None:
        for text in (TRAP, SPIN):
            host, logged = load(text)
            assert host.admit(1, 500.0, 10)
            host.observe(1, FinalAnswer.FAILED, 3.0)
            assert host.admit(1, 500.0, 10)
            assert logged == ["hook_disabled"]

    def test_memory_is_bounded(self) -> None:
        host, _ = load(GREEDY)
        assert host.admit(1, 500.0, 10)  # growing fails with -1, which is not 0
        with pytest.raises(PluginError):
            load(BIG)

    def test_what_cannot_be_used_is_not_loaded(self) -> None:
        for text in (IMPORTS, OTHER, "(module)"):
            with pytest.raises(PluginError):
                load(text)


class PlanAndApply(unittest.TestCase):
    def setUp(self) -> None:
        self.player = ExchangePlayer()
        self.addCleanup(self.player.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "p.wasm").write_bytes(wasmtime.wat2wasm(REFUSE_ONCE))
        self.port = free_port()
        self.file = self.write("a.toml", self.port)

    def write(self, name: str, port: int, rest: str = "") -> Path:
        path = self.folder / name
        plugin = '[[plugin]]\nname = "p"\nfile = "p.wasm"\n'
        path.write_text(f'log_level = "debug"\n[faktory]\nlisten = "127.0.0.1:{port}"\n{plugin}{rest}')
        return path

    def call(self, *words: object) -> tuple[int, str, str]:
        environ = {**os.environ, "HERONLUG_CONTROL": self.player.control_path}
        done = subprocess.run(
            [sys.executable, "-m", "heronlug", *map(str, words)], env=environ, capture_output=True, text=True
        )
        return done.returncode, done.stdout, done.stderr

    def test_plan_then_apply_then_nothing_to_do(self) -> None:
        plan = self.folder / "plan.json"
        status, out, _ = self.call("plan", self.file, "--save", plan)
        assert status == 0
        assert (
            out == "~ log_level: info -> debug\n+ faktory listener\n+ plugin p\n"
            "Plan: 2 to add, 1 to change, 0 to remove.\n"
        )
        assert "Applied." in self.call("apply", plan)[1]
        assert self.call("apply", plan)[:2] == (0, "Nothing to do.\n")
        assert self.call("plan", self.file)[1] == "Nothing to do.\n"
        self.player.faktory_address = f"127.0.0.1:{self.port}"
        self.player.play(
            WORDS + 'f1 < {hi}\nf1 > HELLO {"v":2}\\r\\n{push job-0001 once}\n'
            "f1 < +OK\\r\\n-ERR refused, come back later\\r\\n\n"  # the plug-in has it refused, on both fronts
            "c1 > {post t1 once 4000}\nc1 < {refused}\n"
        )
        assert self.call("apply", self.write("b.toml", free_port()))[0] == 0
        status, out, error = self.call("apply", plan)
        assert (status, out) == (1, "")
        assert error == "heronlug: the plan is stale: the running state has changed since it was made\n"

    def test_all_or_nothing(self) -> None:
        taken = self.player.standins.listeners["h1"].getsockname()[1]
        status, _, error = self.call("apply", self.write("b.toml", taken))
        assert (status, error.count("\n")) == (1, 1)
        out = self.call("plan", self.file)[1]
        assert "Plan: 2 to add, 1 to change, 0 to remove." in out  # nothing of it has been done

    def test_changed_module_makes_the_plan_stale(self) -> None:
        plan = self.folder / "plan.json"
        self.call("plan", self.file, "--save", plan)
        (self.folder / "p.wasm").write_bytes(wasmtime.wat2wasm(TRAP))
        assert "plugin p: the plan is stale" in self.call("apply", plan)[2]

    def test_bad_file_names_file_and_key(self) -> None:
        for rest, line, key in (
            ("fuel = 'x'", 7, "plugin.0.fuel: 'x' is not a number"),
            ("fule = 1", 7, "plugin.0.fule: unknown key"),
            ("[[plugin]]\nname = 'q'\nfile = 'none'", 9, "plugin.1.file: No such file or directory"),
            ("[other]", 7, "other: unknown key"),
            ("= 1", 7, "Invalid statement"),
            ("[class.once]\nattempts = 4", 8, "class.once.attempts: 4 attempts are requested but the site allows 3"),
            ("[class.none]\nattempts = 2", 7, "class.none: the site has no such class"),
        ):
            path = self.write("bad.toml", self.port, rest)
            status, _, error = self.call("plan", path)
            assert (status, error.count("\n")) == (1, 1)
            assert f"{path}:{line}: {key}" in error
        plan = self.folder / "plan.json"
        plan.write_text(json.dumps({"base": 1}))
        assert self.call("apply", plan)[0] == 1

    def test_only_our_user_may_open_the_control_socket(self) -> None:
        assert Path(self.player.control_path).stat().st_mode & 63 == 0


if __name__ == "__main__":
    unittest.main()
