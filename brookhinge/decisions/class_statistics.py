"""What requests of each class take and earn, as moving averages."""

from collections.abc import Sequence

from brookhinge.decisions.settings import RequestClass

DEFAULT_TRANSFER_S = 0.1
FIRST_GUESS_SAMPLES = 5.0  # requests that the first guess counts for
MIN_SAMPLE_WEIGHT = 0.02
SMOOTHING = 0.05


class ClassStatistics:
    """Averages by request class. Times are seconds.

    Attributes:
        transfer_s: the mean transfer time, by size where it is told, else by response time.
        samples: requests that `transfer_s` was made of.
        response_s: the response time of late.
        fill_utility: the part of their utility that fills earn of late.
    """

    def __init__(self, request_classes: Sequence[RequestClass]) -> None:
        self._classes = request_classes
        self._total_utility = sum(one.utility for one in request_classes)
        self.transfer_s = [one.latency_objective_s or DEFAULT_TRANSFER_S for one in request_classes]
        self.samples = [FIRST_GUESS_SAMPLES] * len(request_classes)
        self.response_s = [0.0] * len(request_classes)
        self.fill_utility = [1.0] * len(request_classes)

    def record_transfer(self, class_index: int, took_s: float) -> None:
        """Count a transfer time; 0 is none."""
        if took_s > 0.0:
            self.samples[class_index] += 1
            weight = max(MIN_SAMPLE_WEIGHT, 1 / self.samples[class_index])
            self.transfer_s[class_index] += weight * (took_s - self.transfer_s[class_index])

    def record_response(self, class_index: int, took_s: float) -> None:
        """Count a response time."""
        self.response_s[class_index] += SMOOTHING * (took_s - self.response_s[class_index])

    def record_fill(self, class_index: int, utility: float) -> None:
        """Count the part of its utility that a fill has earned."""
        self.fill_utility[class_index] += SMOOTHING * (utility - self.fill_utility[class_index])

    def prefers_stale(self, class_index: int) -> bool:
        """Whether an old copy earns more than a fill does now."""
        return self.fill_utility[class_index] < self._classes[class_index].stale_share

    def largest_transfer_s(self) -> float:
        """Return the mean transfer time of the class of the largest objects."""
        return max(self.transfer_s)

    def mean_transfer_s(self) -> float:
        """Return the mean over the classes."""
        return sum(self.transfer_s) / len(self.transfer_s)

    def utility_rate(self) -> float:
        """Return the utility of all classes for a second of transfer."""
        return self._total_utility / sum(self.transfer_s)
