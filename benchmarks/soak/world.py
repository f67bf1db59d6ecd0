"""Request classes, limits, object names and bodies of a soak, and the configuration of its routers."""

import os
import zlib
from dataclasses import dataclass, replace

from brookhinge.emulator.ports import own_host

# Loopback address that no other soak uses. The driver chooses it; its processes read it from the environment.
HOST = os.environ.setdefault("SOAK_HOST", own_host())
NS = 1e9
ZONE = "edge-1"
HUB = "hub"
CACHE = "box"
PARENT = "parent"
ORIGIN = "origin"
OBJECTS = 300
GROUPS = 16
SIZE_KB = 25.0  # size of every part according to the settings; fewer bytes go over the socket
FLOW_KB_S = 1000.0
WORK_S = SIZE_KB / FLOW_KB_S  # transfer time of one call
POWER = 2  # concurrent transfers of a warm server
SLOW_START_SHARE = 0.04
SLOW_START_S = 20.0
SLOW_START_MULTIPLE = 1.0
SLOW_START_WINDOW_S = 1.0
PURGED_EVERYWHERE_S = 5.0  # this long after a purge no server holds an old copy
CONNECT_S = 0.6
IDLE_S = 8.0
MULTIPLEX = 16
LONGEST_S = 3.0  # the longest deadline of the usual deployment
DRAIN_GRACE_S = 0.5
PURGE_GRACE_S = 0.5


@dataclass(frozen=True)
class Kind:
    """A class of requests.

    Attributes:
        name: Name of the class.
        effect: 'retryable', 'dedup' or 'fragile', as in the settings.
        deadline_s: Default deadline of a request.
        share: Share of all requests.
        fresh_s: Time for which a copy is fresh; 0 if it is valid until purged.
        stale_s: Time for which a copy may be served stale after that.
        through: Whether requests are not cached but run at the origin.
        window_s: Deduplication window.
    """

    name: str
    effect: str
    deadline_s: float
    share: float
    fresh_s: float = 0.0
    stale_s: float = 0.0
    through: bool = False
    window_s: float = 0.0


DEFAULT_KINDS = (
    Kind("page", "retryable", 2.5, 0.66),
    Kind("feed", "retryable", 2.0, 0.12, fresh_s=2.0, stale_s=2.0),
    Kind("order", "fragile", 2.5, 0.12, through=True),
    Kind("form", "dedup", LONGEST_S, 0.10, through=True, window_s=2.0),
)
KINDS = {kind.name: kind for kind in DEFAULT_KINDS}


def use_deadlines(scale):
    """Scale the deadlines of all classes by a factor, in this process from now on."""
    for kind in DEFAULT_KINDS:
        KINDS[kind.name] = replace(kind, deadline_s=kind.deadline_s * scale)


def longest_s():
    """Return the longest deadline of all classes."""
    return max(kind.deadline_s for kind in KINDS.values())


def kill_after_s():
    """Return the time from SIGTERM to SIGKILL."""
    return min(LONGEST_S, longest_s()) + 0.7


def object_name(number):
    """Return the id of an object: 16 hexadecimal digits, of which the first two are its group."""
    return f"{number % GROUPS:02x}{zlib.crc32(b'object %d' % number):08x}{number:06x}"


def group_of(name):
    """Return the group of an object."""
    return int(name[:2], 16)


def slow_start_calls(age_s):
    """Return the calls per window that the settings allow for a cold server, without random variation."""
    share = SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * min(1.0, max(0.0, age_s) / SLOW_START_S)
    return SLOW_START_MULTIPLE * share * POWER * SLOW_START_WINDOW_S / WORK_S


def settings(routers):
    """Return the settings of a router in the form of the operator's configuration."""
    kinds = KINDS.values()
    return {
        "Az": ZONE,
        "Zones": [HUB, ZONE],
        "MachineTypes": [CACHE, PARENT, ORIGIN],
        "Instances": routers,
        "WeightSource": "nominal",
        "Classes": [
            {
                "Name": kind.name,
                "AimNs": 0.3 * NS,
                "AimStretch": 2.0,
                "DeadlineNs": kind.deadline_s * NS,
                "Effect": kind.effect,
                "Group": "all",
                "WindowNs": kind.window_s * NS,
                "Value": 1.0,
                "LateWorth": 0.3,
            }
            for kind in kinds
        ],
        "Limits": {
            "MaxAttempts": 5,
            "Cancel": True,
            "ConnectTimeoutNs": CONNECT_S * NS,
            "IdleCloseNs": IDLE_S * NS,
            "Multiplex": MULTIPLEX,
            "RetryAfter": True,
            "MaxRetryAfterNs": 0.5 * NS,
        },
        "Rules": {
            "ColdFrom": SLOW_START_SHARE,
            "WarmUpNs": SLOW_START_S * NS,
            "FallMultiple": SLOW_START_MULTIPLE,
            "FallNs": SLOW_START_WINDOW_S * NS,
        },
        "Specifics": {
            "UpperKind": 1,
            "MasterKind": 2,
            "PeersFill": "location",
            "Says": "all",
            "SharesFills": True,
            "OneFlowKbPerS": FLOW_KB_S,
            "GoneEverywhereNs": PURGED_EVERYWHERE_S * NS,
            "GoodForNs": [kind.fresh_s * NS for kind in kinds],
            "OlderByNs": [kind.stale_s * NS for kind in kinds],
            "WorthWhenOld": [0.5] * len(KINDS),
            "GoesThrough": [kind.through for kind in kinds],
            "ZoneBalancers": [0, routers],
        },
    }


def configuration(name, port, channel_port, seed, routers, known, descriptors, memory_mb):
    """Return the configuration of a router."""
    return {
        "name": name,
        "listen": f"{HOST}:{port}",
        "seed": f"{seed:x}",
        "channel": f"{HOST}:{channel_port}",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors},
        "flow_bytes_per_s": 4_000_000,
        "link_bytes_per_s": 40_000_000,
        "known": known,
        "settings": settings(routers),
    }


def body_of(name, part, version, made):
    """Return the body of a part: a head with its identity and time of production, then verifiable filler."""
    head = f"{name} {part} {version} {made:.6f} ".encode()
    size = 300 + zlib.crc32(f"{name}/{part}".encode()) % 9_000
    if zlib.crc32(name.encode()) % 29 == 0:
        size += 150_000
    pattern = b"%08x" % zlib.crc32(head)
    return head + pattern * (size // len(pattern))


def read_body(body):
    """Return (object, part, version, time of production) of an intact body, or None."""
    words = body.split(b" ", 4)
    if len(words) != 5:
        return None
    try:
        name = words[0].decode()
        part = int(words[1])
        version = int(words[2])
        made = float(words[3])
    except ValueError:
        return None
    return (name, part, version, made) if body == body_of(name, part, version, made) else None
