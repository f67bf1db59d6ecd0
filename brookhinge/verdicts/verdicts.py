"""One router's verdicts of servers, from what all saw. No I/O, no clock, no chance of its own.

    verdicts.round(now, inbox, writer)   inbox: (sender's process, method, values, rows) of datagrams `evidence`, `table`
    writer.post_to(place, method, values, rows)
    writer.post_event(OutlierVerdictsChanged(rows))   (server, start, how, seconds) each: rest, trial, ramp, alone or well, for so
                                                      long

Each server has a collector, chosen from the view, to whom who saw anything of it sends totals while anybody sees failures;
he sends all totals to all, and says whose turn a trial of a resting server is: one router's, and twice as many each time
that no trial came of it, for who has the turn may have no query for it. He decides nothing."""

import xxhash

from brookhinge.engine.events import OutlierVerdictsChanged
from brookhinge.membership.look import VERDICTS
from brookhinge.membership.view import ALIVE
from brookhinge.verdicts import judge
from brookhinge.verdicts.evidence import Evidence, T

BEAT = 0.5  # between two tellings
TURN = 0.6  # a turn to try a resting server lasts so long
RAMP = 3.0  # seconds over which queries come back after a rest
ROWS = 16  # in one datagram
KEPT = 24  # witnesses of one server that are passed on: those with most tries


class Resting:
    """A server that rests by the fleet's evidence: since when, and what its trials came to before."""

    __slots__ = ("since", "ramp_at", "why")

    def __init__(self, since, why):
        self.since, self.ramp_at, self.why = since, None, why


