"""A rollout journal of an earlier version is read as written, and its records still make the same bytes."""

import shutil
from pathlib import Path

from brookhinge.rollout.journal import Journal
from tests.rollout.data.make_journal import RECORDS, TORN_BYTES

VERSION1 = Path(__file__).parent / "data" / "version1.journal"


def test_a_journal_of_form_1_is_read_and_its_torn_end_is_cut_off(tmp_path):
    path = Path(shutil.copy(VERSION1, tmp_path / "j"))
    journal = Journal(path)
    assert journal.records == RECORDS
    assert path.read_bytes() == VERSION1.read_bytes()[:-TORN_BYTES]
    journal.append({"what": "epoch", "epoch": 1})
    journal.close()
    again = Journal(path)
    assert again.records == [*RECORDS, {"what": "epoch", "epoch": 1}]
    again.close()


def test_the_same_records_write_the_bytes_of_form_1(tmp_path):
    journal = Journal(tmp_path / "j")
    for record in RECORDS:
        journal.append(record)
    journal.close()
    assert (tmp_path / "j").read_bytes() == VERSION1.read_bytes()[:-TORN_BYTES]
