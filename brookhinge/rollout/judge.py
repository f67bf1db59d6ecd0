"""New routers against old ones at the same time on the same traffic, looked at at any time. No I/O, no clock.

A figure is taken over windows: in each, the new routers' mean less the old ones', place by place, weighted by queries. What is
common (a box fails, a place is cut off, traffic doubles) is in both and cancels; how the two groups differed by themselves is
taken off by the same difference before the change. Of the differences an asymptotic confidence sequence is kept (normal
mixture: Robbins 1970; Waudby-Smith, Arbour, Sinha, Kennedy, Ramdas 2021), so looking at each window does not raise the
chance of a false alarm, which is alpha over a whole rollout."""

import math
from typing import NamedTuple

BETTER, NO_WORSE, WORSE, UNTOLD = "better", "no worse", "worse", "can't tell yet"
TUNED_FOR = 40.0  # windows at which the sequence is tightest
LEAST = 8  # windows before anything but a crash is said
CLIP = 6.0  # a window further than so many usual deviations from the rest counts as that far


class Verdict(NamedTuple):
    word: str
    figure: str  # the figure that decided, or the widest open one
    value: float  # new less old, corrected
    low: float
    high: float
    windows: int


class Sequence:
    """A mean of windows' differences, with bars that hold at all times together with chance 1 - alpha."""

    def __init__(self, alpha):
        self.alpha, self.values = alpha, []
        self.rho2 = (-2.0 * math.log(alpha) + math.log(-2.0 * math.log(alpha) + 1.0)) / TUNED_FOR

    def add(self, value):
        self.values.append(value)

    def bars(self, ended=False):
        """(mean, half width); no width is known of fewer than LEAST windows. ended: looked at once, after its last one."""
        n = len(self.values)
        if n < LEAST:
            return (sum(self.values) / n if n else 0.0), math.inf
        ordered = sorted(self.values)
        middle = ordered[n // 2]
        usual = sorted(abs(v - middle) for v in ordered)[n // 2] * 1.4826
        kept = (
            [max(middle - CLIP * usual, min(middle + CLIP * usual, v)) for v in self.values]
            if usual
            else self.values
        )
        mean = sum(kept) / n
        # neighbouring windows are alike (a queue lasts): their covariance counts too
        variance = sum((v - mean) ** 2 for v in kept) / (n - 1)
        follow = 2.0 * sum((a - mean) * (b - mean) for a, b in zip(kept, kept[1:])) / (n - 1)
        deviation = math.sqrt(max(variance, variance + follow, 1e-12))
        if ended:
            return mean, deviation * math.sqrt(2.0 * math.log(2.0 / self.alpha) / n)
        t = n * self.rho2
        return mean, deviation * math.sqrt(
            2.0 * (t + 1.0) / (n * t) * math.log(math.sqrt(t + 1.0) / self.alpha)
        )


class Figure:
    """One figure of a stage: `good` is +1 where more is better, -1 where less is; `most_worse` how much worse is too much."""

    def __init__(self, name, good, most_worse, alpha):
        self.name, self.good, self.most_worse = name, good, most_worse
        self.before, self.after = Sequence(alpha), Sequence(alpha)

    def verdict(self):
        """What is known now. The difference before the change is unsure too: two independent errors add by squares."""
        mean, wide = self.after.bars()
        usual, unsure = self.before.bars(ended=True)
        value, half = self.good * (mean - usual), math.hypot(wide, unsure)
        low, high, n = value - half, value + half, len(self.after.values)
        if high < 0.0 and value < -0.25 * self.most_worse:
            word = WORSE  # surely worse, and by more than a trifle
        elif low > 0.0:
            word = BETTER
        elif low > -self.most_worse:
            word = NO_WORSE
        else:
            word = UNTOLD
        return Verdict(word, self.name, value, low, high, n)


def difference(rows):
    """New less old of one window, or None. rows: (place, new?, queries, sum) of each router."""
    places = {}
    for place, new, queries, total in rows:
        told = places.setdefault(place, [0, 0.0, 0, 0.0])
        told[0 if new else 2] += queries
        told[1 if new else 3] += total
    weight = value = 0.0
    for n_new, s_new, n_old, s_old in places.values():
        if n_new and n_old:
            part = 1.0 / (1.0 / n_new + 1.0 / n_old)  # as surely as both are known
            weight, value = weight + part, value + part * (s_new / n_new - s_old / n_old)
    return value / weight if weight else None


class Judge:
    """figures: (name, good, most_worse) each; alpha: the chance of a false 'worse' over this stage."""

    def __init__(self, figures, alpha):
        self.figures = {name: Figure(name, good, most, alpha / len(figures)) for name, good, most in figures}
        self.crashes = {True: 0, False: 0}

    def window(self, before, rows):
        """rows: (place, new?, {figure: (queries, sum)}) of each router; before: new ones are not changed yet."""
        for name, figure in self.figures.items():
            value = difference([(place, new, *told[name]) for place, new, told in rows if name in told])
            if value is not None:
                (figure.before if before else figure.after).add(value)

    def crashed(self, new):
        self.crashes[new] += 1

    def verdict(self):
        """The worst of all figures, or what is open; better if one is and no other is worse. A crash among the new ones alone is
        worse at once."""
        if self.crashes[True] > self.crashes[False]:
            return Verdict(WORSE, "crashes", float(-self.crashes[True]), -math.inf, 0.0, 0)
        told = [figure.verdict() for figure in self.figures.values()]
        for word in (WORSE, UNTOLD, BETTER):
            found = [one for one in told if one.word == word]
            if found:
                return min(found, key=lambda one: one.value)
        return min(told, key=lambda one: one.value)
