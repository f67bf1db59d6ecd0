"""Schedules events and effects on an asyncio loop.

Sources post events, registered handlers carry effects out. Nothing here knows what an event or an effect
means; effects find their handlers by class.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from brookhinge.engine.effects import Effect
from brookhinge.engine.events import Event
from brookhinge.engine.loop_watch import LoopWatch, Stall

# Passes of the loop until what can be read now has been posted: select, read, wake the reader.
READ_PASSES = 3
# Events that waited so long for their round: the loop stood still, and more may have come meanwhile.
LATE_S = 0.02
# An effect that is carried out so long after its decision is stale: the process was stopped meanwhile.
STALE_S = 0.1
# After a stall: the longest time for which nothing is sent while it is unknown what was notified meanwhile.
CATCH_UP_S = 0.1


class State(Protocol):
    """What the scheduler drives: `brookhinge.engine.router_state.RouterState`."""

    def reduce(self, now: float, events: list[Event], is_caught_up: bool) -> list[Effect]:
        """Apply events; what is to be done about them."""

    def next_at(self) -> float | None:
        """When the next timer expires."""


class EffectHandler(NamedTuple):
    """What carries out the effects of one class."""

    handle: Callable[[Effect], None]
    on_failed: Callable[[Effect], None] | None  # called after `handle` has raised
    on_stale: Callable[[Effect], bool] | None  # returns whether it has dealt with a stale effect


class EventScheduler:
    """Runs one round of the state a pass of the loop.

    What is posted during one pass is one round. Before `open` events are kept for the first one. After a
    stall nothing is decided until what lay unread has been read: a response that is read first is not the
    last word. Responses that are due go out then; what needs to know what others notified waits for
    `is_caught_up`.

    Attributes:
        events: Events that wait for their round.
        before_round: Called before each round; what they post goes before all else.
        catching_up_since: The end of the last stall while not all that lay there has been read, else None.
    """

    def __init__(
        self,
        state: State,
        watch: LoopWatch,
        log: Callable[..., None],
        is_current: Callable[[], bool] = lambda: True,
    ) -> None:
        """Join a state to the loop.

        Args:
            state: The state that events are applied to.
            watch: The watch of the loop.
            log: Called as log(event, **values).
            is_current: Whether what others notified during the last stall is known.
        """
        self.state = state
        self.watch = watch
        self.log = log
        self.is_current = is_current
        self.now = watch.now
        self.events: list[Event] = []
        self.handlers: dict[type[Effect], EffectHandler] = {}
        self.before_round: list[Callable[[], None]] = []
        self.catching_up_since: float | None = None
        self.is_open = False
        self.round_is_due = False
        self.posted_at = 0.0  # the first event of the next round
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at: float | None = None
        watch.listeners.append(self.on_stall)

    def register(
        self,
        handlers: Mapping[type[Effect], Callable[[Effect], None]],
        on_failed: Callable[[Effect], None] | None = None,
        on_stale: Callable[[Effect], bool] | None = None,
    ) -> None:
        """Register handlers by class of effect.

        Args:
            handlers: What carries out the effects of each class.
            on_failed: Called with an effect whose handler has raised.
            on_stale: Called with an effect that comes long after its decision; returns whether that was all,
                else the effect is handled as ever.
        """
        for kind, handle in handlers.items():
            self.handlers[kind] = EffectHandler(handle, on_failed, on_stale)

    # posting

    def post(self, event: Event) -> None:
        """Add an event to the next round."""
        self.events.append(event)
        if self.is_open and not self.round_is_due:
            self.round_is_due = True
            self.posted_at = self.now()
            asyncio.get_running_loop().call_soon(self.start_round)

    def has_posted(self, *kinds: type[Event]) -> bool:
        """Whether an event of one of these classes waits for its round."""
        return any(isinstance(event, kinds) for event in self.events)

    def open(self) -> None:
        """Run the first round: what is known at the start comes before the first request."""
        self.is_open = True
        self.run_round()

    def finish(self) -> None:
        """Run the round that is due, if there is one: the process ends."""
        if self.round_is_due:
            self.run_round()

    # when a round may run

    def start_round(self) -> None:
        """Run the round that is due.

        Where the loop stood still it waits: a client may have gone, a list changed.
        """
        self.watch.turned()
        if self.now() - self.posted_at > LATE_S:
            self.run_round_after(READ_PASSES)
        else:
            self.run_round_unless_catching_up()

    def run_round_after(self, passes: int) -> None:
        """Run a round once what has come by now on any socket is read: in so many passes."""
        if passes:
            asyncio.get_running_loop().call_soon(self.run_round_after, passes - 1)
        else:
            self.watch.turned()
            self.run_round_unless_catching_up()

    def run_round_unless_catching_up(self) -> None:
        """Run the round that is due; while catching up it runs at the end of that."""
        if self.catching_up_since is None:
            self.run_round()

    def is_catching_up(self) -> bool:
        """Whether the loop stood still and not all that lay there is read.

        Until then no expired timer means anything.
        """
        self.watch.turned()
        return self.catching_up_since is not None

    def is_caught_up(self) -> bool:
        """Whether all that came during the last stall is known, or cannot be waited for any longer."""
        if self.is_catching_up():
            return False
        stall = self.watch.last
        return stall is None or self.now() - stall.ended_at >= CATCH_UP_S or self.is_current()

    def on_stall(self, stall: Stall) -> None:
        """Begin to catch up; called by the watch."""
        was_catching_up = self.catching_up_since is not None
        self.catching_up_since = stall.ended_at
        if not was_catching_up:
            self.catch_up(READ_PASSES, stall.ended_at)

    def catch_up(self, passes: int, since: float) -> None:
        """Wait until what lay unread at `since` is read; begin again if the loop stood still once more."""
        self.watch.turned()
        if since != self.catching_up_since:
            self.catch_up(READ_PASSES, self.catching_up_since)
        elif passes:
            asyncio.get_running_loop().call_soon(self.catch_up, passes - 1, since)
        else:
            self.catching_up_since = None
            if self.round_is_due:
                self.run_round()

    # rounds

    def run_round(self) -> None:
        """Apply what was posted and carry out what follows."""
        self.round_is_due = False
        events = self.events
        self.events = []
        for prepare in self.before_round:
            prepare()
        events = self.events + events
        self.events = []
        effects = self.state.reduce(self.now(), events, self.is_caught_up())
        decided_at = self.now()
        for effect in effects:
            self.carry_out(effect, decided_at)
        self.set_timer()

    def carry_out(self, effect: Effect, decided_at: float) -> None:
        """Carry out an effect; one that fails is logged and costs its request or client alone."""
        handler = self.handlers[type(effect)]
        try:
            if (
                handler.on_stale is not None
                and self.now() - decided_at > STALE_S
                and handler.on_stale(effect)
            ):
                return
            handler.handle(effect)
        except Exception as fault:
            self.log("fault", where=type(effect).__name__, why=f"{type(fault).__name__}: {fault}")
            if handler.on_failed is not None:
                handler.on_failed(effect)

    def set_timer(self) -> None:
        """Set the loop's timer to the next timer of the state."""
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
        """Run a round for an expired timer; a response or its client's end that has come goes first."""
        self.timer = None
        self.timer_at = None
        if not self.round_is_due:
            self.round_is_due = True
            self.run_round_after(READ_PASSES)
