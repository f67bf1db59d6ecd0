"""A fleet of routers that share limits and verdicts, or nothing, among modelled boxes in simulated time: the daemon's state,
decisions and cores; wires and the news of the view are stood in for."""

from brookhinge.decisions.router import Router
from brookhinge.decisions.settings import (
    DeduplicationScope,
    FillPolicy,
    Idempotency,
    Location,
    NoteDetail,
    RequestClass,
    RouterLimits,
    SiblingFills,
    SlowStart,
)
from brookhinge.emulator.model import Model
from brookhinge.engine.events import ClientDisconnected, RequestReceived
from brookhinge.engine.router_state import RouterState
from brookhinge.limits.limits import Limits
from brookhinge.limits.shared import SharedLimitsMixin
from brookhinge.membership.claims import Claim, MemberState
from brookhinge.membership.core import CoreContext
from brookhinge.membership.messages import CoreMessage
from brookhinge.membership.safety_notices import SafetyNotices
from brookhinge.membership.view import MembershipView
from brookhinge.verdicts.outlier_detection import OutlierDetection
from brookhinge.verdicts.shared import FleetOutliersMixin

WORK, CONTRACT_S, PATIENCE_S = 0.1, 0.5, 3.0
COLD = SlowStart(0.3, 12.0, 3.0, 1.0)
PAGES = RequestClass(
    "pages",
    Idempotency.REPEATABLE,
    DeduplicationScope.ALL,
    0.0,
    CONTRACT_S,
    0.0,
    PATIENCE_S,
    1.0,
    0.2,
    0.0,
    0.0,
    0.0,
    False,
)
WIRE_S = 0.002


class Writer:
    """What the cores of one router write: datagrams go over the model's wires, events into its next round."""

    def __init__(self, fleet, n):
        self.fleet, self.n = fleet, n

    def post_to(self, i, message, rows):
        self.fleet.datagram(self.n, self.fleet.views[self.n].names[i], message, rows)

    def post_event(self, event):
        self.fleet.told[self.n].append(event)


