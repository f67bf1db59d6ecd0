"""Metrics of routers and control machines, and the command line against running processes."""

import asyncio
import subprocess
import sys
import urllib.request
from pathlib import Path

from brookhinge.emulator.ports import free_port
from brookhinge.emulator.process_cluster import ProcessCluster

ROOT = Path(__file__).parents[2]
LONG_S = 60.0


def brookhinge(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "brookhinge", *arguments], capture_output=True, text=True, cwd=ROOT
    )


def fetch_metrics(port):
    return urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics", timeout=10).read().decode()


def test_purge_command_reports_progress_and_router_serves_metrics(tmp_path):
    port = free_port()

    async def run():
        async with ProcessCluster(
            tmp_path, routers=1, controls=3, proof_s=1.0, more=f'metrics = "127.0.0.1:{port}"'
        ) as rig:
            assert await rig.until(lambda: rig.last_rule("n1") == "proven", LONG_S)
            file = str(tmp_path / "fleet.hcl")
            command = ["control", "purge", "--file", file, "--wait", "30"]
            completed = await asyncio.to_thread(brookhinge, *command, "--object", "abc")
            assert (completed.returncode, completed.stderr) == (
                0,
                "",
            ) and "in force at every router after" in completed.stdout
            text = await asyncio.to_thread(fetch_metrics, port)
            assert "brookhinge_purgelog_stale 0.0" in text
            assert 'brookhinge_purgelog_entries_total{what="entries"} 1.0' in text
            rejected = await asyncio.to_thread(brookhinge, *command)
            assert rejected.returncode == 2 and "either --object or --group" in rejected.stderr
            await rig.kill_control("c2")
            await rig.kill_control("c3")
            assert await rig.until(lambda: rig.last_rule("n1") == "stale", LONG_S)
            without_majority = await asyncio.to_thread(brookhinge, *command[:-1], "1", "--group", "7")
            assert without_majority.returncode == 1 and "not in force" in without_majority.stderr
            assert "not held by a majority" in without_majority.stdout

    asyncio.run(run())


def test_control_machine_serves_metrics(tmp_path):
    ports = {name: (free_port(), free_port()) for name in ("c1", "c2", "c3")}
    text = "".join(
        f'control "{name}" {{\n  listen = "127.0.0.1:{udp}"\n  site = "s"\n  key = "{"0123456789abcdef" * 2}"\n'
        f'  metrics = "127.0.0.1:{http}"\n}}\n'
        for name, (udp, http) in ports.items()
    )
    file = tmp_path / "control.hcl"
    file.write_text(text)
    checked = brookhinge("check", str(file))
    assert checked.returncode == 0 and checked.stdout.count("control") == 3

    async def run():
        from brookhinge.operator import read_file
        from brookhinge.purgelog.server import ControlServer

        settings = read_file(file)
        servers = [
            ControlServer(name, settings.control, lambda event, **values: None) for name in settings.control
        ]
        for server in servers:
            await server.start()
        assert await ProcessCluster.until(
            lambda: all(server.node.replication.epoch for server in servers), LONG_S
        )
        metrics = await asyncio.to_thread(fetch_metrics, ports["c1"][1])
        assert "brookhinge_purgelog_serving 1.0" in metrics and "brookhinge_purgelog_epoch 1.0" in metrics
        assert 'brookhinge_purgelog_head{source="c3"}' in metrics
        for server in servers:
            server.stop()

    asyncio.run(run())


def test_control_name_missing_in_the_file_is_rejected(tmp_path):
    file = tmp_path / "empty.hcl"
    file.write_text("")
    completed = brookhinge("control", "serve", "--file", str(file), "--name", "c1")
    assert completed.returncode == 2 and completed.stderr.endswith("no block control\n")
