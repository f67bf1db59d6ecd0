"""Final responses that the router sends without a server: rejections, errors and copies from its memory."""

import math

from brookhinge.decisions import rules
from brookhinge.decisions.mechanisms import RouterMechanisms
from brookhinge.decisions.request_state import RequestState
from brookhinge.decisions.rules import Refusal

COPY_MARGIN_S = 0.02  # of the time left, kept in reserve when a copy is sent
RETRY_AFTER_BASE_S = 0.1
RETRY_AFTER_SPREAD_S = 0.15
MIN_SCHEDULE_SHARE = 0.5  # of a retry schedule slot, open even to a class without utility


class FinalResponses(RouterMechanisms):
    """Sends the final responses that need no server."""

    def refuse(self, request: RequestState, reason: Refusal) -> None:
        """Send the final response now; the client may retry only if that cannot execute the request twice."""
        if self.respond_from_copy(request):
            return
        if rules.may_invite_retry(request.request_class, request.may_have_run):
            self.sink.reject(request.request_id, self._retry_after_s(request), reason)
        else:
            self.sink.fail(request.request_id, reason)
        del self.requests[request.request_id]

    def respond_from_copy(self, request: RequestState) -> bool:
        """Respond with a kept copy if one is recent enough and can be sent in time; return whether it was."""
        if not self.knows_all_purges:
            return False
        request_class = request.request_class
        name = request.class_index, request.object.code
        time_left_s = min(request.deadline - self.now, request_class.latency_objective_s + request.transfer_s)
        max_age_s = self.purges.max_age_s(request.object, request_class, self.now, accept_stale=True)
        if self.now - self.purges_known_until > rules.TOLD_WITHIN_S:
            # Any older copy may have been purged so long ago that the purge counts as known.
            max_age_s = min(max_age_s or math.inf, rules.TOLD_WITHIN_S)
        if not self.local_cache.reserve(name, self.now, max_age_s, time_left_s - COPY_MARGIN_S):
            return False
        self.sink.respond_from_copy(request.request_id, name)
        del self.requests[request.request_id]
        return True

    def _retry_after_s(self, request: RequestState) -> float:
        """Return after how many seconds the client may retry: a reserved time, or else a short random one."""
        if self.retry_schedule is None or request.retry_client is None:
            random_s = RETRY_AFTER_BASE_S + RETRY_AFTER_SPREAD_S * self.rng.random()
            return min(self.limits.max_retry_after_s, random_s)
        max_utility = max(request_class.utility for request_class in self.request_classes)
        return self.retry_schedule.reserve(
            self.now,
            request.retry_client,
            self.schedule_name(request),
            self.statistics.transfer_s[request.class_index],
            MIN_SCHEDULE_SHARE + (1.0 - MIN_SCHEDULE_SHARE) * request.request_class.utility / max_utility,
            lambda at: self.eligibility.local_capacity(at, self.now),
        )

    def schedule_name(self, request: RequestState) -> tuple[int, str, int]:
        """Return the name of a request in the retry schedule: request class, key and part."""
        return request.class_index, request.object.key, request.object.part
