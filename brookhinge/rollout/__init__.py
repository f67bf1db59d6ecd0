"""Staged changes of program or settings through a fleet, rolled back if they do worse.

See docs/design/rollout.md.

    plan.py                 the plan, in HCL
    messages.py             messages between coordinator and agents, and their names on the wire
    agent_protocol.py       authenticated lines between them; no I/O
    journal.py              decisions on disk before they take effect
    stages.py               which routers are changed in which stage; no I/O
    canary_analysis.py      new against old, valid at any time; no I/O
    rollout_state.py        phases, outcomes and what is known of each router
    coordinator.py          stages: reports in, commands and records out; no I/O
    coordinator_service.py  joins a coordinator to agents, journal and operators
    reconciler.py           desired and actual state of one agent's routers; no I/O
    router_process.py       one process: identity, log, resource samples
    process_supervisor.py   starts, signals and watches an agent's processes
    agent.py                joins a reconciler to processes, journal and coordinators

Times are float seconds of one monotonic clock for each process.
"""
