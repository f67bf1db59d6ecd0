"""Emulated peers for tests, the demo and benchmarks.

Emulates the origin, the command channel and the callers, and runs local deployments of them on loopback. They
implement the platform's protocol in place of outside systems and are not part of the product.
"""
