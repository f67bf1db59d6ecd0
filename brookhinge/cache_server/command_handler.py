"""Applies the commands of the command channel: endpoint lists, purges, and the effects of a gap."""

import asyncio
from collections.abc import Callable

from brookhinge.cache_server.clocks import Clocks
from brookhinge.cache_server.fills import FillManager
from brookhinge.cache_server.server_list import ServerList
from brookhinge.decisions import rules
from brookhinge.engine.commands import Command
from brookhinge.engine.events import EndpointsListed, ObjectsPurged
from brookhinge.store import Store
from brookhinge.store.copies import MAX_GROUP, MAX_OBJECT_NAME_BYTES
from brookhinge.store.purge_ledger import Purge, PurgeKind

_MAX_LOGGED_CHARS = 80  # of the name in an invalid purge


class CommandHandler:
    """Applies the commands of one cache server.

    Attributes:
        current_since: Time since which no command can have been missed, in seconds of the server's clock;
            None if commands may be missing.
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
        """Create a handler that has received no command.

        Args:
            store: The store, to which purges are applied.
            servers: The server list, to which endpoint lists are applied.
            fills: The fills under way, which are notified of purges and of replaced servers.
            clocks: The clocks of the server.
            counters: Counters of the server; `purges` and `gaps` are counted here.
            log_event: Called with the name of an event and its values as keyword arguments.
            is_synchronized: Returns whether all commands that the channel had at the start were received.
        """
        self.current_since: float | None = None
        self._store = store
        self._servers = servers
        self._fills = fills
        self._clocks = clocks
        self._counters = counters
        self._log_event = log_event
        self._is_synchronized = is_synchronized
        self._pending_purges: dict[
            int, asyncio.Future
        ] = {}  # purges that are not durable yet, by number, in ascending order

    def handle(self, command: Command) -> None:
        """Apply one command."""
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
            self._log_event("command skipped", why=f"invalid purge of {purge.name!r:.{_MAX_LOGGED_CHARS}}")
            return
        self._counters["purges"] += 1
        # A purge that the channel had at the start is known only by its date. A later one with an
        # implausible date counts as happening now.
        effective_time = command.purged_at
        if self._is_synchronized():
            effective_time = rules.event_time(self._clocks.now(), command.purged_at)
        is_date_certain = effective_time == command.purged_at
        self._fills.note_purge(purge, is_date_certain)
        wall_now = self._clocks.wall_now()
        durable = self._store.purge(purge._replace(when=min(when, wall_now) if is_date_certain else wall_now))
        if not durable.done():
            self._pending_purges[command.number] = durable
            durable.add_done_callback(lambda _: self._on_durable(command.number, durable))

    def _on_durable(self, number: int, durable: asyncio.Future) -> None:
        if self._pending_purges.get(number) is durable:  # else a gap has reset the numbers
            del self._pending_purges[number]

    def durable_up_to(self, number: int) -> int:
        """Return the highest number up to `number` below the first purge that is not durable.

        With the disk off every purge counts as durable.
        """
        return min(number, min(self._pending_purges, default=number + 1) - 1)

    def on_current(self) -> None:
        """Record that all commands of the channel have been received.

        Copies that were filled before that may have been purged by commands that nobody tells this server.
        """
        if self.current_since is None:
            self.current_since = self._clocks.now()
            self._store.require_revalidation()

    def on_gap(self, reason: str) -> None:
        """Forget the servers and require revalidation of all copies, as commands may have been missed."""
        self._counters["gaps"] += 1
        self._log_event("channel gap", why=reason)
        self.current_since = None
        self._servers.forget()
        self._pending_purges.clear()  # their numbers are from before the gap
        self._store.require_revalidation()
