"""Checks an attempt once more immediately before it is written to a server."""

from collections.abc import Callable

from brookhinge.decisions.rules import HeldBack
from brookhinge.engine.effects import SendAttempt
from brookhinge.engine.events import EndpointsListed, ObjectsPurged
from brookhinge.engine.router_state import RouterState
from brookhinge.engine.scheduler import EventScheduler
from brookhinge.net.client_connections import ClientConnections
from brookhinge.net.command_channel import CommandChannel

MIN_TIME_LEFT_S = 0.002  # no server can answer within less time than this


class WriteGuard:
    """Detects reasons not to write an attempt that was decided a moment ago.

    The decision used only the input that had been read by then. Since then the process may have been
    suspended, or it may have read a server's answer before the close of the client's connection. Therefore
    the client's connection and the command channel are checked again for unread input.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        state: RouterState,
        scheduler: EventScheduler,
        command_channel: CommandChannel,
        client_connections: ClientConnections,
    ) -> None:
        self._now = now
        self._state = state
        self._scheduler = scheduler
        self._command_channel = command_channel
        self._client_connections = client_connections

    def hold_reason(self, attempt: SendAttempt) -> HeldBack | None:
        """Return why the attempt must not be written now, or None if it may be."""
        if attempt.deadline - self._now() < MIN_TIME_LEFT_S:
            return HeldBack.NO_TIME
        reason = self._state.hold_reason(attempt.request_id, attempt.attempt)
        if reason is not None:
            return reason
        if not self._scheduler.is_caught_up():
            return HeldBack.STALLED
        if self._command_channel.has_unread() or self._scheduler.has_posted(EndpointsListed, ObjectsPurged):
            return HeldBack.LIST_UNREAD
        return self._client_connections.hold_reason(*self._state.client_and_number(attempt.request_id))
