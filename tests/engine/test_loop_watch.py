"""The watch of the event loop: which gaps count as a stall, and what is known of each."""

import pytest

from brookhinge.engine.loop_watch import STALL_S, LoopWatch, Stall


class Clocks:
    """A steady clock, and the processor time of a process."""

    def __init__(self):
        self.steady, self.processor = 100.0, 5.0
        self.watch = LoopWatch(lambda: self.steady, lambda: self.processor)
        self.noticed = []
        self.watch.stall_listeners.append(self.noticed.append)

    def passes(self, seconds, processor=0.0):
        self.steady, self.processor = self.steady + seconds, self.processor + processor


@pytest.mark.parametrize("gap_s, stalls", [(STALL_S - 0.01, 0), (STALL_S + 0.01, 1), (30.0, 1)])
def test_a_gap_between_turns_is_a_stall(gap_s, stalls):
    clocks = Clocks()
    clocks.passes(gap_s)
    clocks.watch.record_iteration()
    clocks.watch.record_iteration()
    assert clocks.watch.stalls == stalls == len(clocks.noticed)
    assert clocks.watch.stalled_s == pytest.approx(gap_s * stalls)


def test_a_stall_tells_when_it_was_and_whether_the_process_was_busy():
    clocks = Clocks()
    clocks.passes(0.05, 0.01)
    clocks.watch.tick()
    clocks.passes(0.02)
    clocks.watch.record_iteration()
    clocks.passes(1.0, 0.25)
    clocks.watch.record_iteration()
    assert clocks.noticed == [Stall(pytest.approx(100.07), pytest.approx(101.07), pytest.approx(0.25))]


def test_it_knows_whether_there_was_a_stall_since_a_moment():
    clocks = Clocks()
    before = clocks.steady
    clocks.passes(0.05)
    assert not clocks.watch.stalled_since(before)
    clocks.passes(1.0)
    assert clocks.watch.stalled_since(before) and not clocks.watch.stalled_since(clocks.steady)


def test_what_is_read_may_have_come_since_the_first_gap_after_its_connection_was_empty():
    clocks = Clocks()
    assert clocks.watch.earliest_arrival(clocks.steady) is None
    for gap_s in (1.0, 0.01, 0.5, 0.01):  # in series
        clocks.passes(gap_s)
        clocks.watch.record_iteration()
    first = 100.0
    assert clocks.watch.earliest_arrival(first - 1.0) == first
    assert clocks.watch.earliest_arrival(first + 0.4) == first + 0.4
    assert clocks.watch.earliest_arrival(101.0) == pytest.approx(101.01)
    assert clocks.watch.earliest_arrival(101.6) is None
