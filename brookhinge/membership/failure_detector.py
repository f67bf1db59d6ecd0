"""Failure detector: SWIM's probes with Lifeguard's local health."""

import math
from typing import NamedTuple

from brookhinge.membership import timing
from brookhinge.membership.claims import MemberState
from brookhinge.membership.dissemination import MAX_PLAIN_CLAIMS, Dissemination
from brookhinge.membership.local_health import WAKING_PENALTY, LocalHealth
from brookhinge.membership.local_member import LocalMember
from brookhinge.membership.messages import Ack, Nack, Ping, PingRequest
from brookhinge.membership.suspicion import SuspicionTable
from brookhinge.membership.updates import UpdateApplier
from brookhinge.membership.writer import PeerWriter

HELPERS = 3  # members that are asked to ping a silent one
SETTLED_NOTICES = 2  # see Dissemination.piggyback
NO_DEADLINE = 0  # nonce of a ping whose answer nobody waits for
ANY_PROCESS = 0  # incarnation id of a ping that any process at the address may answer


class Probe:
    """A probe under way: asked directly, asked again, then by helpers."""

    __slots__ = ("attempts", "deadline", "helpers", "incarnation_id", "nacks", "nonce", "position")

    def __init__(self, position: int, incarnation_id: int, nonce: int, deadline: float) -> None:
        """Begin with the first direct ping."""
        self.position = position
        self.incarnation_id = incarnation_id
        self.nonce = nonce
        self.deadline = deadline
        self.attempts = 1
        self.helpers = 0
        self.nacks: set[str] = set()


class HelpedProbe(NamedTuple):
    """A ping on behalf of another member: its position and nonce, and when it is sent a nack."""

    asker: int
    asker_nonce: int
    deadline: float


class FailureDetector:
    """Probes the members in turn, one at a time."""

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
        self._order: list[str] = []  # names still to be probed in this turn
        self._probe: Probe | None = None
        self._helped: dict[int, HelpedProbe] = {}
        self._next_probe_at = now + timing.PROBE_INTERVAL_S * local.rng.random()
        self._next_lost_retry_at = now + timing.LOST_RETRY_INTERVAL_S * local.rng.random()

    def run(self, now: float, probe_interval_s: float, writer: PeerWriter) -> None:
        """Do what is due; `probe_interval_s` without the stretch of local health."""
        for i in self.suspicions.expired(now):
            self.updates.declare(now, i, MemberState.LOST, writer)
        self._expire_helped(now, writer)
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
        """When `run` has something to do."""
        return min(
            self._next_probe_at,
            self._next_lost_retry_at,
            self._probe.deadline if self._probe is not None else math.inf,
            min(self.suspicions.deadlines(), default=math.inf),
            min((helped.deadline for helped in self._helped.values()), default=math.inf),
        )

    # probes

    def _begin_probe(self, now: float, writer: PeerWriter) -> None:
        i = self.next_target()
        if i is not None:
            nonce = self.local.next_nonce()
            self._probe = Probe(i, self.local.view.incarnation_ids[i], nonce, self._timeout_at(now))
            self.ping(i, nonce, writer)
        # One datagram that gets through lets a suspected member refute.
        for suspected in self.suspicions.begun_by(self.local.name):
            self.ping(suspected, NO_DEADLINE, writer)

    def next_target(self) -> int | None:
        """The next member to probe: each in turn, in an order drawn anew each time (SWIM, 4.3)."""
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
        """Ask once more, then through helpers, then suspect: one lost datagram is no silence."""
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
            # A helper that sent not even a nack points to a fault of this router or its link.
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
        """Ping one of the lost: it may be back, also as another process."""
        lost = [i for i, state in enumerate(self.local.view.states) if state == MemberState.LOST]
        if lost:
            self.ping(self.local.rng.choice(lost), NO_DEADLINE, writer, any_process=True)

    def ping(self, i: int, nonce: int, writer: PeerWriter, any_process: bool = False) -> None:
        """Ping the member at a position.

        With one of another version no digests are compared: some claims, drawn at random, ride along instead.
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

    # answers

    def on_ack(self, nonce: int, writer: PeerWriter) -> None:
        """End the probe with that nonce, or pass the answer on to who asked for help."""
        if self._probe is not None and nonce == self._probe.nonce:
            self._probe = None
            self.health.improve()
        elif nonce in self._helped:
            helped = self._helped.pop(nonce)
            self.dissemination.send(helped.asker, Ack(helped.asker_nonce), writer)

    def on_nack(self, nonce: int, helper: str) -> None:
        """Note that a helper lives, though the probed member did not answer it."""
        if self._probe is not None and nonce == self._probe.nonce:
            self._probe.nacks.add(helper)

    def on_ping_request(self, now: float, asker: int, request: PingRequest, writer: PeerWriter) -> None:
        """Ping a member on behalf of the one at position `asker`."""
        nonce = self.local.next_nonce()
        self._helped[nonce] = HelpedProbe(asker, request.nonce, now + timing.PROBE_TIMEOUT_S)
        ping = Ping(nonce, request.incarnation_id, 0, MemberState.ALIVE)
        self.dissemination.send_to((request.host, request.port), ping, writer)

    def _expire_helped(self, now: float, writer: PeerWriter) -> None:
        for nonce, helped in list(self._helped.items()):
            if now >= helped.deadline:
                del self._helped[nonce]
                if helped.asker < len(self.local.view.names):
                    self.dissemination.send(helped.asker, Nack(helped.asker_nonce), writer)

    # gaps

    def on_wake(self, now: float, gap_s: float) -> None:
        """Hold no timeout against anybody that ran out while this process was frozen or starved."""
        self.health.worsen(WAKING_PENALTY)
        self.suspicions.postpone(gap_s)
        self._abandon_probes()
        self._next_probe_at = now

    def forget_gone(self, now: float) -> None:
        """Forget who has been gone for long; positions change, so probes under way are abandoned."""
        if self.suspicions.forget_gone(now, self.local.view):
            self._abandon_probes()

    def _abandon_probes(self) -> None:
        self._probe = None
        self._helped = {}
