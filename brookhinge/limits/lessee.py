"""One router's parts of the fleet's limits. No I/O, no clock.

Its part of a limit is its own part, one of N, less what it gave to keepers, plus what keepers lent it. Each gift and each
loan ends by itself. Nothing is subtracted late or added early: a gift counts from before its word goes out, a loan ends
counted from before it was asked for."""

from brookhinge.limits.lease_terms import HEAD, LEAST, LEND, SILENT, START, TERM

KEPT = 16  # words to a keeper whose moments are remembered: a loan that answers an older one is over


class Holder:
    def __init__(self, now, alone=False):
        """alone: the settings tell of no other router."""
        self.began = now if not alone else now - START
        self.given, self.lent = (
            {},
            {},
        )  # limit -> {keeper: [(amount, until)]}; limit -> {keeper: (number, amount, until)}
        self.said, self.number = {}, 0  # keeper -> {number: when}

    def part(self, limit, base, now):
        """base: this router's own part, one of N."""
        own = self.own(now) * base
        return min(1.0, max(0.0, own - self.gave(limit, now)) + self.has(limit, now))

    def own(self, now):
        """How much of its own part a process may use by its age, 0 to 1, beside what it gave and was lent."""
        age = now - self.began
        return 0.0 if age < SILENT else LEAST if age < START else 1.0

    def gave(self, limit, now, but=None):
        """Of several words to one keeper that have not ended the largest counts: it may have heard that one alone."""
        return sum(
            max((amount for amount, until in gifts if until > now), default=0.0)
            for keeper, gifts in self.given.get(limit, {}).items()
            if keeper != but
        )

    def has(self, limit, now):
        return sum(amount for _, amount, until in self.lent.get(limit, {}).values() if until > now)

    def changes_at(self, now):
        """When the next loan ends: until then no part shrinks by itself."""
        return min(
            (until for loans in self.lent.values() for _, _, until in loans.values() if until > now),
            default=float("inf"),
        )

    def word(self, now, keeper, wants, pressed):
        """The rows for a keeper, and their number: (limit, need, gift) each.

        wants    limit -> (base, demand): what this router was asked for lately, as a part of the whole
        pressed  limits for which the keeper says that somebody lacks some"""
        self.number += 1
        said = self.said.setdefault(keeper, {})
        said[self.number] = now
        if len(said) > KEPT:
            del said[next(iter(said))]
        rows = []
        for limit, (base, demand) in wants.items():
            keep = max(LEAST * base, HEAD * demand)
            need = (
                max(0.0, HEAD * demand - base)
                if now - self.began >= START
                else max(0.0, HEAD * demand - LEAST * base)
            )
            gift = 0.0
            if not need and limit in pressed and now - self.began >= START:
                gift = max(0.0, base - keep - self.gave(limit, now, but=keeper))
                if gift:
                    gifts = self.given.setdefault(limit, {}).setdefault(keeper, [])
                    gifts[:] = [one for one in gifts if one[1] > now and one[0] > gift] + [(gift, now + TERM)]
            if need or gift or limit in pressed:
                rows.append((limit, need, gift))
        return self.number, rows

    def granted(self, now, keeper, number, answers, rows):
        """A keeper lends. answers: the number of the word that it had heard; rows: (limit, amount) each."""
        asked = self.said.get(keeper, {}).get(answers)
        if asked is None:
            return
        until = asked + LEND
        for limit, amount in rows:
            loans = self.lent.setdefault(limit, {})
            if loans.get(keeper, (0,))[0] < number and until > now:
                loans[keeper] = number, amount, until

    def forget(self, now):
        """Drops what has ended."""
        for kept in (self.given, self.lent):
            for limit in list(kept):
                kept[limit] = {
                    keeper: told
                    for keeper, told in kept[limit].items()
                    if (told[-1][1] if kept is self.given else told[2]) > now
                }
                if not kept[limit]:
                    del kept[limit]
        self.said = {keeper: said for keeper, said in self.said.items() if now - max(said.values()) < TERM}
