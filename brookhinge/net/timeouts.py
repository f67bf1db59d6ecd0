"""Time-outs that do not take what came during a stall of the loop for late."""

import asyncio

READ_S = 0.05  # after a stall: until what lay there has been read


async def within(awaitable, seconds, watch=None):
    """What it comes to, within so many seconds; else asyncio.TimeoutError, and it is cancelled.

    Where the loop stood still meanwhile the time is over before anything is read: it may have come in time. watch: the
    LoopWatch of the loop, or None."""
    task = asyncio.ensure_future(awaitable)
    try:
        started_at = watch and watch.now()
        done, _ = await asyncio.wait({task}, timeout=seconds)
        if not done and watch is not None and watch.stalled_since(started_at):
            done, _ = await asyncio.wait({task}, timeout=READ_S)
        if not done:
            raise TimeoutError
        return task.result()
    finally:
        if not task.done():
            task.cancel()
            await asyncio.wait({task})
