"""The interface of the other protocols on the membership socket: limits, verdicts and warm start.

A core is the state machine of one such protocol.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

import msgspec
import xxhash

from brookhinge.engine.events import Event
from brookhinge.membership.claims import MemberState
from brookhinge.membership.messages import CoreMessage, Row, StatusTopic
from brookhinge.membership.view import MembershipView


class CoreContext(NamedTuple):
    """The router and fleet information available to a core.

    Attributes:
        view: This router's view of the fleet.
        name: The name of this router.
        zone: The zone of this router.
        version: The protocol version that this router speaks.
    """

    view: MembershipView
    name: str
    zone: str
    version: int

    def alive_members(self, zone: str | None = None) -> list[int]:
        """Return the positions of alive members of the same protocol version, including this router.

        With `zone`, only members of that zone are returned.
        """
        view = self.view
        return [
            i
            for i in range(len(view.names))
            if view.states[i] == MemberState.ALIVE
            and view.versions[i] == self.version
            and zone in (None, view.zones[i])
        ]

    def choose(self, key: str, members: Sequence[int]) -> int | None:
        """Choose a member for a key by rendezvous hashing: routers with equal views choose the same one."""
        names = self.view.names
        return max(members, key=lambda i: xxhash.xxh64_intdigest(f"{key} {names[i]}".encode()), default=None)

    def is_self(self, i: int) -> bool:
        """Return whether the member at position `i` is this router."""
        return self.view.names[i] == self.name


class CoreWriter(Protocol):
    """Sends the messages and posts the events of a core."""

    def post_to(self, i: int, message: msgspec.Struct, rows: Sequence[Row]) -> None:
        """Send a message with rows to the member at position `i` of the view."""

    def post_event(self, event: Event) -> None:
        """Post an event to the engine."""


class Core(Protocol):
    """A protocol state machine without I/O or clock.

    Attributes:
        message_types: The message types that it receives.
        status_topic: The status topic that it answers, or None.
        next_expiry_at: When a value that it posted to the engine next expires, in seconds.
    """

    message_types: tuple[type, ...]
    status_topic: StatusTopic | None
    next_expiry_at: float

    def round(self, now: float, inbox: Sequence[CoreMessage], writer: CoreWriter) -> None:
        """Handle the received messages, then run whatever is due."""

    def next_at(self) -> float:
        """Return when the next round is due if nothing is received."""

    def publish(self, now: float, writer: CoreWriter) -> None:
        """Post changed values to the engine."""

    def status_rows(self, now: float) -> list[Row]:
        """Return the rows of its status topic."""
