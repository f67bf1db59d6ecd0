"""Tests the canary analysis on simulated windows.

Effects common to both groups must not fail a version, worse versions must be found, and a check after every window
must not raise the rate of false alarms.
"""

import math
import random

from brookhinge.rollout.canary_analysis import (
    CanaryAnalysis,
    MetricDelta,
    RouterWindow,
    VerdictKind,
    difference,
)
from brookhinge.rollout.plan import Metric

BETTER = VerdictKind.BETTER
NO_WORSE = VerdictKind.NO_WORSE
INCONCLUSIVE = VerdictKind.INCONCLUSIVE
WORSE = VerdictKind.WORSE

METRICS = (Metric("worth", 1.0, 0.02), Metric("failed", -1.0, 0.03))


def make_window(rng, loss=0.0, degradation=0.0, skew=0.0, requests=40, routers=10, new=(0, 1)):
    """Draw one window of all routers with two binomially distributed metrics.

    Args:
        rng: Random generator.
        loss: Decrease of the share of good responses at new routers.
        degradation: Decrease of that share, and increase of the failed one, at all routers.
        skew: Increase of the good share at routers 0 and 1, whatever their version.
        requests: Requests of each router.
        routers: Number of routers.
        new: Routers that run the new version.
    """
    rows = []
    for n in range(routers):
        is_new = n in new
        share = 0.93 - degradation - (loss if is_new else 0.0) + (skew if n in (0, 1) else 0.0)
        good = sum(rng.random() < share for _ in range(requests))
        failed = sum(rng.random() < 0.01 + degradation for _ in range(requests))
        deltas = {"worth": MetricDelta(requests, float(good)), "failed": MetricDelta(requests, float(failed))}
        rows.append(RouterWindow(f"k{n % 2}", is_new, deltas))
    return rows


def simulate_stage(seed, loss=0.0, degradation=lambda t: 0.0, skew=0.0, baseline_windows=60, windows=150):
    """Simulate a stage; return its verdict and the number of windows after which it ended."""
    rng, analysis = random.Random(seed), CanaryAnalysis(METRICS, 0.01)
    for t in range(baseline_windows):
        analysis.add_window(True, make_window(rng, 0.0, degradation(t), skew))
    for t in range(windows):
        analysis.add_window(False, make_window(rng, loss, degradation(baseline_windows + t), skew))
        verdict = analysis.verdict()
        if verdict.kind == WORSE:
            return WORSE, t + 1
    return verdict.kind, windows


def test_equal_version_is_rarely_found_worse():
    """At most 1 of 60 stages is a false alarm, with a check after every window and degradation at all routers."""
    degradations = [
        lambda t: 0.0,
        lambda t: 0.3 if 90 < t < 120 else 0.0,
        lambda t: 0.1 * (t % 30 < 5),
        lambda t: 0.05 * math.sin(t / 9.0) + 0.05,
    ]
    verdicts = [simulate_stage(seed, degradation=degradations[seed % 4])[0] for seed in range(60)]
    assert verdicts.count(WORSE) <= 1 and verdicts.count(NO_WORSE) + verdicts.count(BETTER) > 30


def test_degradation_at_all_routers_does_not_fail_the_new_version():
    assert simulate_stage(3, degradation=lambda t: 0.4 if t > 80 else 0.0)[0] != WORSE


def test_difference_that_existed_before_the_change_does_not_fail_the_new_version():
    assert simulate_stage(4, skew=-0.08)[0] != WORSE


def test_worse_version_is_found_sooner_the_larger_its_loss():
    results = {loss: [simulate_stage(seed, loss=loss) for seed in range(6)] for loss in (0.05, 0.10, 0.30)}
    assert all(verdict == WORSE for verdict, _ in results[0.10] + results[0.30])
    assert sum(verdict == WORSE for verdict, _ in results[0.05]) >= 4
    mean_windows = {loss: sum(windows for _, windows in stages) / 6 for loss, stages in results.items()}
    assert mean_windows[0.30] <= mean_windows[0.10] < mean_windows[0.05] < 40


def test_better_version_is_found_better():
    assert simulate_stage(5, loss=-0.06)[0] == BETTER


def test_single_outlier_window_does_not_fail_the_new_version():
    analysis, rng = CanaryAnalysis(METRICS, 0.01), random.Random(1)
    for _ in range(20):
        analysis.add_window(True, make_window(rng))
    for t in range(20):
        analysis.add_window(False, make_window(rng, loss=0.93 if t == 10 else 0.0))
        assert analysis.verdict().kind != WORSE


def test_more_crashes_of_the_new_version_than_of_the_old_one_fail_it():
    analysis = CanaryAnalysis(METRICS, 0.01)
    analysis.add_crash(False)
    analysis.add_crash(True)
    assert analysis.verdict().kind == INCONCLUSIVE
    analysis.add_crash(True)
    assert analysis.verdict()[:2] == (WORSE, "crashes")


def test_routers_are_compared_within_their_agent():
    """There is no difference if all new routers are at the agent where the old ones have the same mean."""

    def row(agent, is_new, samples, total):
        return RouterWindow(agent, is_new, {"worth": MetricDelta(samples, total)})

    rows = [
        row("good", False, 100, 95.0),
        row("bad", False, 100, 50.0),
        row("bad", True, 10, 5.0),
        row("alone", True, 10, 0.0),
    ]
    assert difference("worth", rows) == 0.0
    assert difference("worth", [row("a", True, 10, 5.0)]) is None
