"""Rounds of the reducer on an asyncio loop: sources post events, takers carry effects out. Knows none of them but by the
names of the effects that they take."""

import asyncio

PASSES = 3  # of the loop, until what can be read now has been handed on: select, read, wake the reader
# Events that waited so long for their round: the loop stood still, and more may have come meanwhile.
LATE_S = 0.02
# After a decision so old an effect that is late by then is not carried out as decided: the process was stopped meanwhile.
STALE_S = 0.1
# After a stall: how long nothing is sent on at most while it is not known what was told meanwhile.
CURRENT_S = 0.1


class Rounds:
    """reducer: reduce(now, events) -> effects and next_at(); watch: the LoopWatch of the loop; log(event, **values);
    is_current(): whether what others told during the last stall is known.

    What was posted during one pass of the loop is one round. Before `open()` events are kept for the first one. After a stall
    nothing is decided until what lay unread has been read: an answer that is read first is not the last word. Answers that
    are due go out then; what needs to know what others told waits for that (`knows_all`)."""

    def __init__(self, reducer, watch, log, is_current=lambda: True):
        self.reducer, self.watch, self.log, self.is_current = reducer, watch, log, is_current
        self.now = watch.now
        self.behind_since = None  # since when the loop goes on after a stall, until all is read
        watch.listeners.append(self.stalled)
        self.events, self.takers, self.due, self.timer, self.timer_at, self.opened = (
            [],
            {},
            False,
            None,
            None,
            False,
        )
        self.posted_at = 0.0  # when the first event of the next round was posted
        self.before = []  # called before each round: what they post goes before all else

    def join(self, part, *effects):
        """A taker has a method for each effect; failed(effect, values) says what became of one that it could not carry
        out, where that has to be known; stale(effect, values) takes one that comes long after its decision, and says
        whether that was all: else it is carried out as ever."""
        for name in effects:
            self.takers[name] = (
                getattr(part, name),
                getattr(part, "failed", None),
                getattr(part, "stale", None),
            )

    def post(self, method, values):
        self.events.append((method, values))
        if self.opened and not self.due:
            self.due, self.posted_at = True, self.now()
            asyncio.get_running_loop().call_soon(self.look)

    def has_posted(self, *methods):
        """Whether an event of that kind waits for its round."""
        return any(method in methods for method, _ in self.events)

    def open(self):
        """The first round: what is known at the start comes before the first query."""
        self.opened = True
        self.round()

    def look(self):
        """Nothing is sent on what was known before the loop stood still: a client may have gone, a list changed."""
        self.watch.turned()
        if self.now() - self.posted_at > LATE_S:
            self.after(PASSES)
        else:
            self.round_unless_behind()

    def after(self, passes):
        """A round, once what has come by now on any socket is read: that takes its reader so many passes."""
        if passes:
            asyncio.get_running_loop().call_soon(self.after, passes - 1)
        else:
            self.watch.turned()
            self.round_unless_behind()

    def round_unless_behind(self):
        if self.behind_since is None:
            self.round()

    def is_behind(self):
        """Whether the loop stood still and not all that lay there has been read: no time that is over says anything yet."""
        self.watch.turned()
        return self.behind_since is not None

    def stalled(self, stall):
        """Told by the watch."""
        was_behind, self.behind_since = self.behind_since is not None, stall.ended_at
        if not was_behind:
            self.catch_up(PASSES, stall.ended_at)

    def catch_up(self, passes, since):
        """Waits until what lay unread at `since` has been read, and from the start if the loop stood still once more."""
        self.watch.turned()
        if since != self.behind_since:
            self.catch_up(PASSES, self.behind_since)
        elif passes:
            asyncio.get_running_loop().call_soon(self.catch_up, passes - 1, since)
        else:
            self.behind_since = None
            if self.due:
                self.round()

    def knows_all(self):
        """Whether all that came during the last stall is known, or cannot be waited for any longer."""
        if self.is_behind():
            return False
        stall = self.watch.last
        return stall is None or self.now() - stall.ended_at >= CURRENT_S or self.is_current()

    def finish(self):
        """At the end: what was posted and waits for its round has it now."""
        if self.due:
            self.round()

    def round(self):
        """One pass; an effect that fails is logged and costs its query or its client, never the router."""
        self.due, events, self.events = False, self.events, []
        for look in self.before:
            look()
        events, self.events = self.events + events, []
        effects = self.reducer.reduce(self.now(), events, self.knows_all())
        decided_at = self.now()
        for method, values in effects:
            take, failed, stale = self.takers[method]
            try:
                late = stale is not None and self.now() - decided_at > STALE_S
                if not (late and stale(method, values)):
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
        """A push's time is over; an answer or its client's end that has come goes first."""
        self.timer = self.timer_at = None
        if not self.due:
            self.due = True
            self.after(PASSES)
