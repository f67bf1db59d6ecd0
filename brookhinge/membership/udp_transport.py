"""Runs a peer over UDP on an asyncio loop: reads and sends datagrams, runs rounds and logs changes."""

import asyncio
import collections
import math
import os
import random
import time
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

import msgspec

from brookhinge.clock import steady
from brookhinge.engine.events import Event, PeerNoticeReceived, RouterCountChanged
from brookhinge.membership.claims import Claim
from brookhinge.membership.codec import CORE_MESSAGES, VERSION, Codec
from brookhinge.membership.core import Core, CoreContext
from brookhinge.membership.fleet_size import FleetSize
from brookhinge.membership.local_member import Identity
from brookhinge.membership.messages import (
    Announcement,
    CoreMessage,
    Notice,
    Received,
    Row,
    StatusRequest,
    StatusResponse,
    StatusTopic,
)
from brookhinge.membership.peer import Peer
from brookhinge.membership.status_query import OBSERVER_NAME
from brookhinge.membership.view import MemberChange

if TYPE_CHECKING:
    from brookhinge.operator.settings import Fleet

MAX_INBOX = 256  # datagrams queued for one round; further ones are dropped
LEAVE_FLUSH_S = 0.05  # time for the leave announcement to be sent before the socket closes
COUNT_INTERVAL_S = 1.0
MIN_WAIT_S = 0.001
STATUS_ROWS = 6  # per datagram


