"""Simulates routers and cache servers in virtual time, without sockets and reproducibly from one seed.

The routers run the daemon's own state and decisions; the cache servers and the parent are modeled. A subclass
supplies the clients and the faults. All figures obtained with this module are simulated.
"""

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


class CacheServerModel:
    """A modeled cache server whose jobs share its processor equally.

    Attributes:
        name: Name in the endpoint list.
        cores: Processor capacity of a warm server; a job uses at most one core.
        cold: Slow start settings.
        fails: Share of attempts that the server fails.
        up: Whether the server accepts attempts.
        broken_down: Whether the server broke down from overload while it warmed up.
        born: Start time if the server starts cold, else None.
        stored: Keys of the stored objects.
        jobs: Virtual time at which each job is done.
        finish_heap: Heap of (virtual time, key) of jobs; canceled jobs stay in it until they reach the top.
        virtual_time: Processor seconds that a job present from the start would have received.
        at: Time of the last update of virtual_time.
        sent: Times and work of the jobs of the last window.
        peak: Highest load during a warm-up, in multiples of the capacity at that time.
    """

    def __init__(self, name, cores, cold):
        self.name, self.cores, self.cold, self.fails = name, cores, cold, 0.0
        self.up, self.broken_down, self.born, self.stored = True, False, None, set()
        self.jobs, self.finish_heap, self.virtual_time, self.at, self.sent, self.peak = (
            {},
            [],
            0.0,
            0.0,
            [],
            0.0,
        )

    def capacity(self, now):
        """Returns the capacity in cores, which rises linearly during the warm-up."""
        if self.born is None:
            return self.cores
        cold = self.cold
        return self.cores * (
            cold.initial_share + (1.0 - cold.initial_share) * min(1.0, (now - self.born) / cold.warm_up_s)
        )

    def advance(self, now):
        """Advances the virtual time to a time."""
        if self.jobs:
            self.virtual_time += (now - self.at) * min(1.0, self.capacity(self.at) / len(self.jobs))
        self.at = now

    def take(self, now, key, work):
        """Starts a job; returns False if the server has broken down from overload."""
        self.advance(now)
        self.jobs[key] = self.virtual_time + work
        heapq.heappush(self.finish_heap, (self.virtual_time + work, key))
        self.sent = [(at, w) for at, w in self.sent if now - at <= self.cold.window_s] + [(now, work)]
        load = sum(w for _, w in self.sent) / (self.capacity(now) * self.cold.window_s)
        if self.born is not None and now - self.born < self.cold.warm_up_s:
            self.peak = max(self.peak, load)
            self.broken_down = self.broken_down or load > self.cold.overload_multiple
        return not self.broken_down

    def next_at(self, now):
        """Returns the time at which the next job is done, or None without jobs."""
        while self.finish_heap and self.finish_heap[0][1] not in self.jobs:
            heapq.heappop(self.finish_heap)
        if not self.finish_heap:
            return None
        return now + max(0.0, self.finish_heap[0][0] - self.virtual_time) / min(
            1.0, self.capacity(now) / len(self.jobs)
        )

    def finished(self, now):
        """Removes the jobs that are done and returns their keys."""
        self.advance(now)
        ready = []
        while self.finish_heap and (
            self.finish_heap[0][1] not in self.jobs or self.finish_heap[0][0] <= self.virtual_time + 1e-9
        ):
            _, key = heapq.heappop(self.finish_heap)
            if self.jobs.pop(key, None) is not None:
                ready.append(key)
        return ready


