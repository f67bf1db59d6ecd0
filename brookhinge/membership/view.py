"""What one router knows of each of its fleet, and which of two claims holds. No I/O, no clock.

Claims merge in any order and any number to the same view: the properties in tests/membership hold it to that.
"""

import enum
import zlib

import xxhash

from brookhinge.membership.claims import GONE_STATES, PRESENT_STATES, Claim, MemberState

BUCKETS = 64  # parts in which views are compared
SHIFTS = 49  # positions in a digest of 64 bits from which 16 bits can be taken
UINT64_MASK = 0xFFFFFFFFFFFFFFFF
SHORT_DIGEST_MASK = 0xFFFF

ALIVE = MemberState.ALIVE
SUSPECTED = MemberState.SUSPECTED
LOST = MemberState.LOST


class MemberChange(enum.StrEnum):
    """What a claim changed; the values stand in logs and metrics."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    CLEARED = "cleared"
    LOST = "lost"
    BACK = "back"
    LEFT = "left"
    RESTARTED = "restarted"
    MOVED = "moved"
    RENEWED = "renewed"
    KNOWN_AS_LOST = "known as lost"
    KNOWN_AS_LEFT = "known as left"
    NAME_TAKEN = "taken"


_STATE_CHANGES = {
    MemberState.SUSPECTED: MemberChange.SUSPECTED,
    MemberState.LOST: MemberChange.LOST,
    MemberState.LEFT: MemberChange.LEFT,
}
_FIRST_KNOWN_CHANGES = {
    MemberState.LOST: MemberChange.KNOWN_AS_LOST,
    MemberState.LEFT: MemberChange.KNOWN_AS_LEFT,
}


class MembershipView:
    """Parallel lists, one entry a member; `index` has the position of a name.

    `since` is when the member came to its state, `reporters` by whose claim. `replaced` has, for each
    process that was replaced under its name without a claim of leaving, when it was last believed alive,
    and its zone.
    """

    def __init__(self, remember_s: float) -> None:
        """Start empty; `remember_s`: how long the lost and the gone are kept."""
        self.remember_s = remember_s
        self.index: dict[str, int] = {}
        self.names: list[str] = []
        self.incarnation_ids: list[int] = []
        self.started_at_ms: list[int] = []
        self.incarnations: list[int] = []
        self.states: list[MemberState] = []
        self.addresses: list[tuple[str, int]] = []
        self.zones: list[str] = []
        self.versions: list[int] = []
        self.since: list[float] = []
        self.reporters: list[str] = []
        self.replaced: list[tuple[float, str]] = []
        self._bucket_digests = [0] * BUCKETS

    def claim(self, i: int, now: float) -> Claim:
        """What this router claims of the member at a position."""
        state = self.states[i]
        host, port = self.addresses[i]
        return Claim(
            self.names[i],
            self.incarnation_ids[i],
            self.started_at_ms[i],
            self.incarnations[i],
            state,
            host,
            port,
            self.zones[i],
            self.versions[i],
            max(0.0, now - self.since[i]) if state in GONE_STATES else 0,
        )

    def supersedes(self, i: int, incarnation_id: int, incarnation: int, state: MemberState) -> bool:
        """Whether a claim about the member at a position goes before what is known.

        The higher incarnation does, which only the process itself raises, and within one the worse state.
        Who has left raises it no more: leaving is for good.
        """
        known = (self.incarnations[i], self.incarnation_ids[i], self.states[i])
        return (incarnation, incarnation_id, state) > known

    def apply(self, now: float, claim: Claim, reporter: str) -> MemberChange | None:
        """Merge a claim received from `reporter`; what it changed, or None."""
        if claim.state in GONE_STATES and claim.age_s > self.remember_s:
            return None
        i = self.index.get(claim.name)
        if i is None:
            self._add(now, claim, reporter)
            return _FIRST_KNOWN_CHANGES.get(claim.state, MemberChange.JOINED)
        if not self.supersedes(i, claim.incarnation_id, claim.incarnation, claim.state):
            return None
        old_state = self.states[i]
        is_other_process = claim.incarnation_id != self.incarnation_ids[i]
        has_moved = claim.address != self.addresses[i]
        if is_other_process:
            self._note_replaced(now, i)
        self._replace(now, i, claim, reporter)
        if is_other_process:
            return MemberChange.RESTARTED if claim.state in PRESENT_STATES else _STATE_CHANGES[claim.state]
        return _change_of_state(old_state, claim.state, has_moved)

    def _add(self, now: float, claim: Claim, reporter: str) -> None:
        i = self.index[claim.name] = len(self.names)
        self.names.append(claim.name)
        self.incarnation_ids.append(claim.incarnation_id)
        self.started_at_ms.append(claim.started_at_ms)
        self.incarnations.append(claim.incarnation)
        self.states.append(claim.state)
        self.addresses.append(claim.address)
        self.zones.append(claim.zone)
        self.versions.append(claim.version)
        self.since.append(now - claim.age_s)
        self.reporters.append(reporter)
        self._toggle_digest(i)

    def _note_replaced(self, now: float, i: int) -> None:
        """Remember a process that did not leave: what it was lent may still be in use."""
        if self.states[i] in PRESENT_STATES:
            self.replaced.append((now, self.zones[i]))
        elif self.states[i] == LOST:
            self.replaced.append((self.since[i], self.zones[i]))

    def _replace(self, now: float, i: int, claim: Claim, reporter: str) -> None:
        self._toggle_digest(i)
        if claim.incarnation_id != self.incarnation_ids[i] or claim.state != self.states[i]:
            self.since[i] = now - claim.age_s
            self.reporters[i] = reporter
        self.incarnation_ids[i] = claim.incarnation_id
        self.started_at_ms[i] = claim.started_at_ms
        self.incarnations[i] = claim.incarnation
        self.states[i] = claim.state
        self.addresses[i] = claim.address
        self.zones[i] = claim.zone
        self.versions[i] = claim.version
        self._toggle_digest(i)

    def _toggle_digest(self, i: int) -> None:
        """Take a member into its bucket's digest, or out again. Suspicion passes and stays out of it."""
        state = ALIVE if self.states[i] == SUSPECTED else self.states[i]
        part = f"{self.names[i]} {self.incarnation_ids[i]} {self.incarnations[i]} {int(state)}"
        self._bucket_digests[self.bucket(i)] ^= xxhash.xxh64_intdigest(part.encode())

    def bucket(self, i: int) -> int:
        """The bucket of the member at a position."""
        return zlib.crc32(self.names[i].encode()) % BUCKETS

    def digest(self) -> int:
        """One number for the whole view: two that are equal are the same view."""
        total = 0
        for bucket_digest in self._bucket_digests:
            total = (total * 31 + bucket_digest) & UINT64_MASK
        return total

    def short_digests(self, shift: int) -> bytes:
        """16 bits of each bucket's digest, from bit `shift` on.

        Two that are alike by chance differ at another shift.
        """
        return b"".join(
            (bucket_digest >> shift & SHORT_DIGEST_MASK).to_bytes(2, "big")
            for bucket_digest in self._bucket_digests
        )

    def present(self) -> list[int]:
        """Positions of those not known to be gone."""
        return [i for i, state in enumerate(self.states) if state in PRESENT_STATES]

    def forget_gone(self, now: float) -> bool:
        """Drop who has been gone for longer than is remembered; return whether positions changed."""
        self.replaced = [(at, zone) for at, zone in self.replaced if now - at <= self.remember_s]
        dropped = {
            i
            for i, state in enumerate(self.states)
            if state in GONE_STATES and now - self.since[i] > self.remember_s
        }
        if not dropped:
            return False
        for i in dropped:
            self._toggle_digest(i)
        for column in (
            self.names,
            self.incarnation_ids,
            self.started_at_ms,
            self.incarnations,
            self.states,
            self.addresses,
            self.zones,
            self.versions,
            self.since,
            self.reporters,
        ):
            column[:] = [value for i, value in enumerate(column) if i not in dropped]
        self.index = {name: i for i, name in enumerate(self.names)}
        return True


def _change_of_state(old: MemberState, new: MemberState, has_moved: bool) -> MemberChange | None:
    """What a newer claim about the same process changed."""
    if old == new:
        if has_moved:
            return MemberChange.MOVED
        return MemberChange.RENEWED if new == ALIVE else None
    if new == ALIVE:
        return MemberChange.BACK if old == LOST else MemberChange.CLEARED
    return _STATE_CHANGES[new]
