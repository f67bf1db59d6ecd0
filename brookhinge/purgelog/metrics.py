"""Prometheus metrics of the purge log for routers and control machines.

The HTTP server's thread reads the state of the event loop: it copies whole lists and changes nothing.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from brookhinge.clock import steady

if TYPE_CHECKING:
    from brookhinge.purgelog.client import LogClient
    from brookhinge.purgelog.endpoint import Endpoint
    from brookhinge.purgelog.retained_reader import RetainedReader
    from brookhinge.purgelog.retained_replica import RetainedReplica
    from brookhinge.purgelog.server import ControlServer
    from brookhinge.purgelog.subscriber import Subscriber


def gauge(name: str, text: str, value: float) -> GaugeMetricFamily:
    """Return a gauge with the name prefix of the purge log."""
    return GaugeMetricFamily(f"brookhinge_purgelog_{name}", text, value)


def counters(name: str, text: str, label: str, counts: Mapping[str, int]) -> CounterMetricFamily:
    """Return a counter with one label from counts by label value."""
    family = CounterMetricFamily(f"brookhinge_purgelog_{name}", text, labels=[label])
    for kind, count in list(counts.items()):
        family.add_metric([kind], count)
    return family


def datagrams(endpoint: Endpoint) -> CounterMetricFamily:
    """Return the counter of an endpoint's datagrams by result."""
    return counters(
        "datagrams", "Datagrams sent, received, or dropped by reason", "kind", endpoint.codec.counts
    )


def router_metrics(client: LogClient) -> Iterator[Metric]:
    """Yield the metrics of a router's client; none before it starts."""
    subscriber = client.subscriber
    if subscriber is None:
        return
    yield gauge(
        "proof_age_seconds",
        "Time since the last moment up to which all purges are known",
        proof_age(subscriber),
    )
    yield gauge("stale", "1: no valid proof, own copies are not used", int(subscriber.stale))
    yield gauge(
        "backfilling", "1: copies are set aside until the missed purges are known", backfilling(subscriber)
    )
    yield from retained_metrics(subscriber.retained)
    yield datagrams(client)
    refused = {refusal.value: count for refusal, count in subscriber.refused.items()}
    yield counters("refused", "Messages and batches rejected, by reason", "why", refused)
    changes = {"machine": subscriber.changes_of_machine, "restart": subscriber.restarts}
    yield counters(
        "changes", "Changes of control machine, and restarts from the log heads after a gap", "of", changes
    )
    yield counters("entries", "Log entries applied", "what", {"entries": subscriber.entries})


def retained_metrics(retained: RetainedReader | RetainedReplica) -> Iterator[Metric]:
    """Yield the metrics of the retained purges that a process holds."""
    yield gauge("retained", "Purges that caches are not told of, by name", len(retained.purges.purged_at))
    yield gauge("retained_unknown", "1: some of these purges may be missing", int(not retained.is_complete))


def proof_age(subscriber: Subscriber) -> float:
    """Return the age of a router's proof in seconds, 1e9 if it has none."""
    return min(1e9, subscriber.proof_age(steady()))


def backfilling(subscriber: Subscriber) -> int:
    """Return 1 while a backfill runs, else 0."""
    return int(subscriber.backfill is not None)


class ControlMetricsCollector:
    """Collector of a control machine's metrics."""

    def __init__(self, server: ControlServer):
        self.server = server

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics."""
        node = self.server.node
        replication = node.replication
        distributor = node.distributor
        yield gauge("serving", "1: the machine serves routers", int(node.serving))
        yield gauge("recovered", "1: the machine counts in majorities", int(replication.recovered()))
        yield gauge("epoch", "Epoch of the own log; 0: none is open", replication.epoch)
        yield from retained_metrics(node.retained)
        yield gauge("readers", "Routers subscribed to this machine", len(distributor.readers))
        yield gauge("lost_readers", "Routers whose lease ended recently", len(distributor.lost))
        heads = GaugeMetricFamily(
            "brookhinge_purgelog_head", "Index of the last entry held, by source", labels=["source"]
        )
        for machine, log in zip(node.machines, list(replication.logs), strict=False):
            heads.add_metric([machine.name], log.head.index)
        yield heads
        yield datagrams(self.server)
        yield counters(
            "refused", "Messages rejected, by reason", "why", {"implausible": distributor.implausible}
        )
