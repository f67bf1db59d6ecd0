"""The fit identifies the curve from which points were generated and does not mistake noise for growth."""

import math
import random

import pytest

from brookhinge.emulator.capacity.fit import CURVES, fit

SIZES = (66, 132, 265, 530, 1060)


def noisy_points(curve, noise, seed, base=1000.0, growth=2000.0):
    """Return three noisy points at each size, of a curve that grows by `growth` over all sizes."""
    rng, function = random.Random(seed), CURVES[curve]
    function_range = function(SIZES[-1]) - function(SIZES[0])
    slope = growth / function_range if function_range else 0.0
    return [
        (
            n,
            (base + slope * (function(n) - function(SIZES[0]))) * (1.0 + noise * (2.0 * rng.random() - 1.0)),
        )
        for n in SIZES
        for _ in range(3)
    ]


@pytest.mark.parametrize("curve", ["constant", "log N", "N"])
@pytest.mark.parametrize("seed", range(5))
def test_known_curve_is_identified(curve, seed):
    found = fit(noisy_points(curve, 0.01, seed))
    assert found.curve == curve


@pytest.mark.parametrize("seed", range(5))
def test_n_log_n_is_distinguished_from_n_without_noise(seed):
    assert fit(noisy_points("N log N", 0.0, seed)).curve == "N log N"


def test_slope_is_within_four_standard_errors():
    found = fit(noisy_points("N", 0.01, 1))
    slope = 2000.0 / (SIZES[-1] - SIZES[0])
    assert abs(found.slope - slope) < 4.0 * found.slope_error and found.slope_error > 0.0
    assert abs(found.at(530) - (1000.0 + slope * (530 - 66))) < 50.0


def test_noisy_constant_is_not_fitted_as_growth():
    assert sum(fit(noisy_points("constant", 0.03, seed)).curve == "constant" for seed in range(20)) >= 16


def test_fit_of_two_sizes_is_rejected():
    with pytest.raises(ValueError, match="three sizes"):
        fit([(66, 1.0), (132, 2.0), (132, 2.0)])


def test_prediction_of_an_exact_fit_is_finite():
    assert math.isfinite(fit([(n, 5.0) for n in SIZES]).at(10_000))
