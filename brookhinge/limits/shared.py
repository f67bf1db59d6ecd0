"""The decisions where limits are shared: the same budgets, with parts that are told and demand that is counted. No I/O,
no clock. A part that was told belongs to one start of a server; of another start, or of a limit that nothing was told
of, a router has its own part, one of N."""

from brookhinge.decide import ColdBudget, Crowding
from brookhinge.decisions.messages import QuotasAssigned


class SharedBudget(ColdBudget):
    def __init__(self, start, routers):
        super().__init__(start, routers)
        self.parts, self.asked, self.own, self.refused_at = {}, {}, 0.0, None

    def part(self, c, born):
        told = self.parts.get(c)
        return told[1] if told and told[0] == born else self.own / self.routers

    def take(self, c, now, born, power, work, lump, chance, spare=0.0):
        went = super().take(c, now, born, power, work, lump, chance, spare)
        if (
            went or self.refused_at != now
        ):  # what a server refuses is wanting there, not at those asked in its place
            self.asked[c] = self.asked.get(c, 0.0) + work
        self.refused_at = None if went else now
        return went

    def settle(self, c, now, born, power, lump):
        """What was saved up to now was saved at the part that held till now."""
        if c in self.at:
            come = self.whole(now, born, power, lump) * self.part(c, born) * (now - self.at[c])
            self.credit[c], self.at[c] = self.credit.get(c, 0.0) + come, now


class SharedCrowding(Crowding):
    def __init__(self, routers):
        super().__init__(routers)
        self.parts, self.peaks, self.own = {}, {}, 0.0

    def share(self, c):
        return self.parts[c][1] if c in self.parts else self.own / self.routers

    def room(self, c, inflight, part, weight=0.0):
        if weight:
            self.peaks[c] = max(self.peaks.get(c, 0.0), ((inflight + 1) / weight - 0.6) / 1.9)
        return super().room(c, inflight, part, weight)


class Sharing:
    """Goes before Router: beside its messages it takes `QuotasAssigned`, and `demand(now)` tells what was asked since the last call."""

    def __init__(self, *args, **named):
        super().__init__(*args, **named)
        cold = self.cold
        self.cold = {role: SharedBudget(old.start, old.routers) for role, old in cold.items()}
        self.crowding, self.counted_at = SharedCrowding(self.crowding.routers), 0.0
        self.figures += [
            figures
            for limit in (self.crowding, *self.cold.values())
            for figures in vars(limit).values()
            if isinstance(figures, dict)
        ]

    def handle(self, message):
        if isinstance(message, QuotasAssigned):
            self.parts(message.quotas)
        else:
            super().handle(message)

    def parts(self, rows):
        """(kind, server, born, part) each; part None: its own again. Kind "own": the part that it has by itself of all
        that nothing is told of, 0 to 1 times one of N."""
        for kind, server, born, part in rows:
            if kind == "own":
                for limit in (self.crowding, *self.cold.values()):
                    limit.own = part
                continue
            c, limit = self.fleet.index.get(server), self.crowding if kind == "room" else self.cold[kind]
            if c is not None and kind != "room" and limit.cold(self.now, self.fleet.cold_from[c]):
                limit.settle(c, self.now, self.fleet.cold_from[c], self.power(c), max(self.sending))
            if c is not None and part is not None:
                limit.parts[c] = born, part
            else:
                limit.parts.pop(c, None)

    def demand(self, now):
        """(kind, server, born, rate, whole) of each server that was asked: seconds of sending a second; whole 0 where it is
        warm. Of room: what was in flight at most, beside what each may have."""
        rows, fleet = [], self.fleet
        elapsed = max(0.05, now - self.counted_at)
        for role, budget in self.cold.items():
            for c, work in budget.asked.items():
                whole = (
                    budget.whole(now, fleet.cold_from[c], self.power(c), max(self.sending))
                    if budget.cold(now, fleet.cold_from[c]) and budget.start.overload_multiple > 0
                    else 0.0
                )
                rows.append((role, fleet.ids[c], fleet.born[c], work / elapsed, whole))
            rows += [
                (
                    role,
                    fleet.ids[c],
                    fleet.born[c],
                    0.0,
                    budget.whole(now, fleet.cold_from[c], self.power(c), max(self.sending)),
                )
                for c in (fleet.own if role == "cache" else fleet.parents)
                if c not in budget.asked
                and budget.cold(now, fleet.cold_from[c])
                and budget.start.overload_multiple > 0
            ]
            budget.asked.clear()
        for c, peak in self.crowding.peaks.items():
            if fleet.state[c] == "ready" and peak > 0.0:
                rows.append(("room", fleet.ids[c], fleet.born[c], peak, 1.0))
        self.crowding.peaks.clear()
        self.counted_at = now
        return rows
