"""A cache server of the platform's protocol on the two-tier store.

    server = CacheServer(settings, log); address = await server.start(); ...; await server.stop()

It answers PULL, KILL and ECHO, fills from parent, sibling or origin, joins fills, revalidates ageing copies
behind the answer, and takes the server list and purges from the command channel. What it decides on a request
stands in cache_policy.py, without I/O or clock.
"""

from brookhinge.cache_server.service import CacheServer

__all__ = ["CacheServer"]
