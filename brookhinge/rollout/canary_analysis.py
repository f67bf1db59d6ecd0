"""Compares routers of a new version with those of the old one on the same traffic. No I/O, no clock.

A metric is taken over windows: in each, the new routers' mean less the old ones', agent by agent, weighted by
samples. What is common to both groups (a server fails, a zone is cut off, traffic doubles) cancels; how the
groups differed before the change is subtracted as a baseline. The differences feed an asymptotic confidence
sequence (normal mixture: Robbins 1970; Waudby-Smith, Arbour, Sinha, Kennedy, Ramdas 2021), so looking after
every window does not raise the chance of a false alarm, which is alpha over a whole rollout.
"""

import dataclasses
import enum
import itertools
import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from brookhinge.rollout.plan import Metric

TIGHTEST_AT_WINDOWS = 40.0
LEAST_WINDOWS = 8  # before anything but a crash is judged
CLIP_DEVIATIONS = 6.0  # a window further from the median counts as this far
TRIFLE = 0.25  # of a metric's tolerance: a smaller loss does not condemn a version
MAD_TO_DEVIATION = 1.4826  # of a normal distribution
LEAST_VARIANCE = 1e-12
CRASHES = "crashes"


class VerdictKind(enum.StrEnum):
    """What is known of the new version; the values are stored and shown to operators."""

    BETTER = "better"
    NO_WORSE = "no worse"
    WORSE = "worse"
    INCONCLUSIVE = "can't tell yet"


class Verdict(NamedTuple):
    """A judgement and the metric that decided it.

    Attributes:
        metric: the one that decided, or the worst of those still open.
        value: new less old, less the baseline; above 0 is better.
        low, high: confidence bounds of `value`.
        windows: that it rests on.
    """

    kind: VerdictKind
    metric: str
    value: float
    low: float
    high: float
    windows: int


class MetricDelta(NamedTuple):
    """What one router added to a metric in one window."""

    samples: float
    total: float


class RouterWindow(NamedTuple):
    """One router in one window."""

    agent: str
    is_new: bool
    metrics: dict[str, MetricDelta]


class ConfidenceSequence:
    """The mean of a series with bounds that hold at all times together with probability 1 - alpha."""

    def __init__(self, alpha: float):
        self._alpha = alpha
        self._values: list[float] = []
        self._mixture_variance = (
            -2.0 * math.log(alpha) + math.log(-2.0 * math.log(alpha) + 1.0)
        ) / TIGHTEST_AT_WINDOWS

    def __len__(self) -> int:
        return len(self._values)

    def add(self, value: float) -> None:
        """Add the next window's value."""
        self._values.append(value)

    def bounds(self, is_final: bool = False) -> tuple[float, float]:
        """Return mean and half width; the width is infinite before LEAST_WINDOWS.

        Args:
            is_final: no value will follow, so that the narrower bound for a single look holds.
        """
        count = len(self._values)
        if count < LEAST_WINDOWS:
            return (sum(self._values) / count if count else 0.0), math.inf
        values = _clipped(self._values)
        mean = sum(values) / count
        deviation = math.sqrt(_variance(values, mean))
        if is_final:
            return mean, deviation * math.sqrt(2.0 * math.log(2.0 / self._alpha) / count)
        t = count * self._mixture_variance
        return mean, deviation * math.sqrt(
            2.0 * (t + 1.0) / (count * t) * math.log(math.sqrt(t + 1.0) / self._alpha)
        )


