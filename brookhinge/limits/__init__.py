"""Limits that hold for the whole fleet: each router's part of a whole follows its demand. See docs/design/limits.md.

    terms.py    the times and parts that the bound rests on
    holder.py   one router's parts: what it has by itself, what it gave away for a time, what it was lent for a time
    keeper.py   lends what was given to it, never more, to whom most is wanting
    limits.py   both for one router: round(now, inbox, writer), no I/O, no clock, no chance of its own
    shared.py   the decisions' budgets with parts that change

A limit is (kind, server, start): kind "cache", "parent" (what a cold server bears) or "room" (what may be in flight to a
server); start in milliseconds of the Unix clock as the command channel tells it. A part is a fraction of the whole, 0 to 1.
Times are float seconds of one monotonic clock per process. After escrow (O'Neil, TODS 1986) and demarcation (Barbara,
Garcia-Molina, VLDB J. 1994), with leases (Gray, Cheriton, SOSP 1989) for an end on every promise."""
