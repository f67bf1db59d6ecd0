"""What runs queries of any front: the reducer that holds all state, rounds of it on a loop, phases from start to exit.

    commands.py   the command channel's commands as events
    reducer.py    queries, pushes, servers' addresses: (now, events) -> effects; no I/O, no clock
    rounds.py     sources of events and takers of effects join it by name; one round a pass of the loop
    phases.py     starting, ready, leaving, finishing, ended
    log.py        one JSON line an event

Fronts, upstreams and talk among peers join it; it imports none of them. Times are seconds since the start."""
