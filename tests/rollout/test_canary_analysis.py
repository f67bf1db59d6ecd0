"""The canary analysis in numbers: what is common condemns nobody, what is worse is found, and looking often does not raise false alarms."""

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


def rows(chance, worse=0.0, trouble=0.0, skew=0.0, queries=40, routers=10, new=(0, 1)):
    """One window: each router's queries, and the sums of two figures by binomial chance."""
    out = []
    for n in range(routers):
        changed = n in new
        share = 0.93 - trouble - (worse if changed else 0.0) + (skew if n in (0, 1) else 0.0)
        good = sum(chance.random() < share for _ in range(queries))
        bad = sum(chance.random() < 0.01 + trouble for _ in range(queries))
        deltas = {"worth": MetricDelta(queries, float(good)), "failed": MetricDelta(queries, float(bad))}
        out.append(RouterWindow(f"k{n % 2}", changed, deltas))
    return out


def rollout(seed, worse=0.0, trouble=lambda t: 0.0, skew=0.0, before=60, windows=150):
    """The first word that ends a stage, or the last; and after how many windows."""
    chance, analysis = random.Random(seed), CanaryAnalysis(METRICS, 0.01)
    for t in range(before):
        analysis.add_window(True, rows(chance, 0.0, trouble(t), skew))
    for t in range(windows):
        analysis.add_window(False, rows(chance, worse, trouble(before + t), skew))
        verdict = analysis.verdict()
        if verdict.kind == WORSE:
            return WORSE, t + 1
    return verdict.kind, windows


def test_a_change_that_does_nothing_is_stopped_once_in_a_hundred_at_most():
    """Looked at after every window, with troubles going on."""
    troubled = [
        lambda t: 0.0,
        lambda t: 0.3 if 90 < t < 120 else 0.0,
        lambda t: 0.1 * (t % 30 < 5),
        lambda t: 0.05 * math.sin(t / 9.0) + 0.05,
    ]
    words = [rollout(seed, trouble=troubled[seed % 4])[0] for seed in range(60)]
    assert words.count(WORSE) <= 1 and words.count(NO_WORSE) + words.count(BETTER) > 30


def test_a_common_trouble_is_nobodys_fault():
    assert rollout(3, trouble=lambda t: 0.4 if t > 80 else 0.0)[0] != WORSE


def test_a_group_that_was_worse_before_is_no_worse_for_it():
    assert rollout(4, skew=-0.08)[0] != WORSE


def test_what_is_worse_is_found_and_the_worse_the_sooner():
    found = {worse: [rollout(seed, worse=worse) for seed in range(6)] for worse in (0.05, 0.10, 0.30)}
    assert all(word == WORSE for word, _ in found[0.10] + found[0.30])
    assert sum(word == WORSE for word, _ in found[0.05]) >= 4
    mean = {worse: sum(at for _, at in told) / 6 for worse, told in found.items()}
    assert mean[0.30] <= mean[0.10] < mean[0.05] < 40


def test_what_is_better_is_said_to_be():
    assert rollout(5, worse=-0.06)[0] == BETTER


def test_one_wild_window_decides_nothing():
    analysis, chance = CanaryAnalysis(METRICS, 0.01), random.Random(1)
    for _ in range(20):
        analysis.add_window(True, rows(chance))
    for t in range(20):
        analysis.add_window(False, rows(chance, worse=0.93 if t == 10 else 0.0))
        assert analysis.verdict().kind != WORSE


def test_crashes_among_the_new_alone():
    analysis = CanaryAnalysis(METRICS, 0.01)
    analysis.add_crash(False)
    analysis.add_crash(True)
    assert analysis.verdict().kind == INCONCLUSIVE
    analysis.add_crash(True)
    assert analysis.verdict()[:2] == (WORSE, "crashes")


def test_places_are_compared_each_with_itself():
    """All new routers stand where it is bad for all: no difference."""

    def row(agent, is_new, samples, total):
        return RouterWindow(agent, is_new, {"worth": MetricDelta(samples, total)})

    told = [
        row("good", False, 100, 95.0),
        row("bad", False, 100, 50.0),
        row("bad", True, 10, 5.0),
        row("alone", True, 10, 0.0),
    ]
    assert difference("worth", told) == 0.0
    assert difference("worth", [row("a", True, 10, 5.0)]) is None
