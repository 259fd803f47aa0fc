"""Work beside the loop: in a thread that gives the interpreter back often, so that the loop is never late by much."""

import asyncio
import gc
import sys
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")
SLICE = 0.0003  # s; by itself a thread keeps the interpreter for 5 ms whenever the loop wants it
_working = 0  # calls under way
_whole = sys.getswitchinterval()


async def beside(work: Callable[..., Result], *args: object) -> Result:
    """What the work returns or raises.  Meanwhile the loop waits for one slice at most, each time it has to run.

    What the work allocates would also have all open jobs searched for garbage, again and again: that waits until after.
    """
    global _working
    if not _working:
        sys.setswitchinterval(SLICE)
        gc.disable()
    _working += 1
    try:
        return await asyncio.get_running_loop().run_in_executor(None, work, *args)
    finally:
        _working -= 1
        if not _working:
            sys.setswitchinterval(_whole)
            gc.enable()
