"""Twenty kills of a box process under load with purges: what it serves after each start is byte-exact and current."""

import asyncio

from benchmarks.store_kills import run_kills


def test_kills(tmp_path):
    figures = asyncio.run(run_kills(tmp_path / "town", 20, 7, max_interval_s=0.4))
    bad = {
        key: figures[key] for key in ("wrong_bytes", "purged_copies", "acknowledged_purges_lost", "faults")
    }
    assert bad == dict.fromkeys(bad, 0)
    assert figures["answers"] > 100 and figures["purges"] > 10 and figures["parts_found_mean"] > 1
