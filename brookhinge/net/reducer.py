"""All state of the router on sockets, changed in one place: (now, events) -> effects. No I/O, no clock.

Events and effects are (method, values). The reducer holds the Router, runs one round of it a loop pass and is
its writer: decisions become effects. Times are seconds since the start. It knows nothing of any wire.

Events in: query, forgotten, client_gone, ended, listed, purged, closing.
Effects out: pull, kill, satisfy, nack, error, reject, shut, retire, say.
"""
import heapq
import traceback


OPEN = 32       # queries on one connection, by the protocol
PAST = 1024     # ids remembered of queries that are over: each query has a new one


class Open:
    """A query that is owed its final answer; what goes on unchanged is kept as the bytes that came."""
    __slots__ = ("client", "number", "name", "kind", "key", "part", "tag", "body", "until", "pushes", "out",
                 "server", "sent_at")

    def __init__(self, client, number, name, kind, key, part, tag, body, until):
        self.client, self.number, self.name, self.kind = client, number, name, kind
        self.key, self.part, self.tag, self.body, self.until = key, part, tag, body, until
        self.pushes, self.out, self.server, self.sent_at = 0, False, None, until


class Reducer:
    def __init__(self, router, tracks, zones):
        self.router = router
        self.tracks = {name: i for i, name in enumerate(tracks)}
        self.zones = {name: i for i, name in enumerate(zones)}
        self.queries, self.names, self.clients = {}, {}, {}
        self.numbers, self.withdrawn = {}, {}   # of each client: the last number, and queries withdrawn in a row
        self.past, self.shut = {}, set()        # ids of the last queries that are over; clients closed in this pass
        self.dials = {}                  # of each server: its address and its start
        self.timers = []                 # (until, query, push)
        self.served, self.copies = {}, {}       # bodies that came in this pass, and those the decisions keep
        self.serial, self.cursor, self.now = 0, 0, 0.0
        self.effects, self.inbox, self.current = [], [], None
        self.counts = dict.fromkeys(("queries", "satisfied", "nacked", "errored", "left", "pushes", "timeouts",
                                     "own"), 0)

    def reduce(self, now, events):
        """One pass: the events, then the pushes whose time is over, then one round."""
        self.now, self.effects, self.inbox, self.shut, self.served = now, [], [], set(), {}
        for self.current in events:
            try:
                getattr(self, self.current[0])(*self.current[1])
            except Exception as fault:
                self.faulted(fault)
        self.expire()
        inbox = iter(self.inbox)
        while True:     # a fault of the decisions costs the query that it came up with, not the router
            try:
                self.router.round(now, self.handed(inbox), self)
                break
            except Exception as fault:
                self.faulted(fault)
                if self.current is None:
                    break
        return self.effects

    def handed(self, inbox):
        for self.current in inbox:
            yield self.current
        self.current = None

    def faulted(self, fault):
        method, values = self.current or ("round", ())
        where = traceback.extract_tb(fault.__traceback__)[-1]
        self.say(f"{type(fault).__name__}: {fault} ({where.name}, line {where.lineno}) in {method}")
        query = values[0] if method in ("query", "ended", "left") else None
        if query in self.queries:
            if not self.end_out(query):     # else the decisions still have to count what was out
                self.router.queries.pop(query, None)
            self.error(query)

    def next_at(self):
        """When the next push runs out of time, or None."""
        while self.timers and not self.is_out(*self.timers[0][1:]):
            heapq.heappop(self.timers)
        return self.timers[0][0] if self.timers else None

    def is_out(self, query, push):
        q = self.queries.get(query)
        return q is not None and q.out and q.pushes == push

    # events

    def query(self, client, number, name, kind, key, part, part_number, group, size_kb, allow, tag, body, came):
        track = self.tracks.get(kind)
        if track is None:
            return self.effects.append(("reject", (client, number, "service: no such class")))
        if client in self.shut:
            return
        if number <= self.numbers.get(client, 0):   # two answers under one number: neither could be told from the other
            return self.close(client, f"the number {number} again")
        self.numbers[client] = number
        if len(self.clients.get(client, ())) >= OPEN:
            return self.close(client, f"over {OPEN} queries open")
        if name in self.names:
            if self.queries[self.names[name]].client == client:
                return self.close(client, "an id that is open")
            return self.effects.append(("reject", (client, number, "ref: still open")))
        if name in self.past:
            return self.effects.append(("reject", (client, number, "ref: used before")))
        query, self.serial = self.serial, self.serial + 1
        until = came + allow
        self.queries[query] = Open(client, number, name, kind, key, part, tag, body, until)
        self.names[name] = query
        self.clients.setdefault(client, {})[number] = query
        self.counts["queries"] += 1
        self.inbox.append(("query", (query, track, key.decode("ascii"), part_number, group, size_kb, False, False,
                                     until - self.now)))

    def forgotten(self, client, number):
        query = self.clients.get(client, {}).get(number)
        if query is not None:
            self.leave(query)
            times = self.withdrawn[client] = self.withdrawn.get(client, 0) + 1
            if times > OPEN and client not in self.clients:     # in mass, and nothing that it would cost
                self.close(client, f"{times} queries withdrawn and none satisfied")

    def client_gone(self, client):
        for query in list(self.clients.get(client, {}).values()):
            self.leave(query)
        self.numbers.pop(client, None)
        self.withdrawn.pop(client, None)

    def close(self, client, why):
        """A connection that breaks the protocol: nothing on it is answered, nor taken in the rest of this pass."""
        self.client_gone(client)
        self.shut.add(client)
        self.effects.append(("shut", (client, why)))

    def closing(self):
        """The process ends: what is open gets its error now, and nothing more is decided."""
        self.inbox.clear()
        for query in list(self.queries):
            self.end_out(query)
            self.error(query)

    def ended(self, query, push, result, note, waited, load, body, same, came, dated=None, tag=None, lot=None):
        """What a cache server answered, or what became of a push; one that is out no more counts no more."""
        if not self.is_out(query, push):
            return
        q = self.queries[query]
        if same and not q.tag:      # it names a copy that the client does not hold
            result = "errored"
        q.out, over = False, result == "satisfied"
        copy = None if dated is None or not over or same else (dated, len(body))
        self.inbox.append(("ended", (query, push, q.server, result, came - q.sent_at, over, note, waited, load, copy)))
        if over:
            self.served[query] = body, tag
            self.counts["satisfied"] += 1
            self.withdrawn.pop(q.client, None)
            self.effects.append(("satisfy", (q.client, q.number, body, same)))
            self.settle(query)

    def listed(self, number, complete, hosts):
        """A list of servers: (id, address, zone, kind, cell, health, weight, start) each."""
        if number <= self.cursor:
            return
        self.cursor, rows, seen = number, [], set()
        for server, address, zone, kind, cell, health, weight, born in hosts:
            seen.add(server)
            rows.append((server, health, weight, born, cell, kind, self.zones.get(zone, -1)))
            self.redial(server, (address, born) if health != "gone" else None)
        if complete:
            for server in [s for s in self.dials if s not in seen]:
                self.redial(server, None)
        self.inbox.append(("roster", ("full" if complete else "changes", rows)))

    def redial(self, server, dial):
        """Connections belong to a server's id and start: those to an earlier start are used no more."""
        old = self.dials.get(server)
        if old is not None and old != dial:
            self.effects.append(("retire", ((server, *old),)))
        if dial is None:
            self.dials.pop(server, None)
        else:
            self.dials[server] = dial

    def purged(self, number, group, moment, key):
        if number > self.cursor:
            self.cursor = number
            self.inbox.append(("purged", (group, max(0.0, self.now - moment), key)))

    def skipped(self, number, why):
        self.cursor = max(self.cursor, number)
        self.effects.append(("say", ("command skipped", {"cursor": number, "why": why})))

    # time

    def expire(self):
        """Pushes whose time is over are given up before anything else is sent for their queries."""
        while True:
            at = self.next_at()
            if at is None or at > self.now:
                return
            _, query, push = heapq.heappop(self.timers)
            q = self.queries[query]
            self.give_up(query)
            self.counts["timeouts"] += 1
            self.inbox.append(("ended", (query, push, q.server, "timeout", self.now - q.sent_at, False, 0, 0.0,
                                         None)))

    def give_up(self, query):
        q = self.queries[query]
        if q.out:
            q.out = False
            self.effects.append(("kill", (query, q.pushes)))

    def end_out(self, query):
        """A query is over with a push out: that is given up, and the decisions count it no more."""
        q = self.queries[query]
        if not q.out:
            return False
        self.give_up(query)
        self.inbox += [("left", (query,)), ("ended", (query, q.pushes, q.server, "cancelled", self.now - q.sent_at,
                                                      True, 0, 0.0, None))]
        return True

    def leave(self, query):
        """No answer is owed: what is out is given up, the decisions are told. What they were to hear of it in
        this very pass is taken back or ends it, or they would send for a query that is over."""
        at = next((i for i, (method, values) in enumerate(self.inbox)
                   if method in ("query", "ended") and values[0] == query), None)
        if at is not None:
            method, values = self.inbox.pop(at)
            if method == "ended":
                self.inbox.append((method, (*values[:5], True, *values[6:])))
        else:
            self.end_out(query)
        self.counts["left"] += 1
        self.settle(query)

    def settle(self, query):
        q = self.queries.pop(query)
        del self.names[q.name]
        self.past[q.name] = None
        if len(self.past) > PAST:
            del self.past[next(iter(self.past))]
        numbers = self.clients[q.client]
        del numbers[q.number]
        if not numbers:
            del self.clients[q.client]

    # the writer

    def push(self, query, cache, until, source, rank, age_s, join, held_only, renew):
        q = self.queries[query]
        if q.out:
            raise RuntimeError(f"a second push out for query {query}")
        until = min(until, q.until)
        q.pushes += 1
        q.out, q.server, q.sent_at = True, cache, self.now
        self.counts["pushes"] += 1
        heapq.heappush(self.timers, (until, query, q.pushes))
        self.effects.append(("pull", (
            query, q.pushes, (cache, *self.dials[cache]), q.name, q.kind, q.key, q.part, until - self.now,
            source if source != cache else None, rank, age_s, join, held_only, renew, q.tag, q.body)))

    def nack(self, query, retry_after_s):
        q = self.queries[query]
        self.counts["nacked"] += 1
        self.effects.append(("nack", (q.client, q.number, retry_after_s)))
        self.settle(query)

    def error(self, query):
        q = self.queries[query]
        self.counts["errored"] += 1
        self.effects.append(("error", (q.client, q.number)))
        self.settle(query)

    def keep(self, query, name):
        """The answer that this query has just had stays in memory under that name."""
        self.copies[name] = self.served[query]

    def drop(self, name):
        del self.copies[name]

    def own(self, query, name):
        """The final answer is a copy kept; where the client holds the same one, it is told so."""
        q, (body, tag) = self.queries[query], self.copies[name]
        same = tag is not None and tag == q.tag
        self.counts["satisfied"] += 1
        self.counts["own"] += 1
        self.effects.append(("satisfy", (q.client, q.number, b"" if same else body, same)))
        self.settle(query)

    def say(self, text):
        self.effects.append(("say", ("decisions", {"text": text})))
