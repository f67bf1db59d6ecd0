"""Times at which rejected clients come back: who can't be served now is told when there will be capacity.

No I/O, no clock, no chance. The time ahead is cut into slots. Each takes as many retries as the servers have
capacity for in it, by what the caller says of that (slow starts and limits are the caller's), less what new
requests are expected to need, which were never rejected and go first. A reservation is the earliest slot with
capacity left; request classes of less utility fill a slot only to a part, so that more utility finds capacity
later. Who comes when told goes before who comes early; who comes early is told the same time again.
Reservations are forgotten a while after they were due.
"""

from collections import deque
from collections.abc import Callable, Hashable
from typing import NamedTuple

SLOT_S = 0.1
MIN_RETRY_SHARE = 0.1  # of the capacity that is kept for retries, however many new requests there are
MAX_UTILIZATION = 0.75  # of the capacity, beyond which responses wait for each other too long
EARLY_S = 0.05  # a reservation holds from so much before its time
LATE_S = 1.0  # until so much after it
CLOCK_STEP_S = (
    1.0  # a reservation further ahead than any that may be made is from before the clock stepped back
)
DEFAULT_MAX_RESERVATIONS = 8192
_EXPIRY_INTERVAL_S = 0.05
_NEW_WORK_HALF_LIFE_S = 0.7
_NEW_WORK_RATE = 0.99  # ln 2 / 0.7: the decay of the sum a second, which its inflow balances
_MIN_DELAY_S = 0.001  # 0 would say that nothing is told
_LAST_MOMENT_OF_SLOT = 0.99
_GOLDEN_SECTION = 0.381966  # steps of it fill an interval evenly: no two of many fall together


class CheckIn(NamedTuple):
    """A client that comes back: how long until its time, 0 if it may go on; and whether it came when told."""

    wait_s: float
    came_when_told: bool


class RetrySchedule:
    """Reservations of rejected clients.

    Attributes:
        reservations: The time of each, by client and name of what it asked for.
        counts: Of reservations since the start, by what became of them.
    """

    def __init__(self, max_delay_s: float, max_reservations: int = DEFAULT_MAX_RESERVATIONS) -> None:
        """Make an empty schedule.

        Args:
            max_delay_s: The furthest time that may be told; 0: clients take no hints, nothing is reserved.
            max_reservations: Reservations remembered, at most.
        """
        self.max_delay_s = max_delay_s
        self.max_reservations = max_reservations
        self.reserved_work: dict[int, float] = {}  # by slot
        self.reservations: dict[tuple[Hashable, Hashable], float] = {}
        self.due: deque[tuple[float, tuple[Hashable, Hashable]]] = deque()  # in the order of making
        self.new_work = 0.0
        self.counts = {"given": 0, "kept": 0, "early": 0, "late": 0, "full": 0, "served": 0}
        self._settled_at: float | None = None
        self._spread = 0.0

    def record_new_request(self, now: float, work: float) -> None:
        """Count the work of a request that was never rejected; it is averaged over about a second."""
        if self._settled_at is None or not 0.0 <= now - self._settled_at < _EXPIRY_INTERVAL_S:
            self.expire(now)
        self.new_work += work

    def expire(self, now: float) -> None:
        """Forget reservations and slots that have passed."""
        if self._settled_at is None or now < self._settled_at:
            self._settled_at = now
        self.new_work *= 0.5 ** ((now - self._settled_at) / _NEW_WORK_HALF_LIFE_S)
        self._settled_at = now
        while self.due and self._is_over(self.due[0][0], now):
            at, key = self.due.popleft()
            if self.reservations.get(key) == at:
                del self.reservations[key]
        for slot in [slot for slot in self.reserved_work if (slot + 1) * SLOT_S < now]:
            del self.reserved_work[slot]

    def _is_over(self, at: float, now: float) -> bool:
        return at + LATE_S < now or at - self.max_delay_s > now + CLOCK_STEP_S

    def new_work_rate(self) -> float:
        """Work of new requests a second."""
        return self.new_work * _NEW_WORK_RATE

    def check_in(self, now: float, client: Hashable, name: Hashable) -> CheckIn:
        """Take a request; a reservation for it is used up unless it came early."""
        at = self.reservations.get((client, name))
        if at is None or not self.max_delay_s:
            return CheckIn(0.0, False)
        if now < at - EARLY_S and at - now <= self.max_delay_s:
            self.counts["early"] += 1
            return CheckIn(at - now, False)
        del self.reservations[client, name]
        is_in_time = now <= at + LATE_S
        self.counts["kept" if is_in_time else "late"] += 1
        return CheckIn(0.0, is_in_time)

    def reserve(
        self,
        now: float,
        client: Hashable,
        name: Hashable,
        work: float,
        share: float,
        capacity_at: Callable[[float], float],
    ) -> float:
        """Find a time for a client to come back; return the seconds until then, 0 where nothing may be told.

        Args:
            now: The time.
            client: Who is told.
            name: Of what it asks for.
            work: Seconds of transfer that the request takes.
            share: Of a slot that this request class may fill.
            capacity_at: Work a second that the servers can take at a time.
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
        before = self.reserved_work.get(slot, 0.0)
        self.reserved_work[slot] = before + work
        # one after another within the slot, so that clients that keep it to the millisecond are no herd
        position = before / max(before + work, capacity_at(slot * SLOT_S) * SLOT_S)
        at = (slot + min(_LAST_MOMENT_OF_SLOT, position)) * SLOT_S
        if len(self.reservations) < self.max_reservations:
            self.reservations[client, name] = at
            self.due.append((at, (client, name)))
        self.counts["given"] += 1
        return max(_MIN_DELAY_S, at - now)

    def _find_slot(
        self, now: float, work: float, share: float, capacity_at: Callable[[float], float]
    ) -> int | None:
        """The earliest slot with capacity for `work`, or None."""
        first = int((now + SLOT_S) / SLOT_S) + 1
        last = int((now + self.max_delay_s) / SLOT_S) - 1
        free = 0.0
        for slot in range(first, last + 1):
            capacity = capacity_at(slot * SLOT_S)
            for_retries = max(MIN_RETRY_SHARE * capacity, MAX_UTILIZATION * capacity - self.new_work_rate())
            usable = for_retries * SLOT_S * share
            # a slot that has less than one request needs lends it to the next
            free = min(max(work, usable), free + usable - self.reserved_work.get(slot, 0.0))
            if free >= work:
                return slot
        return None

    def _unreserved_delay_s(self) -> float:
        """A late time within what may be told, spread over many clients, with nothing reserved."""
        self.counts["full"] += 1
        self._spread = (self._spread + _GOLDEN_SECTION) % 1.0
        return max(_MIN_DELAY_S, self.max_delay_s * (0.5 + 0.5 * self._spread))
