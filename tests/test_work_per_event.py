"""Tests that an event costs what it changes, whatever else the router knows.

Work is counted in bytecode instructions, which are the same on every machine.
"""

import sys
from functools import partial

import pytest

from brookhinge.decisions.endpoints import REUSE_AFTER_S
from brookhinge.decisions.messages import EndpointsListed, ObjectsPurged, StoredCopy
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


def with_listed_servers(number):
    """Returns a router with `number` cache servers at other locations beside its own four."""
    bench = RouterHarness()
    bench.call(EndpointsListed(False, [bench.row(1000 + n, zone=2) for n in range(number)]))
    return bench


def with_servers_gone(number):
    bench = with_listed_servers(number)
    bench.call(EndpointsListed(False, [bench.row(1000 + n, "gone", zone=2) for n in range(number)]))
    return bench


def replace_servers(bench):
    """Tells 20 times that a server drains, that it is gone and that another one came."""
    for n in range(20):
        bench.call(EndpointsListed(False, [bench.row(1000 + n, "draining", zone=2)]))
        rows = [bench.row(1000 + n, "gone", zone=2), bench.row(9000 + n, born=bench.now, zone=2)]
        bench.call(EndpointsListed(False, rows))


def replace_servers_long_after(bench):
    bench.now += 10 * REUSE_AFTER_S
    replace_servers(bench)


@pytest.mark.parametrize("build", [with_listed_servers, with_servers_gone])
@pytest.mark.parametrize("event", [replace_servers, replace_servers_long_after])
def test_change_of_the_endpoint_list_costs_what_it_changes(build, event):
    """Guards against a stop of seconds: each of 3,800 changes passed over all 3,200 listed servers."""
    assert_work_does_not_grow(build, event)


def test_changes_of_own_cache_servers_in_one_round_assign_the_rings_once():
    """Guards against a stop of seconds: each change made the rings of all own cache servers anew."""

    def work(number, changes):
        bench = RouterHarness(caches=range(100, 100 + number))
        lists = [EndpointsListed(False, [bench.row(100 + n, "gone", born=None)]) for n in range(changes)]
        count = count_instructions(partial(bench.router.process, bench.now + 1.0, lists, bench.trace))
        assert [*bench.router.rings.rings[0].points] == sorted(bench.router.endpoints.local_caches)[:2]
        return count

    few, many = (work(number, 40) - work(number, 20) for number in (FEW, MANY))
    assert many <= ALLOWED_GROWTH * few, (few, many)


def test_complete_list_costs_a_pass_over_its_rows():
    """A complete list once passed over all rows for each of its rows."""

    def work(number):
        bench = RouterHarness()
        rows = [bench.row(1000 + n, zone=2) for n in range(number)]
        return count_instructions(partial(bench.call, EndpointsListed(True, rows)))

    assert work(MANY) <= ALLOWED_GROWTH * MANY / FEW * work(FEW)
