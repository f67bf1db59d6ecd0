"""Limits that hold for the whole fleet: each router's quota of a whole follows its demand.

After escrow (O'Neil, TODS 1986) and demarcation (Barbara, Garcia-Molina, VLDB J. 1994), with
leases (Gray, Cheriton, SOSP 1989) for an end on every promise; see docs/design/limits.md.

    lease_terms.py     the times and fractions that the bound rests on
    records.py         a limit, a grant, a lease, and the rows of the messages
    lessee.py          one router's quotas: its own, granted away for a time, leased for a time
    lessor.py          leases out what was granted to it, never more, to whom most is lacking
    demand.py          what this router was asked for lately
    lease_protocol.py  requests and offers between lessees and lessors
    limits.py          the core of one router: rounds, reporting to the engine, status rows
    shared.py          the decisions' budgets with quotas that change

A quota is a fraction of the whole, 0 to 1. Times are float seconds of one monotonic clock per process.
"""
