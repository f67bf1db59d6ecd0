"""State of one connection to a server: its attempts, and the ids that must not be reused on it."""

from __future__ import annotations

from typing import NamedTuple

from brookhinge.engine.effects import SendAttempt
from brookhinge.engine.endpoints import ServerInstance
from brookhinge.net.cachewire import AnswerSplitter
from brookhinge.net.stream import Stream

MAX_USED_IDS = 200  # a connection with this many used ids accepts no further attempts


class PendingAttempt(NamedTuple):
    """An attempt that has not been written yet."""

    effect: SendAttempt
    queued_at: float


class SentAttempt(NamedTuple):
    """An attempt that was written and has not been answered yet."""

    request_id: int
    attempt: int
    sent_at: float


class UpstreamConnection:
    """The state of one connection. Attempts are identified by the request ids that clients chose.

    Attributes:
        server: Server instance at the other end, that is, one start of a server.
        stream: Byte stream of the connection.
        is_connected: Whether the connection has been established.
        is_closed: Whether this router has closed it.
        is_retired: Whether it accepts no further attempts.
        used_at: Time of the last attempt or answer on it.
        received_at: Time of the last received bytes.
        echo_sent_at: Time at which the unanswered health check was sent, or None if there is none.
        echo_checks: Number of sweeps that found it silent since the health check or the last received bytes.
        in_flight: Attempts that were written and not answered yet, by id, oldest first.
        waiting: Attempts to be written, by id.
        used_ids: Ids that are not reused because another answer to them may still arrive.
        cancelled_ids: Ids of cancelled attempts, whose late answer is not a protocol error.
        answers: Splits the received bytes into answers.
        reserved_bytes: Memory reserved for the answer that is incomplete.
        is_waiting_for_memory: Whether it is not read because no memory is left for that answer.
        stuck_since: Time at which a sweep first found it stuck, or None if it is not stuck.
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
        self.reserved_bytes = 0
        self.is_waiting_for_memory = False
        self.stuck_since: float | None = None

    @property
    def load(self) -> int:
        """The number of attempts in flight or waiting."""
        return len(self.in_flight) + len(self.waiting)

    def accepts(self, client_request_id: bytes, max_load: int) -> bool:
        """Return whether an attempt may be written, now or once the connection is established."""
        return (
            not (self.is_closed or self.is_retired or self.stream.closed())
            and self.load < max_load
            and client_request_id not in self.in_flight
            and client_request_id not in self.used_ids
            and client_request_id not in self.waiting
            and not self.is_stuck()
            and not self.stream.writing()  # behind unsent bytes it could be sent after a drain or a purge
        )

    def is_stuck(self) -> bool:
        """Return whether a partial answer was received that belongs to no attempt in flight."""
        if self.answers.head is not None:
            client_request_id = self.answers.head[0]
            return client_request_id not in self.in_flight
        return bool(self.answers.buffered) and not self.in_flight

    def retire_id(self, client_request_id: bytes) -> None:
        """Bar an id from reuse: a late answer could be mistaken for the answer to a later attempt."""
        self.used_ids.add(client_request_id)
        if len(self.used_ids) >= MAX_USED_IDS:
            self.is_retired = True
