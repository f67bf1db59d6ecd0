"""Figures for Prometheus, served from a thread of the library's own."""

from prometheus_client import CollectorRegistry, start_http_server


def publish(collector, address):
    """collector: collect() yields metric families; it is called on that thread. Returns (server, thread)."""
    registry = CollectorRegistry()
    registry.register(collector)
    return start_http_server(address[1], address[0], registry=registry)
