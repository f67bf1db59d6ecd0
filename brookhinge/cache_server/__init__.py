"""A cache server of the platform's protocol on the two-tier store.

    server = CacheServer(settings, log); address = await server.start(); ...; await server.stop()

It answers PULL, KILL and ECHO. It fills from a parent, a sibling or the origin, lets requests join fills, and
revalidates aging copies in the background. The endpoint list and purges come from the command channel.
The decisions about a request are in cache_policy.py, which uses no I/O and no clock.
"""

from brookhinge.cache_server.service import CacheServer

__all__ = ["CacheServer"]
