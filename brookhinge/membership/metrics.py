"""A router's figures of its fleet, read from the thread that serves them: whole lists are copied, nothing is changed."""

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from brookhinge.membership.view import STATES


class Figures:
    def __init__(self, talk):
        self.talk = talk

    def collect(self):
        talk, states = self.talk, list(self.talk.peer.view.state)
        members = GaugeMetricFamily(
            "brookhinge_fleet_members", "routers by what is believed of them", labels=["state"]
        )
        for k, state in enumerate(STATES):
            members.add_metric([state], states.count(k))
        yield members
        sharers = GaugeMetricFamily(
            "brookhinge_fleet_sharers", "by how many limits are divided", labels=["where"]
        )
        for where, count in zip(("here", "all"), talk.counted):
            sharers.add_metric([where], count)
        yield sharers
        yield GaugeMetricFamily(
            "brookhinge_fleet_local_health",
            "0: probes come back; up to 8: this router is slow or its link is",
            talk.peer.health,
        )
        yield GaugeMetricFamily(
            "brookhinge_fleet_out", "1: an older process holds this router's name", int(talk.peer.out)
        )
        for name, told, help_ in (
            ("datagrams", talk.codec.counts, "sent, taken, or why one was dropped"),
            ("changes", talk.changes, "of members, as in the log"),
        ):
            counts = CounterMetricFamily(f"brookhinge_fleet_{name}", help_, labels=["kind"])
            for kind, count in list(told.items()):
                counts.add_metric([kind], count)
            yield counts
        if talk.purge_log is not None:
            from brookhinge.purgelog.metrics import router_figures

            yield from router_figures(talk.purge_log)
