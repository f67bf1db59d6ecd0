"""Simulates the shared limits of several routers in virtual time, reproducibly from one seed.

The network loses, duplicates, delays and cuts off messages, clocks drift apart, and processes crash, freeze
and restart under their names. The limits are the daemon's code; clocks, network and the updates of the
membership view are modeled.
"""

import heapq
import random

from brookhinge.limits.lease_terms import MAX_CLOCK_DRIFT
from brookhinge.limits.limits import Limits
from brookhinge.membership.claims import Claim, MemberState
from brookhinge.membership.core import CoreContext
from brookhinge.membership.messages import CoreMessage
from brookhinge.membership.view import MembershipView

COLD = ("cache", "s-1", 5)
# Delay until the other members learn of a restart, and of a crash.
RESTART_NOTICE_S, CRASH_NOTICE_S = 0.5, 6.0


class Member:
    """One process.

    Attributes:
        clock_rate: Seconds of its clock per second of the simulation.
        offset: Reading of its clock at the start of the simulation.
        up: Whether the process runs.
        frozen: Whether the process is stopped; messages then wait in its inbox.
        starts: Number of starts.
        inbox: Messages received while frozen.
        due: Time of its next round, or None.
        demand: Demand for each limit, as a share of the whole limit.
        used: Share of each limit that the decisions may use.
    """

    def __init__(self, world, n, clock_rate, offset):
        self.world, self.n, self.name, self.clock_rate, self.offset = world, n, f"n{n}", clock_rate, offset
        self.up, self.frozen, self.starts, self.inbox, self.due = False, False, 0, [], None
        self.demand, self.used = {}, {}

    def clock(self):
        """Returns the reading of the process's clock."""
        return self.offset + self.world.now * self.clock_rate

    def start(self):
        """Starts the process with empty state and a new uid; a restart also moves its clock by an hour."""
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
        """Applies the state of member n to this member's view."""
        other, world = self.world.members[n], self.world
        world.incarnation += 1  # so that the latest state supersedes all earlier ones
        claim = Claim(other.name, other.uid, 1, world.incarnation, state, "h", n, "z", 1, 0.0)
        self.view.apply(0.0, claim, "n0")

    def round(self, inbox):
        """Runs a round of the limits with these messages."""
        self.limits.round(self.clock(), inbox, self)

    def part(self, limit=COLD):
        """Returns the share of a limit that the decisions would use now, without expired quotas."""
        now = self.clock()
        if now >= self.limits.next_expiry_at:
            self.limits.publish(now, self)
        return self.used.get(limit, self.used.get(("own", "", 0), 0.0) / self.world.count)

    # Methods of the cores' writer

    def post_to(self, i, message, rows):
        """Sends a message to member i of the view."""
        self.world.send(self, self.view.names[i], CoreMessage(self.uid, message, list(rows)))

    def post_event(self, event):
        """Applies a change of the quotas that the decisions use."""
        for *limit, part in event.quotas:
            if part is None:
                self.used.pop(tuple(limit), None)
            else:
                self.used[tuple(limit)] = part


class World:
    """The simulated members and the network between them.

    Attributes:
        chance: Random number generator of the simulation.
        now: Current time in seconds.
        count: Number of members among which the settings divide the limits.
        loss: Probability that a message is lost.
        delay: Mean delay of a message in seconds.
        double: Probability that a message is delivered twice.
        late: Probability that a message takes up to 5 s longer.
        cut: Function of two member numbers: whether messages from the first to the second are lost.
        queue: Heap of scheduled rounds, messages and calls.
        sent: Number of messages sent.
        incarnation: Incarnation of the latest claim.
        members: Members by number.
    """

    def __init__(self, seed, count, loss=0.0, delay=0.002, double=0.0, drift=MAX_CLOCK_DRIFT):
        self.chance, self.now, self.count = random.Random(seed), 0.0, count
        self.loss, self.delay, self.double, self.late = loss, delay, double, 0.0
        self.cut, self.queue, self.serial, self.sent, self.incarnation = lambda a, b: False, [], 0, 0, 0
        self.members = {}
        for n in range(1, count + 1):
            clock_rate = 1.0 + drift / 2.0 * self.chance.uniform(-1.0, 1.0)
            self.members[n] = Member(self, n, clock_rate, self.chance.uniform(0.0, 1e6))
            self.members[n].uid, self.members[n].starts = n * 1000, 0
        for member in self.members.values():
            member.start()
        for member in self.members.values():
            for other in self.members:
                member.notice(other, MemberState.ALIVE)

    def send(self, sender, name, message):
        """Sends a message over the network to the member of that name."""
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
        """Schedules the delivery of a message, a round (message None) or a ScheduledCall."""
        self.serial += 1
        heapq.heappush(self.queue, (at, self.serial, member, member.starts, message))

    def plan(self, member, at):
        """Schedules a round of a member unless an earlier one is scheduled."""
        if member.due is None or at < member.due:
            member.due = at
            self.push(at, member, None)

    def step(self):
        """Runs the next event; returns False if it had no effect on a running member."""
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
        self.plan(member, self.now + max(0.0, (member.limits.next_at() - member.clock()) / member.clock_rate))
        return True

    def run(self, seconds, after_event=None):
        """Runs the simulation for some seconds; calls `after_event` after each event that had an effect."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            if self.step() and after_event:
                after_event()
        self.now = end

    def call_later(self, wait, function):
        """Schedules a call."""
        self.push(self.now + wait, ScheduledCall(function), None)

    def crash(self, n):
        """Ends a member; unless it restarts first, the others learn of it after CRASH_NOTICE_S."""
        self.members[n].up = False
        starts = self.members[n].starts
        self.call_later(
            CRASH_NOTICE_S,
            lambda: self.tell_all(n, MemberState.LOST) if self.members[n].starts == starts else None,
        )

    def restart(self, n):
        """Starts a member again; the others learn of it after RESTART_NOTICE_S."""
        self.members[n].start()
        self.call_later(RESTART_NOTICE_S, lambda: self.tell_all(n, MemberState.ALIVE))

    def tell_all(self, n, state):
        """Applies the state of a member to the views of all running members."""
        for other in self.members.values():
            if other.up:
                other.notice(n, state)

    def freeze(self, n):
        """Stops a member without ending it."""
        self.members[n].frozen = True

    def thaw(self, n):
        """Continues a frozen member, which handles the messages received meanwhile in one round."""
        member = self.members[n]
        member.frozen, member.due = False, None
        inbox, member.inbox = member.inbox, []
        member.round(inbox)
        self.plan(member, self.now)

    def total(self, limit=COLD):
        """Returns the sum of the shares in use by all running members, which must not exceed 1."""
        return sum(member.part(limit) for member in self.members.values() if member.up)


class ScheduledCall:
    """A scheduled call in the event queue, in place of a member."""

    starts = 0

    def __init__(self, function):
        self.function = function

    def __call__(self):
        """Runs the call."""
        self.function()
