"""The decisions where verdicts are shared: tries and failures of caches are counted for the peers, and what all saw comes
in beside own experience. No I/O, no clock."""

from brookhinge.decide import Health
from brookhinge.decisions.messages import OutlierVerdictsChanged
from brookhinge.decisions.rules import AttemptResult
from brookhinge.verdicts.outlier_detection import RAMP_S

FIRST = (
    0.1  # the part of the queries that comes back at once when a rest ends; the rest of them over the ramp
)


class SharedHealth(Health):
    """Mechanism 2 with the fleet's evidence: a server that rests by it gets one query a turn, then more by and by."""

    def __init__(self, chance):
        super().__init__()
        self.chance, self.counts, self.how, self.used = chance, {}, {}, {}
        self.slow = (
            False  # the answer that is judged came, late beside the peers': that is each router's own measure
        )

    def judge(self, c, now, failed, weight, peers):
        tries, bad = self.counts.get(c, (0, 0.0))
        self.counts[c] = tries + 1, bad + (weight if failed and not self.slow else 0.0)
        if c in self.how:
            self.used[c] = self.how[c][1]  # one answer a turn
        return super().judge(c, now, failed, weight, peers)

    def told(self, c, how, now, until):
        if how == "well":
            self.how.pop(c, None)
            self.rest_until.pop(c, None)
        elif how == "alone":  # nobody has seen anything of it lately: as without peers
            self.how.pop(c, None)
            self.rest_until[c] = now
        else:
            self.how[c] = how, until
            self.rest_until.setdefault(c, now)

    def fit(self, c, now):
        how, until = self.how.get(c, (None, 0.0))
        if how is None or now >= until:
            return super().fit(c, now)
        if how == "trial":
            return self.used.get(c) != until and now - self.trial_at.get(c, -1e9) >= self.REST
        return how == "ramp" and self.chance.random() < max(FIRST, 1.0 - (until - now) / RAMP_S)


class Judging:
    """Goes before Router: beside its messages it takes `OutlierVerdictsChanged`, and `seen()` tells totals of this process."""

    def __init__(self, *args, **named):
        super().__init__(*args, **named)
        self.health = SharedHealth(self.chance)
        self.figures += [figures for figures in vars(self.health).values() if isinstance(figures, dict)]

    def learn(self, q, c, result, *rest):
        self.health.slow = result == AttemptResult.SATISFIED
        super().learn(q, c, result, *rest)

    def handle(self, message):
        if isinstance(message, OutlierVerdictsChanged):
            self.verdicts(message.verdicts)
        else:
            super().handle(message)

    def verdicts(self, rows):
        """(server, how, seconds) each; how: rest, trial, ramp, alone, well."""
        for server, how, seconds in rows:
            c = self.fleet.index.get(server)
            if c is not None:
                self.health.told(c, how, self.now, self.now + seconds)

    def seen(self):
        """(server, born, tries, failed) of caches, since they were last entered."""
        return [
            (self.fleet.ids[c], self.fleet.born[c], *told)
            for c, told in self.health.counts.items()
            if self.fleet.state[c] == "ready"
        ]
