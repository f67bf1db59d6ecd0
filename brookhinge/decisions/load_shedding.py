"""Load shedding: requests with the least utility per second of transfer are shed first."""

from brookhinge.decisions.class_statistics import ClassStatistics
from brookhinge.decisions.request_state import RequestState

MIN_SHARE = 0.2
SHARE_FACTOR = 0.85
# Exponent for sizes above the class mean. With 1, the largest objects would starve while small ones are
# served.
LARGE_SIZE_EXPONENT = 0.4


def fair_share(request: RequestState, statistics: ClassStatistics) -> float:
    """Return the share of a limit that a request may use.

    It is above 1 for a request with a high utility per second of transfer.
    """
    if request.is_scheduled:
        return 1.0
    mean_s = statistics.transfer_s[request.class_index]
    relative_size = (request.transfer_s or request.object.best_s or mean_s) / mean_s
    weighted_size = min(relative_size, relative_size**LARGE_SIZE_EXPONENT)
    utility_rate = request.priority_weight * request.request_class.utility / mean_s / weighted_size
    return max(MIN_SHARE, SHARE_FACTOR * (utility_rate / statistics.utility_rate()) ** 0.5)
