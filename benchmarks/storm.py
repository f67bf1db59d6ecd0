"""Simulates a retry storm after an outage: the daemon's decisions with modeled cache servers and clients.

    python -m benchmarks.storm --short          # under a minute
    python -m benchmarks.storm --keep benchmarks/results/storm

Three routers share six cache servers of four cores. All cache servers are unreachable for some seconds and
come back cold and empty. A cold cache server fails for good when the work sent to it within a second exceeds
a multiple of its capacity at that moment. By default, a quarter of the clients retry at once, a quarter retry
over and over after a short wait, and half wait for the time in the retry hint. The clients that failed during
the outage come back together at its end. The same seed runs the same clients with and without `storm`, the
protection against retry storms. There are no sockets and no real time, so all results are simulated. The last
line of the output is one JSON object.
"""

import random
import time
from concurrent.futures import ProcessPoolExecutor

from benchmarks import kept
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
from brookhinge.engine.events import ClientConnected, ClientDisconnected, RequestCancelled, RequestReceived
from brookhinge.engine.router_state import RouterState
from brookhinge.overload.retry_lineage import RetryLineage
from brookhinge.overload.retry_schedule import RetrySchedule

ROUTERS, CACHE_SERVERS, CORES, WORK_S, OBJECTS = 3, 6, 4, 0.1, 400
SLOW_START = SlowStart(0.3, 6.0, 3.0, 1.0)
CONTRACT_S, PATIENCE_S, LONGEST_HINT_S = 0.5, 3.0, 2.0
REQUEST_CLASSES = (
    RequestClass(
        "docs",
        Idempotency.REPEATABLE,
        DeduplicationScope.ALL,
        0.0,
        CONTRACT_S,
        0.0,
        PATIENCE_S,
        2.0,
        0.2,
        0.0,
        0.0,
        0.0,
        False,
    ),
    RequestClass(
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
    ),
)


class UserRequest:
    """Request of a user with all its tries, which are measured from the time of the first one.

    Attributes:
        router: Number of the router that the last try went to, or None before the first try.
        first_tried_at: Time of the first try.
        kind: How the client retries: "hint" (waits as the retry hint says), "immediate" or "persistent".
        request_class: Index in `REQUEST_CLASSES`.
        object: Number of the object.
        address: Client address.
        tries: Number of tries so far.
        served_at: Time of the response, or None.
        retry_at: Time that the retry hint of the last try gives, or None.
        followed_hint: Whether the current try arrived at the time of the hint; None once it is counted.
        in_herd: Whether the client came back with the others at the end of the outage.
        is_open: Whether a try is open.
    """

    __slots__ = (
        "router",
        "first_tried_at",
        "kind",
        "request_class",
        "object",
        "address",
        "tries",
        "served_at",
        "retry_at",
        "followed_hint",
        "in_herd",
        "is_open",
    )

    def __init__(self, first_tried_at, kind, request_class, object_, address):
        self.first_tried_at, self.kind, self.request_class, self.object, self.address = (
            first_tried_at,
            kind,
            request_class,
            object_,
            address,
        )
        self.router = None
        self.tries, self.served_at, self.retry_at, self.followed_hint, self.in_herd, self.is_open = (
            0,
            None,
            None,
            None,
            False,
            False,
        )


