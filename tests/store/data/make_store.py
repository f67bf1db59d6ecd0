"""Writes the store folder that test_stored_data.py opens, and what a reader must find in it.

    PYTHONPATH=CHECKOUT CHECKOUT/.venv/bin/python tests/store/data/make_store.py FOLDER

CHECKOUT is a checkout of the version whose files are to be kept. The script makes FOLDER/store and
FOLDER/expected.json.
"""

import importlib
import json
import pathlib
import random
import shutil
import sys
from unittest import mock

SEGMENT_BYTES = 4096
LIMIT_BYTES = 16 * SEGMENT_BYTES
MAX_PURGED_OBJECTS = 4  # one more folds the older half into the floor
CHUNK_BYTES = 65536
STORE_ID = 0x0123456789ABCDEF


def body_of(name, size):
    return random.Random(name).randbytes(size)


def copy_fields(name, **values):
    size = values.pop("size", 300)
    fields = {"object": name, "part": 0, "tag": b"tag-" + name, "dated": 100.0, "group": 1, "rank": 1}
    return {**fields, "size": size, "body": body_of(name, size), **values}


def write_scene(write, purge_object, purge_group, revalidate, snapshot, sync):
    """Fills three segments, the last of them unsealed, with two snapshots and purges between the records.

    write(**fields of a copy) returns whether it was written; revalidate(object, part, tag, size, date)
    whether it was there.
    """

    def put(name, **values):
        assert write(**copy_fields(name, **values))

    for n in range(12):
        put(b"old-%02d" % n, part=n % 3, dated=100.0 + n, group=n % 4, rank=n % 4, size=200 + 40 * n)
    put(b"untagged", tag=b"", dated=150.25, group=256)
    put(b"replaced", tag=b"v1", dated=151.0)
    snapshot()
    purge_object(b"old-03", 500.0)
    purge_group(2, 105.5)
    put(b"replaced", tag=b"v2", dated=152.0, size=400)
    tail = body_of(b"tail-only", 100)
    put(b"tail-only", size=CHUNK_BYTES + len(tail), body=tail, start=CHUNK_BYTES, dated=153.0)
    assert revalidate(b"old-05", 2, b"tag-old-05", 400, 170.0)
    snapshot()
    for n in range(5):
        purge_object(b"purged-%d" % n, 50.0 + n)
    for n in range(3):
        put(b"new-%02d" % n, dated=200.0 + n, group=7, rank=3, size=500)
    sync()


def expected_of(folder, tier_in, copy_names):
    """What a new process finds in a copy of the folder."""
    tier = tier_in(folder)
    opened = tier.open()
    copies = []
    for name, part in copy_names:
        held = tier.look(name, part)
        if held is None:
            copies.append({"object": name.decode(), "part": part, "held": None})
            continue
        found = tier.read(name, part, *((CHUNK_BYTES, held.size) if held.chunks == 2 else ()))
        fields = found._asdict()
        fields["tag"] = found.tag.decode()
        size = fields.pop("body") and len(found.body)
        assert found.body == body_of(name, size)
        fields["body_bytes"] = size
        copies.append({"object": name.decode(), "part": part, "held": list(held), "found": fields})
    ledger = tier.ledger
    purges = {
        "objects": {name.decode(): when for name, when in ledger.objects.items()},
        "groups": {str(group): when for group, when in ledger.groups.items()},
        "floor": ledger.floor,
        "last_group": ledger.last_group,
        "serial": ledger.serial,
    }
    figures = tier.figures()
    tier.abandon()
    return {"opened": opened, "figures": figures, "copies": copies, "purges": purges}


def main(target):
    from brookhinge.store import Copy, DiskTier
    from brookhinge.store.files import Files

    ledger = importlib.import_module("brookhinge.store.ledger")  # as that version names it

    def tier_in(folder):
        return DiskTier(Files(folder), LIMIT_BYTES, SEGMENT_BYTES, most_purges=MAX_PURGED_OBJECTS)

    target.mkdir(parents=True, exist_ok=True)
    tier = tier_in(target / "store")
    with mock.patch("secrets.randbits", return_value=STORE_ID):
        tier.open()
    write_scene(
        write=lambda **fields: tier.write(Copy(**fields), surely=True),
        purge_object=lambda name, when: tier.purge(ledger.OBJECT, name, when),
        purge_group=lambda group, when: tier.purge(ledger.GROUP, group, when),
        revalidate=tier.renew,
        snapshot=tier.snapshot,
        sync=tier.sync,
    )
    tier.abandon()  # as a killed process leaves it: no last snapshot, the last segment unsealed
    (target / "store" / "lock").unlink()
    names = [(b"old-%02d" % n, n % 3) for n in range(12)]
    names += [(b"new-%02d" % n, 0) for n in range(3)]
    names += [(name, 0) for name in (b"untagged", b"replaced", b"tail-only", b"never-written")]
    copy = target / "copy"
    shutil.copytree(target / "store", copy)
    expected = expected_of(copy, tier_in, names)
    shutil.rmtree(copy)
    (target / "expected.json").write_text(json.dumps(expected, indent=1) + "\n")


if __name__ == "__main__":
    main(pathlib.Path(sys.argv[1]))
