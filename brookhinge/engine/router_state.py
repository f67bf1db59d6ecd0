"""All state of the router on sockets, changed in one place: (now, events) -> effects. No I/O, no clock.

Each concern has a class of its own in this package; here they are joined. A round applies the events, gives
up attempts whose time is over, and lets the decisions process what follows: their decisions become effects.
What is sent and responded is checked against a record of its own just before (`invariants.py`). Times are
seconds since the router's start. Nothing here knows of any wire.
"""

from __future__ import annotations

import itertools
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
from brookhinge.engine.open_requests import RequestTable
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

PURGES_KEPT_S = 1.0  # beyond the time after which the settings take an old copy to be gone


class RouterState:
    """The router's state and the decisions that work on it.

    Attributes:
        decisions: The router of the decisions.
        requests: Open requests.
        clients: Clients' connections.
        coalescer: Requests that wait for the response to another.
        endpoints: The endpoint list.
        commands: The commands of the command channel, up to its cursor.
        fleet: What is exchanged with the fleet.
        sink: What carries out decisions.
        invariants: The record that acts are checked against.
        totals: What became of requests.
        scores: Outcomes by request class, or None.
        context: What the current round has gathered.
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
    ) -> None:
        """Join the concerns.

        Args:
            decisions: The router of the decisions.
            class_names: Names of the request classes, by index.
            zones: Names of the zones, by index.
            lineage: Recognizes clients' retries; None: none are recognized.
            safety_notices: What peers have notified; None: there are no peers.
            scores: Counts outcomes by request class, or None.
            is_traced: Whether each step of each request is an effect `WriteTrace`.
        """
        self.decisions = decisions
        self.scores = scores
        self.context = RoundContext(is_traced=is_traced)
        self.requests = RequestTable()
        self.clients = ClientTable()
        self.totals = Totals()
        purge_kept_s = decisions.purges.settled_s + PURGES_KEPT_S
        self.invariants = Invariants(purge_kept_s, decisions.slow_start_bound)
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
        self.current: events.Event | tuple | None = None  # the event or message that is handled

    def event_handlers(self) -> dict[type[events.Event], Callable]:
        """The handler of each class of events."""
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
            events.RouterCountChanged: self.fleet.on_router_count_changed,
            events.QuotasAssigned: self.fleet.on_quotas_assigned,
            events.OutlierVerdictsChanged: self.fleet.on_outlier_verdicts_changed,
            events.WarmStartReceived: self.fleet.on_warm_start_received,
            events.ShutdownBegan: self.on_shutdown,
        }

    # a round

    def reduce(self, now: float, posted: Sequence[events.Event], is_caught_up: bool = True) -> list[Effect]:
        """Run one round: the posted events, then the timers that have expired, then the decisions.

        Args:
            now: Seconds since the start.
            posted: Events since the last round.
            is_caught_up: Whether every purge notified before this moment may be taken to be known; else no
                copy of the router's own is a response.

        Returns:
            What is to be done, in order.
        """
        self.decisions.knows_all_purges = is_caught_up
        self.context.begin(now)
        self.clients.closed.clear()
        if self.purges.is_first_round:
            self.purges.note_known_at_start(
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
        """Apply events; an exception costs the request of its event, not the router."""
        for self.current in posted:
            try:
                self.handlers[type(self.current)](self.current)
            except Exception as error:
                self.on_exception(error)

    def decide(self) -> None:
        """Let the decisions process the messages of this round.

        An exception costs the request that it came up with; the decisions go on with the next message.
        """
        # The inbox itself, no copy: ending a request here may add messages on it and its followers.
        inbox = self.iterate(itertools.chain(self.context.facts, self.context.inbox))
        while True:
            try:
                self.decisions.process(self.context.now, inbox, self.sink)
                return
            except Exception as error:
                self.on_exception(error)
                if self.current is None:
                    return

    def iterate(self, inbox: Iterable[tuple]) -> Iterator[tuple]:
        """Yield messages for the decisions; `current` is the one that they are at."""
        for self.current in inbox:
            yield self.current
        self.current = None

    def next_at(self) -> float | None:
        """When the next attempt or follower runs out of time, or None."""
        times = (self.attempts.next_at(), self.coalescer.next_at())
        return min((at for at in times if at is not None), default=None)

    # exceptions

    def on_exception(self, error: Exception) -> None:
        """Log an exception, and fail the request that it came up with."""
        step, request_id = self.current_step()
        if isinstance(error, InvariantError):
            self.sink.log_violation(request_id, error.violation)
        else:
            where = traceback.extract_tb(error.__traceback__)[-1]
            place = f"{where.name}, line {where.lineno}"
            self.sink.log(f"{type(error).__name__}: {error} ({place}) in {step}")
        request = self.requests.open.get(request_id)
        if request is not None:
            if not self.attempts.cancel(request):  # else the decisions still have to count what was out
                self.decisions.forget_request(request_id)
            self.responses.fail(request, Refusal.FAULT)

    def current_step(self) -> tuple[str, int | None]:
        """The name of what is handled, and the request that it is of, or None."""
        if self.current is None:
            return "round", None
        of_request = (
            events.AttemptEnded,
            messages.RequestArrived,
            messages.AttemptEnded,
            messages.RequestWithdrawn,
        )
        request_id = self.current.request_id if isinstance(self.current, of_request) else None
        return type(self.current).__name__, request_id

    # the process

    def on_shutdown(self, _event: events.ShutdownBegan) -> None:
        """Fail what is open: nothing more is decided, and what is read later is rejected."""
        self.context.is_shutting_down = True
        self.context.inbox.clear()
        self.coalescer.followers.clear()  # each has its own error
        for request in list(self.requests.open.values()):
            self.attempts.cancel(request)
            self.responses.fail(request, Refusal.STOPPING)

    # what connections ask

    def hold_reason(self, request_id: int, attempt: int) -> HeldBack | None:
        """Why a decided attempt may not be written now, by what was received since; None: it may."""
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
        """The client of an open request, and the number of its call."""
        call = self.requests.open[request_id].call
        return call.client, call.number
