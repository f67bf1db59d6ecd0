"""Schedules the retries of rejected clients for times at which the servers will have capacity.

No I/O, no clock, no random numbers. The time ahead is divided into slots. A slot takes as many retries as
the servers have capacity for at that time, which the caller computes from slow starts and limits, less the
expected work of new requests, which have priority. A reservation takes the earliest slot with free
capacity; request classes of lower utility may fill a slot only in part, so that a later request of higher
utility still finds capacity. A client that retries on time has priority over one that retries early, and
the latter is given the same time again. Reservations expire some time after they were due.
"""

from collections import deque
from collections.abc import Callable, Hashable
from typing import NamedTuple

SLOT_S = 0.1
MIN_RETRY_SHARE = 0.1  # of the capacity, kept for retries however many new requests there are
MAX_UTILIZATION = 0.75  # of the capacity; at a higher utilization responses queue for too long
EARLY_TOLERANCE_S = 0.05  # a retry is on time from this long before its reservation
LATE_TOLERANCE_S = 1.0  # until this long after it
# a reservation this much further ahead than the longest delay was made before the clock stepped back
CLOCK_STEP_S = 1.0
DEFAULT_MAX_RESERVATIONS = 8192
_EXPIRY_INTERVAL_S = 0.05
_NEW_WORK_HALF_LIFE_S = 0.7
_NEW_WORK_RATE = 0.99  # per second: ln 2 / half-life, turns the decaying sum of work into a rate
_MIN_DELAY_S = 0.001  # 0 would mean that no retry time is given
_MAX_SLOT_POSITION = 0.99  # keeps a reservation within its slot
_GOLDEN_SECTION = 0.381966  # steps of this size fill the unit interval evenly without coinciding


class CheckIn(NamedTuple):
    """Outcome of checking a request against the client's reservation.

    Attributes:
        wait_s: Seconds until the reserved time; 0 if the request may proceed.
        is_on_time: Whether the request used up a reservation at the reserved time.
    """

    wait_s: float
    is_on_time: bool


