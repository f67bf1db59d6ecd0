"""Transfer of the retained purges of one process to another, page by page. No I/O, no clock.

A page contains the purges after a name, in the order of the names. The positions in the first page tell up
to where the transfer is complete: a purge that is added during it may have a name that was passed already,
but its entry is after those positions.
"""

from __future__ import annotations

import bisect
import math

from brookhinge.decisions.retained_purges import Name, RetainedPurges, sort_key
from brookhinge.decisions.rules import NEVER
from brookhinge.purgelog.messages import RetainedPage, RetainedPurge, RetainedRequest, RetainedState
from brookhinge.purgelog.positions import Position, flatten, is_valid_vector, unflatten

ROUTER = -1  # in place of the number of a control machine
FIRST = ("", -1)  # before the first name
MAX_PAGE_BYTES = 1050
PURGE_OVERHEAD_BYTES = 24  # upper bound for an encoded purge without its text
# An age is told as 0.1% less than it was measured, since clocks may differ in rate: a purge that is taken for
# a later one is stricter.
CLOCK_RATE = 0.999


def name_of(text: str, number: int) -> Name:
    """Return the name of the object or group in a message."""
    return text or number


def text_and_number(name: Name) -> tuple[str, int]:
    """Return how a name is encoded in a message."""
    return (name, -1) if isinstance(name, str) else ("", name)


def age_ms(now: float, at: float) -> int:
    """Return the age to tell of something that took place at `at`, in ms."""
    return math.floor(max(0.0, now - at) * CLOCK_RATE * 1000.0)


def make_page(
    purges: RetainedPurges,
    request: RetainedRequest,
    now: float,
    *,
    state: RetainedState,
    positions: list[Position] | None,
    proven_at: float = NEVER,
) -> RetainedPage:
    """Return the page after the name in a request; `proven_at` is the last proof in the logs before."""
    names = purges.sorted_names()
    after = sort_key(name_of(request.after_text, request.after_number))
    start = bisect.bisect_right(names, after, key=sort_key)
    rows = []
    remaining_bytes = MAX_PAGE_BYTES
    for name in names[start:]:
        text, number = text_and_number(name)
        remaining_bytes -= PURGE_OVERHEAD_BYTES + len(text.encode())
        if remaining_bytes < 0 and rows:
            break
        rows.append(RetainedPurge(text, number, age_ms(now, purges.purged_at[name]), purges.stamps[name]))
    floor_age_ms = -1 if purges.floor == NEVER else age_ms(now, purges.floor)
    proof_age_ms = -1 if proven_at == NEVER else age_ms(now, proven_at)
    flat = [] if positions is None else flatten(positions)
    is_last = start + len(rows) == len(names)
    return RetainedPage(
        request.number, int(state), proof_age_ms, flat, floor_age_ms, purges.floor_stamp, rows, is_last
    )


class RetainedTransfer:
    """The receiving side of one transfer.

    Attributes:
        number: Number of the request that awaits its page.
        tries: How often that request was sent.
        purges: The purges received, with their times by the receiver's clock.
        state: State of the sender in its first page, or None before it.
        positions: Positions of the sender in its first page.
        proven_at: When the sender had its last proof in the logs before, or NEVER.
    """

    def __init__(self, number: int) -> None:
        """Create a transfer whose requests are numbered from `number`."""
        self.number = number
        self.tries = 0
        self.purges = RetainedPurges()
        self.state: RetainedState | None = None
        self.positions: list[Position] = []
        self.proven_at = NEVER
        self._after: tuple[str, int] = FIRST

    def request(self, machine: int) -> RetainedRequest:
        """Return the next request, of a control machine or ROUTER."""
        self.tries += 1
        return RetainedRequest(machine, self.number, *self._after)

    def receive(self, now: float, page: RetainedPage, sources: int) -> bool:
        """Take the page that is awaited; return whether it was the last one.

        Args:
            now: Seconds of the receiver's steady clock.
            page: A page with the number of the request.
            sources: Number of sources in a vector of positions.
        """
        if self.state is None:
            self.state = RetainedState(page.state) if page.state in iter(RetainedState) else RetainedState(0)
            if is_valid_vector(page.positions, sources):
                self.positions = unflatten(page.positions)
            if page.proof_age_ms >= 0:
                self.proven_at = now - page.proof_age_ms / 1000.0
        for purge in page.purges:
            at = now - max(0, purge.age_ms) / 1000.0
            self.purges.add(name_of(purge.text, purge.number), at, purge.stamp_ms)
        if page.floor_age_ms >= 0:
            self.purges.raise_floor(now - page.floor_age_ms / 1000.0, page.floor_stamp)
        if page.is_last or not page.purges:
            return True
        self._after = (page.purges[-1].text, page.purges[-1].number)
        self.number += 1
        self.tries = 0
        return False
