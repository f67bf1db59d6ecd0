"""Rounds of the reducer on an asyncio loop: sources post events, takers carry effects out. Knows none of them but by the
names of the effects that they take."""
import asyncio


class Rounds:
    """reducer: reduce(now, events) -> effects and next_at(); now(): seconds since the start; log(event, **values).

    What was posted during one pass of the loop is one round. Before `open()` events are kept for the first one."""

    def __init__(self, reducer, now, log):
        self.reducer, self.now, self.log = reducer, now, log
        self.events, self.takers, self.due, self.timer, self.timer_at, self.opened = [], {}, False, None, None, False
        self.before = []        # called before each round: what they post goes before all else

    def join(self, part, *effects):
        """A taker has a method for each effect; failed(effect, values) says what became of one that it could not carry
        out, where that has to be known."""
        for name in effects:
            self.takers[name] = getattr(part, name), getattr(part, "failed", None)

    def post(self, method, values):
        self.events.append((method, values))
        if self.opened and not self.due:
            self.due = True
            asyncio.get_running_loop().call_soon(self.round)

    def open(self):
        """The first round: what is known at the start comes before the first query."""
        self.opened = True
        self.round()

    def round(self):
        """One pass; an effect that fails is logged and costs its query or its client, never the router."""
        self.due, events, self.events = False, self.events, []
        for look in self.before:
            look()
        events, self.events = self.events + events, []
        for method, values in self.reducer.reduce(self.now(), events):
            take, failed = self.takers[method]
            try:
                take(*values)
            except Exception as fault:
                self.log("fault", where=method, why=f"{type(fault).__name__}: {fault}")
                if failed is not None:
                    failed(method, values)
        self.set_timer()

    def set_timer(self):
        at = self.reducer.next_at()
        if at == self.timer_at:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at, self.timer = at, None
        if at is not None:
            self.timer = asyncio.get_running_loop().call_later(max(0.0, at - self.now()), self.timed)

    def timed(self):
        self.timer = self.timer_at = None
        if not self.due:
            self.round()
