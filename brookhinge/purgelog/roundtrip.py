"""Round trips, as both ends of the purge log estimate them."""

WEIGHT = 0.2  # of a new sample


def smoothed(estimate_s: float | None, sample_s: float) -> float:
    """The estimate after one more sample, in seconds; the first sample is the first estimate."""
    return sample_s if estimate_s is None else estimate_s + WEIGHT * (sample_s - estimate_s)
