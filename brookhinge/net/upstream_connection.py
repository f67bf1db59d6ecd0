"""One connection to a server: what is in flight on it, and the ids that it must not carry again."""

from __future__ import annotations

from typing import NamedTuple

from brookhinge.engine.effects import SendAttempt
from brookhinge.engine.endpoints import ServerInstance
from brookhinge.net.cachewire import AnswerSplitter
from brookhinge.net.stream import Stream

MAX_USED_IDS = 200  # then the connection takes no more at all


class PendingAttempt(NamedTuple):
    """An attempt that is not written yet."""

    effect: SendAttempt
    queued_at: float


class SentAttempt(NamedTuple):
    """An attempt that was written and is not answered yet."""

    request_id: int
    attempt: int
    sent_at: float


class UpstreamConnection:
    """The state of one connection. Ids are those that clients gave their requests.

    Attributes:
        server: The start of a server that it leads to.
        stream: The connection itself.
        is_connected: Whether the connect has succeeded.
        is_closed: Whether it is closed by us.
        is_retired: Whether it takes nothing new.
        used_at: When something was last written or answered on it.
        received_at: When bytes last came.
        echo_sent_at: When a health check was sent that is not answered; None if there is none.
        echo_checks: How often silence was noticed since then.
        in_flight: What was written and is not answered, by id, oldest first.
        waiting: What is to be written, by id.
        used_ids: Ids that an answer may still come for.
        cancelled_ids: Those among them whose answer is no error.
        answers: Cuts what comes into answers.
        stuck_since: Since when it has been stuck; None if it is not.
    """

    def __init__(self, server: ServerInstance, stream: Stream, now: float) -> None:
        self.server = server
        self.stream = stream
        self.is_connected = False
        self.is_closed = False
        self.is_retired = False
        self.used_at = now
        self.received_at = now
        self.echo_sent_at: float | None = None
        self.echo_checks = 0
        self.in_flight: dict[bytes, SentAttempt] = {}
        self.waiting: dict[bytes, PendingAttempt] = {}
        self.used_ids: set[bytes] = set()
        self.cancelled_ids: set[bytes] = set()
        self.answers = AnswerSplitter()
        self.stuck_since: float | None = None

    @property
    def load(self) -> int:
        """How many attempts it carries or is to carry."""
        return len(self.in_flight) + len(self.waiting)

    def accepts(self, client_request_id: bytes, max_load: int) -> bool:
        """Return whether an attempt may be written on it, now or once it is connected."""
        return (
            not (self.is_closed or self.is_retired or self.stream.closed())
            and self.load < max_load
            and client_request_id not in self.in_flight
            and client_request_id not in self.used_ids
            and client_request_id not in self.waiting
            and not self.is_stuck()
            and not self.stream.writing()  # what is written behind it could come after a drain or a purge
        )

    def is_stuck(self) -> bool:
        """Return whether it waits for the rest of an answer that no attempt waits for."""
        if self.answers.head is not None:
            client_request_id = self.answers.head[0]
            return client_request_id not in self.in_flight
        return bool(self.answers.buffered) and not self.in_flight

    def retire_id(self, client_request_id: bytes) -> None:
        """Carry no further attempt with an id: an answer may come that must not pass for that attempt's."""
        self.used_ids.add(client_request_id)
        if len(self.used_ids) >= MAX_USED_IDS:
            self.is_retired = True