class UdpTransport(asyncio.DatagramProtocol):
    """The membership socket of one router.

    Its interface is `await start()`, `spread(kind, *values)` and `await leave()`.
    """

    def __init__(
        self,
        settings: "Fleet",
        seed: object,
        configured: Sequence[int],
        post: Callable[[Event], None],
        log: Callable[..., None],
    ) -> None:
        """Prepare the transport; nothing is sent before `start`.

        Args:
            settings: The `fleet` block of the operator settings.
            seed: Seed of the random generator, combined with the start time and process id.
            configured: Number of configured routers in the zone and in the whole fleet.
            post: Receives events for the engine.
            log: Called as log(event, **values).
        """
        self.settings = settings
        self.seed = seed
        self._post = post
        self.log = log
        self.codec = Codec(settings.site, settings.key)
        self.transport: asyncio.DatagramTransport | None = None
        self.changes: collections.Counter[MemberChange] = collections.Counter()
        self.purge_log = None  # a LogClient or None; its metrics are served along with these
        self.configured = FleetSize(*configured)
        self.fleet_size = self.configured
        self.timer: asyncio.TimerHandle | None = None
        self._inbox: list[Received] = []
        self._is_round_scheduled = False
        self._next_count_at = 0.0
        self._metrics_server = None
        self._core_factories: list[Callable[[UdpTransport, float], Core]] = []
        self._cores: list[Core] = []
        self._core_of: dict[type, Core] = {}
        self._core_inboxes: dict[int, list[CoreMessage]] = {}

    def add(self, factory: Callable[["UdpTransport", float], Core]) -> None:
        """Register a core; `factory(transport, now)` creates it after the peer has been created."""
        self._core_factories.append(factory)

    async def start(self) -> tuple[str, int]:
        """Bind the socket and join the fleet; return the address advertised to members."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.settings.listen)
        address = self.settings.advertise or self.transport.get_extra_info("sockname")[:2]
        started_at_ms = round(time.time() * 1000)
        identity = Identity(self.settings.name, address, self.settings.zone, VERSION, started_at_ms)
        # Two starts with the same seed must draw different incarnation ids.
        rng = random.Random(f"{self.seed} {started_at_ms} {os.getpid()}")
        self.peer = Peer(identity, list(self.settings.join), rng, time.monotonic())
        self._serve_metrics()
        host, port = address
        metrics = {"metrics": self._metrics_server.server_port} if self._metrics_server else {}
        self.log("fleet", change="listening", address=f"{host}:{port}", **metrics)
        self._cores = [factory(self, steady()) for factory in self._core_factories]
        self._core_of = {kind: core for core in self._cores for kind in core.message_types}
        self._core_inboxes = {id(core): [] for core in self._cores}
        self.run_round()
        return address

    def _serve_metrics(self) -> None:
        if self.settings.metrics:
            from brookhinge.membership.metrics import FleetCollector
            from brookhinge.metrics import publish

            self._metrics_server, _ = publish(FleetCollector(self), self.settings.metrics)

    # receiving

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Queue a datagram for the next round, or answer an observer at once."""
        received = self.codec.read(data)
        if received is None:
            return
        if received.sender.name.startswith(OBSERVER_NAME):
            self._answer_observer(received, address)
            return
        if len(self._inbox) < MAX_INBOX:
            self._inbox.append(self._route_to_core(received))
        if not self._is_round_scheduled:
            self._is_round_scheduled = True
            asyncio.get_running_loop().call_soon(self.run_round)

    def error_received(self, error: OSError) -> None:
        """Ignore errors such as an unreachable port; the failure detector notices the missing answer."""

    def _route_to_core(self, received: Received) -> Received:
        """Queue a message for its core, and return the datagram without it for the peer."""
        message = received.message
        if not isinstance(message, CORE_MESSAGES):
            return received
        core = self._core_of.get(type(message))
        if core is not None:
            sender_id = received.sender.incarnation_id
            self._core_inboxes[id(core)].append(CoreMessage(sender_id, message, received.notices))
        return received._replace(notices=(), message=Announcement())

    # rounds

    def run_round(self) -> None:
        """Run the peer and the cores on the datagrams since the last round and whatever is due."""
        self._is_round_scheduled = False
        inbox = self._inbox
        self._inbox = []
        if self.transport is None or self.transport.is_closing():
            return
        self.peer.round(time.monotonic(), inbox, self)
        now = time.monotonic()
        if now >= self._next_count_at:
            self._update_fleet_size(now)
        wait_s = self.peer.next_at() - now
        if not self.peer.stopped:
            wait_s = min(wait_s, self._run_cores())
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None
        if wait_s != math.inf:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(max(MIN_WAIT_S, wait_s), self.run_round)

    def _run_cores(self) -> float:
        """Run all cores; return the seconds until the next one is due."""
        wait_s = math.inf
        for core in self._cores:
            inbox = self._core_inboxes[id(core)]
            self._core_inboxes[id(core)] = []
            now = steady()
            core.round(now, inbox, self)
            wait_s = min(wait_s, core.next_at() - now)
        return wait_s

    def before_engine_round(self) -> None:
        """Publish expired values, so that the engine's next round does not use them."""
        for core in self._cores:
            if steady() >= core.next_expiry_at:
                core.publish(steady(), self)

    def _update_fleet_size(self, now: float) -> None:
        """Post the number of routers that share limits to the engine if it has changed.

        This runs after each membership change and once per COUNT_INTERVAL_S.
        """
        self._next_count_at = now + COUNT_INTERVAL_S
        lease_s = self.settings.lease_s
        in_zone = self.peer.estimate_fleet_size(now, lease_s, self.configured.in_zone, self.settings.zone)
        total = self.peer.estimate_fleet_size(now, lease_s, self.configured.total)
        if (in_zone, total) != self.fleet_size:
            self.fleet_size = FleetSize(in_zone, total)
            self.log("fleet", change="sharers", here=in_zone, all=total)
            self._post(RouterCountChanged(in_zone, total))

    # commands by the service

    def spread(self, kind: str, *values: object) -> None:
        """Send all members a notice that tightens a rule."""
        self.peer.spread(time.monotonic(), kind, values, self)

    async def leave(self) -> None:
        """Announce to the members that this router leaves, and close the socket."""
        if self.transport is None:  # `start` has not bound the socket
            return
        self.peer.leave(time.monotonic(), self)
        await asyncio.sleep(LEAVE_FLUSH_S)
        if self.timer is not None:
            self.timer.cancel()
        if self._metrics_server is not None:
            self._metrics_server.shutdown()
        self.transport.close()

    def core_context(self) -> CoreContext:
        """Return the context for a core; the peer must exist already."""
        return CoreContext(self.peer.view, self.settings.name, self.settings.zone, self.peer.version)

    # status

    def _answer_observer(self, received: Received, address: tuple) -> None:
        """Answer a status request with up to STATUS_ROWS rows, starting at the requested offset."""
        request = received.message
        if not isinstance(request, StatusRequest):
            return
        rows = self._status_rows(request.topic)
        data = self.codec.write(
            self.peer.claim(time.monotonic()),
            self.peer.view.digest(),
            StatusResponse(request.offset, len(rows)),
            [],
            rows[request.offset : request.offset + STATUS_ROWS],
        )
        if data is not None:
            self.transport.sendto(data, address)

    def _status_rows(self, topic: int) -> list[Row]:
        if topic != StatusTopic.MEMBERS:
            return next(
                (core.status_rows(steady()) for core in self._cores if core.status_topic == topic), []
            )
        now = time.monotonic()
        rows = []
        for member in self.peer.members():
            host, port = member.address
            for_s = round(now - member.since, 1)
            rows.append(
                (member.name, member.state.label, for_s, member.reporter, member.zone, f"{host}:{port}")
            )
        return rows

    # PeerWriter

    def send(
        self,
        address: tuple[str, int],
        message: msgspec.Struct,
        updates: Sequence[Claim],
        notices: Sequence[Notice],
    ) -> None:
        """Send a datagram; one that is too long without updates and notices is dropped and counted."""
        claim = self.peer.claim(time.monotonic())
        data = self.codec.write(claim, self.peer.digest(), message, updates, notices)
        if data is not None:
            self.transport.sendto(data, address)

    def changed(self, change: MemberChange, name: str, reporter: str) -> None:
        """Log and count a change of a member, and force a recount of the fleet in the next round."""
        self._next_count_at = 0.0
        self.changes[change] += 1
        if change is MemberChange.NAME_TAKEN:
            self.log(
                "fleet",
                change=change,
                member=name,
                by=reporter,
                why="an older process uses this name; this process stays out of the fleet",
            )
        else:
            present = len(self.peer.view.present())
            self.log("fleet", change=change, member=name, by=reporter, members=present)

    def notice(self, kind: str, values: tuple, reporter: str) -> None:
        """Post a notice received from a member to the engine."""
        self._post(PeerNoticeReceived(kind, values))

    # CoreWriter

    def post_to(self, i: int, message: msgspec.Struct, rows: Sequence[Row]) -> None:
        """Send a core's message with rows to the member at position `i`."""
        self.send(self.peer.view.addresses[i], message, [], rows)

    def post_event(self, event: Event) -> None:
        """Post a core's event to the engine."""
        self._post(event)
