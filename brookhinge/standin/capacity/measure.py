"""Figures of one phase of a run, from counters before and after and from the moments at which purges came into force."""

import statistics
from typing import NamedTuple

SAME_MOMENT_S = 1e-9


class Counters(NamedTuple):
    """Counters of one router at one moment."""

    at: float
    sent: int
    sent_bytes: int
    received: int
    received_bytes: int
    processor_s: float


class PurgeRecord(NamedTuple):
    """One purge: when its source told it, when it came into force at each router, when the source knew that it had at all
    (None: never, or the mechanism cannot tell)."""

    submitted: float
    in_force: dict[str, float]
    known: float | None = None


def spread(values, digits=1):
    """Median and worst (largest) of some values."""
    values = list(values)
    if not values:
        return {"median": None, "worst": None}
    return {"median": round(statistics.median(values), digits), "worst": round(max(values), digits)}


def counters_of_samples(samples):
    """Counters by router of Sample messages by site. A site's processor time is divided by its routers."""
    counters = {}
    for sample in samples.values():
        for router in sample.routers:
            counters[router.name] = Counters(
                sample.at,
                router.sent,
                router.sent_bytes,
                router.received,
                router.received_bytes,
                sample.processor_s / len(sample.routers),
            )
    return counters


def cost(before, after):
    """What routers spent between two sets of counters: bytes (both ways, and each), messages, part of a core."""
    rates = [rate(before[name], after[name]) for name in after if name in before]
    return {
        "bytes_s": spread(r.sent_bytes + r.received_bytes for r in rates),
        "sent_bytes_s": spread(r.sent_bytes for r in rates),
        "received_bytes_s": spread(r.received_bytes for r in rates),
        "messages_s": spread(r.sent + r.received for r in rates),
        "core_share": spread((r.processor_s for r in rates), 5),
    }


def rate(before, after):
    """Counters a second between two."""
    elapsed = max(SAME_MOMENT_S, after.at - before.at)
    return Counters(after.at, *((b - a) / elapsed for a, b in zip(before[1:], after[1:])))


def purges(records, since, until=None):
    """How soon purges came into force at all routers that were up all the time.

    records  PurgeRecord by number
    since    router -> when it last started; None: not up
    until    a purge that came later than so many seconds after it was told counts as missed"""
    last, known, missed, expected = [], [], 0, 0
    for record in records.values():
        routers = [name for name, at in since.items() if at is not None and at < record.submitted]
        expected += len(routers)
        arrived = [record.in_force[name] for name in routers if name in record.in_force]
        took = [at - record.submitted for at in arrived]
        late = sum(until is not None and seconds > until for seconds in took)
        missed += len(routers) - len(arrived) + late
        if took:
            last.append(max(took))
        if record.known is not None:
            known.append(record.known - record.submitted)
    return {
        "purges": len(records),
        "all_s": spread(last, 3),
        "known_s": spread(known, 3),
        "known": len(known),
        "missed": missed,
        "expected": expected,
    }


def catch_up(records, routers, healed):
    """What became, at routers that were cut off, of the purges told meanwhile: how many never came, and how long after the
    links healed the last one did."""
    came = [
        record.in_force[name] for record in records.values() for name in routers if name in record.in_force
    ]
    missed = len(records) * len(routers) - len(came)
    last = max((at - healed for at in came), default=0.0)
    return {"missed_while_away": missed, "catch_up_s": round(max(0.0, last), 3) if not missed else None}
