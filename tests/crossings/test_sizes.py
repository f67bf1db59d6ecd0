"""Shedding and limits do not starve the largest objects of a track."""

import math
import random

import pytest

from tests.helpers import CACHES, RouterHarness, request_class

STEP, SECONDS, MEAN, LINK = 0.01, 40.0, 0.3, 4.0


class Day:
    """One track whose sizes vary widely, and caches whose links are shared evenly by what they send; all is held."""

    def __init__(self, load, seed):
        self.chance, self.load, self.now = random.Random(seed), load, 0.0
        self.b = RouterHarness(request_classes=[request_class(timeout_s=4.0)], weight=LINK, note_detail="all")
        self.left, self.sizes, self.since, self.done = {c: {} for c in CACHES}, {}, {}, {}

    def heed(self, lines):
        for line in lines:
            name, word, *rest = line.split()
            if word == "push":
                query = int(name[1:])
                self.left.setdefault(int(rest[0]), {})[query], self.since[query] = self.sizes[query], self.now
            elif word == "nack":
                self.done[int(name[1:])] = False

    def step(self):
        b, ended = self.b, []
        b.now = self.now = self.now + STEP
        for sent in self.left.values():
            for query in sent:
                sent[query] -= STEP * min(1.0, LINK / len(sent))
            ended += [
                (sent, query) for query in sent if sent[query] <= 0.0 or self.now - self.since[query] > 3.99
            ]
        for sent, query in ended:
            good = sent.pop(query) <= 0.0
            self.done[query] = good
            self.heed(
                b.end(
                    query,
                    "satisfied" if good else "timeout",
                    took_s=self.now - self.since[query],
                    note=1,
                    at=self.now,
                )
            )

    def shares(self):
        """Answered of the largest tenth, of the next fifth, of all."""
        rate = self.load * LINK * len(CACHES) / MEAN
        due = self.chance.expovariate(rate)
        while self.now < SECONDS:
            self.step()
            while due <= self.now:
                due += self.chance.expovariate(rate)
                size = self.sizes[self.b.last_request_id + 1] = min(
                    3.0, MEAN * math.exp(self.chance.gauss(0.0, 1.0) - 0.5)
                )
                self.heed(
                    self.b.ask(
                        f"k{self.chance.randrange(60)}", remaining_s=4.0, size=1000.0 * size, at=self.now
                    )
                )
        by_size = sorted((q for q in self.sizes if q in self.done), key=self.sizes.get)
        tenth = len(by_size) // 10
        return [
            sum(self.done[q] for q in part) / len(part)
            for part in (by_size[-tenth:], by_size[-3 * tenth : -tenth], by_size)
        ]


@pytest.mark.parametrize("load, least", [(0.5, 0.67), (0.9, 0.67), (1.2, 0.5), (1.6, 0.5)])
def test_the_largest_objects_get_their_part_of_what_their_track_gets(load, least):
    for seed in (1, 2, 3):
        largest, next_, whole = Day(load, seed).shares()
        assert largest >= least * whole and next_ >= least * whole, (seed, largest, next_, whole)
