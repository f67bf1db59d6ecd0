"""What the bound on shared limits rests on; docs/design/limits.md derives it."""

REPORT_INTERVAL_S = 0.25  # between two offers of a lessor, and between two looks at demand
GRANT_TERM_S = 3.0  # a lessee does without what it granted for so long, by its own clock, from the request on
LEASE_TERM_S = 1.5  # a lease ends so long after it was requested, by the lessee's clock
MAX_CLOCK_DRIFT = 0.01  # relative, between the clocks of two routers

# Of its own quota a lessee never grants this fraction: a process that takes its name's place may use so much.
MIN_KEPT_FRACTION = 0.5

# A process that has just started uses nothing of its own quota, for other members have to hear of it first,
# and only the fraction above until what a predecessor granted has ended.
SILENT_S = 1.0
START_S = GRANT_TERM_S * (1.0 + MAX_CLOCK_DRIFT) + SILENT_S

DEMAND_HEADROOM = 1.25  # a lessee keeps, or asks for, so many times its recent demand
DEMAND_AVERAGING_S = 5.0  # a router with few requests is asked in lumps
ROWS_PER_DATAGRAM = 16
MAX_MISSED_REPORTS = 4.0  # after so many report intervals without a repetition a demand is over
MESSAGES_REMEMBERED = 16  # of one member: a message that answers an older one is ignored
