"""Records of the lease protocol."""

from typing import NamedTuple


class Limit(NamedTuple):
    """Identifies a limit that routers share.

    Attributes:
        kind: "cache" or "parent" for the slow start limit of a server of that role, "room" for the
            concurrency limit of a server.
        server: Name of the server.
        started_at_ms: Start time of the server from the command channel, in Unix milliseconds.
    """

    kind: str
    server: str
    started_at_ms: int


class Grant(NamedTuple):
    """The fraction `amount` of a limit, given up or lent until the time `until`."""

    amount: float
    until: float


class Lease(NamedTuple):
    """The fraction `amount` of a limit, leased until the time `until` by the offer with this number."""

    number: int
    amount: float
    until: float


class RequestRow(NamedTuple):
    """A lessee's row for one limit in a request: the fraction that it needs more, and the one it grants."""

    limit: Limit
    need: float
    grant: float


class Demand(NamedTuple):
    """A lessee's own quota (an equal share) and its recent demand, both as fractions of the limit."""

    own_quota: float
    recent: float


class DemandSample(NamedTuple):
    """Demand for a server since the last sample.

    Attributes:
        kind: As in Limit.
        server: Name of the server.
        started_at_ms: Start time of the server, in Unix milliseconds.
        rate: Demand in the unit of `total`.
        total: The whole limit, for all routers together; 0 if the server is not limited now.
    """

    kind: str
    server: str
    started_at_ms: int
    rate: float
    total: float
