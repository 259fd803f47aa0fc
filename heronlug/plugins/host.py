"""Runs plug-ins: WebAssembly modules under wasmtime with bounded fuel and memory and without imports.

A module exports at least one of two hooks and has no other effect:

``admit(lane: i32, remaining_ms: f64, size: i32) -> i32``
    Called before a request is accepted, with the index of its request class, the time left until its deadline and the
    size of its body in bytes; 0 rejects the request. Nothing has been sent to a server yet, so a rejection is harmless.
``observe(lane: i32, final: i32, took_ms: f64)``
    Called after the final answer has been sent, with its code: 0 served, 1 rejected, 2 failed.

A trap, which includes exhausted fuel or memory, disables the plug-in; a disabled plug-in admits every request.
"""

from collections.abc import Callable, Mapping
from typing import Any

import wasmtime

from heronlug.requests.model import FinalAnswer

FINAL_CODES = {FinalAnswer.SERVED: 0, FinalAnswer.REFUSED: 1, FinalAnswer.FAILED: 2}
ADMIT_SIGNATURE = (["i32", "f64", "i32"], ["i32"])
OBSERVE_SIGNATURE: tuple[list[str], list[str]] = (["i32", "i32", "f64"], [])


class PluginError(ValueError):
    """Raised if a module cannot be loaded; the message gives the reason in one line."""


class Plugin:
    """One loaded WebAssembly module.

    Attributes:
        name: Name of the plug-in in the configuration.
        fuel: Fuel available to the start of the module and to each call of a hook.
        enabled: Whether the hooks are called; False after a trap.
        admit: The ``admit`` hook; None if the module does not export it.
        observe: The ``observe`` hook; None if the module does not export it.
    """

    def __init__(self, engine: wasmtime.Engine, name: str, data: bytes, fuel: int, memory_kb: int) -> None:
        self.name, self.fuel = name, int(fuel)
        self.enabled = True
        try:
            module = wasmtime.Module(engine, data)
            if module.imports:
                msg = f"plugin {name}: the module has imports, which are not allowed"
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
            msg = f"plugin {name}: the start of the module traps: {str(error).splitlines()[0]}"
            raise PluginError(msg) from None
        self.admit = self._exported_hook(exports, "admit", ADMIT_SIGNATURE)
        self.observe = self._exported_hook(exports, "observe", OBSERVE_SIGNATURE)
        if self.admit is None and self.observe is None:
            msg = f"plugin {name}: the module exports neither admit nor observe"
            raise PluginError(msg)

    def _exported_hook(
        self, exports: Any, hook_name: str, signature: tuple[list[str], list[str]]
    ) -> Callable[..., Any] | None:
        export = exports.get(hook_name)
        if export is None:
            return None
        if not isinstance(export, wasmtime.Func):
            msg = f"plugin {self.name}: {hook_name} is not a function"
            raise PluginError(msg)
        function_type = export.type(self._store)
        if ([str(p) for p in function_type.params], [str(r) for r in function_type.results]) != signature:
            msg = f"plugin {self.name}: the parameters or results of {hook_name} do not match the hook"
            raise PluginError(msg)

        def call(*values: float) -> Any:
            self._store.set_fuel(self.fuel)
            return export(self._store, *values)

        return call


class PluginHost:
    """Calls the hooks of all plug-ins, in the order of the plug-in names."""

    def __init__(self, log: Callable[..., None]) -> None:
        self._log = log
        self._plugins: list[Plugin] = []

    @staticmethod
    def load(modules: Mapping[str, tuple[bytes, int, int]]) -> list[Plugin]:
        """Loads all modules, or none if one of them cannot be loaded.

        Args:
            modules: By plug-in name, the bytes of the module, its fuel and its memory limit in KiB.

        Raises:
            PluginError: A module cannot be loaded; names the plug-in.
        """
        config = wasmtime.Config()
        config.consume_fuel = True
        engine = wasmtime.Engine(config)
        return [Plugin(engine, name, *modules[name]) for name in sorted(modules)]

    def use(self, plugins: list[Plugin]) -> None:
        """Replaces the current plug-ins."""
        self._plugins = plugins

    def admit(self, class_index: int, remaining: float, size: int) -> bool:
        """Returns whether every plug-in admits a request with ``remaining`` ms left and a body of ``size`` bytes."""
        return all(
            self._call(p, p.admit, class_index, float(remaining), min(size, 2**31 - 1)) != 0
            for p in self._plugins
            if p.admit is not None
        )

    def observe(self, class_index: int, final: FinalAnswer, took: float) -> None:
        """Reports a final answer, sent after ``took`` ms, to every plug-in."""
        for plugin in self._plugins:
            if plugin.observe is not None:
                self._call(plugin, plugin.observe, class_index, FINAL_CODES[final], float(took))

    def _call(self, plugin: Plugin, hook: Callable[..., Any], *values: float) -> Any:
        if not plugin.enabled:
            return None
        try:
            return hook(*values)
        except Exception as error:  # a fault of a plug-in must not affect requests
            plugin.enabled = False
            self._log("hook_disabled", plugin=plugin.name, error=str(error).splitlines()[-1][:200])
            return None
