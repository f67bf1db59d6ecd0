"""The records of the lease protocol."""

from typing import NamedTuple


class Limit(NamedTuple):
    """A limit of the fleet.

    Attributes:
        kind: "cache", "parent" (what a cold server bears) or "room" (what may be in flight to a server).
        server: the server's name.
        started_at_ms: its start in milliseconds of the Unix clock, as the command channel tells it.
    """

    kind: str
    server: str
    started_at_ms: int


class Grant(NamedTuple):
    """A fraction of a whole that a lessee gives a lessor until a moment."""

    amount: float
    until: float


class Lease(NamedTuple):
    """A fraction of a whole that a lessor lends until a moment; `number` is that of the offer."""

    number: int
    amount: float
    until: float


class RequestRow(NamedTuple):
    """What a lessee tells of one limit: how much more it needs, and how much it grants."""

    limit: Limit
    need: float
    grant: float


class Demand(NamedTuple):
    """A lessee's own quota of a limit, one of N, and its recent demand; both fractions of the whole."""

    own_quota: float
    used: float


class DemandSample(NamedTuple):
    """What a server was asked for since the last sample, a second; `whole` 0 where nothing is limited now."""

    kind: str
    server: str
    started_at_ms: int
    rate: float
    whole: float
