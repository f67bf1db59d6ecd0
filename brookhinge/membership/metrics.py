"""A router's metrics of its fleet, read from the thread that serves them: lists are copied first."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from prometheus_client import Metric
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from brookhinge.membership.claims import MemberState

if TYPE_CHECKING:
    from brookhinge.membership.udp_transport import UdpTransport


class FleetCollector:
    """Collects the metrics of one transport and its peer."""

    def __init__(self, transport: "UdpTransport") -> None:
        self.transport = transport

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics, as prometheus_client asks."""
        transport = self.transport
        states = list(transport.peer.view.states)
        members = GaugeMetricFamily(
            "brookhinge_fleet_members", "routers by what is believed of them", labels=["state"]
        )
        for state in MemberState:
            members.add_metric([state.label], states.count(state))
        yield members
        sharers = GaugeMetricFamily(
            "brookhinge_fleet_sharers", "by how many limits are divided", labels=["where"]
        )
        sharers.add_metric(["here"], transport.fleet_size.in_zone)
        sharers.add_metric(["all"], transport.fleet_size.total)
        yield sharers
        yield GaugeMetricFamily(
            "brookhinge_fleet_local_health",
            "0: probes come back; up to 8: this router is slow or its link is",
            transport.peer.health.score,
        )
        yield GaugeMetricFamily(
            "brookhinge_fleet_out",
            "1: an older process holds this router's name",
            int(transport.peer.stopped),
        )
        yield _counter("datagrams", "sent, taken, or why one was dropped", transport.codec.counts)
        yield _counter("changes", "of members, as in the log", transport.changes)
        if transport.purge_log is not None:
            from brookhinge.purgelog.metrics import router_metrics

            yield from router_metrics(transport.purge_log)


def _counter(name: str, documentation: str, counts: dict[str, int]) -> CounterMetricFamily:
    family = CounterMetricFamily(f"brookhinge_fleet_{name}", documentation, labels=["kind"])
    for kind, count in list(counts.items()):
        family.add_metric([str(kind)], count)
    return family
