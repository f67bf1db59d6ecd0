"""The router's memory is divided by its settings alone."""

import pytest

from brookhinge.decisions import memory_limits
from brookhinge.decisions.memory_limits import BYTES_PER_MB, PROGRAM_MB


@pytest.mark.parametrize("memory_mb", [32, 40, 64, 88, 192, 2048])
def test_all_kinds_together_fit_beside_the_program(memory_mb):
    kinds = sum(memory_limits.memory_limits(memory_mb))
    kinds += memory_limits.max_copy_bytes(memory_mb)
    kinds += memory_limits.max_objects(memory_mb) * memory_limits.OBJECT_BYTES
    kinds += memory_limits.max_remembered_ids(memory_mb) * memory_limits.REQUEST_ID_BYTES
    assert PROGRAM_MB + kinds / BYTES_PER_MB < memory_mb


@pytest.mark.parametrize("memory_mb", [64, 88, 192])
def test_copies_and_objects_keep_their_part_where_there_is_memory(memory_mb):
    assert memory_limits.max_copy_bytes(memory_mb) == pytest.approx(0.12 * memory_mb * BYTES_PER_MB)
    assert memory_limits.max_objects(memory_mb) == 150 * memory_mb


def test_half_of_the_memory_for_requests_is_kept_for_clients_that_have_none_open():
    def may_open(held, client_has_open):
        return memory_limits.may_open_request(held, 10, 100, client_has_open)

    assert may_open(40, True) and not may_open(41, True)
    assert may_open(90, False) and not may_open(91, False)
    assert may_open(0, True) and memory_limits.may_open_request(0, 1000, 100, False)


def test_what_has_not_moved_is_given_up_before_more_that_moves():
    stalled = memory_limits.drop_priority(100_000, 0.5)
    moving = memory_limits.drop_priority(200_000, 0.001)
    assert stalled > moving
    assert memory_limits.drop_priority(200_000, 0.0) > memory_limits.drop_priority(100_000, 0.0)
