"""Runs work in a thread that gives the interpreter back often, so that the event loop is never late by much."""

import asyncio
import gc
import sys
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")

SWITCH_INTERVAL_S = 0.0003
"""Seconds after which a thread gives the interpreter back to the loop; by default that takes 5 ms."""

_DEFAULT_SWITCH_INTERVAL_S = sys.getswitchinterval()
_active_calls = 0


async def run_in_background(work: Callable[..., Result], *args: object) -> Result:
    """Return or raise what the work does; the loop waits for one switch interval at most, each time it has to run.

    Garbage collection waits until the work is done: what it allocates would have all open requests searched again and
    again.
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
