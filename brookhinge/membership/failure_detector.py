"""Failure detector: SWIM's probes with Lifeguard's local health."""

import math
from typing import NamedTuple

from brookhinge.membership import timing
from brookhinge.membership.claims import MemberState
from brookhinge.membership.dissemination import MAX_PLAIN_CLAIMS, Dissemination
from brookhinge.membership.local_health import WAKE_PENALTY, LocalHealth
from brookhinge.membership.local_member import LocalMember
from brookhinge.membership.messages import Ack, Nack, Ping, PingRequest
from brookhinge.membership.suspicion import SuspicionTable
from brookhinge.membership.updates import UpdateApplier
from brookhinge.membership.writer import PeerWriter

HELPERS = 3  # members asked to ping one that did not answer
SETTLED_NOTICES = 2  # per ping; see Dissemination.piggyback
NO_DEADLINE = 0  # nonce of a ping that expects no ack
ANY_PROCESS = 0  # incarnation id that allows any process at the address to answer a ping


class Probe:
    """A probe in progress: one direct ping, a repeated one, then pings through helpers."""

    __slots__ = ("attempts", "deadline", "helpers", "incarnation_id", "nacks", "nonce", "position")

    def __init__(self, position: int, incarnation_id: int, nonce: int, deadline: float) -> None:
        """Create the probe state for the first direct ping."""
        self.position = position
        self.incarnation_id = incarnation_id
        self.nonce = nonce
        self.deadline = deadline
        self.attempts = 1
        self.helpers = 0
        self.nacks: set[str] = set()


class IndirectPing(NamedTuple):
    """A ping on behalf of another member.

    Attributes:
        requester: Position of the member that asked for it.
        requester_nonce: Nonce of its ping request.
        deadline: When the requester is sent a nack if no ack has arrived.
    """

    requester: int
    requester_nonce: int
    deadline: float


