"""Final responses: each open request ends exactly once, satisfied, rejected, failed or withdrawn."""

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
    """Ends requests, and the followers that wait for them."""

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

    # what servers respond

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Take the response to an attempt, or what became of it, unless it was given up."""
        if not self.requests.has_attempt_out(event.request_id, event.attempt):
            return
        request = self.requests.open[event.request_id]
        result = event.result
        if event.is_unchanged and not request.call.known_version:  # of a copy that the client does not hold
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

    # the four ends of a request

    def respond(self, request: OpenRequest, body: bytes, is_unchanged: bool) -> None:
        """Respond to a request and its followers: they asked for the same and hold the same copy."""
        self.send_response(request, body, is_unchanged)
        for follower in self.coalescer.release_followers(request.request_id):
            self.send_response(follower, body, is_unchanged)
            self.end(follower, Outcome.SATISFIED)
        self.end(request, Outcome.SATISFIED)

    def send_response(self, request: OpenRequest, body: bytes, is_unchanged: bool) -> None:
        """Send one response."""
        self.totals.counts["satisfied"] += 1
        call = request.call
        self.context.emit(effects.Respond(call.client, call.number, body, is_unchanged))

    def reject(self, request: OpenRequest, retry_after_s: float, reason: Refusal | None) -> None:
        """Reject a request, and its followers with the same time to come back."""
        self.totals.counts["nacked"] += 1
        self.totals.refusals[reason] += 1
        self.context.trace("refused", request, reason=reason, retry_after_s=retry_after_s)
        call = request.call
        self.context.emit(effects.RejectRequest(call.client, call.number, retry_after_s))
        for follower in self.coalescer.release_followers(request.request_id):
            self.reject(follower, retry_after_s, reason)
        self.end(request, Outcome.REJECTED)

    def fail(self, request: OpenRequest, reason: Refusal | None) -> None:
        """Respond with an error."""
        self.totals.counts["errored"] += 1
        self.totals.refusals[reason] += 1
        self.context.trace("failed", request, reason=reason)
        self.context.emit(effects.FailRequest(request.call.client, request.call.number))
        self.end(request, Outcome.FAILED)

    def withdraw(self, request: OpenRequest, reason: Withdrawal) -> None:
        """End a request that no response is owed to any more.

        Its attempt is given up and the decisions hear of it. What they were to hear of it in this very round
        is taken back or ends it, or they would send for a request that is over.
        """
        message = self.take_back_message(request.request_id)
        if message is None:
            self.attempts.cancel(request)
        elif isinstance(message, messages.AttemptEnded):
            self.context.inbox.append(message._replace(is_final=True))
        self.totals.counts["left"] += 1
        self.totals.withdrawals[reason] += 1
        self.context.trace("left", request, reason=reason)
        self.end(request, Outcome.WITHDRAWN)

    def take_back_message(self, request_id: int) -> messages.RequestArrived | messages.AttemptEnded | None:
        """Take the first message on a request out of the inbox of this round."""
        for i, message in enumerate(self.context.inbox):
            is_of_request = isinstance(message, (messages.RequestArrived, messages.AttemptEnded))
            if is_of_request and message.request_id == request_id:
                return self.context.inbox.pop(i)
        return None

    def end(self, request: OpenRequest, outcome: Outcome) -> None:
        """Close the books on a request; followers without a response go on by themselves."""
        self.requests.remove(request.request_id)
        call = request.call
        if self.scores is not None:
            took_s = self.context.now - call.received_at
            self.scores.ended(request.request_class, call.size_kb, took_s, outcome)
        self.coalescer.ended(request, outcome)
        for follower in self.coalescer.release_followers(request.request_id):
            self.restart(follower)
        self.clients.remove_request(call.client, call.number)

    def restart(self, follower: OpenRequest) -> None:
        """Handle a follower by itself, or let it follow another that was released with it."""
        follower.leader = None
        if self.coalescer.has_time_left(follower):
            self.coalescer.admit(follower, follower.arrival)
        else:
            self.fail(follower, Refusal.NO_TIME)


def stored_copy(event: AttemptEnded) -> messages.StoredCopy | None:
    """The copy that a response brought, where its age can be told."""
    if event.is_unchanged or event.dated_at is None:
        return None
    if not rules.stamp_is_plausible(event.received_at, event.dated_at):
        return None
    return messages.StoredCopy(event.dated_at, len(event.body))
