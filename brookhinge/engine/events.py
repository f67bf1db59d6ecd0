"""Events: what the sources report to the router's state, one class for each kind.

Sources post them to the `EventScheduler`; `RouterState` has one handler for each. Times are seconds since the
router's start. `request_id` is the router's own number of an open request, `attempt` counts its
attempts from 1; the id that the client gave is `client_request_id`.
"""

from collections.abc import Sequence
from typing import NamedTuple

from brookhinge.decisions.rules import AttemptResult
from brookhinge.engine.endpoints import ListedEndpoint

# From clients' connections.


class ClientConnected(NamedTuple):
    """A connection was accepted; posted only where retries are recognized."""

    client: int
    address: str


class ClientDisconnected(NamedTuple):
    """A client's connection has ended: nothing is owed on it any more."""

    client: int


class RequestReceived(NamedTuple):
    """A call that is owed exactly one final response."""

    client: int
    number: int  # the client's, of the call on its connection
    client_request_id: bytes  # passed on to the cache servers
    class_name: bytes
    object_key: bytes
    part: bytes
    part_number: int
    purge_group: int
    size_kb: float  # 0: not told
    timeout_s: float
    known_version: bytes | None  # tag of the copy that the client has
    body: bytes
    received_at: float
    idempotency_key: bytes | None = None


class RequestCancelled(NamedTuple):
    """A client has withdrawn one of its calls."""

    client: int
    number: int


# From connections to servers.


class AttemptEnded(NamedTuple):
    """A response of a server, or what became of an attempt without one."""

    request_id: int
    attempt: int
    result: AttemptResult
    note: int  # how the server came by its copy, as numbered by `net/cachewire.py`; 0: not told
    source_wait_s: float  # what the server waited for its fill source
    load_report: list[float] | None
    body: bytes
    is_unchanged: bool  # the copy that the client holds is the response
    received_at: float
    dated_at: float | None = None  # when the copy left the origin
    version: bytes | None = None  # tag of the copy
    purge_group: bytes | None = None


# From the command channel; `number` is the place of each in its order.


class EndpointsListed(NamedTuple):
    """Servers and their health: the whole endpoint list, or its changes."""

    number: int
    is_complete: bool
    endpoints: Sequence[ListedEndpoint]


class ObjectsPurged(NamedTuple):
    """Copies made before a moment must not be used any more."""

    number: int
    purge_group: int  # 0 with a key
    purged_at: float  # by the clock of whoever purged
    object_key: str  # "": all objects of the group


class CommandSkipped(NamedTuple):
    """A command that cannot be read."""

    number: int
    reason: str


# From the fleet.


class PeerNoticeReceived(NamedTuple):
    """A notice of a peer; it can only tighten a rule."""

    kind: str  # 'purge', 'draining' or 'gone'
    values: tuple


class PurgeLogEntryRead(NamedTuple):
    """An entry of the purge log."""

    kind: int  # brookhinge/purgelog/messages.py
    text: str
    number: int
    stamp_ms: int


class CopyRuleChanged(NamedTuple):
    """What this router may do with copies that it holds itself, as far as it knows all purges."""

    rule: object  # a CopyRule of brookhinge/purgelog/subscriber.py
    missed_purges: object | None


class RouterCountChanged(NamedTuple):
    """By how many routers the limits of this zone and of the whole fleet are divided."""

    here: int
    everywhere: int


class QuotasAssigned(NamedTuple):
    """What this router may use of limits that the fleet shares."""

    quotas: Sequence[tuple]  # (kind, server, its start in ms, quota or None) each


class OutlierVerdictsChanged(NamedTuple):
    """What follows from what all routers saw of servers."""

    verdicts: Sequence[tuple]  # (server, its start in ms, verdict, seconds) each


class WarmStartReceived(NamedTuple):
    """What a peer knows that has run for longer."""

    rows: Sequence[tuple]


# From the process itself.


class ShutdownBegan(NamedTuple):
    """The process ends now: what is open fails, nothing more is decided."""


Event = (
    ClientConnected
    | ClientDisconnected
    | RequestReceived
    | RequestCancelled
    | AttemptEnded
    | EndpointsListed
    | ObjectsPurged
    | CommandSkipped
    | PeerNoticeReceived
    | PurgeLogEntryRead
    | CopyRuleChanged
    | RouterCountChanged
    | QuotasAssigned
    | OutlierVerdictsChanged
    | WarmStartReceived
    | ShutdownBegan
)
