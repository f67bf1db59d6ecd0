"""Attempts that are out: their deadlines, and how they end."""

import heapq

from brookhinge.decisions import messages, rules
from brookhinge.decisions.rules import AttemptResult, Ran
from brookhinge.engine.effects import CancelAttempt
from brookhinge.engine.open_requests import OpenRequest
from brookhinge.engine.records import Records


class AttemptTracker:
    """Gives up attempts whose time is over or whose request has ended, and tells the decisions."""

    def __init__(self, records: Records) -> None:
        self.context = records.context
        self.requests = records.requests
        self.invariants = records.invariants
        self.totals = records.totals
        self.timers: list[tuple[float, int, int]] = []  # heap of (deadline, request, attempt)

    def set_timer(self, request: OpenRequest, deadline: float) -> None:
        """Give the last attempt of a request until a deadline."""
        heapq.heappush(self.timers, (deadline, request.request_id, request.attempts))

    def next_at(self) -> float | None:
        """The next deadline of an attempt that is out, or None."""
        while self.timers and not self.requests.has_attempt_out(*self.timers[0][1:]):
            heapq.heappop(self.timers)
        return self.timers[0][0] if self.timers else None

    def expire(self) -> None:
        """Give up attempts whose time is over, before anything else is sent for their requests."""
        while True:
            at = self.next_at()
            if at is None or at > self.context.now:
                return
            _, request_id, _ = heapq.heappop(self.timers)
            request = self.requests.open[request_id]
            self.give_up(request)
            self.record_end(request, AttemptResult.TIMEOUT)
            self.totals.counts["timeouts"] += 1
            self.context.inbox.append(self.end_message(request, AttemptResult.TIMEOUT, is_final=False))

    def give_up(self, request: OpenRequest) -> None:
        """Cancel the attempt that is out, if there is one."""
        if request.has_attempt_out:
            request.has_attempt_out = False
            self.context.emit(CancelAttempt(request.request_id, request.attempts))

    def cancel(self, request: OpenRequest) -> bool:
        """Give up the attempt of a request that ends; false where none is out.

        The decisions hear that the request is withdrawn and count the attempt no more.
        """
        if not request.has_attempt_out:
            return False
        self.give_up(request)
        self.record_end(request, AttemptResult.CANCELLED)
        self.context.inbox += (
            messages.RequestWithdrawn(request.request_id),
            self.end_message(request, AttemptResult.CANCELLED, is_final=True),
        )
        return True

    def record_end(self, request: OpenRequest, result: AttemptResult) -> None:
        """Note how an attempt ended: whether it may have run decides whether there may be another."""
        request.last_result = result
        if result not in rules.NEVER_RAN and request.first_ran is None:
            facts = self.invariants.facts(request.server)
            request.first_ran = Ran(facts.zone, facts.cell, request.sent_at)
        if self.context.is_traced:
            self.context.trace(
                "attempt ended", request, attempt=request.attempts, server=request.server, result=result
            )

    def end_message(
        self, request: OpenRequest, result: AttemptResult, *, is_final: bool
    ) -> messages.AttemptEnded:
        """What the decisions hear of an attempt that was given up."""
        return messages.AttemptEnded(
            request_id=request.request_id,
            server=request.server,
            result=result,
            took_s=self.context.now - request.sent_at,
            is_final=is_final,
            note=0,
            waited_s=0.0,
        )
