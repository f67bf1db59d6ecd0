"""Converts decisions to effects, after checking each against the invariants."""

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
    """The `DecisionSink` of a router that serves real sockets.

    Attributes:
        copies: {copy name: (body, version tag)} of the responses kept in memory for the decisions.
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
            InvariantError: The attempt would violate an invariant.
        """
        request = self.requests.open.get(request_id)
        if request is None or self.context.is_shutting_down:
            detail = f"attempt for request {request_id} after it ended or after shutdown began"
            raise InvariantError(self.invariants.record_violation(Invariant.AFTER_END, detail))
        self.check_attempt(request, attempt)
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
        self.context.emit(self.send_effect(request, attempt, deadline))

    def check_attempt(self, request: OpenRequest, attempt: Attempt) -> None:
        """Check an attempt against the invariants.

        Raises:
            InvariantError: The attempt would violate an invariant.
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

    def send_effect(self, request: OpenRequest, attempt: Attempt, deadline: float) -> SendAttempt:
        """Return the effect that sends an attempt."""
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
        """Reject a request, or fail it if a retry by the client could cause a second effect.

        Raises:
            InvariantError: The request already had its final response.
        """
        request = self.require_open(request_id)
        request_class = self.class_of(request)
        if rules.may_invite_retry(request_class, request.first_ran):
            self.responses.reject(request, retry_after_s, reason)
            return
        detail = f"rejection would invite a retry of a {request_class.idempotency} request that may have run"
        self.log_violation(request_id, self.invariants.record_violation(Invariant.EFFECT_TWICE, detail))
        self.responses.fail(request, reason)

    def fail(self, request_id: int, reason: Refusal | None = None) -> None:
        """Respond to a request with an error.

        Raises:
            InvariantError: The request already had its final response.
        """
        self.responses.fail(self.require_open(request_id), reason)

    def respond_from_copy(self, request_id: int, name: tuple) -> None:
        """Respond with a kept copy, or with "unchanged" if the client holds the same version.

        Raises:
            InvariantError: The request already had its final response.
        """
        request = self.require_open(request_id)
        body, version = self.copies[name]
        is_unchanged = version is not None and version == request.call.known_version
        self.totals.counts["own"] += 1
        self.context.trace("served", request, of="own copy")
        self.responses.respond(request, b"" if is_unchanged else body, is_unchanged)

    def keep_copy(self, request_id: int, name: tuple) -> None:
        """Keep the response body that a request received in this round."""
        self.copies[name] = self.context.bodies[request_id]

    def drop_copy(self, name: tuple) -> None:
        """Drop a kept copy."""
        del self.copies[name]

    def log(self, text: str) -> None:
        """Log a message of the decisions for operators."""
        self.context.log("decisions", text=text)

    def log_violation(self, request_id: int | None, violation: Violation) -> None:
        """Log a prevented violation of an invariant."""
        request = self.requests.open.get(request_id)
        ref = request.call.client_request_id.decode() if request else None
        self.context.log("violation", ref=ref, invariant=violation.invariant, detail=violation.detail)

    def require_open(self, request_id: int) -> OpenRequest:
        """Return an open request.

        Raises:
            InvariantError: The request already had its final response.
        """
        request = self.requests.open.get(request_id)
        if request is None:
            detail = f"second final response to request {request_id}"
            raise InvariantError(self.invariants.record_violation(Invariant.ONE_ANSWER, detail))
        return request

    def class_of(self, request: OpenRequest) -> RequestClass:
        """Return the settings of the request's class."""
        return self.decisions.request_classes[request.request_class]
