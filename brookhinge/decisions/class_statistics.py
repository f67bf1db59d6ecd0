"""Moving averages of transfer time, response time and earned utility by request class."""

from collections.abc import Sequence

from brookhinge.decisions.settings import RequestClass

DEFAULT_TRANSFER_S = 0.1
PRIOR_SAMPLES = 5.0  # weight of the initial transfer time, in requests
MIN_SAMPLE_WEIGHT = 0.02
SMOOTHING = 0.05


class ClassStatistics:
    """Keeps averages by request class. Times are seconds.

    Attributes:
        transfer_s: Mean transfer time, from the size where it is known, otherwise from the response time.
        samples: Number of requests averaged in `transfer_s`, including the weight of the initial value.
        response_s: Recent mean response time.
        fill_utility: Share of their utility that recent fills have earned.
    """

    def __init__(self, request_classes: Sequence[RequestClass]) -> None:
        self._classes = request_classes
        self._total_utility = sum(request_class.utility for request_class in request_classes)
        self.transfer_s = [
            request_class.latency_objective_s or DEFAULT_TRANSFER_S for request_class in request_classes
        ]
        self.samples = [PRIOR_SAMPLES] * len(request_classes)
        self.response_s = [0.0] * len(request_classes)
        self.fill_utility = [1.0] * len(request_classes)

    def record_transfer(self, class_index: int, took_s: float) -> None:
        """Record a transfer time; 0 is ignored."""
        if took_s > 0.0:
            self.samples[class_index] += 1
            weight = max(MIN_SAMPLE_WEIGHT, 1 / self.samples[class_index])
            self.transfer_s[class_index] += weight * (took_s - self.transfer_s[class_index])

    def record_response(self, class_index: int, took_s: float) -> None:
        """Record a response time."""
        self.response_s[class_index] += SMOOTHING * (took_s - self.response_s[class_index])

    def record_fill(self, class_index: int, utility: float) -> None:
        """Record the share of its utility that a fill has earned."""
        self.fill_utility[class_index] += SMOOTHING * (utility - self.fill_utility[class_index])

    def prefers_stale(self, class_index: int) -> bool:
        """Return whether a stale copy currently earns more than a fill."""
        return self.fill_utility[class_index] < self._classes[class_index].stale_share

    def largest_transfer_s(self) -> float:
        """Return the mean transfer time of the class with the largest objects."""
        return max(self.transfer_s)

    def mean_transfer_s(self) -> float:
        """Return the mean transfer time over all classes, each with equal weight."""
        return sum(self.transfer_s) / len(self.transfer_s)

    def utility_rate(self) -> float:
        """Return the total utility of the classes per second of transfer, at equal request rates."""
        return self._total_utility / sum(self.transfer_s)
