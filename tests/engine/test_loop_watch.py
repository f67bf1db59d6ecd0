"""Tests of the loop watch: which gaps are stalls, and what is recorded about each."""

import pytest

from brookhinge.engine.loop_watch import STALL_S, LoopWatch, Stall


class FakeClocks:
    """A steady clock and a CPU time clock that tests advance, and a loop watch that uses them."""

    def __init__(self):
        self.steady, self.processor = 100.0, 5.0
        self.watch = LoopWatch(lambda: self.steady, lambda: self.processor)
        self.detected_stalls = []
        self.watch.stall_listeners.append(self.detected_stalls.append)

    def advance(self, seconds, processor_s=0.0):
        self.steady, self.processor = self.steady + seconds, self.processor + processor_s


@pytest.mark.parametrize("gap_s, stalls", [(STALL_S - 0.01, 0), (STALL_S + 0.01, 1), (30.0, 1)])
def test_gap_above_the_threshold_is_one_stall(gap_s, stalls):
    clocks = FakeClocks()
    clocks.advance(gap_s)
    clocks.watch.record_iteration()
    clocks.watch.record_iteration()
    assert clocks.watch.stalls == stalls == len(clocks.detected_stalls)
    assert clocks.watch.stalled_s == pytest.approx(gap_s * stalls)


def test_stall_has_its_start_end_and_processor_time():
    clocks = FakeClocks()
    clocks.advance(0.05, 0.01)
    clocks.watch.tick()
    clocks.advance(0.02)
    clocks.watch.record_iteration()
    clocks.advance(1.0, 0.25)
    clocks.watch.record_iteration()
    assert clocks.detected_stalls == [
        Stall(pytest.approx(100.07), pytest.approx(101.07), pytest.approx(0.25))
    ]


def test_stalled_since_is_true_only_for_times_before_the_end_of_a_stall():
    clocks = FakeClocks()
    before = clocks.steady
    clocks.advance(0.05)
    assert not clocks.watch.stalled_since(before)
    clocks.advance(1.0)
    assert clocks.watch.stalled_since(before) and not clocks.watch.stalled_since(clocks.steady)


def test_earliest_arrival_is_in_the_first_gap_that_ended_after_the_given_time():
    clocks = FakeClocks()
    assert clocks.watch.earliest_arrival(clocks.steady) is None
    for gap_s in (1.0, 0.01, 0.5, 0.01):
        clocks.advance(gap_s)
        clocks.watch.record_iteration()
    first = 100.0
    assert clocks.watch.earliest_arrival(first - 1.0) == first
    assert clocks.watch.earliest_arrival(first + 0.4) == first + 0.4
    assert clocks.watch.earliest_arrival(101.0) == pytest.approx(101.01)
    assert clocks.watch.earliest_arrival(101.6) is None
