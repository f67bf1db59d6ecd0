"""Threads that do what an event loop must not wait for. Bounded: work that finds the queue full is refused at once."""

import asyncio
import collections
import threading
import time


class Hands:
    """`count` daemon threads on a queue of `most` calls and `most_bytes`. Results come back on the loop."""

    def __init__(self, count, most, most_bytes, name):
        self.most, self.most_bytes = most, most_bytes
        self.queue, self.bytes, self.begun, self.ended = collections.deque(), 0, {}, False
        self.ready = threading.Condition()
        for i in range(count):
            threading.Thread(target=self.work, name=f"{name}-{i}", daemon=True).start()

    def call(self, work, *args, size=0, front=False):
        """A future of work(*args), or None if the queue is full. front: before all that waits, and never refused."""
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        with self.ready:
            if (
                self.ended
                or not front
                and (len(self.queue) >= self.most or self.bytes + size > self.most_bytes)
            ):
                return None
            self.bytes += size
            (self.queue.appendleft if front else self.queue.append)((loop, future, work, args, size))
            self.ready.notify()
        return future

    def work(self):
        me = threading.get_ident()
        while True:
            with self.ready:
                while not self.queue:
                    if self.ended:
                        return
                    self.ready.wait()
                loop, future, work, args, size = self.queue.popleft()
                self.begun[me] = time.monotonic()
            try:
                done = work(*args), None
            except BaseException as fault:
                done = None, fault
            with self.ready:
                self.bytes -= size
                del self.begun[me]
            try:
                loop.call_soon_threadsafe(settle, future, *done)
            except RuntimeError:  # the loop is closed: nobody waits any more
                pass

    def longest_s(self):
        """How long the call that began first has been under way."""
        with self.ready:
            return time.monotonic() - min(self.begun.values()) if self.begun else 0.0

    def waiting(self):
        with self.ready:
            return len(self.queue)

    def end(self):
        """Takes no more; the threads end when the queue is empty."""
        with self.ready:
            self.ended = True
            self.ready.notify_all()


def settle(future, result, fault):
    if future.done():
        return
    if fault is None:
        future.set_result(result)
    else:
        future.set_exception(fault)
        future.exception()  # who does not wait for it need not hear of it
