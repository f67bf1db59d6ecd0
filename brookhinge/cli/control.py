"""The commands `brookhinge control serve` and `purge`."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING

import click

from brookhinge.cli import exit_with_error, read_block

if TYPE_CHECKING:
    from structlog import BoundLogger

    from brookhinge.operator.settings import Control

MAX_KEY_LENGTH = 64


@click.group("control")
def command() -> None:
    """Control machines store the purge log and send it to the routers (docs/operators/purgelog.md)."""


async def _run(name: str, controls: dict[str, Control], log: BoundLogger) -> None:
    from brookhinge.purgelog.server import ControlServer

    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop_requested.set)
    server = ControlServer(name, controls, lambda event, **values: log.info(event, **values))
    await server.start()
    await stop_requested.wait()
    server.stop()


@command.command("serve")
@click.option("--file", required=True, type=click.Path(), help="Operator's file with the `control` blocks.")
@click.option("--name", required=True, help="Name of the control block to run.")
def serve(file: str, name: str) -> None:
    """Run one control machine until SIGTERM."""
    from brookhinge.logs import make_logger

    settings, block = read_block(file, "control", name)
    try:
        asyncio.run(_run(name, settings.control, make_logger(name, settings.log)))
    except OSError as error:
        host, port = block.listen
        exit_with_error(f"listen: {host}:{port}: {error.strerror}", 1)


@command.command("purge")
@click.option("--file", required=True, type=click.Path(), help="Operator's file with the `control` blocks.")
@click.option("--name", help="Control machine that appends the purge (default: the first block).")
@click.option("--object", "key", help="Key of the object to purge.")
@click.option("--group", type=click.IntRange(0), help="Number of the purge group, instead of an object.")
@click.option(
    "--wait", default=5.0, type=click.FloatRange(0.1, 600), show_default=True, help="Seconds to wait."
)
def purge(file: str, name: str | None, key: str | None, group: int | None, wait: float) -> None:
    """Purge an object or a group and wait until every router applies it; list routers that do not."""
    from brookhinge.purgelog.progress import Outcome
    from brookhinge.purgelog.submit import NotAppendedError, submit

    if (key is None) == (group is None):
        exit_with_error("expected either --object or --group")
    if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
        exit_with_error(f"--object: expected 1 to 64 characters, got {key!r:.80}")
    _, block = read_block(file, "control", name)
    try:
        elapsed_s, status = asyncio.run(submit(block, key or "", -1 if key else group, wait))
    except NotAppendedError as error:
        exit_with_error(f"{block.name}: {error}", 1)
    for router, why in status.missing:
        click.echo(f"{router}: {why}")
    outcome = Outcome(status.outcome)
    if outcome is Outcome.LOST:
        exit_with_error(f"{block.name}: restarted before a majority stored the purge; submit it again", 1)
    if outcome is Outcome.PENDING:
        exit_with_error(f"not in force everywhere after {elapsed_s:.2f} s", 1)
    exceptions = "" if outcome is Outcome.IN_FORCE else " except those above, which use no copy older than it"
    click.echo(f"in force at every router after {elapsed_s:.2f} s{exceptions}")
    sys.exit(0)
