"""One router's part in the fleet's view: SWIM's probing and news, Lifeguard's local health, full exchange by buckets.

    peer.round(now, inbox, writer)     inbox: (sender's claim, digests, news, notices, method, values), as codec.py reads
    writer.send(address, method, values, news, notices)
    writer.changed(change, name, by)        joined, suspected, cleared, lost, back, left, restarted, moved, taken ...
    writer.notice(kind, values, by)        tightening news of the decisions, once each: see `spread`
    peer.next_at()                     when a round is due though nothing came

No I/O and no clock; chance is the caller's. Times are seconds of the caller's monotonic clock."""

import math

from brookhinge.membership.broadcast_queue import Rumors
from brookhinge.membership.byte_budget import DATAGRAM, FULL_DATAGRAM, PACKED_CLAIM, PLAIN_CLAIM, ByteBudget
from brookhinge.membership.fleet_size import sharers
from brookhinge.membership.view import ALIVE, BUCKETS, LEFT, LOST, SHIFTS, SUSPECTED, View

NEWS, NOTICES = 8, 6  # claims and notices in one datagram: it stays under 1,400 bytes
PIGGYBACK = 4  # claims that ride on a probe
GOSSIP_CLAIMS = 32  # compressed claims in one datagram of gossip
FANOUT = 3  # members to whom claims go at each sending
REPEATS = 3  # times that one member tells a claim; see docs/design/membership.md
URGENT_REPEATS, WITNESS_REPEATS = (
    5,
    2,
)  # in a large fleet, of a suspicion and what answers it; for each new witness
ROWS, BUCKET_BYTES = 48, 136  # claims in an answer of an exchange; bytes of the digests that ask for it
GOSSIP_RATE, GOSSIP_BURST = 300.0, 5000.0  # bytes a second, and at once, for claims of joins and leaves
ANSWER_RATE, ANSWER_BURST = 1500.0, 16_000.0  # the same for rows to others
CATCH_UP_RATE = 850.0  # bytes a second at which a member that has only started fetches the view,
START_RATE = 2500.0  # or where the others have only started too: the whole fleet does
LARGE, LARGEST_SLOWNESS = (
    210,
    2.5,
)  # members from which on probes and gossip come less often, how much at most
INTRODUCED = 3  # members that one who has only started is told of by each that it asks first
AGREED_STARTING = 3  # started members in a row that know nobody more: then it is the whole view
UNANSWERED = ("tell", "gossip", "rows")  # two that answered these by a tell would go on for good
UNSETTLED = 0  # the digest of a member that has only started: no view is compared with it
NOTICES_KEPT, NOTICE_KEPT_S = 512, 30.0
REPEATED_NOTICES = 2  # notices of late that ride on a probe though they were told often enough
HELPERS, EAGER = 3, 4  # who are asked to probe for another; to whom a notice goes on at once


class Pace:
    """The protocol's own times, in seconds; each is stretched by local health where that stands."""

    probe, timeout = 0.5, 0.15  # between two probes; for a direct answer
    gossip = 0.1  # between two sendings of what is news, as long as any is
    retry = 2.0  # between two tries of one that is lost
    exchange = 5.0  # least time between two exchanges that this router begins
    catch_up = 0.6  # till the next member is asked for rows, while it has only started
    introductions = 0.2  # before it asks the first one, so that it knows of several
    joining = 60.0  # how long that is at most
    remember = 600.0  # how long the lost are tried and the gone remembered
    seek = 1.0  # between two tries of the addresses to join by, while alone


class Suspicion:
    """Lifeguard: the deadline shortens as independent witnesses confirm."""

    __slots__ = ("since", "first", "witnesses", "longest", "shortest")
    CONFIRM = 3

    def __init__(self, now, by, count):
        self.since, self.first, self.witnesses = now, by, {by}
        self.shortest = 4.0 * max(1.0, math.log10(max(1, count))) * Pace.probe
        self.longest = 4.0 * self.shortest

    def ends(self):
        part = math.log(len(self.witnesses)) / math.log(self.CONFIRM + 1)
        return self.since + max(self.shortest, self.longest - (self.longest - self.shortest) * part)


