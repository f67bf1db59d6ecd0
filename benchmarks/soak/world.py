"""What stands in a soak: classes, limits, servers, and the configuration of a router among them."""

import os
import zlib
from dataclasses import dataclass, replace

from brookhinge.emulator.ports import own_host

# A loopback address that no other soak uses: the driver chooses it, its processes find it in their environment.
HOST = os.environ.setdefault("SOAK_HOST", own_host())
NS = 1e9
ZONE = "edge-1"
HUB = "hub"
CACHE = "box"
PARENT = "parent"
ORIGIN = "origin"
OBJECTS = 300
GROUPS = 16
SIZE_KB = 25.0  # of every part, as the settings count it; the bytes on the socket are fewer
FLOW_KB_S = 1000.0
WORK_S = SIZE_KB / FLOW_KB_S  # seconds of sending of one call
POWER = 2  # transfers at once that a warm server does
SLOW_START_SHARE = 0.04
SLOW_START_S = 20.0
SLOW_START_MULTIPLE = 1.0
SLOW_START_WINDOW_S = 1.0
PURGED_EVERYWHERE_S = 5.0  # after a purge no server holds an old copy any more
CONNECT_S = 0.6
IDLE_S = 8.0
MULTIPLEX = 16
LONGEST_S = 3.0  # the longest deadline of the usual deployment
DRAIN_GRACE_S = 0.5
PURGE_GRACE_S = 0.5


@dataclass(frozen=True)
class Kind:
    """A class of requests. Times are seconds; fresh_s 0: good until purged."""

    name: str
    effect: str  # 'retryable', 'dedup' or 'fragile', as the settings name it
    deadline_s: float
    share: float  # of the requests
    fresh_s: float = 0.0
    stale_s: float = 0.0
    through: bool = False
    window_s: float = 0.0


USUAL = (
    Kind("page", "retryable", 2.5, 0.66),
    Kind("feed", "retryable", 2.0, 0.12, fresh_s=2.0, stale_s=2.0),
    Kind("order", "fragile", 2.5, 0.12, through=True),
    Kind("form", "dedup", LONGEST_S, 0.10, through=True, window_s=2.0),
)
KINDS = {kind.name: kind for kind in USUAL}


def use_deadlines(scale):
    """Classes with deadlines of so much of the usual ones, in this process from now on."""
    for kind in USUAL:
        KINDS[kind.name] = replace(kind, deadline_s=kind.deadline_s * scale)


def longest_s():
    return max(kind.deadline_s for kind in KINDS.values())


def kill_after_s():
    """From SIGTERM to the earliest SIGKILL."""
    return min(LONGEST_S, longest_s()) + 0.7


def object_name(number):
    """The object's id, 16 hex digits; its first two are its group."""
    return f"{number % GROUPS:02x}{zlib.crc32(b'object %d' % number):08x}{number:06x}"


def group_of(name):
    return int(name[:2], 16)


def slow_start_calls(age_s):
    """Calls in one window that the settings allow a cold server of that age, before what chance adds."""
    share = SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * min(1.0, max(0.0, age_s) / SLOW_START_S)
    return SLOW_START_MULTIPLE * share * POWER * SLOW_START_WINDOW_S / WORK_S


def settings(routers):
    """The settings of a router, as the operators' configuration gives them."""
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


def configuration(name, port, channel_port, seed, routers, known, descriptors):
    return {
        "name": name,
        "listen": f"{HOST}:{port}",
        "seed": f"{seed:x}",
        "channel": f"{HOST}:{channel_port}",
        "limits": {"cores": 1.0, "memory_mb": 96, "sockets": descriptors},
        "flow_bytes_per_s": 4_000_000,
        "link_bytes_per_s": 40_000_000,
        "known": known,
        "settings": settings(routers),
    }


def body_of(name, part, version, made):
    """The bytes of a part: a head that tells what they are and when the origin made them, and filler that can be checked."""
    head = f"{name} {part} {version} {made:.6f} ".encode()
    size = 300 + zlib.crc32(f"{name}/{part}".encode()) % 9_000
    if zlib.crc32(name.encode()) % 29 == 0:
        size += 150_000
    pattern = b"%08x" % zlib.crc32(head)
    return head + pattern * (size // len(pattern))


def read_body(body):
    """(object, part, version, when the origin made it) of bytes that are whole and unchanged, else None."""
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
