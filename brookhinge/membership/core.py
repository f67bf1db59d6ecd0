"""The interface of the other protocols on the membership socket: limits, verdicts, warm-start state."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

import msgspec
import xxhash

from brookhinge.engine.events import Event
from brookhinge.membership.claims import MemberState
from brookhinge.membership.messages import CoreMessage, Row, StatusTopic
from brookhinge.membership.view import MembershipView


class CoreContext(NamedTuple):
    """What a core knows of its router and of the fleet.

    Attributes:
        view: the fleet's.
        name: this router's.
        zone: where it stands.
        version: of the protocol that it speaks.
    """

    view: MembershipView
    name: str
    zone: str
    version: int

    def alive_members(self, zone: str | None = None) -> list[int]:
        """Positions of the members alive that read what this router writes, itself included."""
        view = self.view
        return [
            i
            for i in range(len(view.names))
            if view.states[i] == MemberState.ALIVE
            and view.versions[i] == self.version
            and zone in (None, view.zones[i])
        ]

    def choose(self, key: str, members: Sequence[int]) -> int | None:
        """Choose a member for a key by rendezvous hashing: all routers with one view choose the same."""
        names = self.view.names
        return max(members, key=lambda i: xxhash.xxh64_intdigest(f"{key} {names[i]}".encode()), default=None)

    def is_self(self, i: int) -> bool:
        """Whether the member at a position is this router."""
        return self.view.names[i] == self.name


class CoreWriter(Protocol):
    """Takes the messages and the events of a core."""

    def post_to(self, i: int, message: msgspec.Struct, rows: Sequence[Row]) -> None:
        """Send a message to the member at a position of the view."""

    def post_event(self, event: Event) -> None:
        """Post an event to the engine."""


class Core(Protocol):
    """A protocol without I/O and clock.

    Attributes:
        message_types: the messages that it receives.
        status_topic: the status topic that it answers, or None.
        shrinks_at: when something that it told the engine ends by itself.
    """

    message_types: tuple[type, ...]
    status_topic: StatusTopic | None
    shrinks_at: float

    def round(self, now: float, inbox: Sequence[CoreMessage], writer: CoreWriter) -> None:
        """Take what was received, then do what is due."""

    def next_at(self) -> float:
        """When a round is due though nothing was received."""

    def publish(self, now: float, writer: CoreWriter) -> None:
        """Post what has changed to the engine."""

    def status_rows(self, now: float) -> list[Row]:
        """The rows of its status topic."""
