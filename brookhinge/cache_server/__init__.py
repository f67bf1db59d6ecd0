"""A cache box: a cache server of the platform's protocol on the two-tier store.

    box = Box(stand, say=log); address = await box.start(); ...; await box.stop()

It answers PULL, KILL and ECHO, fills from parent, sibling or origin, joins, renews ageing copies behind, and takes list
and purges from the command channel. What it decides of a query stands in judge.py, without I/O or clock."""

from brookhinge.cache_server.service import Box

__all__ = ["Box"]
