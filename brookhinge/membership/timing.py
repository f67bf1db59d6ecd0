"""Intervals of the membership protocol in seconds, and their scaling in a large fleet.

The derivation of the numbers is in docs/design/membership.md.
"""

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.15  # for the ack to a direct ping
GOSSIP_INTERVAL_S = 0.1  # while anything is pending
LOST_RETRY_INTERVAL_S = 2.0
EXCHANGE_INTERVAL_S = 5.0  # mean time between two sync requests of one router
CATCH_UP_INTERVAL_S = 0.6  # between sync requests while joining, if no response arrives
INTRODUCTION_WAIT_S = 0.2  # before the first sync request, so that several members are known
MAX_JOINING_S = 60.0
SEED_RETRY_INTERVAL_S = 1.0
FORGET_INTERVAL_S = 10.0
FORGET_AFTER_S = 600.0  # how long members that were lost or left are remembered, and lost ones retried
CONFLICT_TIMEOUT_S = 8.0 * PROBE_TIMEOUT_S

LARGE_FLEET_MEMBERS = 210  # probes and gossip become less frequent above this size
MAX_INTERVAL_SCALE = 2.5


def interval_scale(members: int) -> float:
    """Return the factor by which probe and gossip intervals are scaled in a fleet of `members` members."""
    return min(MAX_INTERVAL_SCALE, max(1.0, members / LARGE_FLEET_MEMBERS))
