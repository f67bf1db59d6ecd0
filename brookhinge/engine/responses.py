"""Ends requests: each open request ends exactly once, satisfied, rejected, failed or withdrawn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brookhinge.decisions import messages, rules
from brookhinge.decisions.rules import AttemptResult, Refusal, Withdrawal
from brookhinge.engine import effects
from brookhinge.engine.attempts import AttemptTracker
from brookhinge.engine.coalescing import RequestCoalescer
from brookhinge.engine.events import AttemptEnded
from brookhinge.engine.open_requests import OpenRequest, Outcome
from brookhinge.engine.records import Records

if TYPE_CHECKING:
    from brookhinge.engine.scores import Scores


class FinalResponses:
    """Sends final responses and ends requests, along with the followers that wait for them."""

    def __init__(
        self,
        records: Records,
        *,
        attempts: AttemptTracker,
        coalescer: RequestCoalescer,
        scores: Scores | None,
    ) -> None:
        self.context = records.context
        self.requests = records.requests
        self.clients = records.clients
        self.attempts = attempts
        self.coalescer = coalescer
        self.totals = records.totals
        self.scores = scores

    # Responses of servers.

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Handle the response to an attempt, or its failure; ignored if the attempt was canceled."""
        if not self.requests.has_attempt_out(event.request_id, event.attempt):
            return
        request = self.requests.open[event.request_id]
        result = event.result
        # "Unchanged" is an error if the client did not say that it holds a copy.
        if event.is_unchanged and not request.call.known_version:
            result = AttemptResult.ERRORED
        is_final = result == AttemptResult.SATISFIED
        request.has_attempt_out = False
        self.attempts.record_end(request, result)
        self.context.inbox.append(
            messages.AttemptEnded(
                request_id=event.request_id,
                server=request.server,
                result=result,
                took_s=event.received_at - request.sent_at,
                is_final=is_final,
                note=event.note,
                waited_s=event.source_wait_s,
                copy=stored_copy(event) if is_final else None,
            )
        )
        if is_final:
            self.context.bodies[event.request_id] = event.body, event.version
            self.context.trace("served", request, of=request.server)
            self.clients.withdrawn.pop(request.call.client, None)
            self.respond(request, event.body, event.is_unchanged)

    # The four ways in which a request ends.

    def respond(self, request: OpenRequest, body: bytes, is_unchanged: bool) -> None:
        """Respond to a request and its followers, which asked for the same and hold the same copy."""
        self.send_response(request, body, is_unchanged)
        for follower in self.coalescer.release_followers(request.request_id):
            self.send_response(follower, body, is_unchanged)
            self.end(follower, Outcome.SATISFIED)
        self.end(request, Outcome.SATISFIED)

    def send_response(self, request: OpenRequest, body: bytes, is_unchanged: bool) -> None:
        """Emit one response."""
        self.totals.counts["satisfied"] += 1
        call = request.call
        self.context.emit(effects.Respond(call.client, call.number, body, is_unchanged))

    def reject(self, request: OpenRequest, retry_after_s: float, reason: Refusal | None) -> None:
        """Reject a request and its followers, all with the same retry delay."""
        self.totals.counts["nacked"] += 1
        self.totals.refusals[reason] += 1
        self.context.trace("refused", request, reason=reason, retry_after_s=retry_after_s)
        call = request.call
        self.context.emit(effects.RejectRequest(call.client, call.number, retry_after_s))
        for follower in self.coalescer.release_followers(request.request_id):
            self.reject(follower, retry_after_s, reason)
        self.end(request, Outcome.REJECTED)

    def fail(self, request: OpenRequest, reason: Refusal | None) -> None:
        """Respond to a request with an error."""
        self.totals.counts["errored"] += 1
        self.totals.refusals[reason] += 1
        self.context.trace("failed", request, reason=reason)
        self.context.emit(effects.FailRequest(request.call.client, request.call.number))
        self.end(request, Outcome.FAILED)

    def withdraw(self, request: OpenRequest, reason: Withdrawal) -> None:
        """End a request that needs no response any more.

        Its outstanding attempt is canceled and the decisions are informed. A message on the request that
        waits in this round's inbox is removed, or marked as final if it is the end of an attempt. Otherwise
        the decisions would send an attempt for a request that has ended.
        """
        message = self.remove_message(request.request_id)
        if message is None:
            self.attempts.cancel(request)
        elif isinstance(message, messages.AttemptEnded):
            self.context.inbox.append(message._replace(is_final=True))
        self.totals.counts["left"] += 1
        self.totals.withdrawals[reason] += 1
        self.context.trace("left", request, reason=reason)
        self.end(request, Outcome.WITHDRAWN)

    def remove_message(self, request_id: int) -> messages.RequestArrived | messages.AttemptEnded | None:
        """Remove and return the first message on a request in this round's inbox, or return None."""
        for i, message in enumerate(self.context.inbox):
            is_of_request = isinstance(message, (messages.RequestArrived, messages.AttemptEnded))
            if is_of_request and message.request_id == request_id:
                return self.context.inbox.pop(i)
        return None

    def end(self, request: OpenRequest, outcome: Outcome) -> None:
        """Remove an ended request from all records; followers without a response are handled on their own."""
        self.requests.remove(request.request_id)
        call = request.call
        if self.scores is not None:
            took_s = self.context.now - call.received_at
            self.scores.record(request.request_class, call.size_kb, took_s, outcome)
        self.coalescer.on_request_ended(request, outcome)
        for follower in self.coalescer.release_followers(request.request_id):
            self.readmit(follower)
        self.clients.remove_request(call.client, call.number)

    def readmit(self, follower: OpenRequest) -> None:
        """Handle a released follower on its own, or coalesce it with another one that was released before."""
        follower.leader = None
        if self.coalescer.has_time_left(follower):
            self.coalescer.admit(follower, follower.arrival)
        else:
            self.fail(follower, Refusal.NO_TIME)


def stored_copy(event: AttemptEnded) -> messages.StoredCopy | None:
    """Return the copy in a response, or None if there is none or its age is unknown or implausible."""
    if event.is_unchanged or event.dated_at is None:
        return None
    if not rules.stamp_is_plausible(event.received_at, event.dated_at):
        return None
    return messages.StoredCopy(event.dated_at, len(event.body))
