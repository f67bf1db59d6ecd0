"""Follows the command channel with long polls and posts its commands. Makes no routing decisions."""

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
POLL_WAIT_S = 1.0  # the channel answers a poll after this time even without a command
POLL_SLACK_S = 0.5  # after POLL_WAIT_S, until the connection is considered dead
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
EMPTY_CHECK_TTL_S = 0.1  # a check that found nothing unread is valid this long; a command binds after 0.5 s
HTTP_OK = 200


class CommandChannel:
    """Follows the commands of one address. Subclasses may override `poll` and `apply_commands`.

    Attributes:
        post: Called with each command.
        cursor: Number of the last command that was received.
        stream: The connection, or None.
        pending_read: Result of the read in progress, or None.
        checked_empty_at: Time of the last check that found nothing unread.
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
        """Create a channel that does not poll yet; `run` polls.

        Args:
            post: Called with each command.
            log: Called with (event, **values).
            address: Host and port of the command channel.
            cursor: Number of the last command that is known.
            started_at: Unix time that the times of commands are relative to.
            watch: Detects stalls of the event loop, or None.
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
        self._address_changed = asyncio.Event()
        self._backoff_s = MIN_BACKOFF_S
        self._has_failed = False  # whether the last poll failed
        self._polled_at = float("-inf")
        # Time by which the channel answers the outstanding poll; None if no poll is outstanding.
        self._response_due_at: float | None = None
        # Send time of the last poll that was answered: all commands up to then are known.
        self._known_until = float("-inf")

    def change_address(self, address: tuple[str, int]) -> None:
        """Switch to another address and continue after the last command; a poll of the old one ends."""
        self._address = address
        self._address_changed.set()
        self.close()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self._address_changed.clear()
            failure = await self._try_poll()
            if failure is not None:
                await self._back_off(failure)

    async def _try_poll(self) -> str | None:
        """Poll once and post the commands received; return why that failed, or None."""
        try:
            response = await within(self.poll(), POLL_WAIT_S + POLL_SLACK_S, self._watch)
            if response.status != HTTP_OK:
                raise UnreadableError(f"unexpected HTTP status {response.status}")
            cursor, commands = read_commands(response.body, self._started_at)
            if not response.keeps_alive:
                self.close()
            self._backoff_s = MIN_BACKOFF_S
            self._has_failed = False
            self.apply_commands(cursor, commands)
            self._known_until = self._polled_at  # set last: before, the commands are read but not posted
        except (TimeoutError, StreamClosedError, OSError) as error:
            return type(error).__name__
        except (UnreadableError, CommandFormatError) as error:
            return str(error)
        except Exception as error:
            return f"{type(error).__name__}: {error}"
        return None

    async def _back_off(self, failure: str) -> None:
        """Wait before the next poll with exponential backoff; a change of address ends the wait."""
        self.close()
        self._has_failed = not self._address_changed.is_set()
        if self._has_failed:
            self._log("command channel", why=failure, again_s=round(self._backoff_s, 2))
            pause_s = self._backoff_s * (0.5 + 0.5 * random.random())
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._address_changed.wait(), pause_s)
        if self._address_changed.is_set():
            self._backoff_s = MIN_BACKOFF_S
        else:
            self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)

    async def poll(self) -> http.Response:
        """Poll for the commands after the cursor and return the response.

        Raises:
            OSError: The address cannot be reached.
            StreamClosedError: The connection ended.
            UnreadableError: The response is not valid HTTP.
        """
        if self.stream is None or self.stream.closed():
            await self._connect()
        stream = self.stream
        parser = http.ResponseParser()
        wait_s = 0.0 if self._is_behind() else POLL_WAIT_S
        self._polled_at = self._now()
        self._response_due_at = self._polled_at + wait_s
        host, port = self._address
        await stream.write(http.encode_poll(f"{host}:{port}", self.cursor, int(wait_s * 1000)))
        while True:
            self.pending_read = stream.read_bytes(READ_BYTES, partial=True)
            try:
                response = parser.feed(await self.pending_read)
            except StreamClosedError:
                response = parser.end()
            if response is not None:
                self._response_due_at = None
                return response

    async def _connect(self) -> None:
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.stream = Stream(connection, max_buffer_size=2 * http.MAX_BODY_BYTES)
        self.stream.set_nodelay(True)
        await self.stream.connect(self._address)

    def apply_commands(self, cursor: int, commands: Sequence[Command]) -> None:
        """Post the commands of one response."""
        for command in commands:
            self.post(command)
        self.cursor = max(self.cursor, cursor)

    def _is_behind(self) -> bool:
        """Return whether the event loop stalled after the last answered poll was sent.

        Commands may have arrived during that stall.
        """
        stall = self._watch and self._watch.last_stall
        return stall is not None and stall.ended_at > self._known_until

    def is_current(self) -> bool:
        """Return whether all commands that arrived during the last stall are known, as far as it can tell."""
        if not self._is_behind() or self._has_failed:
            return True
        return self._has_waiting_poll() and not self.has_unread()

    def _has_waiting_poll(self) -> bool:
        """Return whether a poll is outstanding that the channel would only answer now if it had a command."""
        return self._response_due_at is not None and self._now() < self._response_due_at

    def has_unread(self) -> bool:
        """Return whether the channel has unread bytes; a negative check is reused for a short time."""
        now = self._now()
        if self._response_due_at is None or now - self.checked_empty_at <= EMPTY_CHECK_TTL_S:
            return False
        is_read_done = self.pending_read is not None and self.pending_read.done()
        if is_read_done or unread(self.stream.socket) is not Unread.NOTHING:
            return True
        self.checked_empty_at = now
        return False

    def close(self) -> None:
        """Close the connection; the next poll opens a new one."""
        self._response_due_at = None
        self.pending_read = None
        if self.stream is not None:
            self.stream.close()
            self.stream = None
