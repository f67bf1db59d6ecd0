"""Round trip estimate used at both ends of the purge log."""

SAMPLE_WEIGHT = 0.2  # of a new sample in the moving average


def smoothed(estimate_s: float | None, sample_s: float) -> float:
    """Return the exponentially weighted estimate in seconds after one more sample.

    Without an estimate so far (None) it is the sample.
    """
    return sample_s if estimate_s is None else estimate_s + SAMPLE_WEIGHT * (sample_s - estimate_s)
