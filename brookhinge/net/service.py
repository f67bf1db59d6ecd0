"""The router on sockets as an embeddable object.

`await Service(site).run()` serves until `stop()` is called.
"""

from __future__ import annotations

import asyncio
import gc
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from brookhinge.decisions.memory_limits import max_remembered_ids, memory_limits
from brookhinge.decisions.rules import Refusal
from brookhinge.engine.commands import read_commands
from brookhinge.engine.effects import (
    CancelAttempt,
    CloseClient,
    FailRequest,
    NotifyPeers,
    RefuseCall,
    RejectRequest,
    Respond,
    RetireServer,
    SendAttempt,
    WriteLog,
    WriteTrace,
)
from brookhinge.engine.events import ShutdownBegan
from brookhinge.engine.invariants import Invariant
from brookhinge.engine.lifecycle import Lifecycle, Phase
from brookhinge.engine.log import Log
from brookhinge.engine.loop_watch import LoopWatch, Stall
from brookhinge.engine.router_state import RouterState
from brookhinge.engine.scheduler import EventScheduler
from brookhinge.net.client_connections import ClientConnections
from brookhinge.net.command_channel import CommandChannel
from brookhinge.net.fleet_wiring import FleetLink, router_class, safety_notices
from brookhinge.net.graceful_shutdown import GracefulShutdown
from brookhinge.net.heap_trimmer import HeapTrimmer
from brookhinge.net.listener import RETRY_ACCEPT_S, SHORTAGES
from brookhinge.net.memory_use import MemoryUse
from brookhinge.net.metrics_report import MetricsReport
from brookhinge.net.stamp_clock import StampClock
from brookhinge.net.upstream_connections import UpstreamConnections
from brookhinge.net.write_guard import WriteGuard
from brookhinge.startup import Site

if TYPE_CHECKING:
    from brookhinge.operator.settings import Control, Fleet
    from brookhinge.overload.ingress import Ingress

RESERVED_DESCRIPTORS = 24  # not available to client or upstream connections
MIN_CLIENT_DESCRIPTORS = 8
STALE_ATTEMPT_S = 0.05  # an attempt that waited longer for its connection is decided again
LISTEN_TIMEOUT_S = 8.0  # maximum wait at startup for a socket to listen on
SWEEP_INTERVAL_S = 0.05  # between checks for idle and silent connections


