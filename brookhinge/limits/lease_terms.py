"""Durations and fractions that the bound on shared limits depends on; docs/design/limits.md derives it."""

REPORT_INTERVAL_S = 0.25  # between the offers of a lessor, and between the samples of demand
GRANT_TERM_S = 3.0  # a lessee does not use what it granted, from its request on, by its own clock
LEASE_TERM_S = 1.5  # from the lessee's request to the end of the lease, by the lessee's clock
MAX_CLOCK_DRIFT = 0.01  # relative difference in speed between the clocks of two routers

# Fraction of its own quota that a lessee never grants: a new process of the same name may use this much while
# grants of its predecessor are still in force.
MIN_KEPT_FRACTION = 0.5

# A process that has just started uses none of its own quota until the other members have learned of it, then
# only MIN_KEPT_FRACTION of it until the grants of its predecessor have expired.
NO_QUOTA_S = 1.0
START_S = GRANT_TERM_S * (1.0 + MAX_CLOCK_DRIFT) + NO_QUOTA_S

DEMAND_HEADROOM = 1.25  # quota that a lessee keeps or requests, as a multiple of its recent demand
DEMAND_AVERAGING_S = 5.0  # long enough for routers whose few requests arrive in bursts
ROWS_PER_DATAGRAM = 16
MAX_MISSED_REPORTS = 4.0  # a need that is not repeated for this many report intervals has ended
MESSAGES_REMEMBERED = 16  # per member; a message that acknowledges an older one is ignored
