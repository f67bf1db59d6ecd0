"""Tests that journals of earlier versions can be read and records are still encoded to the same bytes."""

import shutil
from pathlib import Path

from brookhinge.rollout.journal import Journal
from tests.rollout.data.make_journal import RECORDS, TORN_BYTES

VERSION1 = Path(__file__).parent / "data" / "version1.journal"


def test_journal_of_format_1_is_read_and_its_torn_record_truncated(tmp_path):
    path = Path(shutil.copy(VERSION1, tmp_path / "j"))
    journal = Journal(path)
    assert journal.records == RECORDS
    assert path.read_bytes() == VERSION1.read_bytes()[:-TORN_BYTES]
    journal.append({"what": "epoch", "epoch": 1})
    journal.close()
    reopened = Journal(path)
    assert reopened.records == [*RECORDS, {"what": "epoch", "epoch": 1}]
    reopened.close()


def test_records_are_encoded_to_the_bytes_of_format_1(tmp_path):
    journal = Journal(tmp_path / "j")
    for record in RECORDS:
        journal.append(record)
    journal.close()
    assert (tmp_path / "j").read_bytes() == VERSION1.read_bytes()[:-TORN_BYTES]
