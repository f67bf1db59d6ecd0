"""All state of a router that serves real sockets, as a reducer: (now, events) -> effects. No I/O, no clock.

Combines the components of this package. A round applies the events, cancels attempts that have timed out, and
passes the resulting messages to the decisions, whose decisions become effects. Attempts and responses are
checked against an independent record before they are emitted (`invariants.py`). Times are seconds since the
start of the router. No wire formats are used here.
"""

from __future__ import annotations

import itertools
import math
import traceback
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import TYPE_CHECKING

from brookhinge.decisions import messages
from brookhinge.decisions.rules import HeldBack, Refusal
from brookhinge.engine import events
from brookhinge.engine.attempts import AttemptTracker
from brookhinge.engine.client_events import ClientEvents
from brookhinge.engine.clients import ClientTable
from brookhinge.engine.coalescing import RequestCoalescer
from brookhinge.engine.command_events import CommandEvents
from brookhinge.engine.decision_sink import EngineSink
from brookhinge.engine.effects import Effect
from brookhinge.engine.endpoint_list import EndpointList
from brookhinge.engine.fleet_events import FleetEvents
from brookhinge.engine.invariants import InvariantError, Invariants
from brookhinge.engine.open_requests import DEFAULT_MAX_RAN_IDS, RequestTable
from brookhinge.engine.purges import PurgeRecorder
from brookhinge.engine.records import Records
from brookhinge.engine.responses import FinalResponses
from brookhinge.engine.round_context import RoundContext
from brookhinge.engine.totals import Totals

if TYPE_CHECKING:
    from brookhinge.decisions.router import Router
    from brookhinge.engine.scores import Scores
    from brookhinge.membership.safety_notices import SafetyNotices
    from brookhinge.overload.retry_lineage import RetryLineage

PURGE_RETENTION_MARGIN_S = 1.0  # added to the time after which, by the settings, no purged copy is left


