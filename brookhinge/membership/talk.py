"""Joins a fellow to UDP on an asyncio loop. Decides nothing: datagrams in, rounds, datagrams out, changes to the log."""
import asyncio
import collections
import math
import os
import random
import time

from brookhinge.membership.counting import sharers
from brookhinge.membership.fellow import Fellow
from brookhinge.membership.post import VERSION, Post
from brookhinge.membership.view import STATES

READ = 256          # datagrams of one pass of the loop that go into one round; the rest is the next one's
LIMITS = ("want", "lend")   # methods of brookhinge/limits
LEAVING_S = 0.05    # after the word of leaving, so that it is out before the socket closes


def steady():
    """Seconds of a clock that also goes on while the machine sleeps, where there is one: leases end by it."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) if hasattr(time, "CLOCK_BOOTTIME") else time.monotonic()


class Talk(asyncio.DatagramProtocol):
    """One router among its fellows: `await start()`, `spread(kind, values)`, `await leave()`.

    block    `fleet` of the operator's file: name, listen, join, site, key, zone, lease_s
    sharers  how many routers the settings tell of: at this place, and in all
    event    called with (method, values) for the reducer: `heard` and `fellows`
    log      called as log(event, **values)
    demand   where limits are shared: what was asked of them lately (brookhinge/limits)"""

    def __init__(self, block, seed, sharers_told, event, log, demand=None):
        self.block, self.event, self.log, self.seed = block, event, log, seed
        self.post, self.inbox, self.due, self.timer, self.transport = Post(block.site, block.key), [], False, None, None
        self.demand, self.limits, self.lending = demand, None, []
        self.changes, self.server = collections.Counter(), None
        self.told_of, self.counted, self.count_at = sharers_told, sharers_told, 0.0

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.block.listen)
        address = self.block.advertise or self.transport.get_extra_info("sockname")[:2]
        born = round(time.time() * 1000)        # two starts with one seed are two processes all the same
        self.fellow = Fellow(self.block.name, address, self.block.zone, VERSION, born, list(self.block.join),
                             random.Random(f"{self.seed} {born} {os.getpid()}"), time.monotonic())
        if self.block.metrics:
            from brookhinge.membership.metrics import Figures
            from brookhinge.metrics import publish
            self.server, _ = publish(Figures(self), self.block.metrics)
        self.log("fleet", change="listening", address="%s:%d" % address,
                 **({"metrics": self.server.server_port} if self.server else {}))
        if self.demand is not None:
            from brookhinge.limits.limits import Limits
            self.limits = Limits(self.fellow.view, self.block.name, self.block.zone, VERSION, lambda: self.counted,
                                 self.demand, steady())
        self.turn()
        return address

    def datagram_received(self, data, address):
        message = self.post.read(data)
        if message is None:
            return
        if message[0][0].startswith("?"):
            return self.shown(message, address)
        if len(self.inbox) < READ:
            if message[4] in LIMITS:        # its sender is a member as any other, the rest is not the fellow's
                claim, digest, news, rows, method, values = message
                if self.limits is not None and len(self.lending) < READ:
                    self.lending.append((claim[1], method, values, rows))
                message = claim, digest, news, (), "tell", ()
            self.inbox.append(message)
        if not self.due:
            self.due = True
            asyncio.get_running_loop().call_soon(self.turn)

    def error_received(self, fault):
        pass        # nobody there: silence says the same

    def turn(self):
        """One round: what came since the last one, and what is due."""
        self.due, inbox, self.inbox = False, self.inbox, []
        if self.transport is None or self.transport.is_closing():
            return
        self.fellow.round(time.monotonic(), inbox, self)
        now = time.monotonic()
        if now >= self.count_at:
            self.count(now)
        wait = self.fellow.next_at() - now
        if self.limits is not None and not self.fellow.out:
            lending, self.lending, at = self.lending, [], steady()
            self.limits.round(at, lending, self)
            wait = min(wait, self.limits.next_at() - at)
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None if wait == math.inf else asyncio.get_running_loop().call_later(max(0.001, wait), self.turn)

    def before(self):
        """Before a round of the decisions: no part of a limit is used after its end."""
        if self.limits is not None and steady() >= self.limits.shrinks_at:
            self.limits.tell(steady(), self)

    def count(self, now):
        """How many share the limits, looked at after each change and each second."""
        self.count_at = now + 1.0
        view, lease = self.fellow.view, self.block.lease_s
        counted = (sharers(view, now, lease, self.told_of[0], self.block.zone),
                   sharers(view, now, lease, self.told_of[1]))
        if counted != self.counted:
            self.counted = counted
            self.log("fleet", change="sharers", here=counted[0], all=counted[1])
            self.event("fellows", counted)

    def spread(self, kind, *values):
        self.fellow.spread(time.monotonic(), kind, values, self)

    async def leave(self):
        """Tells the fellows that this router goes, and closes."""
        if self.transport is None:
            return
        self.fellow.leave(time.monotonic(), self)
        await asyncio.sleep(LEAVING_S)
        if self.timer is not None:
            self.timer.cancel()
        if self.server is not None:
            self.server.shutdown()
        self.transport.close()

    def shown(self, message, address):
        """An operator looks: rows of the view from a place on, and how many there are."""
        claim, _, _, _, method, values = message
        if method != "look":
            return
        v, now = self.fellow.view, time.monotonic()
        rows = [(v.names[i], STATES[v.state[i]], round(now - v.since[i], 1), v.by[i], v.zone[i], "%s:%d" % v.address[i])
                for i in range(values[0], min(len(v.names), values[0] + 6))]
        data = self.post.write(v.claim(v.index[self.fellow.name], now), v.digest(), "seen", (values[0], len(v.names)), [],
                               rows)
        if data is not None:
            self.transport.sendto(data, address)

    # the fellow's writer

    def send(self, address, method, values, news, words):
        v = self.fellow.view
        data = self.post.write(v.claim(v.index[self.fellow.name], time.monotonic()), v.digest(), method, values, news,
                               words)
        if data is not None:
            self.transport.sendto(data, address)

    def told(self, change, name, by):
        self.count_at = 0.0
        self.changes[change] += 1
        if change == "taken":
            self.log("fleet", change=change, member=name, by=by,
                     why="an older process holds this name: this one stays out of the fleet")
        else:
            self.log("fleet", change=change, member=name, by=by, members=len(self.fellow.view.living()))

    def word(self, kind, values, by):
        self.event("heard", (kind, values))

    # the limits' writer

    def lend(self, place, method, values, rows):
        self.send(self.fellow.view.address[place], method, values, [], rows)

    def parts(self, rows):
        self.event("parts", (rows,))
