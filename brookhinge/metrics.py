"""Serves Prometheus metrics over HTTP from a thread started by the client library."""

import threading
from wsgiref.simple_server import WSGIServer

from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.registry import Collector


def publish(collector: Collector, address: tuple[str, int]) -> tuple[WSGIServer, threading.Thread]:
    """Serve a collector's metrics over HTTP.

    The collector is called on the returned thread.
    """
    registry = CollectorRegistry()
    registry.register(collector)
    host, port = address
    return start_http_server(port, host, registry=registry)
