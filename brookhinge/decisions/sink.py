"""The sink that decisions go to, and the attempt as it is decided."""

import enum
from typing import NamedTuple, Protocol

from brookhinge.decisions.rules import Refusal


class Retention(enum.IntEnum):
    """How much a cache should want to keep the copy that it fills."""

    NONE = 0
    NORMAL = 1
    IN_DEMAND = 2


class Attempt(NamedTuple):
    """One try to have a request answered by a server."""

    server: int | str
    deadline: float  # when it is given up, seconds of the caller's clock
    fill_from: int | str  # where the server may fill from; itself: it answers from what it holds
    retention: Retention
    max_age_s: float  # the oldest copy that will do; 0: as the request class has it
    joins_fill: bool  # it may wait for a fill of the same object that is under way
    cached_only: bool  # the source is asked for what it holds, it fetches nothing itself
    revalidates: bool  # an aged copy is answered and renewed behind


class DecisionSink(Protocol):
    """Takes the decisions of a round, in the order in which they take effect."""

    def forward(self, request_id: int, attempt: Attempt) -> None:
        """Send a request to a server."""

    def reject(self, request_id: int, retry_after_s: float, reason: Refusal | None = None) -> None:
        """Answer finally that nothing was done; the client may ask again after that time."""

    def fail(self, request_id: int, reason: Refusal | None = None) -> None:
        """Answer finally with an error: asking again could do harm."""

    def respond_from_copy(self, request_id: int, name: tuple) -> None:
        """Answer finally with a copy kept under that name."""

    def keep_copy(self, request_id: int, name: tuple) -> None:
        """Keep the body that this request has just been answered with."""

    def drop_copy(self, name: tuple) -> None:
        """Forget a copy."""

    def log(self, text: str) -> None:
        """Tell operators of a decision."""