class StormModel(Model):
    """Model of clients that retry while all cache servers are unreachable and after they are back.

    Attributes:
        storm: Whether the routers protect against retry storms.
        clients: Random numbers for the clients' decisions.
        calm_s: Seconds before the outage.
        cut_s: Seconds of the outage.
        end: Time at which the simulation ends.
        rate: User requests per second.
        hint_share: Share of the clients that wait as the retry hint says.
        proxy_share: Share of the clients behind one of three proxies.
        keep_router_share: Share of the retries that go to the same router as before.
        serial: Last client id given.
        open: Open user requests by router and client id.
        user_requests: All user requests.
        counts: Tries, retry hints, and tries that followed a hint, in all and served.
        counts_before: Counts of each router's retry schedule shortly after the cache servers are back.
    """

    def __init__(
        self,
        seed,
        storm,
        rate,
        calm_s,
        cut_s,
        after_s,
        hint_share=0.5,
        proxy_share=0.2,
        keep_router_share=0.9,
    ):
        super().__init__(seed, CACHE_SERVERS, CORES, SLOW_START, WORK_S)
        self.storm = storm
        self.clients = random.Random(seed + 1)
        self.calm_s, self.cut_s, self.end = calm_s, cut_s, calm_s + cut_s + after_s
        self.rate, self.hint_share, self.proxy_share, self.keep_router_share = (
            rate,
            hint_share,
            proxy_share,
            keep_router_share,
        )
        self.routers = [self.router(n, seed) for n in range(ROUTERS)]
        self.serial, self.open, self.user_requests = 0, {}, []
        self.counts = dict(tries=0, hints=0, followed_hints=0, served_followed_hints=0)
        self.counts_before = [dict.fromkeys(RetrySchedule(0).counts, 0)] * ROUTERS

    def router(self, number, seed):
        """Return the state of a new router."""
        retry_schedule = RetrySchedule(LONGEST_HINT_S) if self.storm else None
        router = Router(
            seed + number,
            request_classes=REQUEST_CLASSES,
            location=Location(1, ROUTERS, ROUTERS, number, True),
            limits=RouterLimits(4, False, True, LONGEST_HINT_S),
            fill_policy=FillPolicy(SiblingFills.ANY, False, True, NoteDetail.ALL, 1000.0, 0.0),
            cache_slow_start=SLOW_START,
            parent_slow_start=SlowStart(1.0, 0.0, 0.0, 1.0),
            purge_settled_s=6.0,
            server_kinds=("parent", "origin"),
            retry_schedule=retry_schedule,
        )
        return RouterState(
            router,
            [t.name.encode() for t in REQUEST_CLASSES],
            ["hub", "edge"],
            lineage=RetryLineage() if self.storm else None,
        )

    # clients

    def arrive(self):
        """Start a user request and schedule the next one."""
        self.at(self.now + self.clients.expovariate(self.rate), self.arrive)
        rng = self.clients
        kind = "hint" if rng.random() < self.hint_share else rng.choice(("immediate", "persistent"))
        address = (
            f"proxy-{rng.randrange(3)}" if rng.random() < self.proxy_share else f"a{len(self.user_requests)}"
        )
        user_request = UserRequest(
            self.now, kind, int(rng.random() < 0.5), min(OBJECTS, int(rng.paretovariate(0.6))), address
        )
        self.user_requests.append(user_request)
        self.ask(user_request)

    def ask(self, user_request):
        """Send a try to a router, unless the user request is served, open or older than 12 s."""
        if (
            user_request.served_at is not None
            or user_request.is_open
            or self.now - user_request.first_tried_at > 12.0
        ):
            return
        user_request.is_open = True
        user_request.tries += 1
        self.counts["tries"] += 1
        self.serial += 1
        if user_request.router is None or self.clients.random() > self.keep_router_share:
            user_request.router = self.clients.randrange(ROUTERS)
        client, n = self.serial, user_request.router
        user_request.followed_hint = (
            user_request.retry_at is not None
            and user_request.retry_at - 0.06 <= self.now <= user_request.retry_at + 0.5
        )
        user_request.retry_at = None
        self.open[n, client] = user_request
        self.hear(
            n,
            *((ClientConnected(client, user_request.address),) if self.storm else ()),
            RequestReceived(
                client,
                1,
                b"%x" % client,
                REQUEST_CLASSES[user_request.request_class].name.encode(),
                b"%016x" % user_request.object,
                b"0",
                0,
                1,
                1000.0 * WORK_S,
                PATIENCE_S,
                None,
                b"",
                self.now,
            ),
        )
        self.at(self.now + PATIENCE_S * 0.7, self.give_up, n, client, user_request)

    def give_up(self, n, client, user_request):
        """Cancel a try that has no response when the client loses patience."""
        if self.open.pop((n, client), None):
            user_request.is_open = False
            self.hear(n, RequestCancelled(client, 1), ClientDisconnected(client))
            self.schedule_retry(user_request, None)

    def close(self, n, client):
        """Close a try and disconnect its client; return the user request, or None if it was not open."""
        user_request = self.open.pop((n, client), None)
        if user_request is not None:
            user_request.is_open = False
            self.at(self.now + 1e-6, self.hear, n, ClientDisconnected(client))
        return user_request

    def satisfy(self, n, effect):
        """Record the response to a try."""
        user_request = self.close(n, effect.client)
        if user_request is not None:
            user_request.served_at = user_request.served_at or self.now
            self.count_followed_hint(user_request, True)

    def nack(self, n, effect):
        """Record a rejected try and let the client retry."""
        user_request = self.close(n, effect.client)
        if user_request is not None:
            self.count_followed_hint(user_request, False)
            self.schedule_retry(user_request, effect.retry_after_s)

    def error(self, n, effect):
        """Record a failed try and let the client retry."""
        user_request = self.close(n, effect.client)
        if user_request is not None:
            self.count_followed_hint(user_request, False)
            self.schedule_retry(user_request, None)

    def count_followed_hint(self, user_request, served):
        """Count the end of a try that arrived at the time of a retry hint."""
        if user_request.followed_hint:
            self.counts["followed_hints"] += 1
            self.counts["served_followed_hints"] += served
            user_request.followed_hint = None

    def schedule_retry(self, user_request, hint_s):
        """Schedule the retry after a try that was not served, unless the client has no tries left."""
        if user_request.tries >= (3 if user_request.kind != "persistent" else 30):
            return
        if user_request.kind == "hint" and hint_s:
            self.counts["hints"] += 1
            user_request.retry_at = self.now + hint_s
            self.at(self.now + hint_s + self.clients.uniform(0.0, 0.03), self.ask, user_request)
        else:
            pause = 0.01 if user_request.kind == "immediate" else self.clients.uniform(0.1, 0.4)
            self.at(self.now + pause, self.ask, user_request)

    # scenario

    def cut(self):
        """Make all cache servers unreachable and drop their copies; the endpoint list shows it 1 s later."""
        for cache_server in self.boxes.values():
            cache_server.up, cache_server.stored = False, set()
            self.break_down(cache_server)
        self.at(self.now + 1.0, self.tell, "gone", 2)

    def restore(self):
        """Bring the cache servers back and let recent clients that were not served try again together."""
        for cache_server in self.boxes.values():
            cache_server.up, cache_server.born, cache_server.at, cache_server.sent = (
                True,
                self.now,
                self.now,
                [],
            )
        self.at(self.now + 0.3, self.tell, "ready", 3)
        self.at(self.now + 0.5, self.record_schedule_counts)
        for user_request in self.user_requests:
            if user_request.served_at is None and self.now - user_request.first_tried_at < 8.0:
                user_request.in_herd, user_request.tries = True, min(user_request.tries, 1)
                self.at(self.now + 0.3 + self.clients.uniform(0.0, 0.5), self.ask, user_request)

    def record_schedule_counts(self):
        """Record the counts of the retry schedules, to leave out reservations made before the recovery.

        Those were made without knowledge of the outage.
        """
        self.counts_before = (
            [dict(r.decisions.retry_schedule.counts) for r in self.routers] if self.storm else []
        )

    def run(self):
        """Run the simulation and return its results."""
        self.tell("ready", 1)
        self.at(0.0, self.arrive)
        self.at(self.calm_s, self.cut)
        self.at(self.calm_s + self.cut_s, self.restore)
        self.play(self.end)
        return self.figures()

    def service(self, begin, end):
        """Return the share of the requested utility that was served, measured from the first try.

        A response after the contract time counts a fifth, one after the client's patience nothing.
        """
        rows = [
            user_request for user_request in self.user_requests if begin <= user_request.first_tried_at < end
        ]
        requested = sum(REQUEST_CLASSES[user_request.request_class].utility for user_request in rows)
        delivered = sum(
            REQUEST_CLASSES[user_request.request_class].utility
            * (1.0 if user_request.served_at - user_request.first_tried_at <= CONTRACT_S else 0.2)
            for user_request in rows
            if user_request.served_at is not None
            and user_request.served_at - user_request.first_tried_at <= PATIENCE_S
        )
        return delivered / requested if requested else 0.0

    def figures(self):
        """Return the results of the simulation."""
        recovery_at = self.calm_s + self.cut_s
        calm, step_s = self.service(self.calm_s * 0.4, self.calm_s - 0.5), 0.5
        slots = [
            (at, self.service(at, at + step_s))
            for at in (recovery_at + step_s * i for i in range(int((self.end - recovery_at - 3.0) / step_s)))
        ]
        recovered_at = next(
            (at for i, (at, s) in enumerate(slots) if all(x >= 0.9 * calm for _, x in slots[i : i + 3])), None
        )
        herd = [user_request for user_request in self.user_requests if user_request.in_herd]
        schedule_counts = (
            [
                {key: r.decisions.retry_schedule.counts[key] - counts_before[key] for key in counts_before}
                for r, counts_before in zip(self.routers, self.counts_before)
            ]
            if self.storm
            else []
        )
        return dict(
            calm=round(calm, 4),
            service_after=round(self.service(recovery_at, recovery_at + 8.0), 4),
            to_calm_s=None if recovered_at is None else round(recovered_at - recovery_at, 2),
            herd=len(herd),
            herd_served=round(
                sum(user_request.served_at is not None for user_request in herd) / max(1, len(herd)), 4
            ),
            peak_over_present=round(max(cache_server.peak for cache_server in self.boxes.values()), 2),
            fallen=sum(cache_server.broken_down for cache_server in self.boxes.values()),
            places_kept_served=round(
                sum(c["served"] for c in schedule_counts) / max(1, sum(c["kept"] for c in schedule_counts)), 4
            ),
            places_came=round(
                sum(c["kept"] for c in schedule_counts) / max(1, sum(c["given"] for c in schedule_counts)), 4
            ),
            places=sum(c["given"] for c in schedule_counts),
            kept_share_served=round(
                self.counts["served_followed_hints"] / max(1, self.counts["followed_hints"]), 4
            ),
            told_came=round(self.counts["followed_hints"] / max(1, self.counts["hints"]), 4),
            tries=self.counts["tries"],
            first_tries=len(self.user_requests),
            pushes=self.attempts_sent,
            beside=sum(r.totals.counts["beside"] for r in self.routers),
            again=sum(r.totals.counts["again"] for r in self.routers),
        )


