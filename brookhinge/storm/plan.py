"""Places in a plan of returns: who can't be served now is told when there will be room. No I/O, no clock, no chance.

The time ahead is cut into slots. Each holds as many returns as the servers can take in it, by what the caller says they
can take (cold budgets and limits are the caller's), less what newcomers are expected to need, who were never refused and
go first. A place is the earliest slot with room; tracks of less utility fill a slot only to a part, so that more utility
finds room later. Who comes when told goes before who comes early; who comes early is told the same place again. Nothing
here outlives its slot: places are forgotten a while after they were due."""

from collections import deque

SLOT_S = 0.1
LEAST = 0.1  # share of what can be taken that is kept for returns, however many newcomers there are
SETTLE_S = 0.05  # between two looks at what has passed, for newcomers alone
USED = 0.75  # of what can be taken, before answers wait for each other too long
EARLY_S, LATE_S = 0.05, 1.0  # how much before and after its time a place still holds


class Returns:
    """longest_s: the furthest time that may be told; 0: clients take no hints, nothing is promised. most: places."""

    def __init__(self, longest_s, most=8192):
        self.longest_s, self.most = longest_s, most
        self.slots = {}  # slot number -> weight of returns in it
        self.places, self.due = {}, deque()  # (who, name) -> moment; in the order in which they were given
        self.newcomers, self.seen_at, self.spread = 0.0, None, 0.0
        self.counts = dict(given=0, kept=0, early=0, late=0, full=0, served=0)

    def newcomer(self, now, work):
        """One who was never refused has come: their pace is measured over about a second."""
        if self.seen_at is None or not 0.0 <= now - self.seen_at < SETTLE_S:
            self.settle(now)
        self.newcomers += work

    def settle(self, now):
        if self.seen_at is None or now < self.seen_at:
            self.seen_at = now
        self.newcomers *= 0.5 ** ((now - self.seen_at) / 0.7)
        self.seen_at = now
        while self.due and (self.due[0][0] + LATE_S < now or self.due[0][0] - self.longest_s > now + 1.0):
            at, key = self.due.popleft()
            if self.places.get(key) == at:
                del self.places[key]
        for slot in [s for s in self.slots if (s + 1) * SLOT_S < now]:
            del self.slots[slot]

    def pace(self):
        """Work of newcomers a second."""
        return self.newcomers * 0.99  # ln 2 / 0.7: the sum decays by half in 0.7 s

    def arrives(self, now, who, name):
        """Somebody asks for something. Seconds until the place that was promised, 0 where it is now or was none; and
        whether it came when told."""
        at = self.places.get((who, name))
        if at is None or not self.longest_s:
            return 0.0, False
        if now < at - EARLY_S and at - now <= self.longest_s:
            self.counts["early"] += 1
            return at - now, False
        del self.places[who, name]
        kept = now <= at + LATE_S
        self.counts["kept" if kept else "late"] += 1
        return 0.0, kept

    def place(self, now, who, name, work, part, can_take):
        """Seconds until a place for work (seconds of sending), told to `who`; 0 where nothing is promised. part: the
        share of a slot that this track may fill; can_take(at): work a second that the servers can take then."""
        if not self.longest_s:
            return 0.0
        self.settle(now)
        promised = self.places.get((who, name))
        if promised is not None and now < promised <= now + self.longest_s:
            return promised - now
        first, last = int((now + SLOT_S) / SLOT_S) + 1, int((now + self.longest_s) / SLOT_S) - 1
        free = 0.0
        for slot in range(first, last + 1):
            able = can_take(slot * SLOT_S)
            room = max(LEAST * able, USED * able - self.pace()) * SLOT_S * part
            free = min(max(work, room), free + room - self.slots.get(slot, 0.0))
            if free >= work:  # a slot that has less than one return needs lends it to the next
                break
        else:
            # no room within the time that may be told: a time late in it, spread over many, and no promise
            self.counts["full"] += 1
            self.spread = (self.spread + 0.381966) % 1.0  # the golden section: no two of many fall together
            return max(0.001, self.longest_s * (0.5 + 0.5 * self.spread))
        taken = self.slots.get(slot, 0.0)
        self.slots[slot] = taken + work
        # within the slot one after another, so that a slot kept to the millisecond is no herd
        at = (slot + min(0.99, taken / max(taken + work, can_take(slot * SLOT_S) * SLOT_S))) * SLOT_S
        if len(self.places) < self.most:
            self.places[who, name] = at
            self.due.append((at, (who, name)))
        self.counts["given"] += 1
        return max(0.001, at - now)
