"""The membership protocol of one router, without I/O, clock or randomness of its own.

Each round handles received datagrams, then runs incarnation conflicts, the failure detector, joining and
gossip, in this order. Times are seconds of the caller's monotonic clock.
"""

import math
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from brookhinge.membership import timing
from brookhinge.membership.anti_entropy import UNSETTLED_DIGEST, AntiEntropy
from brookhinge.membership.claims import Claim, MemberState
from brookhinge.membership.dissemination import NOTICE_FANOUT, UPDATE_TRANSMISSIONS, Dissemination
from brookhinge.membership.failure_detector import ANY_PROCESS, NO_DEADLINE, FailureDetector
from brookhinge.membership.fleet_size import estimate_fleet_size
from brookhinge.membership.incarnation_conflict import IncarnationConflict
from brookhinge.membership.join_progress import JoinProgress
from brookhinge.membership.joining import Joining
from brookhinge.membership.local_health import LocalHealth
from brookhinge.membership.local_member import Identity, LocalMember
from brookhinge.membership.messages import (
    Ack,
    Announcement,
    Gossip,
    Nack,
    Ping,
    PingRequest,
    Received,
    SyncRequest,
    SyncResponse,
)
from brookhinge.membership.suspicion import SuspicionTable
from brookhinge.membership.updates import UpdateApplier
from brookhinge.membership.view import MemberChange, MembershipView
from brookhinge.membership.writer import PeerWriter

LEAVE_FANOUT = 2 * NOTICE_FANOUT
WAKE_GAP_IN_PROBES = 2.0  # a longer gap between two rounds means that this process was paused

# Not answered with an announcement, as two members would otherwise answer each other endlessly.
UNANSWERED_TYPES = (Announcement, Gossip, SyncResponse)
UNCOMPARED_TYPES = (Announcement, Gossip, SyncResponse, SyncRequest)
ARRIVAL_CHANGES = (MemberChange.JOINED, MemberChange.RESTARTED, MemberChange.BACK)


class Member(NamedTuple):
    """The known state of a member, as given to the host."""

    name: str
    state: MemberState
    since: float
    reporter: str
    address: tuple[str, int]
    zone: str
    version: int


