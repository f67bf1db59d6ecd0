"""Compares routers of a new version with routers of the old one on the same traffic. No I/O, no clock.

For each metric and window, the analysis takes the mean of the new routers minus that of the old ones, agent
by agent, weighted by samples. Effects common to both groups (a server fails, a zone is cut off, traffic
doubles) cancel out, and the difference between the groups before the change is subtracted as a baseline. The
differences feed an asymptotic confidence sequence (normal mixture: Robbins 1970; Waudby-Smith, Arbour, Sinha,
Kennedy, Ramdas 2021), so a check after every window does not raise the probability of a false alarm, which is
alpha over a whole rollout.
"""

import dataclasses
import enum
import itertools
import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from brookhinge.rollout.plan import Metric

TIGHTEST_AT_WINDOWS = 40.0  # the mixture variance is optimal for this many windows
MIN_WINDOWS = 8  # with fewer windows only crashes count
CLIP_DEVIATIONS = 6.0  # values further from the median are moved to this distance
NEGLIGIBLE_LOSS = 0.25  # fraction of a metric's tolerance; a smaller loss does not fail a version
MAD_TO_DEVIATION = 1.4826  # median absolute deviation to standard deviation, for a normal distribution
MIN_VARIANCE = 1e-12
CRASHES = "crashes"


class VerdictKind(enum.StrEnum):
    """How the new version compares with the old one; the values are stored and shown to operators."""

    BETTER = "better"
    NO_WORSE = "no worse"
    WORSE = "worse"
    INCONCLUSIVE = "can't tell yet"


class Verdict(NamedTuple):
    """Result of a comparison and the metric that decided it.

    Attributes:
        kind: Result of the comparison.
        metric: Name of the deciding metric, or "crashes"; of several, the one with the lowest value.
        value: New mean minus old mean minus baseline; above 0 the new version is better.
        low: Lower confidence bound of `value`.
        high: Upper confidence bound of `value`.
        windows: Number of windows since the change that the result is based on.
    """

    kind: VerdictKind
    metric: str
    value: float
    low: float
    high: float
    windows: int


class MetricDelta(NamedTuple):
    """Growth of one metric's totals at one router within one window."""

    samples: float
    total: float


class RouterWindow(NamedTuple):
    """The metrics of one router in one window."""

    agent: str
    is_new: bool
    metrics: dict[str, MetricDelta]


class ConfidenceSequence:
    """Mean of a series with bounds that hold at all times simultaneously with probability 1 - alpha."""

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
        """Return the mean and the half width of its bounds, which is infinite with fewer than MIN_WINDOWS.

        Args:
            is_final: Whether the series is complete, so that the narrower bound for a single check holds.
        """
        count = len(self._values)
        if count < MIN_WINDOWS:
            return (sum(self._values) / count if count else 0.0), math.inf
        values = _clip_outliers(self._values)
        mean = sum(values) / count
        deviation = math.sqrt(_variance(values, mean))
        if is_final:
            return mean, deviation * math.sqrt(2.0 * math.log(2.0 / self._alpha) / count)
        t = count * self._mixture_variance
        return mean, deviation * math.sqrt(
            2.0 * (t + 1.0) / (count * t) * math.log(math.sqrt(t + 1.0) / self._alpha)
        )


