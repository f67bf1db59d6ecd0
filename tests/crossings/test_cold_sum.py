"""All routers together send a server in slow start at most N + 2 x sqrt(N) + 2 requests in any window.

N is the mean that the settings allow; the rest covers random arrivals.
"""

import random

import pytest

from brookhinge.decisions.messages import EndpointsListed
from brookhinge.decisions.settings import SlowStart
from brookhinge.decisions.slow_start import SlowStartBudget
from tests.helpers import RouterHarness

START = SlowStart(0.2, 10.0, 2.5, 2.0)


def max_excess_requests(
    routers,
    seed,
    works,
    warm_capacity=6.0,
    unequal=False,
    idle_s=0.0,
    restart_at=None,
    budget_class=SlowStartBudget,
):
    """Return by how many requests the worst window exceeds the bound during one slow start.

    The server starts at time 0 and all routers learn of it at once. After `idle_s` seconds, the routers request far
    more than the server can handle; if `unequal`, some request many times as much as others.
    """
    rng = random.Random(seed)
    budgets = [budget_class(START, routers) for _ in range(routers)]
    router_rngs = [random.Random(seed * 1000 + i) for i in range(routers)]
    shares = [1.0 / (i + 1) if unequal else 1.0 for i in range(routers)]
    mean_work, requests = sum(works) / len(works), []
    for i, share in enumerate(shares):
        now, rate = idle_s, 6.0 * warm_capacity / mean_work * share / sum(shares)
        while (now := now + rng.expovariate(rate)) < START.warm_up_s:
            requests.append((now, i, rng.choice(works)))
    for budget in budgets:
        budget.credited_at[0], budget.credit[0] = 0.0, 0.0  # as Router.on_endpoints does for a listed start
    sent, worst, window_work = [], -1e9, 0.0
    for now, i, work in sorted(requests):
        if restart_at is not None and now >= restart_at:
            restart_at, budgets = None, [budget_class(START, routers) for _ in range(routers)]
            for budget in budgets:
                budget.credited_at[0], budget.credit[0] = now, 0.0
        admitted = budgets[i].admits(
            0,
            now=now,
            started_at=0.0,
            warm_capacity=warm_capacity,
            work=work,
            largest_s=max(works),
            rng=router_rngs[i],
        )
        if admitted:
            sent.append((now, work))
            window_work += work
            while sent[0][0] <= now - START.window_s:
                window_work -= sent.pop(0)[1]
            capacity = (
                START.initial_share + (1.0 - START.initial_share) * min(1.0, now / START.warm_up_s)
            ) * warm_capacity
            allowed = START.overload_multiple * capacity * START.window_s / mean_work
            worst = max(worst, window_work / mean_work - allowed - 2.0 * allowed**0.5 - 2.0)
    assert worst > -1e9
    return worst


@pytest.mark.parametrize("routers", [1, 3, 20, 30, 200])
@pytest.mark.parametrize("idle_s", [0.0, 2.0, 6.0])
def test_all_routers_together_stay_within_the_budget(routers, idle_s):
    for seed in range(4):
        for works in ((0.05,), (0.4, 0.06), (0.3,)):
            for unequal in (False, True):
                assert max_excess_requests(routers, seed, works, unequal=unequal, idle_s=idle_s) <= 0.0, (
                    seed,
                    works,
                    unequal,
                )


def test_bound_holds_when_all_routers_restart_during_a_slow_start():
    for seed in range(6):
        for routers in (3, 30, 200):
            assert max_excess_requests(routers, seed, (0.05,), restart_at=2.0 + seed) <= 0.0


def test_check_detects_credit_that_is_not_limited_per_window():
    """Injected fault: credit of four windows is saved, as an earlier version did, and no limit applies to one window."""

    class UnboundedWindowBudget(SlowStartBudget):
        def fleet_limits(self, *values):
            return super().fleet_limits(*values)[0], 1e9

    assert max_excess_requests(30, 1, (0.05,), idle_s=6.0, budget_class=UnboundedWindowBudget) > 20.0


def test_check_detects_routers_that_exceed_their_share():
    """Injected fault: each router rounds up a fraction of a request to a whole one."""

    class RoundingBudget(SlowStartBudget):
        def admits(self, server, *, now, **values):
            return (
                super().admits(server, now=now, **values)
                or now - self.credited_at.get("up", -9.0) > 2.0
                and self.credited_at.update(up=now) is None
            )

    assert max_excess_requests(200, 1, (0.4, 0.06), budget_class=RoundingBudget) > 20.0


def test_work_of_removed_servers_does_not_raise_the_estimated_capacity():
    """Six of ten servers are replaced within seconds, and their weights are unknown.

    When the work of ten servers was divided among the remaining four, the six starting ones were sent more than twice
    what they can handle.
    """

    def estimated_capacity(gone):
        bench = RouterHarness(weight=0.0, caches=range(21, 31), routers=8)
        for step in range(200):
            bench.router.now = bench.now = bench.now + 0.1
            for server in bench.router.endpoints.local_caches:
                bench.router.throughput.record_work(server, bench.now, 0.05)
        rows = [bench.row(server, "gone") for server in range(21, 21 + gone)] + [
            bench.row(50 + n, born=bench.now) for n in range(gone)
        ]
        bench.call(EndpointsListed(False, rows))
        return bench.router.throughput.warm_capacity(bench.router.endpoints.index[30], bench.now)

    # 0.05 s of work per 0.1 s from each of 8 routers: 4.0
    assert 3.0 < estimated_capacity(0) <= estimated_capacity(6) < 4.1


def test_only_answered_fills_raise_the_estimated_capacity_of_a_parent():
    """During congestion, the last warm parent completes less than it is sent; only the former is its capacity."""

    def estimated_capacity(result):
        bench = RouterHarness(weight=0.0, routers=40, note_detail="all")
        for part in range(60):
            bench.ask("k", part=part)
            while bench.last_request_id in bench.router.requests:
                is_lookup = (
                    bench.router.requests[bench.last_request_id].source
                    == bench.router.requests[bench.last_request_id].server
                )
                bench.end(
                    bench.last_request_id,
                    "miss" if is_lookup else result,
                    took_s=0.3,
                    note=0 if is_lookup else 3,
                )
        return bench.router.throughput.warm_capacity(bench.router.endpoints.index[11], bench.now)

    assert estimated_capacity("timeout") == 1.0 < estimated_capacity("satisfied")
