"""Thread pool with a bounded queue for blocking calls that an event loop must not wait for."""

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
    """Daemon threads that serve one queue. Results are delivered on the event loop of the caller."""

    def __init__(self, threads: int, max_calls: int, max_bytes: int, name: str) -> None:
        """Start the threads.

        Args:
            threads: Number of threads.
            max_calls: Maximum number of queued calls.
            max_bytes: Maximum sum of the `size` of all queued and running calls.
            name: Prefix of the thread names.
        """
        self._max_calls = max_calls
        self._max_bytes = max_bytes
        self._queue: collections.deque[_Call] = collections.deque()
        self._pending_bytes = 0
        self._started_at: dict[int, float] = {}  # start time of the running call, by thread id
        self._stopped = False
        self._queue_changed = threading.Condition()
        for number in range(threads):
            threading.Thread(target=self._run, name=f"{name}-{number}", daemon=True).start()

    def submit(
        self, work: Callable[..., object], *args: object, size: int = 0, urgent: bool = False
    ) -> asyncio.Future | None:
        """Queue the call work(*args).

        Args:
            work: Function to call on a thread.
            *args: Arguments of the call.
            size: Size of the arguments in bytes.
            urgent: Whether to put the call at the front of the queue, even if the queue is full.

        Returns:
            A future for the result, or None if the queue is full or the workers are stopped.
        """
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        with self._queue_changed:
            if self._stopped or (not urgent and self._is_full(size)):
                return None
            self._pending_bytes += size
            call = _Call(loop, future, work, args, size)
            if urgent:
                self._queue.appendleft(call)
            else:
                self._queue.append(call)
            self._queue_changed.notify()
        return future

    def _is_full(self, size: int) -> bool:
        return len(self._queue) >= self._max_calls or self._pending_bytes + size > self._max_bytes

    def _run(self) -> None:
        thread = threading.get_ident()
        while (call := self._next_call(thread)) is not None:
            result = None
            error = None
            try:
                result = call.work(*call.args)
            except BaseException as raised:  # passed on to the caller through the future
                error = raised
            with self._queue_changed:
                self._pending_bytes -= call.size
                del self._started_at[thread]
            with contextlib.suppress(RuntimeError):  # the event loop is closed
                call.loop.call_soon_threadsafe(_complete_future, call.future, result, error)

    def _next_call(self, thread: int) -> _Call | None:
        with self._queue_changed:
            while not self._queue:
                if self._stopped:
                    return None
                self._queue_changed.wait()
            self._started_at[thread] = time.monotonic()
            return self._queue.popleft()

    @property
    def is_busy(self) -> bool:
        """Return whether a call is running."""
        return bool(self._started_at)

    def longest_call_s(self) -> float:
        """Return how long the longest-running call has taken so far in seconds; 0 if none is running."""
        with self._queue_changed:
            return time.monotonic() - min(self._started_at.values()) if self._started_at else 0.0

    def waiting(self) -> int:
        """Return the number of queued calls."""
        with self._queue_changed:
            return len(self._queue)

    def stop(self) -> None:
        """Accept no more calls; the threads end when the queue is empty."""
        with self._queue_changed:
            self._stopped = True
            self._queue_changed.notify_all()


def _complete_future(future: asyncio.Future, result: object, error: BaseException | None) -> None:
    if future.done():
        return
    if error is None:
        future.set_result(result)
    else:
        future.set_exception(error)
        future.exception()  # marks it as retrieved, so that asyncio does not log it
