"""Follows the command channel with long polls and posts its commands. Makes no routing decisions.

A channel may answer later than it promised without being down. A poll that is not answered in time therefore
stays open while the next one is sent on a new connection, and its response counts whenever it arrives.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Sequence

from brookhinge.engine.commands import Command, CommandFormatError, read_commands
from brookhinge.engine.loop_watch import LoopWatch
from brookhinge.net.errors import UnreadableError
from brookhinge.net.poll_connection import PollConnection
from brookhinge.net.timeouts import finishes_within

POLL_WAIT_S = 1.0  # the channel answers a poll after this time even without a command
POLL_SLACK_S = 0.5  # after POLL_WAIT_S, until the next poll is sent without waiting for the response
MAX_LATE_POLLS = 8  # open without a response besides the current one; each takes a descriptor
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
EMPTY_CHECK_TTL_S = 0.1  # a check that found nothing unread is valid this long; a command binds after 0.5 s
HTTP_OK = 200
NEVER = float("-inf")


class CommandChannel:
    """Follows the commands of one address. Subclasses may override `prepare_poll` and `apply_commands`.

    Attributes:
        post: Called with each command.
        cursor: Number of the last command that was received.
        known_until: All commands that the channel had at this time of the steady clock have been received.
        current: Connection of the current or next poll, or None.
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
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a channel that does not poll yet; `run` polls.

        Args:
            post: Called with each command.
            log: Called with (event, **values).
            address: Host and port of the command channel.
            cursor: Number of the last command that is known.
            started_at: Unix time that the times of commands are relative to.
            watch: Detects stalls of the event loop, or None.
            now: Returns seconds of a steady clock; with a watch, that of the watch is used.
        """
        self.post = post
        self.cursor = cursor
        self.known_until = NEVER
        self.current: PollConnection | None = None
        self.checked_empty_at = NEVER
        self._late: dict[PollConnection, asyncio.Task] = {}  # polls without a response in time, oldest first
        self._log = log
        self._address = address
        self._started_at = started_at
        self._watch = watch
        self._now = now if watch is None else watch.now
        self._address_changed = asyncio.Event()
        self._backoff_s = MIN_BACKOFF_S
        self._has_failed = False  # whether the last poll failed
        self._responded_at = NEVER  # time of the last response
        self._newest_cursor = 0  # of the last response that was applied

    def change_address(self, address: tuple[str, int]) -> None:
        """Switch to another address and continue after the last command; polls of the old one end.

        The same address changes nothing: restarted polls of a slow channel would never be answered.
        """
        if address == self._address:
            return
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
        """Poll once and post the commands received; return why there was no response in time, or None."""
        if self.current is None or self.current.is_closed:
            self.current = PollConnection(self._address, self._now)
        connection = self.current
        poll = asyncio.ensure_future(self._poll(connection))
        if await finishes_within(poll, POLL_WAIT_S + POLL_SLACK_S, self._watch):
            return poll.result()
        self._keep_late(connection, poll)
        return TimeoutError.__name__

    async def _poll(self, connection: PollConnection) -> str | None:
        """Poll on a connection and post the commands received; return why that failed, or None."""
        try:
            await self.prepare_poll(connection)
            wait_s = 0.0 if self._is_behind() else POLL_WAIT_S
            response = await connection.poll(self.cursor, wait_s)
            if response.status != HTTP_OK:
                raise UnreadableError(f"unexpected HTTP status {response.status}")
            cursor, commands = read_commands(response.body, self._started_at)
            if not response.keeps_alive:
                connection.close()
            self._take_response(connection, cursor, commands)
        except OSError as error:
            return type(error).__name__
        except (UnreadableError, CommandFormatError) as error:
            return str(error)
        except Exception as error:
            return f"{type(error).__name__}: {error}"
        return None

    def _take_response(self, connection: PollConnection, cursor: int, commands: Sequence[Command]) -> None:
        """Post the commands of a response, and give up the polls sent before its own."""
        now = self._now()
        if connection in self._late:
            self._log("command channel", why="late response", took_s=round(now - connection.polled_at, 2))
        self._give_up_polls_before(connection)
        self._backoff_s = MIN_BACKOFF_S
        self._has_failed = False
        # With several polls open, a response may arrive after a newer one that was sent later.
        is_outdated = connection.polled_at < self._responded_at and cursor < self._newest_cursor
        self._responded_at = now
        is_known = is_outdated
        if not is_outdated:
            self._newest_cursor = cursor
            is_known = self.apply_commands(connection, cursor, commands)
        if is_known:  # set last: before, the commands are read but not posted
            self.known_until = max(self.known_until, connection.polled_at)

    def _keep_late(self, connection: PollConnection, poll: asyncio.Task) -> None:
        """Keep an overdue poll open until it ends, and give up the oldest one if there are too many."""
        if self.current is connection:
            self.current = None
        self._late[connection] = poll
        poll.add_done_callback(lambda _: self._drop_late(connection))
        if len(self._late) > MAX_LATE_POLLS:
            self._drop_late(next(iter(self._late)))

    def _give_up_polls_before(self, connection: PollConnection) -> None:
        """Give up the overdue polls that are older than the one of `connection`."""
        for late in list(self._late):
            if late is connection:
                return
            self._drop_late(late)

    def _drop_late(self, connection: PollConnection) -> None:
        connection.close()
        self._late.pop(connection, None)

    async def _back_off(self, failure: str) -> None:
        """Wait before the next poll with exponential backoff; a change of address ends the wait."""
        self._close_current()
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

    async def prepare_poll(self, connection: PollConnection) -> None:
        """Set `cursor` for the next poll, which is sent on `connection`."""

    def apply_commands(self, connection: PollConnection, cursor: int, commands: Sequence[Command]) -> bool:
        """Post the commands of one response, which came on `connection`.

        Returns:
            Whether all commands up to `cursor` are known.
        """
        for command in commands:
            self.post(command)
        self.cursor = max(self.cursor, cursor)
        return True

    def _is_behind(self) -> bool:
        """Return whether the event loop stalled after the last answered poll was sent.

        Commands may have arrived during that stall.
        """
        stall = self._watch and self._watch.last_stall
        return stall is not None and stall.ended_at > self.known_until

    def is_current(self) -> bool:
        """Return whether all commands that arrived during the last stall are known, as far as it can tell."""
        if not self._is_behind() or self._has_failed:
            return True
        is_waiting = self.current is not None and self.current.has_waiting_poll()
        return is_waiting and not self.has_unread()

    def has_unread(self) -> bool:
        """Return whether the channel has unread bytes; a negative check is reused for a short time."""
        now = self._now()
        polling = [connection for connection in self.connections() if connection.is_polling()]
        if not polling or now - self.checked_empty_at <= EMPTY_CHECK_TTL_S:
            return False
        if any(connection.has_unread() for connection in polling):
            return True
        self.checked_empty_at = now
        return False

    def connections(self) -> list[PollConnection]:
        """Return the connections that are in use, the oldest first."""
        return [*self._late, *([self.current] if self.current is not None else [])]

    def _close_current(self) -> None:
        if self.current is not None:
            self.current.close()
            self.current = None

    def close(self) -> None:
        """Close all connections; the next poll opens a new one."""
        self._close_current()
        for connection in list(self._late):
            self._drop_late(connection)
