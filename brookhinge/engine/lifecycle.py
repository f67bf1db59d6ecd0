"""Lifecycle phases of the process, from start to exit."""

import enum
from collections.abc import Callable

from brookhinge.engine.errors import EngineError


class Phase(enum.StrEnum):
    """A lifecycle phase of the process; the values appear in the log."""

    STARTING = "starting"  # loads known state; not listening yet
    READY = "ready"
    DRAINING = "leaving"  # shutdown was requested; still accepts connections and answers requests
    FINISHING = "finishing"  # accepts no new connections; ends when no request is open
    ENDED = "ended"


TRANSITIONS: dict[Phase, tuple[Phase, ...]] = {
    Phase.STARTING: (Phase.READY, Phase.ENDED),
    Phase.READY: (Phase.DRAINING, Phase.ENDED),
    Phase.DRAINING: (Phase.FINISHING, Phase.ENDED),
    Phase.FINISHING: (Phase.ENDED,),
    Phase.ENDED: (),
}


class TransitionError(EngineError):
    """A transition between lifecycle phases is not allowed."""

    def __init__(self, current: Phase, following: Phase) -> None:
        allowed = ", ".join(TRANSITIONS[current]) or "none"
        super().__init__(f"transition from {current} to {following} is not allowed; allowed: {allowed}")


class Lifecycle:
    """The current phase of the process; refuses transitions that are not allowed.

    Attributes:
        phase: The current phase.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        """Start in `Phase.STARTING`; call `log(event, **values)` for each later phase."""
        self.phase = Phase.STARTING
        self.log = log

    def advance(self, phase: Phase) -> None:
        """Enter a phase.

        Raises:
            TransitionError: The transition is not allowed.
        """
        if phase not in TRANSITIONS[self.phase]:
            raise TransitionError(self.phase, phase)
        self.phase = phase
        self.log("phase", phase=phase)

    @property
    def is_ready(self) -> bool:
        """Return whether health checks pass: the process serves and no shutdown was requested."""
        return self.phase is Phase.READY
