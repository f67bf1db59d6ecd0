"""Recognizes which requests are retries of earlier requests. No I/O, no clock.

A retry carries a new id, so it is recognized by what the router can see: the same object, part and class
from the same connection or address, after an earlier request that was rejected, failed, was withdrawn or is
still open. The guess may be wrong, so its consequences are harmless: a request that duplicates an open one
gets the response of that one, which is for the same object; a request that follows an unserved one counts
less only once the latency objective of the first has passed; and behind an address with many connections (a
proxy, a school) clients are distinguished by connection only.
"""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

MAX_CONNECTIONS_PER_CLIENT = 4  # from one address; with more, the address is taken to be shared by clients
DEFAULT_MEMORY_S = 15.0
DEFAULT_MAX_ATTEMPTS = 8192


class RequestKind(StrEnum):
    """Relation of a request to earlier ones of the same client. The values appear in logs."""

    NEW = "new"
    RETRY = "again"
    DUPLICATE = "beside"  # retry of a request that is still open


class IdentityKind(StrEnum):
    """What identifies a client."""

    ADDRESS = "address"
    CONNECTION = "connection"


class ClientIdentity(NamedTuple):
    """Identity of a client: its address, or its connection where other clients share the address."""

    kind: IdentityKind
    value: Hashable

    @property
    def outlives_connection(self) -> bool:
        """Whether the client is also recognized on another connection."""
        return self.kind is IdentityKind.ADDRESS


class Recognition(NamedTuple):
    """Classification of a request.

    Attributes:
        kind: Relation of the request to earlier ones.
        since_first_s: Seconds since the client's first request for the same object, part and class.
        open_request: Id of the open request that this one duplicates; None if there is none.
    """

    kind: RequestKind
    since_first_s: float
    open_request: int | None

    @property
    def is_retry(self) -> bool:
        """Whether the request follows one that was not served."""
        return self.kind is RequestKind.RETRY


_NEW_REQUEST = Recognition(RequestKind.NEW, 0.0, None)


@dataclass(slots=True, eq=False)
class _Attempt:
    """A client's latest attempt to get an object, part and class.

    Attributes:
        first_at: Arrival of the first request in the chain of retries.
        ended_at: Time at which the request ended; its arrival while it is open.
        request: Id of the request.
        is_open: Whether the request has no final response yet.
    """

    first_at: float
    ended_at: float
    request: int
    is_open: bool = True


class RetryLineage:
    """Remembers the clients' recent requests in order to recognize retries.

    Memory is bounded: the oldest entries are evicted for new ones. Expiry is checked on lookup, so no
    periodic sweep is needed.

    Attributes:
        attempts: Latest request by client identity and request name, oldest first.
        keys_by_request: Key in `attempts` by request id, for open requests.
    """

    def __init__(self, memory_s: float = DEFAULT_MEMORY_S, max_attempts: int = DEFAULT_MAX_ATTEMPTS) -> None:
        """Create an empty memory.

        Args:
            memory_s: Seconds after its end for which a request is remembered.
            max_attempts: Clients' attempts remembered, at most.
        """
        self._memory_s = memory_s
        self._max_attempts = max_attempts
        self._connections: dict[Hashable, int] = {}  # number of open connections by address
        self.attempts: OrderedDict[Hashable, _Attempt] = OrderedDict()
        self.keys_by_request: dict[int, Hashable] = {}

    def connected(self, address: Hashable) -> None:
        """Count a connection from an address."""
        self._connections[address] = self._connections.get(address, 0) + 1

    def disconnected(self, address: Hashable) -> None:
        """Record the end of a connection from an address."""
        remaining = self._connections.get(address, 0) - 1
        if remaining > 0:
            self._connections[address] = remaining
        else:
            self._connections.pop(address, None)

    def identify(self, address: Hashable, connection: int) -> ClientIdentity:
        """Return the identity of the client behind a connection."""
        if self._connections.get(address, 0) > MAX_CONNECTIONS_PER_CLIENT:
            return ClientIdentity(IdentityKind.CONNECTION, connection)
        return ClientIdentity(IdentityKind.ADDRESS, address)

    def recognize(
        self, now: float, request: int, address: Hashable, connection: int, name: tuple
    ) -> Recognition:
        """Classify a request, and remember it unless it duplicates an open one.

        Args:
            now: Current time.
            request: Request id.
            address: Client address.
            connection: Id of the client connection.
            name: Class, object and part of the request.
        """
        key = (self.identify(address, connection), name)
        previous = self.attempts.get(key)
        if previous is None:
            self._remember(key, _Attempt(now, now, request))
            if len(self.attempts) > self._max_attempts:
                self._evict_oldest()
            return _NEW_REQUEST
        if previous.is_open:
            return Recognition(RequestKind.DUPLICATE, max(0.0, now - previous.first_at), previous.request)
        # longer: expired; negative: the clock has stepped back
        is_remembered = 0 <= now - previous.ended_at <= self._memory_s
        first_at = previous.first_at if is_remembered else now
        self._remember(key, _Attempt(first_at, now, request))
        self.attempts.move_to_end(key)
        kind = RequestKind.RETRY if is_remembered else RequestKind.NEW
        return Recognition(kind, max(0.0, now - first_at), None)

    def _remember(self, key: Hashable, attempt: _Attempt) -> None:
        self.attempts[key] = attempt
        self.keys_by_request[attempt.request] = key

    def _evict_oldest(self) -> None:
        _, oldest = self.attempts.popitem(last=False)
        self.keys_by_request.pop(oldest.request, None)

    def end(self, now: float, request: int, *, was_served: bool) -> None:
        """Record the end of a request; one that was not served may be retried."""
        key = self.keys_by_request.pop(request, None)
        previous = self.attempts.get(key)
        if previous is None or previous.request != request:
            return
        if was_served:
            del self.attempts[key]
        else:
            previous.is_open = False
            previous.ended_at = now
