"""All state of the router on sockets, changed in one place: (now, events) -> effects. No I/O, no clock.

Events and effects are those of `events.py` and `effects.py`. The reducer holds the Router, runs one round of it a
loop pass and is its writer: decisions become effects. Times are seconds since the start. It knows nothing of any wire.

What is sent and answered is checked against a record of its own just before (`brookhinge/engine/invariants.py`).
"""

import collections
import heapq
import traceback

from brookhinge.decisions import messages, rules
from brookhinge.decisions.rules import AttemptResult, HeldBack, Ran, Refusal, Withdrawal
from brookhinge.decisions.settings import Idempotency
from brookhinge.engine import effects, events
from brookhinge.engine.endpoints import ServerInstance
from brookhinge.engine.invariants import Attempt, Invariant, Invariants, RuleBroken
from brookhinge.engine.scores import Outcome

OPEN = 32  # queries on one connection, by the protocol
WAIT_END_S = 0.02  # who waits beside a query is told that nothing came so long before its time is over
PURGE_KIND, DRAINING_KIND = 1, 2  # entries of the purge log: brookhinge/purgelog/messages.py
PURGES_KEPT_S = 1.0  # beside the time after which the settings take an old copy to be gone
OUTCOMES = {
    None: Outcome.SATISFIED,
    "refused": Outcome.REJECTED,
    "failed": Outcome.FAILED,
    "forgotten": Outcome.WITHDRAWN,
}
PAST = 1024  # ids remembered of queries that are over: each query has a new one


class Open:
    """A query that is owed its final answer; what goes on unchanged is kept as the bytes that came."""

    __slots__ = (
        "client",
        "number",
        "name",
        "kind",
        "key",
        "part",
        "tag",
        "body",
        "until",
        "pushes",
        "out",
        "server",
        "sent_at",
        "call",
        "beside",
        "seen",
        "mark",
        "track",
        "group",
        "text_key",
        "came",
        "ran",
        "source",
        "last_result",
    )

    def __init__(self, client, number, name, kind, key, part, tag, body, until, mark):
        self.seen = None  # (track, size in KB, when it came), where somebody counts what becomes of queries
        self.track, self.group, self.text_key, self.came = 0, 0, "", until
        self.ran = None  # the first attempt that may have run
        self.source, self.last_result = None, None
        self.client, self.number, self.name, self.kind = client, number, name, kind
        self.key, self.part, self.tag, self.body, self.until = key, part, tag, body, until
        self.mark = mark  # by which servers know a repeat of a referenced query, or None
        self.pushes, self.out, self.server, self.sent_at = 0, False, None, until
        self.call, self.beside = (
            None,
            None,
        )  # what the decisions are told of it; the query whose answer it waits for


def newest_stamps(purges):
    """{number: the newest stamp of the purges with that number or a later one}. purges: in the order of
    their numbers. A purge with an older stamp than one before it came after all clocks were set back: the stamps of those
    before the step say nothing of when it was."""
    newest, stamps = float("-inf"), {}
    for purge in reversed(purges):
        newest = stamps[purge.number] = max(newest, purge.purged_at)
    return stamps


