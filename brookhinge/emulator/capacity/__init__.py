"""Measures the control plane of a fleet of any size, with routers that run no data path ("hollow routers").

    layout.py               regions, zones, sites and control machines, and the loopback address of each
    links.py                delay, loss, duplication and cuts between sites, applied by the sender
    messages.py             messages between the driver and its processes
    hollow.py               one hollow router: production membership, limits and verdicts, with counters
    purge_log_processes.py  the purge log on sockets: a router's client and a control machine
    worker.py               the process of one site or one control machine
    driver.py               starts and stops the processes of a fleet
    work.py                 random purges, drains and faults, reproducible by seed
    stage.py                one interface to a fleet on sockets and in virtual time
    scenario.py             the phases of a run
    virtual.py              the same cores in virtual time
    virtual_log.py          the purge log in virtual time
    hour.py                 a region cut off for an hour, in virtual time
    measure.py              figures of a phase
    fit.py                  which curve a cost follows as the fleet grows
    router.py               one real router with its data path
    runs.py                 the runs behind each command
    results.py              rows of figures and the file that stores them
    page.py                 generates docs/CAPACITY.md from the stored figures

All timestamps are `time.monotonic` of one machine, which its processes share, except in virtual time.
"""
