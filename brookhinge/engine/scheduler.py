"""Schedules events and effects on an asyncio loop.

Sources post events, and registered handlers carry out effects. The scheduler does not depend on the meaning
of events or effects; the handler of an effect is found by its class.
"""

import asyncio
import math
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from brookhinge.engine.effects import Effect
from brookhinge.engine.events import Event
from brookhinge.engine.loop_watch import LoopWatch, Stall

# Loop iterations until data that is readable now has been posted as events: select, read, wake the reader.
READ_ITERATIONS = 3
# If events waited longer than this for their round, the loop was delayed and more data may be readable.
LATE_EVENT_S = 0.02
# An effect carried out later than this after its decision is stale: the process was stopped in between.
STALE_EFFECT_S = 0.1
# After a stall, decisions that depend on notices wait at most this long for those sent during the stall.
MAX_CATCH_UP_S = 0.1


class State(Protocol):
    """The interface of the state that the scheduler drives, as implemented by `RouterState`."""

    def reduce(
        self, now: float, events: list[Event], is_caught_up: bool, commands_known_until: float
    ) -> list[Effect]:
        """Apply events; return the effects to carry out."""

    def next_at(self) -> float | None:
        """Return the time at which the next timer expires, or None."""


class EffectHandler(NamedTuple):
    """The functions that handle the effects of one class."""

    handle: Callable[[Effect], None]
    on_failed: Callable[[Effect], None] | None  # called after `handle` raised an exception
    on_stale: Callable[[Effect], bool] | None  # called with a stale effect; returns whether it was handled


