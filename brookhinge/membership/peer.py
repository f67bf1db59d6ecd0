"""One router's part in the fleet's view: SWIM's probing and news, Lifeguard's local health, full exchange by buckets.

    peer.round(now, inbox, writer)     inbox: (sender's claim, digests, news, notices, method, values), as codec.py reads
    writer.send(address, method, values, news, notices)
    writer.changed(change, name, by)        joined, suspected, cleared, lost, back, left, restarted, moved, taken ...
    writer.notice(kind, values, by)        tightening news of the decisions, once each: see `spread`
    peer.next_at()                     when a round is due though nothing came

No I/O and no clock; chance is the caller's. Times are seconds of the caller's monotonic clock."""

import math

from brookhinge.membership.view import ALIVE, LEFT, LOST, SUSPECTED, View

NEWS, NOTICES = 8, 6  # claims and notices in one datagram: it stays under 1,400 bytes
NOTICES_KEPT, NOTICE_KEPT_S = 512, 30.0
REPEATED_NOTICES = 2  # notices of late that ride on a probe though they were told often enough
HELPERS, EAGER = 3, 4  # who are asked to probe for another; to whom a notice goes on at once


class Pace:
    """The protocol's own times, in seconds; each is stretched by local health where that stands."""

    probe, timeout = 0.5, 0.15  # between two probes; for a direct answer
    gossip = 0.1  # between two sendings of what is news, as long as any is
    retry = 2.0  # between two tries of one that is lost
    exchange = 5.0  # least time between two exchanges that this router begins
    remember = 600.0  # how long the lost are tried and the gone remembered
    seek = 1.0  # between two tries of the addresses to join by, while alone


class Suspicion:
    """Lifeguard: the deadline shortens as independent witnesses confirm."""

    __slots__ = ("since", "witnesses", "longest", "shortest")
    CONFIRM = 3

    def __init__(self, now, by, count):
        self.since, self.witnesses = now, {by}
        self.shortest = 4.0 * max(1.0, math.log10(max(1, count))) * Pace.probe
        self.longest = 4.0 * self.shortest

    def ends(self):
        part = math.log(len(self.witnesses)) / math.log(self.CONFIRM + 1)
        return self.since + max(self.shortest, self.longest - (self.longest - self.shortest) * part)


