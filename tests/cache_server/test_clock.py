"""A box whose wall clock, or that of all machines, is set: no copy passes for younger than it is, none is lost to it."""

import asyncio
import time

from tests.cache_server.test_cache_server import X, played

HOUR_S = 3600.0


async def step_back(p, all_machines, by_s=HOUR_S):
    p.step_s = -by_s
    if all_machines:
        p.origin.now = lambda: time.time() - by_s
    while not any(event == "clock stepped back" for event, _ in p.lines):
        await asyncio.sleep(0.01)


async def list_parent(p):
    """A parent at the origin's address: what it gives out may be of any age."""
    p.host("p-1", "parent", int(p.channel.hosts["s-0"]["dial"].split(":")[1]))
    p.channel.list("p-1")
    while "p-1" not in p.server.servers.servers:
        await asyncio.sleep(0.01)


def test_a_copy_dated_in_the_future_ages_all_the_same(tmp_path):
    """The box's clock is set back, that of its source is not."""

    async def scene(p):
        await step_back(p, False)
        first = await p.ask(parent="s-0")
        for _ in range(6):  # the connection is idle for 0.3 s at most
            await asyncio.sleep(0.1)
            last = await p.ask()
        return first, last

    assert played(scene, tmp_path, tracks={"page": (0.3, 0.1)}) == (
        ("data", "via_origin", True),
        ("absent", "", None),
    )


def test_a_purge_hits_copies_dated_before_all_clocks_were_set_back(tmp_path):
    """By the stamps alone the copy is an hour younger than the purge."""

    async def scene(p):
        await step_back(p, False)
        await p.ask(parent="s-0")  # a source that still gives out what it dated before
        before = await p.ask()
        p.origin.now = lambda: time.time() - HOUR_S
        await p.change(object_=X)
        return before, await p.ask()

    assert played(scene, tmp_path) == (("data", "hit", True), ("absent", "", None))


def test_a_copy_of_any_age_is_not_young_for_another_class(tmp_path):
    """A parent still holds what it dated before the clocks were set back; a class without ages fills from it."""

    async def scene(p):
        await list_parent(p)
        await step_back(p, False)
        return await p.ask(parent="p-1", sort="lasting"), await p.ask(sort="lasting"), await p.ask()

    told = played(scene, tmp_path, tracks={"page": (2.0, 1.0)})
    assert told == (("data", "filled", True), ("data", "hit", True), ("absent", "", None))


def test_a_copy_dated_before_a_small_step_back_is_not_taken_for_one_of_after_it(tmp_path):
    """All clocks go back 5 s; a parent's copy of 3 s before looks like one of 2 s after."""

    async def scene(p):
        await list_parent(p)
        await step_back(p, False, 5.0)
        p.origin.now = lambda: time.time() - 5.0 - 0.2
        return await p.ask(parent="p-1", sort="lasting"), await p.ask(sort="lasting"), await p.ask()

    told = played(scene, tmp_path, tracks={"page": (2.0, 1.0)})
    assert told == (("data", "filled", True), ("data", "hit", True), ("absent", "", None))


def test_what_was_purged_before_all_clocks_were_set_back_is_served_again(tmp_path):
    """For an hour every new copy is dated before that purge."""

    async def scene(p):
        await p.change(object_=X)
        await step_back(p, True)
        await asyncio.sleep(0.05)
        return [await p.ask(parent="s-0"), await p.ask()]

    assert played(scene, tmp_path) == [("data", "via_origin", True), ("data", "hit", True)]


def test_pauses_of_the_disk_are_spans_of_real_time(tmp_path):
    async def scene(p):
        before = p.server.store.now()
        await step_back(p, False)
        return 0.0 <= p.server.store.now() - before < 5.0 and 0.0 <= p.server.clocks.now() < 5.0

    assert played(scene, tmp_path)
