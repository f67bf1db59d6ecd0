"""Measures one real router with its data path on a process cluster.

The figures are processor time per request and per Gbit, memory per remembered object, and open descriptors
for a number of cache servers. Clients, cache servers and origin run in the measuring process and limit the
request rate, so the capacity of a core is calculated from the processor time of the router's process.
"""

import asyncio
import os
import resource
import tempfile
import time

from brookhinge.emulator.origin import Origin
from brookhinge.emulator.process_cluster import ProcessCluster

CONNECTIONS = 4
REQUESTS_PER_CONNECTION = 2  # in flight at once
# smallest and largest object in bytes
SMALL = (5_000, 5_000)
LARGE = (200_000, 200_000)
OBJECTS = 50
MEASURED_S = 6.0
FRESH_OBJECTS = 10_000
REQUEST_TIMEOUT_MS = 2_900


class RouterProcess:
    """Reads the counters of a process from /proc."""

    def __init__(self, pid):
        self.pid = pid

    def processor_s(self):
        """Return user and system processor time in seconds."""
        with open(f"/proc/{self.pid}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_bytes(self):
        """Return the resident memory in bytes."""
        with open(f"/proc/{self.pid}/statm") as file:
            return int(file.read().split()[1]) * resource.getpagesize()

    def descriptors(self):
        """Return the number of open descriptors."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))


class Tally:
    """Counts the results of requests.

    Attributes:
        satisfied: Number of satisfied requests.
        other: Number of all other answers.
        body_bytes: Total size of the bodies of satisfied requests.
    """

    def __init__(self):
        self.satisfied = self.other = self.body_bytes = 0

    def add(self, kind, body):
        """Count one answer."""
        if kind == "satisfied":
            self.satisfied += 1
            self.body_bytes += len(body)
        else:
            self.other += 1


async def request_until(caller, objects, end, tally, size_kb):
    """Send one request after another until `end`, or until there are no objects left."""
    for key in objects:
        if time.monotonic() >= end:
            return
        kind, body = await caller.ask(key, size_kb=size_kb, patience_ms=REQUEST_TIMEOUT_MS)
        tally.add(kind, body)


def cycle_keys(prefix, first):
    """Yield the keys of the same OBJECTS objects in an endless cycle, from number `first`."""
    number = first
    while True:
        yield f"{prefix}{number % OBJECTS:015x}"
        number += 1


async def load(cluster, end, streams, size_kb):
    """Send streams of requests over several connections and return their Tally."""
    tally = Tally()
    callers = [await cluster.caller("n1") for _ in range(CONNECTIONS)]
    requests = [
        request_until(callers[k % CONNECTIONS], stream, end, tally, size_kb)
        for k, stream in enumerate(streams)
    ]
    await asyncio.gather(*requests)
    for caller in callers:
        caller.close()
    return tally


async def throughput(size):
    """Return the cost of requests for objects of one size that the cache servers hold."""
    with tempfile.TemporaryDirectory(prefix="capacity-") as folder:
        cluster = ProcessCluster(folder, routers=1, boxes=2)
        cluster.origin = Origin(size, 0.005)
        async with cluster:
            process = RouterProcess(cluster.processes["n1"].pid)
            size_kb = size[1] / 1000.0
            streams = [cycle_keys("a", 7 * k) for k in range(CONNECTIONS * REQUESTS_PER_CONNECTION)]
            await load(cluster, time.monotonic() + 2.0, streams, size_kb)  # fills the cache servers
            before = process.processor_s()
            began = time.monotonic()
            tally = await load(cluster, began + MEASURED_S, streams, size_kb)
            spent = process.processor_s() - before
            elapsed = time.monotonic() - began
    gbit = tally.body_bytes * 8 / 1e9
    return {
        "object_bytes": size[1],
        "queries_s": round(tally.satisfied / elapsed, 1),
        "not_satisfied": tally.other,
        "mbit_s": round(1000 * gbit / elapsed, 1),
        "router_core_share": round(spent / elapsed, 3),
        "us_a_query": round(1e6 * spent / max(1, tally.satisfied), 1),
        "gbit_a_core_s": round(gbit / spent, 3),
        "queries_a_core_s": round(tally.satisfied / spent),
    }


async def memory_and_descriptors(servers):
    """Return memory per remembered object, and open descriptors for a number of cache servers."""
    with tempfile.TemporaryDirectory(prefix="capacity-") as folder:
        async with ProcessCluster(folder, routers=1, boxes=servers) as cluster:
            process = RouterProcess(cluster.processes["n1"].pid)
            at_ready = process.memory_bytes()
            descriptors = process.descriptors()
            end = time.monotonic() + 60.0
            fresh = [f"b{number:015x}" for number in range(FRESH_OBJECTS)]
            count = CONNECTIONS * REQUESTS_PER_CONNECTION
            half = FRESH_OBJECTS // 2
            await load(cluster, end, [iter(fresh[k:half:count]) for k in range(count)], 5.0)
            at_half = process.memory_bytes()
            tally = await load(cluster, end, [iter(fresh[half + k :: count]) for k in range(count)], 5.0)
            return {
                "servers": servers,
                "memory_mb_at_ready": round(at_ready / 1e6, 1),
                "objects": half + tally.satisfied + tally.other,
                "bytes_an_object": round((process.memory_bytes() - at_half) / max(1, tally.satisfied)),
                "descriptors_at_ready": descriptors,
                "descriptors": process.descriptors(),
            }


async def measure_router(servers):
    """Return all figures of one real router."""
    return {
        "small": await throughput(SMALL),
        "large": await throughput(LARGE),
        "memory": await memory_and_descriptors(servers),
    }
