"""Lends what was given to it, never more. No I/O, no clock. Any number of keepers of one limit may act at once, know
nothing of one another, or forget all: each lends only gifts made to itself, so together they lend no more than was given."""

from brookhinge.limits.lease_terms import BEAT, DRIFT, LEND, TERM

HEARD_S = 4.0 * BEAT  # a need that is not said again is over


class Desk:
    """What a keeper knows of one holder's words: the last one heard, and when its own went out."""

    __slots__ = ("heard", "heard_at", "sent", "number")

    def __init__(self):
        self.heard, self.heard_at, self.sent, self.number = 0, -1e9, {}, 0


class Keeper:
    def __init__(self):
        self.desks, self.gifts, self.loans, self.needs, self.last = {}, {}, {}, {}, {}

    def hear(self, now, holder, number, answers, rows):
        """A holder's word; answers: the number of the last word from here that it had heard."""
        desk = self.desks.setdefault(holder, Desk())
        began = desk.sent.get(answers)  # its word is younger than this: the gift lasts from here on at least
        if number > desk.heard:
            desk.heard, desk.heard_at = number, now
        for limit, need, gift in rows:
            if self.last.setdefault(limit, {}).get(holder, 0) >= number:
                continue  # older than one that came before it
            self.last[limit][holder] = number
            self.needs.setdefault(limit, {})[holder] = need, now + HEARD_S
            if gift > 0.0 and began is not None and began + TERM * (1.0 - DRIFT) > now:
                until = began + TERM * (1.0 - DRIFT)
                gifts = self.gifts.setdefault(limit, {}).setdefault(holder, [])
                if not any(amount >= gift and end >= until for amount, end in gifts):
                    gifts[:] = [one for one in gifts if one[0] > gift or one[1] > until] + [(gift, until)]

    def wanting(self, now):
        """Limits of which somebody lacks some, and how much in all."""
        return {
            limit: total
            for limit, needs in self.needs.items()
            if (total := sum(need for need, until in needs.values() if until > now)) > 0.0
        }

    def lend(self, now):
        """limit -> {holder: amount} for all that lack some. What is out counts until the last moment it may be held, and
        at each such moment all that is out then stays within what is still given then."""
        self.forget(now)
        lent, ends = {}, now + LEND * (1.0 + DRIFT)
        for limit in self.wanting(now):
            loans = self.loans.setdefault(limit, {})
            moments = sorted({until for told in loans.values() for _, until in told} | {ends})
            out = {
                holder: [
                    max((amount for amount, until in told if until >= at), default=0.0) for at in moments
                ]
                for holder, told in loans.items()
            }
            given = [self.holds(limit, at) for at in moments]
            free = [given[k] - sum(row[k] for row in out.values()) for k in range(len(moments))]
            needs = {
                holder: need
                for holder, (need, until) in self.needs[limit].items()
                if until > now and need > 0.0
            }
            parts = filled(needs, given[-1])
            rest = max(0.0, given[-1] - sum(parts.values()))
            sharing = self.needs[
                limit
            ]  # what nobody lacks goes back to all alike: nothing that was given lies idle
            for holder in sorted(sharing, key=lambda holder: (holder not in needs, holder)):
                amount = parts.get(holder, 0.0) + rest / len(sharing)
                has = out.get(holder, [0.0] * len(moments))
                amount = min(amount, *(part + more for part, more in zip(has, free)))
                if amount > 0.0:  # what others still hold of it comes to it as that ends
                    free = [more - max(0.0, amount - part) for part, more in zip(has, free)]
                    lent.setdefault(limit, {})[holder] = amount
                    loans.setdefault(holder, []).append((amount, ends))
        return lent

    def holds(self, limit, at):
        """What was given and is still given at a time ahead."""
        return sum(
            max((amount for amount, until in gifts if until >= at), default=0.0)
            for gifts in self.gifts.get(limit, {}).values()
        )

    def number(self, now, holder):
        """The number of a word that goes to a holder now, and the number of its last one."""
        desk = self.desks.setdefault(holder, Desk())
        desk.number += 1
        desk.sent[desk.number] = now
        if len(desk.sent) > 16:
            del desk.sent[next(iter(desk.sent))]
        return desk.number, desk.heard

    def forget(self, now):
        for kept in (self.gifts, self.loans):
            for limit in list(kept):
                kept[limit] = {
                    holder: lasting
                    for holder, told in kept[limit].items()
                    if (lasting := [one for one in told if one[1] > now])
                }
                if not kept[limit]:
                    del kept[limit]
        for limit in list(self.needs):
            self.needs[limit] = {holder: told for holder, told in self.needs[limit].items() if told[1] > now}
            if not self.needs[limit] and limit not in self.gifts and limit not in self.loans:
                del self.needs[limit]
                self.last.pop(limit, None)
        self.desks = {
            holder: desk
            for holder, desk in self.desks.items()
            if now - desk.heard_at < 2 * TERM or desk.sent and now - max(desk.sent.values()) < 2 * TERM
        }


def filled(needs, pool):
    """Max-min fair: the least needs are met in full, the rest of the pool is divided evenly."""
    out, left = {}, pool
    for k, (holder, need) in enumerate(sorted(needs.items(), key=lambda item: (item[1], item[0]))):
        out[holder] = min(need, left / (len(needs) - k))
        left -= out[holder]
    return out
