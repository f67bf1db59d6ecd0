"""Tests the journal of a rollout: torn writes, a full disk, damage before intact records, and locking."""

import errno
import os

import pytest

from brookhinge.rollout.journal import FORMAT_VERSION, Journal, JournalError, decode_journal, encode_record

RECORDS = [
    {"form": FORMAT_VERSION, "what": "form", "plan": "p"},
    {"what": "epoch", "epoch": 7},
    {"what": "change", "router": "n1"},
]


def test_journal_torn_at_any_byte_keeps_its_intact_records(tmp_path):
    """The intact records are read, the torn one is truncated, and records can be appended again."""
    data = b"".join(encode_record(k, record) for k, record in enumerate(RECORDS))
    ends = [0] + [len(b"".join(encode_record(k, r) for k, r in enumerate(RECORDS[:n]))) for n in (1, 2, 3)]
    for cut in range(len(data) + 1):
        path = tmp_path / "j"
        path.write_bytes(data[:cut])
        journal = Journal(path)
        kept = max(n for n, end in enumerate(ends) if end <= cut)
        assert journal.records == RECORDS[:kept] and path.stat().st_size == ends[kept]
        journal.append(*RECORDS[kept:])
        journal.close()
        assert path.read_bytes() == data


def test_damaged_record_before_intact_ones_is_refused():
    data = bytearray(b"".join(encode_record(k, record) for k, record in enumerate(RECORDS)))
    damaged_at = len(encode_record(0, RECORDS[0]))
    data[damaged_at + 20] ^= 1
    with pytest.raises(JournalError, match=f"damaged record at byte {damaged_at}, followed by intact ones"):
        decode_journal(bytes(data))
    with pytest.raises(JournalError, match="unsupported journal format 9, expected 1"):
        decode_journal(encode_record(0, {"form": 9}))
    with_gap = encode_record(0, RECORDS[0]) + encode_record(2, RECORDS[2])  # record 1 is missing
    assert decode_journal(with_gap)[0] == RECORDS[:1]


def test_failed_append_leaves_the_journal_unchanged(tmp_path):
    is_full = []

    def sync(file_descriptor):
        if is_full:
            raise OSError(errno.ENOSPC, "no space left")
        os.fsync(file_descriptor)

    journal = Journal(tmp_path / "j", sync)
    journal.append(RECORDS[0])
    is_full.append(True)
    with pytest.raises(OSError):
        journal.append(*RECORDS[1:])
    is_full.clear()
    assert journal.records == RECORDS[:1]
    journal.append(*RECORDS[1:])
    journal.close()
    assert decode_journal((tmp_path / "j").read_bytes())[0] == RECORDS


def test_second_open_is_refused_until_the_first_is_closed(tmp_path):
    journal = Journal(tmp_path / "j")
    with pytest.raises(JournalError, match="in use"):
        Journal(tmp_path / "j")
    journal.close()
    Journal(tmp_path / "j").close()
