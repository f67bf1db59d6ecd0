"""Threads for work that an event loop must not wait for. A call that finds the queue full is refused."""

import asyncio
import collections
import contextlib
import threading
import time
from collections.abc import Callable
from typing import NamedTuple


class _Call(NamedTuple):
    loop: asyncio.AbstractEventLoop
    future: asyncio.Future
    work: Callable[..., object]
    args: tuple
    size: int


class IOWorkers:
    """Daemon threads on one queue. Results come back on the event loop of the caller."""

    def __init__(self, threads: int, max_calls: int, max_bytes: int, name: str) -> None:
        """Start the threads.

        Args:
            threads: How many.
            max_calls: Calls that may wait.
            max_bytes: Bytes that calls may hold that wait or run, by the `size` they state.
            name: Prefix of the threads' names.
        """
        self._max_calls = max_calls
        self._max_bytes = max_bytes
        self._queue: collections.deque[_Call] = collections.deque()
        self._held_bytes = 0
        self._started_at: dict[int, float] = {}  # of the call under way, by thread
        self._stopped = False
        self._changed = threading.Condition()
        for number in range(threads):
            threading.Thread(target=self._run, name=f"{name}-{number}", daemon=True).start()

    def submit(
        self, work: Callable[..., object], *args: object, size: int = 0, urgent: bool = False
    ) -> asyncio.Future | None:
        """Queue work(*args).

        Args:
            work: Called on a thread.
            *args: Its arguments.
            size: Bytes that the arguments hold.
            urgent: Put before all that waits, and never refused for a full queue.

        Returns:
            A future of the result, or None if the queue is full or the workers have been stopped.
        """
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        with self._changed:
            if self._stopped or (not urgent and self._is_full(size)):
                return None
            self._held_bytes += size
            call = _Call(loop, future, work, args, size)
            if urgent:
                self._queue.appendleft(call)
            else:
                self._queue.append(call)
            self._changed.notify()
        return future

    def _is_full(self, size: int) -> bool:
        return len(self._queue) >= self._max_calls or self._held_bytes + size > self._max_bytes

    def _run(self) -> None:
        thread = threading.get_ident()
        while (call := self._next_call(thread)) is not None:
            result = None
            error = None
            try:
                result = call.work(*call.args)
            except BaseException as raised:  # handed to who waits for the future
                error = raised
            with self._changed:
                self._held_bytes -= call.size
                del self._started_at[thread]
            with contextlib.suppress(RuntimeError):  # the loop is closed: nobody waits any more
                call.loop.call_soon_threadsafe(_settle, call.future, result, error)

    def _next_call(self, thread: int) -> _Call | None:
        with self._changed:
            while not self._queue:
                if self._stopped:
                    return None
                self._changed.wait()
            self._started_at[thread] = time.monotonic()
            return self._queue.popleft()

    @property
    def is_busy(self) -> bool:
        """Whether a call is under way."""
        return bool(self._started_at)

    def longest_call_s(self) -> float:
        """How long the call that began first has been under way; 0 if there is none."""
        with self._changed:
            return time.monotonic() - min(self._started_at.values()) if self._started_at else 0.0

    def waiting(self) -> int:
        """Calls that wait for a thread."""
        with self._changed:
            return len(self._queue)

    def stop(self) -> None:
        """Take no more calls; the threads end when the queue is empty."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()


def _settle(future: asyncio.Future, result: object, error: BaseException | None) -> None:
    if future.done():
        return
    if error is None:
        future.set_result(result)
    else:
        future.set_exception(error)
        future.exception()  # an error that nobody waits for is not logged by asyncio
