"""Records of what an operator's file turns on. Sizes are MB, times seconds, addresses (host, port)."""

from typing import NamedTuple

from brookhinge.operator.capacity import Capacity

Address = tuple[str, int]


class StoreSettings(NamedTuple):
    """A two-tier store, see brookhinge/store.

    Attributes:
        dir: folder of the disk tier; empty for memory alone.
        sync_s: between two syncs of what was appended.
        snapshot_s: between two snapshots of the index.
        stall_s: a read that takes longer is a miss, and the disk suspect.
    """

    dir: str
    memory_mb: float
    disk_mb: float
    segment_mb: float
    sync_s: float
    snapshot_s: float
    stall_s: float


class CacheServerSettings(NamedTuple):
    """A cache server, see brookhinge/cache_server.

    Attributes:
        channel: address of the command channel.
        fills: at once.
        fill_s: a fill is given up if nothing has come after so long.
        idle_s: an idle connection is closed after so long.
        drain_s: time for open requests during graceful shutdown.
        parent_kind, origin_kind: `class` of parents and of the origin in the endpoint list.
        reports: fields of the load report in responses.
        tracks: of each request class (seconds a copy is fresh, how much older it may be); copies of
            others are good until purged.
    """

    name: str
    listen: Address
    channel: Address
    fills: int
    fill_s: float
    idle_s: float
    connect_s: float
    drain_s: float
    parent_kind: str
    origin_kind: str
    reports: tuple[str, ...]
    tracks: dict[str, tuple[float, float]]
    store: StoreSettings


class Fleet(NamedTuple):
    """One router among its peers, see brookhinge/membership.

    Attributes:
        listen: UDP address.
        advertise: where peers reach it, if that is elsewhere.
        join: addresses of peers, any of which will do.
        site: peers of another site are not listened to.
        key: of the checksums of all datagrams, the same for the whole fleet.
        lease_s: how long a router that was lost still counts.
        metrics: address on which its metrics are served.
        share_limits: quotas of limits move to where the requests are, see brookhinge/limits.
        share_memory: a starting router asks a peer for its warm-start state.
        share_verdicts: outliers are detected by what all routers saw, see brookhinge/verdicts.
        region: control machines of the same region are read first.
        purge_log: purges come from the control machines, see brookhinge/purgelog.
        purge_notices: peers are notified of purges though the log has them, for those without it.
        log_listen: UDP address for the purge log; without it the host of `listen` and any port.
        log_advertise: where control machines reach that, if elsewhere.
    """

    name: str
    listen: Address
    advertise: Address | None
    join: tuple[Address, ...]
    site: str
    key: bytes
    zone: str
    lease_s: float
    metrics: Address | None
    share_limits: bool
    share_memory: bool
    share_verdicts: bool
    region: str
    purge_log: bool
    purge_notices: bool
    log_listen: Address | None
    log_advertise: Address | None


class Control(NamedTuple):
    """One control machine of the purge log, see brookhinge/purgelog.

    Attributes:
        listen: UDP address.
        advertise: where routers and other control machines reach it, if that is elsewhere.
        site: routers and control machines of another site are not listened to.
        key: of the checksums of all datagrams, the same for the whole fleet.
        region: routers of the same region read here first.
        serves: regions whose routers read here first as well.
        proof_s: how long a router uses its own copies on one proof that it knows all purges.
        channel: the command channel whose purges it appends.
        metrics: address on which its metrics are served.
    """

    name: str
    listen: Address
    advertise: Address | None
    site: str
    key: bytes
    region: str
    serves: tuple[str, ...]
    proof_s: float
    channel: Address | None
    metrics: Address | None


class OperatorSettings(NamedTuple):
    """What a file turns on.

    Attributes:
        box, fleet, control: blocks of that kind by name.
        log: least level that is logged.
        metrics: address on which metrics are served.
        capacity: the layout of a modelled fleet.
    """

    box: dict[str, CacheServerSettings]
    fleet: dict[str, Fleet]
    control: dict[str, Control]
    log: str
    metrics: Address | None
    capacity: Capacity | None = None