def run_model(seed, storm, scale=1.0, rate=140.0, **other):
    """Run one simulation with periods of 8 s calm, 6 s outage and 14 s recovery, times `scale`."""
    return StormModel(seed, storm, rate, 8.0 * scale, 6.0 * scale, 14.0 * scale, **other).run()


SCENARIOS = {
    "usual": {},
    "no hints heeded": {"hint_share": 0.0},
    "all heed": {"hint_share": 1.0},
    "busy": {"rate": 190.0},
    "clients change routers": {"keep_router_share": 0.5},
    "all behind proxies": {"proxy_share": 1.0},
}


def run_scenario(job):
    """Run one scenario with one seed, with or without storm protection."""
    name, storm, seed = job
    return run_model(seed, storm, **SCENARIOS[name])


def measure_calm_cost(count, repetitions=3):
    """Return CPU microseconds per request without an outage, without and with storm protection.

    The two variants alternate, and the minimum of each counts.
    """
    best = {}
    for _ in range(repetitions):
        for storm in (False, True):
            model = StormModel(3, storm, 60.0, count / 60.0, 0.0, 0.0)
            model.cut, model.restore = (lambda: None), model.record_schedule_counts
            began = time.process_time()
            model.run()
            elapsed_us = (time.process_time() - began) / max(1, len(model.user_requests)) * 1e6
            best[storm] = min(elapsed_us, best.get(storm, elapsed_us))
    return {
        "without_us": round(best[False], 1),
        "storm_us": round(best[True], 1),
        "more": round(best[True] / best[False] - 1.0, 4),
    }


