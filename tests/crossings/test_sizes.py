"""Load shedding and concurrency limits do not starve the largest objects of a request class."""

import math
import random

import pytest

from tests.helpers import CACHES, RouterHarness, request_class

STEP_S, DURATION_S, MEAN_TRANSFER_S, LINK_CAPACITY = 0.01, 40.0, 0.3, 4.0


class Simulation:
    """One request class of widely varying transfer_s; each cache splits its link evenly among its transfers. All are hits."""

    def __init__(self, load, seed):
        self.rng, self.load, self.now = random.Random(seed), load, 0.0
        self.bench = RouterHarness(
            request_classes=[request_class(timeout_s=4.0)], weight=LINK_CAPACITY, note_detail="all"
        )
        self.remaining_s, self.transfer_s, self.sent_at, self.is_satisfied = (
            {server: {} for server in CACHES},
            {},
            {},
            {},
        )

    def apply_decisions(self, lines):
        for line in lines:
            request_name, decision, *arguments = line.split()
            if decision == "push":
                request = int(request_name[1:])
                self.remaining_s.setdefault(int(arguments[0]), {})[request], self.sent_at[request] = (
                    self.transfer_s[request],
                    self.now,
                )
            elif decision == "nack":
                self.is_satisfied[int(request_name[1:])] = False

    def step(self):
        bench, ended = self.bench, []
        bench.now = self.now = self.now + STEP_S
        for remaining_s in self.remaining_s.values():
            for request in remaining_s:
                remaining_s[request] -= STEP_S * min(1.0, LINK_CAPACITY / len(remaining_s))
            ended += [
                (remaining_s, request)
                for request in remaining_s
                if remaining_s[request] <= 0.0 or self.now - self.sent_at[request] > 3.99
            ]
        for remaining_s, request in ended:
            is_complete = remaining_s.pop(request) <= 0.0
            self.is_satisfied[request] = is_complete
            self.apply_decisions(
                bench.end(
                    request,
                    "satisfied" if is_complete else "timeout",
                    took_s=self.now - self.sent_at[request],
                    note=1,
                    at=self.now,
                )
            )

    def satisfied_shares(self):
        """Return the satisfied share of the largest tenth by size, of the next fifth, and of all requests."""
        rate = self.load * LINK_CAPACITY * len(CACHES) / MEAN_TRANSFER_S
        next_arrival = self.rng.expovariate(rate)
        while self.now < DURATION_S:
            self.step()
            while next_arrival <= self.now:
                next_arrival += self.rng.expovariate(rate)
                size = self.transfer_s[self.bench.last_request_id + 1] = min(
                    3.0, MEAN_TRANSFER_S * math.exp(self.rng.gauss(0.0, 1.0) - 0.5)
                )
                self.apply_decisions(
                    self.bench.ask(
                        f"k{self.rng.randrange(60)}", remaining_s=4.0, size=1000.0 * size, at=self.now
                    )
                )
        by_size = sorted(
            (request for request in self.transfer_s if request in self.is_satisfied), key=self.transfer_s.get
        )
        tenth = len(by_size) // 10
        return [
            sum(self.is_satisfied[request] for request in group) / len(group)
            for group in (by_size[-tenth:], by_size[-3 * tenth : -tenth], by_size)
        ]


@pytest.mark.parametrize("load, min_ratio", [(0.5, 0.67), (0.9, 0.67), (1.2, 0.5), (1.6, 0.5)])
def test_largest_objects_are_satisfied_in_proportion_to_their_class(load, min_ratio):
    for seed in (1, 2, 3):
        largest, next_largest, overall = Simulation(load, seed).satisfied_shares()
        assert largest >= min_ratio * overall and next_largest >= min_ratio * overall, (
            seed,
            largest,
            next_largest,
            overall,
        )
