"""Soak test of real processes on loopback, with overlapping troubles drawn from a seed.

`python -m benchmarks.soak --seed N` starts routers, cache servers, boxes, command channels, clients and
witnesses (proxies that see every byte between routers and servers) and causes troubles. It judges the
router's guarantees by what clients and servers saw, never by a router's own reports.
See `docs/design/soak.md`.
"""
