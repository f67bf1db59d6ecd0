"""Timeouts that do not treat data as late if it arrived during a stall of the event loop."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from brookhinge.engine.loop_watch import LoopWatch

GRACE_AFTER_STALL_S = 0.05  # time to read what arrived in the kernel during a stall

Result = TypeVar("Result")


async def within(awaitable: Awaitable[Result], seconds: float, watch: LoopWatch | None = None) -> Result:
    """Return the result of `awaitable`; cancel it when the timeout expires.

    After a stall of the event loop the timeout may expire before data is read that arrived in time, so the
    wait is extended by GRACE_AFTER_STALL_S.

    Args:
        awaitable: The awaitable to wait for.
        seconds: The timeout.
        watch: Detects stalls of the event loop; None for no grace period.

    Raises:
        TimeoutError: The timeout expired.
    """
    task = asyncio.ensure_future(awaitable)
    try:
        if not await finishes_within(task, seconds, watch):
            raise TimeoutError
        return task.result()
    finally:
        if not task.done():
            task.cancel()
            await asyncio.wait({task})


async def finishes_within(
    task: asyncio.Future[object], seconds: float, watch: LoopWatch | None = None
) -> bool:
    """Return whether `task` finishes before the timeout expires; it continues to run if not.

    The timeout is extended after a stall of the event loop, as for `within`.

    Args:
        task: The task to wait for.
        seconds: The timeout.
        watch: Detects stalls of the event loop; None for no grace period.
    """
    started_at = watch and watch.now()
    await asyncio.wait({task}, timeout=seconds)
    if not task.done() and watch is not None and watch.stalled_since(started_at):
        await asyncio.wait({task}, timeout=GRACE_AFTER_STALL_S)
    return task.done()
