"""Case 10: a purge by hand is forgotten after some seconds, and the copy from before it is served again."""

import asyncio
import sys
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
KEYS = [f"7f3a9c21e0b4d6{number:02x}" for number in range(8)]
LATER_S = 9.0  # from the purge until the objects are asked for

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


async def purge(ran: Case, file: str, key: str) -> None:
    """Purge an object by hand and wait until it is said to be in force.

    Raises:
        CannotRunError: It was not.
    """
    program = ran.start("purge", "control", "purge", "--file", file, "--object", key)
    await wait_until("the purge is answered", lambda: program.process.poll() is not None, 15.0)
    ran.record.note(f"purge of {key}: {program.text().strip()!r}")
    if program.process.returncode or "in force at every router" not in program.text():
        raise CannotRunError("the purge is not in force")


async def case(ran: Case) -> int:
    """Change and purge objects by hand, and ask for them some seconds later."""
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
    await town.start_router({"BROOKHINGE_FLEET": file})
    for control in controls:
        await wait_until("control machines serve", lambda c=control: "epoch opened" in c.text(), 20.0)
    router = ran.programs[-1]
    await wait_until("the router has a proof", lambda: '"proven"' in router.text(), 20.0)
    await asyncio.sleep(4.0)  # "its control machine has just started: wait 3.5 s"
    for key in KEYS:
        if version_of(key, (await town.ask(key)).body) != 0:
            raise CannotRunError("no copy in the cache server")
    if is_troubled():
        for key in KEYS:
            await town.change(key)
            await purge(ran, file, key)
    await asyncio.sleep(LATER_S)
    changes = 1 if is_troubled() else 0
    old = 0
    for key in KEYS:
        answer = await town.ask(key)
        old += answer.kind == "satisfied" and version_of(key, answer.body) != changes
    ran.record.note(f"{old} of {len(KEYS)} answers from a copy older than the purge")
    return BROKEN if old else HELD


play(str(Path(__file__).resolve().parent), case)
