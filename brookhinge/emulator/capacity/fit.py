"""Which curve a cost follows as a fleet grows: constant, log N, N or N log N. Least squares for each; the one that AICc
(Hurvich and Tsai 1989) holds to be likeliest is named, with its weight (Burnham and Anderson 2002) beside the others."""

import math
from typing import NamedTuple

CURVES = {
    "constant": lambda n: 0.0,
    "log N": math.log,
    "N": float,
    "N log N": lambda n: n * math.log(n),
}
LEAST_ERROR = 0.005  # part of the mean: figures that differ by less count as equal


class Fit(NamedTuple):
    """A curve fitted to (size, cost) points: cost = base + slope * f(N)."""

    curve: str
    base: float
    slope: float
    slope_error: float  # standard error of the slope
    weight: float  # how likely the curve is among those tried, 0 to 1

    def at(self, size):
        """The cost at a size."""
        return self.base + self.slope * CURVES[self.curve](size)


def fit_curve(name, points):
    """(base, slope, standard error of the slope, sum of squares) of one curve."""
    function = CURVES[name]
    count = len(points)
    xs = [function(n) for n, _ in points]
    ys = [y for _, y in points]
    mean_x = sum(xs) / count
    mean_y = sum(ys) / count
    if name == "constant":
        return mean_y, 0.0, 0.0, sum((y - mean_y) ** 2 for y in ys)
    across = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / across
    base = mean_y - slope * mean_x
    squares = sum((y - base - slope * x) ** 2 for x, y in zip(xs, ys))
    error = math.sqrt(squares / max(1, count - 2) / across)
    return base, slope, error, squares


def criterion(squares, count, parameters, floor):
    """AICc of a least squares fit; the variance counts as a parameter."""
    parameters += 1
    information = count * math.log(max(squares / count, floor)) + 2 * parameters
    return information + 2 * parameters * (parameters + 1) / max(1, count - parameters - 1)


def fit(points):
    """The likeliest Fit of (size, cost) points, of which there are several at each of three sizes at least."""
    if len({size for size, _ in points}) < 3:
        raise ValueError("expected points of three sizes at least")
    mean = sum(abs(y) for _, y in points) / len(points)
    floor = max(1e-30, (LEAST_ERROR * mean) ** 2)
    fitted = {name: fit_curve(name, points) for name in CURVES}
    scores = {
        name: criterion(squares, len(points), 1 if name == "constant" else 2, floor)
        for name, (_, _, _, squares) in fitted.items()
    }
    best = min(scores, key=scores.get)
    total = sum(math.exp((scores[best] - score) / 2) for score in scores.values())
    base, slope, error, _ = fitted[best]
    return Fit(best, base, slope, error, 1.0 / total)
