"""This process as a member of the fleet: its identity, its view, and operations on both."""

import random
from typing import NamedTuple

from brookhinge.membership.claims import Claim, MemberState
from brookhinge.membership.timing import interval_scale
from brookhinge.membership.view import MembershipView

INCARNATION_ID_BITS = 62


class Identity(NamedTuple):
    """The identity of a process, fixed when it starts."""

    name: str
    address: tuple[str, int]
    zone: str
    version: int  # protocol version
    started_at_ms: int  # wall clock, Unix time

    def first_claim(self, incarnation_id: int) -> Claim:
        """Return the first claim of this process about itself."""
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
    """The identity, view and random generator of one process, shared by the components of its peer.

    Attributes:
        now: Start time of its last round, in seconds.
        stopped: Whether it has left or an older process holds its name.
        rng: The only source of randomness; the order of draws determines a seeded simulation run.
    """

    def __init__(self, identity: Identity, view: MembershipView, rng: random.Random, now: float) -> None:
        """Draw an incarnation id and add this process to the view as its first member."""
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
        """Return the position of this process in the view."""
        return self.view.index[self.name]

    def incarnation(self) -> int:
        """Return the incarnation that this process claims."""
        return self.view.incarnations[self.position()]

    def claim(self, now: float) -> Claim:
        """Return the claim of this process about itself."""
        return self.view.claim(self.position(), now)

    def next_nonce(self) -> int:
        """Return a new nonce for a ping; 0 is reserved for pings without a deadline."""
        self._last_nonce += 1
        return self._last_nonce

    def is_foreign(self, i: int) -> bool:
        """Return whether the member at position `i` speaks another protocol version."""
        return self.view.versions[i] != self.version

    def scale(self) -> float:
        """Return the factor by which intervals are scaled at the current fleet size."""
        return interval_scale(len(self.view.names))

    def sample_members(self, count: int, same_version: bool = False) -> list[int]:
        """Draw the positions of up to `count` random present members other than this process.

        With `same_version`, only members of the same protocol version are drawn.
        """
        view = self.view
        candidates = [
            i
            for i in view.present()
            if view.incarnation_ids[i] != self.incarnation_id
            and (not same_version or view.versions[i] == self.version)
        ]
        return self.rng.sample(candidates, min(count, len(candidates)))

    def claims_of(self, names: list[str], now: float) -> list[Claim]:
        """Return claims about the named members that are still known."""
        view = self.view
        return [view.claim(view.index[name], now) for name in names if name in view.index]

    def assert_alive(self, now: float, incarnation: int) -> bool:
        """Raise the incarnation above one that others claim for this name.

        Returns:
            False if the own incarnation is already higher.
        """
        if incarnation < self.incarnation():
            return False
        own = self.claim(now)._replace(incarnation=incarnation + 1, state=MemberState.ALIVE)
        self.view.apply(now, own, self.name)
        return True
