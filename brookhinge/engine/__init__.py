"""What runs the requests of any front end: state, its scheduler on a loop, and the log.

    events.py           what sources report; effects.py: what is to be done; endpoints.py: servers in both
    scheduler.py        sources post events, registered handlers carry effects out; a round a pass of the loop
    router_state.py     (now, events) -> effects; joins the modules below; no I/O, no clock
    round_context.py    what the current round has gathered
    client_events.py    connections, requests and withdrawals; clients.py, open_requests.py: their records
    coalescing.py       a client's retry waits for the response to its first try
    attempts.py         attempts that are out; responses.py: the final response of each request
    command_events.py   the command channel; endpoint_list.py, purges.py: what its commands change
    fleet_events.py     peers, quotas, verdicts, the purge log
    decision_sink.py    decisions become effects; invariants.py: checks of each just before
    totals.py           totals since the start; scores.py: outcomes by request class
    commands.py         the command channel's words, decoded to events
    lifecycle.py        phases of the process; loop_watch.py: stalls of the loop
    log.py, trace.py    JSON lines of events, and of each step of each request
    errors.py           the base of the errors of all of them

Fronts, upstreams and the fleet join it; it imports none of them. Times are seconds since the start.
"""
