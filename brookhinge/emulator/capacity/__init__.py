"""A fleet's control plane at any size: the control path of many routers without their data path ("hollow routers").

    layout.py    regions, zones, sites and control machines; the loopback address of each
    links.py     delay, loss, doubling and cuts between sites, applied where a datagram is sent
    messages.py  what the driver and its processes say to each other
    hollow.py    one hollow router: membership, limits and verdicts as in service, counted
    worker.py    the process of one site
    driver.py    starts the processes of a fleet and ends them
    work.py      purges, drains and faults, drawn by seed
    scenario.py  the phases of a run on sockets
    virtual.py   the same cores in virtual time
    measure.py   figures of a phase
    fit.py       which curve a cost follows as the fleet grows
    page.py      docs/CAPACITY.md, written from kept figures

All clocks are `time.monotonic` of one machine, which its processes share."""
