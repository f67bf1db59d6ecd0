"""brookhinge store inspect|verify|compact: each planted damage is named; a store in use, or none, is refused."""

import json
import random
import subprocess
import sys

import pytest

from brookhinge.store.copies import Copy
from brookhinge.store.disk_tier import DiskTier
from brookhinge.store.files import Files
from brookhinge.store.purge_ledger import Purge, PurgeKind


def run(*args):
    done = subprocess.run(
        [sys.executable, "-m", "brookhinge", "store", *args], capture_output=True, text=True, timeout=30
    )
    return done.returncode, done.stdout, done.stderr


def made(folder, count=40):
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
    return made(tmp_path / "s")


@pytest.mark.parametrize(
    "name, place, what",
    [
        ("s-00000001.seg", 40, "a head"),
        ("s-00000001.seg", 25_000, "bytes"),
        ("s-00000002.seg", 700_000, "bytes"),
        ("s-00000002.seg", 10, "the file's head"),
        ("purges.log", 50, "a purge"),
        ("index-00000001.snap", 3000, "a picture"),
    ],
)
def test_each_planted_damage_is_found(store, name, place, what):
    assert run("verify", str(store), "--json") == (0, "[]\n", "")
    path = store / name
    data = bytearray(path.read_bytes())
    data[place] ^= 4
    path.write_bytes(data)
    code, out, err = run("verify", str(store), "--json")
    assert (code, err) == (1, "") and name in {row["file"] for row in json.loads(out)}, what


def test_torn_and_exchanged_records_are_found(store):
    path = store / "s-00000001.seg"
    data = path.read_bytes()
    length = (len(data) - 32) // 20
    path.write_bytes(
        data[:32]
        + data[32 + length : 32 + 2 * length]
        + data[32 : 32 + length]
        + data[32 + 2 * length : -100]
    )
    assert {row["place"] for row in json.loads(run("verify", str(store), "--json")[1])} >= {32}


def test_inspect_and_compact(store):
    code, out, _ = run("inspect", str(store))
    assert code == 0 and out.endswith("40 parts, 1 purges\n")
    tier = DiskTier(Files(store), 64 << 20, 1 << 20)
    tier.open()
    for n in range(0, 40, 2):
        tier.drop(b"%016x" % n, 0)
    tier.close()
    code, out, err = run("compact", str(store))
    before, after = (int(word) for word in out.split() if word.isdigit())
    assert code == 0 and after < 0.6 * before
    assert run("verify", str(store), "--json")[:2] == (0, "[]\n")
    assert json.loads(run("inspect", str(store), "--json")[1])[-1]["bytes"] == after


def test_what_is_in_use_or_no_store_is_refused(store, tmp_path):
    tier = DiskTier(Files(store), 64 << 20, 1 << 20)
    tier.open()
    for verb in ("inspect", "verify", "compact"):
        code, out, err = run(verb, str(store))
        assert (code, out) == (1, "") and "in use by process" in err and err.count("\n") == 1
    tier.close()
    for folder in (tmp_path, tmp_path / "none"):
        code, _, err = run("inspect", str(folder))
        assert code == 2 and "expected a folder with a store" in err
    assert not (tmp_path / "none").exists()
