"""docs/CAPACITY.md matches the stored figures and shows `not measured` where there is no run."""

from brookhinge.emulator.capacity import results
from brookhinge.emulator.capacity.driver import LOG, PEERS
from brookhinge.emulator.capacity.fit import fit
from brookhinge.emulator.capacity.page import NOT_MEASURED, PAGE, Page, breaking_size


def row(**changes):
    """Return a stored row."""
    defaults = {
        "kind": "virtual",
        "mechanism": LOG,
        "scenario": "cost",
        "routers": 530,
        "sites": 33,
        "seed": 7,
        "loss": 0.01,
        "date": "2026-12-02 05:00 UTC",
        "command": "python -m benchmarks.capacity",
        "revision": "abc",
        "machine_load": 1.0,
        "state": {},
        "phases": {
            "ordinary": {
                "seconds": 4.0,
                "bytes_s": {"median": 2000.0, "worst": 4321.0},
                "all_s": {"median": 0.2, "worst": 0.9},
                "known_s": {"median": 0.2, "worst": None},
                "missed": 0,
                "expected": 530,
            }
        },
    }
    return {**defaults, **changes}


def test_page_matches_the_stored_figures():
    assert PAGE.read_text() == Page(results.load()).text()


def test_budgets_are_not_measured_without_runs():
    text = Page([]).text()
    budgets = text.split("## What is allowed")[1].split("## Situations")[0]
    lines = [line for line in budgets.splitlines() if line.startswith("|")][2:]
    assert lines and all(line.count(NOT_MEASURED) == 2 for line in lines)


def test_figure_over_budget_is_marked():
    lines = Page([row()]).text().splitlines()
    traffic = next(line for line in lines if line.startswith("| control traffic of a router"))
    assert "4,321" in traffic and "**over**" in traffic and NOT_MEASURED in traffic
    in_force = next(line for line in lines if line.startswith("| a purge in force"))
    assert "0.9" in in_force and "**over**" not in in_force


def test_run_with_late_event_loops_is_listed_but_not_used():
    late = row(kind="sockets", state={"loop_late_s": 2.0})
    text = Page([late]).text()
    assert "4,321" not in text and "not used: too late" in text


def test_phase_on_time_is_used_when_another_phase_was_late():
    late = row(kind="sockets", state={"loop_late_s": 2.0})
    late["phases"]["ordinary"]["loop_late_s"] = 0.1
    late["phases"]["burst"] = {
        "seconds": 3.0,
        "bytes_s": {"median": 1.0, "worst": 9876.0},
        "loop_late_s": 2.0,
    }
    text = Page([late]).text()
    assert "4,321" in text and "9,876" not in text and "not used: burst" in text


def test_breaking_size_is_where_the_fit_exceeds_the_budget():
    found = fit([(n, 100.0 + n) for n in (66, 132, 265, 530)])
    assert breaking_size(found, 400.5) == "301 and more"
    assert breaking_size(found, 50.0) == "any"
    assert breaking_size(found, 1e9) == "none up to 100,000"
    falling = fit([(n, 300.0 - n / 2) for n in (66, 132, 265, 530)])
    assert breaking_size(falling, 250.25) == "99 and fewer"


def test_stored_row_is_replaced_by_a_later_row_of_the_same_run(tmp_path):
    file = tmp_path / "kept.json"
    results.keep([row(), row(seed=8)], file)
    results.keep([row(date="later"), row(mechanism=PEERS)], file)
    kept = results.load(file)
    assert [(one["mechanism"], one["seed"], one["date"]) for one in kept] == [
        (LOG, 7, "later"),
        (LOG, 8, row()["date"]),
        (PEERS, 7, row()["date"]),
    ]


def test_last_line_has_the_required_fields():
    line = results.last_line([row(), row(routers=132)], 530, 7, 0.01, PEERS, LOG)
    required = {
        "bytes_s_router",
        "core_share_router",
        "memory_mb_router",
        "purge_all_s",
        "purge_known_s",
        "purges_missed",
        "catch_up_s",
        "flat",
    }
    assert required | {"routers", "seed", "loss"} <= set(line) and required <= set(line["before"])
    assert (line["bytes_s_router"], line["purges_missed"], line["flat"]) == (4321.0, 0, 1.0)
    assert line["before"]["bytes_s_router"] is None


def test_stored_command_contains_no_local_path():
    shown = results.command(["--keep", "/somewhere/else", "--virtual"])
    assert shown == "python -m benchmarks.capacity --keep benchmarks/results/capacity --virtual"
