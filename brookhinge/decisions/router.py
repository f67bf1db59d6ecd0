"""The router: processes messages in order, consults each mechanism and passes its decisions to the sink.

Normal routing follows the Cache Clouds design: beacon rings whose sub-ranges follow the load, known holders
of an object, sibling fills for objects in demand, and fills from a parent for all other objects.
`Router.route` shows the order in which the mechanisms are consulted.
"""

from collections.abc import Iterable

from brookhinge.decisions import rules
from brookhinge.decisions.attempt_timeout import attempt_timeout_s
from brookhinge.decisions.endpoints import ServerRole
from brookhinge.decisions.feedback import AttemptOutcome, full_utility_time_s
from brookhinge.decisions.fill_planning import FillPlan
from brookhinge.decisions.final_responses import FinalResponses
from brookhinge.decisions.load_shedding import fair_share
from brookhinge.decisions.messages import (
    AttemptEnded,
    EndpointsListed,
    ObjectsPurged,
    RequestArrived,
    RequestWithdrawn,
    ResponseNote,
    RouterCountChanged,
    RouterMessage,
)
from brookhinge.decisions.request_state import FillKind, RequestState
from brookhinge.decisions.rules import AttemptResult, Ran, Refusal
from brookhinge.decisions.settings import (
    FillPolicy,
    Idempotency,
    NoteDetail,
)
from brookhinge.decisions.sink import Attempt, DecisionSink, Retention

REBALANCE_S = 10.0
REBALANCE_REQUESTS = 1000  # since the last rebalance; fewer would move sub-ranges at random
MIN_TIME_LEFT_S = 0.002
CACHE_OVERHEAD_S = 0.2  # time that a cache may add to the transfer time
MAX_DIRECT_IN_FLIGHT = 16
IN_DEMAND_COUNT = 2  # recent requests from which an object counts as in demand

# Module globals are cheaper to look up than enum members, and every request uses these.
_HIT = ResponseNote.HIT
_UNSENT = AttemptResult.UNSENT
_IN_DEMAND = Retention.IN_DEMAND
_NORMAL = Retention.NORMAL

NOTES_FROM_ORIGIN = (ResponseNote.VIA_ORIGIN, ResponseNote.SOURCE_REFUSED, ResponseNote.ORIGIN_FAILED)


