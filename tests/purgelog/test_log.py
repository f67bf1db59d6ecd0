"""The bounded log of one source, and what is fetched from it after a long gap."""

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


def filled(count, recent=300, segments=4, epoch=1):
    log = SourceLog(0, recent, segments)
    log.append(Batch(0, epoch, 0, 0, entries(1, count)))
    return log


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 12)), max_size=30))
def test_batches_in_any_order_and_number_give_the_same_log(pieces):
    """What overlaps is taken once, what lies behind a gap not at all."""
    log, whole = SourceLog(0), entries(1, 50)
    held = 0
    for first, count in pieces:
        new = log.append(Batch(0, 1, 0 if first == 0 else 1, first, whole[first : first + count]))
        end = min(50, first + count)
        if first > held:
            assert new is None
        else:
            assert new == whole[held : max(held, end)]
            held = max(held, end)
        assert log.head == (Position(1, held) if held else START)
    assert list(log.entries) == whole[:held]


@given(st.integers(1, 2000), st.data())
def test_what_is_asked_for_from_any_position_leads_to_the_head_or_is_refused(count, data):
    log = filled(count, recent=100, segments=2)
    position = Position(1, data.draw(st.integers(1, count)))
    reached, prints = position, b""
    while reached != log.head:
        digest = log.digest_after(reached)
        if digest is None:
            assert position.index < log.origin.index
            return
        assert digest.through > reached
        prints, reached = prints + digest.fingerprints, digest.through
    missed = PurgeSet([prints])
    assert all(missed.covers(f"o{k}", -1) for k in range(position.index + 1, count + 1))
    assert position.index >= log.origin.index


def test_a_new_epoch_drops_what_it_does_not_contain():
    log = filled(10)
    assert log.append(Batch(0, 2, 1, 7, entries(100, 2))) == entries(100, 2)
    assert log.head == Position(2, 9) and list(log.entries) == entries(1, 7) + entries(100, 2)
    assert log.append(Batch(0, 1, 1, 7, entries(8, 3))) is None
    batches = log.since(Position(1, 10))
    assert [(b.epoch, b.after_epoch, b.after_index, b.entries) for b in batches] == [
        (2, 1, 7, entries(100, 2))
    ]
    assert log.since(Position(1, 3))[0].entries == entries(4, 4)


def test_an_epoch_that_follows_on_what_is_not_held_is_refused():
    log = filled(10)
    assert log.append(Batch(0, 3, 2, 8, entries(100, 1))) is None
    assert log.append(Batch(0, 3, 1, 12, entries(100, 1))) is None
    assert log.head == Position(1, 10)


def test_memory_is_bounded():
    log = filled(5000, recent=300, segments=3)
    assert len(log.entries) == 300 and len(log.digests) == 3 and len(log.gathering) < 256
    assert log.since(Position(1, 5)) is None and log.digest_after(Position(1, 5)) is None


@given(st.lists(st.integers(1, 40), min_size=1, max_size=8), st.integers(100, 600))
def test_split_batches_follow_on_one_another(counts, room):
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


def test_groups_and_objects_have_fingerprints_of_their_own():
    by_object, by_group = Entry(Kind.PURGE, "7", -1, 0), Entry(Kind.PURGE, "", 7, 0)
    assert fingerprint(by_object) != fingerprint(by_group)
    purges = PurgeSet([fingerprint(by_group)])
    assert purges.covers("any", 7) and not purges.covers("7", 8)
    assert fingerprint(Entry(Kind.DRAINING, "s-1", 0, 0)) == b""


def asked(backfill, now):
    machine, request = backfill.tick(now)
    assert isinstance(request, BackfillRequest)
    return machine, request


def test_a_machine_that_does_not_answer_is_left():
    backfill = Backfill([2, 0, 1], 0, 0.0)
    backfill.extend([(0, Position(1, 3), Position(1, 9))])
    assert [asked(backfill, now)[0] for now in (0.0, 1.0, 2.0)] == [2, 2, 0]
    assert backfill.tick(2.5)[1] is None


def test_where_no_machine_holds_it_it_is_lost():
    backfill = Backfill([2, 0, 1], 0, 0.0)
    backfill.extend([(0, Position(1, 3), Position(1, 9))])
    for _ in range(3):
        _, request = asked(backfill, 0.0)
        assert not backfill.lost
        backfill.receive(0.0, Horizon(request.number, 0))
    assert backfill.lost


@pytest.mark.parametrize("source, epoch, index", [(1, 1, 9), (0, 1, 3), (0, 0, 50)])
def test_a_segment_that_leads_nowhere_is_passed_over(source, epoch, index):
    backfill = Backfill([0], 0, 0.0)
    backfill.extend([(0, Position(1, 3), Position(1, 9))])
    _, request = asked(backfill, 0.0)
    backfill.receive(0.0, Segment(request.number, source, epoch, index, b"abcd"))
    assert not backfill.done() and not backfill.pieces
