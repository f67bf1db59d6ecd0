"""The protocol-independent core of the router: its state, the event scheduler and the log.

    events.py           inputs of the state; effects.py: its outputs; endpoints.py: servers, used by both
    scheduler.py        collects posted events, runs rounds and passes each effect to its handler
    router_state.py     (now, events) -> effects; combines the modules below; no I/O, no clock
    round_context.py    data of the current round
    client_events.py    handles client events; clients.py: connections; open_requests.py: open requests
    coalescing.py       lets a client's retry wait for the response to its first try
    attempts.py         outstanding attempts; responses.py: the final response of each request
    command_events.py   command channel events; endpoint_list.py, purges.py: the state they change
    fleet_events.py     peer notices, quotas, outlier verdicts and the purge log
    decision_sink.py    converts decisions to effects; invariants.py: checks them first
    totals.py           counters since the start; scores.py: outcomes by request class
    commands.py         decodes command channel messages to events
    lifecycle.py        phases of the process; loop_watch.py: detects stalls of the event loop
    log.py, trace.py    write events, and the steps of each request, as JSON lines
    errors.py           base class of the engine's errors

Front ends, upstream connections and the fleet depend on this package; it imports none of them. Times are
seconds since the start of the router.
"""