class Probe:
    """A probe under way: asked once, asked again, then by helpers too."""

    __slots__ = ("place", "uid", "nonce", "tries", "until", "nacks", "helpers")

    def __init__(self, place, uid, nonce, until):
        self.place, self.uid, self.nonce, self.until = place, uid, nonce, until
        self.tries, self.nacks, self.helpers = 1, set(), 0


class Peer:
    def __init__(self, name, address, zone, version, born, seeds, chance, now):
        """born: milliseconds of the wall clock at the start; seeds: addresses to join by, any of which will do."""
        self.name, self.chance, self.seeds = name, chance, [s for s in seeds if s != address]
        self.uid, self.version = chance.getrandbits(62), version
        self.view = View(Pace.remember)
        self.view.take(now, (name, self.uid, born, born, ALIVE, *address, zone, version, 0.0), name)
        self.suspicions, self.rumors, self.notices, self.seen = {}, Rumors(), {}, {}
        self.budget = ByteBudget(GOSSIP_RATE, GOSSIP_BURST, now)
        self.answers = ByteBudget(ANSWER_RATE, ANSWER_BURST, now)
        self.joining_until, self.agreed = now + Pace.joining, 0  # agreed: members in a row that knew no more
        self.health, self.order, self.probing, self.helping, self.nonce = 0, [], None, {}, 0
        self.last = now
        self.probe_at = now + Pace.probe * chance.random()
        self.retry_at = now + Pace.retry * chance.random()
        self.seek_at, self.gossip_at, self.forget_at = now, now, now + 10.0
        self.exchange_at = now + Pace.introductions
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

    def sharers(self, now, lease_s, configured, zone=None):
        """By how many a limit of the fleet is divided: see counting.py. Who has only started may have been told that
        members left, and not yet that they are back: nobody's share is free for it."""
        return sharers(self.view, now, math.inf if self.joining() else lease_s, configured, zone)

    def next_at(self):
        if self.out:
            return math.inf
        times = [self.probe_at, self.retry_at, self.forget_at]
        times += [self.probing.until] if self.probing else []
        times += [s.ends() for s in self.suspicions.values()]
        times += [until for _, _, until in self.helping.values()]
        if self.notices_pending() or self.rumors.urgent():
            times.append(self.gossip_at)
        elif self.rumors.pending():
            times.append(max(self.gossip_at, self.budget.ready_at()))
        times += [self.seek_at] if self.alone() else [self.exchange_at] if self.joining() else []
        times += [self.contest[1]] if self.contest else []
        return min(times)

    # a round

    def round(self, now, inbox, writer):
        if self.out:
            return
        if now - self.last > 2.0 * self.probe_interval():
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
        self.catch_up(now, writer)
        if now >= self.gossip_at:
            self.gossip(now, writer)
        if now >= self.forget_at:
            self.forget_at = now + 10.0
            self.forget(now)
            self.notices = {
                key: notice for key, notice in self.notices.items() if now - notice[1] < NOTICE_KEPT_S
            }

    def forget(self, now):
        """Who has been gone for long is dropped; places close up, and suspicions, kept by place, move with them."""
        suspicions = {self.view.names[i]: suspicion for i, suspicion in self.suspicions.items()}
        if self.view.forget(now):
            self.probing, self.helping = None, {}
            self.suspicions = {
                self.view.index[name]: suspicion
                for name, suspicion in suspicions.items()
                if name in self.view.index
            }

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
        # to who has only started all is new, though to nobody else: of that it passes on gossip alone
        if method == "rows":
            repeats = 0 if self.joining() else REPEATS // 2
        else:
            repeats = 0 if self.joining() and method != "gossip" else REPEATS
        known = len(self.view.names)
        change = self.believe(now, claim, claim[0], writer, repeats)
        for one in news:
            self.believe(now, one, claim[0], writer, repeats)
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
            elif i is not None and method not in UNANSWERED:
                writer.send(claim[5:7], "tell", (), [self.view.claim(i, now)], [])
            return
        foreign = self.view.version[i] != self.version  # claims and probes it can read, and no more
        if self.view.state[i] != ALIVE and foreign:  # it lives, and is told what is said of it
            self.ping(i, 0, writer)
        elif self.view.state[i] != ALIVE and method not in UNANSWERED:
            self.send(i, "tell", (), writer, [self.view.claim(i, now)])
        if change in ("joined", "restarted", "back"):
            self.welcome(now, i, foreign, writer)
        if method == "rows" and self.joining():
            rate = START_RATE if digests == UNSETTLED else CATCH_UP_RATE
            self.exchange_at = now + (DATAGRAM + BUCKET_BYTES + PACKED_CLAIM * len(news)) / rate
            self.agreed = 0 if len(self.view.names) > known else self.agreed + 1
            if self.agreed >= (AGREED_STARTING if digests == UNSETTLED else 1):
                self.joining_until = now
        if method not in ("tell", "gossip", "rows", "buckets") and not foreign:
            self.compare(now, i, digests, writer)
        if method == "ping":
            nonce, uid, inc, state = values
            if state != ALIVE and inc >= self.view.inc[self.view.index[self.name]]:
                self.denied(now, inc, state)
            if uid in (0, self.uid):
                claims = self.lacking(now, digests, foreign)
                if uid == 0 and digests == UNSETTLED and not foreign:
                    claims = self.introduction(now)
                writer.send(self.view.address[i], "ack", (nonce,), *self.cargo(now, claims))
        elif method == "ack":
            self.acked(values[0], writer)
            lacking = self.lacking(now, digests, foreign)
            if lacking:
                writer.send(self.view.address[i], "gossip", (), lacking, [])
        elif method == "ask":
            nonce, host, port, uid = values
            self.nonce += 1
            self.helping[self.nonce] = (i, nonce, now + Pace.timeout)
            writer.send((host, port), "ping", (self.nonce, uid, 0, ALIVE), *self.cargo(now))
        elif method == "nack":
            if self.probing and values[0] == self.probing.nonce:
                self.probing.nacks.add(claim[0])
        elif method == "buckets":
            self.answer_buckets(now, i, values, writer)

    def believe(self, now, claim, by, writer, repeats=REPEATS):
        """Merges a claim, answers one about this process, and passes on what is new so many times."""
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
            self.rumors.add(name, now, self.urgent_repeats(WITNESS_REPEATS), urgent=True)
        change = self.view.take(now, claim, by)
        if change is None:
            self.rumors.received_again(name)
            return None
        i = self.view.index[name]
        if state == SUSPECTED or change in ("cleared", "back", "lost"):
            self.rumors.add(name, now, self.urgent_repeats(URGENT_REPEATS), urgent=True)
        elif repeats:
            if not self.rumors.pending():  # more of the kind comes right behind: one datagram for all
                self.gossip_at = max(self.gossip_at, now + self.gossip_interval())
            self.rumors.add(name, now, repeats)
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
            self.rumors.add(name, now, self.urgent_repeats(URGENT_REPEATS), urgent=True)

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
        elif self.probing and nonce == self.probing.nonce:
            self.probing, self.health = None, max(0, self.health - 1)
        elif nonce in self.helping:
            i, theirs, _ = self.helping.pop(nonce)
            self.send(i, "ack", (theirs,), writer)

    # probing

    def stretch(self):
        return 1.0 + self.health

    def probe_interval(self):
        """Seconds between two probes: in a large fleet they are most of what the view costs."""
        return Pace.probe * (LARGEST_SLOWNESS if self.joining() else self.slowness())

    def slowness(self):
        """By how much probes and gossip come less often in a large fleet."""
        return min(LARGEST_SLOWNESS, max(1.0, len(self.view.names) / LARGE))

    def probe(self, now, writer):
        v = self.view
        for nonce, (i, theirs, until) in list(self.helping.items()):
            if now >= until:
                del self.helping[nonce]
                if i < len(v.names):
                    self.send(i, "nack", (theirs,), writer)
        if self.probing and now >= self.probing.until:
            self.probe_unanswered(now, self.probing, writer)
        if now >= self.probe_at and self.probing is None:
            i = self.next_probed()
            self.probe_at = now + self.probe_interval() * self.stretch()
            if i is not None:
                self.nonce += 1
                self.probing = Probe(i, v.uid[i], self.nonce, now + Pace.timeout * self.stretch())
                self.ping(i, self.nonce, writer)
            self.ask_suspects(writer)
        elif now >= self.probe_at:
            self.probe_at = self.probing.until
        if now >= self.retry_at:
            self.retry_at = now + Pace.retry
            lost = [i for i, state in enumerate(v.state) if state == LOST]
            if lost:
                i = self.chance.choice(lost)
                self.ping(i, 0, writer, anybody=True)

    def ask_suspects(self, writer):
        """Who suspected a member first goes on asking it: one datagram that comes through lets it deny."""
        for i, suspicion in self.suspicions.items():
            if suspicion.first == self.name:
                self.ping(i, 0, writer)

    def probe_unanswered(self, now, probe, writer):
        """A datagram lost is no silence: it is asked once more, then helpers ask it too, then it is suspected."""
        view, i = self.view, probe.place
        if i >= len(view.names) or view.uid[i] != probe.uid:
            self.probing = None
        elif probe.tries == 1:
            probe.tries, probe.until = 2, now + Pace.timeout * self.stretch()
            self.ping(i, probe.nonce, writer)
        elif probe.tries == 2:
            helpers = [h for h in self.some(HELPERS + 1, True) if h != i][:HELPERS]
            for h in helpers:
                self.send(h, "ask", (probe.nonce, *view.address[i], view.uid[i]), writer)
            probe.tries, probe.helpers = 3, len(helpers)
            probe.until = now + (Pace.probe - Pace.timeout) * self.stretch()
        else:
            self.probing = None
            silent = probe.helpers - len(
                probe.nacks
            )  # helpers that did not even say that they failed: is it us?
            self.health = min(8, max(0, self.health + (silent if probe.helpers else 1)))
            if view.state[i] == ALIVE:
                self.call(now, i, SUSPECTED, writer)

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

    def many(self):
        """How often a notice is told on by each: then nearly everybody has received it."""
        return 3 * math.ceil(math.log10(len(self.view.names) + 1)) + 1

    def urgent_repeats(self, in_a_large_fleet):
        """How often a suspicion, or what answers it, is told on by each. In a large fleet each comes from many sides."""
        return self.many() if len(self.view.names) < LARGE else in_a_large_fleet

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
        if not claims and self.may_gossip(now):
            claims = [self.view.claim(i, now) for i in self.places(self.rumors.take(PIGGYBACK))]
            self.budget.spend(PLAIN_CLAIM * len(claims))
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

    def may_gossip(self, now):
        """Whether claims are to be told and may be: suspicions and what answers them at any time."""
        return self.rumors.urgent() or self.rumors.pending() and self.budget.allows(now)

    def places(self, names):
        return [self.view.index[name] for name in names if name in self.view.index]

    def notices_pending(self):
        return any(left > 0 for left, _, _ in self.notices.values())

    def gossip_interval(self):
        if self.rumors.urgent() or self.notices_pending():
            return Pace.gossip
        return Pace.gossip * self.slowness()

    def gossip(self, now, writer):
        """What is new goes to a few at random: claims as the budget has it, notices always."""
        self.gossip_at = now + self.gossip_interval()
        self.rumors.expire(now, self.view.index)
        claims, fanout = [], HELPERS
        if self.may_gossip(now):
            fanout = HELPERS if self.rumors.urgent() else FANOUT
            names = self.rumors.take(GOSSIP_CLAIMS, fanout)
            claims = [self.view.claim(i, now) for i in self.places(names)]
        if claims or self.notices_pending():
            for i in self.some(HELPERS if self.notices_pending() else fanout):
                self.tell(now, i, claims, writer)

    def tell(self, now, i, claims, writer):
        """Claims, and the notices that ride along, to one member."""
        if self.view.version[i] != self.version:
            writer.send(self.view.address[i], "tell", (), claims[:NEWS], [])
            return
        _, notices = self.cargo(now, claims or [self.view.claim(self.view.index[self.name], now)])
        if claims:
            self.budget.spend(DATAGRAM + PACKED_CLAIM * len(claims))
        writer.send(self.view.address[i], "gossip", (), claims, notices)

    def lacking(self, now, digests, foreign):
        """Claims of late for a member whose view differs: it may have missed one of them."""
        if foreign or digests in (UNSETTLED, self.view.digest()) or not self.answers.allows(now):
            return []
        self.rumors.expire(now, self.view.index)
        names = self.rumors.recent(NEWS, self.chance)
        self.answers.spend(PLAIN_CLAIM * len(names))
        return [self.view.claim(i, now) for i in self.places(names)]

    def receive_notice(self, now, notice, by, writer):
        """A notice that tightens binds at once, is told once, and goes on at once."""
        if notice in self.seen:
            return
        if len(self.notices) >= NOTICES_KEPT:
            del self.notices[next(iter(self.notices))]
        self.seen[notice] = None
        while len(self.seen) > 4 * NOTICES_KEPT:
            del self.seen[next(iter(self.seen))]
        self.notices[notice] = self.many(), now, notice
        if by != self.name:
            writer.notice(notice[0], notice[1:], by)
        for i in self.some(EAGER):
            self.send(i, "tell", (), writer)

    def welcome(self, now, i, foreign, writer):
        """Who has just come, or come back, has received none of the notices of late; of another version, it gets the view."""
        if foreign:
            if now >= self.exchange_at:
                self.exchange_at = now + Pace.exchange
                self.whole_view(now, i, writer)
            return
        notices = [notice for _, _, notice in self.notices.values()]
        for at in range(0, len(notices), NOTICES):
            writer.send(self.view.address[i], "tell", (), [], notices[at : at + NOTICES])

    # exchange

    def digest(self):
        """The view's digest, or that of a member that has only started."""
        return UNSETTLED if self.joining() else self.view.digest()

    def joining(self):
        """Whether this member has only started: it fetches the view, and nobody need fetch anything from it."""
        return self.last < self.joining_until

    def compare(self, now, i, digests, writer):
        """Views that differ though little is news: the digests of their parts go over, and rows come back."""
        if digests == self.view.digest():
            self.joining_until = now
        elif digests != UNSETTLED and not self.joining() and not self.may_gossip(now):
            if now >= self.exchange_at:
                self.exchange_at = now + self.exchange_interval()
                self.ask_for_rows(i, writer)

    def ask_for_rows(self, i, writer):
        shift = self.chance.randrange(SHIFTS)
        self.send(i, "buckets", (shift, self.view.short_digests(shift)), writer)

    def catch_up(self, now, writer):
        """While it has only started: one member after another is asked for rows."""
        if self.joining() and now >= self.exchange_at:
            self.exchange_at = now + Pace.catch_up
            known = self.some(len(self.view.names), True)
            elsewhere = [i for i in known if self.view.address[i] not in self.seeds]
            if known:  # others than those whom all ask that start at once, if there are any
                self.ask_for_rows(self.chance.choice(elsewhere or known), writer)

    def exchange_interval(self):
        return (
            Pace.probe if len(self.view.names) <= 2 else Pace.exchange * (0.75 + 0.5 * self.chance.random())
        )

    def answer_buckets(self, now, i, values, writer):
        """Rows of the parts that differ, as many as fit into a datagram: who lacks more asks again."""
        shift, theirs = values
        mine = self.view.short_digests(shift)
        differ = [k for k in range(BUCKETS) if theirs[2 * k : 2 * k + 2] != mine[2 * k : 2 * k + 2]]
        if self.answers.allows(now):
            self.chance.shuffle(differ)  # one part after another: what is whole here is whole there then
            order = {bucket: k for k, bucket in enumerate(differ)}
            places = [k for k in range(len(self.view.names)) if self.view.bucket(k) in order]
            places.sort(key=lambda k: order[self.view.bucket(k)])
            places = places[:ROWS]
            self.answers.spend(min(FULL_DATAGRAM, DATAGRAM + PACKED_CLAIM * len(places)))
            claims = [self.view.claim(k, now) for k in places]
            writer.send(self.view.address[i], "rows", (), claims, [])

    def introduction(self, now):
        """Some of the living for who has only started: it then asks them, and not the few that all know."""
        return [self.view.claim(i, now) for i in self.some(INTRODUCED, True)]

    def whole_view(self, now, i, writer):
        """All claims to a member of another version, which compares no digests."""
        view = self.view
        for at in range(0, len(view.names), NEWS):
            places = range(at, min(at + NEWS, len(view.names)))
            writer.send(view.address[i], "tell", (), [view.claim(k, now) for k in places], [])

    # joining

    def alone(self):
        return bool(self.seeds) and len(self.view.living()) <= 1

    def seek(self, now, writer):
        """While nobody is known: the addresses of the list, one after another. Nobody there is a state, no error."""
        if now >= self.seek_at and self.alone():
            self.seek_at = now + Pace.seek * (0.5 + self.chance.random())
            for address in self.chance.sample(self.seeds, min(3, len(self.seeds))):
                writer.send(address, "ping", (0, 0, 0, ALIVE), *self.cargo(now))
