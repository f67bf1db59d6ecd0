"""Limits of several routers in virtual time: wires that lose, double, delay and cut, clocks that run apart, processes that
crash, freeze and come back under their names, all by one seed. The members' parts are the daemon's; clocks, wires and the
view's own news are stood in for."""

import heapq
import random

from brookhinge.limits.lease_terms import MAX_CLOCK_DRIFT
from brookhinge.limits.limits import Limits
from brookhinge.membership.claims import Claim, MemberState
from brookhinge.membership.core import CoreContext
from brookhinge.membership.messages import CoreMessage
from brookhinge.membership.view import MembershipView

COLD = ("cache", "s-1", 5)
NOTICE_S, GIVEN_UP_S = 0.5, 6.0  # till a restart is known, and till a crash is


class Member:
    """One process: its clock runs at its own pace from its own beginning; `demand` is what it is asked for, of the whole."""

    def __init__(self, world, n, pace, start):
        self.world, self.n, self.name, self.pace, self.offset = world, n, f"n{n}", pace, start
        self.up, self.frozen, self.starts, self.inbox, self.due = False, False, 0, [], None
        self.demand, self.used = {}, {}

    def clock(self):
        return self.offset + self.world.now * self.pace

    def start(self):
        self.up, self.frozen, self.inbox, self.due, self.used = True, False, [], None, {}
        self.starts += 1
        self.uid = self.n * 1000 + self.starts
        self.offset += 3600.0 * (self.starts > 1)
        self.view = MembershipView(600.0)
        for other in self.world.members.values():
            self.notice(other.n, MemberState.ALIVE)
        self.limits = Limits(
            CoreContext(self.view, self.name, "z", 1),
            fleet_size=lambda: (self.world.count, self.world.count),
            demand=lambda: [(*limit, part, 1.0) for limit, part in self.demand.items()],
            now=self.clock(),
        )
        self.world.plan(self, self.world.now)

    def notice(self, n, state):
        other, world = self.world.members[n], self.world
        world.told += 1  # as the incarnation: what is told last holds
        claim = Claim(other.name, other.uid, 1, world.told, state, "h", n, "z", 1, 0.0)
        self.view.apply(0.0, claim, "n0")

    def round(self, inbox):
        self.limits.round(self.clock(), inbox, self)

    def part(self, limit=COLD):
        """What the decisions would use now: what was told, but nothing past its end."""
        now = self.clock()
        if now >= self.limits.next_expiry_at:
            self.limits.publish(now, self)
        return self.used.get(limit, self.used.get(("own", "", 0), 0.0) / self.world.count)

    # the writer

    def post_to(self, i, message, rows):
        self.world.send(self, self.view.names[i], CoreMessage(self.uid, message, list(rows)))

    def post_event(self, event):
        for *limit, part in event.quotas:
            if part is None:
                self.used.pop(tuple(limit), None)
            else:
                self.used[tuple(limit)] = part


class World:
    """count: by how many the settings say that limits are divided; paces: how fast each clock runs."""

    def __init__(self, seed, count, loss=0.0, delay=0.002, double=0.0, drift=MAX_CLOCK_DRIFT):
        self.chance, self.now, self.count = random.Random(seed), 0.0, count
        self.loss, self.delay, self.double, self.late = loss, delay, double, 0.0
        self.cut, self.queue, self.serial, self.sent, self.told = lambda a, b: False, [], 0, 0, 0
        self.members = {}
        for n in range(1, count + 1):
            pace = 1.0 + drift / 2.0 * self.chance.uniform(-1.0, 1.0)
            self.members[n] = Member(self, n, pace, self.chance.uniform(0.0, 1e6))
            self.members[n].uid, self.members[n].starts = n * 1000, 0
        for member in self.members.values():
            member.start()
        for member in self.members.values():
            for other in self.members:
                member.notice(other, MemberState.ALIVE)

    def send(self, sender, name, message):
        to = next(m for m in self.members.values() if m.name == name)
        self.sent += 1
        if self.cut(sender.n, to.n) or self.chance.random() < self.loss:
            return
        for _ in range(1 + (self.chance.random() < self.double)):
            wait = self.delay * (0.5 + self.chance.random())
            if self.chance.random() < self.late:
                wait += 5.0 * self.chance.random()
            self.push(self.now + wait, to, message)

    def push(self, at, member, message):
        self.serial += 1
        heapq.heappush(self.queue, (at, self.serial, member, member.starts, message))

    def plan(self, member, at):
        if member.due is None or at < member.due:
            member.due = at
            self.push(at, member, None)

    def step(self):
        """The next event; False if it was for nobody."""
        at, _, member, starts, message = heapq.heappop(self.queue)
        self.now = max(self.now, at)
        if callable(member):
            member()
            return True
        if not member.up or starts != member.starts:
            return False
        if member.frozen:
            if message is not None and len(member.inbox) < 200:
                member.inbox.append(message)
            return False
        if message is None:
            if at != member.due:
                return False
            member.due = None
        member.round([message] if message else [])
        self.plan(member, self.now + max(0.0, (member.limits.next_at() - member.clock()) / member.pace))
        return True

    def run(self, seconds, look=None):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            if self.step() and look:
                look()
        self.now = end

    def later(self, wait, what):
        self.push(self.now + wait, WhenDue(what), None)

    def crash(self, n):
        self.members[n].up = False
        starts = self.members[n].starts
        self.later(
            GIVEN_UP_S,
            lambda: self.tell_all(n, MemberState.LOST) if self.members[n].starts == starts else None,
        )

    def restart(self, n):
        self.members[n].start()
        self.later(NOTICE_S, lambda: self.tell_all(n, MemberState.ALIVE))

    def tell_all(self, n, state):
        for other in self.members.values():
            if other.up:
                other.notice(n, state)

    def freeze(self, n):
        self.members[n].frozen = True

    def thaw(self, n):
        member = self.members[n]
        member.frozen, member.due = False, None
        inbox, member.inbox = member.inbox, []
        member.round(inbox)
        self.plan(member, self.now)

    def total(self, limit=COLD):
        """Parts that may be in use now, all together: never over the whole."""
        return sum(member.part(limit) for member in self.members.values() if member.up)


class WhenDue:
    """Something of the script's own in the queue."""

    starts = 0

    def __init__(self, what):
        self.what = what

    def __call__(self):
        self.what()
