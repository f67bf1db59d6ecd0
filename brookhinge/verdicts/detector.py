"""Finds outlier servers in the counts of several routers. No I/O, no clock, no state.

The counts of a router that sees many of its servers fail are ignored, since the fault is probably its own.
No single router can eject a server, whatever it reports: its attempts count at most twice as much as those
of the median witness, and several routers must have seen failures. If more than one server and more than two
in five would be ejected, no further one is: the cause is then probably not in the servers.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from brookhinge.verdicts.evidence import Counts, Server

OUTLIER_FAILURE_RATE = 0.3
HEALTHY_FAILURE_RATE = 0.1
OUTLIER_MEDIAN_MULTIPLE = 2.0  # minimum failure rate of an outlier, as a multiple of the median server's
MIN_WITNESSES = 3  # fewer in a small fleet, but never below MIN_CORROBORATION
MIN_CORROBORATION = 2  # routers that see an outlier fail; also failing servers of an impaired router
MAX_EJECTED_FRACTION = 0.4
MAX_WITNESS_MEDIAN_MULTIPLE = 2
MIN_ATTEMPTS = 6  # of all witnesses together; with fewer, a server is not judged
MIN_OWN_ATTEMPTS = 8  # of the router itself, for its own healthy rate to outweigh the fleet's evidence
MIN_LOCAL_FAILURE_ATTEMPTS = 3
MIN_HEALTHY_TRIALS = 3  # attempts that end an ejection if their failure rate is healthy

Witnesses = Mapping[int, Counts]
"""The counts of one server by the incarnation id of the router that saw them."""


class Pool(NamedTuple):
    """The combined counts of the witnesses of one server."""

    failure_rate: float
    attempts: int
    witnesses_of_failure: int


def failure_rate(counts: tuple[int, int]) -> float:
    """Return the failure rate of (attempts, failures); 0 without attempts."""
    attempts, failures = counts
    return failures / attempts if attempts else 0.0


def impaired_routers(observations: Mapping[Server, Witnesses]) -> set[int]:
    """Return the routers that see at least two, and more than two in five, of their servers fail."""
    tried: dict[int, int] = {}
    failing: dict[int, int] = {}
    for witnesses in observations.values():
        for router, counts in witnesses.items():
            tried[router] = tried.get(router, 0) + 1
            failing[router] = failing.get(router, 0) + (failure_rate(counts) >= OUTLIER_FAILURE_RATE)
    return {
        router
        for router, count in failing.items()
        if count >= MIN_CORROBORATION and count > MAX_EJECTED_FRACTION * tried[router]
    }


def pool(witnesses: Witnesses) -> Pool:
    """Combine the counts of witnesses; none weighs more than twice the median witness."""
    attempts = sorted(counts[0] for counts in witnesses.values())
    if not any(attempts):
        return Pool(0.0, 0, 0)
    median = attempts[(len(attempts) - 1) // 2]
    cap = MAX_WITNESS_MEDIAN_MULTIPLE * max(1, median)
    weight = sum(min(counts[0], cap) for counts in witnesses.values())
    failures = sum(failure_rate(counts) * min(counts[0], cap) for counts in witnesses.values())
    saw_failures = sum(counts[1] > 0 for counts in witnesses.values())
    return Pool(failures / weight, sum(attempts), saw_failures)


def find_outliers(
    observations: Mapping[Server, Witnesses], routers: int, servers: int, ejected: Collection[Server] = ()
) -> dict[Server, float]:
    """Return the outliers among the servers, with their failure rates.

    Args:
        observations: Witnesses of each server.
        routers: Number of routers in the zone, which may all be witnesses.
        servers: Number of servers to choose from.
        ejected: Servers that are already ejected, for which evidence is scarce.
    """
    impaired = impaired_routers(observations)
    pools = {
        server: pool({router: counts for router, counts in witnesses.items() if router not in impaired})
        for server, witnesses in observations.items()
    }
    rates = [pooled.failure_rate for pooled in pools.values() if pooled.attempts]
    rates += [0.0] * (servers - len(pools))
    rates.sort()
    median = rates[(len(rates) - 1) // 2] if rates else 0.0
    min_witnesses = max(MIN_CORROBORATION, min(MIN_WITNESSES, routers - len(impaired)))
    outliers = {
        server: pooled.failure_rate
        for server, pooled in pools.items()
        if pooled.failure_rate >= OUTLIER_FAILURE_RATE
        and pooled.failure_rate >= OUTLIER_MEDIAN_MULTIPLE * median
        and pooled.attempts >= MIN_ATTEMPTS
        and pooled.witnesses_of_failure >= min_witnesses
    }
    too_many = len(outliers.keys() | set(ejected)) > max(1, MAX_EJECTED_FRACTION * servers)
    return {} if too_many else outliers


def outweighs_fleet(own: tuple[int, int]) -> bool:
    """Return whether a router's own (attempts, failures) outweigh the failures that other members saw."""
    return own[0] >= MIN_OWN_ATTEMPTS and failure_rate(own) < HEALTHY_FAILURE_RATE


def local_failures(observations: Mapping[Server, Witnesses], router: int) -> list[Server]:
    """Return the servers that fail for one router only: the fault is on its own path to them."""
    failing = []
    for server, witnesses in observations.items():
        own = witnesses.get(router, Counts(0, 0))
        others = pool({other: counts for other, counts in witnesses.items() if other != router})
        if (
            own[0] >= MIN_LOCAL_FAILURE_ATTEMPTS
            and failure_rate(own) >= OUTLIER_FAILURE_RATE
            and others.attempts >= MIN_ATTEMPTS
            and others.failure_rate < HEALTHY_FAILURE_RATE
        ):
            failing.append(server)
    return failing