class FailureDetector:
    """Probes the members one after another, one at a time."""

    def __init__(
        self,
        local: LocalMember,
        dissemination: Dissemination,
        suspicions: SuspicionTable,
        health: LocalHealth,
        updates: UpdateApplier,
        now: float,
    ) -> None:
        self.local = local
        self.dissemination = dissemination
        self.suspicions = suspicions
        self.health = health
        self.updates = updates
        self._order: list[str] = []  # names still to be probed in this pass
        self._probe: Probe | None = None
        self._indirect_pings: dict[int, IndirectPing] = {}
        self._next_probe_at = now + timing.PROBE_INTERVAL_S * local.rng.random()
        self._next_lost_retry_at = now + timing.LOST_RETRY_INTERVAL_S * local.rng.random()

    def run(self, now: float, probe_interval_s: float, writer: PeerWriter) -> None:
        """Run whatever is due; `probe_interval_s` is not yet scaled by local health."""
        for i in self.suspicions.expired(now):
            self.updates.declare(now, i, MemberState.LOST, writer)
        self._expire_indirect_pings(now, writer)
        if self._probe is not None and now >= self._probe.deadline:
            self._on_timeout(now, self._probe, writer)
        if now >= self._next_probe_at:
            if self._probe is None:
                self._next_probe_at = now + probe_interval_s * self.health.multiplier()
                self._begin_probe(now, writer)
            else:
                self._next_probe_at = self._probe.deadline
        if now >= self._next_lost_retry_at:
            self._next_lost_retry_at = now + timing.LOST_RETRY_INTERVAL_S
            self._retry_lost(writer)

    def due_at(self) -> float:
        """Return when `run` next has something to do."""
        return min(
            self._next_probe_at,
            self._next_lost_retry_at,
            self._probe.deadline if self._probe is not None else math.inf,
            min(self.suspicions.deadlines(), default=math.inf),
            min((indirect.deadline for indirect in self._indirect_pings.values()), default=math.inf),
        )

    # probes

    def _begin_probe(self, now: float, writer: PeerWriter) -> None:
        i = self.next_target()
        if i is not None:
            nonce = self.local.next_nonce()
            self._probe = Probe(i, self.local.view.incarnation_ids[i], nonce, self._timeout_at(now))
            self.ping(i, nonce, writer)
        # A suspected member can refute as soon as one datagram reaches it.
        for suspected in self.suspicions.begun_by(self.local.name):
            self.ping(suspected, NO_DEADLINE, writer)

    def next_target(self) -> int | None:
        """Return the next member to probe: round-robin, in a new random order each pass (SWIM, 4.3)."""
        view = self.local.view
        while True:
            if not self._order:
                self._order = [view.names[i] for i in view.present() if view.names[i] != self.local.name]
                self.local.rng.shuffle(self._order)
                if not self._order:
                    return None
            i = view.index.get(self._order.pop())
            if i is not None and view.states[i] in (MemberState.ALIVE, MemberState.SUSPECTED):
                return i

    def _timeout_at(self, now: float) -> float:
        return now + timing.PROBE_TIMEOUT_S * self.health.multiplier()

    def _on_timeout(self, now: float, probe: Probe, writer: PeerWriter) -> None:
        """Repeat the ping, then ping through helpers, then suspect the member.

        One lost datagram therefore raises no suspicion.
        """
        view = self.local.view
        i = probe.position
        if i >= len(view.names) or view.incarnation_ids[i] != probe.incarnation_id:
            self._probe = None
        elif probe.attempts == 1:
            probe.attempts = 2
            probe.deadline = self._timeout_at(now)
            self.ping(i, probe.nonce, writer)
        elif probe.attempts == 2:
            probe.attempts = 3
            self._ask_helpers(now, probe, writer)
        else:
            self._probe = None
            # A helper that did not even send a nack indicates a fault of this router or its link.
            self.health.worsen(probe.helpers - len(probe.nacks) if probe.helpers else 1)
            if view.states[i] == MemberState.ALIVE:
                self.updates.declare(now, i, MemberState.SUSPECTED, writer)

    def _ask_helpers(self, now: float, probe: Probe, writer: PeerWriter) -> None:
        candidates = self.local.sample_members(HELPERS + 1, same_version=True)
        helpers = [i for i in candidates if i != probe.position][:HELPERS]
        address = self.local.view.addresses[probe.position]
        for i in helpers:
            self.dissemination.send(i, PingRequest(probe.nonce, *address, probe.incarnation_id), writer)
        probe.helpers = len(helpers)
        wait_s = timing.PROBE_INTERVAL_S - timing.PROBE_TIMEOUT_S
        probe.deadline = now + wait_s * self.health.multiplier()

    def _retry_lost(self, writer: PeerWriter) -> None:
        """Ping a random lost member, which may be back, possibly as another process."""
        lost = [i for i, state in enumerate(self.local.view.states) if state == MemberState.LOST]
        if lost:
            self.ping(self.local.rng.choice(lost), NO_DEADLINE, writer, any_process=True)

    def ping(self, i: int, nonce: int, writer: PeerWriter, any_process: bool = False) -> None:
        """Ping the member at position `i`.

        Digests are not compared with a member of another version, so its ping carries some random claims.
        """
        view = self.local.view
        claims = []
        if self.local.is_foreign(i):
            count = min(MAX_PLAIN_CLAIMS // 2, len(view.names))
            drawn = self.local.rng.sample(range(len(view.names)), count)
            claims = [view.claim(k, self.local.now) for k in drawn]
        incarnation_id = ANY_PROCESS if any_process else view.incarnation_ids[i]
        message = Ping(nonce, incarnation_id, view.incarnations[i], view.states[i])
        self.dissemination.send(i, message, writer, claims, SETTLED_NOTICES)

    # acks and nacks

    def on_ack(self, nonce: int, writer: PeerWriter) -> None:
        """End the probe with that nonce, or forward the ack to the member that requested the ping."""
        if self._probe is not None and nonce == self._probe.nonce:
            self._probe = None
            self.health.improve()
        elif nonce in self._indirect_pings:
            indirect = self._indirect_pings.pop(nonce)
            self.dissemination.send(indirect.requester, Ack(indirect.requester_nonce), writer)

    def on_nack(self, nonce: int, helper: str) -> None:
        """Record that a helper is alive although the probed member did not answer it."""
        if self._probe is not None and nonce == self._probe.nonce:
            self._probe.nacks.add(helper)

    def on_ping_request(self, now: float, requester: int, request: PingRequest, writer: PeerWriter) -> None:
        """Ping a member on behalf of the one at position `requester`."""
        nonce = self.local.next_nonce()
        self._indirect_pings[nonce] = IndirectPing(requester, request.nonce, now + timing.PROBE_TIMEOUT_S)
        ping = Ping(nonce, request.incarnation_id, 0, MemberState.ALIVE)
        self.dissemination.send_to((request.host, request.port), ping, writer)

    def _expire_indirect_pings(self, now: float, writer: PeerWriter) -> None:
        for nonce, indirect in list(self._indirect_pings.items()):
            if now >= indirect.deadline:
                del self._indirect_pings[nonce]
                if indirect.requester < len(self.local.view.names):
                    self.dissemination.send(indirect.requester, Nack(indirect.requester_nonce), writer)

    # pauses and forgotten members

    def on_wake(self, now: float, gap_s: float) -> None:
        """Discard timeouts that ran out while this process was paused or starved of CPU time."""
        self.health.worsen(WAKE_PENALTY)
        self.suspicions.postpone(gap_s)
        self._abandon_probes()
        self._next_probe_at = now

    def forget_gone(self, now: float) -> None:
        """Forget members that have been gone for long, and drop the probes, as positions change."""
        if self.suspicions.forget_gone(now, self.local.view):
            self._abandon_probes()

    def _abandon_probes(self) -> None:
        self._probe = None
        self._indirect_pings = {}
