"""Routers among modelled boxes in simulated time: the daemon's own state and decisions, no sockets, no real time, all by
one seed. What asks, and what goes wrong, a subclass says. Written for this project's measurements; figures that come of it
are simulated."""

import heapq
import itertools
import random

from brookhinge.engine.effects import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    Respond,
    SendAttempt,
)
from brookhinge.engine.endpoints import ListedEndpoint
from brookhinge.engine.events import AttemptEnded, EndpointsListed


class Box:
    """Processor sharing among what is on it, by virtual time."""

    def __init__(self, name, cores, cold):
        self.name, self.cores, self.cold, self.fails = name, cores, cold, 0.0
        self.up, self.fallen, self.born, self.kept = True, False, None, set()
        self.jobs, self.done, self.v, self.at, self.sent, self.peak = {}, [], 0.0, 0.0, [], 0.0

    def able(self, now):
        if self.born is None:
            return self.cores
        cold = self.cold
        return self.cores * (
            cold.initial_share + (1.0 - cold.initial_share) * min(1.0, (now - self.born) / cold.warm_up_s)
        )

    def advance(self, now):
        if self.jobs:
            self.v += (now - self.at) * min(1.0, self.able(self.at) / len(self.jobs))
        self.at = now

    def take(self, now, key, work):
        self.advance(now)
        self.jobs[key] = self.v + work
        heapq.heappush(self.done, (self.v + work, key))
        self.sent = [(at, w) for at, w in self.sent if now - at <= self.cold.window_s] + [(now, work)]
        load = sum(w for _, w in self.sent) / (self.able(now) * self.cold.window_s)
        if self.born is not None and now - self.born < self.cold.warm_up_s:
            self.peak = max(self.peak, load)
            self.fallen = self.fallen or load > self.cold.overload_multiple
        return not self.fallen

    def next_at(self, now):
        while self.done and self.done[0][1] not in self.jobs:
            heapq.heappop(self.done)
        if not self.done:
            return None
        return now + max(0.0, self.done[0][0] - self.v) / min(1.0, self.able(now) / len(self.jobs))

    def finished(self, now):
        self.advance(now)
        ready = []
        while self.done and (self.done[0][1] not in self.jobs or self.done[0][0] <= self.v + 1e-9):
            _, key = heapq.heappop(self.done)
            if self.jobs.pop(key, None) is not None:
                ready.append(key)
        return ready


class Model:
    """routers: the state of each, by number, set by the subclass; fill_s: what a parent takes for a fill while few are out."""

    FILL_S, FILLS = 0.08, 40

    def __init__(self, seed, boxes, cores, cold, work):
        self.chance, self.work = random.Random(seed), work
        self.events, self.order, self.now = [], itertools.count(), 0.0
        self.boxes = {f"s-{i}": Box(f"s-{i}", cores, cold) for i in range(boxes)}
        self.out, self.routers, self.pushes, self.parent_out = {}, [], 0, 0
        self.handlers = {
            SendAttempt: self.pull,
            CancelAttempt: self.kill,
            Respond: self.satisfy,
            RejectRequest: self.nack,
            FailRequest: self.error,
        }

    def at(self, when, work, *args):
        heapq.heappush(self.events, (when, next(self.order), work, args))

    def hosts(self, health):
        rows = [
            ListedEndpoint("s-p", ("", 1), "hub", "parent", 0, "ready", 40.0, None),
            ListedEndpoint("s-o", ("", 2), "hub", "origin", 0, "ready", 40.0, None),
        ]
        return rows + [
            ListedEndpoint(name, ("", 3), "edge", "box", 0, health, float(box.cores), box.born)
            for name, box in self.boxes.items()
        ]

    def tell(self, health, number):
        for n in range(len(self.routers)):
            self.hear(n, EndpointsListed(number, True, self.hosts(health)))

    def play(self, end):
        while self.events and self.events[0][0] < end:
            self.now, _, work, args = heapq.heappop(self.events)
            work(*args)

    def hear(self, n, *events):
        state = self.routers[n]
        for effect in state.reduce(self.now, list(events)):
            work = self.handlers.get(type(effect))
            if work:
                work(n, effect)
        at = state.next_at()
        if at is not None:
            self.at(max(at, self.now) + 1e-6, self.timed, n)

    def timed(self, n):
        at = self.routers[n].next_at()
        if at is not None and at <= self.now:
            self.hear(n)

    def satisfy(self, n, effect):
        """A client has its response."""

    def nack(self, n, effect):
        """A client was turned away."""

    def error(self, n, effect):
        """A client was told of a failure."""

    def pull(self, n, effect):
        query, push, key = effect.request_id, effect.attempt, effect.object_key
        self.pushes += 1
        box = self.boxes.get(effect.server.server)
        if box is None or not box.up or box.fallen:
            return self.at(self.now + 0.001, self.ended, n, query, push, "unreachable", 0)
        hit = key in box.kept
        if not hit and not effect.fill_from:
            return self.at(self.now + 0.002, self.ended, n, query, push, "miss", 0)
        if box.fails and self.chance.random() < box.fails:
            return self.at(self.now + 0.002, self.ended, n, query, push, "errored", 0)
        self.out[n, query, push] = effect.server.server
        if hit:
            return self.start(n, query, push, box, key, 1)
        self.parent_out += 1
        self.at(
            self.now + self.FILL_S * max(1.0, self.parent_out / self.FILLS),
            self.filled,
            n,
            query,
            push,
            box,
            key,
            box.born,
        )

    def filled(self, n, query, push, box, key, born):
        self.parent_out -= 1
        if box.up and box.born == born:
            box.kept.add(key)
            if (n, query, push) in self.out:
                self.start(n, query, push, box, key, 2)

    def start(self, n, query, push, box, key, note):
        if not box.take(self.now, (n, query, push, note), self.work):
            return self.fall(box)
        self.look(box)

    def look(self, box):
        at = box.next_at(self.now)
        if at is not None:
            self.at(at + 1e-9, self.finish, box)

    def finish(self, box):
        ready = box.finished(self.now)
        for n, query, push, note in ready:
            if self.out.pop((n, query, push), None):
                self.ended(n, query, push, "satisfied", note)
        if ready:
            self.look(box)

    def fall(self, box):
        jobs, box.jobs = list(box.jobs), {}
        for n, query, push, _ in jobs:
            if self.out.pop((n, query, push), None):
                self.ended(n, query, push, "broken", 0)

    def ended(self, n, query, push, result, note):
        self.hear(
            n,
            AttemptEnded(
                query, push, result, note, 0.0, None, b"x" if result == "satisfied" else b"", False, self.now
            ),
        )

    def kill(self, n, effect):
        query, push = effect.request_id, effect.attempt
        server = self.out.pop((n, query, push), None)
        if server:
            box = self.boxes[server]
            box.advance(self.now)
            for note in (1, 2):
                box.jobs.pop((n, query, push, note), None)
