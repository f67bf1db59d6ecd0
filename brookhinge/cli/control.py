"""The commands `brookhinge control serve` and `purge`."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING

import click

from brookhinge.cli import block_of, refuse

if TYPE_CHECKING:
    from structlog import BoundLogger

    from brookhinge.operator.settings import Control

LONGEST_KEY = 64


@click.group("control")
def command() -> None:
    """Control machines: they keep the purge log and tell it to the routers (docs/operators/purgelog.md)."""


async def _run(name: str, controls: dict[str, Control], log: BoundLogger) -> None:
    from brookhinge.purgelog.server import ControlServer

    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, ended.set)
    server = ControlServer(name, controls, lambda event, **values: log.info(event, **values))
    await server.start()
    await ended.wait()
    server.stop()


@command.command("serve")
@click.option("--file", required=True, type=click.Path(), help="The operator's file with the blocks control.")
@click.option("--name", required=True, help="Which of them this is.")
def serve(file: str, name: str) -> None:
    """Run one control machine until SIGTERM."""
    from brookhinge.logs import make

    settings, block = block_of(file, "control", name)
    try:
        asyncio.run(_run(name, settings.control, make(name, settings.log)))
    except OSError as error:
        host, port = block.listen
        refuse(f"listen: {host}:{port}: {error.strerror}", 1)


@command.command("purge")
@click.option("--file", required=True, type=click.Path(), help="The operator's file with the blocks control.")
@click.option("--name", help="Which one appends it; the first block's without.")
@click.option("--object", "key", help="The object's id.")
@click.option("--group", type=click.IntRange(0), help="Or the number of a group of objects.")
@click.option("--wait", default=5.0, type=click.FloatRange(0.1, 600), show_default=True, help="Seconds.")
def purge(file: str, name: str | None, key: str | None, group: int | None, wait: float) -> None:
    """Purge an object or a group; wait until it is in force at every router, or name who is missing."""
    from brookhinge.purgelog.progress import Outcome
    from brookhinge.purgelog.submit import NotAppendedError, submit

    if (key is None) == (group is None):
        refuse("expected either --object or --group")
    if key is not None and not 0 < len(key) <= LONGEST_KEY:
        refuse(f"--object: expected 1 to 64 letters, got {key!r:.80}")
    _, block = block_of(file, "control", name)
    try:
        took, status = asyncio.run(submit(block, key or "", -1 if key else group, wait))
    except NotAppendedError as error:
        refuse(f"{block.name}: {error}", 1)
    for missing, why in status.missing:
        click.echo(f"{missing}: {why}")
    outcome = Outcome(status.outcome)
    if outcome is Outcome.LOST:
        refuse(f"{block.name}: restarted before a majority held the purge: give it again", 1)
    if outcome is Outcome.PENDING:
        refuse(f"not in force everywhere after {took:.2f} s", 1)
    rest = "" if outcome is Outcome.IN_FORCE else " but those above, which use no copy from before it"
    click.echo(f"in force at every router after {took:.2f} s{rest}")
    sys.exit(0)