class Peer:
    def __init__(self, name, address, zone, version, born, seeds, chance, now):
        """born: milliseconds of the wall clock at the start; seeds: addresses to join by, any of which will do."""
        self.name, self.chance, self.seeds = name, chance, [s for s in seeds if s != address]
        self.uid, self.version = chance.getrandbits(62), version
        self.view = View(Pace.remember)
        self.view.take(now, (name, self.uid, born, born, ALIVE, *address, zone, version, 0.0), name)
        self.suspicions, self.news, self.notices, self.seen = {}, {}, {}, {}
        self.health, self.order, self.probing, self.helping, self.nonce = 0, [], None, {}, 0
        self.last = now
        self.probe_at = now + Pace.probe * chance.random()
        self.retry_at = now + Pace.retry * chance.random()
        self.exchange_at, self.seek_at, self.gossip_at, self.forget_at = now, now, now, now + 10.0
        self.out = False  # the name is another's: this process stays out
        self.contest = None  # (nonce, until, claim): asking whether an older holder of the name lives

    # what others call

    def spread(self, now, kind, values, writer):
        """Tells all peers something that tightens a rule: a drain, a purge, a server gone."""
        self.receive_notice(now, (kind, *values), self.name, writer)

    def leave(self, now, writer):
        """The claim of leaving goes to as many as will carry it on."""
        me = self.view.index[self.name]
        name, uid, born, inc, _, *rest = self.view.claim(me, now)
        if not self.out:
            self.view.take(now, (name, uid, born, inc, LEFT, *rest), name)
            for i in self.some(EAGER * 2):
                self.send(i, "tell", (), writer, [self.view.claim(me, now)])
        self.out = True

    def members(self):
        """(name, state, since, by whose claim, address, zone, version) of each."""
        v = self.view
        return list(zip(v.names, v.state, v.since, v.by, v.address, v.zone, v.version))

    def next_at(self):
        if self.out:
            return math.inf
        times = [self.probe_at, self.retry_at, self.forget_at]
        times += [self.probing[3]] if self.probing else []
        times += [s.ends() for s in self.suspicions.values()]
        times += [until for _, _, until in self.helping.values()]
        times += [self.gossip_at] if self.news or any(n for n, _, _ in self.notices.values()) else []
        times += [self.seek_at] if self.alone() else []
        times += [self.contest[1]] if self.contest else []
        return min(times)

    # a round

    def round(self, now, inbox, writer):
        if self.out:
            return
        if now - self.last > 2.0 * Pace.probe:
            self.woke(now, now - self.last)
        self.last = now
        for message in inbox:
            self.receive(now, message, writer)
            if self.out:
                return
        self.contested(now, writer)
        self.judge(now, writer)
        self.probe(now, writer)
        self.seek(now, writer)
        if now >= self.gossip_at:
            self.gossip(now, writer)
        if now >= self.forget_at:
            self.forget_at = now + 10.0
            self.forget(now)
            self.notices = {
                key: notice for key, notice in self.notices.items() if now - notice[1] < NOTICE_KEPT_S
            }

    def forget(self, now):
        """Who has been gone for long is dropped; places close up, and what is kept by place moves with them."""
        named = [
            (kept, {self.view.names[i]: value for i, value in kept.items()})
            for kept in (self.news, self.suspicions)
        ]
        if self.view.forget(now):
            self.probing, self.helping = None, {}
            for kept, by_name in named:
                kept.clear()
                kept.update(
                    (self.view.index[name], value)
                    for name, value in by_name.items()
                    if name in self.view.index
                )

    def woke(self, now, gap):
        """Frozen or starved: what ran out meanwhile ran out unwatched. Nobody is condemned for it."""
        self.health = min(8, self.health + 2)
        for suspicion in self.suspicions.values():
            suspicion.since += gap
        self.probing, self.helping = None, {}
        self.probe_at = now
        if self.contest:
            self.contest = (self.contest[0], self.contest[1] + gap, self.contest[2])

    def receive(self, now, message, writer):
        claim, digests, news, notices, method, values = message
        if claim[1] == self.uid:
            return
        change = self.believe(now, claim, claim[0], writer)
        for one in news:
            self.believe(now, one, claim[0], writer)
        for notice in notices:
            self.receive_notice(now, notice, claim[0], writer)
        if self.out:
            return
        i = self.view.index.get(claim[0])
        if i is None or self.view.uid[i] != claim[1]:  # another holds that name: it is told so
            if method == "ping" and values[1] == self.uid:  # it asks whether this process lives
                writer.send(claim[5:7], "ack", values[:1], [], [])
            elif method == "ack":
                self.acked(values[0], writer)
            elif (
                i is not None and method != "tell"
            ):  # a tell is never answered by one: two would go on for good
                writer.send(claim[5:7], "tell", (), [self.view.claim(i, now)], [])
            return
        foreign = self.view.version[i] != self.version  # claims and probes it can read, and no more
        if self.view.state[i] != ALIVE and foreign:  # it lives, and is told what is said of it
            self.ping(i, 0, writer)
        elif self.view.state[i] != ALIVE and method != "tell":
            self.send(i, "tell", (), writer, [self.view.claim(i, now)])
        if change in ("joined", "restarted", "back"):
            self.catch_up(now, i, foreign, writer)
        if method not in ("tell", "rows", "buckets") and not foreign:
            self.compare(now, i, digests, writer)
        if method == "ping":
            nonce, uid, inc, state = values
            if state != ALIVE and inc >= self.view.inc[self.view.index[self.name]]:
                self.denied(now, inc, state)
            if uid in (0, self.uid):
                self.send(i, "ack", (nonce,), writer)
        elif method == "ack":
            self.acked(values[0], writer)
        elif method == "ask":
            nonce, host, port, uid = values
            self.nonce += 1
            self.helping[self.nonce] = (i, nonce, now + Pace.timeout)
            writer.send((host, port), "ping", (self.nonce, uid, 0, ALIVE), *self.cargo(now))
        elif method == "nack":
            if self.probing and values[0] == self.probing[1]:
                self.probing[4].add(claim[0])
        elif method == "buckets":
            self.answer_buckets(now, i, values, writer)

    def believe(self, now, claim, by, writer):
        """Merges a claim, answers one about this process, and passes on what is new."""
        name, uid, born, inc, state = claim[:5]
        me = self.view.index[self.name]
        if name == self.name:
            if uid != self.uid:
                self.rival(now, claim, writer)
            elif state != ALIVE and inc >= self.view.inc[me]:  # not so: said with a higher incarnation
                self.denied(now, inc, state)
            return None
        i = self.view.index.get(name)
        if (
            i is not None
            and state == SUSPECTED
            and i in self.suspicions
            and self.view.uid[i] == uid
            and self.view.inc[i] == inc
            and by not in self.suspicions[i].witnesses
            and len(self.suspicions[i].witnesses) <= Suspicion.CONFIRM
        ):
            self.suspicions[i].witnesses.add(by)
            self.news[i] = self.repeats()
        change = self.view.take(now, claim, by)
        if change is None:
            return None
        i = self.view.index[name]
        self.news[i] = self.repeats()
        self.suspicions.pop(i, None)
        if self.view.state[i] == SUSPECTED:
            self.suspicions[i] = Suspicion(now, by, len(self.view.names))
        if change != "renewed":
            writer.changed(change, name, by)
        return change

    def denied(self, now, inc, state):
        """Others say that this process is suspected or worse."""
        self.health = min(8, self.health + (state == SUSPECTED))
        self.assert_self(now, inc)

    def assert_self(self, now, inc):
        """Outbids an incarnation that others claim under this name, unless it is outbid already."""
        me = self.view.index[self.name]
        if inc >= self.view.inc[me]:
            name, uid, born, _, _, *rest = self.view.claim(me, now)
            self.view.take(now, (name, uid, born, inc + 1, ALIVE, *rest), name)
            self.news[me] = self.repeats()

    def call(self, now, i, state, writer):
        """This router's own claim that a member is suspected or lost."""
        claim = self.view.claim(i, now)
        self.believe(now, (*claim[:4], state, *claim[5:]), self.name, writer)

    def rival(self, now, claim, writer):
        """Another process under this name: one before this one, or one beside it. The older start keeps the name, if
        it lives; whether it does, it alone can say."""
        me = self.view.index[self.name]
        _, uid, born, inc, state, host, port = claim[:7]
        if (
            state in (LOST, LEFT)
            or (host, port) == self.view.address[me]
            or (born, uid) > (self.view.born[me], self.uid)
        ):
            self.assert_self(now, inc)
        elif self.contest is None:
            self.nonce += 1
            self.contest = (self.nonce, now + 8.0 * Pace.timeout, claim)
            writer.send((host, port), "ping", (self.nonce, uid, 0, ALIVE), *self.cargo(now))

    def contested(self, now, writer):
        if self.contest and now >= self.contest[1]:  # it does not answer: a process of the past
            claim, self.contest = self.contest[2], None
            self.assert_self(now, claim[3])

    def acked(self, nonce, writer):
        if self.contest and nonce == self.contest[0]:
            self.out = True
            writer.changed("taken", self.name, "%s:%d" % self.contest[2][5:7])
        elif self.probing and nonce == self.probing[1]:
            self.probing, self.health = None, max(0, self.health - 1)
        elif nonce in self.helping:
            i, theirs, _ = self.helping.pop(nonce)
            self.send(i, "ack", (theirs,), writer)

    # probing

    def stretch(self):
        return 1.0 + self.health

    def probe(self, now, writer):
        v = self.view
        for nonce, (i, theirs, until) in list(self.helping.items()):
            if now >= until:
                del self.helping[nonce]
                if i < len(v.names):
                    self.send(i, "nack", (theirs,), writer)
        if self.probing and now >= self.probing[3]:
            i, nonce, stage, _, nacks, asked, uid = self.probing
            if i >= len(v.names) or v.uid[i] != uid:
                self.probing = None
            elif stage == 0:
                helpers = [h for h in self.some(HELPERS + 1, True) if h != i][:HELPERS]
                for h in helpers:
                    self.send(h, "ask", (nonce, *v.address[i], v.uid[i]), writer)
                self.ping(i, nonce, writer)  # a datagram lost is no silence
                self.probing = (
                    i,
                    nonce,
                    1,
                    now + (Pace.probe - Pace.timeout) * self.stretch(),
                    set(),
                    len(helpers),
                    uid,
                )
            else:
                self.probing = None
                silent = asked - len(nacks)  # helpers that did not even say that they failed: is it us?
                self.health = min(8, max(0, self.health + (silent if asked else 1)))
                if v.state[i] == ALIVE:
                    self.call(now, i, SUSPECTED, writer)
        if now >= self.probe_at and self.probing is None:
            i = self.next_probed()
            self.probe_at = now + Pace.probe * self.stretch()
            if i is not None:
                self.nonce += 1
                self.probing = (i, self.nonce, 0, now + Pace.timeout * self.stretch(), (), 0, v.uid[i])
                self.ping(i, self.nonce, writer)
        elif now >= self.probe_at:
            self.probe_at = self.probing[3]
        if now >= self.retry_at:
            self.retry_at = now + Pace.retry
            lost = [i for i, state in enumerate(v.state) if state == LOST]
            if lost:
                i = self.chance.choice(lost)
                self.ping(i, 0, writer, anybody=True)

    def ping(self, i, nonce, writer, anybody=False):
        """Asks a member whether it lives, and says what is believed of it: it denies what is not so. anybody: also
        another process at its address may answer. With one of another version no digests are compared: some claims
        at random ride along instead."""
        v = self.view
        first = (
            [
                v.claim(k, self.last)
                for k in self.chance.sample(range(len(v.names)), min(NEWS // 2, len(v.names)))
            ]
            if v.version[i] != self.version
            else []
        )
        self.send(
            i,
            "ping",
            (nonce, 0 if anybody else v.uid[i], v.inc[i], v.state[i]),
            writer,
            first,
            REPEATED_NOTICES,
        )

    def next_probed(self):
        """Each in turn, in an order drawn anew each time all were probed."""
        while True:
            if not self.order:
                self.order = [
                    self.view.names[i] for i in self.view.living() if self.view.names[i] != self.name
                ]
                self.chance.shuffle(self.order)
                if not self.order:
                    return None
            i = self.view.index.get(self.order.pop())
            if i is not None and self.view.state[i] in (ALIVE, SUSPECTED):
                return i

    def judge(self, now, writer):
        for i, suspicion in list(self.suspicions.items()):
            if now >= suspicion.ends():
                self.call(now, i, LOST, writer)

    # news

    def repeats(self):
        return 3 * math.ceil(math.log10(len(self.view.names) + 1)) + 1

    def some(self, count, alike=False):
        """That many of the living at random, but not itself; alike: who read all that this one writes."""
        v = self.view
        living = [
            i for i in v.living() if v.uid[i] != self.uid and (not alike or v.version[i] == self.version)
        ]
        return self.chance.sample(living, min(count, len(living)))

    def cargo(self, now, first=(), again=0):
        """What rides along on a datagram: news and notices told least often so far. again: so many notices besides that have
        been told often enough: who has not received one by then would else never do."""
        claims, notices = list(first), []
        for i in sorted(self.news, key=self.news.get, reverse=True)[: NEWS - len(claims)]:
            self.news[i] -= 1
            if self.news[i] <= 0:
                del self.news[i]
            claims.append(self.view.claim(i, now))
        for key in sorted(
            (k for k, w in self.notices.items() if w[0] > 0), key=lambda k: -self.notices[k][0]
        )[:NOTICES]:
            left, at, notice = self.notices[key]
            self.notices[key] = left - 1, at, notice
            notices.append(notice)
        settled = [notice for left, _, notice in self.notices.values() if left <= 0]
        notices += self.chance.sample(settled, min(again, len(settled), NOTICES - len(notices)))
        return claims, notices

    def send(self, i, method, values, writer, first=(), again=0):
        writer.send(self.view.address[i], method, values, *self.cargo(self.last, first, again))

    def gossip(self, now, writer):
        self.gossip_at = now + Pace.gossip
        if self.news or any(left > 0 for left, _, _ in self.notices.values()):
            for i in self.some(HELPERS):
                self.send(i, "tell", (), writer)

    def receive_notice(self, now, notice, by, writer):
        """A notice that tightens binds at once, is told once, and goes on at once."""
        if notice in self.seen:
            return
        if len(self.notices) >= NOTICES_KEPT:
            del self.notices[next(iter(self.notices))]
        self.seen[notice] = None
        while len(self.seen) > 4 * NOTICES_KEPT:
            del self.seen[next(iter(self.seen))]
        self.notices[notice] = self.repeats(), now, notice
        if by != self.name:
            writer.notice(notice[0], notice[1:], by)
        for i in self.some(EAGER):
            self.send(i, "tell", (), writer)

    def catch_up(self, now, i, foreign, writer):
        """Who has just come, or come back, has received none of the notices of late; of another version, it gets the view."""
        if foreign:
            if now >= self.exchange_at:
                self.exchange_at = now + Pace.exchange
                self.rows(now, i, range(len(self.view.names)), writer)
            return
        notices = [notice for _, _, notice in self.notices.values()]
        for at in range(0, len(notices), NOTICES):
            writer.send(self.view.address[i], "tell", (), [], notices[at : at + NOTICES])

    # exchange

    def compare(self, now, i, digests, writer):
        """Views that differ though little is news: the parts that do are sent, one way and then the other."""
        if digests != self.view.digest() and now >= self.exchange_at and not self.news:
            self.exchange_at = now + (Pace.exchange if len(self.view.names) > 2 else Pace.probe)
            self.send(i, "buckets", tuple(self.view.digests), writer)

    def answer_buckets(self, now, i, theirs, writer):
        """Rows of the buckets that differ; at times the own digests too, for the rows that are lacking here."""
        v = self.view
        self.rows(
            now, i, [k for k in range(len(v.names)) if theirs[v.bucket(k)] != v.digests[v.bucket(k)]], writer
        )
        if now >= self.exchange_at:
            self.exchange_at = now + Pace.exchange
            self.send(i, "buckets", tuple(v.digests), writer)

    def rows(self, now, i, places, writer):
        v = self.view
        for at in range(0, len(places), NEWS):
            writer.send(v.address[i], "rows", (), [v.claim(k, now) for k in places[at : at + NEWS]], [])

    # joining

    def alone(self):
        return bool(self.seeds) and len(self.view.living()) <= 1

    def seek(self, now, writer):
        """While nobody is known: the addresses of the list, one after another. Nobody there is a state, no error."""
        if now >= self.seek_at and self.alone():
            self.seek_at = now + Pace.seek * (0.5 + self.chance.random())
            for address in self.chance.sample(self.seeds, min(3, len(self.seeds))):
                writer.send(address, "ping", (0, 0, 0, ALIVE), *self.cargo(now))