class RouterState:
    """The router's state, and the decisions that are made on it.

    Attributes:
        decisions: Makes the routing decisions.
        requests: Open requests.
        clients: Records of client connections.
        coalescer: Requests that wait for the response to another one.
        attempts: Outstanding attempts.
        responses: Ends requests.
        client_events: Handles client events.
        purges: Records purges.
        endpoints: The endpoint list.
        commands: Handles commands of the command channel; holds its cursor.
        fleet: Handles events of the fleet and reports to it.
        sink: Converts decisions to effects.
        invariants: Checks attempts and responses.
        totals: Counters since the start.
        scores: Outcomes by request class, or None.
        context: Data of the current round.
        handlers: {event class: its handler}.
        current_input: The event or message that is being processed, or None.
    """

    def __init__(
        self,
        decisions: Router,
        class_names: Sequence[bytes],
        zones: Sequence[str],
        *,
        lineage: RetryLineage | None = None,
        safety_notices: SafetyNotices | None = None,
        scores: Scores | None = None,
        is_traced: bool = False,
        max_ran_ids: int = DEFAULT_MAX_RAN_IDS,
    ) -> None:
        """Create the components.

        Args:
            decisions: Makes the routing decisions.
            class_names: Names of the request classes, by index.
            zones: Names of the zones, by index.
            lineage: Recognizes clients' retries; None if they are not recognized.
            safety_notices: Notices exchanged with peers; None if there are no peers.
            scores: Counts outcomes by request class, or None.
            max_ran_ids: Maximum number of remembered ids of requests that may have been executed.
            is_traced: Whether to emit a `WriteTrace` effect for each step of each request.
        """
        self.decisions = decisions
        self.scores = scores
        self.context = RoundContext(is_traced=is_traced)
        self.requests = RequestTable(max_ran_ids)
        self.clients = ClientTable()
        self.totals = Totals()
        purge_retention_s = decisions.purges.settled_s + PURGE_RETENTION_MARGIN_S
        self.invariants = Invariants(purge_retention_s, decisions.slow_start_bound)
        records = Records(self.context, self.requests, self.clients, self.invariants, self.totals)
        self.coalescer = RequestCoalescer(records, lineage=lineage)
        self.attempts = AttemptTracker(records)
        self.responses = FinalResponses(
            records, attempts=self.attempts, coalescer=self.coalescer, scores=scores
        )
        self.client_events = ClientEvents(
            records,
            decisions=decisions,
            class_names=class_names,
            coalescer=self.coalescer,
            responses=self.responses,
        )
        self.purges = PurgeRecorder(records)
        self.endpoints = EndpointList(records, zones=zones, safety_notices=safety_notices)
        self.commands = CommandEvents(
            records, endpoints=self.endpoints, purges=self.purges, safety_notices=safety_notices
        )
        self.fleet = FleetEvents(
            records,
            decisions=decisions,
            endpoints=self.endpoints,
            purges=self.purges,
            safety_notices=safety_notices,
        )
        self.sink = EngineSink(
            records,
            decisions=decisions,
            attempts=self.attempts,
            responses=self.responses,
            endpoints=self.endpoints,
        )
        self.handlers = self.event_handlers()
        self.current_input: events.Event | tuple | None = None

    def event_handlers(self) -> dict[type[events.Event], Callable]:
        """Return the handler for each event class."""
        return {
            events.ClientConnected: self.client_events.on_connected,
            events.ClientDisconnected: self.client_events.on_disconnected,
            events.RequestReceived: self.client_events.on_request_received,
            events.RequestCancelled: self.client_events.on_request_cancelled,
            events.AttemptEnded: self.responses.on_attempt_ended,
            events.EndpointsListed: self.commands.on_endpoints_listed,
            events.ObjectsPurged: self.commands.on_objects_purged,
            events.CommandSkipped: self.commands.on_command_skipped,
            events.PeerNoticeReceived: self.fleet.on_peer_notice,
            events.PurgeLogEntryRead: self.fleet.on_log_entry,
            events.CopyRuleChanged: self.fleet.on_copy_rule_changed,
            events.RetainedPurgesRead: self.fleet.on_retained_purges,
            events.PurgeKnowledgeChanged: self.fleet.on_purge_knowledge_changed,
            events.RouterCountChanged: self.fleet.on_router_count_changed,
            events.QuotasAssigned: self.fleet.on_quotas_assigned,
            events.OutlierVerdictsChanged: self.fleet.on_outlier_verdicts_changed,
            events.WarmStartReceived: self.fleet.on_warm_start_received,
            events.ShutdownBegan: self.on_shutdown,
        }

    # Rounds.

    def reduce(
        self,
        now: float,
        posted: Sequence[events.Event],
        is_caught_up: bool = True,
        commands_known_until: float = math.inf,
    ) -> list[Effect]:
        """Run one round: apply posted events, then expired timers, then the decisions.

        Args:
            now: Seconds since the start.
            posted: Events since the last round.
            is_caught_up: Whether all purges sent before now can be assumed to be known. If not, the router's
                own copies are not used as responses.
            commands_known_until: Time up to which all commands of the command channel are known.

        Returns:
            The effects to carry out, in order.
        """
        self.decisions.knows_all_purges = is_caught_up
        self.decisions.purges_known_until = commands_known_until
        self.context.begin(now)
        self.clients.closed.clear()
        if self.purges.is_first_round:
            self.purges.record_known_at_start(
                event for event in posted if isinstance(event, events.ObjectsPurged)
            )
        self.apply(posted)
        self.attempts.expire()
        for request in self.coalescer.take_expired():
            self.responses.fail(request, Refusal.NO_TIME)
        self.decide()
        self.purges.is_first_round = False
        return self.context.effects

    def apply(self, posted: Iterable[events.Event]) -> None:
        """Apply events; an exception fails only the request of the event, not the router."""
        for self.current_input in posted:
            try:
                self.handlers[type(self.current_input)](self.current_input)
            except Exception as error:
                self.on_exception(error)

    def decide(self) -> None:
        """Let the decisions process the messages of this round.

        An exception fails only the request of the message; the decisions continue with the next message.
        """
        # Iterates over the inbox itself, not a copy: a request that ends here may add messages to it.
        inbox = self.iterate_inbox(itertools.chain(self.context.state_updates, self.context.inbox))
        while True:
            try:
                self.decisions.process(self.context.now, inbox, self.sink)
                return
            except Exception as error:
                self.on_exception(error)
                if self.current_input is None:
                    return

    def iterate_inbox(self, inbox: Iterable[tuple]) -> Iterator[tuple]:
        """Yield messages for the decisions; keep the one being processed in `current_input`."""
        for self.current_input in inbox:
            yield self.current_input
        self.current_input = None

    def next_at(self) -> float | None:
        """Return the time at which the next attempt or follower times out, or None."""
        times = (self.attempts.next_at(), self.coalescer.next_at())
        return min((at for at in times if at is not None), default=None)

    # Exceptions.

    def on_exception(self, error: Exception) -> None:
        """Log an exception, and fail the request that was being processed."""
        step, request_id = self.describe_current_input()
        if isinstance(error, InvariantError):
            self.sink.log_violation(request_id, error.violation)
        else:
            frame = traceback.extract_tb(error.__traceback__)[-1]
            location = f"{frame.name}, line {frame.lineno}"
            self.sink.log(f"{type(error).__name__}: {error} ({location}) in {step}")
        request = self.requests.open.get(request_id)
        if request is not None:
            # With an outstanding attempt, the decisions still need the request to count the attempt's end.
            if not self.attempts.cancel(request):
                self.decisions.forget_request(request_id)
            self.responses.fail(request, Refusal.FAULT)

    def describe_current_input(self) -> tuple[str, int | None]:
        """Return the class name of the input being processed, and the id of its request or None."""
        if self.current_input is None:
            return "round", None
        request_input_types = (
            events.AttemptEnded,
            messages.RequestArrived,
            messages.AttemptEnded,
            messages.RequestWithdrawn,
        )
        request_id = (
            self.current_input.request_id if isinstance(self.current_input, request_input_types) else None
        )
        return type(self.current_input).__name__, request_id

    # Shutdown.

    def on_shutdown(self, _event: events.ShutdownBegan) -> None:
        """Fail all open requests; no more decisions are made, and requests read later are rejected."""
        self.context.is_shutting_down = True
        self.context.inbox.clear()
        self.coalescer.followers.clear()  # followers fail on their own, like all open requests
        for request in list(self.requests.open.values()):
            self.attempts.cancel(request)
            self.responses.fail(request, Refusal.STOPPING)

    # Queries of connections.

    def hold_reason(self, request_id: int, attempt: int) -> HeldBack | None:
        """Return why a decided attempt must not be written any more, or None if it may be.

        Events since the decision can make it invalid: the end of the request, a purge, a change of the server
        or fill source, or a shutdown.
        """
        if not self.requests.has_attempt_out(request_id, attempt):
            return HeldBack.CLIENT_GONE
        request = self.requests.open[request_id]
        purge = self.invariants.purges.last(request.call.purge_group, request.key)
        is_purged = purge is not None and purge.known_at > request.sent_at
        may_send = self.invariants.may_send_to(request.server) and self.invariants.may_send_to(
            request.fill_from
        )
        return HeldBack.CHANGED if self.context.is_shutting_down or is_purged or not may_send else None

    def client_and_number(self, request_id: int) -> tuple[int, int]:
        """Return the client of an open request, and its call number."""
        call = self.requests.open[request_id].call
        return call.client, call.number
