"""Fleet outlier detection: routers share evidence of failing servers; each decides which ones to eject.

See docs/design/verdicts.md.

    evidence.py           attempts and failures by router, server and start; idempotent, in any order
    detector.py           finds outliers in the evidence of several routers, and failures local to one router
    collection.py         exchanges evidence, and assigns turns to try an ejected server
    outlier_detection.py  the core of one router: rounds, ejections, events for the engine, status rows
    shared.py             the decisions' outlier ejector, extended by the fleet's verdicts

Routers share evidence, not conclusions: each decides by itself. Times are float seconds of one monotonic
clock per process; the start time of a server comes from the command channel, in Unix milliseconds.
"""
