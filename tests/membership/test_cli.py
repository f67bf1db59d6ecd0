"""Tests the fleet commands on real routers, and that a router without a fleet block imports none of it."""

import asyncio
import json
import subprocess
import sys
import urllib.request

from brookhinge.emulator.process_cluster import ProcessCluster


def run(*args):
    process = subprocess.run(
        [sys.executable, "-m", "brookhinge", *args], capture_output=True, text=True, timeout=30
    )
    return process.returncode, process.stdout, process.stderr


def test_show_and_watch_print_members_and_name_unreachable_or_unknown_routers(tmp_path):
    async def scenario():
        async with ProcessCluster(tmp_path, routers=3, boxes=1) as cluster:
            assert await cluster.until(cluster.one_view, 60.0)
            await cluster.kill("n3")
            assert await cluster.until(cluster.one_view, 60.0)
            shown = await asyncio.to_thread(
                lambda: [
                    run("fleet", "show", "--file", str(tmp_path / "fleet.hcl"), *options)
                    for options in (("--router", "n2", "--json"), (), ("--router", "n3"), ("--router", "n9"))
                ]
            )
            watched = await asyncio.to_thread(
                run,
                "fleet",
                "watch",
                "--file",
                str(tmp_path / "fleet.hcl"),
                "--rounds",
                "2",
                "--every",
                "0.2",
            )
            return shown, watched

    (as_json, as_table, unreachable, unknown), watched = asyncio.run(scenario())
    rows = json.loads(as_json[1])[0]["members"]
    assert [(row["member"], row["state"]) for row in rows] == [
        ("n1", "alive"),
        ("n2", "alive"),
        ("n3", "lost"),
    ]
    assert as_table[1].splitlines()[0].startswith("view of n1 (digest ") and "n3" in as_table[1]
    assert unreachable[0] == 1 and "no answer from" in unreachable[2] and unreachable[2].count("\n") == 1
    assert unknown[0] == 2 and 'no block fleet "n9"' in unknown[2]
    assert watched[0] == 0 and "lost" in watched[1]


def test_router_without_a_fleet_block_imports_no_fleet_modules():
    code = (
        "import sys, brookhinge.net.program, brookhinge.net.service; print([m for m in sys.modules if m.startswith("
        "('msgspec', 'rich', 'brookhinge.membership', 'brookhinge.operator', 'brookhinge.purgelog'))])"
    )
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=30)
    assert process.stdout == "[]\n"


def test_invalid_fleet_key_is_named_with_its_line(tmp_path):
    file = tmp_path / "f.hcl"
    file.write_text(
        'fleet "a" {\n  listen = "127.0.0.1:0"\n  join = ["127.0.0.1:1"]\n  site = "s"\n  key = "xyz"\n}\n'
    )
    code, _, error = run("check", str(file))
    assert code == 2 and 'line 5: fleet "a": key: expected 32 to 128 hex digits' in error


def test_fleet_script_runs_and_an_invalid_one_is_named(tmp_path):
    script_file = tmp_path / "s.hcl"
    script_file.write_text(
        'rig {\n  routers = 3\n}\nstep {\n  until = "one view"\n  within_s = 60\n}\nstep {\n  kill = ["n3"]\n}\n'
        'step {\n  until = "one view"\n  within_s = 60\n}\n'
    )
    code, out, err = run("emulator", "fleet", str(script_file))
    assert code == 0 and "kill n3" in out and out.count("one view after") == 2, out + err
    assert out.splitlines()[-1].split()[:4] == ["n3", "False", "0", "0"]
    script_file.write_text('step {\n  kill = ["n9"]\n}\n')
    assert run("emulator", "fleet", str(script_file))[::2] == (
        2,
        f"brookhinge: {script_file}: line 1: step: no router n9\n",
    )
    script_file.write_text('step {\n  kill = ["n1"]\n  heal = true\n}\n')
    assert "expected one of wires, kill" in run("emulator", "fleet", str(script_file))[2]


def test_metrics_are_served_at_the_configured_address(tmp_path):
    async def scenario():
        async with ProcessCluster(tmp_path, routers=2, boxes=1, more='metrics = "127.0.0.1:0"') as cluster:
            assert await cluster.until(cluster.one_view, 60.0)
            port = next(
                line["metrics"] for line in cluster.log("n1", "fleet") if line["change"] == "listening"
            )
            return await asyncio.to_thread(
                lambda: urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics").read().decode()
            )

    text = asyncio.run(scenario())
    assert (
        'brookhinge_fleet_members{state="alive"} 2.0' in text
        and 'brookhinge_fleet_sharers{where="all"} 2.0' in text
    )
    assert 'brookhinge_fleet_changes_total{kind="joined"} 1.0' in text


def test_limits_and_verdicts_commands_print_json(tmp_path):
    async def scenario():
        async with ProcessCluster(
            tmp_path, routers=2, boxes=1, more="share_limits = true\nshare_verdicts = true"
        ) as cluster:
            assert await cluster.until(cluster.one_view, 60.0)
            await cluster.cold("s-1")
            client = await cluster.caller("n1")
            await client.ask("0000000000000007")
            assert await cluster.until(lambda: cluster.parts("n1"), 60.0)
            for topic in ("limits", "verdicts"):
                yield await asyncio.to_thread(
                    run, "fleet", topic, "--file", str(tmp_path / "fleet.hcl"), "--router", "n1", "--json"
                )
            client.close()

    async def read_all():
        return [json.loads(out)[0] async for code, out, _ in scenario() if code == 0]

    limits, verdicts = asyncio.run(read_all())
    assert [(row["kind"], row["server"], row["own"]) for row in limits["limits"]] == [("cache", "s-1", 0.5)]
    assert verdicts == {"router": "n1", "verdicts": []}