class Verdicts:
    """counts(): {(server, start): (tries, failed)} totals of this process; servers(): how many caches there are to choose
    from; sharers(): how many routers stand at this place."""

    methods, look = ("evidence", "table"), VERDICTS

    def __init__(self, view, name, zone, version, sharers, counts, servers, now):
        self.view, self.name, self.zone, self.version = view, name, zone, version
        self.sharers, self.counts, self.servers = sharers, counts, servers
        self.uid = view.uid[view.index[name]]
        self.evidence, self.asked, self.number, self.beat_at = (
            Evidence(),
            {},
            0,
            now,
        )  # asked: server -> until
        self.resting, self.turns, self.told, self.trouble = {}, {}, set(), set()
        self.heard, self.pace, self.shrinks_at = (
            {},
            {},
            float("inf"),
        )  # pace: server -> (until, how many, tries then)

    def next_at(self):
        return self.beat_at

    def peers(self):
        v = self.view
        return [
            i
            for i in range(len(v.names))
            if v.state[i] == ALIVE and v.version[i] == self.version and v.zone[i] == self.zone
        ]

    def collector(self, server):
        text = "%s %d " % server
        return max(
            self.peers(),
            default=None,
            key=lambda i: xxhash.xxh64_intdigest((text + self.view.names[i]).encode()),
        )

    def round(self, now, inbox, writer):
        for sender, method, values, rows in inbox:
            if method == "evidence":
                self.collect(now, sender, values, rows)
            else:
                self.table(now, sender, values, rows)
        if now >= self.beat_at:
            self.beat_at = now + BEAT
            self.beat(now, writer)

    def beat(self, now, writer):
        """Own totals into the own evidence, and to the collectors of what is in question; tables of what is collected
        here; then what follows from all."""
        mine, self.number = self.counts(), self.number + 1
        self.evidence.hear(
            now, self.uid, self.number, now, [(server, *told) for server, told in mine.items()]
        )
        self.evidence.forget(now)
        seen = {server: self.evidence.of(server, now) for server in sorted(self.evidence.servers(now))}
        for server, witnesses in seen.items():
            if any(failed for _, failed in witnesses.values()):
                self.asked[server] = now + T
        self.asked = {server: until for server, until in self.asked.items() if until > now}
        to, collected = {}, []
        for server in sorted(self.asked):
            place = self.collector(server)
            if place is not None and self.view.names[place] == self.name:
                collected.append(server)
            elif place is not None and server in mine:
                to.setdefault(place, []).append((*server, *mine[server]))
        for place, rows in to.items():
            for at in range(0, len(rows), ROWS):
                self.number += 1
                writer.post_to(place, "evidence", (self.number, round(now * 1000)), rows[at : at + ROWS])
        for server in collected:
            self.tell_all(now, server, mine, writer)
        self.decide(now, seen, writer)

    def tell_all(self, now, server, mine, writer):
        """The table of one server: each witness's totals, and whose turn to try it is."""
        totals = self.heard.get(server, {})
        totals = {uid: told for uid, told in totals.items() if now - told[0] <= T}
        if server in mine:
            totals[self.uid] = now, self.number, round(now * 1000), *mine[server]
        self.heard[server] = totals
        uids = sorted(totals, key=lambda uid: (-totals[uid][3], uid))[:KEPT]
        places, tries = self.peers(), sum(told[3] for told in totals.values())
        until, count, before = self.pace.get(server, (0.0, 0, -1))
        if now >= until:
            count = min(len(places), 2 * count) if count and tries == before else 1
            self.pace[server] = now + TURN, count, tries
        first = int(now / TURN) * 7919
        turns = {places[(first + k) % len(places)] for k in range(count)}
        rows = [(*server, uid, *totals[uid][1:]) for uid in uids]
        for place in places:
            if self.view.names[place] == self.name:
                self.take_turn(now, server, place in turns)
                continue
            for at in range(0, max(1, len(rows)), ROWS):
                self.number += 1
                writer.post_to(
                    place,
                    "table",
                    (int(place in turns), 0),
                    rows[at : at + ROWS] or [(*server, 0, 0, 0, 0, 0)],
                )

    def collect(self, now, sender, values, rows):
        number, stamp = values
        for name, start, tries, failed in rows:
            server = name, start
            self.asked[server] = now + T
            kept = self.heard.setdefault(server, {})
            if number > kept.get(sender, (0, 0))[1]:
                kept[sender] = now, number, stamp, tries, failed
        self.evidence.hear(
            now, sender, number, stamp / 1000.0, [((row[0], row[1]), *row[2:]) for row in rows]
        )

    def table(self, now, sender, values, rows):
        """Totals that a collector passes on: merged by the router that counted them, each by its own number and clock."""
        turn, _ = values
        for name, start, uid, number, stamp, tries, failed in rows:
            server = name, start
            self.asked[server] = now + T
            if uid not in (0, self.uid):
                self.evidence.hear(now, uid, number, stamp / 1000.0, [(server, tries, failed)])
            self.take_turn(now, server, turn)

    def take_turn(self, now, server, turn):
        if turn and server in self.resting and server not in self.turns:
            self.turns[server] = now + TURN

    def decide(self, now, seen, writer):
        """What the evidence comes to now. A rest ends when trials went well, or when there is no evidence any more."""
        bad = judge.at_fault(
            seen,
            self.sharers(),
            self.servers(),
            [server for server, told in self.resting.items() if told.ramp_at is None],
        )
        self.trouble = set(judge.own_trouble(seen, self.uid))
        for server, part in bad.items():
            resting = self.resting.get(server)
            if resting is None or resting.ramp_at is not None:
                self.resting[server] = Resting(now, f"{part:.2f} of {judge.pooled(seen[server])[1]} failed")
        alone = []
        for server, resting in list(self.resting.items()):
            part, tries, _ = judge.pooled(seen.get(server, {}))
            if resting.ramp_at is None and not tries:
                alone.append(server)
            elif resting.ramp_at is None and server not in bad and tries >= judge.CLEAR and part < judge.WELL:
                resting.ramp_at = now
            if server in alone or resting.ramp_at is not None and now - resting.ramp_at >= RAMP:
                del self.resting[server]
        self.turns = {
            server: until for server, until in self.turns.items() if until > now and server in self.resting
        }
        self.say(now, seen, alone, writer)

    def say(self, now, seen, alone, writer):
        rows = []
        for server, resting in self.resting.items():
            if judge.outweighs(seen.get(server, {}).get(self.uid, (0, 0))):
                continue
            how = (
                ("ramp", resting.ramp_at + RAMP)
                if resting.ramp_at is not None
                else ("trial", self.turns[server])
                if server in self.turns
                else ("rest", now + T)
            )
            rows.append((*server, how[0], round(how[1] - now, 3)))
        saying = {row[:2] for row in rows}
        rows += [
            (*server, "alone" if server in alone else "well", 0.0) for server in sorted(self.told - saying)
        ]
        self.told = saying
        if rows:
            writer.post_event(OutlierVerdictsChanged(rows))

    def tell(self, now, writer):
        """Nothing that ends by itself: what is said to the decisions has its end with it."""

    def shown(self, now):
        """(server, state, for how many seconds, why, witnesses, tries, failed, own trouble) of each in question."""
        rows = []
        for server in sorted(self.asked.keys() | self.resting.keys()):
            witnesses, resting = self.evidence.of(server, now), self.resting.get(server)
            state = "well" if resting is None else "resting" if resting.ramp_at is None else "coming back"
            rows.append(
                (
                    server[0],
                    state,
                    round(now - resting.since, 1) if resting else 0.0,
                    resting.why if resting else "",
                    len(witnesses),
                    sum(t for t, _ in witnesses.values()),
                    sum(f for _, f in witnesses.values()),
                    int(server in self.trouble),
                )
            )
        return rows
