"""Structures made for storms beside plain ones, in the same run: python -m benchmarks.structures [--short]

Places in time: a hashed wheel of slots against heapq with lazy deletion: half of what is put in is taken back. Tries:
the bounded table of overload/retry_lineage.py against a dict that is swept each second. Last line: one JSON object."""

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
    """Slots of 50 ms in a dict: an entry is put in and taken out without a comparison."""

    def __init__(self):
        self.slots = {}
        self.at = 0

    def add(self, when, item):
        slot = int(when / SLOT_S)
        entry = self.slots.get(slot)
        if entry is None:
            entry = self.slots[slot] = {}
        entry[item] = when
        return slot

    def cancel(self, slot, item):
        self.slots[slot].pop(item, None)

    def due(self, now):
        last = int(now / SLOT_S)
        items = []
        while self.at < last:
            items += self.slots.pop(self.at, ())
            self.at += 1
        return items


class Heap:
    def __init__(self):
        self.heap = []
        self.gone = set()

    def add(self, when, item):
        heapq.heappush(self.heap, (when, item))
        return None

    def cancel(self, _, item):
        self.gone.add(item)

    def due(self, now):
        items = []
        while self.heap and self.heap[0][0] <= now:
            _, item = heapq.heappop(self.heap)
            if item in self.gone:
                self.gone.discard(item)
            else:
                items.append(item)
        return items


def places(kind, count):
    """Nanoseconds an entry: put in over 60 s ahead, half taken back, the rest come due."""
    chance = random.Random(1)
    whens = [60.0 * chance.random() for _ in range(count)]
    wheel = kind()
    began = time.perf_counter()
    handles = []
    for n, when in enumerate(whens):
        handles.append(wheel.add(when, n))
    for n in range(0, count, 2):
        wheel.cancel(handles[n], n)
    came = sum(len(wheel.due(step * SLOT_S)) for step in range(1, 1300))
    assert came == count // 2
    return round((time.perf_counter() - began) / count * 1e9)


class Swept:
    """A dict of tries, swept each second."""

    def __init__(self, remember_s=15.0):
        self.remember_s = remember_s
        self.attempts = {}
        self.swept = 0.0

    def recognize(self, now, query, address, connection, name):
        if now - self.swept > 1.0:
            self.swept = now
            self.attempts = {key: row for key, row in self.attempts.items() if now - row[1] < self.remember_s}
        key = address, name
        known = self.attempts.get(key)
        self.attempts[key] = known[0] if known else now, now, query
        return known is not None


def tries(table, count, rate=3000.0):
    """(microseconds a try, the longest one in ms, tries remembered at the end)"""
    chance = random.Random(2)
    longest = 0.0
    total = 0.0
    for n in range(count):
        now = n / rate
        address = f"a{chance.randrange(count)}"
        name = 0, "object", chance.randrange(50)
        began = time.perf_counter()
        table.recognize(now, n, address, n, name)
        if isinstance(table, RetryLineage):
            table.end(now, n, was_served=False)
        took = time.perf_counter() - began
        longest = max(longest, took)
        total = total + took
    return round(total / count * 1e6, 2), round(longest * 1000, 2), len(table.attempts)


def main():
    options = argparse.ArgumentParser()
    options.add_argument("--short", action="store_true")
    options.add_argument("--keep")
    given = options.parse_args()
    counts = (1000, 10_000, 100_000) if given.short else (1000, 10_000, 100_000, 1_000_000)
    figures = {
        "places_ns": {
            kind.__name__: {str(count): min(places(kind, count) for _ in range(3)) for count in counts}
            for kind in (Wheel, Heap)
        }
    }
    count = 60_000 if given.short else 300_000
    figures["tries_us_longest_ms_held"] = {
        "bounded": tries(RetryLineage(), count),
        "swept": tries(Swept(), count),
    }
    entry = sys.getsizeof(OrderedDict.fromkeys(range(1000))) / 1000
    figures["ordered_dict_bytes_an_entry"] = round(entry)
    if given.keep:
        with open(given.keep + ".json", "w") as file:
            file.write(json.dumps(figures, indent=1) + "\n")
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
