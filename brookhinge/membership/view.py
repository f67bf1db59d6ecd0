"""One router's view of all members, and the precedence of claims. No I/O, no clock.

Merging is commutative and idempotent: claims received in any order and any number of times give the same
view. The property tests in tests/membership check this.
"""

import enum
import zlib

import xxhash

from brookhinge.membership.claims import GONE_STATES, PRESENT_STATES, Claim, MemberState

BUCKETS = 64  # partitions of the view that are compared separately
SHIFTS = 49  # bit offsets at which 16 bits of a 64-bit digest can be taken
UINT64_MASK = 0xFFFFFFFFFFFFFFFF
SHORT_DIGEST_MASK = 0xFFFF

ALIVE = MemberState.ALIVE
SUSPECTED = MemberState.SUSPECTED
LOST = MemberState.LOST


class MemberChange(enum.StrEnum):
    """What a claim changed; the values appear in logs and metrics."""

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
    """The known members as parallel lists, one entry per member; `index` maps a name to its position.

    `since` holds when each member entered its state, and `reporters` which member reported that. `replaced`
    holds the time last believed alive and the zone of each process that was replaced by another under the
    same name without having announced that it left.
    """

    def __init__(self, remember_s: float) -> None:
        """Create an empty view; members that were lost or left are kept for `remember_s` seconds."""
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
        """Return this router's claim about the member at position `i`."""
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
        """Return whether a claim about the member at position `i` supersedes the known state.

        The higher incarnation wins; only the process itself raises it. Within one incarnation the worse state
        wins. A process that has left never raises its incarnation again, so leaving is final.
        """
        known = (self.incarnations[i], self.incarnation_ids[i], self.states[i])
        return (incarnation, incarnation_id, state) > known

    def apply(self, now: float, claim: Claim, reporter: str) -> MemberChange | None:
        """Merge a claim received from `reporter`; return what it changed, or None."""
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
        return _state_change(old_state, claim.state, has_moved)

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
        """Remember a replaced process that did not leave, because it may still use its leases."""
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
        """Add a member to its bucket's digest or remove it; suspicion is temporary and counts as alive."""
        state = ALIVE if self.states[i] == SUSPECTED else self.states[i]
        part = f"{self.names[i]} {self.incarnation_ids[i]} {self.incarnations[i]} {int(state)}"
        self._bucket_digests[self.bucket(i)] ^= xxhash.xxh64_intdigest(part.encode())

    def bucket(self, i: int) -> int:
        """Return the bucket of the member at position `i`."""
        return zlib.crc32(self.names[i].encode()) % BUCKETS

    def digest(self) -> int:
        """Return one number for the whole view; equal digests mean equal views."""
        total = 0
        for bucket_digest in self._bucket_digests:
            total = (total * 31 + bucket_digest) & UINT64_MASK
        return total

    def short_digests(self, shift: int) -> bytes:
        """Return 16 bits of each bucket's digest, starting at bit `shift`.

        Digests whose 16 bits collide at one shift differ at another.
        """
        return b"".join(
            (bucket_digest >> shift & SHORT_DIGEST_MASK).to_bytes(2, "big")
            for bucket_digest in self._bucket_digests
        )

    def present(self) -> list[int]:
        """Return the positions of members that are alive or suspected."""
        return [i for i, state in enumerate(self.states) if state in PRESENT_STATES]

    def forget_gone(self, now: float) -> bool:
        """Drop members gone for longer than `remember_s`; return whether positions changed."""
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


def _state_change(old: MemberState, new: MemberState, has_moved: bool) -> MemberChange | None:
    """Return what a newer claim about the same process changed, or None."""
    if old == new:
        if has_moved:
            return MemberChange.MOVED
        return MemberChange.RENEWED if new == ALIVE else None
    if new == ALIVE:
        return MemberChange.BACK if old == LOST else MemberChange.CLEARED
    return _STATE_CHANGES[new]
