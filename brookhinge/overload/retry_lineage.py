"""Which request is a client's retry of which. No I/O, no clock.

A retry carries a new id. It is recognized by what can be seen: the same object, part and class, from the same
connection or the same address, after an earlier attempt that was rejected, failed or withdrawn, or that is
still open. A guess can be wrong, so what it leads to is harmless: a request beside one that is open gets the
response of that one, which is the one it asked for; a request after one that was not served counts less only
once the latency objective of the first has passed; and behind an address with many connections (a proxy, a
school) only the connection tells clients apart.
"""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

MAX_CONNECTIONS_OF_CLIENT = 4  # from one address; beyond them the address tells nobody from another
DEFAULT_MEMORY_S = 15.0
DEFAULT_MAX_ATTEMPTS = 8192


class RequestKind(StrEnum):
    """What a request is to those before it. The values stand in logs."""

    NEW = "new"
    RETRY = "again"
    BESIDE_OPEN = "beside"  # a retry of one that is still open


class IdentityKind(StrEnum):
    """By what a client is known."""

    ADDRESS = "address"
    CONNECTION = "connection"


class ClientIdentity(NamedTuple):
    """What a client is known by: its address, or its connection where others share the address."""

    kind: IdentityKind
    value: Hashable

    @property
    def outlives_connection(self) -> bool:
        """Whether the client is recognized on another connection."""
        return self.kind is IdentityKind.ADDRESS


class Recognition(NamedTuple):
    """What a request is."""

    kind: RequestKind
    since_first_s: float  # since the first attempt of the same client came
    open_request: int | None  # the one that it stands beside

    @property
    def is_retry(self) -> bool:
        """Whether it follows one that was not served."""
        return self.kind is RequestKind.RETRY


_NEW_REQUEST = Recognition(RequestKind.NEW, 0.0, None)


@dataclass(slots=True, eq=False)
class _Attempt:
    first_at: float
    ended_at: float  # when it came, while it is open
    request: int
    is_open: bool = True


class RetryLineage:
    """Remembers attempts of clients.

    Memory is bounded: the oldest attempts make place for new ones, and a stale one is judged when it is met,
    so nothing has to be swept.
    """

    def __init__(self, memory_s: float = DEFAULT_MEMORY_S, max_attempts: int = DEFAULT_MAX_ATTEMPTS) -> None:
        """Make an empty memory.

        Args:
            memory_s: How long after its end an attempt is remembered.
            max_attempts: Attempts remembered, at most.
        """
        self._memory_s = memory_s
        self._max_attempts = max_attempts
        self._connections: dict[Hashable, int] = {}  # open, by address
        self.attempts: OrderedDict[Hashable, _Attempt] = OrderedDict()
        self.key_of_request: dict[int, Hashable] = {}

    def connected(self, address: Hashable) -> None:
        """Count a connection from an address."""
        self._connections[address] = self._connections.get(address, 0) + 1

    def disconnected(self, address: Hashable) -> None:
        """Note the end of a connection from an address."""
        left = self._connections.get(address, 0) - 1
        if left > 0:
            self._connections[address] = left
        else:
            self._connections.pop(address, None)

    def identify(self, address: Hashable, connection: int) -> ClientIdentity:
        """What the client behind a connection is known by."""
        if self._connections.get(address, 0) > MAX_CONNECTIONS_OF_CLIENT:
            return ClientIdentity(IdentityKind.CONNECTION, connection)
        return ClientIdentity(IdentityKind.ADDRESS, address)

    def recognize(
        self, now: float, request: int, address: Hashable, connection: int, name: tuple
    ) -> Recognition:
        """Tell what a request is, and remember it unless it stands beside an open one.

        Args:
            now: The time.
            request: Its number.
            address: Of its client.
            connection: Of its client.
            name: Class, object and part.
        """
        key = (self.identify(address, connection), name)
        known = self.attempts.get(key)
        if known is None:
            self._remember(key, _Attempt(now, now, request))
            if len(self.attempts) > self._max_attempts:
                self._forget_oldest()
            return _NEW_REQUEST
        if known.is_open:
            return Recognition(RequestKind.BESIDE_OPEN, max(0.0, now - known.first_at), known.request)
        # a longer or a negative time: too long ago, or the clock has stepped
        is_remembered = 0 <= now - known.ended_at <= self._memory_s
        first_at = known.first_at if is_remembered else now
        self._remember(key, _Attempt(first_at, now, request))
        self.attempts.move_to_end(key)
        kind = RequestKind.RETRY if is_remembered else RequestKind.NEW
        return Recognition(kind, max(0.0, now - first_at), None)

    def _remember(self, key: Hashable, attempt: _Attempt) -> None:
        self.attempts[key] = attempt
        self.key_of_request[attempt.request] = key

    def _forget_oldest(self) -> None:
        _, oldest = self.attempts.popitem(last=False)
        self.key_of_request.pop(oldest.request, None)

    def end(self, now: float, request: int, *, was_served: bool) -> None:
        """Note the end of a request; one that was not served may be retried."""
        key = self.key_of_request.pop(request, None)
        known = self.attempts.get(key)
        if known is None or known.request != request:
            return
        if was_served:
            del self.attempts[key]
        else:
            known.is_open = False
            known.ended_at = now
