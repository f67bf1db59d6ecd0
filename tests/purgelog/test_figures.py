"""What operators see: figures of routers and control machines, and the command line against processes."""

import asyncio
import subprocess
import sys
import urllib.request
from pathlib import Path

from brookhinge.emulator.ports import free_port
from brookhinge.emulator.process_cluster import ProcessCluster

ROOT = Path(__file__).parents[2]
LONG = 60.0


def brookhinge(*words):
    return subprocess.run(
        [sys.executable, "-m", "brookhinge", *words], capture_output=True, text=True, cwd=ROOT
    )


def figures(port):
    return urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics", timeout=10).read().decode()


def test_the_purge_command_and_figures(tmp_path):
    port = free_port()

    async def run():
        async with ProcessCluster(
            tmp_path, routers=1, controls=3, proof_s=1.0, more=f'metrics = "127.0.0.1:{port}"'
        ) as rig:
            assert await rig.until(lambda: rig.last_rule("n1") == "proven", LONG)
            file = str(tmp_path / "fleet.hcl")
            command = ["control", "purge", "--file", file, "--wait", "30"]
            done = await asyncio.to_thread(brookhinge, *command, "--object", "abc")
            assert (done.returncode, done.stderr) == (
                0,
                "",
            ) and "in force at every router after" in done.stdout
            text = await asyncio.to_thread(figures, port)
            assert "brookhinge_purgelog_stale 0.0" in text
            assert 'brookhinge_purgelog_entries_total{what="entries"} 1.0' in text
            wrong = await asyncio.to_thread(brookhinge, *command)
            assert wrong.returncode == 2 and "either --object or --group" in wrong.stderr
            await rig.kill_control("c2")
            await rig.kill_control("c3")
            assert await rig.until(lambda: rig.last_rule("n1") == "stale", LONG)
            alone = await asyncio.to_thread(brookhinge, *command[:-1], "1", "--group", "7")
            assert alone.returncode == 1 and "not in force" in alone.stderr
            assert "not held by a majority" in alone.stdout

    asyncio.run(run())


def test_a_control_machine_serves_its_figures(tmp_path):
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

        told = read_file(file)
        servers = [ControlServer(name, told.control, lambda event, **values: None) for name in told.control]
        for server in servers:
            await server.start()
        assert await ProcessCluster.until(
            lambda: all(server.node.replication.epoch for server in servers), LONG
        )
        seen = await asyncio.to_thread(figures, ports["c1"][1])
        assert "brookhinge_purgelog_serving 1.0" in seen and "brookhinge_purgelog_epoch 1.0" in seen
        assert 'brookhinge_purgelog_head{source="c3"}' in seen
        for server in servers:
            server.stop()

    asyncio.run(run())


def test_a_name_that_is_not_in_the_file_is_refused(tmp_path):
    file = tmp_path / "empty.hcl"
    file.write_text("")
    done = brookhinge("control", "serve", "--file", str(file), "--name", "c1")
    assert done.returncode == 2 and done.stderr.endswith("no block control\n")
