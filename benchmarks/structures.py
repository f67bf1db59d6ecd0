"""Benchmarks the data structures for retry storms against simple alternatives in the same run.

    python -m benchmarks.structures [--short]

Timer queues: a hashed timer wheel against heapq with lazy deletion, where half of the entries are canceled.
Retry tables: the bounded table of overload/retry_lineage.py against a dict that is swept every second.
The last line of the output is one JSON object.
"""

import argparse
import heapq
import json
import random
import sys
import time
from collections import OrderedDict

from brookhinge.overload.retry_lineage import RetryLineage

SLOT_S = 0.05


class Wheel:
    """Hashed timer wheel with slots of 50 ms, which adds and cancels an entry without comparisons."""

    def __init__(self):
        """Create an empty wheel that starts at time 0."""
        self.slots = {}
        self.next_slot = 0

    def add(self, when, item):
        """Schedule an item at a time in seconds and return the slot, which `cancel` needs."""
        slot = int(when / SLOT_S)
        entry = self.slots.get(slot)
        if entry is None:
            entry = self.slots[slot] = {}
        entry[item] = when
        return slot

    def cancel(self, slot, item):
        """Remove an item from its slot."""
        self.slots[slot].pop(item, None)

    def due(self, now):
        """Remove and return the items that are due by now."""
        end_slot = int(now / SLOT_S)
        items = []
        while self.next_slot < end_slot:
            items += self.slots.pop(self.next_slot, ())
            self.next_slot += 1
        return items


class Heap:
    """Timer queue on heapq with lazy deletion: a canceled item stays in the heap until it is due."""

    def __init__(self):
        """Create an empty queue."""
        self.heap = []
        self.canceled = set()

    def add(self, when, item):
        """Schedule an item at a time in seconds; `cancel` needs no handle."""
        heapq.heappush(self.heap, (when, item))
        return None

    def cancel(self, _, item):
        """Mark an item as canceled."""
        self.canceled.add(item)

    def due(self, now):
        """Remove and return the items that are due by now."""
        items = []
        while self.heap and self.heap[0][0] <= now:
            _, item = heapq.heappop(self.heap)
            if item in self.canceled:
                self.canceled.discard(item)
            else:
                items.append(item)
        return items


def time_timer_queue(queue_class, count):
    """Return nanoseconds per entry: all are scheduled within 60 s, half are canceled, the rest become due."""
    rng = random.Random(1)
    due_times = [60.0 * rng.random() for _ in range(count)]
    queue = queue_class()
    began = time.perf_counter()
    handles = []
    for n, when in enumerate(due_times):
        handles.append(queue.add(when, n))
    for n in range(0, count, 2):
        queue.cancel(handles[n], n)
    due_count = sum(len(queue.due(step * SLOT_S)) for step in range(1, 1300))
    assert due_count == count // 2
    return round((time.perf_counter() - began) / count * 1e9)


class SweptTable:
    """Attempts in a dict without a size limit, from which expired attempts are swept every second."""

    def __init__(self, remember_s=15.0):
        """Create an empty table that remembers an attempt for `remember_s` after its last use."""
        self.remember_s = remember_s
        self.attempts = {}
        self.swept_at = 0.0

    def recognize(self, now, request, address, connection, name):
        """Record an attempt and return whether an earlier attempt of the same client and object is known."""
        if now - self.swept_at > 1.0:
            self.swept_at = now
            self.attempts = {key: row for key, row in self.attempts.items() if now - row[1] < self.remember_s}
        key = address, name
        known = self.attempts.get(key)
        self.attempts[key] = known[0] if known else now, now, request
        return known is not None


def time_retry_table(table, count, rate=3000.0):
    """Return microseconds per attempt, the longest attempt in ms, and the attempts remembered at the end."""
    rng = random.Random(2)
    longest_s = 0.0
    total_s = 0.0
    for n in range(count):
        now = n / rate
        address = f"a{rng.randrange(count)}"
        name = 0, "object", rng.randrange(50)
        began = time.perf_counter()
        table.recognize(now, n, address, n, name)
        if isinstance(table, RetryLineage):
            table.end(now, n, was_served=False)
        elapsed_s = time.perf_counter() - began
        longest_s = max(longest_s, elapsed_s)
        total_s = total_s + elapsed_s
    return round(total_s / count * 1e6, 2), round(longest_s * 1000, 2), len(table.attempts)


def main():
    """Run the benchmark with the command-line options."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--keep")
    options = parser.parse_args()
    counts = (1000, 10_000, 100_000) if options.short else (1000, 10_000, 100_000, 1_000_000)
    figures = {
        "places_ns": {
            queue_class.__name__: {
                str(count): min(time_timer_queue(queue_class, count) for _ in range(3)) for count in counts
            }
            for queue_class in (Wheel, Heap)
        }
    }
    count = 60_000 if options.short else 300_000
    figures["tries_us_longest_ms_held"] = {
        "bounded": time_retry_table(RetryLineage(), count),
        "swept": time_retry_table(SweptTable(), count),
    }
    entry_bytes = sys.getsizeof(OrderedDict.fromkeys(range(1000))) / 1000
    figures["ordered_dict_bytes_an_entry"] = round(entry_bytes)
    if options.keep:
        with open(options.keep + ".json", "w") as file:
            file.write(json.dumps(figures, indent=1) + "\n")
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
