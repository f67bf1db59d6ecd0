"""The router on sockets as one object that others can embed: `await Service(...).run()`, `stop()` to end it."""
import asyncio
import gc
import time

from brookhinge.decide import Router
from brookhinge.net import http
from brookhinge.net.caches import Caches
from brookhinge.net.channel import Channel
from brookhinge.net.front import Front
from brookhinge.net.log import Log
from brookhinge.net.phases import Phases
from brookhinge.net.reducer import Reducer

LEAVE_S = 0.7       # after the word to end, new connections and queries are taken for so long
LONGEST_S = 3.0     # and what is open then has its patience, but no more than this, less what the end itself takes:
END_S = 0.25        # errors for what is still open, and their way out
FIGURES_S = 10.0    # between two lines of figures
SPARE = 24          # descriptors that neither clients nor cache servers take
SWEEP_S = 0.05      # between two looks for idle and silent connections


class Service:
    """Joins sockets and reducer: what comes in during a loop pass is one round, its effects are carried out."""

    def __init__(self, site, log=None, fleet=None):
        """fleet: the block of the operator's file under this router's name, or None: it shares nothing."""
        self.site, self.log = site, log or Log(site.name)
        self.start = time.time()
        self.phases = Phases(self.log)
        lineage = returns = self.gate = self.talk = tight = None
        if fleet is not None:
            from brookhinge.membership.talk import Talk
            from brookhinge.membership.tight import Tight
            place, tight = site.decisions["place"], Tight(self.start)
            self.talk = Talk(fleet, site.seed, (place.routers_here, place.routers), self.post, self.log)
        if site.storm:
            from brookhinge.storm.gate import Gate
            from brookhinge.storm.lineage import Lineage
            from brookhinge.storm.plan import Returns
            lineage, returns = Lineage(), Returns(site.decisions["allowed"].max_retry_after_s)
        self.reducer = Reducer(Router(site.seed, machine=site.bounds, returns=returns, **site.decisions),
                               [t.name.encode() for t in site.decisions["tracks"]], site.zones, lineage, tight)
        self.events, self.due, self.timer, self.timer_at = [], False, None, None
        bounds, lines = site.bounds, site.lines
        third = bounds.sockets // 3
        sockets = max(8, bounds.sockets - third - SPARE)
        if site.storm:
            self.gate = Gate(sockets)
        self.front = Front(self.post, self.log, lambda: self.phases.well, self.reducer.clients.__contains__, self.now,
                           {t.name.encode(): t.patience_s for t in site.decisions["tracks"]},
                           sockets, bounds.memory_mb * 1024 * 1024 // 4, self.gate)
        self.caches = Caches(self.post, self.log, self.now, self.start, site.columns, lines.connect_s, lines.idle_s,
                             lines.multiplex, third)
        cursor, commands = http.read_commands(site.known, self.start)
        self.channel = Channel(self.post, self.log, site.channel, cursor, self.start)
        self.carry = {name: getattr(part, name) for part, names in (
            (self.front, ("satisfy", "nack", "error", "reject", "shut")), (self.caches, ("pull", "kill", "retire")))
            for name in names}
        if self.talk is not None:
            self.carry["spread"] = self.talk.spread
        self.carry["say"] = lambda event, values: self.log(event, **values)
        for event in commands:
            self.post(*event)
        self.ended = None

    def now(self):
        return time.time() - self.start

    # rounds

    def post(self, method, values):
        self.events.append((method, values))
        if not self.due and self.phases.now != "starting":
            self.due = True
            asyncio.get_running_loop().call_soon(self.round)

    def round(self):
        """One pass; an effect that fails is logged and costs its query or its client, never the router."""
        self.due, events, self.events = False, self.events, []
        for method, values in self.reducer.reduce(self.now(), events):
            try:
                self.carry[method](*values)
            except Exception as fault:
                self.log("fault", where=method, why=f"{type(fault).__name__}: {fault}")
                if method == "pull":
                    self.post("ended", (values[0], values[1], "broken", 0, 0.0, None, b"", False, self.now()))
                elif method in ("satisfy", "nack", "error", "reject") and values[0] in self.front.clients:
                    self.front.drop(self.front.clients[values[0]])
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

    # life

    async def run(self):
        """Serves until told to stop; comes back when all is answered."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self.faulted)
        self.ended = asyncio.Event()
        self.round()                # what is known at the start comes before the first query
        address = self.front.listen(*self.site.listen)
        if self.talk is not None:
            await self.talk.start()
        self.phases.step("ready")
        gc.collect()
        gc.freeze()
        tasks = [loop.create_task(part()) for part in (self.channel.run, self.figures, self.sweep)]
        self.log("listening", address="%s:%d" % address)
        await self.ended.wait()
        for task in tasks:
            task.cancel()
        self.channel.close()
        self.front.end_all()
        self.caches.end_all()
        if self.talk is not None:       # its share of what is limited was in use until here
            await self.talk.leave()
        self.phases.step("ended")

    def reload(self, site):
        """SIGHUP: the command channel of the new file tells from here on; all else is read at a start alone."""
        self.log("configuration", channel="%s:%d" % site.channel)
        self.channel.move(site.channel)

    def stop(self):
        """The word to end (SIGTERM): queries are taken for a while yet, then what is open is finished. The process
        may be killed when the longest patience and LEAVE_S are over: what is open then gets its error before."""
        if self.phases.now == "ready":
            self.phases.step("leaving")
            longest = min(LONGEST_S, max(t.patience_s for t in self.site.decisions["tracks"]))
            self.until = self.now() + LEAVE_S + longest - END_S
            asyncio.get_running_loop().call_later(LEAVE_S, self.finish)

    def finish(self):
        self.front.stop()
        self.phases.step("finishing")
        self.look_for_end()

    def look_for_end(self):
        open_ = self.events or self.reducer.queries
        if open_ and self.now() >= self.until:
            self.post("closing", ())
        if (open_ or self.front.unread) and self.now() < self.until + END_S / 2:
            asyncio.get_running_loop().call_later(0.005, self.look_for_end)
        else:
            self.ended.set()

    def faulted(self, loop, context):
        self.log("fault", where=context.get("message"), why=repr(context.get("exception")))

    async def sweep(self):
        while True:
            due = self.now() + SWEEP_S
            await asyncio.sleep(SWEEP_S)
            self.caches.sweep()
            self.front.sweep()
            if self.gate is not None:
                counts, now = self.reducer.counts, self.now()
                told = self.gate.look(now, now - due, counts["queries"], counts["again"] + counts["beside"])
                if told is not None:
                    self.log("storm", **told)

    async def figures(self):
        """What was done since the last line, and by how much the loop lags."""
        said = dict(self.reducer.counts)
        while True:
            due = self.now() + FIGURES_S
            await asyncio.sleep(FIGURES_S)
            counts = dict(self.reducer.counts)
            self.log("figures", **{name: counts[name] - said[name] for name in counts},
                     open=len(self.reducer.queries), clients=len(self.front.clients), caches=len(self.caches.all),
                     unread=self.front.unread, late_s=round(self.now() - due, 4))
            said = counts
