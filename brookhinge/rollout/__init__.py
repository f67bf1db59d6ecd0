"""Staged rollout of a program version or of settings to a fleet, rolled back if the new version does worse.

See docs/design/rollout.md.

    plan.py                 reads and checks the plan, an HCL file
    messages.py             messages between coordinator and agents, and their names on the wire
    agent_protocol.py       encodes and authenticates the lines between them; no I/O
    journal.py              stores decisions on disk before they take effect
    stages.py               assigns the routers to stages; no I/O
    canary_analysis.py      compares the new version with the old one after each window; no I/O
    rollout_state.py        phases, outcomes and the last reported state of each router
    coordinator.py          decides the stages: takes reports, emits commands and records; no I/O
    coordinator_service.py  connects a coordinator to agents, journal and operators
    reconciler.py           moves one agent's routers to their desired versions; no I/O
    router_process.py       one process: identity, log, resource samples
    process_supervisor.py   starts, signals and polls an agent's processes
    agent.py                connects a reconciler to processes, journal and coordinators

Times are float seconds of the process's monotonic clock.
"""
