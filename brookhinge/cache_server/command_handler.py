"""Carries out the commands of the channel: the server list, purges, and what a gap between them asks for."""

import asyncio
from collections.abc import Callable

from brookhinge.cache_server.clocks import Clocks
from brookhinge.cache_server.command_channel import Command
from brookhinge.cache_server.fills import FillManager
from brookhinge.cache_server.server_list import ServerList
from brookhinge.decisions import rules
from brookhinge.engine.events import EndpointsListed, ObjectsPurged
from brookhinge.store import Store
from brookhinge.store.copies import MAX_GROUP, MAX_OBJECT_NAME_BYTES
from brookhinge.store.purge_ledger import Purge, PurgeKind

_SHOWN_CHARS = 80  # of a purge that can't be used


class CommandHandler:
    """Takes the commands of one cache server.

    Attributes:
        current_since: Since when no command can have been missed, in seconds of the server's clock; None
        before that.
    """

    def __init__(
        self,
        store: Store,
        servers: ServerList,
        fills: FillManager,
        clocks: Clocks,
        counters: dict[str, int],
        *,
        log_event: Callable[..., None],
        is_synchronized: Callable[[], bool],
    ) -> None:
        """Make a handler that has heard nothing.

        Args:
            store: Takes the purges.
            servers: Takes the lists.
            fills: Is told of both.
            clocks: The clocks of the server.
            counters: Of the server; `purges` and `gaps` are counted here.
            log_event: Called with the event's name and its values as keywords.
            is_synchronized: Whether all that the channel knew at the start has been told.
        """
        self.current_since: float | None = None
        self._store = store
        self._servers = servers
        self._fills = fills
        self._clocks = clocks
        self._counters = counters
        self._log_event = log_event
        self._is_synchronized = is_synchronized
        self._pending_purges: dict[int, asyncio.Future] = {}  # not durable yet, by number, in order

    def handle(self, command: Command) -> None:
        """Carry out one command."""
        if isinstance(command, EndpointsListed):
            self._fills.retire(self._servers.apply(command))
        elif isinstance(command, ObjectsPurged):
            self._purge(command)
        else:
            self._log_event("command skipped", cursor=command.number, why=command.reason)

    def _purge(self, command: ObjectsPurged) -> None:
        when = command.purged_at + self._clocks.started_at
        if command.object_key:
            purge = Purge(PurgeKind.OBJECT, command.object_key.encode(), when)
            is_valid = len(purge.name) <= MAX_OBJECT_NAME_BYTES
        else:
            purge = Purge(PurgeKind.GROUP, command.purge_group, when)
            is_valid = 0 <= purge.name <= MAX_GROUP
        if not is_valid:
            self._log_event("command skipped", why=f"a purge of {purge.name!r:.{_SHOWN_CHARS}}")
            return
        self._counters["purges"] += 1
        # what the channel tells first happened before, by dates alone; all else happened just now
        taken_for = command.purged_at
        if self._is_synchronized():
            taken_for = rules.event_time(self._clocks.now(), command.purged_at)
        date_is_certain = taken_for == command.purged_at
        self._fills.note_purge(purge, date_is_certain)
        wall_now = self._clocks.wall_now()
        done = self._store.purge(purge._replace(when=min(when, wall_now) if date_is_certain else wall_now))
        if not done.done():
            self._pending_purges[command.number] = done
            done.add_done_callback(lambda _: self._on_durable(command.number, done))

    def _on_durable(self, number: int, done: asyncio.Future) -> None:
        if self._pending_purges.get(number) is done:  # else the channel has begun to count anew
            del self._pending_purges[number]

    def durable_up_to(self, number: int) -> int:
        """The highest number, up to the given one, of which every purge is durable or the disk is off."""
        return min(number, min(self._pending_purges, default=number + 1) - 1)

    def on_current(self) -> None:
        """Note that the channel has told all that it knows."""
        if self.current_since is None:
            self.current_since = self._clocks.now()

    def on_gap(self, reason: str) -> None:
        """Distrust what is known, because commands may have been missed."""
        self._counters["gaps"] += 1
        self._log_event("channel gap", why=reason)
        self.current_since = None
        self._servers.forget()
        self._pending_purges.clear()  # their numbers are of an earlier count
        self._store.require_revalidation()
