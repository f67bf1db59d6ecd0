"""The retained purges at one router, and their transfer from control machines. No I/O, no clock.

The log itself tells a router the purges after its positions. Those before are transferred when the router
starts to read, when it continues from the heads after a long cut, and when the logs began anew.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from brookhinge.decisions.retained_purges import Name, RetainedPurges
from brookhinge.decisions.rules import NEVER
from brookhinge.purgelog.messages import Entry, Kind, RetainedPage, RetainedRequest, RetainedState
from brookhinge.purgelog.positions import Position, covers
from brookhinge.purgelog.retained_exchange import ROUTER, RetainedTransfer, make_page, name_of

ANSWER_TIMEOUT_S = 0.3
MAX_TRIES = 2  # unanswered requests before the next machine is asked
PAUSE_S = 0.2  # after a machine that does not hold all retained purges itself


class RetainedUpdate(NamedTuple):
    """What a transfer has added.

    Attributes:
        purges: New or later purges, as (name, seconds since the purge).
        floor_age_s: Every copy made before that many seconds ago counts as purged; None if nothing changed.
    """

    purges: list[tuple[Name, float]]
    floor_age_s: float | None


class RetainedReader:
    """The retained purges of one router.

    Attributes:
        purges: The purges known, with times of the caller's steady clock.
        is_complete: Whether all retained purges up to the router's positions are known.
        holds_logs_before: Whether all of the logs before the current ones are known; control machines that
            began anew without history get them from here.
        due_at: Time of the next request, or infinity.
    """

    def __init__(self, machines: int) -> None:
        """Create an empty record of a router that has not started to read; `machines` is their number."""
        self.purges = RetainedPurges()
        self.is_complete = False
        self.holds_logs_before = False
        self.due_at = math.inf
        self._proven_at = NEVER  # in the logs before
        self._machines = machines
        self._required: list[Position] = []
        self._transfer: RetainedTransfer | None = None
        self._number = 0
        self._skipped = 0  # machines that were asked in vain

    def apply(self, now: float, entry: Entry) -> None:
        """Record an entry of the log if it is a retained purge."""
        if entry.retained and entry.kind == Kind.PURGE:
            self.purges.add(name_of(entry.text, entry.number), now, entry.stamp_ms)

    def leave_logs(self, proven_at: float) -> None:
        """Record that the logs began anew, and when the last proof in those before was.

        If not all purges of the logs before were known yet, those of the logs before these do not help.
        """
        self.holds_logs_before = self.is_complete
        self._proven_at = proven_at

    def require(self, now: float, heads: list[Position]) -> None:
        """Request the purges up to `heads`, from which the router continues without earlier entries."""
        self.is_complete = False
        self._required = list(heads)
        self._transfer = None
        self._skipped = 0
        self.due_at = now

    def tick(self, now: float) -> tuple[int, RetainedRequest] | None:
        """Return the request that is due, and how many machines after the preferred one it is for."""
        if now < self.due_at:
            return None
        if self._transfer is not None and self._transfer.tries >= MAX_TRIES:
            self._skip_machine()
        if self._transfer is None:
            self._number += 1
            self._transfer = RetainedTransfer(self._number)
        self.due_at = now + ANSWER_TIMEOUT_S
        request = self._transfer.request(ROUTER)
        self._number = request.number
        return self._skipped % self._machines, request

    def _skip_machine(self) -> None:
        self._transfer = None
        self._skipped += 1

    def receive(self, now: float, page: RetainedPage) -> RetainedUpdate | None:
        """Take a page; return what the transfer has added if it is over, else None."""
        transfer = self._transfer
        if transfer is None or page.number != transfer.number:
            return None
        self._number = max(self._number, transfer.number + 1)
        if not transfer.receive(now, page, self._machines):
            self.due_at = now
            return None
        self._transfer = None
        update = self._merge(now, transfer)
        is_complete = transfer.state is RetainedState.COMPLETE and len(transfer.positions) == self._machines
        if is_complete and covers(transfer.positions, self._required):
            self.is_complete = True
            self.holds_logs_before = False
            self.due_at = math.inf
        else:
            self._skip_machine()
            self.due_at = now + PAUSE_S
        return update

    def _merge(self, now: float, transfer: RetainedTransfer) -> RetainedUpdate:
        received = transfer.purges
        if transfer.state is RetainedState.COMPLETE:
            self.purges.raise_floor(received.floor, received.floor_stamp)
        added = [
            (name, now - at)
            for name, at in received.purged_at.items()
            if self.purges.add(name, at, received.stamps[name])
        ]
        floor = self.purges.floor
        return RetainedUpdate(added, now - floor if floor > NEVER else None)

    def page(self, now: float, request: RetainedRequest, positions: list[Position] | None) -> RetainedPage:
        """Return the page that a control machine requests, with the router's positions."""
        state = RetainedState.PARTIAL
        proven_at = NEVER
        if self.is_complete:
            state = RetainedState.COMPLETE
        elif self.holds_logs_before:
            state = RetainedState.OF_LOGS_BEFORE
            proven_at = self._proven_at
        return make_page(self.purges, request, now, state=state, positions=positions, proven_at=proven_at)
