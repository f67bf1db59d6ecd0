"""Tests that files of earlier versions can be read, and that the same operations write the same bytes."""

import json
import shutil
from pathlib import Path
from unittest import mock

import pytest

from brookhinge.store import Copy, DiskTier
from brookhinge.store.files import Files
from brookhinge.store.purge_ledger import Purge, PurgeKind
from tests.store.data.make_store import (
    CHUNK_BYTES,
    LIMIT_BYTES,
    MAX_PURGED_OBJECTS,
    SEGMENT_BYTES,
    STORE_ID,
    body_of,
    write_scene,
)

VERSION1 = Path(__file__).parent / "data" / "version1"
EXPECTED = json.loads((VERSION1 / "expected.json").read_text())
FILES = [
    "index-00000001.snap",
    "index-00000002.snap",
    "purges.log",
    "s-00000001.seg",
    "s-00000002.seg",
    "s-00000003.seg",
    "store",
]


def make_tier(folder):
    return DiskTier(Files(folder), LIMIT_BYTES, SEGMENT_BYTES, max_purged_objects=MAX_PURGED_OBJECTS)


@pytest.fixture
def folder(tmp_path):
    return Path(shutil.copytree(VERSION1 / "store", tmp_path / "store"))


def check_copies(tier, without_snapshot=False):
    """Check every copy field by field. Only the snapshot holds a date that was changed by a revalidation."""
    for copy in EXPECTED["copies"]:
        name, part = copy["object"].encode(), copy["part"]
        indexed = tier.lookup(name, part)
        if copy["held"] is None:
            assert indexed is None and tier.read(name, part) is None, name
            continue
        dated, group, rank, size, needs_revalidation, chunks = copy["held"]
        if without_snapshot and name == b"old-05":
            dated = 105.0
        assert indexed == (dated, group, rank, size, needs_revalidation, chunks), name
        start = CHUNK_BYTES if chunks == 2 else 0
        found = tier.read(name, part, start, size)
        body = body_of(name, copy["found"]["body_bytes"])
        assert found == (
            copy["found"]["tag"].encode(),
            dated,
            group,
            rank,
            size,
            body,
            needs_revalidation,
            start,
        ), name


def check_purges(tier, startups=1):
    """Check the ledger. Each startup rewrites it and gives each record it keeps the next serial number."""
    purges = EXPECTED["purges"]
    ledger = tier.ledger
    assert {name.decode(): when for name, when in ledger.objects.items()} == purges["objects"]
    assert {str(group): when for group, when in ledger.groups.items()} == purges["groups"]
    assert (ledger.floor, ledger.latest_group_purge) == (purges["floor"], purges["last_group"])
    kept_records = 1 + len(purges["groups"]) + len(purges["objects"])
    assert ledger.serial == purges["serial"] + (startups - 1) * kept_records


def test_folder_of_version_1_is_read_completely(folder):
    tier = make_tier(folder)
    assert tier.open().log_values() == EXPECTED["opened"]
    check_copies(tier)
    check_purges(tier)
    assert tier.stats() == EXPECTED["figures"]
    tier.close()
    reopened = make_tier(folder)
    assert reopened.open().parts == EXPECTED["figures"]["parts"]
    check_copies(reopened)
    check_purges(reopened, startups=2)
    reopened.abandon()


def test_folder_of_version_1_with_damaged_latest_snapshot_is_read_from_the_older_one(folder):
    (folder / "index-00000002.snap").write_bytes(b"damaged")
    tier = make_tier(folder)
    report = tier.open()
    assert (report.pictures, report.damaged) == (1, 1)
    check_copies(tier, without_snapshot=True)
    check_purges(tier)
    tier.abandon()


def test_folder_of_version_1_is_read_without_snapshots(folder):
    for path in folder.glob("*.snap"):
        path.unlink()
    tier = make_tier(folder)
    report = tier.open()
    assert (report.pictures, report.segments, report.damaged) == (0, 3, 0)
    check_copies(tier, without_snapshot=True)
    check_purges(tier)
    tier.abandon()


def test_same_operations_write_the_bytes_of_version_1(tmp_path):
    tier = make_tier(tmp_path / "store")
    with mock.patch("secrets.randbits", return_value=STORE_ID):
        tier.open()
    write_scene(
        write=lambda **fields: tier.write(Copy(**fields), bypass_admission=True),
        purge_object=lambda name, when: tier.purge(Purge(PurgeKind.OBJECT, name, when)),
        purge_group=lambda group, when: tier.purge(Purge(PurgeKind.GROUP, group, when)),
        revalidate=tier.mark_revalidated,
        snapshot=tier.snapshot,
        sync=tier.sync,
    )
    tier.abandon()
    written = {path.name: path.read_bytes() for path in (tmp_path / "store").iterdir() if path.name != "lock"}
    assert sorted(written) == FILES
    for name in FILES:
        assert written[name] == (VERSION1 / "store" / name).read_bytes(), name
