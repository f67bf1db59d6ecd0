"""Metrics of a router's view of the fleet.

They are read from the thread that serves them, so lists are copied first.
"""

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
        """Yield all metrics; called by prometheus_client."""
        transport = self.transport
        states = list(transport.peer.view.states)
        members = GaugeMetricFamily(
            "brookhinge_fleet_members", "Number of known routers by believed state", labels=["state"]
        )
        for state in MemberState:
            members.add_metric([state.label], states.count(state))
        yield members
        sharers = GaugeMetricFamily(
            "brookhinge_fleet_sharers",
            "Number of routers that share limits, in this zone (here) and in the fleet (all)",
            labels=["where"],
        )
        sharers.add_metric(["here"], transport.fleet_size.in_zone)
        sharers.add_metric(["all"], transport.fleet_size.total)
        yield sharers
        yield GaugeMetricFamily(
            "brookhinge_fleet_local_health",
            "Local health score: 0 if probes are answered, up to 8 if this router or its link is slow",
            transport.peer.health.score,
        )
        yield GaugeMetricFamily(
            "brookhinge_fleet_out",
            "1 if this router has left or an older process holds its name, otherwise 0",
            int(transport.peer.stopped),
        )
        yield _counter(
            "datagrams", "Datagrams sent, accepted (taken), or dropped, by reason", transport.codec.counts
        )
        yield _counter("changes", "Changes of members, as in the log event fleet", transport.changes)
        if transport.purge_log is not None:
            from brookhinge.purgelog.metrics import router_metrics

            yield from router_metrics(transport.purge_log)


def _counter(name: str, documentation: str, counts: dict[str, int]) -> CounterMetricFamily:
    family = CounterMetricFamily(f"brookhinge_fleet_{name}", documentation, labels=["kind"])
    for kind, count in list(counts.items()):
        family.add_metric([str(kind)], count)
    return family
