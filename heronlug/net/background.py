"""Runs work in a thread that yields the interpreter often, so that the event loop is delayed only briefly."""

import asyncio
import gc
import sys
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")

SWITCH_INTERVAL_S = 0.0003
"""Time after which a thread yields the interpreter to the event loop; the default of Python is 5 ms."""

_DEFAULT_SWITCH_INTERVAL_S = sys.getswitchinterval()
_active_calls = 0


async def run_in_background(work: Callable[..., Result], *args: object) -> Result:
    """Runs ``work(*args)`` in a thread and returns its result, or raises its exception.

    Each time the event loop has to run, it waits at most ``SWITCH_INTERVAL_S`` for the thread. Garbage collection is
    off until the work is done, because the allocations of the work would trigger repeated scans of all open requests.
    """
    global _active_calls
    if not _active_calls:
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        gc.disable()
    _active_calls += 1
    try:
        return await asyncio.get_running_loop().run_in_executor(None, work, *args)
    finally:
        _active_calls -= 1
        if not _active_calls:
            sys.setswitchinterval(_DEFAULT_SWITCH_INTERVAL_S)
            gc.enable()
