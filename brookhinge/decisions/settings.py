"""What the decisions are handed at start, and the writer they write into. No decisions here."""

from typing import NamedTuple, Protocol


class Track(NamedTuple):
    """One kind of query. Times are seconds."""

    name: str
    effect: str  # 'replayable', 'referenced' or 'single-use'
    group: str  # referenced: caches that drop repeats: 'all', 'zone' or 'cell'
    window_s: float  # referenced: how long they remember
    contract_s: float
    stretch: float  # the contract time grows by this multiple of the query's sending time
    patience_s: float
    utility: float
    late_share: float  # of the utility, for an answer after the contract time
    fresh_s: float  # 0: until purged
    stale_s: float  # how much older than fresh a copy may be when asked for
    stale_share: float  # of the utility, for such a copy
    through: bool  # runs at the origin and leaves no copy


class Place(NamedTuple):
    """Where this router stands and who else stands there."""

    zone: int
    routers_here: int
    routers: int
    number: int
    weights_told: bool  # False: a weight in the list says nothing


class Allowed(NamedTuple):
    """What a router may do here."""

    pushes: int
    probes: bool
    cancel: bool
    max_retry_after_s: float  # 0: no advice to clients


class Supply(NamedTuple):
    """Where caches may fill from, and what is told of it."""

    siblings: str  # 'none', 'location' or 'any'
    direct: bool
    joins: bool
    tells: str  # 'all', 'hit' or 'none'
    flow_kb_s: float  # pace of one transfer to a client; 0: not told
    link_kb_s: float  # the location's link in; 0: not told


class ColdStart(NamedTuple):
    """How a kind of server starts and what pushes it over."""

    share: float  # of its capacity, at the start
    warm_s: float
    multiple: float
    window_s: float


class Writer(Protocol):
    """Takes the decisions of a round, in the order in which they take effect."""

    def push(self, query, cache, until, source, rank, age_s, join, held_only, renew): ...
    def nack(self, query, retry_after_s, reason=None): ...  # reason: a Refusal of rules.py
    def error(self, query, reason=None): ...
    def cancel(self, query, push): ...
    def probe(self, cache): ...
    def wake(self, token, at): ...
    def keep(self, query, name): ...
    def drop(self, name): ...
    def own(self, query, name): ...
    def say(self, text): ...
