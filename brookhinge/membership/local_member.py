"""This process as a member of the fleet: its identity, its view, and what the protocol asks of them."""

import random
from typing import NamedTuple

from brookhinge.membership.claims import Claim, MemberState
from brookhinge.membership.timing import interval_scale
from brookhinge.membership.view import MembershipView

INCARNATION_ID_BITS = 62


class Identity(NamedTuple):
    """What a process states of itself when it starts."""

    name: str
    address: tuple[str, int]
    zone: str
    version: int  # of the protocol
    started_at_ms: int  # by the wall clock

    def first_claim(self, incarnation_id: int) -> Claim:
        """The claim to begin with."""
        host, port = self.address
        return Claim(
            name=self.name,
            incarnation_id=incarnation_id,
            started_at_ms=self.started_at_ms,
            incarnation=self.started_at_ms,
            state=MemberState.ALIVE,
            host=host,
            port=port,
            zone=self.zone,
            version=self.version,
            age_s=0.0,
        )


class LocalMember:
    """Identity, view and chance of one process, shared by the parts of its peer.

    Attributes:
        now: when its last round began, seconds.
        stopped: it has left, or an older process holds its name.
        rng: the only source of chance; the order of the draws is part of a seeded history.
    """

    def __init__(self, identity: Identity, view: MembershipView, rng: random.Random, now: float) -> None:
        """Draw an incarnation id and become the first member of the view."""
        self.name = identity.name
        self.incarnation_id = rng.getrandbits(INCARNATION_ID_BITS)
        self.version = identity.version
        self.view = view
        self.rng = rng
        self.now = now
        self.stopped = False
        self._last_nonce = 0
        view.apply(now, identity.first_claim(self.incarnation_id), self.name)

    def position(self) -> int:
        """Its position in the view."""
        return self.view.index[self.name]

    def incarnation(self) -> int:
        """The incarnation that it claims for itself."""
        return self.view.incarnations[self.position()]

    def claim(self, now: float) -> Claim:
        """What it states of itself."""
        return self.view.claim(self.position(), now)

    def next_nonce(self) -> int:
        """A number for a ping; 0 is never drawn and stands for a ping without a deadline."""
        self._last_nonce += 1
        return self._last_nonce

    def is_foreign(self, i: int) -> bool:
        """Whether the member at a position speaks another version of the protocol."""
        return self.view.versions[i] != self.version

    def scale(self) -> float:
        """By how much intervals are stretched at the fleet's size."""
        return interval_scale(len(self.view.names))

    def sample_members(self, count: int, same_version: bool = False) -> list[int]:
        """Draw positions of so many present members but itself, of the same protocol version if asked."""
        view = self.view
        candidates = [
            i
            for i in view.present()
            if view.incarnation_ids[i] != self.incarnation_id
            and (not same_version or view.versions[i] == self.version)
        ]
        return self.rng.sample(candidates, min(count, len(candidates)))

    def claims_of(self, names: list[str], now: float) -> list[Claim]:
        """Claims about those of the names that are still known."""
        view = self.view
        return [view.claim(view.index[name], now) for name in names if name in view.index]

    def assert_alive(self, now: float, incarnation: int) -> bool:
        """Outbid an incarnation that others claim under this name; False if it is outbid already."""
        if incarnation < self.incarnation():
            return False
        own = self.claim(now)._replace(incarnation=incarnation + 1, state=MemberState.ALIVE)
        self.view.apply(now, own, self.name)
        return True
