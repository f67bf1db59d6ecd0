"""Figures of one phase of a run, from counters before and after and from the moments at which purges came into force."""

import statistics
from types import MappingProxyType
from typing import NamedTuple

SAME_MOMENT_S = 1e-9
KNOWN_S = 1.2  # by then a source is to know that a purge is in force everywhere, or to name who is missing
# rules of the purge log (purgelog.subscriber.CopyRule)
STALE = "STALE"
PROVEN = "PROVEN"
SETS_ASIDE = (STALE, "ASIDE", "DROP")  # from these on no copy from before is used
NO_RULES = MappingProxyType({})
EXACT = (PROVEN, "READMIT", "DROP")  # these end the time after a cut in which copies are set aside


class Counters(NamedTuple):
    """Counters of one router at one moment."""

    at: float
    sent: int
    sent_bytes: int
    received: int
    received_bytes: int
    processor_s: float


class PurgeRecord(NamedTuple):
    """One purge: when its source told it, when it came to each router, when the source knew that it is in force at all
    (None: never, or the mechanism cannot tell)."""

    submitted: float
    in_force: dict[str, float]
    known: float | None = None
    named: list[str] | None = None  # whom the source named as missing when the time was over


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


def bound_at(record, router, rules):
    """When a purge bound a router: it came, or the router stopped to use what it had from before. None: neither."""
    moments = [record.in_force[router]] if router in record.in_force else []
    stale = router in rules  # until its first proof it uses nothing
    for moment, rule in rules.get(router, ()):
        if rule in SETS_ASIDE and moment >= record.submitted:
            moments.append(moment)
        if moment <= record.submitted:
            stale = rule == STALE or stale and rule != PROVEN
    if stale:
        moments.append(record.submitted)
    return min(moments, default=None)


def purges(records, since, until=None, rules=NO_RULES):
    """How soon purges bound all routers that were up all the time.

    records  PurgeRecord by number
    since    router -> when it last started; None: not up
    until    a purge that bound later than so many seconds after it was told counts as missed
    rules    router -> (moment, CopyRule) of the purge log"""
    last = []
    known = []
    missed = 0
    expected = 0
    for record in records.values():
        routers = [name for name, at in since.items() if at is not None and at < record.submitted]
        expected += len(routers)
        bound = [bound_at(record, name, rules) for name in routers]
        arrived = [at for at in bound if at is not None]
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
        "known_in_time": sum(seconds <= KNOWN_S for seconds in known),
        "named": sum(bool(record.named) for record in records.values()),
        "missed": missed,
        "expected": expected,
    }


def catch_up(records, routers, healed, rules=NO_RULES):
    """What became, at routers that were cut off, of the purges told meanwhile: how many never bound, for how long at most
    one did not bind, and how long after the links healed each router was exact again."""
    bound = [
        (bound_at(record, name, rules), record.submitted) for record in records.values() for name in routers
    ]
    missed = sum(at is None for at, _ in bound)
    unbound_s = max((at - submitted for at, submitted in bound if at is not None), default=0.0)
    came = [
        record.in_force[name] for record in records.values() for name in routers if name in record.in_force
    ]
    exact = [at for name in routers for at, rule in rules.get(name, ()) if rule in EXACT and at >= healed]
    aside = [name for name in routers if name in rules and set_aside(rules[name])]
    last = max([*came, *exact, healed])
    return {
        "missed_while_away": missed,
        "unbound_s": round(unbound_s, 3),
        "not_exact": len(aside),
        "catch_up_s": None if missed or aside else round(last - healed, 3),
    }


def set_aside(rules):
    """Whether copies are set aside, or none is used, after these rules."""
    stale = True
    aside = False
    for _, rule in rules:
        stale = rule == STALE or stale and rule != PROVEN
        aside = rule == "ASIDE" or aside and rule not in ("READMIT", "DROP")
    return stale or aside