class Router(FinalResponses):
    """Makes all decisions of one router. Times are seconds on the caller's clock."""

    def __init__(self, seed: int, *, fill_policy: FillPolicy, **settings: object) -> None:
        """Create a router; `settings` are further arguments of `RouterMechanisms`."""
        super().__init__(seed, fill_policy=fill_policy, **settings)
        self.requests_counted = 0  # since the sub-ranges were last rebalanced
        self._rebalance_at = REBALANCE_S
        self._has_fault_notes = fill_policy.notes is NoteDetail.ALL

    # Messages

    def process(self, now: float, messages: Iterable[RouterMessage], sink: DecisionSink) -> None:
        """Run one round: handle the messages in order, then rebalance the sub-ranges if that is due."""
        self.now = now
        self.sink = sink
        for message in messages:
            self.handle(message)
        if now >= self._rebalance_at and self.requests_counted >= REBALANCE_REQUESTS:
            self._rebalance()

    def handle(self, message: RouterMessage) -> None:
        """Handle one message.

        Raises:
            TypeError: This router does not handle messages of that type.
        """
        match message:
            case RequestArrived():
                self.on_request(message)
            case AttemptEnded():
                self.on_attempt_ended(message)
            case RequestWithdrawn():
                self.on_withdrawn(message)
            case EndpointsListed():
                self.on_endpoints(message)
            case ObjectsPurged():
                self.on_purge(message)
            case RouterCountChanged():
                self.on_router_count(message)
            case _:
                raise TypeError(
                    f"message: expected a type that this router handles, got {type(message).__name__}"
                )

    def on_endpoints(self, listed: EndpointsListed) -> None:
        """Apply an endpoint list, and drop the state of every index that was given to a new server."""
        endpoints = self.endpoints
        local_caches = endpoints.local_caches
        endpoints.update(self.now, listed.is_complete, listed.endpoints)
        for server in endpoints.newly_emptied:
            if endpoints.role[server] in self.slow_start:
                self.slow_start[endpoints.role[server]].forget_credit(server, self.now)
        for server in endpoints.newly_indexed:
            for mechanism in (
                *self.slow_start.values(),
                self.cache_outliers,
                self.parent_outliers,
                self.concurrency,
                self.fault_attribution,
            ):
                mechanism.forget(server)
        if endpoints.local_caches != local_caches:
            self.rings.assign(endpoints.local_caches)

    def on_request(self, message: RequestArrived) -> None:
        """Record a new request and route it."""
        is_first = not message.retry_age_s  # a client's retry was already counted with its first try
        state = self.objects.get_or_add(message.key, message.part, message.group)
        state.count += is_first
        state.requests += is_first
        self.requests_counted += is_first
        self.rings.record_load(state.code, is_first)
        request_class = self.request_classes[message.request_class]
        transfer_kb_s = self.fill_policy.transfer_kb_s
        request = RequestState(
            message.request_id,
            message.request_class,
            request_class,
            state,
            now=self.now,
            timeout_s=message.timeout_s,
            is_uncacheable=message.is_write or request_class.uncacheable,
            transfer_s=message.size_kb / transfer_kb_s if message.size_kb and transfer_kb_s else 0.0,
            retry_client=message.retry_client,
        )
        self.requests[message.request_id] = request
        self.statistics.record_transfer(message.request_class, request.transfer_s)
        request.priority_weight = self._priority_weight(request, message.retry_age_s)
        self.retry_budget.earn(self.now, is_first)
        if (
            self.retry_schedule is None
            or message.retry_client is None
            or self._passes_retry_schedule(request, is_first)
        ):
            self.route(request)

    def _priority_weight(self, request: RequestState, retry_age_s: float) -> float:
        """Return the fraction of the request's utility that a response can still earn.

        A late retry can no longer meet the latency objective, which is counted from its first try.
        """
        request_class = request.request_class
        transfer_s = request.transfer_s or self.statistics.transfer_s[request.class_index]
        needed_s = (
            self.statistics.response_s[request.class_index] - request_class.objective_stretch * transfer_s
        )
        return (
            request_class.late_share
            if retry_age_s > max(0.0, request_class.latency_objective_s - needed_s)
            else 1.0
        )

    def _passes_retry_schedule(self, request: RequestState, is_first: bool) -> bool:
        """Return whether to route the request; reject it if it came before its reserved retry time."""
        name = self.schedule_name(request)
        wait_s, request.is_scheduled = self.retry_schedule.check_in(self.now, request.retry_client, name)
        if wait_s:
            del self.requests[request.request_id]
            self.sink.reject(request.request_id, wait_s, Refusal.EARLY)
            return False
        if request.is_scheduled:  # a retry at its reserved time keeps its full utility
            request.priority_weight = 1.0
        if is_first:
            self.retry_schedule.record_new_request(self.now, self.statistics.transfer_s[request.class_index])
        return True

    def on_attempt_ended(self, end: AttemptEnded) -> None:
        """Update statistics from the end of an attempt, then retry or answer a request that is still open."""
        request = self.requests.get(end.request_id)
        server = self.endpoints.index.get(end.server)
        due_at = self.origin_breaker.fill_ended(end.request_id)
        if server is not None:
            self.endpoints.in_flight[server] = max(0, self.endpoints.in_flight[server] - 1)
        if request is None or server is None:
            return
        self.fills_in_flight -= request.fill.is_upstream
        if due_at is not None:
            self._record_fill_end(end, due_at)
        if end.result != _UNSENT:
            was_filled = request.fill.is_upstream and end.note != _HIT
            outcome = AttemptOutcome(
                request,
                server,
                end.result,
                end.took_s,
                end.note,
                end.waited_s,
                self.now,
                self.fills_in_flight,
                was_filled,
            )
            is_lagging = self.feedback.learn(outcome)
            self.fault_attribution.judge(outcome, is_lagging, self.sink)
        if request.is_scheduled and end.result == AttemptResult.SATISFIED:
            self.retry_schedule.counts["served"] += 1
        if end.copy is not None:
            self._keep_copy(request, end)
        if end.is_final or request.is_withdrawn:
            del self.requests[end.request_id]
        elif end.result == _UNSENT:
            # Nothing was executed, and drains, purges, budgets and windows may have changed since, so the
            # request is routed again from the start.
            request.attempts -= 1
            self.route(request)
        else:
            if end.result not in rules.NEVER_RAN and request.may_have_run is None:
                request.may_have_run = Ran(
                    self.endpoints.zone[server], self.endpoints.cell[server], request.sent_at
                )
            self.retry(request, end.result)

    def _record_fill_end(self, end: AttemptEnded, due_at: float) -> None:
        """Report a fill that ended at the origin to the origin's circuit breaker.

        A fill that was given up before it was due says nothing about the origin: its client had little time.
        """
        is_given_up = end.result in (AttemptResult.TIMEOUT, AttemptResult.CANCELLED)
        is_overdue = is_given_up and due_at < self.now
        is_broken_fill = end.note == ResponseNote.SOURCE_BROKE and end.result != AttemptResult.FULL
        if is_overdue or end.note in NOTES_FROM_ORIGIN or is_broken_fill:
            is_good = end.result == AttemptResult.SATISFIED and due_at >= self.now
            self.origin_breaker.record(self.now, is_good)

    def _keep_copy(self, request: RequestState, end: AttemptEnded) -> None:
        """Keep a response that other requests may be answered with.

        It is not kept if the object was purged after the copy was made: the purge may have been processed
        while the response was on its way.
        """
        request_class = request.request_class
        if request_class.idempotency is not Idempotency.REPEATABLE or request.is_uncacheable:
            return
        max_age_s = self.purges.max_age_s(request.object, request_class, self.now, accept_stale=True)
        is_recent_enough = not max_age_s or self.now - end.copy.made_at < max_age_s
        if is_recent_enough and end.copy.made_at > request.object.purged_at:
            name = request.class_index, request.object.code
            self.local_cache.keep(name, request.object, end.copy, request.request_id, self.sink)

    def on_withdrawn(self, withdrawn: RequestWithdrawn) -> None:
        """Mark a request as withdrawn; its state is dropped when its attempt ends."""
        if withdrawn.request_id in self.requests:
            self.requests[withdrawn.request_id].is_withdrawn = True

    def on_purge(self, purge: ObjectsPurged) -> None:
        """Record a purge, and drop the known holders and local copies of the purged objects."""
        purged_at = self.now - purge.age_s
        self.purges.add(self.now, purge.key or purge.group, purged_at)
        self.objects.record_purge(purge.key, purge.group, purged_at)
        self.local_cache.drop_purged(purge.key, purge.group, self.sink)

    def on_router_count(self, count: RouterCountChanged) -> None:
        """Divide the shared limits by the new numbers of routers."""
        self.slow_start[ServerRole.CACHE].routers = count.here
        self.slow_start[ServerRole.PARENT].routers = count.everywhere
        self.concurrency.routers = count.here
        self.fill_planner.routers_here = count.here

    # Routing

    def route(self, request: RequestState) -> None:
        """Send one attempt for a request, or its final response."""
        now = self.now
        time_left_s = request.deadline - now
        if time_left_s <= MIN_TIME_LEFT_S:
            return self.refuse(request, Refusal.NO_TIME)
        if request.attempts >= self.limits.max_attempts:
            return self.refuse(request, Refusal.ATTEMPTS_USED)
        if time_left_s < request.transfer_s + CACHE_OVERHEAD_S and self.respond_from_copy(request):
            return None
        share = fair_share(request, self.statistics)
        choice = self.selector.choose(request, min(1.0, share), now)
        if choice is None:
            return self._route_directly(request)
        if not choice.has_capacity:
            return self.refuse(request, Refusal.CROWDED)
        plan = self.fill_planner.plan(
            request, choice, fair_share=share, fills_in_flight=self.fills_in_flight, now=now
        )
        if isinstance(plan, Refusal):
            return self.refuse(request, plan)
        return self._send(
            request,
            choice.server,
            plan,
            retention=_retention(request),
            max_age_s=self._max_age_s(request, self._accepts_stale(request)),
            revalidates=request.request_class.fresh_s > 0,
        )

    def _route_directly(self, request: RequestState) -> None:
        """Send a request that no cache may serve directly to a parent or the origin, if that is allowed."""
        endpoints = self.endpoints
        if not self.fill_policy.allows_direct:
            return self.refuse(request, Refusal.NO_SERVER)
        if endpoints.local_caches and not self.retry_budget.take_token():
            return self.refuse(request, Refusal.NO_SERVER)
        work = self.statistics.transfer_s[request.class_index]
        server = self.eligibility.first_upstream(request, work, self.now)
        if (
            server is None
            or endpoints.in_flight[server] > MAX_DIRECT_IN_FLIGHT
            or not self.eligibility.may_repeat(server, request, self.now)
        ):
            return self.refuse(request, Refusal.NO_SERVER)
        plan = FillPlan(FillKind.NONE, server)
        return self._send(
            request,
            server,
            plan,
            retention=Retention.NONE,
            max_age_s=self._max_age_s(request, accept_stale=False),
            revalidates=False,
        )

    def _accepts_stale(self, request: RequestState) -> bool:
        """Return whether a stale copy will do, as it does while fills earn less utility."""
        return self.statistics.prefers_stale(request.class_index) or request.is_lookup_only

    def _max_age_s(self, request: RequestState, accept_stale: bool) -> float:
        """Return the maximum age of a copy in a cache that may answer a request; 0 means no limit."""
        max_age_s = self.purges.max_age_s(request.object, request.request_class, self.now, accept_stale)
        unheard_s = self.max_unheard_age_s()
        return max_age_s if unheard_s is None else min(max_age_s or unheard_s, unheard_s)

    def max_unheard_age_s(self) -> float | None:
        """Return the age from which a copy in a cache may be older than a purge that binds, but is not known.

        None if there is no such purge: caches have dropped older copies before a purge that a silent command
        channel does not tell binds this router.
        """
        may_outlive_telling = self.purges.settled_s > rules.TOLD_WITHIN_S
        if may_outlive_telling and self.now - self.purges_known_until > rules.TOLD_WITHIN_S:
            return rules.TOLD_WITHIN_S
        return None

    def _send(
        self,
        request: RequestState,
        server: int,
        plan: FillPlan,
        *,
        retention: Retention,
        max_age_s: float,
        revalidates: bool,
    ) -> None:
        """Record an attempt and forward it."""
        now = self.now
        request.attempts += 1
        request.server = server
        request.source = plan.source
        request.fill = plan.kind
        request.sent_at = now
        request.retention = retention
        self.endpoints.in_flight[server] += 1
        self.fills_in_flight += plan.kind.is_upstream
        if self._has_fault_notes and plan.kind is FillKind.UPSTREAM:
            due_at = now + full_utility_time_s(request, self.statistics)
            self.origin_breaker.fill_started(request.request_id, due_at)
        self.cache_outliers.note_attempt(server, now)
        self.parent_outliers.note_attempt(plan.source, now)
        ids = self.endpoints.ids
        joins_fill = self.fill_policy.joins_fills
        deadline = now + attempt_timeout_s(request, now, self.limits.max_attempts)
        cached_only = plan.kind.is_cached_only
        attempt = Attempt(
            ids[server],
            deadline,
            ids[plan.source],
            retention,
            max_age_s,
            joins_fill,
            cached_only,
            revalidates,
        )
        self.sink.forward(request.request_id, attempt)

    def retry(self, request: RequestState, result: AttemptResult) -> None:
        """Send another attempt or the final response after a failed attempt, without a second execution."""
        is_shed_or_missed = result in (AttemptResult.FULL, AttemptResult.MISS)
        # A failed sibling fill is retried from elsewhere without using the retry budget.
        if request.fill is FillKind.SIBLING and is_shed_or_missed:
            request.object.holders.pop(request.source, None)
            return self.route(request)
        if result == AttemptResult.MISS and request.fill is FillKind.UPSTREAM_CACHED:
            request.parent_missed = True
            return self.route(request)
        if result == AttemptResult.MISS and request.has_no_fill_source:
            request.lookup_missed = True
            if request.is_lookup_only:
                return self.refuse(request, Refusal.NOT_HELD)
            return self.route(request)
        self._note_failure(request, result)
        if request.may_have_run is not None and request.request_class.idempotency is Idempotency.ONCE:
            return self.refuse(request, Refusal.MAY_HAVE_RUN)
        # Without a retry budget the request is not filled again; only a cached copy, maybe stale, is tried.
        if not self.retry_budget.take_token():
            accepts_stale = request.request_class.stale_s > 0
            if request.is_lookup_only or request.has_no_fill_source or not accepts_stale:
                return self.refuse(request, Refusal.RETRY_BUDGET)
            request.is_lookup_only = True
        return self.route(request)

    def _note_failure(self, request: RequestState, result: AttemptResult) -> None:
        """Record which server or fill source failed a request, so that it is not chosen again for it."""
        is_first_fill_error = (
            result == AttemptResult.ERRORED and request.fills_upstream and not request.failed_sources
        )
        if result in (AttemptResult.FULL, AttemptResult.MISS) or is_first_fill_error:
            request.failed_sources.add(request.source)
        is_source_fault = request.source in request.failed_sources
        if not is_source_fault or request.has_no_fill_source or request.was_sent_to_holder:
            request.failed_servers.add(request.server)

    def _rebalance(self) -> None:
        """Adapt the sub-ranges to the load, and halve the request counts of objects."""
        self._rebalance_at = self.now + REBALANCE_S
        self.requests_counted = 0
        self.rings.rebalance(lambda server: self.endpoints.weight[server] or 1.0)
        self.objects.halve_counts()


def _retention(request: RequestState) -> Retention:
    """Return the priority with which a cache should keep the object."""
    if request.is_uncacheable:
        return Retention.NONE
    return _IN_DEMAND if request.object.count >= IN_DEMAND_COUNT else _NORMAL
