"""Prometheus metrics of the purge log, of a router and of a control machine.

They are read from the thread that serves them: whole lists are copied, nothing is changed.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from brookhinge.clock import steady

if TYPE_CHECKING:
    from brookhinge.purgelog.client import LogClient
    from brookhinge.purgelog.endpoint import Endpoint
    from brookhinge.purgelog.server import ControlServer
    from brookhinge.purgelog.subscriber import Subscriber


def gauge(name: str, text: str, value: float) -> GaugeMetricFamily:
    """Return a gauge of the purge log."""
    return GaugeMetricFamily(f"brookhinge_purgelog_{name}", text, value)


def counters(name: str, text: str, label: str, counts: Mapping[str, int]) -> CounterMetricFamily:
    """Return a counter with one label, from counts by that label."""
    family = CounterMetricFamily(f"brookhinge_purgelog_{name}", text, labels=[label])
    for kind, count in list(counts.items()):
        family.add_metric([kind], count)
    return family


def datagrams(endpoint: Endpoint) -> CounterMetricFamily:
    """Return the counter of an endpoint's datagrams."""
    return counters("datagrams", "sent, received, or why one was dropped", "kind", endpoint.codec.counts)


def router_figures(client: LogClient) -> Iterator[Metric]:
    """Yield the metrics of a router's client; none before it has started."""
    subscriber = client.subscriber
    if subscriber is None:
        return
    yield gauge(
        "proof_age_seconds", "since the last moment to which all purges are known", proof_age(subscriber)
    )
    yield gauge("stale", "1: no proof, own copies are not used", int(subscriber.stale))
    yield gauge(
        "backfilling", "1: copies are set aside until it is known which were purged", backfilling(subscriber)
    )
    yield datagrams(client)
    refused = {refusal.value: count for refusal, count in subscriber.refused.items()}
    yield counters("refused", "messages and batches that could not be used", "why", refused)
    changes = {"machine": subscriber.changes_of_machine, "restart": subscriber.restarts}
    yield counters("changes", "of control machine; goings on from the heads after a gap", "of", changes)
    yield counters("entries", "applied", "what", {"entries": subscriber.entries})


def proof_age(subscriber: Subscriber) -> float:
    """Return the age of a router's proof in seconds, bounded for a router without one."""
    return min(1e9, subscriber.proof_age(steady()))


def backfilling(subscriber: Subscriber) -> int:
    """Return 1 while a backfill runs."""
    return int(subscriber.backfill is not None)


class ControlFigures:
    """Collector of a control machine's metrics."""

    def __init__(self, server: ControlServer):
        self.server = server

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics."""
        node = self.server.node
        replication = node.replication
        distributor = node.distributor
        yield gauge("serving", "1: routers are served", int(node.serving))
        yield gauge("recovered", "1: counts in majorities", int(replication.recovered()))
        yield gauge("epoch", "of the own log; 0: none is open", replication.epoch)
        yield gauge("readers", "routers that read here", len(distributor.readers))
        yield gauge("lost_readers", "routers whose lease ended lately", len(distributor.lost))
        heads = GaugeMetricFamily(
            "brookhinge_purgelog_head", "last entry held of each source", labels=["source"]
        )
        for machine, log in zip(node.machines, list(replication.logs), strict=False):
            heads.add_metric([machine.name], log.head.index)
        yield heads
        yield datagrams(self.server)
        yield counters(
            "refused", "messages that could not be used", "why", {"implausible": distributor.implausible}
        )
