"""A rollout's journal, torn at every byte, on a full disk, damaged in the middle."""

import errno
import os

import pytest

from brookhinge.rollout.journal import FORMAT_VERSION, Journal, JournalError, decode_journal, encode_record

RECORDS = [
    {"form": FORMAT_VERSION, "what": "form", "plan": "p"},
    {"what": "epoch", "epoch": 7},
    {"what": "change", "router": "n1"},
]


def test_torn_at_every_byte(tmp_path):
    """What is whole is read, the rest is cut off, and it goes on from there."""
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


def test_damage_in_the_middle_is_refused():
    data = bytearray(b"".join(encode_record(k, record) for k, record in enumerate(RECORDS)))
    data[len(encode_record(0, RECORDS[0])) + 20] ^= 1
    with pytest.raises(JournalError, match="with whole ones behind it"):
        decode_journal(bytes(data))
    with pytest.raises(JournalError, match="form 9"):
        decode_journal(encode_record(0, {"form": 9}))
    again = encode_record(0, RECORDS[0]) + encode_record(
        2, RECORDS[2]
    )  # a record that is lost is damage as well
    assert decode_journal(again)[0] == RECORDS[:1]


def test_a_full_disk_leaves_it_as_it_was(tmp_path):
    full = []

    def sync(number):
        if full:
            raise OSError(errno.ENOSPC, "no space left")
        os.fsync(number)

    journal = Journal(tmp_path / "j", sync)
    journal.append(RECORDS[0])
    full.append(True)
    with pytest.raises(OSError):
        journal.append(*RECORDS[1:])
    full.clear()
    assert journal.records == RECORDS[:1]
    journal.append(*RECORDS[1:])
    journal.close()
    assert decode_journal((tmp_path / "j").read_bytes())[0] == RECORDS


def test_one_process_at_a_time(tmp_path):
    journal = Journal(tmp_path / "j")
    with pytest.raises(JournalError, match="in use"):
        Journal(tmp_path / "j")
    journal.close()
    Journal(tmp_path / "j").close()
