"""Memory is returned to the system once most of what was held is released."""

import pytest

from brookhinge.decisions.memory_limits import memory_limits
from brookhinge.net.heap_trimmer import MIN_RELEASED_BYTES, HeapTrimmer, system_trim
from brookhinge.net.memory_use import MemoryUse


class Heap:
    """Counts how often it was trimmed."""

    def __init__(self):
        self.trimmed = []

    def find_trim(self):
        return self.trimmed.append


@pytest.mark.parametrize(
    ("most", "left", "trims"),
    [
        (MIN_RELEASED_BYTES, 0, 1),
        (MIN_RELEASED_BYTES - 1, 0, 0),
        (10 * MIN_RELEASED_BYTES, 4 * MIN_RELEASED_BYTES, 1),
        (10 * MIN_RELEASED_BYTES, 6 * MIN_RELEASED_BYTES, 0),
    ],
)
def test_heap_is_trimmed_when_most_of_much_has_been_released(most, left, trims):
    heap, memory = Heap(), MemoryUse(memory_limits(64))
    trimmer = HeapTrimmer(memory, heap.find_trim)
    memory.call_bytes = most
    trimmer.note_held()
    memory.call_bytes = left
    trimmer.trim_if_released()
    trimmer.trim_if_released()  # nothing has been released since
    assert (len(heap.trimmed), trimmer.trims) == (trims, trims)


def test_system_without_that_function_is_left_alone():
    memory = MemoryUse(memory_limits(64))
    trimmer = HeapTrimmer(memory, lambda: None)
    memory.reply_bytes = 2 * MIN_RELEASED_BYTES
    trimmer.note_held()
    memory.reply_bytes = 0
    trimmer.trim_if_released()
    assert trimmer.trims == 0


def test_function_of_the_system_can_be_called():
    trim = system_trim()
    assert trim is None or trim(0) in (0, 1)
