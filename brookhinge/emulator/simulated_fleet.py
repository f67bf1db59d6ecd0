"""Simulates a fleet of routers that share limits and outlier evidence, or nothing, in virtual time.

State, decisions and cores are the daemon's; the network, the membership view and the cache servers are
modeled.
"""

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
    """Writer of one router's cores: sends datagrams over the modeled network and queues events."""

    def __init__(self, fleet, n):
        self.fleet, self.n = fleet, n

    def post_to(self, i, message, rows):
        """Sends a message to member i of the view."""
        self.fleet.datagram(self.n, self.fleet.views[self.n].names[i], message, rows)

    def post_event(self, event):
        """Queues an event for the router's next round."""
        self.fleet.queued_events[self.n].append(event)


class Fleet(Model):
    """A fleet with clients that send each request once.

    Attributes:
        share: Whether the routers share limits and outlier evidence.
        loss: Probability that a datagram is lost.
        rate: Requests per second, of all clients.
        objects: Number of objects.
        parts: Share of the requests that each router receives, log-normally distributed with sigma `skew`.
        cut: Function of two routers: whether datagrams from the first to the second are lost.
        broken: Share of a router's attempts that fail on the way, by router.
        open: Index in `asked` of each open request, by router and client.
        asked: [arrival time, end time or None, outcome] of each request; the outcome is `lost` until it ends.
        datagrams: Number of datagrams sent.
        queued_events: Events queued for each router.
        views: Membership view of each router.
        cores: Limits and outlier detection of each router.
        writers: Writer of each router.
    """

    def __init__(self, seed, routers, boxes, rate, skew=1.0, share=True, loss=0.0, cores=4, objects=400):
        super().__init__(seed, boxes, cores, COLD, WORK)
        self.share, self.loss, self.rate, self.objects = share, loss, rate, objects
        parts = [self.chance.lognormvariate(0.0, skew) for _ in range(routers)]
        self.parts = [part / sum(parts) for part in parts]
        self.cut, self.broken = lambda a, b: False, {}
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
        self.queued_events, self.views, self.cores, self.writers = [[] for _ in range(routers)], [], [], []
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
                self.at(self.chance.random() * 0.25, self.run_core, n, core)

    # Communication between the routers

    def run_core(self, n, core):
        """Runs a round of a core if it is due, and schedules the next one."""
        one = self.cores[n][core]
        if self.now >= one.next_at():
            one.round(self.now, [], self.writers[n])
            self.flush(n)
        self.at(max(one.next_at(), self.now + 0.001), self.run_core, n, core)

    def datagram(self, n, name, message, rows):
        """Sends a message from router n to the router of that name."""
        self.datagrams += 1
        to = int(name[1:])
        if not self.cut(n, to) and self.chance.random() >= self.loss:
            self.at(self.now + WIRE_S * (0.5 + self.chance.random()), self.deliver, to, n + 1, message, rows)

    def deliver(self, n, uid, message, rows):
        """Delivers a message to the core of router n that handles its type."""
        core = next(core for core in self.cores[n] if type(message) in core.message_types)
        core.round(self.now, [CoreMessage(uid, message, rows)], self.writers[n])
        self.flush(n)

    def flush(self, n):
        """Passes queued events to router n, if there are any."""
        if self.queued_events[n]:
            self.hear(n)

    def hear(self, n, *events):
        """Passes queued and new events to router n, after its cores have dropped what expired."""
        for core in self.cores[n] if self.share else ():
            if self.now >= core.next_expiry_at:
                core.publish(self.now, self.writers[n])
        queued, self.queued_events[n] = self.queued_events[n], []
        super().hear(n, *queued, *events)

    def pull(self, n, effect):
        """Starts an attempt, unless it fails on the way."""
        broken = self.broken.get(n, 0.0)
        if broken and self.chance.random() < broken:
            self.attempts_sent += 1
            return self.at(self.now + 0.002, self.ended, n, effect.request_id, effect.attempt, "broken", 0)
        super().pull(n, effect)

    # Clients

    def arrive(self):
        """Sends a new client's request to a random router and schedules the next arrival."""
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

    def end_request(self, n, client, outcome):
        """Records the end of a request and disconnects its client."""
        index = self.open.pop((n, client))
        self.asked[index][1:] = self.now, outcome
        self.at(self.now + 1e-6, self.hear, n, ClientDisconnected(client))

    def satisfy(self, n, effect):
        """Records a response."""
        self.end_request(n, effect.client, "satisfied")

    def nack(self, n, effect):
        """Records a rejection."""
        self.end_request(n, effect.client, "nacked")

    def error(self, n, effect):
        """Records a failure."""
        self.end_request(n, effect.client, "errored")

    # Course of a run

    def restart(self):
        """Restarts all cache servers cold and empty; the routers receive the new list 50 ms later."""
        for box in self.boxes.values():
            self.break_down(box)
            box.born, box.stored, box.at, box.sent = self.now, set(), self.now, []
        self.at(self.now + 0.05, self.tell, "ready", 2)

    def run(self, end):
        """Runs the simulation from the start until a time."""
        self.tell("ready", 1)
        self.at(0.0, self.arrive)
        self.play(end)

    def worth(self, begin, end):
        """Returns the share of a period's requests that were answered in time; late ones count a fifth."""
        rows = [row for row in self.asked if begin <= row[0] < end]
        good = sum(
            (1.0 if ended - arrived <= CONTRACT_S else 0.2)
            for arrived, ended, outcome in rows
            if outcome == "satisfied"
        )
        return good / max(1, len(rows))
