"""The router on sockets as one object that others can embed: `await Service(...).run()`, `stop()` to end it."""

import asyncio
import collections
import errno
import gc
import time

from brookhinge.decide import Router
from brookhinge.engine.commands import read_commands
from brookhinge.engine.log import Log
from brookhinge.engine.loop_watch import LoopWatch
from brookhinge.engine.phases import Phases
from brookhinge.engine.reducer import Reducer
from brookhinge.engine.rounds import Rounds
from brookhinge.net.caches import Caches
from brookhinge.net.channel import Channel
from brookhinge.net.front import LINGER_S, Front
from brookhinge.net.listener import PAUSE_S, SHORTAGES
from brookhinge.rules import HeldBack

LEAVE_S = 0.7  # after the word to end, new connections and queries are taken for so long
LONGEST_S = (
    3.0  # and what is open then has its patience, but no more than this, less what the end itself takes:
)
END_S = 0.25  # errors for what is still open, and their way out
FIGURES_S = 10.0  # between two lines of figures
SPARE = 24  # descriptors that neither clients nor cache servers take
LATE_S = 0.05  # a push that waited longer for its connection is decided anew
LISTEN_S = 8.0  # a start waits so long for a socket to listen on
LAST_READ_S = 0.03  # at the end: what lies there is read for so long at least
LEAST_S = 0.002  # a push with less time than that is not written
SWEEP_S = 0.05  # between two looks for idle and silent connections


def tightening(start):
    """What peers may tell a router: notices that tighten a rule. Imported only where there are peers."""
    from brookhinge.membership.safety_notices import Tight

    return Tight(start)


def router_class(fleet):
    """The class of the decisions: Router, behind what shares limits, verdicts, memory or proofs where the block `fleet`
    turns that on."""
    kinds = []
    if fleet is not None and fleet.share_limits:
        from brookhinge.limits.shared import Sharing

        kinds.append(Sharing)
    if fleet is not None and fleet.share_verdicts:
        from brookhinge.verdicts.shared import Judging

        kinds.append(Judging)
    if fleet is not None and fleet.share_memory:
        from brookhinge.membership.memory import Remembering

        kinds.append(Remembering)
    if fleet is not None and fleet.purge_log:
        from brookhinge.purgelog.copies import ProvenCopies

        kinds.append(ProvenCopies)
    return type("Router", (*kinds, Router), {}) if kinds else Router