class Model:
    """The simulation: an event queue, cache servers, and routers that the subclass sets.

    Attributes:
        FILL_S: Duration of a fill in seconds while the parent has at most FILLS in flight; it grows in
            proportion beyond that.
        FILLS: Number of concurrent fills that the parent serves at full speed.
        chance: Random number generator of the simulation.
        work: Processor seconds of one job.
        events: Heap of (time, order, function, arguments).
        now: Current time in seconds.
        boxes: Cache servers by name.
        out: Server of each attempt in flight, by router, request and attempt.
        routers: State of each router, by number.
        attempts_sent: Number of attempts sent.
        parent_out: Number of fills in flight.
    """

    FILL_S, FILLS = 0.08, 40

    def __init__(self, seed, boxes, cores, cold, work):
        self.chance, self.work = random.Random(seed), work
        self.events, self.order, self.now = [], itertools.count(), 0.0
        self.boxes = {f"s-{i}": CacheServerModel(f"s-{i}", cores, cold) for i in range(boxes)}
        self.out, self.routers, self.attempts_sent, self.parent_out = {}, [], 0, 0
        self.handlers = {
            SendAttempt: self.pull,
            CancelAttempt: self.kill,
            Respond: self.satisfy,
            RejectRequest: self.nack,
            FailRequest: self.error,
        }

    def at(self, when, function, *args):
        """Schedules a call."""
        heapq.heappush(self.events, (when, next(self.order), function, args))

    def hosts(self, health):
        """Returns the endpoint list: parent, origin, and all cache servers with the given health."""
        rows = [
            ListedEndpoint("s-p", ("", 1), "hub", "parent", 0, "ready", 40.0, None),
            ListedEndpoint("s-o", ("", 2), "hub", "origin", 0, "ready", 40.0, None),
        ]
        return rows + [
            ListedEndpoint(name, ("", 3), "edge", "box", 0, health, float(box.cores), box.born)
            for name, box in self.boxes.items()
        ]

    def tell(self, health, number):
        """Sends the endpoint list to all routers under a sequence number."""
        for n in range(len(self.routers)):
            self.hear(n, EndpointsListed(number, True, self.hosts(health)))

    def play(self, end):
        """Runs the events that are due before a time."""
        while self.events and self.events[0][0] < end:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)

    def hear(self, n, *events):
        """Passes events to router n, handles the effects and schedules its next timer."""
        state = self.routers[n]
        for effect in state.reduce(self.now, list(events)):
            handler = self.handlers.get(type(effect))
            if handler:
                handler(n, effect)
        at = state.next_at()
        if at is not None:
            self.at(max(at, self.now) + 1e-6, self.run_timer, n)

    def run_timer(self, n):
        """Runs the timers of router n that are due."""
        at = self.routers[n].next_at()
        if at is not None and at <= self.now:
            self.hear(n)

    def satisfy(self, n, effect):
        """Called when a client receives its response."""

    def nack(self, n, effect):
        """Called when a request is rejected."""

    def error(self, n, effect):
        """Called when a request fails."""

    def pull(self, n, effect):
        """Starts an attempt of router n at a server."""
        request, attempt, key = effect.request_id, effect.attempt, effect.object_key
        self.attempts_sent += 1
        box = self.boxes.get(effect.server.server)
        if box is None or not box.up or box.broken_down:
            return self.at(self.now + 0.001, self.ended, n, request, attempt, "unreachable", 0)
        hit = key in box.stored
        if not hit and not effect.fill_from:
            return self.at(self.now + 0.002, self.ended, n, request, attempt, "miss", 0)
        if box.fails and self.chance.random() < box.fails:
            return self.at(self.now + 0.002, self.ended, n, request, attempt, "errored", 0)
        self.out[n, request, attempt] = effect.server.server
        if hit:
            return self.start_job(n, request, attempt, box, key, 1)
        self.parent_out += 1
        self.at(
            self.now + self.FILL_S * max(1.0, self.parent_out / self.FILLS),
            self.finish_fill,
            n,
            request,
            attempt,
            box,
            key,
            box.born,
        )

    def finish_fill(self, n, request, attempt, box, key, born):
        """Stores a filled object and starts the job, unless the server stopped or restarted meanwhile."""
        self.parent_out -= 1
        if box.up and box.born == born:
            box.stored.add(key)
            if (n, request, attempt) in self.out:
                self.start_job(n, request, attempt, box, key, 2)

    def start_job(self, n, request, attempt, box, key, note):
        """Starts the job of an attempt on a cache server, which may break down from it."""
        if not box.take(self.now, (n, request, attempt, note), self.work):
            return self.break_down(box)
        self.schedule_finish(box)

    def schedule_finish(self, box):
        """Schedules the end of the server's next job."""
        at = box.next_at(self.now)
        if at is not None:
            self.at(at + 1e-9, self.finish_jobs, box)

    def finish_jobs(self, box):
        """Ends the attempts whose jobs are done."""
        ready = box.finished(self.now)
        for n, request, attempt, note in ready:
            if self.out.pop((n, request, attempt), None):
                self.ended(n, request, attempt, "satisfied", note)
        if ready:
            self.schedule_finish(box)

    def break_down(self, box):
        """Breaks all connections of a server and drops its jobs."""
        jobs, box.jobs = list(box.jobs), {}
        for n, request, attempt, _ in jobs:
            if self.out.pop((n, request, attempt), None):
                self.ended(n, request, attempt, "broken", 0)

    def ended(self, n, request, attempt, result, note):
        """Reports the end of an attempt to router n."""
        self.hear(
            n,
            AttemptEnded(
                request,
                attempt,
                result,
                note,
                0.0,
                None,
                b"x" if result == "satisfied" else b"",
                False,
                self.now,
            ),
        )

    def kill(self, n, effect):
        """Cancels an attempt of router n."""
        request, attempt = effect.request_id, effect.attempt
        server = self.out.pop((n, request, attempt), None)
        if server:
            box = self.boxes[server]
            box.advance(self.now)
            for note in (1, 2):
                box.jobs.pop((n, request, attempt, note), None)
