"""Tests that an event costs what it changes, whatever else the router knows.

Work is counted in bytecode instructions, which are the same on every machine.
"""

import sys
from functools import partial

import pytest

from brookhinge.decisions.messages import ObjectsPurged, StoredCopy
from brookhinge.decisions.object_state import ObjectState
from brookhinge.decisions.request_state import RequestState
from brookhinge.startup import Bounds
from tests.helpers import RouterHarness, request_class

# How much the work may grow while what the event does not concern grows 16 times: searches in a tree or heap.
ALLOWED_GROWTH = 1.25
FEW, MANY = 100, 1600


def count_instructions(function):
    """Returns the number of bytecode instructions that Python executes in a call of function()."""
    count = 0

    def trace(frame, event, _):
        nonlocal count
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        count += event == "opcode"
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(previous)
    return count


def assert_work_does_not_grow(build, event):
    """Asserts that event(bench) costs about the same on build(FEW) as on build(MANY)."""
    few, many = (count_instructions(partial(event, build(number))) for number in (FEW, MANY))
    assert many <= ALLOWED_GROWTH * few, (few, many)


def knowing_objects(number):
    """Returns a router that knows `number` objects of groups that are not purged."""
    bench = RouterHarness()
    for n in range(number):
        bench.router.objects.get_or_add(f"o{n}", 0, 1)
    return bench


def with_open_requests(number):
    """Returns a router with open requests for objects that left its table."""
    bench = RouterHarness()
    for n in range(number):
        state = ObjectState(f"o{n}", 0, 1)
        bench.router.requests[n] = RequestState(
            n, 0, request_class(), state, now=0.0, timeout_s=3.0, is_uncacheable=False, transfer_s=0.1
        )
    return bench


def with_own_copies(number):
    bench = RouterHarness(machine=Bounds(192, 256, 1e6, 1e7))
    for n in range(number):
        bench.serve(f"o{n}", group=1)
        state = bench.router.objects.states[f"o{n}", 0]
        bench.router.local_cache.keep((0, state.code), state, copy_of(n), n, bench.trace)
    return bench


def with_recent_purges(number):
    bench = RouterHarness()
    bench.router.process(1.0, [ObjectsPurged(0, 0.0, f"p{n}") for n in range(number)], bench.trace)
    return bench


def copy_of(request_id):
    return StoredCopy(float(request_id), 100)


@pytest.mark.parametrize("build", [knowing_objects, with_open_requests, with_own_copies, with_recent_purges])
@pytest.mark.parametrize("purge", [ObjectsPurged(2, 0.0, ""), ObjectsPurged(0, 0.0, "another")])
def test_purge_costs_what_it_covers(build, purge):
    """Guards against a stop of seconds: each of 250 purges told at once passed over 24,000 known objects."""

    def tell_purges(bench):
        bench.router.process(bench.now + 1.0, [purge] * 20, bench.trace)

    assert_work_does_not_grow(build, tell_purges)
