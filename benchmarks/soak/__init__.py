"""A soak test of real processes on loopback, with overlapping troubles by seed, judged by the router's promises.

`python -m benchmarks.soak --seed N` starts routers, cache servers, boxes, command channels, clients and witnesses (proxies
that see every byte between routers and servers), troubles them, and judges from what clients and servers saw, never from what
a router says of itself. See `docs/design/soak.md`."""
