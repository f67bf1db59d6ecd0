"""One router's side of the fleet's limits: its parts as holder, its desk as keeper, and whom it turns to. No I/O, no clock.

limits.round(now, inbox, writer)     inbox: (sender's process, method, values, rows) of datagrams `want` and `lend`
writer.post_to(place, method, values, rows)      place: of a member in the view
writer.post_event(QuotasAssigned(rows))   (kind, server, start, part) of each limit whose part has changed"""

import xxhash

from brookhinge.engine.events import QuotasAssigned
from brookhinge.limits.holder import Holder
from brookhinge.limits.keeper import Keeper
from brookhinge.limits.terms import BEAT, FADE, HEAD, ROWS
from brookhinge.membership.look import LIMITS
from brookhinge.membership.view import ALIVE

EVERYWHERE = {"parent"}  # kinds that routers of all places share; all others are one place's
AT_ONCE, KEEPERS = 64, 4  # limits that a keeper lends of in one beat; keepers of one kind


class Limits:
    """view: the fleet's; sharers(): by how many this place's limits and the whole fleet's are divided; demand(): what
    was asked a second since it was last called, (kind, server, start, rate, whole) each, whole 0 where nothing is limited
    now: what a server was asked for before it started anew tells what it will be asked for."""

    methods, look = ("want", "lend"), LIMITS

    def __init__(self, view, name, zone, version, sharers, demand, now):
        self.view, self.name, self.zone, self.version = view, name, zone, version
        self.sharers, self.demand = sharers, demand
        self.holder, self.keeper = Holder(now, max(sharers()) <= 1), Keeper()
        self.asked, self.pressed, self.heard = (
            {},
            {},
            {},
        )  # limit -> part of the whole; limit -> {keeper: until}; keeper -> number
        self.told, self.told_own, self.beat_at, self.shrinks_at = {}, None, now, now
        self.looked_at, self.rates = (
            now - BEAT,
            {},
        )  # (kind, server) -> what was asked of it a second, on the mean
        self.counts = dict.fromkeys(("want", "lend", "lent", "gave"), 0)

    def base(self, limit):
        here, all_ = self.sharers()
        return 1.0 / (all_ if limit[0] in EVERYWHERE else here)

    def scope(self, limit):
        """Places of the living who share a limit and read what this one writes."""
        v = self.view
        return [
            i
            for i in range(len(v.names))
            if v.state[i] == ALIVE
            and v.version[i] == self.version
            and (limit[0] in EVERYWHERE or v.zone[i] == self.zone)
        ]

    def keeper_of(self, limit):
        """The place of its keeper: rendezvous over who shares it, so that each limit has one that all agree on once their
        views do; nothing rests on that they agree. Many limits have few keepers: their rows go in common datagrams."""
        text = "%s %d " % (limit[0], xxhash.xxh64_intdigest(("%s %d" % limit[1:]).encode()) % KEEPERS)
        return max(
            self.scope(limit),
            key=lambda i: xxhash.xxh64_intdigest((text + self.view.names[i]).encode()),
            default=None,
        )

    def next_at(self):
        return self.beat_at

    def part(self, limit, now):
        return self.holder.part(limit, self.base(limit), now)

    def round(self, now, inbox, writer):
        for sender, method, values, rows in inbox:
            self.hear(now, sender, method, values, rows, writer)
        if now >= self.beat_at:
            self.beat_at = now + BEAT
            self.beat(now, writer)
        self.tell(now, writer)

    def tell(self, now, writer):
        """Parts that are others than were told. Also called before a round of the decisions once `shrinks_at` is past: no
        part is used after its end, also by a process that was frozen meanwhile."""
        rows = []
        own = self.holder.own(now)
        if self.told_own != own:
            self.told_own = own
            rows.append(("own", "", 0, own))
        known = {**self.asked, **self.holder.given, **self.holder.lent}
        for limit in known:
            part = self.part(limit, now)
            if self.told.get(limit) != part:
                self.told[limit] = part
                rows.append((*limit, part))
        for limit in [limit for limit in self.told if limit not in known]:
            del self.told[limit]
            rows.append((*limit, None))
        self.shrinks_at = self.holder.changes_at(now)
        if rows:
            writer.post_event(QuotasAssigned(rows))

    def beat(self, now, writer):
        """Looks at demand, says what is wanting, and lends."""
        elapsed, self.looked_at = now - self.looked_at, now
        lately, wholes = {}, {}
        for kind, server, start, rate, whole in self.demand():
            lately[kind, server] = rate
            if whole:
                wholes[kind, server, start] = whole
        for name in self.rates.keys() | lately.keys():
            rate, mean = lately.get(name, 0.0), self.rates.get(name, 0.0)
            self.rates[name] = mean + min(1.0, elapsed / FADE) * (rate - mean)
        self.rates = {name: mean for name, mean in self.rates.items() if mean > 1e-4}
        self.asked = {limit: self.rates.get(limit[:2], 0.0) / whole for limit, whole in wholes.items()}
        self.holder.forget(now)
        self.pressed = {
            limit: lasting
            for limit, told in self.pressed.items()
            if (lasting := {keeper: until for keeper, until in told.items() if until > now})
        }
        wanting = {}
        for limit in {**self.asked, **self.pressed}:  # also what is lacking elsewhere and not asked of here
            if self.asked.get(limit, 0.0) * HEAD > self.part(limit, now) or limit in self.pressed:
                keeper = self.keeper_of(limit)
                if keeper is not None:
                    wanting.setdefault(keeper, []).append(limit)
        for keeper, limits in wanting.items():
            self.want(now, keeper, limits, writer)
        self.lend(now, writer)

    def shown(self, now):
        """(kind, server, own part, given away, lent, in use, seconds till that shrinks, keeper) of each limit."""
        rows = []
        for limit in sorted(self.asked.keys() | self.holder.given.keys() | self.holder.lent.keys()):
            keeper = self.keeper_of(limit)
            ends = min(
                (until - now for _, _, until in self.holder.lent.get(limit, {}).values() if until > now),
                default=0.0,
            )
            rows.append(
                (
                    limit[0],
                    limit[1],
                    round(self.base(limit), 4),
                    round(self.holder.gave(limit, now), 4),
                    round(self.holder.has(limit, now), 4),
                    round(self.part(limit, now), 4),
                    round(ends, 2),
                    self.view.names[keeper] if keeper is not None else "",
                )
            )
        return rows

    def want(self, now, keeper, limits, writer):
        uid = self.view.uid[keeper]
        for at in range(0, len(limits), ROWS):
            wants = {
                limit: (self.base(limit), self.asked.get(limit, 0.0)) for limit in limits[at : at + ROWS]
            }
            number, rows = self.holder.word(now, uid, wants, self.pressed)
            if rows:
                self.counts["want"] += 1
                self.counts["gave"] += sum(gift > 0.0 for _, _, gift in rows)
                self.out(
                    keeper,
                    "want",
                    (number, self.heard.get(uid, 0)),
                    [(*limit, round(need, 6), gift) for limit, need, gift in rows],
                    now,
                    writer,
                )

    def lend(self, now, writer):
        """Each who shares a limit that somebody lacks is told so, and what it is lent."""
        wanting, lent = self.keeper.wanting(now), self.keeper.lend(now)
        to = {}
        for limit in list(wanting)[:AT_ONCE]:
            for i in self.scope(limit):
                to.setdefault(i, []).append((*limit, lent.get(limit, {}).get(self.view.uid[i], 0.0)))
        for i, rows in to.items():
            for at in range(0, len(rows), ROWS):
                self.counts["lend"] += 1
                number, heard = self.keeper.number(now, self.view.uid[i])
                self.out(i, "lend", (number, heard), rows[at : at + ROWS], now, writer)

    def out(self, place, method, values, rows, now, writer):
        if self.view.names[place] == self.name:  # its own keeper: nothing on the wire
            self.hear(now, self.view.uid[place], method, values, rows, writer)
        else:
            writer.post_to(place, method, values, rows)

    def hear(self, now, sender, method, values, rows, writer):
        number, answers = values
        if method == "want":
            self.keeper.hear(now, sender, number, answers, [(tuple(row[:3]), *row[3:]) for row in rows])
            return
        fresh = number > self.heard.get(sender, 0)
        if fresh:
            self.heard[sender] = number
            if len(self.heard) > 1024:
                del self.heard[next(iter(self.heard))]
        self.holder.granted(
            now, sender, number, answers, [(tuple(row[:3]), row[3]) for row in rows if row[3] > 0.0]
        )
        self.counts["lent"] += sum(row[3] > 0.0 for row in rows)
        if fresh:
            limits = [tuple(row[:3]) for row in rows]
            for limit in limits:
                self.pressed.setdefault(limit, {})[sender] = now + 4.0 * BEAT
            place = next((i for i, uid in enumerate(self.view.uid) if uid == sender), None)
            if place is not None and self.view.names[place] != self.name:
                self.want(now, place, limits, writer)  # at once: what it can do without goes to who lacks it
