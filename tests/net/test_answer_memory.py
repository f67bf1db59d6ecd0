"""Answers of servers are read within the memory for them, and are not held once they have been passed on."""

import asyncio

from brookhinge.decisions.memory_limits import memory_limits
from brookhinge.net.memory_use import MemoryUse
from tests.helpers import settings
from tests.test_service import caches, run_scenario, until

BODY_BYTES = 200_000


def ask_for_large_objects(t, count):
    for number in range(1, count + 1):
        t.client.ask(number, lookup=f"{number:016x}")


# Nothing bounded the answers that were read at once: with slow ends they took a multiple of the memory.
def test_answers_wait_in_the_kernel_while_there_is_no_memory_for_them(tmp_path):
    async def scene(t):
        memory, most = t.service.memory, []
        memory.limits = memory.limits._replace(answer_bytes=2.5 * BODY_BYTES)
        count_answer, reserve_answer = memory.count_answer, memory.reserve_answer

        async def reserve(size):
            await reserve_answer(size)
            most.append(memory.answer_bytes)

        def count(size):
            count_answer(size)
            most.append(memory.answer_bytes)

        memory.reserve_answer, memory.count_answer = reserve, count
        ask_for_large_objects(t, 8)
        replies = [await t.client.receive() for _ in range(8)]
        await until(lambda: not memory.answer_bytes)
        return {text for _, text in replies}, max(most)

    replies, most = run_scenario(
        scene, tmp_path, machines=caches(body=b"x" * BODY_BYTES), settings=settings(ConnectTimeoutNs=2e9)
    )
    assert replies == {f"satisfied {BODY_BYTES}"}
    assert most <= 2.5 * BODY_BYTES + BODY_BYTES  # one that is passed on, beside those that are read


# The coroutine that reads a connection referred to the last answer until the next one came.
def test_answer_is_not_held_by_its_connection_once_it_is_passed_on(tmp_path):
    async def scene(t):
        ask_for_large_objects(t, 4)
        for _ in range(4):
            await t.client.receive()
        frames = [task.get_coro().cr_frame for task in t.service.upstream_connections._tasks]
        return [
            name
            for frame in frames
            for name, value in frame.f_locals.items()
            if len(repr(value)) > BODY_BYTES
        ]

    assert run_scenario(scene, tmp_path, machines=caches(body=b"x" * BODY_BYTES)) == []


def test_memory_of_a_connection_that_ends_in_the_middle_of_an_answer_is_released(tmp_path):
    async def scene(t):
        t.client.ask(1)
        await t.client.receive()
        return t.service.memory.answer_bytes

    half = b"ID data n=hit 200000\r\n" + b"x" * 100_000
    assert run_scenario(scene, tmp_path, machines=caches(behavior=half)) == 0


def test_answers_get_memory_in_the_order_in_which_they_asked_for_it():
    async def run():
        memory, granted = MemoryUse(memory_limits(64)._replace(answer_bytes=100)), []

        async def read(name, size):
            await memory.reserve_answer(size)
            granted.append(name)

        tasks = [asyncio.ensure_future(read(*answer)) for answer in (("a", 90), ("b", 80), ("c", 5))]
        await asyncio.sleep(0)
        first = list(granted)
        tasks[1].cancel()  # its connection has ended
        memory.release_answer(90)
        await asyncio.sleep(0.01)
        return first, granted, memory.answer_bytes

    assert asyncio.run(run()) == (["a"], ["a", "c"], 5)


def test_answer_larger_than_all_memory_is_read_when_no_other_is():
    async def run():
        memory = MemoryUse(memory_limits(64)._replace(answer_bytes=100))
        await asyncio.wait_for(memory.reserve_answer(240_000), 1.0)
        return memory.answer_bytes

    assert asyncio.run(run()) == 240_000
