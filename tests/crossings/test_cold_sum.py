"""What all routers together send to a cold server: N calls in any window, and 2 x root of N + 2 by chance."""

import random

import pytest

from brookhinge.decisions.messages import EndpointsListed
from brookhinge.decisions.settings import SlowStart
from brookhinge.decisions.slow_start import SlowStartBudget
from tests.helpers import RouterHarness

START = SlowStart(0.2, 10.0, 2.5, 2.0)


def over(routers, seed, works, power=6.0, unequal=False, idle_s=0.0, restart_at=None, made=SlowStartBudget):
    """By how many calls the worst window passes the bound, over one cold start at time 0 of which all are told at once;
    after idle_s far more is asked than the server can do, by some routers many times as much as by others."""
    chance = random.Random(seed)
    budgets = [made(START, routers) for _ in range(routers)]
    chances = [random.Random(seed * 1000 + i) for i in range(routers)]
    shares = [1.0 / (i + 1) if unequal else 1.0 for i in range(routers)]
    usual, asked = sum(works) / len(works), []
    for i, share in enumerate(shares):
        now, rate = idle_s, 6.0 * power / usual * share / sum(shares)
        while (now := now + chance.expovariate(rate)) < START.warm_up_s:
            asked.append((now, i, chance.choice(works)))
    for budget in budgets:
        budget.credited_at[0], budget.credit[0] = 0.0, 0.0  # as Router.on_endpoints does at the telling
    sent, worst, done = [], -1e9, 0.0
    for now, i, work in sorted(asked):
        if restart_at is not None and now >= restart_at:
            restart_at, budgets = None, [made(START, routers) for _ in range(routers)]
            for budget in budgets:
                budget.credited_at[0], budget.credit[0] = now, 0.0
        admitted = budgets[i].admits(
            0, now=now, started_at=0.0, power=power, work=work, largest_s=max(works), chance=chances[i]
        )
        if admitted:
            sent.append((now, work))
            done += work
            while sent[0][0] <= now - START.window_s:
                done -= sent.pop(0)[1]
            can = (
                START.initial_share + (1.0 - START.initial_share) * min(1.0, now / START.warm_up_s)
            ) * power
            calls = START.overload_multiple * can * START.window_s / usual
            worst = max(worst, done / usual - calls - 2.0 * calls**0.5 - 2.0)
    assert worst > -1e9
    return worst


@pytest.mark.parametrize("routers", [1, 3, 20, 30, 200])
@pytest.mark.parametrize("idle_s", [0.0, 2.0, 6.0])
def test_all_routers_together_stay_within_the_budget(routers, idle_s):
    for seed in range(4):
        for works in ((0.05,), (0.4, 0.06), (0.3,)):
            for unequal in (False, True):
                assert over(routers, seed, works, unequal=unequal, idle_s=idle_s) <= 0.0, (
                    seed,
                    works,
                    unequal,
                )


def test_all_routers_restart_beside_a_cold_server():
    for seed in range(6):
        for routers in (3, 30, 200):
            assert over(routers, seed, (0.05,), restart_at=2.0 + seed) <= 0.0


def test_the_bound_finds_what_is_saved_without_one():
    """Planted: what comes is kept for four windows, as it was, and nothing bounds one."""

    class Saving(SlowStartBudget):
        def fleet_limits(self, *values):
            return super().fleet_limits(*values)[0], 1e9

    assert over(30, 1, (0.05,), idle_s=6.0, made=Saving) > 20.0


def test_each_takes_more_than_its_part_and_the_bound_finds_it():
    """Planted: a part of a call rounded up by each."""

    class Rounding(SlowStartBudget):
        def admits(self, c, *, now, **values):
            return (
                super().admits(c, now=now, **values)
                or now - self.credited_at.get("up", -9.0) > 2.0
                and self.credited_at.update(up=now) is None
            )

    assert over(200, 1, (0.4, 0.06), made=Rounding) > 20.0


def test_what_many_carried_that_are_gone_is_not_what_the_few_left_can_do():
    """Six in ten servers are replaced within seconds, weights are not told: the work of ten, divided among four, let the
    cold six be sent more than twice what they bear."""

    def power(gone):
        b = RouterHarness(weight=0.0, caches=range(21, 31), routers=8)
        for step in range(200):
            b.router.now = b.now = b.now + 0.1
            for c in b.router.endpoints.local_caches:
                b.router.throughput.record_work(c, b.now, 0.05)
        rows = [b.row(c, "gone") for c in range(21, 21 + gone)] + [
            b.row(50 + n, born=b.now) for n in range(gone)
        ]
        b.call(EndpointsListed(False, rows))
        return b.router.throughput.power(b.router.endpoints.index[30], b.now)

    assert 3.0 < power(0) <= power(6) < 4.1  # 0.05 s in 0.1 s at each, by each of 8 routers: 4.0


def test_fills_count_for_what_a_parent_can_do_once_they_are_answered():
    """In a jam what is sent to the last warm parent is not what it does."""

    def power(result):
        b = RouterHarness(weight=0.0, routers=40, note_detail="all")
        for part in range(60):
            b.ask("k", part=part)
            while b.last_request_id in b.router.requests:
                looks = (
                    b.router.requests[b.last_request_id].source == b.router.requests[b.last_request_id].server
                )
                b.end(b.last_request_id, "miss" if looks else result, took_s=0.3, note=0 if looks else 3)
        return b.router.throughput.power(b.router.endpoints.index[11], b.now)

    assert power("timeout") == 1.0 < power("satisfied")
