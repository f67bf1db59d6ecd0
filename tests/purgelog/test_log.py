"""The bounded log of one source, and the backfill from it after a long gap."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brookhinge.purgelog.backfill import Backfill, PurgeSet
from brookhinge.purgelog.batching import split
from brookhinge.purgelog.log import SourceLog, fingerprint
from brookhinge.purgelog.messages import Append, BackfillRequest, Batch, Entry, Horizon, Kind, Segment
from brookhinge.purgelog.positions import START, Position


def entries(first, count):
    return [Entry(Kind.PURGE, f"o{k}", -1, 0) for k in range(first, first + count)]


def filled_log(count, recent=300, segments=4, epoch=1):
    log = SourceLog(0, recent, segments)
    log.append(Batch(0, epoch, 0, 0, entries(1, count)))
    return log


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 12)), max_size=30))
def test_repeated_and_reordered_batches_give_the_same_log(slices):
    """Overlapping entries are appended once, and batches after a gap are rejected."""
    log, all_entries = SourceLog(0), entries(1, 50)
    held = 0
    for first, count in slices:
        new = log.append(Batch(0, 1, 0 if first == 0 else 1, first, all_entries[first : first + count]))
        end = min(50, first + count)
        if first > held:
            assert new is None
        else:
            assert new == all_entries[held : max(held, end)]
            held = max(held, end)
        assert log.head == (Position(1, held) if held else START)
    assert list(log.entries) == all_entries[:held]


@given(st.integers(1, 2000), st.data())
def test_digests_from_any_position_reach_the_head_or_are_refused(count, data):
    log = filled_log(count, recent=100, segments=2)
    position = Position(1, data.draw(st.integers(1, count)))
    reached, fingerprints = position, b""
    while reached != log.head:
        digest = log.digest_after(reached)
        if digest is None:
            assert position.index < log.origin.index
            return
        assert digest.through > reached
        fingerprints, reached = fingerprints + digest.fingerprints, digest.through
    missed = PurgeSet([fingerprints])
    assert all(missed.covers(f"o{k}", -1) for k in range(position.index + 1, count + 1))
    assert position.index >= log.origin.index


def test_new_epoch_drops_entries_that_it_does_not_contain():
    log = filled_log(10)
    assert log.append(Batch(0, 2, 1, 7, entries(100, 2))) == entries(100, 2)
    assert log.head == Position(2, 9) and list(log.entries) == entries(1, 7) + entries(100, 2)
    assert log.append(Batch(0, 1, 1, 7, entries(8, 3))) is None
    batches = log.since(Position(1, 10))
    assert [(b.epoch, b.after_epoch, b.after_index, b.entries) for b in batches] == [
        (2, 1, 7, entries(100, 2))
    ]
    assert log.since(Position(1, 3))[0].entries == entries(4, 4)


def test_epoch_after_a_position_not_held_is_rejected():
    log = filled_log(10)
    assert log.append(Batch(0, 3, 2, 8, entries(100, 1))) is None
    assert log.append(Batch(0, 3, 1, 12, entries(100, 1))) is None
    assert log.head == Position(1, 10)


def test_log_size_is_bounded():
    log = filled_log(5000, recent=300, segments=3)
    assert len(log.entries) == 300 and len(log.digests) == 3 and len(log.open_segment) < 256
    assert log.since(Position(1, 5)) is None and log.digest_after(Position(1, 5)) is None


@given(st.lists(st.integers(1, 40), min_size=1, max_size=8), st.integers(100, 600))
def test_split_batches_are_contiguous(counts, room):
    batches, index = [], 0
    for count in counts:
        batches.append(Batch(0, 1, 1, index, entries(index + 1, count)))
        index += count
    log = SourceLog(0)
    log.restart(Position(1, 0))
    for part in split(batches, room):
        Append(0, [1], part)
        for batch in part:
            assert log.append(batch) is not None
    assert list(log.entries) == entries(1, index)


def test_groups_and_objects_have_different_fingerprints():
    by_object, by_group = Entry(Kind.PURGE, "7", -1, 0), Entry(Kind.PURGE, "", 7, 0)
    assert fingerprint(by_object) != fingerprint(by_group)
    purges = PurgeSet([fingerprint(by_group)])
    assert purges.covers("any", 7) and not purges.covers("7", 8)
    assert fingerprint(Entry(Kind.DRAINING, "s-1", 0, 0)) == b""


def next_request(backfill, now):
    machine, request = backfill.tick(now)
    assert isinstance(request, BackfillRequest)
    return machine, request


def test_backfill_changes_machine_after_two_unanswered_requests():
    backfill = Backfill([2, 0, 1], 0, 0.0)
    backfill.extend([(0, Position(1, 3), Position(1, 9))])
    assert [next_request(backfill, now)[0] for now in (0.0, 1.0, 2.0)] == [2, 2, 0]
    assert backfill.tick(2.5)[1] is None


def test_backfill_fails_when_no_machine_holds_the_entries():
    backfill = Backfill([2, 0, 1], 0, 0.0)
    backfill.extend([(0, Position(1, 3), Position(1, 9))])
    for _ in range(3):
        _, request = next_request(backfill, 0.0)
        assert not backfill.lost
        backfill.receive(0.0, Horizon(request.number, 0))
    assert backfill.lost


@pytest.mark.parametrize("source, epoch, index", [(1, 1, 9), (0, 1, 3), (0, 0, 50)])
def test_segment_of_another_source_or_without_progress_is_ignored(source, epoch, index):
    backfill = Backfill([0], 0, 0.0)
    backfill.extend([(0, Position(1, 3), Position(1, 9))])
    _, request = next_request(backfill, 0.0)
    backfill.receive(0.0, Segment(request.number, source, epoch, index, b"abcd"))
    assert not backfill.done() and not backfill.pieces
