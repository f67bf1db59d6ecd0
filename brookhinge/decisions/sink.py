"""The interface through which decisions are carried out, and the attempts that are decided on."""

import enum
from typing import NamedTuple, Protocol

from brookhinge.decisions.rules import Refusal


class Retention(enum.IntEnum):
    """The priority with which a cache should keep the copy that it fills."""

    NONE = 0
    NORMAL = 1
    IN_DEMAND = 2


class Attempt(NamedTuple):
    """One attempt to have a server answer a request."""

    server: int | str
    deadline: float  # when the attempt times out, in seconds on the caller's clock
    fill_from: int | str  # the fill source; the server itself: it may answer only from its cache
    retention: Retention
    max_age_s: float  # age of the oldest acceptable copy; 0: as configured for the request class
    joins_fill: bool  # the server may wait for a fill of the same object that is in progress
    cached_only: bool  # the fill source may answer only from its cache
    revalidates: bool  # the server may answer with a stale copy and revalidate it in the background


class DecisionSink(Protocol):
    """Receives the decisions of a round in the order in which they take effect."""

    def forward(self, request_id: int, attempt: Attempt) -> None:
        """Send a request to a server."""

    def reject(self, request_id: int, retry_after_s: float, reason: Refusal | None = None) -> None:
        """Respond that the request was not executed; the client may retry after `retry_after_s` seconds."""

    def fail(self, request_id: int, reason: Refusal | None = None) -> None:
        """Respond with an error: a retry could execute the request twice."""

    def respond_from_copy(self, request_id: int, name: tuple) -> None:
        """Respond with the copy that is kept under `name`."""

    def keep_copy(self, request_id: int, name: tuple) -> None:
        """Keep the body with which this request was just answered under `name`."""

    def drop_copy(self, name: tuple) -> None:
        """Drop the copy that is kept under `name`."""

    def log(self, text: str) -> None:
        """Log a decision for operators."""
