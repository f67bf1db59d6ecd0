"""What all routers saw of a server, and what one router makes of it. See docs/design/verdicts.md.

    evidence.py  counts of tries and failures by router, server and start; merged so that doubling and order change nothing
    judge.py     whether a server is at fault, by the evidence of many; whose own trouble it is otherwise
    verdicts.py  one router's side: round(now, inbox, writer), no I/O, no clock, no chance of its own
    shared.py    the decisions' Health with what peers saw as a prior, one pace of trials, and an end that ramps

Evidence is shared, never an opinion: each router decides by itself. Times are float seconds of one monotonic clock per
process; a server's start is in milliseconds of the Unix clock, as the command channel tells it."""
