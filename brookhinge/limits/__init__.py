"""Fleet-wide limits: each router has a quota of a limit, and the quotas follow the routers' demand.

The method follows escrow (O'Neil, TODS 1986) and demarcation (Barbara, Garcia-Molina, VLDB J. 1994). Quota is
transferred by leases (Gray, Cheriton, SOSP 1989), so that every transfer expires; see docs/design/limits.md.

    lease_terms.py     durations and fractions that the fleet-wide bound depends on
    records.py         limits, grants, leases, and the rows of the messages
    lessee.py          one router's quotas: its own, minus grants to lessors, plus leases from them
    lessor.py          leases what was granted to it, never more, to the routers that are short of quota
    demand.py          this router's recent demand
    lease_protocol.py  requests and offers between lessees and lessors
    limits.py          the core of one router: rounds, events for the engine, status rows
    shared.py          slow start budget and concurrency limiter of the decisions, with assigned quotas

A quota is a fraction of a limit, 0 to 1. Times are float seconds of one monotonic clock per process.
"""
