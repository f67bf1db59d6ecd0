"""Computes the figures of a phase from counters and from the times at which purges took effect."""

import statistics
from types import MappingProxyType
from typing import NamedTuple

MIN_ELAPSED_S = 1e-9  # avoids a division by zero
KNOWN_S = 1.2  # target for a source to know a purge is in force everywhere, or to name missing routers
# names of rules for copies that a router holds (purgelog.subscriber.CopyRule)
STALE = "STALE"
PROVEN = "PROVEN"
SETS_ASIDE_RULES = (STALE, "ASIDE", "DROP")  # after these rules no older copy is used
NO_RULES = MappingProxyType({})
EXACT_RULES = (
    PROVEN,
    "READMIT",
    "DROP",
)  # after a cut, these rules end the period in which copies are set aside


class Counters(NamedTuple):
    """Counters of one router or control machine at one time.

    Attributes:
        at: Time of the counters.
        sent: Datagrams sent.
        sent_bytes: Bytes sent, with IP and UDP headers.
        received: Datagrams received.
        received_bytes: Bytes received, with IP and UDP headers.
        processor_s: Processor time in seconds.
    """

    at: float
    sent: int
    sent_bytes: int
    received: int
    received_bytes: int
    processor_s: float


class PurgeRecord(NamedTuple):
    """One purge or configuration change.

    Attributes:
        submitted: When it was submitted at its source.
        in_force: When it took effect at each router, by name.
        known: When the source knew that it was in force everywhere, or None if it never did or cannot know.
        named: Routers that the source named as missing after KNOWN_S, or None if it named none.
    """

    submitted: float
    in_force: dict[str, float]
    known: float | None = None
    named: list[str] | None = None


def spread(values, digits=1):
    """Return the median and the worst (largest) value, or None for both without values."""
    values = list(values)
    if not values:
        return {"median": None, "worst": None}
    return {"median": round(statistics.median(values), digits), "worst": round(max(values), digits)}


def counters_of_samples(samples):
    """Return counters by router from Sample messages by site.

    The processor time of a site's process is divided evenly among its routers.
    """
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
    """Return the traffic, messages and share of a core per router between two sets of counters by name."""
    rates = [rate(before[name], after[name]) for name in after if name in before]
    return {
        "bytes_s": spread(r.sent_bytes + r.received_bytes for r in rates),
        "sent_bytes_s": spread(r.sent_bytes for r in rates),
        "received_bytes_s": spread(r.received_bytes for r in rates),
        "messages_s": spread(r.sent + r.received for r in rates),
        "core_share": spread((r.processor_s for r in rates), 5),
    }


def rate(before, after):
    """Return the difference of two counters per second; `at` is that of the later one."""
    elapsed = max(MIN_ELAPSED_S, after.at - before.at)
    return Counters(after.at, *((b - a) / elapsed for a, b in zip(before[1:], after[1:])))


def effective_at(record, router, rules):
    """Return when a purge took effect at a router, or None if it did not.

    It takes effect when it arrives or when the router stops using the copies it had before.
    """
    moments = [record.in_force[router]] if router in record.in_force else []
    stale = router in rules  # a router uses no copies before its first proof
    for moment, rule in rules.get(router, ()):
        if rule in SETS_ASIDE_RULES and moment >= record.submitted:
            moments.append(moment)
        if moment <= record.submitted:
            stale = rule == STALE or (stale and rule != PROVEN)
    if stale:
        moments.append(record.submitted)
    return min(moments, default=None)


def purges(records, since, until=None, rules=NO_RULES):
    """Return how soon purges took effect at all routers that were up the whole time.

    Args:
        records: PurgeRecord by number.
        since: When each router last started, or None if it is down, by name.
        until: Seconds after its submission from which a purge counts as missed, or None for no limit.
        rules: (time, CopyRule name) of each rule of the purge log, by router.
    """
    last = []
    known = []
    missed = 0
    expected = 0
    for record in records.values():
        routers = [name for name, at in since.items() if at is not None and at < record.submitted]
        expected += len(routers)
        bound = [effective_at(record, name, rules) for name in routers]
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
    """Return how routers that were cut off caught up with the purges submitted meanwhile.

    The figures are the purges that never took effect, the longest time until one did, the routers that still
    set copies aside, and the time from the healing of the links until all routers were exact again (None if
    some never were).

    Args:
        records: PurgeRecord by number.
        routers: Names of the routers that were cut off.
        healed: When the links healed.
        rules: (time, CopyRule name) of each rule of the purge log, by router.
    """
    bound = [
        (effective_at(record, name, rules), record.submitted)
        for record in records.values()
        for name in routers
    ]
    missed = sum(at is None for at, _ in bound)
    unbound_s = max((at - submitted for at, submitted in bound if at is not None), default=0.0)
    came = [
        record.in_force[name] for record in records.values() for name in routers if name in record.in_force
    ]
    exact = [
        at for name in routers for at, rule in rules.get(name, ()) if rule in EXACT_RULES and at >= healed
    ]
    aside = [name for name in routers if name in rules and copies_set_aside(rules[name])]
    last = max([*came, *exact, healed])
    return {
        "missed_while_away": missed,
        "unbound_s": round(unbound_s, 3),
        "not_exact": len(aside),
        "catch_up_s": None if missed or aside else round(last - healed, 3),
    }


def copies_set_aside(rules):
    """Return whether, after these rules, copies are set aside or none is used."""
    stale = True
    aside = False
    for _, rule in rules:
        stale = rule == STALE or (stale and rule != PROVEN)
        aside = rule == "ASIDE" or (aside and rule not in ("READMIT", "DROP"))
    return stale or aside
