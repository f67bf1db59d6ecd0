"""All decisions of brookhinge.

A Router is called once a round, `router.process(now, messages, sink)`: `messages` (brookhinge/decisions/messages.py) in order
of arrival, decisions go straight into `sink` (brookhinge/decisions/sink.py). Times are
seconds; servers stand under a dense index, `Fleet.ids` (brookhinge/roster.py) keeps their ids.

The ordinary path (`Router.place`) is the Cache Clouds design: beacon rings, load-following sub-ranges,
remembered holders, sibling fills of objects in demand, a parent home for all other fills. Beside it stand:
1. Cold budget: work sent to a server that started lately stays under what it can do (rule 4).
2. Rest: a server failing far more often than its peers is left out for a while, then tried singly.
3. In-flight limit of a cache and of the link in: follows shortest over present answer time (crowding).
4. Further pushes: timed so that another fits, paid from a budget that queries earn (retry storms).
5. Shedding: what nothing can serve comes from memory or is nacked at once, the least utility a second first;
   a retry has what is left of its first try's, and a place in a plan of returns (brookhinge/storm/plan.py).
6. Ageing copies: served while fills earn less than they do (a slow or failing way to the origin).
7. Way to the origin: while what goes there ends badly, parents are asked for what they hold, little goes on.
"""

import math
import random

from brookhinge.decision_records import Doc, Query, digest
from brookhinge.decisions import rules
from brookhinge.decisions.messages import (
    AttemptEnded,
    EndpointsListed,
    ObjectsPurged,
    RequestArrived,
    RequestWithdrawn,
    RouterCountChanged,
)
from brookhinge.decisions.rules import AttemptResult, Ran, Refusal
from brookhinge.decisions.settings import Idempotency, NoteDetail, SiblingFills
from brookhinge.decisions.sink import Attempt, Retention
from brookhinge.roster import Fleet

INTRA_GEN = 1000  # IrH values of a beacon ring
CYCLE, TELLING = 10.0, 1000  # seconds and queries between settings of the sub-ranges: few move by chance
MEMORY, LOOK = 20.0, 10.0  # seconds a holder is remembered; over which work to warm servers is averaged
INLET = -1  # stands for the location's link in among the in-flight limits
MOST_DOCS, DOCS_IN_MB = 30000, 150  # object counts kept; and in each MB of memory, where that is told
OWN, HURRY = 0.12, 0.2  # of the memory for own copies; seconds beside its sending that the path may take
GUESS = 5.0  # queries that a first guess counts for