class Peer:
    """One member of the fleet; the host calls `round` for received datagrams and at `next_at`."""

    def __init__(
        self, identity: Identity, seeds: Sequence[tuple[str, int]], rng: random.Random, now: float
    ) -> None:
        """Create a peer that knows only itself.

        Args:
            identity: Identity of this process.
            seeds: Addresses of members to join through; one that answers is enough.
            rng: The only source of randomness.
            now: Current time in seconds.
        """
        self.view = MembershipView(timing.FORGET_AFTER_S)
        self.local = LocalMember(identity, self.view, rng, now)
        self.health = LocalHealth()
        self.suspicions = SuspicionTable()
        self.dissemination = Dissemination(self.local, now)
        self.conflict = IncarnationConflict(self.local, self.dissemination)
        self.updates = UpdateApplier(
            self.local, self.dissemination, self.suspicions, self.health, self.conflict
        )
        self.failure_detector = FailureDetector(
            self.local, self.dissemination, self.suspicions, self.health, self.updates, now
        )
        self.join_progress = JoinProgress(self.local, now)
        self.anti_entropy = AntiEntropy(self.local, self.dissemination, self.join_progress, now)
        other_seeds = [seed for seed in seeds if seed != identity.address]
        self.joining = Joining(
            self.local, self.dissemination, self.anti_entropy, self.join_progress, other_seeds, now
        )
        self._next_forget_at = now + timing.FORGET_INTERVAL_S

    # queries by the host

    @property
    def name(self) -> str:
        """The name of this process in the fleet."""
        return self.local.name

    @property
    def version(self) -> int:
        """The protocol version that this process speaks."""
        return self.local.version

    @property
    def stopped(self) -> bool:
        """Whether this process has left or an older process holds its name."""
        return self.local.stopped

    def claim(self, now: float) -> Claim:
        """Return the claim of this process about itself."""
        return self.local.claim(now)

    def digest(self) -> int:
        """Return the digest that is sent with each datagram."""
        return self.anti_entropy.digest()

    def members(self) -> list[Member]:
        """Return all known members, including those lost or left."""
        view = self.view
        columns = (
            view.names,
            view.states,
            view.since,
            view.reporters,
            view.addresses,
            view.zones,
            view.versions,
        )
        return [Member(*values) for values in zip(*columns, strict=True)]

    def estimate_fleet_size(
        self, now: float, lease_s: float, configured: int, zone: str | None = None
    ) -> int:
        """Return how many routers share a limit of the fleet; see fleet_size.py.

        A joining member may know that others left but not yet that they are back, so it treats no share as
        free.
        """
        lease_s = math.inf if self.join_progress.is_joining() else lease_s
        return estimate_fleet_size(self.view, now, lease_s, configured, zone)

    def next_at(self) -> float:
        """Return when the next round is due if nothing is received."""
        if self.stopped:
            return math.inf
        return min(
            self._next_forget_at,
            self.failure_detector.due_at(),
            self.dissemination.due_at(),
            self.joining.due_at(),
            self.conflict.due_at(),
        )

    # commands by the host

    def spread(self, now: float, kind: str, values: tuple, writer: PeerWriter) -> None:
        """Send all members a notice that tightens a rule: a drain, a purge, or the removal of a server."""
        self.dissemination.receive_notice(now, (kind, *values), self.name, writer)

    def leave(self, now: float, writer: PeerWriter) -> None:
        """Announce to LEAVE_FANOUT members, which gossip it further, that this process has left."""
        if not self.stopped:
            self.view.apply(now, self.claim(now)._replace(state=MemberState.LEFT), self.name)
            for i in self.local.sample_members(LEAVE_FANOUT):
                self.dissemination.send(i, Announcement(), writer, [self.claim(now)])
        self.local.stopped = True

    # rounds

    def round(self, now: float, inbox: Sequence[Received], writer: PeerWriter) -> None:
        """Handle the received datagrams, then run whatever is due."""
        if self.stopped:
            return
        gap_s = now - self.local.now
        if gap_s > WAKE_GAP_IN_PROBES * self._probe_interval():
            self.failure_detector.on_wake(now, gap_s)
            self.conflict.postpone(gap_s)
        self.local.now = now
        for received in inbox:
            self._receive(now, received, writer)
            if self.stopped:
                return
        self.conflict.expire(now)
        self.failure_detector.run(now, self._probe_interval(), writer)
        self.joining.run(now, writer)
        self.dissemination.gossip(now, writer)
        if now >= self._next_forget_at:
            self._next_forget_at = now + timing.FORGET_INTERVAL_S
            self.failure_detector.forget_gone(now)
            self.dissemination.notices.expire(now)

    def _probe_interval(self) -> float:
        """Return the seconds between two probes, which cause most of the traffic in a large fleet."""
        scale = timing.MAX_INTERVAL_SCALE if self.join_progress.is_joining() else self.local.scale()
        return timing.PROBE_INTERVAL_S * scale

    # received datagrams

    def _receive(self, now: float, received: Received, writer: PeerWriter) -> None:
        sender = received.sender
        message_type = type(received.message)
        if sender.incarnation_id == self.local.incarnation_id:
            return
        known_before = len(self.view.names)
        change = self._apply(now, received, writer)
        i = self.view.index.get(sender.name)
        if i is None or self.view.incarnation_ids[i] != sender.incarnation_id:
            self._answer_superseded(now, i, received, writer)
            return
        is_foreign = self.local.is_foreign(i)
        if self.view.states[i] != MemberState.ALIVE:
            self._send_known_state(now, i, message_type, writer)
        if change in ARRIVAL_CHANGES:
            self.anti_entropy.on_arrival(now, i, writer)
        if message_type is SyncResponse and self.join_progress.is_joining():
            self.joining.on_sync_response(now, received, len(self.view.names) > known_before)
        if message_type not in UNCOMPARED_TYPES and not is_foreign:
            self.anti_entropy.compare(now, i, received.digest, writer)
        handler = _HANDLERS.get(message_type)
        if handler is not None:
            handler(self, now, i, received, writer)

    def _apply(self, now: float, received: Received, writer: PeerWriter) -> MemberChange | None:
        """Apply all claims and notices of a datagram; return what the sender's own claim changed."""
        sender = received.sender
        transmissions = self._transmissions(type(received.message))
        change = self.updates.apply_update(now, sender, sender.name, writer, transmissions)
        for claim in received.updates:
            self.updates.apply_update(now, claim, sender.name, writer, transmissions)
        for notice in received.notices:
            self.dissemination.receive_notice(now, notice, sender.name, writer)
        return change

    def _transmissions(self, message_type: type) -> int:
        """Return how often new claims from a message of this type are sent on.

        To a joining member nearly every claim is new, so it forwards only those received by gossip.
        """
        is_joining = self.join_progress.is_joining()
        if message_type is SyncResponse:
            return 0 if is_joining else UPDATE_TRANSMISSIONS // 2
        return 0 if is_joining and message_type is not Gossip else UPDATE_TRANSMISSIONS

    def _answer_superseded(self, now: float, i: int | None, received: Received, writer: PeerWriter) -> None:
        """Answer a process whose name belongs to another process with the claim known for that name.

        Pings and acks between the two processes are handled first; see incarnation_conflict.py.
        """
        sender = received.sender
        message = received.message
        if isinstance(message, Ping) and message.incarnation_id == self.local.incarnation_id:
            writer.send(sender.address, Ack(message.nonce), [], [])
        elif isinstance(message, Ack):
            self.handle_ack(message.nonce, writer)
        elif i is not None and not isinstance(message, UNANSWERED_TYPES):
            writer.send(sender.address, Announcement(), [self.view.claim(i, now)], [])

    def _send_known_state(self, now: float, i: int, message_type: type, writer: PeerWriter) -> None:
        """Send a live member the state that this router has recorded for it, so that it can refute it."""
        if self.local.is_foreign(i):
            self.failure_detector.ping(i, NO_DEADLINE, writer)
        elif message_type not in UNANSWERED_TYPES:
            self.dissemination.send(i, Announcement(), writer, [self.view.claim(i, now)])

    def handle_ack(self, nonce: int, writer: PeerWriter) -> None:
        """Handle an ack to a ping of the incarnation conflict or of the failure detector."""
        if not self.conflict.on_ack(nonce, writer):
            self.failure_detector.on_ack(nonce, writer)

    def _on_ping(self, now: float, i: int, received: Received, writer: PeerWriter) -> None:
        ping = received.message
        if ping.state != MemberState.ALIVE and ping.incarnation >= self.local.incarnation():
            self.updates.refute_own_state(now, ping.incarnation, ping.state)
        if ping.incarnation_id not in (ANY_PROCESS, self.local.incarnation_id):
            return
        is_foreign = self.local.is_foreign(i)
        claims = self.anti_entropy.missing_updates(now, received.digest, is_foreign)
        if ping.incarnation_id == ANY_PROCESS and received.digest == UNSETTLED_DIGEST and not is_foreign:
            claims = self.joining.introductions(now)
        self.dissemination.send(i, Ack(ping.nonce), writer, claims)

    def _on_ack(self, now: float, i: int, received: Received, writer: PeerWriter) -> None:
        self.handle_ack(received.message.nonce, writer)
        missing = self.anti_entropy.missing_updates(now, received.digest, self.local.is_foreign(i))
        if missing:
            writer.send(self.view.addresses[i], Gossip(), missing, [])

    def _on_nack(self, now: float, i: int, received: Received, writer: PeerWriter) -> None:
        self.failure_detector.on_nack(received.message.nonce, received.sender.name)

    def _on_ping_request(self, now: float, i: int, received: Received, writer: PeerWriter) -> None:
        self.failure_detector.on_ping_request(now, i, received.message, writer)

    def _on_sync_request(self, now: float, i: int, received: Received, writer: PeerWriter) -> None:
        self.anti_entropy.on_sync_request(now, i, received.message, writer)


_Handler = Callable[[Peer, float, int, Received, PeerWriter], None]
_HANDLERS: dict[type, _Handler] = {
    Ping: Peer._on_ping,
    Ack: Peer._on_ack,
    Nack: Peer._on_nack,
    PingRequest: Peer._on_ping_request,
    SyncRequest: Peer._on_sync_request,
}
