"""A command channel that recognizes a count of commands which began anew.

A channel that lost its commands and numbers new ones from 1 must not be taken for the one before: commands
up to the last number would never be applied. It shows by a last number that is lower, or else by the anchor.
That is a command that was applied already. A poll on a new connection asks for it once more, and a command of
that number that differs belongs to another count. A connection ends with the channel's process, so what
follows on the same connection is the same count.
"""

import time
import weakref
from collections.abc import Callable, Sequence

from brookhinge.engine.commands import Command
from brookhinge.engine.events import CommandSkipped, EndpointsListed, ObjectsPurged
from brookhinge.net.command_channel import NEVER, POLL_WAIT_S, CommandChannel
from brookhinge.net.poll_connection import PollConnection


class VerifiedChannel(CommandChannel):
    """A command channel that starts over when commands may have been missed.

    Attributes:
        is_synchronized: Whether all commands that the channel had at the start have been received.
        last_applied: Number of the last command that was applied.
    """

    def __init__(
        self,
        post: Callable[[Command], None],
        log_event: Callable[..., None],
        address: tuple[str, int],
        started_at: float,
        *,
        now: Callable[[], float] = time.monotonic,
        on_gap: Callable[[str], None],
        on_current: Callable[[], None],
    ) -> None:
        """Create a channel that does not poll yet.

        Args:
            post: Called with each new command.
            log_event: Called with the name of an event and its values as keyword arguments.
            address: Address of the command channel.
            started_at: Unix time from which the times of commands are counted.
            now: Returns seconds of a steady clock.
            on_gap: Called with the reason when commands may have been missed.
            on_current: Called when all commands of the channel have been received.
        """
        super().__init__(post, log_event, address, 0, started_at, now=now)
        self.is_synchronized = False
        self.last_applied = 0
        self._anchor: Command | None = None
        # Connections on which the anchor was received again, or on which the count began.
        self._verified: weakref.WeakSet[PollConnection] = weakref.WeakSet()
        self._verifying_at = NEVER  # when the last poll for the anchor was sent
        self._is_new_count = False  # whether the count has begun anew and is not received yet
        self._list_number = 0  # of the last list that came alone, which contains all changes up to it
        self._on_gap = on_gap
        self._on_current = on_current

    async def prepare_poll(self, connection: PollConnection) -> None:
        """Let the poll ask for what follows; on a connection that is not verified, from the anchor on."""
        self.cursor = self.last_applied
        if self._has_to_verify(connection):
            self._verifying_at = self._now()
            self.cursor = min(self.cursor, self._anchor.number - 1)

    def _has_to_verify(self, connection: PollConnection) -> bool:
        """Return whether the next poll of a connection asks for the anchor.

        The channel answers such a poll at once, so one that closes each connection after its response is not
        asked for the anchor every time.
        """
        if self._anchor is None or connection in self._verified:
            return False
        return self._now() - self._verifying_at >= POLL_WAIT_S

    def apply_commands(self, connection: PollConnection, cursor: int, commands: Sequence[Command]) -> bool:
        """Post the new commands of an answer, whose last number is `cursor`.

        Returns:
            Whether all commands up to `cursor` are known.
        """
        if self._is_list_alone(connection, cursor, commands):
            self._apply_list_alone(connection, commands)
            return False
        gap = self._find_gap(connection, cursor, commands)
        for command in commands:
            # After a gap all commands are requested again; only purges are applied at once.
            is_new = self._is_new(command) if gap is None else isinstance(command, ObjectsPurged)
            if is_new or isinstance(command, CommandSkipped):
                self.post(command)
        if gap is not None:
            self._start_over(gap)
            return False
        self._move_anchor(connection, commands)
        self.is_synchronized = True
        self._is_new_count = False
        self.last_applied = max(self.last_applied, cursor)
        self._on_current()
        return True

    def _is_new(self, command: Command) -> bool:
        if isinstance(command, EndpointsListed) and command.number <= self._list_number:
            return False
        return command.number > self.last_applied

    def _start_over(self, gap: str) -> None:
        """Request all commands again, since some may have been missed."""
        self.is_synchronized = False
        self.last_applied = 0
        self._list_number = 0
        self._anchor = None
        self._verified.clear()
        self.close()  # the response to a poll that is still open would start after the missing commands
        self._on_gap(gap)

    def _is_list_alone(self, connection: PollConnection, cursor: int, commands: Sequence[Command]) -> bool:
        """Return whether an answer has the current list in place of the first command, and nothing before it.

        Some channels answer so to the number 0. Purges begin with number 2 in every count, so after number 1
        none is missed, whichever count it is.
        """
        follows_first = self._is_new_count or (self._anchor is not None and self._anchor.number == 1)
        if not follows_first or connection.cursor or cursor < self.last_applied:
            return False
        return bool(commands) and commands[0].number > 1

    def _apply_list_alone(self, connection: PollConnection, commands: Sequence[Command]) -> None:
        """Post a list that stands in place of the first command; what follows number 1 is still to come."""
        for command in commands:
            self.post(command)
        self._list_number = commands[-1].number
        self.last_applied = 1
        self._verified.add(connection)

    def _move_anchor(self, connection: PollConnection, commands: Sequence[Command]) -> None:
        """Make the newest command of a verified connection the anchor."""
        if self._anchor is None or self._anchor in commands:
            self._verified.add(connection)
        if connection in self._verified and commands:
            self._anchor = commands[-1]

    def _find_gap(self, connection: PollConnection, cursor: int, commands: Sequence[Command]) -> str | None:
        """Return the reason why commands may have been missed; None if there is no gap."""
        if not self.is_synchronized:
            return None
        if cursor < self.last_applied:
            self._is_new_count = True
            return f"the channel restarted: it is at command {cursor} after {self.last_applied}"
        if commands and commands[0].number > connection.cursor + 1:
            return f"commands are missing: {commands[0].number} follows {connection.cursor}"
        anchor = self._anchor
        if anchor is not None and any(c.number == anchor.number and c != anchor for c in commands):
            self._is_new_count = True
            return f"the channel restarted: command {anchor.number} is another one than before"
        return None