class Rings:
    """Beacon rings over the location's sorted caches, and the sub-range of IrH values of each point."""

    def __init__(self):
        self.rings = []  # (points, their sub-ranges' ends, load of each IrH value)

    def seat(self, caches):
        """Pairs the caches, an odd one joins the last ring; a ring with the same points keeps its ranges."""
        old = {tuple(points): (points, ends, loads) for points, ends, loads in self.rings}
        count = max(1, len(caches) // 2)
        self.rings = []
        for k in range(count if caches else 0):
            points = caches[2 * k :] if k == count - 1 else caches[2 * k : 2 * k + 2]
            ends = [INTRA_GEN * (i + 1) // len(points) for i in range(len(points))]
            self.rings.append(old.get(tuple(points)) or (points, ends, [0.0] * INTRA_GEN))

    def home(self, code):
        """The beacon point of an object, and the others in the order in which they stand in for it."""
        irh, (points, ends, _) = code % INTRA_GEN, self.rings[code % len(self.rings)]
        i = next(i for i, end in enumerate(ends) if irh < end)
        rest = [c for ring in self.rings for c in ring[0] if c != points[i]]
        at = irh % max(1, len(rest))  # what a resting home leaves spreads over all
        return [points[i]] + rest[at:] + rest[:at]

    def cycle(self, capability):
        """PAPER 2.3: each point's end moves until its load is near AptLd = Cp / TotCp x BRingLd."""
        for points, ends, loads in self.rings:
            total, power, start = sum(loads), sum(capability(c) for c in points), 0
            for i, c in enumerate(points[:-1]):
                surplus, moved = sum(loads[start : ends[i]]) - capability(c) / power * total, 0.0
                while surplus > 0 and ends[i] > start + 1 and moved + loads[ends[i] - 1] <= surplus:
                    ends[i] -= 1
                    moved += loads[ends[i]]
                while surplus < 0 and ends[i] < ends[i + 1] - 1 and moved + loads[ends[i]] <= -surplus:
                    moved += loads[ends[i]]
                    ends[i] += 1
                start = ends[i]
            loads[:] = [0.0] * INTRA_GEN


class ColdBudget:
    """Mechanism 1. Seconds of sending to servers that started lately: a router's share of what each can do. A
    query goes with the chance that what is saved covers it. What is risked in any one window stays within the
    share of what a server bears: what all saved while nobody asked must not come at once. It could leave a
    quick starter idle, and many routers that ask seldom use less than the whole."""

    FILL, SPREAD = 1.5, 2.5  # of the present capacity; deviations of chance kept clear of what pushes over
    CLEAR, PIECES = 0.5, 16  # the same for what is risked in a window; pieces in which that is kept

    def __init__(self, start, routers):
        self.start, self.routers, self.credit, self.at, self.owed = start, routers, {}, {}, {}
        self.risked = {}  # of each server: work times chance of going, by piece of a window

    def cold(self, now, born):
        return born is not None and now - born < self.start.warm_up_s

    def part(self, c, born):
        return 1.0 / self.routers

    def can(self, now, born, power, behind=0.0):
        """Transfers at once that a cold server does, as it was so many seconds ago."""
        age = max(0.0, now - born - behind)
        return (
            self.start.initial_share + (1.0 - self.start.initial_share) * min(1.0, age / self.start.warm_up_s)
        ) * power

    def room(self, can):
        """Seconds of sending in a window at which a cold server that does so much falls, before what chance adds."""
        return self.start.overload_multiple * can * self.start.window_s

    def bears(self, now, born, power, lump):
        """Seconds of sending that all routers together may send to a cold server, in a second and in a window."""
        s, can = self.start, self.can(now, born, power, self.start.window_s)
        room = self.room(can)  # over all routers; queries come by chance, in lumps
        mean = ((self.SPREAD**2 * lump + 4.0 * room) ** 0.5 - self.SPREAD * lump**0.5) ** 2 / 4.0
        return min(self.FILL * can, mean / s.window_s), max(mean, room - self.CLEAR * (room * lump) ** 0.5)

    def whole(self, now, born, power, lump):
        return self.bears(now, born, power, lump)[0]

    def take(self, c, now, born, power, work, lump, chance, spare=0.0):
        """Whether work may go to c now; spends it if so. power: transfers at once that c does when warm;
        spare: the part of what may be saved left to others; under 0: who was told to come may borrow."""
        if self.start.overload_multiple <= 0 or not self.cold(now, born):
            return True
        rate, window = (self.part(c, born) * whole for whole in self.bears(now, born, power, lump))
        most, owed = 4.0 * rate * self.start.window_s, self.owed.get(c, 0.0)
        piece, risked = int(now / self.start.window_s * self.PIECES), self.risked.setdefault(c, {})
        for old in [p for p in risked if p < piece - self.PIECES]:
            del risked[old]
        come = rate * (now - self.at.get(c, now))
        paid = max(0.0, min(owed, 0.5 * come))  # what was borrowed takes half of what comes: others go on
        credit = min(most, self.credit.get(c, 0.0) + come - paid)
        self.at[c], self.owed[c] = now, owed - paid
        if spare > 0.0 and credit < spare * most:
            self.credit[c] = credit
            return False
        borrowed = spare < 0.0 and self.owed[c] < -spare * most
        risk = work if borrowed else max(0.0, min(work, credit, window - sum(risked.values())))
        risked[piece] = risked.get(piece, 0.0) + risk
        if borrowed:
            self.owed[c], self.credit[c] = self.owed[c] + work, credit
            return True
        self.credit[c] = credit - risk
        return chance.random() * work < risk


def median(figures, c, peers, first):
    """Of c's peers without itself; None if it has none."""
    others = sorted(figures.get(f, first) for f in peers if f != c)
    return others[(len(others) - 1) // 2] if others else None


class Health:
    """Mechanism 2. Share of failures of each server, lately, against its peers of the same role."""

    BAD, REST, MOST = 0.3, 2.0, 0.4

    def __init__(self):
        self.fault, self.rest_until, self.trial_at = {}, {}, {}

    def judge(self, c, now, failed, weight, peers):
        """Counts an answer. A server far worse than the median of its peers rests, unless too many do."""
        fault = self.fault.get(c, 0.0)
        self.fault[c] = fault = fault + 0.15 * weight * ((1.0 if failed else 0.0) - fault)
        if not failed:
            self.trial_at.pop(c, None)
            if fault < self.BAD / 2:
                self.rest_until.pop(c, None)
            return False
        usual = median(self.fault, c, peers, 0.0)
        crowd = 1 + sum(f in self.rest_until for f in peers if f != c) > max(1, self.MOST * len(peers))
        if (
            fault < self.BAD
            or self.rest_until.get(c, -1.0) > now
            or usual is not None
            and (usual > fault / 2 or crowd)
        ):
            return False  # not bad, the tier or the common link fails, or too many rest already
        first, self.rest_until[c] = c not in self.rest_until, now + self.REST
        return first

    def fit(self, c, now):
        """Not resting; after a rest one query at a time until it has done well again."""
        return now >= self.rest_until.get(c, -1e9) and now - self.trial_at.get(c, -1e9) >= self.REST


class Crowding:
    """Mechanism 3. A limit on what is in flight to a server follows shortest over present answer time.
    Guards against a full or slowing server; it could harm where times of one object vary by themselves."""

    FIRST, LEAST, MOST = 32.0, 4.0, 200.0
    CROWD, PRIOR, FADE = 1.5, 0.5, 3.0

    def __init__(self, routers):
        self.routers, self.limit, self.pace, self.set_at, self.sums = routers, {}, {}, {}, {}

    def timed(self, c, now, base, over):
        """Sums, faded, of what answers took over their shortest times, and of what that is held against."""
        at, total, bases = self.sums.get(c, (now, 0.0, 0.0))
        fade = math.exp((at - now) / self.FADE)
        self.sums[c] = now, total * fade + max(0.0, over), bases * fade + base

    def crowd(self, c, now, usual=0.0):
        """usual: the crowd that few answers are rounded to."""
        at, total, bases = self.sums.get(c, (now, 0.0, 0.0))
        prior = self.PRIOR * math.exp((now - at) / self.FADE)
        return (total + prior * usual) / (prior + bases)

    def lags(self, c, now, peers, over=0.5, least=0.0):
        """Far slower than the quicker half of its peers, as far as `least` seconds of sending tell."""
        usual = median({f: self.crowd(f, now) for f in peers}, c, peers, 0.0)
        return (
            usual is not None
            and self.crowd(c, now) > over + 2.0 * usual
            and self.sums.get(c, (now, 0.0, 0.0))[2] >= least
        )

    def open(self, c, now, part, chance, way_in=False):
        """What other routers have in flight is out of sight: the longer answers take, the fewer go."""
        usual = (0.2 if way_in else 0.4) * min(1.0, 8.0 / self.routers)  # of many routers little is own
        crowd = self.crowd(c, now, self.crowd(INLET, now) if way_in else 0.0) - usual
        shut = crowd / ((0.5 if way_in else 1.0) * self.CROWD * part) * (1.0 - 1.0 / self.routers)
        return shut <= 0.0 or chance.random() >= shut

    def answered(self, c, now, ratio, inflight):
        pace = self.pace[c] = 0.95 * self.pace.get(c, 1.0) + 0.05 * ratio
        if now - self.set_at.get(c, -1.0) >= 0.25:
            self.set_at[c] = now
            limit = self.limit.get(c, self.FIRST / 4)
            aim = limit * max(0.5, pace) + limit**0.5
            if aim < limit or inflight > limit / 2:
                self.limit[c] = max(self.LEAST, min(self.MOST, 0.8 * limit + 0.2 * aim))

    def share(self, c):
        return 1.0 / self.routers

    def room(self, c, inflight, part, weight=0.0):
        """weight: transfers at full pace, where told: a crowd shows at once; else it is found from low."""
        limit = self.limit.setdefault(c, self.FIRST if weight or c == INLET else self.FIRST / 4)
        most = weight * (0.6 + 1.9 * self.share(c)) or self.MOST
        return inflight < part * min(max(limit, 0.7 * most if weight else 0.0), most)


class Way:
    """Mechanism 7. How fills that ended at the origin went lately; the worse, the fewer go. Guards against an
    origin kept busy by fills that nobody waits for. It could harm where only late fills warm caches."""

    FADE, SPARE = 5.0, 2.0  # seconds; about one in six may go badly before fewer go

    def __init__(self):
        self.good, self.bad, self.at, self.due = 0.0, 0.0, 0.0, {}  # due: of each fill that is out

    def count(self, now, good):
        fade = math.exp((self.at - now) / self.FADE)
        self.at, self.good, self.bad = now, self.good * fade + good, self.bad * fade + (not good)

    def open(self, now):
        """The part of what would go to the origin that may. What is out and late tells first."""
        fade = math.exp((self.at - now) / self.FADE)
        bad = self.bad * fade + sum(due < now for due in self.due.values())
        good = 1.0 + self.good * fade
        return min(1.0, self.SPARE * (good / (good + bad)) ** 4)


class Copies:
    """Mechanism 5. Copies in memory, for queries that no cache can answer in time. They leave one by one on
    the router's link: none is promised that would come late. It could harm where others need that link."""

    def __init__(self, machine):
        memory_mb, _, self.flow, self.link = machine or (0.0, 0, 0.0, 0.0)  # no link, no copies
        self.room, self.held, self.size, self.free_at = memory_mb * OWN * 1e6, {}, 0, 0.0

    def keep(self, name, doc, made, size, query, sink):
        """Those used last stay."""
        self.drop([name], sink)
        self.held[name], self.size = (doc, made, size), self.size + size
        sink.keep_copy(query, name)
        while self.size > self.room:
            self.drop([next(iter(self.held))], sink)

    def drop(self, names, sink):
        for name in self.held.keys() & names:
            self.size -= self.held.pop(name)[2]
            sink.drop_copy(name)

    def sends(self, name, now, age, left):
        """Whether a copy not older than that is sent in the time left; its place on the link is taken."""
        _, made, size = self.held.get(name, (None, -1e9, 0))
        ends = max(now, self.free_at) + size / (self.link or 1.0)
        if not size * self.link or 0.0 < age < now - made + 0.1 or max(size / self.flow, ends - now) > left:
            return False
        self.free_at, self.held[name] = ends, self.held.pop(name)
        return True


class Router:
    BY_SIZE = 0.4  # at 1 the largest tenth got a third of its track's share in a crowd, at 0.4 over half

    def __init__(
        self,
        seed,
        request_classes,
        location,
        limits,
        fill_policy,
        cache_slow_start,
        parent_slow_start,
        purge_settled_s,
        server_kinds,
        reports,
        machine=None,
        returns=None,
    ):
        self.chance, self.returns, self.way = random.Random(seed), returns, Way()
        self.request_classes, self.limits, self.fill_policy = request_classes, limits, fill_policy
        self.purge_settled_s = purge_settled_s
        self.fleet, self.rings = Fleet(server_kinds, location.zone), Rings()
        self.cold = {
            "cache": ColdBudget(cache_slow_start, location.routers_here),
            "parent": ColdBudget(parent_slow_start, location.routers),
        }
        self.health, self.sources, self.crowding = Health(), Health(), Crowding(location.routers_here)
        self.docs, self.queries, self.groups, self.copies = {}, {}, {}, Copies(machine)
        self.most = min(MOST_DOCS, int(DOCS_IN_MB * machine.memory_mb)) if machine else MOST_DOCS
        self.sending, self.known = (
            [t.latency_objective_s or 0.1 for t in request_classes],
            [GUESS] * len(request_classes),
        )  # mean times
        self.takes, self.fill_worth = (
            [0.0] * len(request_classes),
            [1.0] * len(request_classes),
        )  # of answers now; of fills
        self.mean, self.mean_at, self.fills, self.heard_at, self.load = 0.0, 0.0, 0, {}, {}
        parts = (self.health, self.sources, self.crowding, *self.cold.values())
        self.figures = [d for p in parts for d in vars(p).values() if isinstance(d, dict)] + [self.heard_at]
        self.told, self.among = location.weights_known, location.routers_here
        self.retries, self.asked_at, self.next_cycle, self.counted = 1.0, 0.0, CYCLE, 0
        self.knows_all = True  # False: a purge may have been told that is not known here yet

    def process(self, now, messages, sink):
        """One round: handles the messages in order."""
        self.now = now
        self.sink = sink
        for message in messages:
            self.handle(message)
        if now >= self.next_cycle and self.counted >= TELLING:
            self.cycle()

    def handle(self, message):
        """Handles one message."""
        match message:
            case RequestArrived():
                self.on_request(message)
            case AttemptEnded():
                self.on_attempt_ended(message)
            case RequestWithdrawn():
                self.on_withdrawn(message)
            case EndpointsListed():
                self.on_endpoints(message)
            case ObjectsPurged():
                self.on_purge(message)
            case RouterCountChanged():
                self.on_router_count(message)
            case _:
                raise TypeError(f"message: expected one that this router takes, got {type(message).__name__}")

    def on_endpoints(self, listed):
        own = self.fleet.own
        self.fleet.update(self.now, listed.is_complete, listed.endpoints)
        for c, at in enumerate(self.fleet.forgot_at):
            if at == self.now and self.fleet.role[c] in self.cold:
                self.cold[self.fleet.role[c]].at[c], self.cold[self.fleet.role[c]].credit[c] = at, 0.0
        for c in self.fleet.fresh:
            for figures in self.figures:
                figures.pop(c, None)
        if self.fleet.own != own or not self.rings.rings:
            self.rings.seat(self.fleet.own)

    def on_request(self, request):
        query, track, key, part, group, size_kb, write, left, since, who = request
        doc = self.docs.get((key, part))
        if doc is None:
            if len(self.docs) >= self.most:
                self.docs = dict(sorted(self.docs.items(), key=lambda item: -item[1].count)[: self.most // 2])
            doc = self.docs[key, part] = Doc(key, part, group)
        fresh = not since  # a retry counts under its first try
        doc.count, doc.asked, self.counted = doc.count + fresh, doc.asked + fresh, self.counted + fresh
        if self.rings.rings:
            self.rings.rings[doc.code % len(self.rings.rings)][2][doc.code % INTRA_GEN] += fresh
        q = self.queries[query] = Query(
            track, doc, self.now, left, write or self.request_classes[track].uncacheable
        )
        q.expect = (
            size_kb / self.fill_policy.transfer_kb_s if size_kb and self.fill_policy.transfer_kb_s else 0.0
        )
        self.average(track, q.expect)
        q.who, t = who, self.request_classes[track]
        need = self.takes[track] - t.objective_stretch * (q.expect or self.sending[track])
        q.worth = t.late_share if since > max(0.0, t.latency_objective_s - need) else 1.0
        self.retries = min(20.0, 0.05 * fresh + self.retries * math.exp((self.asked_at - self.now) / LOOK))
        self.asked_at = self.now
        if self.returns is not None and who is not None:
            wait, q.invited = self.returns.arrives(self.now, who, (track, key, part))
            if wait:  # early: the same place again
                del self.queries[query]
                return self.sink.reject(query, wait, Refusal.EARLY)
            q.worth = 1.0 if q.invited else q.worth  # what was promised holds
            if fresh:
                self.returns.newcomer(self.now, self.sending[track])
        self.place(query, q)

    def on_attempt_ended(self, end):
        query, server, result, took, over, note, waited, copy = end
        q, c = self.queries.get(query), self.fleet.index.get(server)
        due = self.way.due.pop(query, None)
        if c is not None:
            self.fleet.inflight[c] = max(0, self.fleet.inflight[c] - 1)
        if q is None or c is None:
            return
        self.fills -= q.filling
        late = (
            result in (AttemptResult.TIMEOUT, AttemptResult.CANCELLED) and due is not None and due < self.now
        )  # not the hurried
        if due is not None and (late or note in (3, 6, 10) or note == 7 and result != AttemptResult.FULL):
            self.way.count(self.now, result == AttemptResult.SATISFIED and due >= self.now)
        if result != AttemptResult.UNSENT:
            self.learn(q, c, result, took, note, waited)
        if q.invited and result == AttemptResult.SATISFIED:
            self.returns.counts["served"] += 1
        if copy and self.request_classes[q.track].idempotency is Idempotency.REPEATABLE and not q.through:
            oldest = self.oldest(q.doc, self.request_classes[q.track], True) or math.inf
            if (
                self.now - copy.made_at < oldest and copy.made_at > q.doc.purged_at
            ):  # it may come after a purge is heeded
                self.copies.keep((q.track, q.doc.code), q.doc, *copy, query, self.sink)
        if over or q.ended:
            del self.queries[query]
            return
        # Its connection came up late: drains, purges, cold budgets and windows may have changed meanwhile;
        # nothing ran, so all is decided anew.
        if result == AttemptResult.UNSENT:
            q.shots -= 1
            return self.place(query, q)
        if result not in rules.NEVER_RAN and q.ran is None:
            q.ran = Ran(self.fleet.zone[c], self.fleet.cell[c], q.sent_at)
        self.again(query, q, result)

    def on_withdrawn(self, withdrawn):
        if withdrawn.request_id in self.queries:
            self.queries[withdrawn.request_id].ended = True

    def on_purge(self, purge):
        """Keeps the moment of the purge and forgets what held the objects."""
        group, age, key = purge
        moment, name = self.now - age, key or group
        self.groups = {g: at for g, at in self.groups.items() if self.now - at <= self.purge_settled_s + 2.0}
        self.groups[name] = max(moment, self.groups.get(name, -1e9))
        for doc in {*self.docs.values(), *(q.doc for q in self.queries.values())}:
            if doc.is_hit_by(key, group):
                doc.purged_at = max(doc.purged_at, moment)
                doc.purges += 1
                doc.holders.clear()
        hit = [name for name, (doc, _, _) in self.copies.held.items() if doc.is_hit_by(key, group)]
        self.copies.drop(hit, self.sink)

    def place(self, query, q):
        """One push for a query, or its final answer."""
        now, fleet, doc, track = self.now, self.fleet, q.doc, self.request_classes[q.track]
        left = q.until - now
        if left <= 0.002:
            return self.refuse(query, q, Refusal.NO_TIME)
        if q.shots >= self.limits.max_attempts:
            return self.refuse(query, q, Refusal.ATTEMPTS_USED)
        if left < q.expect + HURRY and self.own(query, q):
            return
        work, wide = self.sending[q.track], self.fair_part(q)
        part = min(1.0, wide)

        # the holders remembered, else the home, then those that stand in for it
        stand_ins = self.rings.home(doc.code) if self.rings.rings else []
        kept = () if q.through else self.holders(doc)  # what runs at the origin is held by nobody
        holders = [c for c in kept if c in stand_ins and c not in q.bad]
        busy = {c: (fleet.inflight[c] / (fleet.weight[c] or 1.0), self.chance.random()) for c in holders}
        order = sorted(holders, key=busy.get)
        order = [c for c in order + [c for c in stand_ins if c not in busy] if self.open_to(c, q)]
        target = next((c for c in order if self.warm_for(c, work, q)), None)
        if target is None:
            return self.pass_by(query, q, track)
        room = self.room_at(target, part)  # elsewhere than at a holder it would miss and be filled anew
        slow = not room and self.crowding.lags(target, now, fleet.own, least=2.0)  # it is crowded, not all
        if not room and (slow or target in holders):
            others = [c for c in order if (slow or c in holders) and c != target and self.room_at(c, part)]
            target = next((c for c in others if self.warm_for(c, work, q)), target)
            room = target in others
        aged = 0.0 < track.fresh_s < now - doc.fresh_at  # a holder's copy past its fresh time is a fill
        source, q.sibling, q.held = None, False, target in holders and not aged

        # an object in demand gets one cache more, filled from a holder
        most = (len(fleet.own) + 1) // 2
        if q.held and q.shots == 0 and len(holders) < most and self.utility(doc, len(holders)) > 1.0:
            own, at = fleet.own, fleet.own.index(holders[-1])
            extra = next((c for c in own[at + 1 :] + own[:at] if c not in holders), None)
            if (
                extra is not None
                and self.fill_policy.siblings is not SiblingFills.NONE
                and self.open_to(extra, q)
                and not self.cold["cache"].cold(now, fleet.cold_from[target])
                and self.room_at(extra, part)
                and self.warm_for(extra, work, q)
            ):
                target, source, q.sibling, q.held, room = extra, target, True, False, True
        if not room:
            return self.refuse(query, q, Refusal.CROWDED)

        # all other fills go to the parent hashed from the object, next on failure, at last the origin; among
        # other routers what this one does not know of is mostly there: it is looked for before it is filled
        first = self.among > 1 and not (
            q.held
            or q.missed
            or q.through
            or track.fresh_s > 0
            or self.cold["cache"].cold(now, fleet.cold_from[target])
        )
        if source is None and not first and not q.look:
            source = self.parent(q, work * (0.25 if q.held else 1.0))
            if (
                source is None
                or not q.held
                and not (
                    self.crowding.room(INLET, self.fills, part**0.5)
                    and self.crowding.open(source, now, wide**2, self.chance, True)
                )
            ):
                if q.missed:
                    return self.refuse(query, q, Refusal.LINK_CROWDED)
                source, q.look = None, True
        opens, q.local = self.way.open(now), False
        if source is not None and opens < 1.0 and not (q.held or q.sibling or q.through):
            q.local = fleet.role[source] == "parent" and not q.lacks  # what a parent holds costs no origin
            if not q.local and self.chance.random() >= opens:
                if track.stale_s <= 0 or q.look:
                    return self.refuse(query, q, Refusal.ORIGIN_FAILING)
                source, q.look = None, True
        rank = Retention.NONE if q.through else Retention.IN_DEMAND if doc.count >= 2 else Retention.NORMAL
        ageing = self.fill_worth[q.track] < track.stale_share  # an old copy earns more than a fill now
        age = self.oldest(doc, track, ageing or q.look)
        self.send(query, q, target, target if source is None else source, rank, age, track.fresh_s > 0, left)

    def send(self, query, q, target, source, rank, age, renew, left):
        """Times the push out so that another still fits, and writes it."""
        q.shots, q.server, q.source, q.sent_at, q.rank = q.shots + 1, target, source, self.now, rank
        need = 6.0 * max(q.doc.best, q.expect)  # what the object takes, with room; 0: not known
        more = q.shots < self.limits.max_attempts and q.shots < 3 and 0.0 < need + 0.3 < 0.6 * left
        until = self.now + (left * 0.6 if more and need else left - 0.001)
        self.fleet.inflight[target] += 1
        q.filling = source != target and not q.sibling and not q.held
        self.fills += q.filling
        if q.filling and not q.local and self.fill_policy.notes == "all":
            self.way.due[query] = self.now + self.wanted(q)
        for tier, c in ((self.health, target), (self.sources, source)):
            if c in tier.rest_until:
                tier.trial_at[c] = self.now
        ids = self.fleet.ids
        joins = self.fill_policy.joins_fills
        attempt = Attempt(ids[target], until, ids[source], rank, age, joins, q.sibling or q.local, renew)
        self.sink.forward(query, attempt)

    def again(self, query, q, result):
        """After a push that did not answer: another, or the final answer. No effect twice."""
        if q.sibling and result in (
            AttemptResult.FULL,
            AttemptResult.MISS,
        ):  # a failed sibling fill retries home
            q.doc.holders.pop(q.source, None)
            return self.place(query, q)
        if result == AttemptResult.MISS and q.local:
            q.lacks = True
            return self.place(query, q)
        if result == AttemptResult.MISS and q.source == q.server:  # looked for
            q.missed = True
            return self.refuse(query, q, Refusal.NOT_HELD) if q.look else self.place(query, q)
        if (
            result in (AttemptResult.FULL, AttemptResult.MISS)
            or result == AttemptResult.ERRORED
            and q.filling
            and not q.bad_sources
        ):
            q.bad_sources.add(q.source)
        if q.source not in q.bad_sources or q.source == q.server or q.held:
            q.bad.add(q.server)
        once = q.ran is not None and self.request_classes[q.track].idempotency is Idempotency.ONCE
        if once or not self.pays():  # no budget to fill it from elsewhere: an ageing copy is looked for
            if once or q.look or q.source == q.server or self.request_classes[q.track].stale_s <= 0:
                return self.refuse(query, q, Refusal.MAY_HAVE_RUN if once else Refusal.RETRY_BUDGET)
            q.look = True
        self.place(query, q)

    def pays(self):
        """Takes a further push off what queries have earned lately; a part of one goes by chance."""
        saved, self.retries = self.retries, max(0.0, self.retries - 1.0)
        return self.chance.random() < saved

    def refuse(self, query, q, reason):
        """The final answer, at once; a nack only where a repeat can do no harm."""
        if self.own(query, q):
            return
        if rules.may_invite_repeat(self.request_classes[q.track], q.ran):
            self.sink.reject(query, self.return_in(q), reason)
        else:
            self.sink.fail(query, reason)
        del self.queries[query]

    def return_in(self, q):
        """Seconds after which to come back: a place in the plan of returns, where one can be told."""
        if self.returns is None or q.who is None:
            return min(self.limits.max_retry_after_s, 0.1 + 0.15 * self.chance.random())
        name, work = (q.track, q.doc.key, q.doc.part), self.sending[q.track]
        worth = 0.5 + 0.5 * self.request_classes[q.track].utility / max(
            t.utility for t in self.request_classes
        )
        return self.returns.place(self.now, q.who, name, work, worth, self.can_take)

    def can_take(self, at):
        """Seconds of sending a second that this router may send to its caches at a time ahead."""
        cold, total, lump = self.cold["cache"], 0.0, max(self.sending)
        for c in self.fleet.own:
            born, limit = self.fleet.cold_from[c], self.crowding.limit.get(c, Crowding.FIRST / 4)
            if cold.start.overload_multiple > 0 and cold.cold(at, born):
                limit = min(limit, cold.whole(at, born, self.power(c), lump) * cold.part(c, born))
            total += limit
        return total

    def own(self, query, q):
        """Answers from memory, if a copy there will do and comes in time."""
        track, name = self.request_classes[q.track], (q.track, q.doc.code)
        left = min(q.until - self.now, track.latency_objective_s + q.expect) - 0.02
        if not self.knows_all:
            return False
        if not self.copies.sends(name, self.now, self.oldest(q.doc, track, True), left):
            return False
        self.sink.respond_from_copy(query, name)
        del self.queries[query]
        return True

    def pass_by(self, query, q, track):
        """No cache here can take it: straight to a parent or the origin where allowed, else a nack."""
        if not self.fill_policy.allows_direct or self.fleet.own and not self.pays():
            return self.refuse(query, q, Refusal.NO_SERVER)
        source = self.parent(q, self.sending[q.track])
        if source is None or self.fleet.inflight[source] > 16 or not self.may_repeat(q, source):
            return self.refuse(query, q, Refusal.NO_SERVER)
        q.sibling = q.held = q.local = False
        self.send(
            query,
            q,
            source,
            source,
            Retention.NONE,
            self.oldest(q.doc, track, False),
            False,
            q.until - self.now,
        )

    def holders(self, doc):
        """Caches remembered serving a kept copy; forgotten on a restart, a drain, a miss or a purge."""
        fleet, now = self.fleet, self.now
        doc.holders = {
            c: at
            for c, at in doc.holders.items()
            if now - at <= MEMORY and at > fleet.forgot_at[c] and fleet.state[c] == "ready"
        }
        return list(doc.holders)

    def utility(self, doc, holders):
        """Count over mean count, over twice the holders, times requests over requests plus purges."""
        if self.now - self.mean_at > 1.0 or not self.mean:
            total, self.mean_at = sum(d.count for d in self.docs.values()), self.now
            self.mean = max(1.0, total / len(self.docs))
        return doc.count / self.mean / (2.0 * holders) * doc.asked / (doc.asked + doc.purges)

    def warm_for(self, c, work, q):
        """Whether c is warm or has budget for it; late retries leave half to others, the invited borrow."""
        cold, born, lump = self.cold[self.fleet.role[c]], self.fleet.cold_from[c], max(self.sending)
        spare = -0.25 if q.invited else 0.5 * (1.0 - q.worth)
        return cold.take(c, self.now, born, self.power(c), work, lump, self.chance, spare)

    def room_at(self, c, part):
        fleet, crowding = self.fleet, self.crowding
        return crowding.room(c, fleet.inflight[c], part, self.told * fleet.weight[c]) and (
            not fleet.inflight[c] or crowding.open(c, self.now, part, self.chance)
        )

    def open_to(self, c, q):
        return (
            c not in q.bad
            and rules.may_send_to(self.fleet.state[c])
            and self.health.fit(c, self.now)
            and self.may_repeat(q, c)
        )

    def may_repeat(self, q, c):
        return rules.may_repeat(
            self.request_classes[q.track], q.ran, self.fleet.zone[c], self.fleet.cell[c], self.now
        )

    def slow_start_bound(self, server, now):
        """(work in seconds of sending that all routers may send a cold server in a window, the window), or None."""
        c = self.fleet.index.get(server)
        budget = self.cold.get(self.fleet.role[c]) if c is not None else None
        if (
            budget is None
            or budget.start.overload_multiple <= 0
            or not budget.cold(now, self.fleet.cold_from[c])
        ):
            return None
        mean = sum(self.sending) / len(self.sending)
        calls = budget.room(budget.can(now, self.fleet.cold_from[c], self.power(c))) / mean
        return rules.slow_start_bound(calls) * mean, budget.start.window_s

    def parent(self, q, work):
        """First usable of the parents in the object's own order over all listed ones; then the origin."""
        fleet, doc, now, bad = self.fleet, q.doc, self.now, q.bad | q.bad_sources
        if doc.order_of is not fleet.parents:
            doc.order_of = fleet.parents
            doc.order = sorted(fleet.parents, key=lambda c: digest(f"{doc.home_code} {fleet.ids[c]}"))
        for c in doc.order + fleet.origins:
            if not rules.may_send_to(fleet.state[c]) or c in bad:
                continue
            if fleet.role[c] == "origin" or self.sources.fit(c, now) and self.warm_for(c, work, q):
                return c
        return None

    def carried(self, c, work):
        """Notes work done by a warm server: what such do on the mean is what their like can do at least."""
        role = self.fleet.role[c]
        if role in self.cold and not self.cold[role].cold(self.now, self.fleet.cold_from[c]):
            total, over, _ = self.carrying(role)
            self.load[role] = self.now, total + work, over

    def carrying(self, role):
        """Work that warm servers did lately; over how many seconds, of each that was warm then; of each now."""
        last, total, over = self.load.get(role, (self.now, 0.0, 0.0))
        fleet, fade = self.fleet, math.exp((last - self.now) / LOOK)
        if role == "parent":
            warm = max(1, len(fleet.parents))
        else:
            warm = max(1, sum(not self.cold[role].cold(self.now, fleet.cold_from[f]) for f in fleet.own))
        return total * fade, over * fade + warm * LOOK * (1.0 - fade), warm * LOOK

    def power(self, c):
        """Transfers at once that a warm server does: told, else what its peers take, a low guess."""
        fleet, role = self.fleet, self.fleet.role[c]
        if self.told and fleet.weight[c] > 0:
            return fleet.weight[c]
        total, over, now = self.carrying(role)  # what many did that are gone is not what the few left can do
        return max(1.0, total / max(over, now) * self.cold[role].routers)

    def fair_part(self, q):
        """The part of a limit open to a query: the less utility for its sending time, the smaller. Above its
        track's mean size counts for less: the largest objects must not starve while small ones are served."""
        usual, mean = sum(t.utility for t in self.request_classes) / sum(self.sending), self.sending[q.track]
        size = (q.expect or q.doc.best or mean) / mean
        density = q.worth * self.request_classes[q.track].utility / mean / min(size, size**self.BY_SIZE)
        return 1.0 if q.invited else max(0.2, 0.85 * (density / usual) ** 0.5)

    def oldest(self, doc, track, ageing):
        """Oldest copy that will do; shuts out those from before a known purge until they are gone."""
        age = track.fresh_s + (track.stale_s if ageing else 0.0) if track.fresh_s > 0 else 0.0
        purged = max(doc.purged_at, self.groups.get(doc.group, -1e9), self.groups.get(doc.key, -1e9))
        if self.now - purged < self.purge_settled_s + 1.0:
            age = min(age or math.inf, max(1e-6, self.now - purged - 0.001))
        return age

    def learn(self, q, c, result, took, note, waited):
        fleet, doc, now, lags = self.fleet, q.doc, self.now, False
        track, tells = self.request_classes[q.track], self.fill_policy.notes
        if result == AttemptResult.SATISFIED:
            if q.rank and fleet.forgot_at[c] < q.sent_at >= max(doc.purged_at, self.groups.get(doc.group, 0)):
                doc.holders.pop(c, None)
                doc.holders[c] = now
            doc.fresh_at = now if q.filling else doc.fresh_at
            self.takes[q.track] += 0.05 * (took - self.takes[q.track])
            self.carried(c, self.sending[q.track])  # not what was sent: in a jam the last warm get it all
            if q.filling and note != 1:  # where nothing is told most are hits
                self.carried(
                    q.source,
                    self.sending[q.track] * (0.25 if tells == NoteDetail.NONE and not q.missed else 1.0),
                )
            if not q.expect:
                self.average(q.track, min(took, 3.0))
            if note == 1 or tells == NoteDetail.NONE or doc.best == 0.0:
                doc.best = min(doc.best or took, took)
        if result in (AttemptResult.SATISFIED, AttemptResult.TIMEOUT):
            shortest = (
                q.expect or doc.best or (self.sending[q.track] if result == AttemptResult.TIMEOUT else 0.0)
            )
            if shortest and (doc.count >= 2 or q.expect or result == AttemptResult.TIMEOUT):
                ratio = min(1.0, max(shortest, doc.best) / max(took, 1e-6))
                if note < 2 and (tells == NoteDetail.NONE or not q.filling or note == 1):
                    self.crowding.timed(c, now, shortest, took - shortest)
                if q.filling and (
                    note > 1
                    or tells == NoteDetail.NONE
                    or result == AttemptResult.TIMEOUT
                    and (tells == NoteDetail.HIT or q.local)
                ):
                    slack = track.latency_objective_s + (track.objective_stretch - 1.0) * shortest
                    self.crowding.timed(INLET, now, slack, took - waited - shortest)
                    self.crowding.timed(q.source, now, slack, took - shortest)
                if q.filling:
                    self.crowding.answered(INLET, now, ratio, self.fills)
                elif q.held and note < 2:
                    self.crowding.answered(c, now, ratio, fleet.inflight[c])
                    lags = ratio < 0.5 and self.crowding.lags(c, now, fleet.own, 1.0)
        elif result == AttemptResult.MISS:
            doc.holders.pop(c, None)
        if q.filling and result == AttemptResult.FULL:  # turned away on the way in: as crowded as it gets
            self.crowding.answered(INLET, now, 0.0, self.fills)
        if (
            q.filling
            and note != 1
            and result
            in (AttemptResult.SATISFIED, AttemptResult.TIMEOUT, AttemptResult.FULL, AttemptResult.ERRORED)
        ):
            worth = (
                0.0
                if result != AttemptResult.SATISFIED
                else 1.0
                if took <= self.wanted(q)
                else track.late_share
            )
            self.fill_worth[q.track] += 0.05 * (worth - self.fill_worth[q.track])
        # A failed fill speaks against cache and source alike unless notes tell which: the one at fault soon
        # stands out among its peers. A time-out counts only while nothing is answered: no crowd.
        good, source = (
            result == AttemptResult.SATISFIED and not lags,
            c if fleet.role[c] == "parent" else q.source,
        )
        filled = q.filling and note != 1
        if result == AttemptResult.SATISFIED:
            self.heard_at[c] = self.heard_at[source if filled else c] = now
        silent = result == AttemptResult.TIMEOUT and now - self.heard_at.get(c, -1e9) > 1.0
        dumb = result == AttemptResult.TIMEOUT and filled and now - self.heard_at.get(source, -1e9) > 1.0
        failed = (
            lags
            or silent
            or dumb
            or result == AttemptResult.FULL
            and filled
            or result in (AttemptResult.ERRORED, AttemptResult.UNREACHABLE, AttemptResult.BROKEN)
        )
        slow = (
            filled
            and result != AttemptResult.MISS
            and fleet.role[source] == "parent"
            and self.crowding.lags(source, now, fleet.parents, least=2.0)
        )
        told, shared = (
            tells == NoteDetail.ALL,
            filled and result in (AttemptResult.ERRORED, AttemptResult.FULL),
        )
        own = (
            fleet.role[c] == "cache"
            and (good or failed)
            and not (
                failed
                and not silent
                and (dumb or result == AttemptResult.FULL or told and note in (6, 7, 10))
            )
        )
        far = (
            fleet.role[source] == "parent"
            and note not in (1, 9, 10)
            and (good or failed or slow)
            and (good and filled or slow or source == c or dumb or (note in (6, 7) if told else shared))
        )
        share = 0.5 if shared and not told else 1.0
        if own and self.health.judge(c, now, failed, share, fleet.own):
            self.sink.log(f"resting cache {fleet.ids[c]}: {result}")
        if far and self.sources.judge(source, now, failed or slow, share, fleet.parents):
            self.sink.log(f"resting parent {fleet.ids[source]}: {result}")

    def average(self, track, took):
        self.known[track] += took > 0.0
        self.sending[track] += max(0.02, 1 / self.known[track]) * (took - self.sending[track]) * (took > 0.0)

    def wanted(self, q):
        """Seconds from a push within which its answer earns all."""
        track = self.request_classes[q.track]
        return track.latency_objective_s + track.objective_stretch * (
            q.expect or q.doc.best or self.sending[q.track]
        )

    def on_router_count(self, count):
        """So many share the limits from here on."""
        self.cold["cache"].routers = count.here
        self.cold["parent"].routers = count.everywhere
        self.crowding.routers = self.among = count.here

    def cycle(self):
        """The sub-ranges follow the load; object counts are bounded and halved."""
        self.next_cycle, self.counted = self.now + CYCLE, 0
        self.rings.cycle(lambda c: self.fleet.weight[c] or 1.0)
        for doc in self.docs.values():
            doc.count /= 2.0