def _clipped(values: list[float]) -> list[float]:
    """Return the values with outliers moved to CLIP_DEVIATIONS from the median."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    median = ordered[middle]
    usual = sorted(abs(v - median) for v in ordered)[middle] * MAD_TO_DEVIATION
    if not usual:
        return values
    reach = CLIP_DEVIATIONS * usual
    return [max(median - reach, min(median + reach, v)) for v in values]


def _variance(values: list[float], mean: float) -> float:
    """Return the variance, with the covariance of neighbouring windows: a queue makes them alike."""
    degrees = len(values) - 1
    variance = sum((v - mean) ** 2 for v in values) / degrees
    covariance = 2.0 * sum((a - mean) * (b - mean) for a, b in itertools.pairwise(values)) / degrees
    return max(variance, variance + covariance, LEAST_VARIANCE)


class MetricComparison:
    """One metric of one stage: its differences before the change and after it."""

    def __init__(self, metric: Metric, alpha: float):
        self.metric = metric
        self.baseline = ConfidenceSequence(alpha)
        self.canary = ConfidenceSequence(alpha)

    def verdict(self) -> Verdict:
        """Return what is known now. The errors of baseline and canary are independent and add by squares."""
        mean, half_width = self.canary.bounds()
        baseline_mean, baseline_half_width = self.baseline.bounds(is_final=True)
        value = self.metric.sign * (mean - baseline_mean)
        half = math.hypot(half_width, baseline_half_width)
        low = value - half
        high = value + half
        return Verdict(self._kind(value, low, high), self.metric.name, value, low, high, len(self.canary))

    def _kind(self, value: float, low: float, high: float) -> VerdictKind:
        tolerance = self.metric.tolerance
        if high < 0.0 and value < -TRIFLE * tolerance:
            return VerdictKind.WORSE
        if low > 0.0:
            return VerdictKind.BETTER
        if low > -tolerance:
            return VerdictKind.NO_WORSE
        return VerdictKind.INCONCLUSIVE


@dataclasses.dataclass(slots=True)
class _AgentTotals:
    """Sums of one agent's routers in one window."""

    new_samples: float = 0.0
    new_total: float = 0.0
    old_samples: float = 0.0
    old_total: float = 0.0

    def add(self, is_new: bool, delta: MetricDelta) -> None:
        if is_new:
            self.new_samples += delta.samples
            self.new_total += delta.total
        else:
            self.old_samples += delta.samples
            self.old_total += delta.total


def difference(metric: str, rows: Iterable[RouterWindow]) -> float | None:
    """Return new less old mean of one window, or None if no agent has samples of both groups."""
    by_agent: dict[str, _AgentTotals] = {}
    for row in rows:
        if metric in row.metrics:
            by_agent.setdefault(row.agent, _AgentTotals()).add(row.is_new, row.metrics[metric])
    weights = 0.0
    weighted = 0.0
    for sums in by_agent.values():
        if sums.new_samples and sums.old_samples:
            weight = 1.0 / (1.0 / sums.new_samples + 1.0 / sums.old_samples)  # as sure as both means are
            weights += weight
            weighted += weight * (sums.new_total / sums.new_samples - sums.old_total / sums.old_samples)
    return weighted / weights if weights else None


class CanaryAnalysis:
    """All metrics of one stage, and crashes of both groups."""

    def __init__(self, metrics: Sequence[Metric], alpha: float):
        """Start a stage; alpha is the probability of a false WORSE over it, shared by all metrics."""
        self._comparisons = {
            metric.name: MetricComparison(metric, alpha / len(metrics)) for metric in metrics
        }
        self._new_crashes = 0
        self._old_crashes = 0

    def add_window(self, is_baseline: bool, rows: Sequence[RouterWindow]) -> None:
        """Add one window of all routers; in the baseline those marked new are not changed yet."""
        for name, comparison in self._comparisons.items():
            value = difference(name, rows)
            if value is not None:
                (comparison.baseline if is_baseline else comparison.canary).add(value)

    def add_crash(self, is_new: bool) -> None:
        """Count a crash of a router of the new or the old version."""
        if is_new:
            self._new_crashes += 1
        else:
            self._old_crashes += 1

    def verdict(self) -> Verdict:
        """Return the worst of all metrics' verdicts.

        WORSE if any metric is, or if more new routers crashed than old ones; else INCONCLUSIVE if any is;
        BETTER if any is and the others are no worse.
        """
        if self._new_crashes > self._old_crashes:
            return Verdict(VerdictKind.WORSE, CRASHES, float(-self._new_crashes), -math.inf, 0.0, 0)
        verdicts = [comparison.verdict() for comparison in self._comparisons.values()]
        for kind in (VerdictKind.WORSE, VerdictKind.INCONCLUSIVE, VerdictKind.BETTER):
            found = [verdict for verdict in verdicts if verdict.kind == kind]
            if found:
                return min(found, key=lambda verdict: verdict.value)
        return min(verdicts, key=lambda verdict: verdict.value)
