"""What one round of the router's state has gathered so far."""

from brookhinge.engine.effects import Effect, WriteLog, WriteTrace
from brookhinge.engine.open_requests import OpenRequest


class RoundContext:
    """The time of the current round, its effects, and its messages for the decisions.

    Attributes:
        now: Seconds since the start.
        effects: What is to be done, in order.
        facts: Messages that the decisions hear before all requests and ends of attempts of the round.
        inbox: Those messages, in order.
        bodies: {request: (body, tag)} of the requests that had a response in this round.
        is_shutting_down: Whether the process has begun to end: nothing is sent any more.
        is_traced: Whether the steps of requests are written to the trace.
    """

    def __init__(self, *, is_traced: bool) -> None:
        self.now = 0.0
        self.effects: list[Effect] = []
        self.facts: list[tuple] = []
        self.inbox: list[tuple] = []
        self.bodies: dict[int, tuple[bytes, bytes | None]] = {}
        self.is_shutting_down = False
        self.is_traced = is_traced

    def begin(self, now: float) -> None:
        """Begin a round."""
        self.now = now
        self.effects = []
        self.facts = []
        self.inbox = []
        self.bodies = {}

    def emit(self, effect: Effect) -> None:
        """Add an effect."""
        self.effects.append(effect)

    def log(self, event: str, **values: object) -> None:
        """Write an event to the log."""
        self.effects.append(WriteLog(event, values))

    def trace(self, step: str, request: OpenRequest, **values: object) -> None:
        """Write a step of a request to the trace, where that is on."""
        if self.is_traced:
            self.effects.append(WriteTrace(step, request.call.client_request_id.decode(), values))