class Fleet(Model):
    """rate: queries a second in all; skew: of a router's part of them, 0: all alike; share: with limits and verdicts."""

    def __init__(self, seed, routers, boxes, rate, skew=1.0, share=True, loss=0.0, cores=4, objects=400):
        super().__init__(seed, boxes, cores, COLD, WORK)
        self.share, self.loss, self.rate, self.objects = share, loss, rate, objects
        parts = [self.chance.lognormvariate(0.0, skew) for _ in range(routers)]
        self.parts = [part / sum(parts) for part in parts]
        self.cut, self.broken = (
            lambda a, b: False,
            {},
        )  # broken: router -> share of its pushes that fail on the way
        self.serial, self.open, self.asked, self.datagrams = 0, {}, [], 0
        kinds = (SharedLimitsMixin, FleetOutliersMixin, Router) if share else (Router,)
        kind = type("Router", kinds, {})
        self.routers = [
            RouterState(
                kind(
                    seed + n,
                    request_classes=(PAGES,),
                    location=Location(1, routers, routers, n, True),
                    limits=RouterLimits(4, False, True, 0.0),
                    fill_policy=FillPolicy(SiblingFills.ANY, False, True, NoteDetail.ALL, 1000.0, 0.0),
                    cache_slow_start=COLD,
                    parent_slow_start=SlowStart(1.0, 0.0, 0.0, 1.0),
                    purge_settled_s=6.0,
                    server_kinds=("parent", "origin"),
                ),
                [b"pages"],
                ["hub", "edge"],
                safety_notices=SafetyNotices(0.0),
            )
            for n in range(routers)
        ]
        self.told, self.views, self.cores, self.writers = [[] for _ in range(routers)], [], [], []
        for n in range(routers if share else 0):
            view = MembershipView(600.0)
            for k in range(routers):
                claim = Claim(f"n{k}", k + 1, 1, 1, MemberState.ALIVE, "h", k + 1, "z", 1, 0.0)
                view.apply(0.0, claim, "n0")
            state, own = self.routers[n], self.routers[n].decisions.endpoints
            self.views.append(view)
            context = CoreContext(view, f"n{n}", "z", 1)
            self.writers.append(Writer(self, n))
            self.cores.append(
                [
                    Limits(
                        context, fleet_size=lambda: (routers, routers), demand=state.fleet.demand, now=-60.0
                    ),
                    OutlierDetection(
                        context,
                        routers=lambda: routers,
                        own_totals=state.fleet.attempt_totals,
                        servers=lambda own=own: len(own.local_caches),
                        now=0.0,
                    ),
                ]
            )
            for core in range(2):
                self.at(self.chance.random() * 0.25, self.turn, n, core)

    # talk

    def turn(self, n, core):
        """A core's own round, when it is due."""
        one = self.cores[n][core]
        if self.now >= one.next_at():
            one.round(self.now, [], self.writers[n])
            self.flush(n)
        self.at(max(one.next_at(), self.now + 0.001), self.turn, n, core)

    def datagram(self, n, name, message, rows):
        self.datagrams += 1
        to = int(name[1:])
        if not self.cut(n, to) and self.chance.random() >= self.loss:
            self.at(self.now + WIRE_S * (0.5 + self.chance.random()), self.letter, to, n + 1, message, rows)

    def letter(self, n, uid, message, rows):
        core = next(core for core in self.cores[n] if type(message) in core.message_types)
        core.round(self.now, [CoreMessage(uid, message, rows)], self.writers[n])
        self.flush(n)

    def flush(self, n):
        if self.told[n]:
            self.hear(n)

    def hear(self, n, *events):
        for core in self.cores[n] if self.share else ():
            if self.now >= core.next_expiry_at:
                core.publish(self.now, self.writers[n])
        before, self.told[n] = self.told[n], []
        super().hear(n, *before, *events)

    def pull(self, n, effect):
        broken = self.broken.get(n, 0.0)
        if broken and self.chance.random() < broken:
            self.pushes += 1
            return self.at(self.now + 0.002, self.ended, n, effect.request_id, effect.attempt, "broken", 0)
        super().pull(n, effect)

    # clients: each asks once

    def arrive(self):
        self.at(self.now + self.chance.expovariate(self.rate), self.arrive)
        n = self.chance.choices(range(len(self.routers)), self.parts)[0]
        self.serial += 1
        object_ = min(self.objects, int(self.chance.paretovariate(0.6)))
        self.open[n, self.serial] = len(self.asked)
        self.asked.append([self.now, None, "lost"])
        self.hear(
            n,
            RequestReceived(
                self.serial,
                1,
                b"%x" % self.serial,
                b"pages",
                b"%016x" % object_,
                b"0",
                0,
                1,
                1000.0 * WORK,
                PATIENCE_S,
                None,
                b"",
                self.now,
            ),
        )

    def over(self, n, client, how):
        at = self.open.pop((n, client))
        self.asked[at][1:] = self.now, how
        self.at(self.now + 1e-6, self.hear, n, ClientDisconnected(client))

    def satisfy(self, n, effect):
        self.over(n, effect.client, "satisfied")

    def nack(self, n, effect):
        self.over(n, effect.client, "nacked")

    def error(self, n, effect):
        self.over(n, effect.client, "errored")

    # the day

    def restart(self):
        """All boxes start anew, cold and empty; the list says so a moment later."""
        for box in self.boxes.values():
            self.fall(box)
            box.born, box.kept, box.at, box.sent = self.now, set(), self.now, []
        self.at(self.now + 0.05, self.tell, "ready", 2)

    def run(self, end):
        self.tell("ready", 1)
        self.at(0.0, self.arrive)
        self.play(end)

    def worth(self, begin, end):
        """The share of what was asked that was answered in its contract time; late ones count a fifth."""
        rows = [row for row in self.asked if begin <= row[0] < end]
        good = sum((1.0 if at - came <= CONTRACT_S else 0.2) for came, at, how in rows if how == "satisfied")
        return good / max(1, len(rows))
