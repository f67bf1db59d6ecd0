"""A replicated purge log.

Purges reach every router of a fleet from a few control machines, and their source knows it.

    positions.py     (epoch, index) of an entry in the log of one source; vectors of them
    messages.py      the datagrams, typed
    codec.py         datagrams to messages and back: keyed checksum, replay guard
    log.py           the bounded log of one source: recent entries, older ones as fingerprints
    replication.py   quorum reads and epochs among the control machines
    roundtrip.py     round trips, as both ends estimate them
    reader.py        one router that subscribes to a control machine: what it was sent and acknowledged
    distributor.py   all readers of one control machine: pushes, leases, reports
    progress.py      whether an entry is in force at every router, or who is missing and why
    control.py       one control machine, composed of these
    intake.py        purges of a command channel that all control machines read, appended once
    subscription.py  preferred machines, proofs, rules for a router's own copies
    subscriber.py    one router: positions, proof of completeness, change of control machine
    backfill.py      what a router missed while it was cut off, fetched as fingerprints
    copies.py        the decisions where a router must prove that it is up to date to use its own copies
    endpoint.py      UDP on an asyncio loop; client.py and server.py join the cores to it

The cores have no I/O, no clock and no chance of their own. Design, proofs and sources:
docs/design/purgelog.md.
"""