def _clip_outliers(values: list[float]) -> list[float]:
    """Return the values with outliers moved to CLIP_DEVIATIONS standard deviations from the median."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    median = ordered[middle]
    deviation = sorted(abs(v - median) for v in ordered)[middle] * MAD_TO_DEVIATION
    if not deviation:
        return values
    max_distance = CLIP_DEVIATIONS * deviation
    return [max(median - max_distance, min(median + max_distance, v)) for v in values]


def _variance(values: list[float], mean: float) -> float:
    """Return the variance plus the covariance of adjacent windows, which queues make correlated."""
    degrees = len(values) - 1
    variance = sum((v - mean) ** 2 for v in values) / degrees
    covariance = 2.0 * sum((a - mean) * (b - mean) for a, b in itertools.pairwise(values)) / degrees
    return max(variance, variance + covariance, MIN_VARIANCE)


class MetricComparison:
    """Differences of one metric in one stage, before the change and after it."""

    def __init__(self, metric: Metric, alpha: float):
        self.metric = metric
        self.baseline = ConfidenceSequence(alpha)
        self.canary = ConfidenceSequence(alpha)

    def verdict(self) -> Verdict:
        """Return the current verdict; the independent errors of baseline and canary add in quadrature."""
        mean, canary_half_width = self.canary.bounds()
        baseline_mean, baseline_half_width = self.baseline.bounds(is_final=True)
        value = self.metric.sign * (mean - baseline_mean)
        half_width = math.hypot(canary_half_width, baseline_half_width)
        low = value - half_width
        high = value + half_width
        return Verdict(self._classify(value, low, high), self.metric.name, value, low, high, len(self.canary))

    def _classify(self, value: float, low: float, high: float) -> VerdictKind:
        tolerance = self.metric.tolerance
        if high < 0.0 and value < -NEGLIGIBLE_LOSS * tolerance:
            return VerdictKind.WORSE
        if low > 0.0:
            return VerdictKind.BETTER
        if low > -tolerance:
            return VerdictKind.NO_WORSE
        return VerdictKind.INCONCLUSIVE


@dataclasses.dataclass(slots=True)
class _AgentTotals:
    """Sums of one metric over one agent's routers in one window, by version."""

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
    """Return the new mean minus the old mean of one window, or None if no agent has samples of both."""
    by_agent: dict[str, _AgentTotals] = {}
    for row in rows:
        if metric in row.metrics:
            by_agent.setdefault(row.agent, _AgentTotals()).add(row.is_new, row.metrics[metric])
    weight_sum = 0.0
    weighted_sum = 0.0
    for totals in by_agent.values():
        if totals.new_samples and totals.old_samples:
            # inverse of the variance of the difference, but for a constant factor
            weight = 1.0 / (1.0 / totals.new_samples + 1.0 / totals.old_samples)
            weight_sum += weight
            weighted_sum += weight * (
                totals.new_total / totals.new_samples - totals.old_total / totals.old_samples
            )
    return weighted_sum / weight_sum if weight_sum else None


class CanaryAnalysis:
    """Compares all metrics of one stage and counts the crashes of both groups."""

    def __init__(self, metrics: Sequence[Metric], alpha: float):
        """Start the analysis of a stage.

        Args:
            metrics: Metrics to compare.
            alpha: Probability of a false WORSE in this stage, divided among the metrics.
        """
        self._comparisons = {
            metric.name: MetricComparison(metric, alpha / len(metrics)) for metric in metrics
        }
        self._new_crashes = 0
        self._old_crashes = 0

    def add_window(self, is_baseline: bool, rows: Sequence[RouterWindow]) -> None:
        """Add one window of all routers.

        Args:
            is_baseline: Whether the window precedes the change; `is_new` then marks routers still to change.
            rows: One entry for each router.
        """
        for name, comparison in self._comparisons.items():
            value = difference(name, rows)
            if value is not None:
                (comparison.baseline if is_baseline else comparison.canary).add(value)

    def add_crash(self, is_new: bool) -> None:
        """Count a crash of a router that runs the new or the old version."""
        if is_new:
            self._new_crashes += 1
        else:
            self._old_crashes += 1

    def verdict(self) -> Verdict:
        """Return the worst verdict of all metrics.

        The verdict is WORSE if any metric is worse or the new version crashed more often than the old one;
        otherwise INCONCLUSIVE if any metric is; otherwise BETTER if any metric is better, else NO_WORSE.
        """
        if self._new_crashes > self._old_crashes:
            return Verdict(VerdictKind.WORSE, CRASHES, float(-self._new_crashes), -math.inf, 0.0, 0)
        verdicts = [comparison.verdict() for comparison in self._comparisons.values()]
        for kind in (VerdictKind.WORSE, VerdictKind.INCONCLUSIVE, VerdictKind.BETTER):
            found = [verdict for verdict in verdicts if verdict.kind == kind]
            if found:
                return min(found, key=lambda verdict: verdict.value)
        return min(verdicts, key=lambda verdict: verdict.value)
