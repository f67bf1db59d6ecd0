"""Tests of `brookhinge store inspect|verify|compact`: damage is reported, and unusable folders are rejected."""

import json
import random
import subprocess
import sys

import pytest

from brookhinge.store.copies import Copy
from brookhinge.store.disk_tier import DiskTier
from brookhinge.store.files import Files
from brookhinge.store.purge_ledger import Purge, PurgeKind


def run_store_command(*args):
    process = subprocess.run(
        [sys.executable, "-m", "brookhinge", "store", *args], capture_output=True, text=True, timeout=30
    )
    return process.returncode, process.stdout, process.stderr


def make_store(folder, count=40):
    tier = DiskTier(Files(folder), 64 << 20, 1 << 20)
    tier.open()
    for n in range(count):
        body = random.Random(n).randbytes(50_000)
        tier.write(Copy(b"%016x" % n, 0, b"t%d" % n, 5.0, 1, 1, len(body), body), bypass_admission=True)
    tier.purge(Purge(PurgeKind.OBJECT, b"%016x" % 3, 99.0))
    tier.close()
    return folder


@pytest.fixture
def store(tmp_path):
    return make_store(tmp_path / "s")


@pytest.mark.parametrize(
    "name, offset, damaged",
    [
        ("s-00000001.seg", 40, "record header"),
        ("s-00000001.seg", 25_000, "record body"),
        ("s-00000002.seg", 700_000, "record body"),
        ("s-00000002.seg", 10, "file header"),
        ("purges.log", 50, "purge record"),
        ("index-00000001.snap", 3000, "index snapshot"),
    ],
)
def test_verify_reports_the_damaged_file(store, name, offset, damaged):
    assert run_store_command("verify", str(store), "--json") == (0, "[]\n", "")
    path = store / name
    data = bytearray(path.read_bytes())
    data[offset] ^= 4
    path.write_bytes(data)
    code, out, err = run_store_command("verify", str(store), "--json")
    assert (code, err) == (1, "") and name in {row["file"] for row in json.loads(out)}, damaged


def test_verify_reports_truncated_and_swapped_records(store):
    path = store / "s-00000001.seg"
    data = path.read_bytes()
    length = (len(data) - 32) // 20
    path.write_bytes(
        data[:32]
        + data[32 + length : 32 + 2 * length]
        + data[32 : 32 + length]
        + data[32 + 2 * length : -100]
    )
    assert {row["place"] for row in json.loads(run_store_command("verify", str(store), "--json")[1])} >= {32}


def test_compact_shrinks_a_store_and_inspect_shows_its_size(store):
    code, out, _ = run_store_command("inspect", str(store))
    assert code == 0 and out.endswith("40 parts, 1 purges\n")
    tier = DiskTier(Files(store), 64 << 20, 1 << 20)
    tier.open()
    for n in range(0, 40, 2):
        tier.drop(b"%016x" % n, 0)
    tier.close()
    code, out, err = run_store_command("compact", str(store))
    before, after = (int(word) for word in out.split() if word.isdigit())
    assert code == 0 and after < 0.6 * before
    assert run_store_command("verify", str(store), "--json")[:2] == (0, "[]\n")
    assert json.loads(run_store_command("inspect", str(store), "--json")[1])[-1]["bytes"] == after


def test_folder_in_use_or_without_store_is_rejected(store, tmp_path):
    tier = DiskTier(Files(store), 64 << 20, 1 << 20)
    tier.open()
    for subcommand in ("inspect", "verify", "compact"):
        code, out, err = run_store_command(subcommand, str(store))
        assert (code, out) == (1, "") and "in use by process" in err and err.count("\n") == 1
    tier.close()
    for folder in (tmp_path, tmp_path / "none"):
        code, _, err = run_store_command("inspect", str(folder))
        assert code == 2 and "expected a folder with a store" in err
    assert not (tmp_path / "none").exists()
