"""The interface of the other protocols on the membership socket: limits, verdicts, warm-start state."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from brookhinge.engine.events import Event
from brookhinge.membership.messages import CoreMessage, Row, StatusTopic


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
