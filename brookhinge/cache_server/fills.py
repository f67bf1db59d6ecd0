"""Fills: copies that are fetched from other servers, and what becomes of them.

A fill runs on when the request that began it leaves, because others may want it.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from brookhinge.cache_server import protocol
from brookhinge.cache_server.clocks import Clocks
from brookhinge.cache_server.protocol import Request
from brookhinge.cache_server.server_list import ServerList, instance_of
from brookhinge.decisions import rules
from brookhinge.decisions.rules import AttemptResult
from brookhinge.engine.effects import CancelAttempt, RetireServer, SendAttempt
from brookhinge.engine.endpoints import ListedEndpoint, ServerInstance
from brookhinge.engine.events import AttemptEnded
from brookhinge.net.upstream_connections import UpstreamConnections
from brookhinge.operator.settings import CacheServerSettings
from brookhinge.startup import UpstreamSettings
from brookhinge.store import Copy, ReadResult, Store
from brookhinge.store.copies import MAX_GROUP, UNKNOWN_GROUP
from brookhinge.store.purge_ledger import NEVER, Purge, PurgeKind

_CONNECTIONS = 256
_REQUESTS_PER_CONNECTION = 64
_ONLY_ATTEMPT = 1
# a copy that was asked to be younger than a purge is not taken for as old as the purge
_AGE_BOUND_MARGIN_S = 0.001


class FillResult(NamedTuple):
    """How a fill ended; `source_note` is numbered by `net/cachewire.py`."""

    result: AttemptResult
    copy: ReadResult | None
    source_note: int


@dataclass(slots=True, eq=False)
class Fill:
    """One fill under way."""

    object_key: bytes
    part: int
    rank: int
    max_age_s: float  # the oldest copy that it may bring; 0: any
    started_at: float
    held_copy: ReadResult | None  # the stored copy, which the source may call unchanged
    keeps_copy: bool
    source_is_origin: bool
    done: asyncio.Future  # of a FillResult
    purged_at: float = NEVER  # the last purge that hit the object meanwhile, Unix seconds
    purge_date_is_uncertain: bool = False  # dates don't tell whether that purge hits what the source issues


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
    ) -> None:
        """Make a manager without connections.

        Args:
            store: Where copies are stored.
            servers: Where the sources are found.
            clocks: The clocks of the server.
            counters: Of the server; `filled_bytes` is counted here.
            settings: Of the server: how many fills at once, and what they and their connections may take.
            log_event: Called with the event's name and its values as keywords.
        """
        self.limit = settings.fills
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
            started_at=clocks.started_at,
            settings=UpstreamSettings(settings.connect_s, settings.idle_s, _REQUESTS_PER_CONNECTION),
            max_connections=_CONNECTIONS,
        )

    # Starting and finding

    def running(self) -> int:
        """The number of fills under way."""
        return len(self._fills)

    def joinable(self, object_key: bytes, part: int, max_age_s: float) -> Fill | None:
        """The last fill of a part, if it brings a copy that is young enough."""
        fill = self._joinable.get((object_key, part))
        if fill is None or not max_age_s or (fill.max_age_s and fill.max_age_s <= max_age_s):
            return fill
        return None

    def start(self, request: Request, held_copy: ReadResult | None, max_age_s: float) -> Fill:
        """Begin a fill from the source that a request names.

        With the tag of a stored copy, a source that has the same answers in a few bytes.
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
            held_copy=held_copy,
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
        held_tag = fill.held_copy.tag if fill.held_copy is not None else b""
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
                known_version=held_tag or None,
                body=b"",
                skips_cache=request.skips_cache,
            )
        )

    # Meanwhile

    def note_purge(self, purge: Purge, date_is_certain: bool) -> None:
        """Note a purge for the fills under way: what they bring may be from before it."""
        for fill in self._fills.values():
            if purge.kind == PurgeKind.GROUP or fill.object_key == purge.name:
                fill.purged_at = max(fill.purged_at, purge.when)
                fill.purge_date_is_uncertain |= not date_is_certain

    def retire(self, instances: list[ServerInstance]) -> None:
        """Use the connections to these starts of servers for nothing new."""
        for instance in instances:
            self._upstream.retire_server(RetireServer(instance))

    def sweep(self) -> None:
        """Close connections that are idle or silent, and give up fills that take too long."""
        self._upstream.sweep()
        now = self._clocks.now()
        for number, fill in list(self._fills.items()):
            if now - fill.started_at > self._timeout_s:
                self._upstream.cancel_attempt(CancelAttempt(number, _ONLY_ATTEMPT))
                self._finish(
                    AttemptEnded(number, _ONLY_ATTEMPT, AttemptResult.TIMEOUT, 0, 0.0, None, b"", False, now)
                )

    def close(self) -> None:
        """Close all connections; what is open on them is broken."""
        self._upstream.close_all()

    # Endings

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
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
        """When the source issued its answer, Unix seconds; None if it did not say."""
        return None if event.dated_at is None else event.dated_at + self._clocks.started_at

    def _revalidated_copy(self, fill: Fill, event: AttemptEnded) -> ReadResult | None:
        """The stored copy, called unchanged by its source; None if a purge has hit what the source issued."""
        issued_at = self._issued_at(event)
        if fill.held_copy is None or issued_at is None or issued_at <= fill.purged_at:
            return None
        if fill.purge_date_is_uncertain:
            return None
        dated = max(self._date_of(fill, issued_at), fill.held_copy.dated)
        return self._store.mark_revalidated(fill.object_key, fill.part, fill.held_copy, dated)

    def _new_copy(self, fill: Fill, event: AttemptEnded) -> ReadResult | None:
        """New bytes, stored unless the request said otherwise; None if a purge has hit them."""
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
            self._store.put(copy)
        return copy.as_read_result()

    def _date_of(self, fill: Fill, issued_at: float | None) -> float:
        """The moment from which a copy's age counts here, Unix seconds.

        A date of the future is that of another setting of the clocks, and so may be any for a while after a
        step back. The copy is then as old as it may be: from the origin as the fill, from others as the fill
        allowed, which may be any age.
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
