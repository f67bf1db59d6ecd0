"""Writes the rollout journal that test_stored_data.py opens.

    PYTHONPATH=CHECKOUT CHECKOUT/.venv/bin/python tests/rollout/data/make_journal.py FILE

CHECKOUT is a checkout of the version whose journal is stored.
"""

import pathlib
import sys

RECORDS = [
    {"form": 1, "what": "form", "plan": "5b1f0c2e9d7a4630", "name": "rödå 1"},
    {"what": "epoch", "epoch": 1764748800123},
    {"what": "change", "router": "n-1", "old": "1.0", "new": "1.1", "at": 1764748801.25},
    {"what": "process", "router": "n-1", "number": 2, "pid": 4711, "born": 17.5, "log": "n-1.2.log"},
    {"what": "judged", "router": "n-1", "good": True, "why": None, "figures": {"ready_s": 0.5, "faults": []}},
]
TORN_BYTES = 25  # written of a sixth record before the process was killed


def main(path):
    from brookhinge.rollout.journal import Journal, encode_record

    path.unlink(missing_ok=True)
    journal = Journal(path)
    journal.append(*RECORDS[:2])
    journal.append(*RECORDS[2:])
    journal.close()
    with path.open("ab") as file:
        file.write(encode_record(len(RECORDS), RECORDS[2])[:TORN_BYTES])


if __name__ == "__main__":
    main(pathlib.Path(sys.argv[1]))
