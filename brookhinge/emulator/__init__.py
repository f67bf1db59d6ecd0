"""Scripted peers for tests, demo and benchmarks: origin, command channel, caller, and a town of all of them on loopback.
Written from the platform's protocol; they stand for outside systems and are no part of the product."""
