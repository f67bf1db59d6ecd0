"""A box's figures for Prometheus."""

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

GAUGES = {
    "memory_bytes",
    "disk_parts",
    "disk_entries",
    "disk_live_bytes",
    "disk_disk_bytes",
    "disk_segments",
    "disk_suspects",
}


class Figures:
    def __init__(self, box):
        self.box = box

    def collect(self):
        told = {**self.box.counts, **self.box.store.stats()}
        yield GaugeMetricFamily(
            "brookhinge_box_disk_on", "1 while the disk tier is used", told.pop("disk") == "on"
        )
        yield GaugeMetricFamily("brookhinge_box_open", "queries open", self.box.lines.open())
        yield GaugeMetricFamily("brookhinge_box_fills", "fills under way", len(self.box.fills))
        for name, value in told.items():
            kind = GaugeMetricFamily if name in GAUGES else CounterMetricFamily
            yield kind(f"brookhinge_box_{name}", f"see docs/operators/store.md: {name}", value)
