"""Estimates how many routers share a fleet-wide limit. No I/O, no clock.

If too few are counted, the routers together can overload a cold server, so every router that may still be
alive is counted.
"""

from typing import NamedTuple

from brookhinge.membership.claims import PRESENT_STATES, MemberState
from brookhinge.membership.view import MembershipView


class FleetSize(NamedTuple):
    """The number of routers that share the limits of this router's zone and those of the whole fleet."""

    in_zone: int
    total: int


def estimate_fleet_size(
    view: MembershipView, now: float, lease_s: float, configured: int, zone: str | None = None
) -> int:
    """Count the routers that may be using a share of a limit now; at least 1.

    Alive and suspected members count. A lost member counts until `lease_s` after it was last believed alive,
    because it may only be unreachable. A member that left counts for the same time, because it may be back
    under its name before every router knows so; so does a process that was replaced under its name without
    announcing that it left. Below the configured count, only an announced departure frees a share: otherwise
    two sides of a network partition that declared each other lost would together use twice the limit.

    Args:
        view: This router's view of the fleet.
        now: Current time of the view's clock, in seconds.
        lease_s: How long a router keeps using a value after it last received anything from the others.
        configured: Number of routers in the settings; those not known yet may be running unseen.
        zone: Zone whose limit is shared; None for a limit of the whole fleet.
    """
    using = sum(
        now - alive_at < lease_s and zone in (None, member_zone) for alive_at, member_zone in view.replaced
    )
    left = 0
    for state, since, member_zone in zip(view.states, view.since, view.zones, strict=True):
        if zone not in (None, member_zone):
            continue
        is_within_lease = now - since < lease_s
        using += state in PRESENT_STATES or is_within_lease
        left += state == MemberState.LEFT and not is_within_lease
    return max(using, configured - left, 1)
