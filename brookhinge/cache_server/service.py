"""The cache server: connects the line server, the store, the command channel and the fills."""

import asyncio
import time
from collections.abc import Callable

from brookhinge.cache_server import cache_policy, protocol
from brookhinge.cache_server.answers import AnswerEncoder
from brookhinge.cache_server.cache_policy import (
    FRESH_UNTIL_PURGED,
    SERVER_READY,
    Action,
    CachedCopy,
    Decision,
    FillState,
    Freshness,
    PurgeKnowledge,
)
from brookhinge.cache_server.clocks import Clocks
from brookhinge.cache_server.command_channel import AcknowledgingChannel
from brookhinge.cache_server.command_handler import CommandHandler
from brookhinge.cache_server.fills import Fill, FillManager
from brookhinge.cache_server.line_server import LineServer
from brookhinge.cache_server.protocol import Request
from brookhinge.cache_server.server_list import ServerList
from brookhinge.decisions import rules
from brookhinge.decisions.rules import AttemptResult
from brookhinge.operator.settings import CacheServerSettings, StoreSettings
from brookhinge.store import DiskTier, DiskTimings, ReadResult, Store
from brookhinge.store.files import Files
from brookhinge.store.purge_ledger import NEVER

_MB = 1024 * 1024
_LOG_INTERVAL_S = 10.0
_SWEEP_INTERVAL_S = 0.05

# These names appear in logs and metrics.
_COUNTERS = (
    "queries",
    "hit",
    "stale",
    "filled",
    "via_origin",
    "joined",
    "absent",
    "full",
    "failed",
    "unchanged",
    "renewed",
    "sent_bytes",
    "filled_bytes",
    "purges",
    "gaps",
    "unheard",  # copies that were found but may have been purged in a silence of the channel
)


def _ignore_event(event: str, **values: object) -> None:
    """Discard an event."""


