"""Joining: contacts a first member through the seeds, then fetches the view from one after another."""

import math

from brookhinge.membership import timing
from brookhinge.membership.anti_entropy import UNSETTLED_DIGEST, AntiEntropy
from brookhinge.membership.byte_budget import COMPRESSED_CLAIM_BYTES, EMPTY_DATAGRAM_BYTES
from brookhinge.membership.claims import Claim, MemberState
from brookhinge.membership.dissemination import Dissemination
from brookhinge.membership.failure_detector import ANY_PROCESS, NO_DEADLINE
from brookhinge.membership.join_progress import JoinProgress
from brookhinge.membership.local_member import LocalMember
from brookhinge.membership.messages import Ping, Received
from brookhinge.membership.writer import PeerWriter

MAX_SEEDS_AT_ONCE = 3
INTRODUCTIONS = 3  # members named in the first answer to a joining member
SYNC_REQUEST_BYTES = 136  # of bucket digests
CATCH_UP_BYTES_PER_S = 850.0
START_BYTES_PER_S = 2500.0  # while the others are joining too, as at the start of the whole fleet
SETTLED_AGREEMENTS = 1
JOINING_AGREEMENTS = 3  # for answers from members that are joining too, which know less


class Joining:
    """Joins one member to the fleet when it starts."""

    def __init__(
        self,
        local: LocalMember,
        dissemination: Dissemination,
        anti_entropy: AntiEntropy,
        progress: JoinProgress,
        seeds: list[tuple[str, int]],
        now: float,
    ) -> None:
        self.local = local
        self.dissemination = dissemination
        self.anti_entropy = anti_entropy
        self.progress = progress
        self.seeds = seeds
        self._next_seed_at = now

    def is_alone(self) -> bool:
        """Return whether this member has seeds and knows no other member yet."""
        return bool(self.seeds) and len(self.local.view.present()) <= 1

    def due_at(self) -> float:
        """Return when `run` next has something to do."""
        if self.is_alone():
            return self._next_seed_at
        if self.progress.is_joining():
            return self.anti_entropy.next_exchange_at
        return math.inf

    def run(self, now: float, writer: PeerWriter) -> None:
        """Ping seeds while no member is known; while joining, request claims from a random member."""
        if now >= self._next_seed_at and self.is_alone():
            self._next_seed_at = now + timing.SEED_RETRY_INTERVAL_S * (0.5 + self.local.rng.random())
            self._ping_seeds(writer)
        if self.progress.is_joining() and now >= self.anti_entropy.next_exchange_at:
            self.anti_entropy.next_exchange_at = now + timing.CATCH_UP_INTERVAL_S
            self._catch_up(writer)

    def _ping_seeds(self, writer: PeerWriter) -> None:
        ping = Ping(NO_DEADLINE, ANY_PROCESS, 0, MemberState.ALIVE)
        for address in self.local.rng.sample(self.seeds, min(MAX_SEEDS_AT_ONCE, len(self.seeds))):
            self.dissemination.send_to(address, ping, writer)

    def _catch_up(self, writer: PeerWriter) -> None:
        """Send a sync request to a random member, preferably not a seed.

        All members that start at the same time already contact the seeds.
        """
        known = self.local.sample_members(len(self.local.view.names), same_version=True)
        others = [i for i in known if self.local.view.addresses[i] not in self.seeds]
        if known:
            self.anti_entropy.request_sync(self.local.rng.choice(others or known), writer)

    def on_sync_response(self, now: float, received: Received, learned: bool) -> None:
        """Schedule the next sync request within the allowed byte rate, and record the response."""
        is_sender_joining = received.digest == UNSETTLED_DIGEST
        size = EMPTY_DATAGRAM_BYTES + SYNC_REQUEST_BYTES + COMPRESSED_CLAIM_BYTES * len(received.updates)
        rate = START_BYTES_PER_S if is_sender_joining else CATCH_UP_BYTES_PER_S
        self.anti_entropy.next_exchange_at = now + size / rate
        self.progress.note_answer(
            now, learned, JOINING_AGREEMENTS if is_sender_joining else SETTLED_AGREEMENTS
        )

    def introductions(self, now: float) -> list[Claim]:
        """Return claims about random members, so that a joining member does not ask only the seeds."""
        members = self.local.sample_members(INTRODUCTIONS, same_version=True)
        return [self.local.view.claim(i, now) for i in members]
