"""A replicated purge log.

A few control machines deliver purges to every router of a fleet. The control machine that appended a purge
knows when it is in force everywhere.

    positions.py     (epoch, index) of an entry in the log of one source; vectors of positions
    messages.py      message types
    batching.py      batches divided into datagrams
    codec.py         encoding of datagrams: keyed checksum, replay guard
    log.py           bounded log of one source: recent entries in full, older ones as fingerprints
    replication.py   quorum reads and epochs among the control machines
    roundtrip.py     round trip estimate used at both ends
    reader.py        one router that subscribes to a control machine: what it was sent and acknowledged
    distributor.py   all readers of one control machine: pushes, leases, reports
    progress.py      whether an entry is in force at every router, or which routers are missing and why
    control.py       one control machine, composed of the modules above
    intake.py        purges of a command channel that all control machines read, appended by one of them
    subscription.py  preferred machines, proofs, rules for a router's own copies
    subscriber.py    one router: positions, proof of completeness, change of control machine
    backfill.py      purges that a router missed while it was cut off, fetched as fingerprints
    copies.py        router that uses its own copies only with a proof that it knows all purges
    interfaces.py    types shared by the cores and their callers
    endpoint.py      UDP on an asyncio loop
    client.py        subscriber of a router on UDP
    server.py        control machine on UDP and a command channel
    submit.py        submits a purge to a control machine and polls its status
    metrics.py       Prometheus metrics

The cores do no I/O and read no clock; random numbers come from a generator that the caller passes in. Design,
proofs and sources:
docs/design/purgelog.md.
"""
