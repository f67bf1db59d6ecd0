"""Lifecycle phases of the process, from start to exit."""

import enum
from collections.abc import Callable

from brookhinge.engine.errors import EngineError


class Phase(enum.StrEnum):
    """Where the process stands; the values are the words of the log."""

    STARTING = "starting"  # known state is loaded, nothing listens yet
    READY = "ready"
    DRAINING = "leaving"  # told to end: still accepts connections and answers requests
    FINISHING = "finishing"  # accepts no more connections, ends when nothing is open
    ENDED = "ended"


TRANSITIONS: dict[Phase, tuple[Phase, ...]] = {
    Phase.STARTING: (Phase.READY, Phase.ENDED),
    Phase.READY: (Phase.DRAINING, Phase.ENDED),
    Phase.DRAINING: (Phase.FINISHING, Phase.ENDED),
    Phase.FINISHING: (Phase.ENDED,),
    Phase.ENDED: (),
}


class TransitionError(EngineError):
    """A lifecycle phase was followed by one that may not follow it."""

    def __init__(self, current: Phase, following: Phase) -> None:
        allowed = ", ".join(TRANSITIONS[current]) or "none"
        super().__init__(f"expected a phase after {current} ({allowed}), got {following}")


class Lifecycle:
    """The current phase of the process; refuses transitions that are not allowed.

    Attributes:
        phase: The current phase.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        """Start in `Phase.STARTING`; `log(event, **values)` is called for each later phase."""
        self.phase = Phase.STARTING
        self.log = log

    def advance(self, phase: Phase) -> None:
        """Enter a phase.

        Raises:
            TransitionError: The phase may not follow the current one.
        """
        if phase not in TRANSITIONS[self.phase]:
            raise TransitionError(self.phase, phase)
        self.phase = phase
        self.log("phase", phase=phase)

    @property
    def is_ready(self) -> bool:
        """Whether health checks pass: the process serves and was not told to end."""
        return self.phase is Phase.READY