class Reducer:
    def __init__(self, router, tracks, zones, lineage=None, tight=None, scores=None, traced=False):
        """traced: each step of each query comes out as an effect `trace`."""
        self.scores, self.traced = scores, traced
        self.invariants = Invariants(router.purges.settled_s + PURGES_KEPT_S, router.slow_start_bound)
        self.refusals, self.retries = collections.Counter(), collections.Counter()  # by reason
        self.withdrawals = collections.Counter()
        self.router, self.lineage, self.tight = router, lineage, tight
        self.addresses, self.waiting, self.ends = (
            {},
            {},
            [],
        )  # of clients; who waits beside a query; and until when
        self.tracks = {name: i for i, name in enumerate(tracks)}
        self.zones = {name: i for i, name in enumerate(zones)}
        self.queries, self.names, self.clients = {}, {}, {}
        self.numbers, self.withdrawn = (
            {},
            {},
        )  # of each client: the last number, and queries withdrawn in a row
        self.past, self.shut = {}, set()  # ids of the last queries that are over; clients closed in this pass
        self.dials = {}  # of each server: its address and its start
        self.timers = []  # (until, query, push)
        self.served, self.copies = {}, {}  # bodies that came in this pass, and those the decisions keep
        self.serial, self.cursor, self.now, self.closed = 0, 0, 0.0, False
        self.begun = False  # the first pass, with what was known at the start, is over
        self.newest_known = {}  # of each purge known at the start, by number: the newest stamp from it on
        self.effects, self.inbox, self.current = [], [], None
        self.handlers = {
            events.RequestReceived: self.query,
            events.RequestCancelled: self.forgotten,
            events.ClientConnected: self.connected,
            events.ClientDisconnected: self.client_gone,
            events.AttemptEnded: self.ended,
            events.EndpointsListed: self.listed,
            events.ObjectsPurged: self.purged,
            events.CommandSkipped: self.skipped,
            events.PeerNoticeReceived: self.notice,
            events.PurgeLogEntryRead: self.logged,
            events.CopyRuleChanged: self.copy_rule,
            events.RouterCountChanged: self.peers,
            events.QuotasAssigned: self.parts,
            events.OutlierVerdictsChanged: self.verdicts,
            events.WarmStartReceived: self.remember,
            events.ShutdownBegan: self.closing,
        }
        self.facts = []  # what was told in this pass: the decisions hear of it before all queries and ends of it
        self.counts = dict.fromkeys(
            (
                "queries",
                "satisfied",
                "nacked",
                "errored",
                "left",
                "pushes",
                "timeouts",
                "own",
                "beside",
                "again",
            ),
            0,
        )

    def reduce(self, now, posted, knows_all=True):
        """One pass: the posted events, then the pushes whose time is over, then one round. knows_all: whether purges may be taken to
        be known that were told before this moment; else no copy of the router's own is an answer."""
        self.router.knows_all_purges = knows_all
        self.now, self.effects, self.inbox, self.shut, self.served = now, [], [], set(), {}
        self.facts = []
        if not self.begun:
            self.newest_known = newest_stamps(
                [event for event in posted if isinstance(event, events.ObjectsPurged)]
            )
        for self.current in posted:
            try:
                self.handlers[type(self.current)](self.current)
            except Exception as fault:
                self.faulted(fault)
        self.expire()
        self.expire_waiting()
        inbox = iter(self.facts + self.inbox)
        while True:  # a fault of the decisions costs the query that it came up with, not the router
            try:
                self.router.process(now, self.handed(inbox), self)
                break
            except Exception as fault:
                self.faulted(fault)
                if self.current is None:
                    break
        self.begun = True
        return self.effects

    def handed(self, inbox):
        for self.current in inbox:
            yield self.current
        self.current = None

    def faulted(self, fault):
        method, query = self.current_step()
        if isinstance(fault, RuleBroken):
            self.say_violation(query, fault.violation)
        else:
            where = traceback.extract_tb(fault.__traceback__)[-1]
            self.log(f"{type(fault).__name__}: {fault} ({where.name}, line {where.lineno}) in {method}")
        if query in self.queries:
            if not self.end_out(query):  # else the decisions still have to count what was out
                self.router.forget_request(query)
            self.fail(query, Refusal.FAULT)

    def current_step(self):
        """What is being handled, and the query that it is of, or None."""
        if self.current is None:
            return "round", None
        if isinstance(
            self.current, (messages.RequestArrived, messages.AttemptEnded, messages.RequestWithdrawn)
        ):
            return type(self.current).__name__, self.current.request_id
        if isinstance(self.current, events.AttemptEnded):
            return type(self.current).__name__, self.current.request_id
        return type(self.current).__name__, None

    def say_violation(self, query, violation):
        q = self.queries.get(query)
        told = {"invariant": violation.invariant, "detail": violation.detail}
        self.effects.append(effects.WriteLog("violation", {"ref": q.name.decode() if q else None, **told}))

    def trace(self, step, q, **values):
        """A step of a query, for who follows it by its id."""
        if self.traced:
            self.effects.append(effects.WriteTrace(step, q.name.decode(), values))

    def next_at(self):
        """When the next push runs out of time, or who waits beside one, or None."""
        while self.ends and self.ends[0][1] not in self.queries:
            heapq.heappop(self.ends)
        end = self.ends[0][0] if self.ends else None
        return min((at for at in (self.next_push_at(), end) if at is not None), default=None)

    def next_push_at(self):
        while self.timers and not self.is_out(*self.timers[0][1:]):
            heapq.heappop(self.timers)
        return self.timers[0][0] if self.timers else None

    def is_out(self, query, push):
        q = self.queries.get(query)
        return q is not None and q.out and q.pushes == push

    # events

    def query(self, event):
        client, number, name, came = event.client, event.number, event.client_request_id, event.received_at
        kind, key, group, size_kb = event.class_name, event.object_key, event.purge_group, event.size_kb
        track = self.tracks.get(kind)
        if track is None:
            return self.effects.append(effects.RefuseCall(client, number, "service: no such class"))
        if client in self.shut:
            return
        if number <= self.numbers.get(
            client, 0
        ):  # two answers under one number: neither could be told from the other
            return self.close(client, f"the number {number} again")
        self.numbers[client] = number
        if len(self.clients.get(client, ())) >= OPEN:
            return self.close(client, f"over {OPEN} queries open")
        if name in self.names:
            if self.queries[self.names[name]].client == client:
                return self.close(client, "an id that is open")
            return self.effects.append(effects.RefuseCall(client, number, "ref: still open"))
        if name in self.past:
            return self.effects.append(effects.RefuseCall(client, number, "ref: used before"))
        if self.closed:  # it was read after the end began: it never ran, nor will it
            self.counts["queries"] += 1
            self.counts["nacked"] += 1
            self.refusals[Refusal.STOPPING] += 1
            return self.effects.append(effects.RejectRequest(client, number, 0.0))
        query, self.serial = self.serial, self.serial + 1
        until = came + event.timeout_s
        q = self.queries[query] = Open(
            client,
            number,
            name,
            kind,
            key,
            event.part,
            event.known_version,
            event.body,
            until,
            event.idempotency_key,
        )
        q.track, q.group, q.text_key, q.came = track, group, key.decode("ascii"), came
        self.names[name] = query
        self.clients.setdefault(client, {})[number] = query
        self.counts["queries"] += 1
        if self.scores is not None:
            q.seen = track, size_kb, came
        self.trace("taken", q, client=client, number=number, kind=kind.decode(), left_s=until - self.now)
        call = messages.RequestArrived(
            query,
            track,
            q.text_key,
            event.part_number,
            group,
            size_kb,
            is_write=False,
            timeout_s=until - self.now,
        )
        if (
            self.lineage is None
            or self.router.request_classes[track].idempotency is not Idempotency.REPEATABLE
        ):  # an effect is asked for anew
            self.inbox.append(call)
        else:
            self.known_again(query, call)

    def known_again(self, query, call):
        """A query may be a client's retry: beside its first try it waits for that one's answer, it never runs beside
        it; after it the decisions are told since when it is asked for."""
        q = self.queries[query]
        q.call = call
        address = self.addresses.get(q.client, q.client)
        seen = self.lineage.asked(
            self.now, query, address, q.client, (call.request_class, call.key, call.part)
        )
        first = self.queries.get(seen.beside)
        if first is not None and self.would_do(first, q):
            q.beside = seen.beside
            self.counts["beside"] += 1
            self.waiting.setdefault(seen.beside, []).append(query)
            heapq.heappush(self.ends, (q.until - WAIT_END_S, query))
        else:
            self.counts["again"] += seen.kind == "again"
            who = self.lineage.who(address, q.client)  # a place is told to who can be known when they come
            self.inbox.append(
                call._replace(
                    timeout_s=q.until - self.now,
                    retry_age_s=seen.since,
                    retry_client=who if who[0] == "address" else None,
                )
            )

    def would_do(self, first, q):
        """Whether the answer to one query is one to another that came later: no purge has come between, and both hold the
        same copy and body."""
        purge = self.invariants.purges.last(q.group, q.text_key)
        return first.tag == q.tag and first.body == q.body and (purge is None or purge[1] < first.came)

    def on_its_own(self, query):
        """What a query waited for has ended without an answer for it: it is the decisions' now, or waits beside another
        that waited with it."""
        q = self.queries[query]
        q.beside = None
        if q.until - self.now <= WAIT_END_S:
            self.fail(query, Refusal.NO_TIME)
        else:
            self.known_again(query, q.call)

    def connected(self, event):
        self.addresses[event.client] = event.address
        self.lineage.connected(event.address)

    def forgotten(self, event):
        client = event.client
        query = self.clients.get(client, {}).get(event.number)
        if query is not None:
            self.leave(query, Withdrawal.CANCELLED)
            times = self.withdrawn[client] = self.withdrawn.get(client, 0) + 1
            if times > OPEN and client not in self.clients:  # in mass, and nothing that it would cost
                self.close(client, f"{times} queries withdrawn and none satisfied")

    def client_gone(self, event):
        self.forget_client(event.client)

    def forget_client(self, client):
        for query in list(self.clients.get(client, {}).values()):
            self.leave(query, Withdrawal.CLIENT_GONE)
        self.numbers.pop(client, None)
        self.withdrawn.pop(client, None)
        address = self.addresses.pop(client, None)
        if address is not None:
            self.lineage.disconnected(address)

    def close(self, client, why):
        """A connection that breaks the protocol: nothing on it is answered, nor taken in the rest of this pass."""
        self.forget_client(client)
        self.shut.add(client)
        self.effects.append(effects.CloseClient(client, why))

    def closing(self, event):
        """The process ends: what is open gets its error now, and nothing more is decided; what is read later is refused."""
        self.closed = True
        self.inbox.clear()
        self.waiting.clear()  # each has its own error
        for query in list(self.queries):
            self.end_out(query)
            self.fail(query, Refusal.STOPPING)

    def ended(self, event):
        """What a cache server answered, or what became of a push; one that is out no more counts no more."""
        query, push, result, body = event.request_id, event.attempt, event.result, event.body
        same, came, dated = event.is_unchanged, event.received_at, event.dated_at
        if not self.is_out(query, push):
            return
        q = self.queries[query]
        if same and not q.tag:  # it names a copy that the client does not hold
            result = "errored"
        q.out, over = False, result == "satisfied"
        self.note_end(q, result)
        copy = None
        if over and not same and dated is not None and rules.stamp_is_plausible(came, dated):
            copy = messages.StoredCopy(dated, len(body))
        took_s = came - q.sent_at
        self.inbox.append(
            messages.AttemptEnded(
                query, q.server, result, took_s, over, event.note, event.source_wait_s, copy
            )
        )
        if over:
            self.served[query] = body, event.version
            self.counts["satisfied"] += 1
            self.trace("served", q, of=q.server)
            self.withdrawn.pop(q.client, None)
            self.effects.append(effects.Respond(q.client, q.number, body, same))
            self.satisfy_beside(query, body, same)
            self.settle(query)

    def note_end(self, q, result):
        """An attempt has ended: whether it may have run decides whether there may be another."""
        q.last_result = result
        if result not in rules.NEVER_RAN and q.ran is None:
            facts = self.invariants.facts(q.server)
            q.ran = Ran(facts.zone, facts.cell, q.sent_at)
        self.trace("attempt ended", q, attempt=q.pushes, server=q.server, result=result)

    def satisfy_beside(self, query, body, same):
        """Who waited beside a query has its answer: they asked for the same and hold the same copy."""
        for other in self.waiting.pop(query, ()):
            if other in self.queries:
                q = self.queries[other]
                self.counts["satisfied"] += 1
                self.effects.append(effects.Respond(q.client, q.number, body, same))
                self.settle(other)

    def listed(self, event):
        """A list of servers."""
        if event.number <= self.cursor:
            return
        self.cursor, rows, seen = event.number, [], set()
        for server, address, zone, kind, cell, health, weight, born in event.endpoints:
            seen.add(server)
            row = messages.Endpoint(server, health, weight, born, cell, kind, self.zones.get(zone, -1))
            if self.tight is not None:
                row, notice = self.tight.receive_row(row)
                if notice is not None:
                    self.effects.append(effects.NotifyPeers(notice[0], notice[1:]))
            rows.append(row)
            self.invariants.listed(server, row[1], row[6], cell)
            self.redial(server, (address, born) if row[1] != "gone" else None)
        if event.is_complete:
            for server in [s for s in self.dials if s not in seen]:
                self.redial(server, None)
            self.invariants.absent(seen)
            if self.tight is not None:
                self.effects += [
                    effects.NotifyPeers(notice[0], notice[1:]) for notice in self.tight.absent(seen)
                ]
        self.facts.append(messages.EndpointsListed(event.is_complete, rows))

    def redial(self, server, dial):
        """Connections belong to a server's id and start: those to an earlier start are used no more."""
        old = self.dials.get(server)
        if old is not None and old != dial:
            self.effects.append(effects.RetireServer(ServerInstance(server, *old)))
        if dial is None:
            self.dials.pop(server, None)
        else:
            self.dials[server] = dial

    def purged(self, event):
        number, group, moment, key = event.number, event.purge_group, event.purged_at, event.object_key
        if number > self.cursor:
            self.cursor = number
            if self.tight is not None:
                stamp = round((moment + self.tight.start) * 1000)
                self.effects.append(effects.NotifyPeers("purge", (group, key, stamp)))
                if not self.tight.purge_is_new(group, key, stamp):
                    return
            self.take_purge(group, self.purge_age(moment, self.newest_known.get(number, moment)), key)

    def take_purge(self, group, age, key):
        """A purge of so many seconds ago is known from now on."""
        self.invariants.purges.add(self.now, group, key, self.now - age)
        self.facts.append(messages.ObjectsPurged(group, age, key))

    def purge_age(self, stamped, newest):
        """Seconds since a purge, by its stamp. Of those known at the start nothing but their stamps and order is known.
        newest: the newest stamp of those that came with or after it."""
        if not self.begun:
            return self.now - rules.known_event_time(self.now, stamped, newest)
        return self.now - rules.event_time(self.now, stamped)

    def notice(self, event):
        """A peer's notice. It can only tighten, and binds in this very pass."""
        self.take_notice(event.kind, event.values)

    def take_notice(self, kind, values):
        if kind == "purge":
            group, key, stamp = values
            if self.tight.purge_is_new(group, key, stamp):
                moment = stamp / 1000.0 - self.tight.start
                self.take_purge(group, self.purge_age(moment, moment), key)
            return
        row = self.tight.receive_notice((kind, *values))
        if row is not None:
            self.invariants.listed(row[0], row[1], row[6], row[4])
            if row[1] == "gone":
                self.redial(row[0], None)
            self.facts.append(messages.EndpointsListed(False, [row]))
            self.effects.append(effects.WriteLog("notice", {"server": row[0], "health": row[1]}))

    def logged(self, event):
        """An entry of the purge log. A purge counts from now on by this router's own clock, whatever others' clocks say."""
        if event.kind != PURGE_KIND:
            kind = "draining" if event.kind == DRAINING_KIND else "gone"
            self.take_notice(kind, (event.text, event.number))
        elif self.tight.purge_is_new(event.number, event.text, event.stamp_ms):
            self.take_purge(event.number, 0.0, event.text)

    def copy_rule(self, event):
        """What this router may do with copies that it holds itself, as far as it knows all purges."""
        self.facts.append(messages.CopyRuleChanged(event.rule, event.missed_purges))

    def peers(self, event):
        """By how many routers this place's limits and the whole fleet's are divided from here on."""
        self.facts.append(messages.RouterCountChanged(event.here, event.everywhere))

    def parts(self, event):
        """What this router may use of limits that the fleet shares: (kind, server, start in ms, part or None) each."""
        told = []
        for kind, server, start, part in event.quotas:
            row = self.tight.rows.get(server)
            if kind == "own" or row is not None and self.tight.stamp(row[3]) == start:
                told.append((kind, server, row and row[3], part))
        self.facts.append(messages.QuotasAssigned(told))

    def demand(self):
        """What was asked of limits that the fleet shares, starts in ms; it begins anew."""
        return [
            (kind, server, self.tight.stamp(born), *told)
            for kind, server, born, *told in self.router.demand(self.now)
        ]

    def verdicts(self, event):
        """What follows from what all routers saw of servers: (server, start in ms, how, seconds) each."""
        told = []
        for server, start, how, seconds in event.verdicts:
            row = self.tight.rows.get(server)
            if row is not None and self.tight.stamp(row[3]) == start:
                told.append((server, how, seconds))
        self.facts.append(messages.OutlierVerdictsChanged(told))

    def remember(self, event):
        """What a peer knows that has run for longer."""
        self.inbox.append(messages.WarmStartReceived(event.rows))
        self.effects.append(effects.WriteLog("remembered", {"rows": len(event.rows)}))

    def seen(self):
        """{(server, start in ms): (tries, failed)} of caches, totals of this process."""
        return {
            (server, self.tight.stamp(born)): (tries, failed)
            for server, born, tries, failed in self.router.seen()
        }

    def skipped(self, event):
        self.cursor = max(self.cursor, event.number)
        self.effects.append(
            effects.WriteLog("command skipped", {"cursor": event.number, "why": event.reason})
        )

    # time

    def expire(self):
        """Pushes whose time is over are given up before anything else is sent for their queries."""
        while True:
            at = self.next_push_at()
            if at is None or at > self.now:
                return
            _, query, push = heapq.heappop(self.timers)
            q = self.queries[query]
            self.give_up(query)
            self.note_end(q, "timeout")
            self.counts["timeouts"] += 1
            took_s = self.now - q.sent_at
            self.inbox.append(
                messages.AttemptEnded(query, q.server, AttemptResult.TIMEOUT, took_s, False, 0, 0.0)
            )

    def expire_waiting(self):
        """Who waits beside a query has its own time all the same."""
        while self.ends and self.ends[0][0] <= self.now:
            _, query = heapq.heappop(self.ends)
            if query in self.queries and self.queries[query].beside is not None:
                self.fail(query, Refusal.NO_TIME)

    def give_up(self, query):
        q = self.queries[query]
        if q.out:
            q.out = False
            self.effects.append(effects.CancelAttempt(query, q.pushes))

    def end_out(self, query):
        """A query is over with a push out: that is given up, and the decisions count it no more."""
        q = self.queries[query]
        if not q.out:
            return False
        self.give_up(query)
        self.note_end(q, "cancelled")
        self.inbox += [
            messages.RequestWithdrawn(query),
            messages.AttemptEnded(
                query, q.server, AttemptResult.CANCELLED, self.now - q.sent_at, True, 0, 0.0
            ),
        ]
        return True

    def leave(self, query, reason):
        """No answer is owed: what is out is given up, the decisions are told. What they were to hear of it in
        this very pass is taken back or ends it, or they would send for a query that is over."""
        at = next(
            (
                i
                for i, message in enumerate(self.inbox)
                if isinstance(message, (messages.RequestArrived, messages.AttemptEnded))
                and message.request_id == query
            ),
            None,
        )
        if at is not None:
            message = self.inbox.pop(at)
            if isinstance(message, messages.AttemptEnded):
                self.inbox.append(message._replace(is_final=True))
        else:
            self.end_out(query)
        self.counts["left"] += 1
        self.withdrawals[reason] += 1
        self.trace("left", self.queries[query], reason=reason)
        self.settle(query, "forgotten")

    def settle(self, query, how=None):
        """The query is over; how: as the lineage has it, None for one that was satisfied."""
        q = self.queries.pop(query)
        if q.seen is not None:
            self.scores.ended(*q.seen[:2], self.now - q.seen[2], OUTCOMES[how])
        if self.lineage is not None:
            if q.beside is None:
                self.lineage.ended(self.now, query, how)
            else:
                peers = self.waiting.get(q.beside, [])
                if query in peers:
                    peers.remove(query)
            for other in self.waiting.pop(query, ()):
                if other in self.queries:
                    self.on_its_own(other)
        del self.names[q.name]
        self.past[q.name] = None
        if len(self.past) > PAST:
            del self.past[next(iter(self.past))]
        numbers = self.clients[q.client]
        del numbers[q.number]
        if not numbers:
            del self.clients[q.client]

    # the sink of the decisions

    def forward(self, query, decided):
        cache, until, source, rank, age_s, join, held_only, renew = decided
        q = self.queries.get(query)
        if q is None or self.closed:
            raise RuleBroken(self.invariants.violated(Invariant.AFTER_END, f"a push of query {query}"))
        track, work = self.router.request_classes[q.track], self.router.mean_transfer_s(q.track)
        attempt = Attempt(cache, source, q.until - self.now, until - self.now, age_s, work)
        violation = self.invariants.of_attempt(self.now, q, track, attempt)
        if violation is not None:
            raise RuleBroken(violation)
        until = min(until, q.until)
        if q.pushes:
            self.retries[q.last_result] += 1
        q.pushes += 1
        q.out, q.server, q.source, q.sent_at = True, cache, source, self.now
        self.trace(
            "attempt",
            q,
            attempt=q.pushes,
            server=cache,
            source=source,
            patience_s=until - self.now,
            oldest_s=age_s,
            after=q.last_result,
        )
        self.counts["pushes"] += 1
        heapq.heappush(self.timers, (until, query, q.pushes))
        self.effects.append(
            effects.SendAttempt(
                request_id=query,
                attempt=q.pushes,
                server=ServerInstance(cache, *self.dials[cache]),
                client_request_id=q.name,
                class_name=q.kind,
                object_key=q.key,
                part=q.part,
                deadline=until,
                fill_from=source if source != cache else None,
                retention=rank,
                max_age_s=age_s,
                joins_fill=join,
                cached_only=held_only,
                revalidates=renew,
                known_version=q.tag,
                body=q.body,
                skips_cache=False,
                idempotency_key=q.mark,
            )
        )

    def held_back(self, query, push):
        """Why an attempt that was decided may not be written now, by what was received since; None: it may."""
        q = self.queries.get(query)
        if not self.is_out(query, push):
            return HeldBack.CLIENT_GONE
        purge = self.invariants.purges.last(q.group, q.text_key)
        is_purged = purge is not None and purge[1] > q.sent_at
        may_send = self.invariants.may_send_to(q.server) and self.invariants.may_send_to(q.source)
        return HeldBack.CHANGED if self.closed or is_purged or not may_send else None

    def asker(self, query):
        """(client, number) of an open query."""
        q = self.queries[query]
        return q.client, q.number

    def owed(self, query):
        """The record of a query that is owed its final answer."""
        q = self.queries.get(query)
        if q is None:
            raise RuleBroken(self.invariants.violated(Invariant.ONE_ANSWER, f"a second one to query {query}"))
        return q

    def reject(self, query, retry_after_s, reason=None):
        q = self.owed(query)
        if not rules.may_invite_repeat(self.router.request_classes[q.track], q.ran):
            detail = f"a repeat of {self.router.request_classes[q.track].idempotency} is invited"
            self.say_violation(query, self.invariants.violated(Invariant.EFFECT_TWICE, detail))
            return self.fail(query, reason)
        self.counts["nacked"] += 1
        self.refusals[reason] += 1
        self.trace("refused", q, reason=reason, retry_after_s=retry_after_s)
        self.effects.append(effects.RejectRequest(q.client, q.number, retry_after_s))
        for other in self.waiting.pop(query, ()):  # the same answer, and the same time to come back
            self.reject(other, retry_after_s, reason)
        self.settle(query, "refused")

    def fail(self, query, reason=None):
        q = self.owed(query)
        self.counts["errored"] += 1
        self.refusals[reason] += 1
        self.trace("failed", q, reason=reason)
        self.effects.append(effects.FailRequest(q.client, q.number))
        self.settle(query, "failed")

    def keep_copy(self, query, name):
        """The answer that this query has just had stays in memory under that name."""
        self.copies[name] = self.served[query]

    def drop_copy(self, name):
        del self.copies[name]

    def respond_from_copy(self, query, name):
        """The final answer is a copy kept; where the client holds the same one, it is told so."""
        q, (body, tag) = self.owed(query), self.copies[name]
        same = tag is not None and tag == q.tag
        self.counts["satisfied"] += 1
        self.counts["own"] += 1
        self.trace("served", q, of="own copy")
        self.effects.append(effects.Respond(q.client, q.number, b"" if same else body, same))
        self.satisfy_beside(query, b"" if same else body, same)
        self.settle(query)

    def log(self, text):
        self.effects.append(effects.WriteLog("decisions", {"text": text}))
