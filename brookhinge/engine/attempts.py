"""Tracks outstanding attempts: their deadlines and their results."""

import heapq

from brookhinge.decisions import messages, rules
from brookhinge.decisions.rules import AttemptResult, Ran
from brookhinge.engine.effects import CancelAttempt
from brookhinge.engine.open_requests import OpenRequest
from brookhinge.engine.records import Records


class AttemptTracker:
    """Cancels attempts that time out or whose request ends, and reports this to the decisions."""

    def __init__(self, records: Records) -> None:
        self.context = records.context
        self.requests = records.requests
        self.invariants = records.invariants
        self.totals = records.totals
        self.timers: list[tuple[float, int, int]] = []  # heap of (deadline, request, attempt)

    def set_timer(self, request: OpenRequest, deadline: float) -> None:
        """Set the deadline of a request's latest attempt."""
        heapq.heappush(self.timers, (deadline, request.request_id, request.attempts))

    def next_at(self) -> float | None:
        """Return the earliest deadline of an outstanding attempt, or None if there is none."""
        while self.timers and not self.requests.has_attempt_out(*self.timers[0][1:]):
            heapq.heappop(self.timers)
        return self.timers[0][0] if self.timers else None

    def expire(self) -> None:
        """Cancel attempts that have timed out, before another attempt is sent for their requests."""
        while True:
            deadline = self.next_at()
            if deadline is None or deadline > self.context.now:
                return
            _, request_id, _ = heapq.heappop(self.timers)
            request = self.requests.open[request_id]
            self.send_cancel(request)
            self.record_end(request, AttemptResult.TIMEOUT)
            self.totals.counts["timeouts"] += 1
            self.context.inbox.append(
                self.attempt_ended_message(request, AttemptResult.TIMEOUT, is_final=False)
            )

    def send_cancel(self, request: OpenRequest) -> None:
        """Emit a cancel for the request's outstanding attempt, if there is one."""
        if request.has_attempt_out:
            request.has_attempt_out = False
            self.context.emit(CancelAttempt(request.request_id, request.attempts))

    def cancel(self, request: OpenRequest) -> bool:
        """Cancel the outstanding attempt of a request that ends; return False if there is none.

        Also reports the withdrawal to the decisions, so that they stop counting the attempt as in flight.
        """
        if not request.has_attempt_out:
            return False
        self.send_cancel(request)
        self.record_end(request, AttemptResult.CANCELLED)
        self.context.inbox += (
            messages.RequestWithdrawn(request.request_id),
            self.attempt_ended_message(request, AttemptResult.CANCELLED, is_final=True),
        )
        return True

    def record_end(self, request: OpenRequest, result: AttemptResult) -> None:
        """Record the result of an attempt.

        The first attempt that may have run is kept: it decides whether the request may be sent again.
        """
        request.last_result = result
        if result not in rules.NEVER_RAN and request.first_ran is None:
            server = self.invariants.server_record(request.server)
            request.first_ran = Ran(server.zone, server.cell, request.sent_at)
        if self.context.is_traced:
            self.context.trace(
                "attempt ended", request, attempt=request.attempts, server=request.server, result=result
            )

    def attempt_ended_message(
        self, request: OpenRequest, result: AttemptResult, *, is_final: bool
    ) -> messages.AttemptEnded:
        """Return the message that reports a canceled attempt to the decisions."""
        return messages.AttemptEnded(
            request_id=request.request_id,
            server=request.server,
            result=result,
            took_s=self.context.now - request.sent_at,
            is_final=is_final,
            note=0,
            waited_s=0.0,
        )
