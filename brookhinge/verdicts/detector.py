"""Whether a server is an outlier, by what several routers saw of it. No I/O, no clock, no state.

One router's trouble is not a server's: who sees most servers fail speaks of itself. One router, whatever it
says, ejects
nothing: its attempts count no more than the median witness's twice over, and several must have seen
    failures themselves. Not more than two in five servers are ejected for what members saw: then the cause
    lies elsewhere.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from brookhinge.verdicts.evidence import Counts, Server

OUTLIER_FAILURE_RATE = 0.3
HEALTHY_FAILURE_RATE = 0.1
OUTLIER_OVER_MEDIAN = 2.0  # an outlier's failure rate is so many times the median server's
MIN_WITNESSES = 3  # or all there are, but TWO_WITNESSES at least
TWO_WITNESSES = 2
MAX_EJECTED_FRACTION = 0.4
MAX_OVER_MEDIAN_WITNESS = 2
MIN_ATTEMPTS = 6  # of all witnesses together, before anything is said
MIN_OWN_ATTEMPTS = 8  # healthy ones of a router itself outweigh what others saw
MIN_OWN_TROUBLE_ATTEMPTS = 3
HEALTHY_TRIALS = 3  # end an ejection

Witnesses = Mapping[int, Counts]
"""What each router saw of one server, by its incarnation id."""


class Pool(NamedTuple):
    """What the witnesses of one server saw together."""

    failure_rate: float
    attempts: int
    witnesses_of_failure: int


def failure_rate(counts: tuple[int, int]) -> float:
    """The share of failures of (attempts, failures); 0 without attempts."""
    attempts, failures = counts
    return failures / attempts if attempts else 0.0


def troubled_routers(seen: Mapping[Server, Witnesses]) -> set[int]:
    """Routers that see more than two in five of their servers fail, and two at least: it is their trouble."""
    tried: dict[int, int] = {}
    failing: dict[int, int] = {}
    for witnesses in seen.values():
        for router, counts in witnesses.items():
            tried[router] = tried.get(router, 0) + 1
            failing[router] = failing.get(router, 0) + (failure_rate(counts) >= OUTLIER_FAILURE_RATE)
    return {
        router
        for router, count in failing.items()
        if count >= TWO_WITNESSES and count > MAX_EJECTED_FRACTION * tried[router]
    }


def pool(witnesses: Witnesses) -> Pool:
    """Add up what witnesses saw; none counts for more than twice the median one."""
    attempts = sorted(counts[0] for counts in witnesses.values())
    if not any(attempts):
        return Pool(0.0, 0, 0)
    median = attempts[(len(attempts) - 1) // 2]
    cap = MAX_OVER_MEDIAN_WITNESS * max(1, median)
    weight = sum(min(counts[0], cap) for counts in witnesses.values())
    failures = sum(failure_rate(counts) * min(counts[0], cap) for counts in witnesses.values())
    saw_failures = sum(counts[1] > 0 for counts in witnesses.values())
    return Pool(failures / weight, sum(attempts), saw_failures)


def find_outliers(
    seen: Mapping[Server, Witnesses], routers: int, servers: int, ejected: Collection[Server] = ()
) -> dict[Server, float]:
    """Find the servers that the evidence shows to be outliers, with their failure rates.

    Args:
        seen: what was seen of each server.
        routers: how many stand there and may be witnesses.
        servers: how many there are to choose from.
        ejected: those that are ejected already, of which evidence is scarce.
    """
    troubled = troubled_routers(seen)
    pools = {
        server: pool({router: counts for router, counts in witnesses.items() if router not in troubled})
        for server, witnesses in seen.items()
    }
    rates = [pooled.failure_rate for pooled in pools.values() if pooled.attempts]
    rates += [0.0] * (servers - len(pools))
    rates.sort()
    median = rates[(len(rates) - 1) // 2] if rates else 0.0
    needed = max(TWO_WITNESSES, min(MIN_WITNESSES, routers - len(troubled)))
    outliers = {
        server: pooled.failure_rate
        for server, pooled in pools.items()
        if pooled.failure_rate >= OUTLIER_FAILURE_RATE
        and pooled.failure_rate >= OUTLIER_OVER_MEDIAN * median
        and pooled.attempts >= MIN_ATTEMPTS
        and pooled.witnesses_of_failure >= needed
    }
    too_many = len(outliers.keys() | set(ejected)) > max(1, MAX_EJECTED_FRACTION * servers)
    return {} if too_many else outliers


def outweighs(own: tuple[int, int]) -> bool:
    """Whether what a router saw itself, (attempts, failures), goes before what members saw fail."""
    return own[0] >= MIN_OWN_ATTEMPTS and failure_rate(own) < HEALTHY_FAILURE_RATE


def own_trouble(seen: Mapping[Server, Witnesses], router: int) -> list[Server]:
    """Servers that one router alone sees fail: the fault lies on its own way there."""
    found = []
    for server, witnesses in seen.items():
        own = witnesses.get(router, Counts(0, 0))
        others = pool({other: counts for other, counts in witnesses.items() if other != router})
        if (
            own[0] >= MIN_OWN_TROUBLE_ATTEMPTS
            and failure_rate(own) >= OUTLIER_FAILURE_RATE
            and others.attempts >= MIN_ATTEMPTS
            and others.failure_rate < HEALTHY_FAILURE_RATE
        ):
            found.append(server)
    return found