class Service:
    """Connects the sockets to the engine, from startup to exit."""

    def __init__(
        self,
        site: Site,
        log: Callable[..., None] | None = None,
        *,
        fleet: Fleet | None = None,
        controls: dict[str, Control] | None = None,
        listener_fd: int | None = None,
        scores_interval_s: float = 0.0,
        trace: Callable[..., None] | None = None,
    ) -> None:
        """Build a router that serves once `run` is awaited.

        Args:
            site: Configuration of the router.
            log: Called as log(event, **values); None for the JSON log on standard output.
            fleet: The operator file's `fleet` block for this router; None if it shares no state with peers.
            controls: The `control` blocks of that file by name.
            listener_fd: Descriptor of a listening socket that an agent holds; None to open one.
            scores_interval_s: Seconds between log lines of request scores; 0 to log none.
            trace: Called as trace(step, request id, **values) for each request and connection
                (engine/trace.py); None for no trace.
        """
        self.site = site
        self.log = log or Log(site.name)
        self._listener_fd = listener_fd
        self._scores_interval_s = scores_interval_s
        self.tracer = trace
        self.started_at = time.time()
        self._monotonic_started_at = time.monotonic()
        self.watch = LoopWatch(self.now)
        self.watch.stall_listeners.append(self._log_stall)
        self.lifecycle = Lifecycle(self.log)
        self.state = self._build_state(fleet)
        self.scheduler = EventScheduler(
            self.state,
            self.watch,
            self.log,
            self.is_current,
            commands_known_until=lambda: self.command_channel.known_until,
        )
        self.post = self.scheduler.post
        self.ingress = None
        upstream_sockets = site.bounds.sockets // 3
        client_sockets = max(
            MIN_CLIENT_DESCRIPTORS, site.bounds.sockets - upstream_sockets - RESERVED_DESCRIPTORS
        )
        if site.detects_overload:
            self.ingress = self._build_ingress(client_sockets)
        self.memory = MemoryUse(memory_limits(site.bounds.memory_mb))
        self.heap_trimmer = HeapTrimmer(self.memory)
        self.client_connections = self._build_client_connections(client_sockets)
        cursor, known_commands = read_commands(site.initial_commands, self.started_at)
        self.command_channel = self._build_command_channel(cursor)
        self.write_guard = self._build_write_guard()
        self.upstream_connections = self._build_upstream_connections(upstream_sockets)
        self.scheduler.after_round.append(self.upstream_connections.answers.release_posted)
        self.metrics = self._build_metrics()
        self.shutdown = self._build_shutdown()
        self._register_effects()
        self.fleet_link = None
        if fleet is not None:
            self.fleet_link = self._build_fleet_link(fleet, controls or {})
        for event in known_commands:
            self.post(event)

    # construction

    def _build_state(self, fleet: Fleet | None) -> RouterState:
        decisions = self.site.decisions
        request_classes = decisions.request_classes
        scores = lineage = retry_schedule = None
        if self._scores_interval_s:
            from brookhinge.engine.scores import Scores

            scores = Scores(request_classes, decisions.fill_policy.transfer_kb_s)
        if self.site.detects_overload:
            from brookhinge.overload.retry_lineage import RetryLineage
            from brookhinge.overload.retry_schedule import RetrySchedule

            lineage = RetryLineage()
            retry_schedule = RetrySchedule(decisions.limits.max_retry_after_s)
        router = router_class(fleet)(
            self.site.seed, machine=self.site.bounds, retry_schedule=retry_schedule, **decisions._asdict()
        )
        return RouterState(
            router,
            [request_class.name.encode() for request_class in request_classes],
            self.site.zones,
            lineage=lineage,
            safety_notices=safety_notices(self.started_at) if fleet is not None else None,
            scores=scores,
            is_traced=self.tracer is not None,
            max_ran_ids=max_remembered_ids(self.site.bounds.memory_mb),
        )

    def _build_ingress(self, client_sockets: int) -> Ingress:
        from brookhinge.overload.ingress import Ingress

        return Ingress(client_sockets)

    def _build_client_connections(self, sockets: int) -> ClientConnections:
        return ClientConnections(
            post=self.post,
            log=self.log,
            is_ready=lambda: self.lifecycle.is_ready,
            count_shed=self._count_shed,
            record_violation=self._record_violation,
            watch=self.watch,
            max_timeout_s={
                request_class.name.encode(): request_class.timeout_s
                for request_class in self.site.decisions.request_classes
            },
            max_connections=sockets,
            memory=self.memory,
            ingress=self.ingress,
            trace=self.tracer,
        )

    def _build_upstream_connections(self, sockets: int) -> UpstreamConnections:
        return UpstreamConnections(
            post=self.post,
            log=self.log,
            now=self.now,
            since_start=StampClock(self.started_at, self.now).since_start,
            settings=self.site.upstream,
            max_connections=sockets,
            memory=self.memory,
            load_columns=self.site.load_columns,
            max_wait_s=STALE_ATTEMPT_S,
            hold_reason=self.write_guard.hold_reason,
            trace=self.tracer,
            watch=self.watch,
        )

    def _build_command_channel(self, cursor: int) -> CommandChannel:
        return CommandChannel(
            self.post, self.log, self.site.command_channel, cursor, self.started_at, watch=self.watch
        )

    def _build_write_guard(self) -> WriteGuard:
        return WriteGuard(
            now=self.now,
            state=self.state,
            scheduler=self.scheduler,
            command_channel=self.command_channel,
            client_connections=self.client_connections,
        )

    def _build_metrics(self) -> MetricsReport:
        return MetricsReport(
            now=self.now,
            log=self.log,
            state=self.state,
            watch=self.watch,
            client_connections=self.client_connections,
            upstream_connections=self.upstream_connections,
            memory=self.memory,
        )

    def _build_shutdown(self) -> GracefulShutdown:
        request_classes = self.site.decisions.request_classes
        return GracefulShutdown(
            now=self.now,
            lifecycle=self.lifecycle,
            has_open_work=self._has_open_work,
            fail_open_requests=lambda: self.post(ShutdownBegan()),
            client_connections=self.client_connections,
            longest_deadline_s=max(request_class.timeout_s for request_class in request_classes),
        )

    def _build_fleet_link(self, fleet: Fleet, controls: dict[str, Control]) -> FleetLink:
        link = FleetLink(fleet, controls, site=self.site, state=self.state, post=self.post, log=self.log)
        self.scheduler.before_round.extend(link.before_round)
        self.scheduler.register({NotifyPeers: link.notify_peers})
        return link

    def _register_effects(self) -> None:
        clients = self.client_connections
        upstream = self.upstream_connections
        self.scheduler.register(
            {
                Respond: clients.respond,
                RejectRequest: clients.reject,
                FailRequest: clients.fail,
                RefuseCall: clients.refuse_call,
                CloseClient: clients.close_client,
            },
            on_failed=clients.drop_after_failure,
        )
        self.scheduler.register(
            {SendAttempt: upstream.send_attempt}, on_failed=upstream.end_failed, on_stale=upstream.end_stale
        )
        self.scheduler.register(
            {
                CancelAttempt: upstream.cancel_attempt,
                RetireServer: upstream.retire_server,
                WriteLog: self.write_log,
                WriteTrace: self.write_trace,
            }
        )

    # state queried by the components

    def now(self) -> float:
        """Return the seconds since the router started, by the monotonic clock.

        `started_at` is the Unix time of the start.
        """
        return time.monotonic() - self._monotonic_started_at

    def is_current(self) -> bool:
        """Return whether all commands that arrived during the last stall are known.

        Always true during shutdown, when nothing more is sent.
        """
        return self.state.context.is_shutting_down or self.command_channel.is_current()

    def _has_open_work(self) -> bool:
        return bool(
            self.scheduler.events or self.state.requests.open or self.client_connections.listener.open
        )

    # effects

    def write_log(self, effect: WriteLog) -> None:
        """Write a log line."""
        self.log(effect.event, **effect.values)

    def write_trace(self, effect: WriteTrace) -> None:
        """Write a request's step to the trace."""
        self.tracer(effect.step, effect.client_request_id, **effect.values)

    def _log_stall(self, stall: Stall) -> None:
        self.log(
            "stalled",
            for_s=round(stall.ended_at - stall.began_at, 3),
            processor_s=round(stall.processor_s, 3),
        )

    def _count_shed(self) -> None:
        totals = self.state.totals
        totals.counts["queries"] += 1
        totals.counts["nacked"] += 1
        totals.refusals[Refusal.MEMORY] += 1

    def _record_violation(self, invariant: Invariant, detail: str) -> None:
        self.state.invariants.record_violation(invariant, detail)
        self.log("violation", invariant=invariant, detail=detail)

    def _log_loop_exception(self, _loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        self.log("fault", where=context.get("message"), why=repr(context.get("exception")))

    # lifecycle

    async def run(self) -> None:
        """Serve until `stop` is called, and return once all requests are answered.

        Raises:
            OSError: The listen address or the fleet address cannot be bound.
        """
        asyncio.get_running_loop().set_exception_handler(self._log_loop_exception)
        self.watch.begin()
        self.scheduler.open()  # applies the commands known at startup before the first request
        host, port = await self._listen()
        if self.fleet_link is not None and self._listener_fd is None:
            await self.fleet_link.join()
        self.lifecycle.advance(Phase.READY)
        gc.collect()
        gc.freeze()
        tasks = self._start_tasks()
        self.log("listening", address=f"{host}:{port}")
        if self.shutdown.is_requested:
            self.shutdown.request()
        await self.shutdown.done.wait()
        for task in tasks:
            task.cancel()
        await self._close()
        self.log("totals", **self.metrics.counts(), **self.metrics.reasons())
        self.lifecycle.advance(Phase.ENDED)

    async def _listen(self) -> tuple[str, int]:
        """Listen for clients and return the address.

        A shortage of system resources is temporary, so retries until LISTEN_TIMEOUT_S has passed.
        """
        deadline = self.now() + LISTEN_TIMEOUT_S
        while True:
            try:
                return self.client_connections.listen(*self.site.listen, self._listener_fd)
            except OSError as error:
                if error.errno not in SHORTAGES or self.now() > deadline:
                    raise
                self.log("not accepting", why=f"no socket: {error.strerror}")
            await asyncio.sleep(RETRY_ACCEPT_S)

    def _start_tasks(self) -> list[asyncio.Task]:
        coroutines = [
            self.command_channel.run(),
            self.metrics.run(),
            self.heap_trimmer.run(),
            self._sweep(),
        ]
        if self._scores_interval_s:
            coroutines.append(self.metrics.log_scores(self._scores_interval_s))
        if self.fleet_link is not None and self._listener_fd is not None:
            coroutines.append(self.fleet_link.join_after_predecessor())
        loop = asyncio.get_running_loop()
        return [loop.create_task(coroutine) for coroutine in coroutines]

    async def _sweep(self) -> None:
        while True:
            due = self.now() + SWEEP_INTERVAL_S
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.watch.tick()
            self.heap_trimmer.note_held()
            if not self.scheduler.is_catching_up():  # while catching up, silence may only mean unread input
                self.upstream_connections.sweep()
                self.client_connections.sweep()
            if self.ingress is not None:
                self._detect_overload(due)

    def _detect_overload(self, due: float) -> None:
        counts = self.state.totals.counts
        now = self.now()
        change = self.ingress.update(now, now - due, counts["queries"], counts["again"] + counts["beside"])
        if change is not None:
            self.log("storm", **change._asdict())

    def reload(self, site: Site) -> None:
        """Switch to the command channel of a new configuration; all other settings apply only at startup."""
        host, port = site.command_channel
        self.log("configuration", channel=f"{host}:{port}")
        self.command_channel.change_address(site.command_channel)

    def stop(self) -> None:
        """Shut down gracefully: drain, answer open requests, then return from `run`."""
        self.shutdown.request()

    async def _close(self) -> None:
        self.command_channel.close()
        self.scheduler.finish()
        self.client_connections.listener.close()
        await self.client_connections.end(self.shutdown.read_deadline())
        self.upstream_connections.close_all()
        if self.fleet_link is not None:
            await self.fleet_link.leave()