class RetrySchedule:
    """Retry reservations of rejected clients.

    Attributes:
        max_delay_s: Longest delay that may be given; 0 if clients accept no retry times.
        max_reservations: Reservations remembered, at most.
        reserved_work: Work reserved in each slot, in seconds of transfer.
        reservations: Reserved times by client and request name.
        expiry_queue: Reserved times and their keys, in the order in which they were made.
        new_work: Decaying sum of the work of new requests.
        counts: Reservations since the start, by outcome.
    """

    def __init__(self, max_delay_s: float, max_reservations: int = DEFAULT_MAX_RESERVATIONS) -> None:
        """Create an empty schedule.

        Args:
            max_delay_s: Longest delay that may be given; 0: clients accept no retry times, none is reserved.
            max_reservations: Reservations remembered, at most.
        """
        self.max_delay_s = max_delay_s
        self.max_reservations = max_reservations
        self.reserved_work: dict[int, float] = {}
        self.reservations: dict[tuple[Hashable, Hashable], float] = {}
        self.expiry_queue: deque[tuple[float, tuple[Hashable, Hashable]]] = deque()
        self.new_work = 0.0
        self.counts = {"given": 0, "kept": 0, "early": 0, "late": 0, "full": 0, "served": 0}
        self._expired_at: float | None = None
        self._spread_phase = 0.0

    def record_new_request(self, now: float, work: float) -> None:
        """Add the work of a request that was never rejected to an average over about one second."""
        if self._expired_at is None or not 0.0 <= now - self._expired_at < _EXPIRY_INTERVAL_S:
            self.expire(now)
        self.new_work += work

    def expire(self, now: float) -> None:
        """Drop reservations and slots that have passed, and decay the sum of new work."""
        if self._expired_at is None or now < self._expired_at:
            self._expired_at = now
        self.new_work *= 0.5 ** ((now - self._expired_at) / _NEW_WORK_HALF_LIFE_S)
        self._expired_at = now
        while self.expiry_queue and self._is_expired(self.expiry_queue[0][0], now):
            at, key = self.expiry_queue.popleft()
            if self.reservations.get(key) == at:
                del self.reservations[key]
        for slot in [slot for slot in self.reserved_work if (slot + 1) * SLOT_S < now]:
            del self.reserved_work[slot]

    def _is_expired(self, at: float, now: float) -> bool:
        return at + LATE_TOLERANCE_S < now or at - self.max_delay_s > now + CLOCK_STEP_S

    def new_work_rate(self) -> float:
        """Return the work of new requests per second."""
        return self.new_work * _NEW_WORK_RATE

    def check_in(self, now: float, client: Hashable, name: Hashable) -> CheckIn:
        """Check a request against its reservation, which is used up unless the request came early."""
        at = self.reservations.get((client, name))
        if at is None or not self.max_delay_s:
            return CheckIn(0.0, False)
        if now < at - EARLY_TOLERANCE_S and at - now <= self.max_delay_s:
            self.counts["early"] += 1
            return CheckIn(at - now, False)
        del self.reservations[client, name]
        is_on_time = now <= at + LATE_TOLERANCE_S
        self.counts["kept" if is_on_time else "late"] += 1
        return CheckIn(0.0, is_on_time)

    def reserve(
        self,
        now: float,
        client: Hashable,
        name: Hashable,
        work: float,
        share: float,
        capacity_at: Callable[[float], float],
    ) -> float:
        """Reserve a time for a client's retry.

        Args:
            now: Current time.
            client: Identity of the client.
            name: Name of the request.
            work: Seconds of transfer that the request takes.
            share: Share of a slot that the request class may fill.
            capacity_at: Returns the work per second that the servers can take at a given time.

        Returns:
            Seconds until the retry; 0 if no retry time may be given.
        """
        if not self.max_delay_s:
            return 0.0
        self.expire(now)
        reserved = self.reservations.get((client, name))
        if reserved is not None and now < reserved <= now + self.max_delay_s:
            return reserved - now
        slot = self._find_slot(now, work, share, capacity_at)
        if slot is None:
            return self._unreserved_delay_s()
        work_before = self.reserved_work.get(slot, 0.0)
        self.reserved_work[slot] = work_before + work
        # spread within the slot, so that clients that retry exactly on time do not arrive all at once
        position = work_before / max(work_before + work, capacity_at(slot * SLOT_S) * SLOT_S)
        at = (slot + min(_MAX_SLOT_POSITION, position)) * SLOT_S
        if len(self.reservations) < self.max_reservations:
            self.reservations[client, name] = at
            self.expiry_queue.append((at, (client, name)))
        self.counts["given"] += 1
        return max(_MIN_DELAY_S, at - now)

    def _find_slot(
        self, now: float, work: float, share: float, capacity_at: Callable[[float], float]
    ) -> int | None:
        """Return the earliest slot with capacity for `work`, or None."""
        first = int((now + SLOT_S) / SLOT_S) + 1
        last = int((now + self.max_delay_s) / SLOT_S) - 1
        free = 0.0
        for slot in range(first, last + 1):
            capacity = capacity_at(slot * SLOT_S)
            retry_capacity = max(
                MIN_RETRY_SHARE * capacity, MAX_UTILIZATION * capacity - self.new_work_rate()
            )
            usable = retry_capacity * SLOT_S * share
            # capacity too small for one request is carried over to the next slot
            free = min(max(work, usable), free + usable - self.reserved_work.get(slot, 0.0))
            if free >= work:
                return slot
        return None

    def _unreserved_delay_s(self) -> float:
        """Return a delay in the upper half of the allowed range, spread over clients; reserve nothing."""
        self.counts["full"] += 1
        self._spread_phase = (self._spread_phase + _GOLDEN_SECTION) % 1.0
        return max(_MIN_DELAY_S, self.max_delay_s * (0.5 + 0.5 * self._spread_phase))
