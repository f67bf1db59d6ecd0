"""Fleet outlier detection: what all routers saw of a server, and what one router makes of it.

See docs/design/verdicts.md.

    evidence.py           attempts and failures by router, server and start; doubling and order change nothing
    detector.py           whether a server is an outlier by the evidence of many; whose own trouble it is
    otherwise collection.py         the exchange of evidence, and whose turn a trial of an ejected server is
    outlier_detection.py  the core of one router: rounds, ejections, reports to the engine, status rows
    shared.py             the decisions' outlier ejection with what members saw as a prior

Evidence is shared, never an opinion: each router decides by itself. Times are float seconds of one
monotonic clock per process; a server's start is in milliseconds of the Unix clock, as the command channel
tells it.
"""
