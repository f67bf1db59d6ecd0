"""Tests that a cache server killed 20 times under load with purges serves only exact, current bytes."""

import asyncio

from benchmarks.store_kills import run_kills


def test_killed_server_serves_no_wrong_or_purged_bytes(tmp_path):
    figures = asyncio.run(run_kills(tmp_path / "town", 20, 7, max_interval_s=0.4))
    faults = {
        key: figures[key] for key in ("wrong_bytes", "purged_copies", "acknowledged_purges_lost", "faults")
    }
    assert faults == dict.fromkeys(faults, 0)
    assert figures["answers"] > 100 and figures["purges"] > 10 and figures["parts_found_mean"] > 1