def chart(results, path):
    """Draw the chart of the results to a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(13, 4.2))
    names = list(SCENARIOS)
    for axis, key, title in zip(
        axes,
        ("service_after", "to_calm_s"),
        ("service over 8 s after the cut", "seconds to 0.9 of calm service"),
    ):
        for shift, variant in ((-0.2, "without"), (0.2, "storm")):
            axis.bar(
                [i + shift for i in range(len(names))],
                [results[name][variant][key] for name in names],
                0.38,
                label=variant,
            )
        axis.set_xticks(range(len(names)), [name.replace(" ", "\n") for name in names], fontsize=7)
        axis.set_title(title + " (simulated)")
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main():
    """Run the benchmark with the command-line options."""
    options = kept.parse_options()
    seeds = range(1, 3 if options.short else 13)
    jobs = [(name, storm, seed) for name in SCENARIOS for storm in (False, True) for seed in seeds]
    with ProcessPoolExecutor() as pool:
        results_by_job = dict(zip(jobs, pool.map(run_scenario, jobs)))
    results = {"calm_cost": measure_calm_cost(600 if options.short else 4000)}
    for name in SCENARIOS:
        results[name] = {}
        for storm in (False, True):
            rows = [results_by_job[name, storm, seed] for seed in seeds]
            results[name]["storm" if storm else "without"] = {
                key: round(sum(14.0 if row[key] is None else row[key] for row in rows) / len(rows), 4)
                for key in rows[0]
            }
    kept.finish(results, options.keep, chart)


if __name__ == "__main__":
    main()
