"""Settings of a small deployment, after the example of the protocol note and the figures of the sites."""

from typing import NamedTuple

SECOND = 1_000_000_000
MS = 1_000_000


class Track(NamedTuple):
    """A track; times in milliseconds and seconds as named.

    Attributes:
        name: Its name.
        effect: `retryable`, `dedup` or `fragile`.
        aim_ms: Contract time.
        patience_ms: When the client gives up.
        worth: Utility of a query.
        fresh_s: How long a copy is fresh; 0: until it is purged.
        grace_s: How much older a copy may be.
    """

    name: str
    effect: str
    aim_ms: int
    patience_ms: int
    worth: float
    fresh_s: int = 0
    grace_s: int = 0

    def values(self) -> dict[str, object]:
        """Return the settings of the track."""
        return {
            "Name": self.name,
            "Effect": self.effect,
            "Group": "all",
            "WindowNs": 5 * SECOND,
            "AimNs": self.aim_ms * MS,
            "AimStretch": 2.0,
            "DeadlineNs": self.patience_ms * MS,
            "LateWorth": 0.15,
            "Stream": False,
            "Value": self.worth,
        }


TENDER_DOCS = Track("tender-docs", "retryable", 400, 5000, 2.0)
NOTICE_PAGES = Track("notice-pages", "retryable", 300, 3000, 1.0, fresh_s=5, grace_s=20)
GUIDE_ITEMS = Track("guide-items", "retryable", 300, 3000, 1.0, fresh_s=12)


def router_config(
    channel: tuple[str, int], known: dict, tracks: list[Track], *, notice_ms: int, stations: int = 1
) -> dict[str, object]:
    """Return the configuration of the only router of the first of `stations`, with a few cache servers."""
    host, port = channel
    return {
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "channel": f"{host}:{port}",
        "flow_bytes_per_s": 310000,
        "link_bytes_per_s": 1240000,
        "known": known,
        "settings": {
            "Az": "edge-1",
            "Zones": ["main-hub", *(f"edge-{number + 1}" for number in range(stations))],
            "MachineTypes": ["small-box", "parent", "origin"],
            "Instances": stations,
            "MyNumber": 0,
            "Classes": [track.values() for track in tracks],
            "Discovery": "automatic",
            "Limits": {
                "Cancel": True,
                "ConnectTimeoutNs": 400 * MS,
                "IdleCloseNs": 30 * SECOND,
                "MaxAttempts": 8,
                "Multiplex": 32,
                "OpenCap": 26666,
                "Probes": False,
                "RetryAfter": False,
                "SecondCopies": False,
            },
            "Report": {"Columns": [], "How": "silent"},
            "Rules": {
                "AskWithinNs": 10 * SECOND,
                "ColdFrom": 0.15,
                "FallMultiple": 2.5,
                "FallNs": 2 * SECOND,
                "GraceToAnswerNs": 8 * MS,
                "StopSendingWithinNs": 500 * MS,
                "WarmUpNs": 18 * SECOND,
            },
            "Specifics": {
                "GoesThrough": [False] * len(tracks),
                "GoneEverywhereNs": 6 * SECOND,
                "GoodForNs": [track.fresh_s * SECOND for track in tracks],
                "OlderByNs": [track.grace_s * SECOND for track in tracks],
                "WorthWhenOld": [0.7] * len(tracks),
                "MasterKind": 2,
                "UpperKind": 1,
                "NoticeTimeNs": notice_ms * MS,
                "OneFlowKbPerS": 3600.0,
                "InletKbPerS": [0.0, *[34208.0] * stations],
                "PeersFill": "any",
                "Says": "all",
                "SharesFills": True,
                "Straight": True,
                "ParentBreaksAt": 2.0,
                "ParentColdFrom": 0.095,
                "UpperColdNs": 21 * SECOND,
                "ZoneBalancers": [0, *[1] * stations],
            },
            "WeightSource": "nominal",
            "Workload": "edge",
        },
    }
