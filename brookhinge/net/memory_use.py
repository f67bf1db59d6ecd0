"""What the router holds for clients and servers, counted against `decisions/memory_limits.py`."""

from __future__ import annotations

import asyncio
import collections
import enum
from typing import NamedTuple

from brookhinge.decisions import memory_limits
from brookhinge.decisions.memory_limits import MemoryLimits


class Shed(enum.StrEnum):
    """What is given up when a limit is exceeded."""

    PARTIAL_CALL = "partial_call"  # the rest of the call is discarded as it arrives, then it is rejected
    WHOLE_CALL = "whole_call"  # rejected without being processed
    REQUEST = "request"  # rejected because too much is held for open requests
    UNREAD_REPLIES = "unread_replies"  # the connection of a client that does not read is closed


class _WaitingAnswer(NamedTuple):
    """An answer for which there is no memory yet."""

    size: int
    granted: asyncio.Future[None]


class MemoryUse:
    """Bytes held by kind, and their limits.

    Attributes:
        limits: The most bytes of each kind.
        call_bytes: Received calls that are incomplete or not processed yet.
        request_bytes: Open requests and their bodies, as estimated by `decisions/memory_limits.py`.
        reply_bytes: Replies that the kernel has not accepted yet because clients do not read.
        answer_bytes: Servers' answers that are incomplete, with their whole size, or not passed on yet.
        shed: What was given up, by kind.
    """

    def __init__(self, limits: MemoryLimits) -> None:
        self.limits = limits
        self.call_bytes = 0
        self.request_bytes = 0
        self.reply_bytes = 0
        self.answer_bytes = 0
        self.shed: collections.Counter[Shed] = collections.Counter()
        self._waiting: collections.deque[_WaitingAnswer] = collections.deque()

    def held(self) -> dict[str, int]:
        """Return the bytes held by kind."""
        return {
            "calls": self.call_bytes,
            "requests": self.request_bytes,
            "replies": self.reply_bytes,
            "answers": self.answer_bytes,
        }

    @property
    def is_short_for_calls(self) -> bool:
        """Whether so much is held for calls that clients should be read in small pieces."""
        return self.call_bytes > self.limits.call_bytes / 2

    def may_open_request(self, size: int, *, client_has_open: bool) -> bool:
        """Return whether a client may open a request of `size` bytes."""
        return memory_limits.may_open_request(
            self.request_bytes, size, self.limits.request_bytes, client_has_open
        )

    # Answers of servers.

    async def reserve_answer(self, size: int) -> None:
        """Wait in line for memory for an answer of `size` bytes; `release_answer` releases it."""
        if self._waiting or not self._can_reserve_answer(size):
            waiting = _WaitingAnswer(size, asyncio.get_running_loop().create_future())
            self._waiting.append(waiting)
            await waiting.granted
        else:
            self.answer_bytes += size

    def count_answer(self, size: int) -> None:
        """Count an answer that is complete until `release_answer`."""
        self.answer_bytes += size

    def release_answer(self, size: int) -> None:
        """Release reserved memory, and grant it to answers that wait."""
        self.answer_bytes -= size
        while self._waiting:
            first = self._waiting[0]
            if not first.granted.cancelled():
                if not self._can_reserve_answer(first.size):
                    return
                self.answer_bytes += first.size
                first.granted.set_result(None)
            self._waiting.popleft()

    def _can_reserve_answer(self, size: int) -> bool:
        """Return whether an answer may be read; one may always be."""
        return not self.answer_bytes or self.answer_bytes + size <= self.limits.answer_bytes
