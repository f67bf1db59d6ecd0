"""By how many a limit of the whole fleet is divided. No I/O, no clock.

Counting too few routers lets all together overload a cold server, so whoever may still be alive counts.
"""

from typing import NamedTuple

from brookhinge.membership.claims import PRESENT_STATES, MemberState
from brookhinge.membership.view import MembershipView


class FleetSize(NamedTuple):
    """How many routers share the limits of this router's zone, and those of the whole fleet."""

    in_zone: int
    total: int


def estimate_fleet_size(
    view: MembershipView, now: float, lease_s: float, configured: int, zone: str | None = None
) -> int:
    """Count the routers that may be using a share of a limit now; 1 at least.

    Who is alive or suspected counts. Who was lost counts until `lease_s` after it was last believed alive:
    it may only be cut off. Who left counts as long: it may be back under its name, and not everybody know
    so yet. So does a process that was replaced under its name without a claim of leaving. Below what the
    settings tell, only a claim of leaving frees a share: two sides of a cut that each gave the other up
    would together use twice the whole.

    Args:
        view: the fleet's.
        now: seconds of the view's clock.
        lease_s: how long a router goes on using a figure once it receives nothing from the others.
        configured: routers as the settings say: those not known yet may be there unseen.
        zone: the zone whose limit is meant; None for a limit of the whole fleet.
    """
    using = sum(now - at < lease_s and zone in (None, there) for at, there in view.replaced)
    left = 0
    for state, since, there in zip(view.states, view.since, view.zones, strict=True):
        if zone not in (None, there):
            continue
        is_within_lease = now - since < lease_s
        using += state in PRESENT_STATES or is_within_lease
        left += state == MemberState.LEFT and not is_within_lease
    return max(using, configured - left, 1)
