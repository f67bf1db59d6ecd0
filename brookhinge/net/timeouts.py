"""Timeouts that do not mistake what came during a stall of the event loop for late."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from brookhinge.engine.loop_watch import LoopWatch

GRACE_AFTER_STALL_S = 0.05  # until what lay in the system during a stall has been read

Result = TypeVar("Result")


async def within(awaitable: Awaitable[Result], seconds: float, watch: LoopWatch | None = None) -> Result:
    """Return the result of `awaitable`; cancel it once its time is over.

    Where the loop stood still meanwhile the time is over before anything is read, though it may have come
    in time: a short grace is given then.

    Args:
        awaitable: What to wait for.
        seconds: How long to wait.
        watch: The watch of the loop, or None for no grace.

    Raises:
        TimeoutError: The time is over.
    """
    task = asyncio.ensure_future(awaitable)
    try:
        started_at = watch and watch.now()
        done, _ = await asyncio.wait({task}, timeout=seconds)
        if not done and watch is not None and watch.stalled_since(started_at):
            done, _ = await asyncio.wait({task}, timeout=GRACE_AFTER_STALL_S)
        if not done:
            raise TimeoutError
        return task.result()
    finally:
        if not task.done():
            task.cancel()
            await asyncio.wait({task})
