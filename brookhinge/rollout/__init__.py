"""A change of program or settings through a fleet of routers in stages, judged and taken back. See docs/design/rollout.md.

    plan.py         the plan, in HCL: routers and their places, from and to, stages, how much worse is too much
    judge.py        new against old, looked at at any time: better, no worse, worse, can't tell yet
    coordinator.py  stages: (now, reports) -> commands and records; no I/O, no clock, no chance but its seed
    journal.py      what was decided, on disk before it is done: checked, append-only
    place.py        one place's routers as they should be and are: no I/O, no clock
    keeper.py       joins a place to processes, listening sockets and a link
    link.py         lines between coordinator and keepers, keyed; no I/O
    roll.py         joins a coordinator to keepers, journal and terminal

Times are float seconds of one monotonic clock per process."""
