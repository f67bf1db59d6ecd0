"""Metrics for Prometheus, served from a thread of the library's own."""

import threading
from wsgiref.simple_server import WSGIServer

from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.registry import Collector


def publish(collector: Collector, address: tuple[str, int]) -> tuple[WSGIServer, threading.Thread]:
    """Serve a collector's metrics over HTTP; it is called on the returned thread."""
    registry = CollectorRegistry()
    registry.register(collector)
    host, port = address
    return start_http_server(port, host, registry=registry)