class EventScheduler:
    """Runs at most one round of the state for each iteration of the event loop.

    Events posted during one iteration form one round; events posted before `open` wait for the first round.
    After a stall, rounds wait until all unread data has been read, because what is read first may be
    superseded by what is read later. Due responses are sent then; decisions that depend on the notices of
    others also wait for `is_caught_up`.

    Attributes:
        events: Events that wait for their round.
        handlers: {effect class: its handler}.
        before_round: Functions called before each round; the events that they post are applied first.
        after_round: Functions called after each round, once its effects are carried out.
        catching_up_since: End of the last stall while data from it may be unread, else None.
        is_open: Whether rounds may run.
        round_is_due: Whether a round is scheduled.
        posted_at: When the first event of the next round was posted.
        timer: The loop's timer for `timer_at`, or None.
        timer_at: When the next timer of the state expires, or None.
    """

    def __init__(
        self,
        state: State,
        watch: LoopWatch,
        log: Callable[..., None],
        is_current: Callable[[], bool] = lambda: True,
        commands_known_until: Callable[[], float] = lambda: math.inf,
    ) -> None:
        """Create a scheduler for a state.

        Args:
            state: The state that events are applied to.
            watch: Detects stalls of the loop.
            log: Called as log(event, **values).
            is_current: Returns whether all notices that others sent during the last stall are known.
            commands_known_until: Returns the time up to which all commands of the command channel are known.
        """
        self.state = state
        self.watch = watch
        self.log = log
        self.is_current = is_current
        self.commands_known_until = commands_known_until
        self.now = watch.now
        self.events: list[Event] = []
        self.handlers: dict[type[Effect], EffectHandler] = {}
        self.before_round: list[Callable[[], None]] = []
        self.after_round: list[Callable[[], None]] = []
        self.catching_up_since: float | None = None
        self.is_open = False
        self.round_is_due = False
        self.posted_at = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at: float | None = None
        watch.stall_listeners.append(self.on_stall)

    def register(
        self,
        handlers: Mapping[type[Effect], Callable[[Effect], None]],
        on_failed: Callable[[Effect], None] | None = None,
        on_stale: Callable[[Effect], bool] | None = None,
    ) -> None:
        """Register handlers by effect class.

        Args:
            handlers: {effect class: function that carries out its effects}.
            on_failed: Called with an effect whose handler raised an exception.
            on_stale: Called with a stale effect; returns whether it was handled. If not, the effect goes to
                its normal handler.
        """
        for effect_class, handle in handlers.items():
            self.handlers[effect_class] = EffectHandler(handle, on_failed, on_stale)

    # Posting events.

    def post(self, event: Event) -> None:
        """Add an event to the next round."""
        self.events.append(event)
        if self.is_open and not self.round_is_due:
            self.round_is_due = True
            self.posted_at = self.now()
            asyncio.get_running_loop().call_soon(self.start_round)

    def has_posted(self, *kinds: type[Event]) -> bool:
        """Return whether an event of one of these classes waits for its round."""
        return any(isinstance(event, kinds) for event in self.events)

    def open(self) -> None:
        """Run the first round, which applies the events known at the start before any request."""
        self.is_open = True
        self.run_round()

    def finish(self) -> None:
        """Run the round that is due, if any, before the process ends."""
        if self.round_is_due:
            self.run_round()

    # Scheduling rounds.

    def start_round(self) -> None:
        """Run the round that is due.

        If the loop was delayed, first wait for unread data, such as a closed client connection or a changed
        endpoint list.
        """
        self.watch.record_iteration()
        if self.now() - self.posted_at > LATE_EVENT_S:
            self.run_round_after(READ_ITERATIONS)
        else:
            self.run_round_unless_catching_up()

    def run_round_after(self, iterations: int) -> None:
        """Run a round after a number of loop iterations, in which data readable now is read."""
        if iterations:
            asyncio.get_running_loop().call_soon(self.run_round_after, iterations - 1)
        else:
            self.watch.record_iteration()
            self.run_round_unless_catching_up()

    def run_round_unless_catching_up(self) -> None:
        """Run the round that is due; while catching up, `catch_up` runs it at its end instead."""
        if self.catching_up_since is None:
            self.run_round()

    def is_catching_up(self) -> bool:
        """Return whether data from a stall may still be unread.

        Until it is read, an expired timer does not show that nothing came in time.
        """
        self.watch.record_iteration()
        return self.catching_up_since is not None

    def is_caught_up(self) -> bool:
        """Return whether all notices sent during the last stall are known, or are no longer waited for."""
        if self.is_catching_up():
            return False
        stall = self.watch.last_stall
        return stall is None or self.now() - stall.ended_at >= MAX_CATCH_UP_S or self.is_current()

    def on_stall(self, stall: Stall) -> None:
        """Start to catch up after a stall; called by the watch."""
        was_catching_up = self.catching_up_since is not None
        self.catching_up_since = stall.ended_at
        if not was_catching_up:
            self.catch_up(READ_ITERATIONS, stall.ended_at)

    def catch_up(self, iterations: int, since: float) -> None:
        """Wait until data that was unread at `since` has been read; start over after another stall."""
        self.watch.record_iteration()
        if since != self.catching_up_since:
            self.catch_up(READ_ITERATIONS, self.catching_up_since)
        elif iterations:
            asyncio.get_running_loop().call_soon(self.catch_up, iterations - 1, since)
        else:
            self.catching_up_since = None
            if self.round_is_due:
                self.run_round()

    # Running rounds.

    def run_round(self) -> None:
        """Apply the posted events and carry out the resulting effects."""
        self.round_is_due = False
        events = self.events
        self.events = []
        for prepare in self.before_round:
            prepare()
        events = self.events + events
        self.events = []
        effects = self.state.reduce(self.now(), events, self.is_caught_up(), self.commands_known_until())
        decided_at = self.now()
        for effect in effects:
            self.run_effect(effect, decided_at)
        for finish in self.after_round:
            finish()
        self.set_timer()

    def run_effect(self, effect: Effect, decided_at: float) -> None:
        """Carry out an effect; a failure is logged and affects only the effect's request or client."""
        handler = self.handlers[type(effect)]
        try:
            if (
                handler.on_stale is not None
                and self.now() - decided_at > STALE_EFFECT_S
                and handler.on_stale(effect)
            ):
                return
            handler.handle(effect)
        except Exception as error:
            self.log("fault", where=type(effect).__name__, why=f"{type(error).__name__}: {error}")
            if handler.on_failed is not None:
                handler.on_failed(effect)

    def set_timer(self) -> None:
        """Schedule the loop's timer for the next timer of the state."""
        at = self.state.next_at()
        if at == self.timer_at:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = at
        self.timer = None
        if at is not None:
            self.timer = asyncio.get_running_loop().call_later(max(0.0, at - self.now()), self.on_timer)

    def on_timer(self) -> None:
        """Run a round for an expired timer, after reading data that is readable now.

        A response, or the close of a client connection, that has arrived is then applied before the timer.
        """
        self.timer = None
        self.timer_at = None
        if not self.round_is_due:
            self.round_is_due = True
            self.run_round_after(READ_ITERATIONS)
