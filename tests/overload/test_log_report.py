"""A log told as a story, by a trace that people read."""

import json
import subprocess
import sys

from brookhinge.overload.log_report import describe, find_episodes, parse_log


def line(at, event, **values):
    return json.dumps({"at": at, "router": "n1", "event": event, **values})


LOG = [
    line(0.0, "phase", phase="ready"),
    line(50.0, "storm", state="busy", was="calm"),
    line(60.0, "storm", state="client", was="calm", connects_s=40, queries_s=200, returns=0.1, networks=1.5),
    line(
        61.0, "storm", state="storm", was="client", connects_s=90, queries_s=400, returns=0.62, networks=140
    ),
    line(65.0, "figures", queries=3000, satisfied=900, nacked=2000, errored=100, again=1500, beside=40),
    "spoilt {",
    line(75.0, "figures", queries=1000, satisfied=900, nacked=100, errored=0, again=100, beside=0),
    line(80.0, "storm", state="calm", was="storm"),
    line(90.0, "figures", queries=7, satisfied=7),
    line(100.0, "storm", state="storm", was="calm", connects_s=80, queries_s=300, returns=0.5, networks=99),
    line(103.0, "phase", phase="ready"),
    line(200.0, "storm", state="client", was="calm", connects_s=70, queries_s=10, returns=0.0, networks=1),
    "",
]


def test_the_story():
    rows, unreadable = parse_log(LOG)
    told = [text for episode in find_episodes(rows) for text in describe(episode, lambda at: f"{at:g}")]
    assert unreadable == 1 and told == [
        "60 a storm at n1",
        "  seen by 90 connections a second from about 140 networks, 400 queries a second, 62% of them returns",
        "  damped: of 4000 queries 45% were satisfied and 52% told to come back; 1600 were retries counted under their first"
        " try, 40 waited for what was out",
        "  over after 20 s",
        "100 a storm at n1",
        "  seen by 80 connections a second from about 99 networks, 300 queries a second, 50% of them returns",
        "  the router started anew after 3 s: its plan of returns went with it",
        "200 a crowd from one or two networks at n1",
        "  seen by 70 connections a second from about 1 networks, 10 queries a second, 0% of them returns",
        "  not over when the log ends",
    ]


def run(*args, text=None):
    done = subprocess.run(
        [sys.executable, "-m", "brookhinge", "explain", *args],
        input=text,
        capture_output=True,
        text=True,
        timeout=30,
    )
    return done.returncode, done.stdout, done.stderr


def test_from_the_command_line(tmp_path):
    code, out, err = run("-", text="\n".join(LOG))
    assert (
        code == 0
        and out.startswith("1970-01-01 00:01:00 a storm at n1\n")
        and err == "1 lines could not be read\n"
    )
    assert len(json.loads(run("-", "--json", text="\n".join(LOG))[1])) == 3
    assert run("-", text="")[1].startswith("no storm in 0 lines: is `storm` on")
    code, out, err = run(str(tmp_path / "none"))
    assert (code, out) == (2, "") and "expected a log that can be read" in err
