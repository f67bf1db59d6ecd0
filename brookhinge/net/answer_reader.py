"""Reads the answers of servers and posts the ends of their attempts, within the memory for answers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, NoReturn

from brookhinge.decisions.rules import AttemptResult
from brookhinge.engine.events import AttemptEnded, Event
from brookhinge.net import cachewire
from brookhinge.net.memory_use import MemoryUse
from brookhinge.net.upstream_connection import UpstreamConnection
from brookhinge.net.upstream_sweeper import ECHO_TAG

if TYPE_CHECKING:
    from brookhinge.net.upstream_connections import UpstreamConnections


class AnswerReader:
    """Reads established connections.

    An answer that is incomplete needs memory for its whole size; until there is some, its connection is not
    read. Complete answers count until `release_posted`.
    """

    def __init__(
        self,
        connections: UpstreamConnections,
        memory: MemoryUse,
        *,
        post: Callable[[Event], None],
        since_start: Callable[[float], float],
        load_columns: Sequence[bytes],
    ) -> None:
        """Prepare to read the connections of `connections`.

        Args:
            connections: All connections to servers; knows which attempts are open.
            memory: Bytes held for answers, and their limit.
            post: Called with each event.
            since_start: Converts a Unix time that a server sent to seconds since the start.
            load_columns: Names of the values in a load report.
        """
        self._connections = connections
        self._memory = memory
        self._post = post
        self._since_start = since_start
        self._load_columns = load_columns
        self._posted_bytes = 0  # of bodies in events that are not known to be applied yet

    async def read(self, connection: UpstreamConnection) -> NoReturn:
        """Read a connection until it ends.

        Raises:
            OSError: The connection has ended.
            UnreadableError: An answer is not in the protocol.
        """
        try:
            while True:
                # In a function of its own: what this frame refers to stays in memory until the next answer.
                self._handle_bytes(connection, await connection.stream.read())
                await self._reserve_memory(connection)
        finally:
            self._release_reserved(connection)

    def release_posted(self) -> None:
        """Stop counting the bodies of all events that were posted; their receiver has applied them."""
        size = self._posted_bytes
        self._posted_bytes = 0
        self._memory.release_answer(size)

    def _handle_bytes(self, connection: UpstreamConnection, data: bytes) -> None:
        connection.received_at = self._connections.now()
        for item in connection.answers.feed(data):
            self._handle_answer(connection, cachewire.AnswerLine(*item))

    async def _reserve_memory(self, connection: UpstreamConnection) -> None:
        """Wait until there is memory for the answer that is incomplete."""
        size = connection.answers.expected_bytes
        if size == connection.reserved_bytes:
            return
        self._release_reserved(connection)
        if not size:
            return
        connection.is_waiting_for_memory = True
        try:
            await self._memory.reserve_answer(size)
            connection.reserved_bytes = size
        finally:
            connection.is_waiting_for_memory = False
            connection.received_at = self._connections.now()  # the wait is no silence of the server

    def _release_reserved(self, connection: UpstreamConnection) -> None:
        size = connection.reserved_bytes
        connection.reserved_bytes = 0
        self._memory.release_answer(size)

    def _handle_answer(self, connection: UpstreamConnection, answer: cachewire.AnswerLine) -> None:
        client_request_id = answer.request_id
        if client_request_id == ECHO_TAG:
            connection.echo_sent_at = None
            return
        if client_request_id in connection.cancelled_ids:  # the answer crossed the cancel
            connection.cancelled_ids.remove(client_request_id)
            return
        if client_request_id not in connection.in_flight:
            # A duplicate or unsolicited answer: the connection is no longer trusted.
            connection.is_retired = True
        else:
            self._end_attempt(connection, answer)
        self._connections.close_if_unused(connection)

    def _end_attempt(self, connection: UpstreamConnection, answer: cachewire.AnswerLine) -> None:
        result = cachewire.read_result(answer.status, answer.fields, self._load_columns)
        connection.used_at = connection.received_at
        sent = connection.in_flight.pop(answer.request_id)
        if result.result is not AttemptResult.SATISFIED:
            # Another attempt with this id may follow, and so may a duplicate of this answer.
            connection.retire_id(answer.request_id)
        del self._connections.placements[sent.request_id, sent.attempt]
        event = AttemptEnded(
            request_id=sent.request_id,
            attempt=sent.attempt,
            result=result.result,
            note=result.note,
            source_wait_s=result.source_wait_s,
            load_report=result.load_report,
            body=answer.body,
            is_unchanged=answer.status == cachewire.UNCHANGED,
            received_at=connection.received_at,
            dated_at=None if result.dated_at is None else self._since_start(result.dated_at),
            version=result.version,
            purge_group=result.purge_group,
        )
        self._posted_bytes += len(answer.body)
        self._memory.count_answer(len(answer.body))
        self._post(event)
