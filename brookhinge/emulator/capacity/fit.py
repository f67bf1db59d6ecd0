"""Finds the curve that a cost follows as a fleet grows: constant, log N, N or N log N.

Each curve is fitted by least squares. AICc (Hurvich and Tsai 1989) selects the most likely one, which is
reported with its Akaike weight among the four (Burnham and Anderson 2002).
"""

import math
from typing import NamedTuple

CURVES = {
    "constant": lambda n: 0.0,
    "log N": math.log,
    "N": float,
    "N log N": lambda n: n * math.log(n),
}
MIN_RELATIVE_ERROR = 0.005  # of the mean: residuals below this count as an exact fit


class Fit(NamedTuple):
    """A curve fitted to (size, cost) points: cost = base + slope * f(N).

    Attributes:
        curve: Name of the curve in CURVES.
        base: Constant part of the cost.
        slope: Factor of f(N).
        slope_error: Standard error of the slope.
        weight: Akaike weight of the curve among those fitted, 0 to 1.
    """

    curve: str
    base: float
    slope: float
    slope_error: float
    weight: float

    def at(self, size):
        """Return the predicted cost at a fleet size."""
        return self.base + self.slope * CURVES[self.curve](size)


def fit_curve(name, points):
    """Return (base, slope, standard error of the slope, sum of squared residuals) of one curve."""
    function = CURVES[name]
    count = len(points)
    xs = [function(n) for n, _ in points]
    ys = [y for _, y in points]
    mean_x = sum(xs) / count
    mean_y = sum(ys) / count
    if name == "constant":
        return mean_y, 0.0, 0.0, sum((y - mean_y) ** 2 for y in ys)
    variation = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / variation
    base = mean_y - slope * mean_x
    squares = sum((y - base - slope * x) ** 2 for x, y in zip(xs, ys))
    error = math.sqrt(squares / max(1, count - 2) / variation)
    return base, slope, error, squares


def criterion(squares, count, parameters, floor):
    """Return the AICc of a least squares fit; the variance counts as a parameter.

    Args:
        squares: Sum of squared residuals.
        count: Number of points.
        parameters: Fitted parameters without the variance.
        floor: Smallest variance assumed, so that an exact fit has a finite score.
    """
    parameters += 1
    information = count * math.log(max(squares / count, floor)) + 2 * parameters
    return information + 2 * parameters * (parameters + 1) / max(1, count - parameters - 1)


def fit(points):
    """Return the most likely Fit of (size, cost) points at three or more sizes.

    Raises:
        ValueError: If the points cover fewer than three sizes.
    """
    if len({size for size, _ in points}) < 3:
        raise ValueError("expected points at three sizes at least")
    mean = sum(abs(y) for _, y in points) / len(points)
    floor = max(1e-30, (MIN_RELATIVE_ERROR * mean) ** 2)
    fitted = {name: fit_curve(name, points) for name in CURVES}
    scores = {
        name: criterion(squares, len(points), 1 if name == "constant" else 2, floor)
        for name, (_, _, _, squares) in fitted.items()
    }
    best = min(scores, key=scores.get)
    total = sum(math.exp((scores[best] - score) / 2) for score in scores.values())
    base, slope, error, _ = fitted[best]
    return Fit(best, base, slope, error, 1.0 / total)
