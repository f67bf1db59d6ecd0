"""Data of the current round of the router's state."""

from brookhinge.engine.effects import Effect, WriteLog, WriteTrace
from brookhinge.engine.open_requests import OpenRequest


class RoundContext:
    """The time of the current round, its effects, and its messages for the decisions.

    Attributes:
        now: Time of the round, in seconds since the start.
        effects: The round's effects, in order.
        state_updates: Messages on servers, purges and limits, which the decisions process before the inbox.
        inbox: Messages on requests and ended attempts for the decisions, in order.
        bodies: {request id: (body, version tag)} of requests that got a server's response in this round.
        is_shutting_down: Whether shutdown has begun, after which no attempts are sent.
        is_traced: Whether steps of requests are written to the trace.
    """

    def __init__(self, *, is_traced: bool) -> None:
        self.now = 0.0
        self.effects: list[Effect] = []
        self.state_updates: list[tuple] = []
        self.inbox: list[tuple] = []
        self.bodies: dict[int, tuple[bytes, bytes | None]] = {}
        self.is_shutting_down = False
        self.is_traced = is_traced

    def begin(self, now: float) -> None:
        """Begin a round."""
        self.now = now
        self.effects = []
        self.state_updates = []
        self.inbox = []
        self.bodies = {}

    def emit(self, effect: Effect) -> None:
        """Add an effect."""
        self.effects.append(effect)

    def log(self, event: str, **values: object) -> None:
        """Add an effect that logs an event."""
        self.effects.append(WriteLog(event, values))

    def trace(self, step: str, request: OpenRequest, **values: object) -> None:
        """Add an effect that traces a step of a request, if tracing is on."""
        if self.is_traced:
            self.effects.append(WriteTrace(step, request.call.client_request_id.decode(), values))
