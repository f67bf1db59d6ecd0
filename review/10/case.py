"""Case 10: a router that restarts after a purge by hand lets older copies answer."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.second.lib import (
    BROKEN,
    HELD,
    CannotRunError,
    Case,
    Town,
    free_ports,
    is_troubled,
    play,
    version_of,
    wait_until,
)

MACHINES = 3
KEYS = [f"7f3a9c21e0b4d6{number:02x}" for number in range(4)]
GRACE_S = 0.55  # NoticeTimeNs, "each time limit is 50 ms longer"
ASKED_WITHIN_S = 6.0  # from the first purge

CONTROL = """control "{name}" {{
  listen  = "127.0.0.1:{port}"
  site    = "town"
  key     = "00112233445566778899aabbccddeeff"
  channel = "127.0.0.1:{channel}"
}}
"""
FLEET = """fleet "n1" {{
  listen    = "127.0.0.1:{port}"
  join      = ["127.0.0.1:{port}"]
  site      = "town"
  key       = "00112233445566778899aabbccddeeff"
  zone      = "town"
  purge_log = true
}}
"""


async def purge(ran: Case, file: str, keys: list[str]) -> None:
    """Purge objects by hand, all at once, and wait until each is said to be in force.

    Raises:
        CannotRunError: One was not.
    """
    programs = [
        ran.start(f"purge {key}", "control", "purge", "--file", file, "--object", key) for key in keys
    ]
    for program in programs:
        await wait_until("purges are answered", lambda p=program: p.process.poll() is not None, 15.0)
        ran.record.note(f"{program.name}: {program.text().strip()!r}")
        if program.process.returncode or "in force at every router" not in program.text():
            raise CannotRunError("the purge is not in force")


async def case(ran: Case) -> int:
    """Change and purge objects by hand, restart the router, and ask it for them."""
    town = Town(ran)
    ports = free_ports(MACHINES + 1)
    blocks = [
        CONTROL.format(name=f"c{number}", port=port, channel=town.channel_port)
        for number, port in enumerate(ports[1:], 1)
    ]
    file = str(ran.write("operator.hcl", "\n".join([*blocks, FLEET.format(port=ports[0])])))
    await town.open(router=False)
    controls = [
        ran.start(f"c{number}", "control", "serve", "--file", file, "--name", f"c{number}")
        for number in range(1, MACHINES + 1)
    ]
    router = await town.start_router({"BROOKHINGE_FLEET": file})
    for control in controls:
        await wait_until("control machines serve", lambda c=control: "epoch opened" in c.text(), 20.0)
    await wait_until("the router has a proof", lambda: '"proven"' in router.text(), 20.0)
    await asyncio.sleep(4.0)  # "its control machine has just started: wait 3.5 s"
    for key in KEYS:
        if version_of(key, (await town.ask(key)).body) != 0:
            raise CannotRunError("no copy in the cache server")
    for key in KEYS:
        town.origin.send(f"change {key}")
    await asyncio.sleep(0.2)
    purged_at = time.monotonic()
    await purge(ran, file, KEYS)
    if is_troubled():
        ran.kill(router)
        router = await town.start_router({"BROOKHINGE_FLEET": file})
        await wait_until("the new process has a proof", lambda: '"proven"' in router.text(), 10.0)
    await asyncio.sleep(max(GRACE_S, purged_at + 3.0 - time.monotonic()))
    old = 0
    for key in KEYS:
        answer = await town.ask(key)
        old += answer.kind == "satisfied" and version_of(key, answer.body) != 1
    if time.monotonic() - purged_at > ASKED_WITHIN_S:
        raise CannotRunError("asked too late")
    ran.record.note(f"{old} of {len(KEYS)} answers from a copy older than the purge")
    return BROKEN if old else HELD


play(str(Path(__file__).resolve().parent), case)
