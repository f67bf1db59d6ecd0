"""Prometheus metrics of a cache server."""

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from brookhinge.cache_server.service import CacheServer

_GAUGES = frozenset(
    {
        "memory_bytes",
        "disk_parts",
        "disk_entries",
        "disk_live_bytes",
        "disk_disk_bytes",
        "disk_segments",
        "disk_suspects",
    }
)


class CacheServerCollector:
    """Collects the metrics `brookhinge_box_*` of one cache server."""

    def __init__(self, server: CacheServer) -> None:
        self._server = server

    def collect(self) -> Iterator[GaugeMetricFamily | CounterMetricFamily]:
        """Yield the current values of all metrics."""
        stats = self._server.stats()
        disk_is_on = stats.pop("disk") == "on"
        yield GaugeMetricFamily("brookhinge_box_disk_on", "1 while the disk tier is used", disk_is_on)
        yield GaugeMetricFamily(
            "brookhinge_box_open", "queries open", self._server.line_server.open_requests()
        )
        yield GaugeMetricFamily("brookhinge_box_fills", "fills under way", self._server.fills.running())
        for name, value in stats.items():
            family = GaugeMetricFamily if name in _GAUGES else CounterMetricFamily
            yield family(f"brookhinge_box_{name}", f"see docs/operators/store.md: {name}", value)
