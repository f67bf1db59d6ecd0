"""The command channel of a cache server.

The number in a poll acknowledges all commands up to it. It stays below the first purge that is not durable
yet, so the channel sends later commands again, and the server ignores those that it has applied. A stalled
disk therefore delays neither drains nor purges.
"""

import asyncio
import time
from collections.abc import Callable

from brookhinge.engine.commands import Command
from brookhinge.net.poll_connection import PollConnection
from brookhinge.net.verified_channel import VerifiedChannel

# while a poll cannot acknowledge more, the channel answers it at once
_UNACKNOWLEDGED_POLL_INTERVAL_S = 0.05


class AcknowledgingChannel(VerifiedChannel):
    """A command channel that acknowledges only what is durable."""

    def __init__(
        self,
        post: Callable[[Command], None],
        log_event: Callable[..., None],
        address: tuple[str, int],
        started_at: float,
        *,
        now: Callable[[], float] = time.monotonic,
        durable_up_to: Callable[[int], int],
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
            durable_up_to: Returns the highest number, up to the given one, such that every purge up to it is
                durable.
            on_gap: Called with the reason when commands may have been missed.
            on_current: Called when all commands of the channel have been received.
        """
        super().__init__(post, log_event, address, started_at, now=now, on_gap=on_gap, on_current=on_current)
        self._durable_up_to = durable_up_to

    async def prepare_poll(self, connection: PollConnection) -> None:
        """Let the poll acknowledge the highest number up to which all purges are durable."""
        if self._durable_up_to(self.last_applied) < self.last_applied:
            await asyncio.sleep(_UNACKNOWLEDGED_POLL_INTERVAL_S)
        await super().prepare_poll(connection)
        self.cursor = min(self.cursor, self._durable_up_to(self.last_applied))
