"""The command channel: long polls, and their answers as events. Decides nothing."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from collections.abc import Callable, Sequence

from tornado.iostream import StreamClosedError

from brookhinge.engine.commands import Command, CommandFormatError, read_commands
from brookhinge.engine.loop_watch import LoopWatch
from brookhinge.net import http
from brookhinge.net.errors import UnreadableError
from brookhinge.net.stream import Stream, Unread, unread
from brookhinge.net.timeouts import within

READ_BYTES = 64 * 1024
POLL_WAIT_S = 1.0  # the channel answers a poll after so long, though nothing came
POLL_SLACK_S = 0.5  # past this as well the connection is taken for dead
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
EMPTY_CHECK_TTL_S = 0.1  # a check that found nothing unread holds so long; events bind after half a second
HTTP_OK = 200


class CommandChannel:
    """Follows the commands of one address. Subclasses may change `poll` and `take`.

    Attributes:
        post: Takes each command.
        cursor: The number of the last command that was taken.
        stream: The connection, or None.
        pending_read: What the read that is under way comes to.
        checked_empty_at: When nothing was last found unread.
    """

    def __init__(
        self,
        post: Callable[[Command], None],
        log: Callable[..., None],
        address: tuple[str, int],
        cursor: int,
        started_at: float,
        *,
        watch: LoopWatch | None = None,
    ) -> None:
        """Make a channel that does not poll yet.

        Args:
            post: Takes each command.
            log: Takes (event, **values).
            address: Of the command channel.
            cursor: The number of the last command that is known.
            started_at: Unix time from which the times of commands count.
            watch: The watch of the loop, or None.
        """
        self.post = post
        self.cursor = cursor
        self.stream: Stream | None = None
        self.pending_read: asyncio.Future[bytes] | None = None
        self.checked_empty_at = float("-inf")
        self._log = log
        self._address = address
        self._started_at = started_at
        self._watch = watch
        self._now = time.monotonic if watch is None else watch.now
        self._moved = asyncio.Event()
        self._backoff_s = MIN_BACKOFF_S
        self._has_failed = False  # the last poll
        self._polled_at = float("-inf")
        # When the poll that is out is answered, though nothing came; None: none is out.
        self._answer_due_at: float | None = None
        # All commands up to then are known: the last poll that was answered was sent then.
        self._known_until = float("-inf")

    def move(self, address: tuple[str, int]) -> None:
        """Follow another address, from the command after the last; what waits on the old one ends."""
        self._address = address
        self._moved.set()
        self.close()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self._moved.clear()
            failure = await self._try_poll()
            if failure is not None:
                await self._back_off(failure)

    async def _try_poll(self) -> str | None:
        """Poll once and take what came; return why that failed, or None."""
        try:
            response = await within(self.poll(), POLL_WAIT_S + POLL_SLACK_S, self._watch)
            if response.status != HTTP_OK:
                raise UnreadableError(f"status {response.status}")
            cursor, commands = read_commands(response.body, self._started_at)
            if not response.keeps_alive:
                self.close()
            self._backoff_s = MIN_BACKOFF_S
            self._has_failed = False
            self.take(cursor, commands)
            self._known_until = self._polled_at  # not before: until here they were read, but known to nobody
        except (TimeoutError, StreamClosedError, OSError) as error:
            return type(error).__name__
        except (UnreadableError, CommandFormatError) as error:
            return str(error)
        except Exception as error:
            return f"{type(error).__name__}: {error}"
        return None

    async def _back_off(self, failure: str) -> None:
        """Wait before the next poll, for longer each time; a move ends the wait."""
        self.close()
        self._has_failed = not self._moved.is_set()
        if self._has_failed:
            self._log("command channel", why=failure, again_s=round(self._backoff_s, 2))
            pause_s = self._backoff_s * (0.5 + 0.5 * random.random())
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._moved.wait(), pause_s)
        if self._moved.is_set():
            self._backoff_s = MIN_BACKOFF_S
        else:
            self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)

    async def poll(self) -> http.Response:
        """Ask for the commands after the cursor, and return the response.

        Raises:
            OSError: The address cannot be reached.
            StreamClosedError: The connection ended.
            UnreadableError: What came is no response.
        """
        if self.stream is None or self.stream.closed():
            await self._connect()
        stream = self.stream
        parser = http.ResponseParser()
        wait_s = 0.0 if self._is_behind() else POLL_WAIT_S
        self._polled_at = self._now()
        self._answer_due_at = self._polled_at + wait_s
        host, port = self._address
        await stream.write(http.encode_poll(f"{host}:{port}", self.cursor, int(wait_s * 1000)))
        while True:
            self.pending_read = stream.read_bytes(READ_BYTES, partial=True)
            try:
                response = parser.feed(await self.pending_read)
            except StreamClosedError:
                response = parser.end()
            if response is not None:
                self._answer_due_at = None
                return response

    async def _connect(self) -> None:
        made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.stream = Stream(made, max_buffer_size=2 * http.MAX_BODY_BYTES)
        self.stream.set_nodelay(True)
        await self.stream.connect(self._address)

    def take(self, cursor: int, commands: Sequence[Command]) -> None:
        """Post the commands of one response."""
        for command in commands:
            self.post(command)
        self.cursor = max(self.cursor, cursor)

    def _is_behind(self) -> bool:
        """Return whether the loop stood still since the last poll that was answered.

        Commands may have come after that answer.
        """
        stall = self._watch and self._watch.last_stall
        return stall is not None and stall.ended_at > self._known_until

    def is_current(self) -> bool:
        """Return whether all that came while the loop stood still is known, as far as it can be told."""
        if not self._is_behind() or self._has_failed:
            return True
        return self._is_waiting() and not self.has_unread()

    def _is_waiting(self) -> bool:
        """Return whether a poll is out that the channel answers only with a command yet."""
        return self._answer_due_at is not None and self._now() < self._answer_due_at

    def has_unread(self) -> bool:
        """Return whether something of the channel lies unread, by a check a moment ago at most."""
        now = self._now()
        if self._answer_due_at is None or now - self.checked_empty_at <= EMPTY_CHECK_TTL_S:
            return False
        has_read = self.pending_read is not None and self.pending_read.done()
        if has_read or unread(self.stream.socket) is not Unread.NOTHING:
            return True
        self.checked_empty_at = now
        return False

    def close(self) -> None:
        """Close the connection; the next poll opens another."""
        self._answer_due_at = None
        self.pending_read = None
        if self.stream is not None:
            self.stream.close()
            self.stream = None
