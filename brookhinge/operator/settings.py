"""Records of the settings in an operator's file. Sizes are in MB, times in seconds."""

from typing import NamedTuple

from brookhinge.operator.capacity import Capacity

Address = tuple[str, int]


class StoreSettings(NamedTuple):
    """Settings of a two-tier store, see brookhinge/store.

    Attributes:
        dir: Folder of the disk tier; empty if there is only the memory tier.
        memory_mb: Size of the memory tier.
        disk_mb: Size of the disk tier.
        segment_mb: Size of a segment file.
        sync_s: Interval between syncs of appended data to the disk.
        snapshot_s: Interval between snapshots of the index.
        stall_s: A disk read that takes longer counts as a miss and marks the disk as suspect.
    """

    dir: str
    memory_mb: float
    disk_mb: float
    segment_mb: float
    sync_s: float
    snapshot_s: float
    stall_s: float


class CacheServerSettings(NamedTuple):
    """Settings of a cache server, see brookhinge/cache_server.

    Attributes:
        name: Name of the server in the endpoint list.
        listen: Address on which routers and other cache servers connect.
        channel: Address of the command channel.
        fills: Maximum number of concurrent fills.
        fill_s: Timeout of a fill.
        idle_s: An idle connection is closed after this time.
        connect_s: Timeout for connecting to another server.
        drain_s: Time for open requests during graceful shutdown.
        parent_kind: `class` of parents in the endpoint list.
        origin_kind: `class` of the origin in the endpoint list.
        reports: Fields of the load report in responses.
        tracks: By request class, how long a copy is fresh and how much longer it may be served stale. Copies
            of other classes are fresh until purged.
        store: Settings of the store.
        purge_s: A purged copy is no longer served this long after the purge, even if the channel is silent.
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
    purge_s: float = 6.0


class Fleet(NamedTuple):
    """Settings of one router as a member of a fleet, see brookhinge/membership.

    Attributes:
        name: Name of the router in the fleet.
        listen: UDP address.
        advertise: Address at which peers reach the router; None if it is `listen`.
        join: Addresses of peers; one that answers is enough to join.
        site: Datagrams of peers with another site are ignored.
        key: Key of the checksums of all datagrams, the same for the whole fleet.
        zone: Zone of the router; empty if none is set.
        lease_s: How long a lost router still counts as a member.
        metrics: Address on which the router's metrics are served; None if they are not.
        share_limits: Whether quotas of limits move to the routers with the demand, see brookhinge/limits.
        share_verdicts: Whether outliers are detected from the results of all routers, see
            brookhinge/verdicts.
        share_memory: Whether the router asks a peer for warm-start state when it starts.
        region: Control machines of the same region are read first.
        purge_log: Whether purges come from the control machines, see brookhinge/purgelog.
        purge_notices: Whether peers are notified of purges in addition to the log, for peers without it.
        log_listen: UDP address for the purge log; None is the host of `listen` and any port.
        log_advertise: Address at which control machines reach `log_listen`; None if it is the same.
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
    """Settings of one control machine of the purge log, see brookhinge/purgelog.

    Attributes:
        name: Name of the control machine.
        listen: UDP address.
        advertise: Address at which routers and other control machines reach it; None if it is `listen`.
        site: Datagrams of routers and control machines with another site are ignored.
        key: Key of the checksums of all datagrams, the same for the whole fleet.
        region: Routers of the same region read from this machine first.
        serves: Other regions whose routers read from this machine first.
        proof_s: How long a router may use its own copies after one proof that it knows all purges.
        channel: Command channel whose purges the machine appends; None if there is none.
        metrics: Address on which its metrics are served; None if they are not.
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
    """All settings of an operator's file.

    Attributes:
        box: Cache servers by name.
        fleet: Routers by name.
        control: Control machines by name.
        log: Lowest level that is logged.
        metrics: Address on which metrics of cache servers are served; None if they are not.
        capacity: Layout of a modeled fleet; None without a `capacity` block.
    """

    box: dict[str, CacheServerSettings]
    fleet: dict[str, Fleet]
    control: dict[str, Control]
    log: str
    metrics: Address | None
    capacity: Capacity | None = None
