"""The fit names the curve that points were made of, and does not see growth in noise."""

import math
import random

import pytest

from brookhinge.emulator.capacity.fit import CURVES, fit

SIZES = (66, 132, 265, 530, 1060)


def points(curve, noise, seed, base=1000.0, rise=2000.0):
    """Three figures at each size, of a curve that rises by `rise` from the smallest to the largest."""
    chance, function = random.Random(seed), CURVES[curve]
    across = function(SIZES[-1]) - function(SIZES[0])
    slope = rise / across if across else 0.0
    return [
        (
            n,
            (base + slope * (function(n) - function(SIZES[0])))
            * (1.0 + noise * (2.0 * chance.random() - 1.0)),
        )
        for n in SIZES
        for _ in range(3)
    ]


@pytest.mark.parametrize("curve", ["constant", "log N", "N"])
@pytest.mark.parametrize("seed", range(5))
def test_a_known_curve_is_recognised(curve, seed):
    found = fit(points(curve, 0.01, seed))
    assert found.curve == curve


@pytest.mark.parametrize("seed", range(5))
def test_n_log_n_is_told_from_n_where_figures_are_exact(seed):
    assert fit(points("N log N", 0.0, seed)).curve == "N log N"


def test_the_slope_comes_with_its_error():
    found = fit(points("N", 0.01, 1))
    slope = 2000.0 / (SIZES[-1] - SIZES[0])
    assert abs(found.slope - slope) < 4.0 * found.slope_error and found.slope_error > 0.0
    assert abs(found.at(530) - (1000.0 + slope * (530 - 66))) < 50.0


def test_noise_of_a_constant_is_no_growth():
    assert sum(fit(points("constant", 0.03, seed)).curve == "constant" for seed in range(20)) >= 16


def test_two_sizes_are_no_fit():
    with pytest.raises(ValueError, match="three sizes"):
        fit([(66, 1.0), (132, 2.0), (132, 2.0)])


def test_a_prediction_is_finite():
    assert math.isfinite(fit([(n, 5.0) for n in SIZES]).at(10_000))
