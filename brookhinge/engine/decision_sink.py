"""Carries out decisions: checks each against the invariants and makes an effect of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brookhinge.decisions import rules
from brookhinge.decisions.rules import Refusal
from brookhinge.decisions.settings import RequestClass
from brookhinge.decisions.sink import Attempt
from brookhinge.engine.attempts import AttemptTracker
from brookhinge.engine.effects import SendAttempt
from brookhinge.engine.endpoint_list import EndpointList
from brookhinge.engine.invariants import (
    Invariant,
    InvariantError,
    PlannedAttempt,
    Violation,
)
from brookhinge.engine.open_requests import OpenRequest
from brookhinge.engine.records import Records
from brookhinge.engine.responses import FinalResponses

if TYPE_CHECKING:
    from brookhinge.decisions.router import Router


class EngineSink:
    """The `DecisionSink` of the router on sockets.

    Attributes:
        copies: {name: (body, tag)} of the responses that the decisions keep.
    """

    def __init__(
        self,
        records: Records,
        *,
        decisions: Router,
        attempts: AttemptTracker,
        responses: FinalResponses,
        endpoints: EndpointList,
    ) -> None:
        self.context = records.context
        self.decisions = decisions
        self.requests = records.requests
        self.attempts = attempts
        self.responses = responses
        self.endpoints = endpoints
        self.invariants = records.invariants
        self.totals = records.totals
        self.copies: dict[tuple, tuple[bytes, bytes | None]] = {}

    def forward(self, request_id: int, attempt: Attempt) -> None:
        """Send an attempt of a request to a server.

        Raises:
            InvariantError: The attempt would break a rule.
        """
        request = self.requests.open.get(request_id)
        if request is None or self.context.is_shutting_down:
            detail = f"a push of query {request_id}"
            raise InvariantError(self.invariants.violated(Invariant.AFTER_END, detail))
        self.check(request, attempt)
        deadline = min(attempt.deadline, request.deadline)
        if request.attempts:
            self.totals.retries[request.last_result] += 1
        request.attempts += 1
        request.has_attempt_out = True
        request.server = attempt.server
        request.fill_from = attempt.fill_from
        request.sent_at = self.context.now
        if self.context.is_traced:
            self.context.trace(
                "attempt",
                request,
                attempt=request.attempts,
                server=attempt.server,
                source=attempt.fill_from,
                patience_s=deadline - self.context.now,
                oldest_s=attempt.max_age_s,
                after=request.last_result,
            )
        self.totals.counts["pushes"] += 1
        self.attempts.set_timer(request, deadline)
        self.context.emit(self.effect(request, attempt, deadline))

    def check(self, request: OpenRequest, attempt: Attempt) -> None:
        """Check an attempt against the invariants.

        Raises:
            InvariantError: The attempt would break a rule.
        """
        now = self.context.now
        planned = PlannedAttempt(
            server=attempt.server,
            fill_from=attempt.fill_from,
            left_s=request.deadline - now,
            timeout_s=attempt.deadline - now,
            max_age_s=attempt.max_age_s,
            work_s=self.decisions.mean_transfer_s(request.request_class),
        )
        violation = self.invariants.check_attempt(now, request, self.class_of(request), planned)
        if violation is not None:
            raise InvariantError(violation)

    def effect(self, request: OpenRequest, attempt: Attempt, deadline: float) -> SendAttempt:
        """The effect that sends an attempt."""
        call = request.call
        return SendAttempt(
            request_id=request.request_id,
            attempt=request.attempts,
            server=self.endpoints.instances[attempt.server],
            client_request_id=call.client_request_id,
            class_name=call.class_name,
            object_key=call.object_key,
            part=call.part,
            deadline=deadline,
            fill_from=attempt.fill_from if attempt.fill_from != attempt.server else None,
            retention=attempt.retention,
            max_age_s=attempt.max_age_s,
            joins_fill=attempt.joins_fill,
            cached_only=attempt.cached_only,
            revalidates=attempt.revalidates,
            known_version=call.known_version,
            body=call.body,
            idempotency_key=call.idempotency_key,
        )

    def reject(self, request_id: int, retry_after_s: float, reason: Refusal | None = None) -> None:
        """Reject a request; where asking again could be a second effect it fails instead.

        Raises:
            InvariantError: The request has had its final response.
        """
        request = self.owed(request_id)
        request_class = self.class_of(request)
        if rules.may_invite_retry(request_class, request.first_ran):
            self.responses.reject(request, retry_after_s, reason)
            return
        detail = f"a repeat of {request_class.idempotency} is invited"
        self.log_violation(request_id, self.invariants.violated(Invariant.EFFECT_TWICE, detail))
        self.responses.fail(request, reason)

    def fail(self, request_id: int, reason: Refusal | None = None) -> None:
        """Respond with an error.

        Raises:
            InvariantError: The request has had its final response.
        """
        self.responses.fail(self.owed(request_id), reason)

    def respond_from_copy(self, request_id: int, name: tuple) -> None:
        """Respond with a copy that was kept; where the client holds the same one, say so.

        Raises:
            InvariantError: The request has had its final response.
        """
        request = self.owed(request_id)
        body, version = self.copies[name]
        is_unchanged = version is not None and version == request.call.known_version
        self.totals.counts["own"] += 1
        self.context.trace("served", request, of="own copy")
        self.responses.respond(request, b"" if is_unchanged else body, is_unchanged)

    def keep_copy(self, request_id: int, name: tuple) -> None:
        """Keep the body that a request was responded to with in this round."""
        self.copies[name] = self.context.bodies[request_id]

    def drop_copy(self, name: tuple) -> None:
        """Forget a copy."""
        del self.copies[name]

    def log(self, text: str) -> None:
        """Log what operators should know of a decision."""
        self.context.log("decisions", text=text)

    def log_violation(self, request_id: int | None, violation: Violation) -> None:
        """Log an act that was about to break a rule."""
        request = self.requests.open.get(request_id)
        ref = request.call.client_request_id.decode() if request else None
        self.context.log("violation", ref=ref, invariant=violation.invariant, detail=violation.detail)

    def owed(self, request_id: int) -> OpenRequest:
        """The open request that is owed its final response.

        Raises:
            InvariantError: The request has had it.
        """
        request = self.requests.open.get(request_id)
        if request is None:
            detail = f"a second one to query {request_id}"
            raise InvariantError(self.invariants.violated(Invariant.ONE_ANSWER, detail))
        return request

    def class_of(self, request: OpenRequest) -> RequestClass:
        """The settings of the request's class."""
        return self.decisions.request_classes[request.request_class]
