"""The commands `brookhinge emulator origin`, `channel` and `fleet`."""

import asyncio
import contextlib
import json
import sys
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import click

from brookhinge.cli import refuse, table
from brookhinge.operator.value_checks import address


def parse_address(_: object, option: object, value: str) -> tuple[str, int]:
    """Parse an option HOST:PORT."""
    try:
        return address(value)
    except ValueError as error:
        raise click.BadParameter(f"expected {error}, got {value!r}") from None


@click.group("emulator")
def command() -> None:
    """Scripted peers for trying things out; no part of a service."""


@command.command("origin")
@click.option("--listen", required=True, callback=parse_address, help="HOST:PORT.")
@click.option(
    "--delay-ms", type=click.FloatRange(0, 60000), default=20.0, show_default=True, help="Before each answer."
)
@click.option(
    "--largest", type=click.IntRange(2000, 240000), default=60000, show_default=True, help="Bytes of a part."
)
def origin(listen: tuple[str, int], delay_ms: float, largest: int) -> None:
    """Run an origin whose bytes follow from object, part and version.

    On standard input: `change OBJECT`, `change-group N`.
    """
    from brookhinge.emulator.origin import Origin

    async def run() -> None:
        peer = Origin((2000, largest), delay_ms / 1000)
        click.echo("origin listens at {}:{}".format(*peer.listen(*listen)))
        async for words in _input_lines():
            if words[0] == "change" and len(words) == 2:
                peer.change(words[1])
            elif words[0] == "change-group" and len(words) == 2 and words[1].isdigit():
                peer.change(group=int(words[1]))
            else:
                click.echo(
                    f"cannot do {' '.join(words)!r}: expected change OBJECT or change-group N", err=True
                )

    _run_until_interrupted(run)


@command.command("channel")
@click.option("--listen", required=True, callback=parse_address, help="HOST:PORT.")
@click.option(
    "--hosts", "hosts_file", type=click.Path(), help="JSON list of servers, as in the protocol's `hosts`."
)
def channel(listen: tuple[str, int], hosts_file: str | None) -> None:
    """Run a command channel.

    On standard input: `drain NAME`, `remove NAME`, `purge OBJECT`, `purge-group N`.
    """
    from brookhinge.emulator.command_channel import CommandChannel

    hosts = []
    if hosts_file:
        try:
            with open(hosts_file, "rb") as file:
                hosts = json.load(file)
            hosts = [{**row, "host": row["host"], "dial": row["dial"]} for row in hosts]
        except (OSError, ValueError, KeyError, TypeError) as error:
            refuse(f"--hosts {hosts_file}: expected a JSON list of servers with host and dial ({error})")

    async def run() -> None:
        peer = CommandChannel(hosts)
        click.echo("command channel listens at {}:{}".format(*(await peer.listen(*listen))[:2]))
        async for words in _input_lines():
            verb = words[0]
            name = words[1] if len(words) == 2 else ""
            if verb == "drain" and name in peer.hosts:
                peer.list(name, health="draining")
            elif verb == "remove" and name in peer.hosts:
                peer.list(name, health="removed")
            elif verb == "purge" and name:
                peer.drop(name)
            elif verb == "purge-group" and name.isdigit() and int(name) < 256:
                peer.drop(group=int(name))
            else:
                click.echo(f"cannot do {' '.join(words)!r}", err=True)

    _run_until_interrupted(run)


@command.command("fleet")
@click.argument("script", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print the table as JSON.")
def fleet(script: str, as_json: bool) -> None:
    """Play SCRIPT (HCL): several real routers on loopback, killed, frozen, cut off; then a table."""
    import tempfile

    from brookhinge.emulator.fleet_scenario import play
    from brookhinge.operator import OperatorError

    try:
        with (
            open(script, encoding="utf-8") as file,
            tempfile.TemporaryDirectory(prefix="brookhinge-") as folder,
        ):
            rows, good = asyncio.run(play(file.read(), folder, lambda line: click.echo(line, err=as_json)))
    except (OSError, UnicodeDecodeError, OperatorError) as error:
        refuse(f"{script}: {error}")
    table(rows, list(rows[0]), as_json)
    if not good:
        sys.exit(1)


async def _input_lines() -> AsyncIterator[list[str]]:
    """Yield lines of standard input as words; wait for good after its end."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        if words := line.decode("utf-8", "replace").split():
            yield words
    await asyncio.Event().wait()


def _run_until_interrupted(run: Callable[[], Coroutine[Any, Any, None]]) -> None:
    try:
        with contextlib.suppress(KeyboardInterrupt):
            asyncio.run(run())
    except OSError as error:
        refuse(f"--listen: {error.strerror}", 1)