class Service:
    """Joins sockets and engine, from start to exit."""

    def __init__(self, site, log=None, fleet=None, controls=None, handed=None, scores_s=0.0, trace=None):
        """fleet: the block of the operator's file under this router's name, or None: it shares nothing. controls: its
        blocks `control` by name. handed: descriptor
        of a listening socket that a keeper holds; scores_s: seconds between two lines of what became of queries, 0: none;
        trace: takes each step of each query and connection (engine/trace.py), or None."""
        self.tracer = trace
        self.handed, self.scores_s, scores = handed, scores_s, None
        if scores_s:
            from brookhinge.engine.scores import Scores

            scores = Scores(site.decisions["tracks"], site.decisions["supply"].flow_kb_s)
        self.site, self.log = site, log or Log(site.name)
        self.start, self.steady_start = time.time(), time.monotonic()
        self.watch = LoopWatch(self.now)
        self.watch.listeners.append(self.stalled)
        self.phases = Phases(self.log)
        returns = self.gate = self.talk = self.purge_log = lineage = None
        tight = tightening(self.start) if fleet is not None else None
        if site.storm:
            from brookhinge.storm.lineage import Lineage
            from brookhinge.storm.plan import Returns

            lineage, returns = Lineage(), Returns(site.decisions["allowed"].max_retry_after_s)
        router = router_class(fleet)
        self.reducer = Reducer(
            router(site.seed, machine=site.bounds, returns=returns, **site.decisions),
            [t.name.encode() for t in site.decisions["tracks"]],
            site.zones,
            lineage,
            tight,
            scores,
            trace is not None,
        )
        self.rounds = Rounds(self.reducer, self.watch, self.log, self.is_current)
        self.post = self.rounds.post
        bounds, lines = site.bounds, site.lines
        third = bounds.sockets // 3
        sockets = max(8, bounds.sockets - third - SPARE)
        if site.storm:
            from brookhinge.storm.gate import Gate

            self.gate = Gate(sockets)
        self.front = Front(
            self.post,
            self.log,
            lambda: self.phases.well,
            self.busy,
            self.watch,
            {t.name.encode(): t.patience_s for t in site.decisions["tracks"]},
            sockets,
            bounds.memory_mb * 1024 * 1024 // 4,
            self.gate,
            self.violated,
            trace,
        )
        self.caches = Caches(
            self.post,
            self.log,
            self.now,
            self.start,
            site.columns,
            lines.connect_s,
            lines.idle_s,
            lines.multiplex,
            third,
            LATE_S,
            self.held_back,
            trace,
            self.watch,
        )
        cursor, commands = read_commands(site.known, self.start)
        self.channel = Channel(self.post, self.log, site.channel, cursor, self.start, watch=self.watch)
        self.rounds.join(self.front, "satisfy", "nack", "error", "reject", "shut")
        self.rounds.join(self.caches, "pull", "kill", "retire")
        self.rounds.join(self, "say", "trace")
        if fleet is not None:
            self.join_peers(fleet, controls)
        for event in commands:
            self.post(*event)
        self.ended, self.stopped = None, False

    def join_peers(self, fleet, controls):
        """What a router of a fleet talks about with its peers, as its block `fleet` has it."""
        from brookhinge.membership.udp_transport import UdpTransport

        place = self.site.decisions["place"]
        self.talk = UdpTransport(
            fleet, self.site.seed, (place.routers_here, place.routers), self.post, self.log
        )
        self.rounds.before.append(self.talk.before_engine_round)
        if fleet.share_limits:
            from brookhinge.limits.limits import Limits

            self.talk.add(
                lambda talk, now: Limits(
                    talk.peer.view,
                    fleet.name,
                    fleet.zone,
                    talk.peer.version,
                    lambda: talk.fleet_size,
                    self.reducer.demand,
                    now,
                )
            )
        if fleet.share_memory:
            from brookhinge.membership.warm_start import WarmStart

            self.talk.add(
                lambda talk, now: WarmStart(
                    talk.peer.view,
                    fleet.name,
                    fleet.zone,
                    talk.peer.version,
                    self.reducer.router.memory,
                    now,
                )
            )
        if fleet.share_verdicts:
            from brookhinge.verdicts.outlier_detection import OutlierDetection

            own = self.reducer.router.fleet
            self.talk.add(
                lambda talk, now: OutlierDetection(
                    talk.peer.view,
                    fleet.name,
                    fleet.zone,
                    talk.peer.version,
                    lambda: talk.fleet_size[0],
                    self.reducer.seen,
                    lambda: len(own.own),
                    now,
                )
            )
        if fleet.purge_log:
            from brookhinge.purgelog.client import LogClient

            self.purge_log = self.talk.purge_log = LogClient(fleet, controls, self.post, self.log)
            self.rounds.before.append(self.purge_log.before)
        self.rounds.join(self, "spread")

    def now(self):
        """Seconds since the start, by a clock that nobody sets; `start` is where they begin in Unix time."""
        return time.monotonic() - self.steady_start

    def busy(self, client):
        """Whether it has queries open, those included that the next round takes."""
        return client in self.reducer.clients or any(
            method == "query" and values[0] == client for method, values in self.rounds.events
        )

    def is_current(self):
        """Whether what the command channel told during the last stall is known; as the process ends nothing is sent any more."""
        return self.reducer.closed or self.channel.is_current()

    def held_back(self, decided):
        """Why an attempt may not be written at this very moment (a HeldBack), or None.

        It was decided on what had been read by then. The process may have stood still since, or may have been handed a server's
        answer before its client's end: so the client's connection and the command channel are looked at once more."""
        if decided.until - self.now() < LEAST_S:
            return HeldBack.NO_TIME
        reason = self.reducer.held_back(decided.query, decided.push)
        if reason is None and not self.rounds.knows_all():
            reason = HeldBack.STALLED
        elif reason is None and (self.channel.has_unread() or self.rounds.has_posted("listed", "purged")):
            reason = HeldBack.LIST_UNREAD
        return reason or self.front.held_back(*self.reducer.asker(decided.query))

    def say(self, event, values):
        self.log(event, **values)

    def stalled(self, stall):
        """What was noticed of a time in which nothing could be read or written."""
        self.log(
            "stalled",
            for_s=round(stall.ended_at - stall.began_at, 3),
            processor_s=round(stall.processor_s, 3),
        )

    def trace(self, step, ref, values):
        self.tracer(step, ref, **values)

    def violated(self, invariant, detail):
        """A rule that was about to be broken by what connections do."""
        self.reducer.invariants.violated(invariant, detail)
        self.log("violation", invariant=invariant, detail=detail)

    def spread(self, kind, *values):
        """Tells the peers something that tightens a rule; purges not, where settings say so, while the log tells them."""
        if kind != "purge" or self.purge_log is None or not self.purge_log.replaces_notices():
            self.talk.spread(kind, *values)

    async def join_fleet(self):
        """Begins to talk with the peers, and to read the purge log."""
        if self.purge_log is not None and self.purge_log.closed():
            await self.purge_log.start()
        await self.talk.start()

    # life

    async def run(self):
        """Serves until told to stop; comes back when all is answered."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self.faulted)
        self.ended = asyncio.Event()
        self.watch.begin()
        self.rounds.open()  # what is known at the start comes before the first query
        address = await self.listen()
        if self.talk is not None and self.handed is None:
            await self.join_fleet()
        self.phases.step("ready")
        gc.collect()
        gc.freeze()
        parts = (
            [self.channel.run, self.figures, self.sweep]
            + [self.scored] * bool(self.scores_s)
            + [self.join_late] * (self.talk is not None and self.handed is not None)
        )
        tasks = [loop.create_task(part()) for part in parts]
        self.log("listening", address="%s:%d" % address)
        if self.stopped:
            self.stop()
        await self.ended.wait()
        for task in tasks:
            task.cancel()
        self.channel.close()
        self.rounds.finish()
        self.front.listener.close()
        await self.front.end(self.last_at())
        self.caches.end_all()
        if self.purge_log is not None:
            self.purge_log.stop()
        if self.talk is not None:  # its share of what is limited was in use until here
            await self.talk.leave()
        self.log("totals", **self.counts(), **self.reasons())
        self.phases.step("ended")

    async def listen(self):
        """The address on which clients are taken. A shortage of the system is waited for: it ends no start."""
        until = self.now() + LISTEN_S
        while True:
            try:
                return self.front.listen(*self.site.listen, self.handed)
            except OSError as fault:
                if fault.errno not in SHORTAGES or self.now() > until:
                    raise
                self.log("not accepting", why=f"no socket: {fault.strerror}")
            await asyncio.sleep(PAUSE_S)

    def reload(self, site):
        """SIGHUP: the command channel of the new file tells from here on; all else is read at a start alone."""
        self.log("configuration", channel="%s:%d" % site.channel)
        self.channel.move(site.channel)

    def stop(self):
        """The word to end (SIGTERM): queries are taken for a while yet, then what is open is finished. The process
        may be killed when the longest patience and LEAVE_S are over: what is open then gets its error before."""
        self.stopped = True  # also before it is ready: run() comes back to it
        if self.phases.now == "ready":
            self.phases.step("leaving")
            longest = min(LONGEST_S, max(t.patience_s for t in self.site.decisions["tracks"]))
            self.until = self.now() + LEAVE_S + longest - END_S
            asyncio.get_running_loop().call_later(LEAVE_S, self.finish)

    def finish(self):
        """No new connections; ends once all is answered, also if the listener fails as it closes."""
        self.phases.step("finishing")
        asyncio.get_running_loop().call_soon(self.look_for_end)
        self.front.stop()

    def look_for_end(self):
        open_ = self.rounds.events or self.reducer.queries or self.front.listener.open
        if not open_ or self.now() >= self.until:  # what is read from here on is refused at once
            self.post("closing", ())
        if (open_ or self.front.unread) and self.now() < self.until + END_S / 2:
            asyncio.get_running_loop().call_later(0.005, self.look_for_end)
        else:
            self.ended.set()

    def last_at(self):
        """Until when connections that the clients don't close are read on. After a stall the time of the end may be over: what came
        meanwhile is read and refused all the same."""
        at = self.now() + LINGER_S
        if self.phases.now != "finishing":
            return at
        return max(self.now() + LAST_READ_S, min(at, self.until + END_S - 0.02))

    def faulted(self, loop, context):
        self.log("fault", where=context.get("message"), why=repr(context.get("exception")))

    async def sweep(self):
        while True:
            due = self.now() + SWEEP_S
            await asyncio.sleep(SWEEP_S)
            self.watch.tick()
            if not self.rounds.is_behind():  # else what is late may lie there unread
                self.caches.sweep()
                self.front.sweep()
            if self.gate is not None:
                counts, now = self.reducer.counts, self.now()
                told = self.gate.look(now, now - due, counts["queries"], counts["again"] + counts["beside"])
                if told is not None:
                    self.log("storm", **told)

    async def join_late(self):
        """A process that takes over joins the fleet once the one before it has left: they have one name and address."""
        while True:
            try:
                await self.join_fleet()
                return
            except OSError as fault:
                if fault.errno != errno.EADDRINUSE:
                    return self.log("fault", where="fleet", why=str(fault))
            await asyncio.sleep(SWEEP_S)

    async def scored(self):
        while True:
            await asyncio.sleep(self.scores_s)
            self.log("scores", totals=self.reducer.scores.totals)

    async def figures(self):
        """What was done since the last line, and by how much the loop lags."""
        said, reasons_said = self.counts(), self.reasons()
        while True:
            due = self.now() + FIGURES_S
            await asyncio.sleep(FIGURES_S)
            counts, reasons = self.counts(), self.reasons()
            self.log(
                "figures",
                **{name: round(counts[name] - said[name], 3) for name in counts},
                open=len(self.reducer.queries),
                clients=len(self.front.clients),
                caches=len(self.caches.all),
                unread=self.front.unread,
                late_s=round(self.now() - due, 4),
                **{name: dict(counter - reasons_said[name]) for name, counter in reasons.items()},
            )
            said, reasons_said = counts, reasons

    def counts(self):
        """Totals since the start: of queries, and of the times in which the loop stood still."""
        return {
            **self.reducer.counts,
            "stalls": self.watch.stalls,
            "stalled_s": round(self.watch.stalled_s, 3),
        }

    def reasons(self):
        """Totals by reason: what was refused, asked again, withdrawn and closed, and which rules were about to be broken."""
        counters = {
            "refusals": self.reducer.refusals,
            "retries": self.reducer.retries,
            "withdrawals": self.reducer.withdrawals,
            "held_back": self.caches.holds,
            "client_closes": self.front.closes,
            "server_closes": self.caches.closes,
            "violations": self.reducer.invariants.violations,
        }
        return {
            name: collections.Counter({str(reason): count for reason, count in counter.items()})
            for name, counter in counters.items()
        }
