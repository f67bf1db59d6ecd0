"""Warm start: a router that has just started fetches state from a member of its zone. No I/O, no clock.

The state is the sub-ranges of the beacon rings, the transfer times of the request classes, and the holders of
the most requested objects. It loosens no rule: a wrong hint costs a miss.
"""

import math
from collections.abc import Callable, Sequence

import xxhash

from brookhinge.engine.events import WarmStartReceived
from brookhinge.membership.core import CoreContext, CoreWriter
from brookhinge.membership.messages import CoreMessage, Row, WarmStartRequest, WarmStartState

RETRY_INTERVAL_S = 0.5
MAX_ATTEMPTS = 6
ROWS_PER_DATAGRAM = 10
MAX_ROWS = 200


class WarmStart:
    """Asks one member after another until one answers; afterwards it answers others."""

    message_types = (WarmStartRequest, WarmStartState)
    status_topic = None
    next_expiry_at = math.inf

    def __init__(self, context: CoreContext, *, known_rows: Callable[[], list[Row]], now: float) -> None:
        """Create a protocol instance whose first request is due at once.

        Args:
            context: Context of this router; only members of its zone are asked.
            known_rows: Returns the state of this router as rows (kind, text, number, text, number, number).
            now: Current time in seconds.
        """
        self.context = context
        self.known_rows = known_rows
        self.is_done = False
        self._next_attempt_at = now
        self._attempts = 0

    def next_at(self) -> float:
        """Return when the next member is asked; infinity when done."""
        return math.inf if self.is_done else self._next_attempt_at

    def round(self, now: float, inbox: Sequence[CoreMessage], writer: CoreWriter) -> None:
        """Answer requests and handle responses, then ask the next member if that is due."""
        for received in inbox:
            if isinstance(received.message, WarmStartRequest):
                self._answer(received.sender_id, writer)
            elif self._attempts and received.rows:
                self.is_done = True
                writer.post_event(WarmStartReceived([tuple(row) for row in received.rows]))
        if not self.is_done and now >= self._next_attempt_at:
            self._ask(now, writer)

    def _answer(self, sender_id: int, writer: CoreWriter) -> None:
        """Send the state of this router, unless it is still asking for state itself."""
        incarnation_ids = self.context.view.incarnation_ids
        if not self.is_done or sender_id not in incarnation_ids:
            return
        sender = incarnation_ids.index(sender_id)
        rows = self.known_rows()[:MAX_ROWS]
        for offset in range(0, len(rows), ROWS_PER_DATAGRAM):
            part = rows[offset : offset + ROWS_PER_DATAGRAM]
            writer.post_to(sender, WarmStartState(offset, len(rows)), part)

    def _ask(self, now: float, writer: CoreWriter) -> None:
        """Ask the next member; give up after MAX_ATTEMPTS, as when all routers start together."""
        self._next_attempt_at = now + RETRY_INTERVAL_S
        self._attempts += 1
        members = self._candidates()
        if self._attempts > MAX_ATTEMPTS:
            self.is_done = True
        elif members:
            writer.post_to(members[self._attempts % len(members)], WarmStartRequest(0, 0), [])

    def _candidates(self) -> list[int]:
        """Return the positions of members that can be asked, in an order specific to this router."""
        context = self.context
        names = context.view.names
        members = [i for i in context.alive_members(context.zone) if not context.is_self(i)]
        return sorted(members, key=lambda i: xxhash.xxh64_intdigest(f"{context.name} {names[i]}".encode()))

    def publish(self, now: float, writer: CoreWriter) -> None:
        """Post nothing, since no value of this protocol expires."""

    def status_rows(self, now: float) -> list[Row]:
        """Return no rows, since there is no status topic."""
        return []
