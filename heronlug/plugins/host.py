"""Plug-ins: WebAssembly modules under wasmtime, with bounded fuel and memory and nothing to import.

A module may export either hook, and is given no other way to act:

``admit(lane: i32, remaining_ms: f64, size: i32) -> i32``
    Asked before a message is taken in; 0 has it refused.  Nothing has been sent then, so a refusal is harmless.
``observe(lane: i32, final: i32, took_ms: f64)``
    Told of a final answer after it has gone out: 0 served, 1 refused, 2 failed.

A trap, which running out of fuel or memory is too, disables the plug-in; a disabled one admits everything.
"""

from collections.abc import Callable, Mapping
from typing import Any

import wasmtime

from heronlug.requests.model import FinalAnswer

FINAL_CODES = {FinalAnswer.SERVED: 0, FinalAnswer.REFUSED: 1, FinalAnswer.FAILED: 2}
ADMIT_SIGNATURE = (["i32", "f64", "i32"], ["i32"])
OBSERVE_SIGNATURE: tuple[list[str], list[str]] = (["i32", "i32", "f64"], [])


class PluginError(ValueError):
    """A module that cannot be loaded; the text says why in one line."""


class Plugin:
    """One loaded module."""

    def __init__(self, engine: wasmtime.Engine, name: str, data: bytes, fuel: int, memory_kb: int) -> None:
        self.name, self.fuel = name, int(fuel)
        self.enabled = True
        try:
            module = wasmtime.Module(engine, data)
            if module.imports:
                msg = f"plugin {name}: it imports something, and nothing is given"
                raise PluginError(msg)
            self._store = wasmtime.Store(engine)
            self._store.set_limits(
                memory_size=int(memory_kb) * 1024, table_elements=10_000, instances=1, memories=1, tables=4
            )
            self._store.set_fuel(self.fuel)
            exports = wasmtime.Instance(self._store, module, []).exports(self._store)
        except wasmtime.WasmtimeError as error:
            msg = f"plugin {name}: {str(error).splitlines()[0]}"
            raise PluginError(msg) from None
        except wasmtime.Trap as error:
            msg = f"plugin {name}: its start traps: {str(error).splitlines()[0]}"
            raise PluginError(msg) from None
        self.admit = self._exported_hook(exports, "admit", ADMIT_SIGNATURE)
        self.observe = self._exported_hook(exports, "observe", OBSERVE_SIGNATURE)
        if self.admit is None and self.observe is None:
            msg = f"plugin {name}: it exports neither admit nor observe"
            raise PluginError(msg)

    def _exported_hook(
        self, exports: Any, hook_name: str, signature: tuple[list[str], list[str]]
    ) -> Callable[..., Any] | None:
        export = exports.get(hook_name)
        if export is None:
            return None
        if not isinstance(export, wasmtime.Func):
            msg = f"plugin {self.name}: {hook_name} is no function"
            raise PluginError(msg)
        function_type = export.type(self._store)
        if ([str(p) for p in function_type.params], [str(r) for r in function_type.results]) != signature:
            msg = f"plugin {self.name}: {hook_name} has other parameters than the hook"
            raise PluginError(msg)

        def call(*values: float) -> Any:
            self._store.set_fuel(self.fuel)
            return export(self._store, *values)

        return call


class PluginHost:
    """All plug-ins, asked in the order of their names."""

    def __init__(self, log: Callable[..., None]) -> None:
        self._log = log
        self._plugins: list[Plugin] = []

    @staticmethod
    def load(modules: Mapping[str, tuple[bytes, int, int]]) -> list[Plugin]:
        """Load modules, all or none; raises :class:`PluginError`."""
        config = wasmtime.Config()
        config.consume_fuel = True
        engine = wasmtime.Engine(config)
        return [Plugin(engine, name, *modules[name]) for name in sorted(modules)]

    def use(self, plugins: list[Plugin]) -> None:
        """Put these in the place of those before."""
        self._plugins = plugins

    def admit(self, class_index: int, remaining: float, size: int) -> bool:
        """Whether every plug-in lets a message in."""
        return all(
            self._call(p, p.admit, class_index, float(remaining), min(size, 2**31 - 1)) != 0
            for p in self._plugins
            if p.admit is not None
        )

    def observe(self, class_index: int, final: FinalAnswer, took: float) -> None:
        """Tell all of a final answer."""
        for plugin in self._plugins:
            if plugin.observe is not None:
                self._call(plugin, plugin.observe, class_index, FINAL_CODES[final], float(took))

    def _call(self, plugin: Plugin, hook: Callable[..., Any], *values: float) -> Any:
        if not plugin.enabled:
            return None
        try:
            return hook(*values)
        except Exception as error:  # whatever it is, it stays inside the plug-in
            plugin.enabled = False
            self._log("hook_disabled", plugin=plugin.name, error=str(error).splitlines()[-1][:200])
            return None
