"""The `fleet` commands against real router processes, and imports when the fleet is disabled."""

import asyncio
import json
import subprocess
import sys
import urllib.request

from brookhinge.emulator.process_cluster import ProcessCluster


def run_cli(*args):
    process = subprocess.run(
        [sys.executable, "-m", "brookhinge", *args], capture_output=True, text=True, timeout=30
    )
    return process.returncode, process.stdout, process.stderr


def test_fleet_show_and_watch_report_members_and_unreachable_routers(tmp_path):
    async def scenario():
        async with ProcessCluster(tmp_path, routers=3, boxes=1) as rig:
            assert await rig.until(rig.one_view, 60.0)
            await rig.kill("n3")
            assert await rig.until(rig.one_view, 60.0)
            shown = await asyncio.to_thread(
                lambda: [
                    run_cli("fleet", "show", "--file", str(tmp_path / "fleet.hcl"), *rest)
                    for rest in (("--router", "n2", "--json"), (), ("--router", "n3"), ("--router", "n9"))
                ]
            )
            watched = await asyncio.to_thread(
                run_cli,
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

    (as_json, as_text, unreachable, unknown), watched = asyncio.run(scenario())
    rows = json.loads(as_json[1])[0]["members"]
    assert [(row["member"], row["state"]) for row in rows] == [
        ("n1", "alive"),
        ("n2", "alive"),
        ("n3", "lost"),
    ]
    assert as_text[1].splitlines()[0].startswith("view of n1 (digest ") and "n3" in as_text[1]
    assert unreachable[0] == 1 and "no answer from" in unreachable[2] and unreachable[2].count("\n") == 1
    assert unknown[0] == 2 and 'no block fleet "n9"' in unknown[2]
    assert watched[0] == 0 and "lost" in watched[1]


def test_fleet_modules_are_not_imported_without_a_fleet():
    code = (
        "import sys, brookhinge.net.program, brookhinge.net.service; print([m for m in sys.modules if m.startswith("
        "('msgspec', 'rich', 'brookhinge.membership', 'brookhinge.operator', 'brookhinge.purgelog'))])"
    )
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=30)
    assert process.stdout == "[]\n"


def test_check_rejects_a_fleet_key_that_is_too_short(tmp_path):
    file = tmp_path / "f.hcl"
    file.write_text(
        'fleet "a" {\n  listen = "127.0.0.1:0"\n  join = ["127.0.0.1:1"]\n  site = "s"\n  key = "xyz"\n}\n'
    )
    code, _, error = run_cli("check", str(file))
    assert code == 2 and 'line 5: fleet "a": key: expected 32 to 128 hex digits' in error


def test_emulator_runs_a_fleet_script_and_reports_script_errors(tmp_path):
    script = tmp_path / "s.hcl"
    script.write_text(
        'rig {\n  routers = 3\n}\nstep {\n  until = "one view"\n  within_s = 60\n}\nstep {\n  kill = ["n3"]\n}\n'
        'step {\n  until = "one view"\n  within_s = 60\n}\n'
    )
    code, out, err = run_cli("emulator", "fleet", str(script))
    assert code == 0 and "kill n3" in out and out.count("one view after") == 2, out + err
    assert out.splitlines()[-1].split()[:4] == ["n3", "False", "0", "0"]
    script.write_text('step {\n  kill = ["n9"]\n}\n')
    assert run_cli("emulator", "fleet", str(script))[::2] == (
        2,
        f"brookhinge: {script}: line 1: step: no router n9\n",
    )
    script.write_text('step {\n  kill = ["n1"]\n  heal = true\n}\n')
    assert "expected one of wires, kill" in run_cli("emulator", "fleet", str(script))[2]


def test_metrics_are_served_when_configured(tmp_path):
    async def scenario():
        async with ProcessCluster(tmp_path, routers=2, boxes=1, more='metrics = "127.0.0.1:0"') as rig:
            assert await rig.until(rig.one_view, 60.0)
            port = next(line["metrics"] for line in rig.log("n1", "fleet") if line["change"] == "listening")
            return await asyncio.to_thread(
                lambda: urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics").read().decode()
            )

    metrics = asyncio.run(scenario())
    assert (
        'brookhinge_fleet_members{state="alive"} 2.0' in metrics
        and 'brookhinge_fleet_sharers{where="all"} 2.0' in metrics
    )
    assert 'brookhinge_fleet_changes_total{kind="joined"} 1.0' in metrics


def test_fleet_limits_and_verdicts_are_shown_as_json(tmp_path):
    async def scenario():
        async with ProcessCluster(
            tmp_path, routers=2, boxes=1, more="share_limits = true\nshare_verdicts = true"
        ) as rig:
            assert await rig.until(rig.one_view, 60.0)
            await rig.restart_cold("s-1")
            caller = await rig.caller("n1")
            await caller.ask("0000000000000007")
            assert await rig.until(lambda: rig.parts("n1"), 60.0)
            for command in ("limits", "verdicts"):
                yield await asyncio.to_thread(
                    run_cli,
                    "fleet",
                    command,
                    "--file",
                    str(tmp_path / "fleet.hcl"),
                    "--router",
                    "n1",
                    "--json",
                )
            caller.close()

    async def parsed_outputs():
        return [json.loads(out)[0] async for code, out, _ in scenario() if code == 0]

    limits, verdicts = asyncio.run(parsed_outputs())
    assert [(row["kind"], row["server"], row["own"]) for row in limits["limits"]] == [("cache", "s-1", 0.5)]
    assert verdicts == {"router": "n1", "verdicts": []}
