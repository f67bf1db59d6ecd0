"""The command channel as a cache server follows it.

The number in a poll acknowledges what was taken for good: it stays below the first purge that is not durable
yet, and what is told again meanwhile is passed over, so that a disk that stalls holds up no drain and no
purge. A channel that tells less than it told before has lost something.
"""

import asyncio
from collections.abc import Callable, Sequence

from brookhinge.engine.commands import Command
from brookhinge.engine.events import CommandSkipped, ObjectsPurged
from brookhinge.net.command_channel import CommandChannel
from brookhinge.net.http import Response

# between polls while their number can't rise: the channel answers such a poll at once
_UNACKNOWLEDGED_POLL_INTERVAL_S = 0.05


class AcknowledgingChannel(CommandChannel):
    """A command channel that acknowledges only what is durable.

    Attributes:
        is_synchronized: Whether all that the channel knew at the start has been told.
        taken: The number of the last command that was taken.
    """

    def __init__(
        self,
        post: Callable[[Command], None],
        log_event: Callable[..., None],
        address: tuple[str, int],
        started_at: float,
        *,
        durable_up_to: Callable[[int], int],
        on_gap: Callable[[str], None],
        on_current: Callable[[], None],
    ) -> None:
        """Make a channel that does not poll yet.

        Args:
            post: Takes each command that is new.
            log_event: Called with the event's name and its values as keywords.
            address: Of the command channel.
            started_at: Unix time from which the times of commands count.
            durable_up_to: The highest number, up to the given one, of which every purge is durable.
            on_gap: Purges may have been missed, and why.
            on_current: The channel has told all that it knows.
        """
        super().__init__(post, log_event, address, 0, started_at)
        self.is_synchronized = False
        self.taken = 0
        self._durable_up_to = durable_up_to
        self._on_gap = on_gap
        self._on_current = on_current

    async def poll(self) -> Response:
        """Poll with the number of the last command that is durable."""
        if self._durable_up_to(self.taken) < self.taken:
            await asyncio.sleep(_UNACKNOWLEDGED_POLL_INTERVAL_S)
        self.cursor = self._durable_up_to(self.taken)
        return await super().poll()

    def apply_commands(self, cursor: int, commands: Sequence[Command]) -> None:
        """Post the commands of one answer, as far as they are new."""
        gap = self._gap(cursor, commands)
        for command in commands:
            # after a gap the list is told from its start once more, and purges bind at once
            is_new = command.number > self.taken if gap is None else isinstance(command, ObjectsPurged)
            if is_new or isinstance(command, CommandSkipped):
                self.post(command)
        if gap is None:
            self.is_synchronized = True
            self.taken = max(self.taken, cursor)
            self._on_current()
        else:
            self.is_synchronized = False
            self.taken = 0
            self._on_gap(gap)

    def _gap(self, cursor: int, commands: Sequence[Command]) -> str | None:
        """Why commands may have been missed, or None."""
        if not self.is_synchronized:
            return None
        if cursor < self.taken:
            return f"the channel tells up to {cursor} after {self.taken}: it has started anew"
        if commands and commands[0].number > self.cursor + 1:
            return f"the channel goes on at {commands[0].number} after {self.cursor}"
        return None
