"""Final responses that the router gives by itself: rejections, failures and copies from its memory."""

from brookhinge.decisions import rules
from brookhinge.decisions.mechanisms import RouterMechanisms
from brookhinge.decisions.request_state import RequestState
from brookhinge.decisions.rules import Refusal

COPY_MARGIN_S = 0.02  # of the time left that is not used when a copy is promised
RETRY_AFTER_BASE_S = 0.1
RETRY_AFTER_SPREAD_S = 0.15
MIN_SCHEDULE_SHARE = 0.5  # of a slot of the retry schedule that the class of least utility may fill


class FinalResponses(RouterMechanisms):
    """A router's final responses."""

    def refuse(self, request: RequestState, reason: Refusal) -> None:
        """The final response, at once; the client is invited to repeat only where that can do no harm."""
        if self.respond_from_copy(request):
            return
        if rules.may_invite_retry(request.request_class, request.may_have_run):
            self.sink.reject(request.request_id, self._retry_after_s(request), reason)
        else:
            self.sink.fail(request.request_id, reason)
        del self.requests[request.request_id]

    def respond_from_copy(self, request: RequestState) -> bool:
        """Answer from memory, if a copy there will do and comes in time; return whether it did."""
        if not self.knows_all_purges:
            return False
        one = request.request_class
        name = request.class_index, request.object.code
        time_left_s = min(request.deadline - self.now, one.latency_objective_s + request.transfer_s)
        max_age_s = self.purges.max_age_s(request.object, one, self.now, accept_stale=True)
        if not self.local_cache.reserve(name, self.now, max_age_s, time_left_s - COPY_MARGIN_S):
            return False
        self.sink.respond_from_copy(request.request_id, name)
        del self.requests[request.request_id]
        return True

    def _retry_after_s(self, request: RequestState) -> float:
        """Seconds after which to come back: a place in the retry schedule, where one can be told."""
        if self.retry_schedule is None or request.retry_client is None:
            random_s = RETRY_AFTER_BASE_S + RETRY_AFTER_SPREAD_S * self.rng.random()
            return min(self.limits.max_retry_after_s, random_s)
        highest = max(one.utility for one in self.request_classes)
        return self.retry_schedule.reserve(
            self.now,
            request.retry_client,
            self.schedule_name(request),
            self.statistics.transfer_s[request.class_index],
            MIN_SCHEDULE_SHARE + (1.0 - MIN_SCHEDULE_SHARE) * request.request_class.utility / highest,
            lambda at: self.eligibility.local_capacity(at, self.now),
        )

    def schedule_name(self, request: RequestState) -> tuple[int, str, int]:
        """Return what the retry schedule knows a request by."""
        return request.class_index, request.object.key, request.object.part