class CacheServer:
    """A cache server of the platform's protocol."""

    def __init__(
        self,
        settings: CacheServerSettings,
        log_event: Callable[..., None] = _ignore_event,
        *,
        files: Files | None = None,
        wall: Callable[[], float] = time.time,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a server that has not started.

        Args:
            settings: Settings from the server's block in the operator's file.
            log_event: Called with the name of an event and its values as keyword arguments.
            files: File layer to use in place of the folder in the settings.
            wall: Wall clock, which dates the copies.
            monotonic: Monotonic clock.
        """
        self._settings = settings
        self._log_event = log_event
        self._freshness = {name.encode(): Freshness(*ages) for name, ages in settings.tracks.items()}
        self.clocks = Clocks(wall, monotonic)
        self.counters = dict.fromkeys(_COUNTERS, 0)
        self.store = _make_store(settings.store, files, log_event, monotonic)
        self.servers = ServerList(settings.name, settings.parent_kind, settings.origin_kind)
        self.fills = FillManager(
            self.store,
            self.servers,
            self.clocks,
            self.counters,
            settings,
            log_event,
            purge_knowledge=self._purge_knowledge,
        )
        self.commands = CommandHandler(
            self.store,
            self.servers,
            self.fills,
            self.clocks,
            self.counters,
            log_event=log_event,
            is_synchronized=lambda: self.channel.is_synchronized,
        )
        self.channel = AcknowledgingChannel(
            self.commands.handle,
            log_event,
            settings.channel,
            self.clocks.started_at,
            now=self.clocks.now,
            durable_up_to=self.commands.durable_up_to,
            on_gap=self.commands.on_gap,
            on_current=self.commands.on_current,
        )
        self.line_server = LineServer(self.answer, log_event, self.clocks.now, settings.idle_s)
        self._answers = AnswerEncoder(self.counters, settings.reports, self._load)
        self._tasks: list[asyncio.Task] = []
        self._is_silent = False  # whether the channel was silent at the last sweep

    # Starting and stopping

    async def start(self) -> tuple[str, int]:
        """Listen, begin to open the store and return the address."""
        await self.store.start()
        if self.store.opened is not None:
            self.store.opened.add_done_callback(self._limit_purge_dates)
        address = self.line_server.listen(*self._settings.listen)
        loops = (self.channel.run, self._sweep, self._log_stats)
        self._tasks = [asyncio.ensure_future(loop()) for loop in loops]
        host, port = address
        self._log_event("listening", address=f"{host}:{port}")
        return address

    async def stop(self) -> None:
        """Accept no new connections, drain open requests, then close the store with a last snapshot."""
        self.line_server.stop()
        await self.line_server.drain(self._settings.drain_s)
        self.line_server.close()
        for task in self._tasks:
            task.cancel()
        self.channel.close()
        self.fills.close()
        await self.store.close()
        self._log_event("ended")

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            self._check_clock()
            self._check_silence()
            self.fills.sweep()

    def _check_clock(self) -> None:
        """Require revalidation of all copies if the wall clock stepped back, as they would look too young."""
        step_back_s = self.clocks.measure_step_back()
        if step_back_s:
            self._log_event("clock stepped back", by_s=round(step_back_s, 3))
            self.store.require_revalidation()
            self._limit_purge_dates()

    def _check_silence(self) -> None:
        """Log when a silence of the channel begins to make copies need revalidation, and when it ends."""
        knowledge = self._purge_knowledge()
        was_silent = self._is_silent
        self._is_silent = not knowledge.is_complete
        if self._is_silent and not was_silent:
            self._log_event("channel silent", max_age_s=round(knowledge.max_copy_age_s, 2))
        elif was_silent and not self._is_silent:
            self._log_event("channel heard")

    def _limit_purge_dates(self, _opened: asyncio.Future | None = None) -> None:
        self.store.limit_purge_dates(self.clocks.wall_now())

    async def _log_stats(self) -> None:
        while True:
            await asyncio.sleep(_LOG_INTERVAL_S)
            self._log_event(
                "figures", **self.stats(), open=self.line_server.open_requests(), fills=self.fills.running()
            )

    def stats(self) -> dict[str, int | str]:
        """Return the counters since the start and the state of the store, for logs and metrics."""
        return {**self.counters, **self.store.stats()}

    def _load(self) -> dict[str, float]:
        return {
            "util": self.fills.running() / self.fills.limit,
            "inflight": self.line_server.open_requests(),
            "queue": self.store.waiting_reads(),
            "x1": self.fills.running(),
        }

    # Requests

    async def answer(self, request_id: bytes, fields: bytes, _body: bytes) -> bytes:
        """Return the encoded answer to one request.

        Raises:
            UnusableRequestError: A field is missing or out of range.
        """
        request = protocol.decode_request(fields)
        self.counters["queries"] += 1
        received_at = self.clocks.now()
        freshness = self._freshness.get(request.request_class, FRESH_UNTIL_PURGED)
        copy = await self._read_copy(request)
        max_age_s = self._max_fill_age_s(request, freshness, copy)
        fill = self.fills.joinable(request.object_key, request.part, max_age_s)
        decision = self._decide(request, freshness, copy, fill)
        match decision.action:
            case Action.SERVE:
                return self._answers.copy(request_id, request, copy, decision.note, 0.0)
            case Action.SERVE_AND_REVALIDATE:
                self.counters["renewed"] += 1
                self.fills.start(request, copy, freshness.fresh_s)
                return self._answers.copy(request_id, request, copy, decision.note, 0.0)
            case Action.ABSENT:
                return self._answers.without_copy(request_id, protocol.ABSENT, decision.note)
            case Action.FULL:
                return self._answers.without_copy(request_id, protocol.FULL, decision.note)
            case Action.FILL:
                fill = self.fills.start(request, copy, max_age_s)
        return await self._answer_from_fill(request_id, request, fill, decision, received_at)

    async def _read_copy(self, request: Request) -> ReadResult | None:
        copy = await self.store.get(request.object_key, request.part, request.timeout_s)
        if copy is None:
            return None
        if not rules.stamp_is_plausible(self.clocks.wall_now(), copy.dated):
            # dated before a clock was set back, so its age is unknown
            copy = copy._replace(needs_revalidation=True, dated=0.0)
        if self._may_have_been_purged_unheard(copy):
            self.counters["unheard"] += 1
            copy = copy._replace(needs_revalidation=True)
        return copy

    def _purge_knowledge(self) -> PurgeKnowledge:
        now = self.clocks.now()
        current_since = self.commands.current_since
        current_for_s = None if current_since is None else now - current_since
        return PurgeKnowledge(current_for_s, now - self.channel.known_until, self._settings.purge_s)

    def _may_have_been_purged_unheard(self, copy: ReadResult) -> bool:
        """Return whether a purge that has settled by now may have hit a copy without being known."""
        return self.clocks.wall_now() - copy.dated > self._purge_knowledge().max_copy_age_s

    def _decide(
        self, request: Request, freshness: Freshness, copy: ReadResult | None, fill: Fill | None
    ) -> Decision:
        cached_copy = None
        if copy is not None:
            age_s = max(0.0, self.clocks.wall_now() - copy.dated)
            cached_copy = CachedCopy(age_s, copy.needs_revalidation)
        source_is_ready = self.servers.health_of(request.source) == SERVER_READY
        fill_state = FillState(source_is_ready, fill is not None, self.fills.running(), self.fills.limit)
        return cache_policy.decide(request, freshness, cached_copy, fill_state)

    def _max_fill_age_s(self, request: Request, freshness: Freshness, copy: ReadResult | None) -> float:
        """Return the maximum age in seconds of a copy that a fill may bring; 0 is any age."""
        purges = self.store.purges
        if copy is None:  # the group of an object is known only from a copy
            purged_at = purges.objects.get(request.object_key, NEVER)
        else:
            purged_at = purges.purged_at(request.object_key, copy.group)
        return cache_policy.max_fill_age_s(
            request,
            freshness,
            self.clocks.wall_now() - purged_at if purged_at > NEVER else None,
            self._purge_knowledge(),
            needs_revalidation=copy is not None and copy.needs_revalidation,
            fill_timeout_s=self._settings.fill_s,
        )

    async def _answer_from_fill(
        self, request_id: bytes, request: Request, fill: Fill, decision: Decision, received_at: float
    ) -> bytes:
        result, copy, source_note = await asyncio.shield(fill.done)
        if result == AttemptResult.SATISFIED and self.store.purges.is_purged(
            request.object_key, copy.group, copy.dated
        ):
            result = AttemptResult.ERRORED  # purged during the fill
        if result == AttemptResult.SATISFIED and self._may_have_been_purged_unheard(copy):
            result = AttemptResult.ERRORED  # the channel fell silent during the fill
        unchanged = copy is not None and fill.stored_copy is not None and copy.body is fill.stored_copy.body
        answer = cache_policy.answer_to_fill(result, source_note, fill.source_is_origin, unchanged)
        if answer.status != protocol.DATA:
            return self._answers.without_copy(request_id, answer.status, answer.note)
        note = decision.note if decision.action is Action.JOIN_FILL else answer.note
        return self._answers.copy(request_id, request, copy, note, self.clocks.now() - received_at)


def _make_store(
    settings: StoreSettings, files: Files | None, log_event: Callable[..., None], now: Callable[[], float]
) -> Store:
    disk = None
    if settings.dir or files:
        disk = DiskTier(
            files or Files(settings.dir),
            settings.disk_mb * _MB,
            settings.segment_mb * _MB,
            log_event=log_event,
        )
    return Store(
        int(settings.memory_mb * _MB),
        disk,
        log_event=log_event,
        timings=DiskTimings(settings.stall_s, settings.sync_s, settings.snapshot_s),
        now=now,
    )
