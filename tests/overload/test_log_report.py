"""Text and JSON reports on the overload episodes of a router log."""

import json
import subprocess
import sys

from brookhinge.overload.log_report import describe, find_episodes, parse_log


def log_line(at, event, **values):
    return json.dumps({"at": at, "router": "n1", "event": event, **values})


LOG = [
    log_line(0.0, "phase", phase="ready"),
    log_line(50.0, "storm", state="busy", was="calm"),
    log_line(
        60.0, "storm", state="client", was="calm", connects_s=40, queries_s=200, returns=0.1, networks=1.5
    ),
    log_line(
        61.0, "storm", state="storm", was="client", connects_s=90, queries_s=400, returns=0.62, networks=140
    ),
    log_line(65.0, "figures", queries=3000, satisfied=900, nacked=2000, errored=100, again=1500, beside=40),
    "not JSON {",
    log_line(75.0, "figures", queries=1000, satisfied=900, nacked=100, errored=0, again=100, beside=0),
    log_line(80.0, "storm", state="calm", was="storm"),
    log_line(90.0, "figures", queries=7, satisfied=7),
    log_line(
        100.0, "storm", state="storm", was="calm", connects_s=80, queries_s=300, returns=0.5, networks=99
    ),
    log_line(103.0, "phase", phase="ready"),
    log_line(
        200.0, "storm", state="client", was="calm", connects_s=70, queries_s=10, returns=0.0, networks=1
    ),
    "",
]


def test_each_episode_is_described_with_its_rates_outcome_and_end():
    rows, unreadable = parse_log(LOG)
    described = [text for episode in find_episodes(rows) for text in describe(episode, lambda at: f"{at:g}")]
    assert unreadable == 1 and described == [
        "60 storm at n1",
        "  peak rates: 90 connections/s from about 140 networks, 400 requests/s, 62% of them retries",
        "  outcome: of 4000 requests 45% were satisfied and 52% rejected; 1600 were counted as retries of an earlier"
        " request, 40 waited for an open request",
        "  ended after 20 s",
        "100 storm at n1",
        "  peak rates: 80 connections/s from about 99 networks, 300 requests/s, 50% of them retries",
        "  the router restarted after 3 s and lost its retry schedule",
        "200 connection surge from one or two networks at n1",
        "  peak rates: 70 connections/s from about 1 networks, 10 requests/s, 0% of them retries",
        "  still in progress at the end of the log",
    ]


def run_explain(*args, text=None):
    completed = subprocess.run(
        [sys.executable, "-m", "brookhinge", "explain", *args],
        input=text,
        capture_output=True,
        text=True,
        timeout=30,
    )
    return completed.returncode, completed.stdout, completed.stderr


def test_explain_command_reads_standard_input_and_reports_missing_file(tmp_path):
    code, out, err = run_explain("-", text="\n".join(LOG))
    assert (
        code == 0
        and out.startswith("1970-01-01 00:01:00 storm at n1\n")
        and err == "1 lines could not be read\n"
    )
    assert len(json.loads(run_explain("-", "--json", text="\n".join(LOG))[1])) == 3
    assert run_explain("-", text="")[1].startswith("no storm in 0 lines: is `storm` on")
    code, out, err = run_explain(str(tmp_path / "none"))
    assert (code, out) == (2, "") and "expected a log that can be read" in err
