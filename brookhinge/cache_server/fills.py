"""Fills: fetches copies from other servers and stores them.

A fill continues when the request that started it is withdrawn, because other requests may have joined it.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from brookhinge.cache_server import protocol
from brookhinge.cache_server.cache_policy import PurgeKnowledge
from brookhinge.cache_server.clocks import Clocks
from brookhinge.cache_server.protocol import Request
from brookhinge.cache_server.server_list import ServerList, instance_of
from brookhinge.decisions import rules
from brookhinge.decisions.memory_limits import MemoryLimits
from brookhinge.decisions.rules import AttemptResult
from brookhinge.engine.effects import CancelAttempt, RetireServer, SendAttempt
from brookhinge.engine.endpoints import ListedEndpoint, ServerInstance
from brookhinge.engine.events import AttemptEnded
from brookhinge.net.memory_use import MemoryUse
from brookhinge.net.upstream_connections import UpstreamConnections
from brookhinge.operator.settings import CacheServerSettings
from brookhinge.startup import UpstreamSettings
from brookhinge.store import Copy, ReadResult, Store
from brookhinge.store.copies import MAX_GROUP, UNKNOWN_GROUP
from brookhinge.store.purge_ledger import NEVER, Purge, PurgeKind

_MAX_CONNECTIONS = 256
_MAX_ANSWER_BYTES = 32 * 1024 * 1024  # answers that are incomplete, of all sources together
_REQUESTS_PER_CONNECTION = 64
_ONLY_ATTEMPT = 1
# keeps a copy that was requested as younger than a purge from counting as exactly as old as the purge
_AGE_BOUND_MARGIN_S = 0.001


class FillResult(NamedTuple):
    """The outcome of a fill.

    Attributes:
        result: Result of the attempt at the source.
        copy: The copy; None unless the fill succeeded.
        source_note: Number of the note in the source's answer, as in `net/cachewire.py`.
    """

    result: AttemptResult
    copy: ReadResult | None
    source_note: int


@dataclass(slots=True, eq=False)
class Fill:
    """One fill under way.

    Attributes:
        object_key: Key of the object.
        part: Number of the part.
        rank: Eviction rank of the copy.
        max_age_s: Maximum age of the copy that the fill may bring; 0 is any age.
        started_at: When the fill began, in seconds of the server's clock.
        stored_copy: The stored copy, which the source may confirm as unchanged; None if there is none.
        keeps_copy: Whether a new copy is stored.
        source_is_origin: Whether the source is the origin.
        done: Completed with the FillResult.
        purged_at: Unix time of the last purge that hit the object during the fill.
        purge_date_is_uncertain: Whether dates cannot tell if that purge hits what the source issues.
    """

    object_key: bytes
    part: int
    rank: int
    max_age_s: float
    started_at: float
    stored_copy: ReadResult | None
    keeps_copy: bool
    source_is_origin: bool
    done: asyncio.Future
    purged_at: float = NEVER
    purge_date_is_uncertain: bool = False


class FillManager:
    """Runs the fills of one cache server."""

    def __init__(
        self,
        store: Store,
        servers: ServerList,
        clocks: Clocks,
        counters: dict[str, int],
        settings: CacheServerSettings,
        log_event: Callable[..., None],
        *,
        purge_knowledge: Callable[[], PurgeKnowledge],
    ) -> None:
        """Create a manager without connections.

        Args:
            store: The store for the copies.
            servers: The server list, with the sources.
            clocks: The clocks of the server.
            counters: Counters of the server; `filled_bytes` is counted here.
            settings: Settings of the server, with the limit and the timeouts of fills and their connections.
            log_event: Called with the name of an event and its values as keyword arguments.
            purge_knowledge: Returns what the server can know of purges now.
        """
        self.limit = settings.fills
        self._purge_knowledge = purge_knowledge
        self._store = store
        self._servers = servers
        self._clocks = clocks
        self._counters = counters
        self._timeout_s = settings.fill_s
        self._last_number = 0
        self._fills: dict[int, Fill] = {}
        self._joinable: dict[tuple[bytes, int], Fill] = {}
        self._upstream = UpstreamConnections(
            post=self._on_attempt_ended,
            log=log_event,
            now=clocks.now,
            since_start=lambda stamp: stamp - clocks.started_at,
            settings=UpstreamSettings(settings.connect_s, settings.idle_s, _REQUESTS_PER_CONNECTION),
            max_connections=_MAX_CONNECTIONS,
            memory=MemoryUse(MemoryLimits(0, 0, 0, answer_bytes=_MAX_ANSWER_BYTES)),
        )

    # Starting and joining fills

    def running(self) -> int:
        """Return the number of fills under way."""
        return len(self._fills)

    def joinable(self, object_key: bytes, part: int, max_age_s: float) -> Fill | None:
        """Return the latest fill of a part; None if its copy may be older than `max_age_s` (0 is any age)."""
        fill = self._joinable.get((object_key, part))
        if fill is None or not max_age_s or (fill.max_age_s and fill.max_age_s <= max_age_s):
            return fill
        return None

    def start(self, request: Request, stored_copy: ReadResult | None, max_age_s: float) -> Fill:
        """Start a fill from the source that a request names.

        Args:
            request: The request.
            stored_copy: The stored copy, or None. Its tag is sent to the source, which then answers without a
                body if it has the same copy.
            max_age_s: Maximum age of the copy that the fill may bring; 0 is any age.
        """
        self._last_number += 1
        number = self._last_number
        endpoint = self._servers.servers[request.source]
        fill = Fill(
            object_key=request.object_key,
            part=request.part,
            rank=request.rank,
            max_age_s=max_age_s,
            started_at=self._clocks.now(),
            stored_copy=stored_copy,
            keeps_copy=not (request.skips_cache and self._servers.is_parent),
            source_is_origin=self._servers.is_origin(endpoint),
            done=asyncio.get_running_loop().create_future(),
        )
        self._fills[number] = fill
        self._joinable[fill.object_key, fill.part] = fill
        self._send(number, request, fill, endpoint)
        return fill

    def _send(self, number: int, request: Request, fill: Fill, source: ListedEndpoint) -> None:
        origin = self._servers.origin
        may_fill = not (fill.source_is_origin or request.cached_only or request.source == origin)
        stored_tag = fill.stored_copy.tag if fill.stored_copy is not None else b""
        self._upstream.send_attempt(
            SendAttempt(
                request_id=number,
                attempt=_ONLY_ATTEMPT,
                server=instance_of(source),
                client_request_id=b"%016x" % number,
                class_name=request.request_class,
                object_key=request.object_key,
                part=b"%d" % request.part,
                deadline=self._upstream.now() + min(request.timeout_s, self._timeout_s),
                fill_from=origin if may_fill else "",
                retention=request.rank,
                max_age_s=fill.max_age_s,
                joins_fill=request.joins_fill,
                cached_only=request.cached_only,
                revalidates=False,
                known_version=stored_tag or None,
                body=b"",
                skips_cache=request.skips_cache,
            )
        )

    # Events during fills

    def note_purge(self, purge: Purge, is_date_certain: bool) -> None:
        """Record a purge for the fills under way, whose copies may be older than the purge."""
        for fill in self._fills.values():
            if purge.kind == PurgeKind.GROUP or fill.object_key == purge.name:
                fill.purged_at = max(fill.purged_at, purge.when)
                fill.purge_date_is_uncertain |= not is_date_certain

    def retire(self, instances: list[ServerInstance]) -> None:
        """Send no new requests on the connections to these server instances."""
        for instance in instances:
            self._upstream.retire_server(RetireServer(instance))

    def sweep(self) -> None:
        """Close idle and unresponsive connections, and end fills that have timed out."""
        self._upstream.sweep()
        now = self._clocks.now()
        for number, fill in list(self._fills.items()):
            if now - fill.started_at > self._timeout_s:
                self._upstream.cancel_attempt(CancelAttempt(number, _ONLY_ATTEMPT))
                self._finish(
                    AttemptEnded(number, _ONLY_ATTEMPT, AttemptResult.TIMEOUT, 0, 0.0, None, b"", False, now)
                )

    def close(self) -> None:
        """Close all connections, which breaks the open attempts on them."""
        self._upstream.close_all()

    # Ends of fills

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        self._upstream.answers.release_posted()
        if event.request_id in self._fills:
            self._finish(event)

    def _finish(self, event: AttemptEnded) -> None:
        fill = self._fills.pop(event.request_id)
        key = (fill.object_key, fill.part)
        if self._joinable.get(key) is fill:
            del self._joinable[key]
        result = event.result
        copy = None
        if result == AttemptResult.SATISFIED:
            copy = self._revalidated_copy(fill, event) if event.is_unchanged else self._new_copy(fill, event)
            if copy is None:
                result = AttemptResult.ERRORED
        if not fill.done.done():
            fill.done.set_result(FillResult(result, copy, event.note))

    def _issued_at(self, event: AttemptEnded) -> float | None:
        """Return the Unix time at which the source issued its answer; None if the answer has no date."""
        return None if event.dated_at is None else event.dated_at + self._clocks.started_at

    def _revalidated_copy(self, fill: Fill, event: AttemptEnded) -> ReadResult | None:
        """Return the stored copy after its source confirmed it; None if a purge may have hit the answer."""
        issued_at = self._issued_at(event)
        if fill.stored_copy is None or issued_at is None or issued_at <= fill.purged_at:
            return None
        if fill.purge_date_is_uncertain:
            return None
        dated = max(self._date_of(fill, issued_at), fill.stored_copy.dated)
        if self._may_predate_purge(fill, dated):
            return fill.stored_copy._replace(dated=dated)
        return self._store.mark_revalidated(fill.object_key, fill.part, fill.stored_copy, dated)

    def _new_copy(self, fill: Fill, event: AttemptEnded) -> ReadResult | None:
        """Return the new copy, stored unless the fill does not keep it; None if a purge may have hit it."""
        self._counters["filled_bytes"] += len(event.body)
        if fill.purge_date_is_uncertain:
            return None
        issued_at = self._issued_at(event)
        group = protocol.decode_group(event.purge_group, MAX_GROUP)
        copy = Copy(
            object=fill.object_key,
            part=fill.part,
            tag=protocol.decode_tag(event.version),
            dated=self._date_of(fill, issued_at),
            group=UNKNOWN_GROUP if group is None else group,
            rank=fill.rank,
            size=len(event.body),
            body=event.body,
        )
        may_be_purged = issued_at is not None and issued_at <= fill.purged_at
        if may_be_purged and self._store.purges.is_purged(copy.object, copy.group, copy.dated):
            return None
        if event.body and fill.keeps_copy:
            self._store.put(copy, needs_revalidation=self._may_predate_purge(fill, copy.dated))
        return copy.as_read_result()

    def _may_predate_purge(self, fill: Fill, dated: float) -> bool:
        """Return whether a copy from a source may be older than a purge from before the channel was heard.

        It may answer the requests of its fill, whose source keeps the rule on purges, but is not a hit later.
        """
        age_s = self._clocks.wall_now() - dated
        return self._purge_knowledge().may_predate_purge(age_s, self._clocks.now() - fill.started_at)

    def _date_of(self, fill: Fill, issued_at: float | None) -> float:
        """Return the Unix time from which the copy's age is counted.

        A date in the future was set by a clock that differs from this one, and for a while after a step back
        any date may be. The copy is then taken as old as it can be: as the fill itself if it came from the
        origin, else as the maximum age of the fill, or of unlimited age if there is no maximum.
        """
        now = self._clocks.wall_now()
        if issued_at is None:
            return now
        source_is_trusted = fill.source_is_origin or not self._clocks.dates_are_uncertain()
        if rules.stamp_is_plausible(now, issued_at) and source_is_trusted:
            return issued_at
        if fill.source_is_origin:
            return now - (self._clocks.now() - fill.started_at)
        return now - fill.max_age_s + _AGE_BOUND_MARGIN_S if fill.max_age_s else 0.0
