"""Joins a peer to UDP on an asyncio loop. Decides nothing: datagrams in, rounds, datagrams out, changes to the log."""

import asyncio
import collections
import math
import os
import random
import time

from brookhinge.clock import steady
from brookhinge.engine.events import PeerNoticeReceived, RouterCountChanged
from brookhinge.membership.codec import CORE_METHODS, VERSION, Codec
from brookhinge.membership.look import MEMBERS
from brookhinge.membership.peer import Peer
from brookhinge.membership.view import STATES

READ = 256  # datagrams of one pass of the loop that go into one round; the rest is the next one's
LEAVING_S = 0.05  # after the claim of leaving, so that it is out before the socket closes


class Talk(asyncio.DatagramProtocol):
    """One router among its peers: `await start()`, `spread(kind, values)`, `await leave()`.

    block    `fleet` of the operator's file: name, listen, join, site, key, zone, lease_s
    configured  how many routers the settings tell of: at this place, and in all
    event    called with each event for the router's state: PeerNoticeReceived and RouterCountChanged
    log      called as log(event, **values)

    What else peers talk about joins by `add`: a core with `methods`, round(now, inbox, writer), next_at(), and
    tell(now, writer), which is called before a round of the decisions once its `shrinks_at` is past."""

    def __init__(self, block, seed, configured, event, log):
        self.block, self.event, self.log, self.seed = block, event, log, seed
        self.codec, self.inbox, self.due, self.timer, self.transport = (
            Codec(block.site, block.key),
            [],
            False,
            None,
            None,
        )
        self.makers, self.cores, self.core_of = [], [], {}
        self.changes, self.server = collections.Counter(), None
        self.purge_log = None  # its LogClient, where there is one: its figures are served with these
        self.configured, self.counted, self.count_at = configured, configured, 0.0

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.block.listen)
        address = self.block.advertise or self.transport.get_extra_info("sockname")[:2]
        born = round(time.time() * 1000)  # two starts with one seed are two processes all the same
        self.peer = Peer(
            self.block.name,
            address,
            self.block.zone,
            VERSION,
            born,
            list(self.block.join),
            random.Random(f"{self.seed} {born} {os.getpid()}"),
            time.monotonic(),
        )
        if self.block.metrics:
            from brookhinge.membership.metrics import Figures
            from brookhinge.metrics import publish

            self.server, _ = publish(Figures(self), self.block.metrics)
        self.log(
            "fleet",
            change="listening",
            address="%s:%d" % address,
            **({"metrics": self.server.server_port} if self.server else {}),
        )
        self.cores = [make(self, steady()) for make in self.makers]
        self.core_of = {method: core for core in self.cores for method in core.methods}
        self.core_inboxes = {id(core): [] for core in self.cores}
        self.turn()
        return address

    def datagram_received(self, data, address):
        message = self.codec.read(data)
        if message is None:
            return
        if message[0][0].startswith("?"):
            return self.shown(message, address)
        if len(self.inbox) < READ:
            claim, digest, news, rows, method, values = message
            if method in CORE_METHODS:  # its sender is a member as any other, the rest is not the peer's
                if method in self.core_of:
                    self.core_inboxes[id(self.core_of[method])].append((claim[1], method, values, rows))
                message = claim, digest, news, (), "tell", ()
            self.inbox.append(message)
        if not self.due:
            self.due = True
            asyncio.get_running_loop().call_soon(self.turn)

    def error_received(self, fault):
        pass  # nobody there: silence says the same

    def turn(self):
        """One round: what came since the last one, and what is due."""
        self.due, inbox, self.inbox = False, self.inbox, []
        if self.transport is None or self.transport.is_closing():
            return
        self.peer.round(time.monotonic(), inbox, self)
        now = time.monotonic()
        if now >= self.count_at:
            self.count(now)
        wait = self.peer.next_at() - now
        for core in self.cores if not self.peer.out else ():
            core_inbox, self.core_inboxes[id(core)] = self.core_inboxes[id(core)], []
            at = steady()
            core.round(at, core_inbox, self)
            wait = min(wait, core.next_at() - at)
        if self.timer is not None:
            self.timer.cancel()
        self.timer = (
            None if wait == math.inf else asyncio.get_running_loop().call_later(max(0.001, wait), self.turn)
        )

    def before(self):
        """Before a round of the decisions: nothing that ends by itself is used after its end."""
        for core in self.cores:
            if steady() >= core.shrinks_at:
                core.tell(steady(), self)

    def count(self, now):
        """How many share the limits, looked at after each change and each second."""
        self.count_at = now + 1.0
        lease = self.block.lease_s
        counted = (
            self.peer.sharers(now, lease, self.configured[0], self.block.zone),
            self.peer.sharers(now, lease, self.configured[1]),
        )
        if counted != self.counted:
            self.counted = counted
            self.log("fleet", change="sharers", here=counted[0], all=counted[1])
            self.event(RouterCountChanged(*counted))

    def spread(self, kind, *values):
        self.peer.spread(time.monotonic(), kind, values, self)

    async def leave(self):
        """Tells the peers that this router goes, and closes."""
        if self.transport is None:  # it never got to join
            return
        self.peer.leave(time.monotonic(), self)
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
        v, now, (at, what) = self.peer.view, time.monotonic(), values
        if what == MEMBERS:
            rows = [
                (
                    v.names[i],
                    STATES[v.state[i]],
                    round(now - v.since[i], 1),
                    v.by[i],
                    v.zone[i],
                    "%s:%d" % v.address[i],
                )
                for i in range(len(v.names))
            ]
        else:
            rows = next((core.shown(steady()) for core in self.cores if core.look == what), [])
        data = self.codec.write(
            v.claim(v.index[self.peer.name], now),
            v.digest(),
            "seen",
            (at, len(rows)),
            [],
            rows[at : at + 6],
        )
        if data is not None:
            self.transport.sendto(data, address)

    # the peer's writer

    def send(self, address, method, values, news, notices):
        v = self.peer.view
        data = self.codec.write(
            v.claim(v.index[self.peer.name], time.monotonic()),
            self.peer.digest(),
            method,
            values,
            news,
            notices,
        )
        if data is not None:
            self.transport.sendto(data, address)

    def changed(self, change, name, by):
        self.count_at = 0.0
        self.changes[change] += 1
        if change == "taken":
            self.log(
                "fleet",
                change=change,
                member=name,
                by=by,
                why="an older process holds this name: this one stays out of the fleet",
            )
        else:
            self.log("fleet", change=change, member=name, by=by, members=len(self.peer.view.living()))

    def notice(self, kind, values, by):
        self.event(PeerNoticeReceived(kind, values))

    # the cores' writer

    def add(self, make):
        """make(talk, now): a core, made when the peer is."""
        self.makers.append(make)

    def post_to(self, place, method, values, rows):
        self.send(self.peer.view.address[place], method, values, [], rows)

    def post_event(self, event):
        self.event(event)
