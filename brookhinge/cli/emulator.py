"""The commands `brookhinge emulator origin`, `channel` and `fleet`."""

import asyncio
import contextlib
import json
import sys
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import click

from brookhinge.cli import exit_with_error, print_table
from brookhinge.operator.value_checks import address


def parse_address(_: object, option: object, value: str) -> tuple[str, int]:
    """Parse a HOST:PORT option or argument.

    Raises:
        click.BadParameter: The value is not HOST:PORT.
    """
    try:
        return address(value)
    except ValueError as error:
        raise click.BadParameter(f"expected {error}, got {value!r}") from None


@click.group("emulator")
def command() -> None:
    """Scripted peers for experiments; not meant for production."""


@command.command("origin")
@click.option("--listen", required=True, callback=parse_address, help="HOST:PORT.")
@click.option(
    "--delay-ms",
    type=click.FloatRange(0, 60000),
    default=20.0,
    show_default=True,
    help="Delay before each answer in milliseconds.",
)
@click.option(
    "--largest",
    type=click.IntRange(2000, 240000),
    default=60000,
    show_default=True,
    help="Largest size of a part in bytes.",
)
def origin(listen: tuple[str, int], delay_ms: float, largest: int) -> None:
    """Run an origin whose bodies are derived from object, part and version.

    Commands on standard input: `change OBJECT`, `change-group N`.
    """
    from brookhinge.emulator.origin import Origin

    async def run() -> None:
        server = Origin((2000, largest), delay_ms / 1000)
        click.echo("origin listening on {}:{}".format(*server.listen(*listen)))
        async for words in _input_lines():
            if words[0] == "change" and len(words) == 2:
                server.change(words[1])
            elif words[0] == "change-group" and len(words) == 2 and words[1].isdigit():
                server.change(group=int(words[1]))
            else:
                click.echo(
                    f"unknown command {' '.join(words)!r}: expected change OBJECT or change-group N", err=True
                )

    _run_until_interrupted(run)


@command.command("channel")
@click.option("--listen", required=True, callback=parse_address, help="HOST:PORT.")
@click.option(
    "--hosts",
    "hosts_file",
    type=click.Path(),
    help="JSON file with a list of servers, as in the protocol's `hosts`.",
)
def channel(listen: tuple[str, int], hosts_file: str | None) -> None:
    """Run a command channel.

    Commands on standard input: `drain NAME`, `remove NAME`, `purge OBJECT`, `purge-group N`.
    """
    from brookhinge.emulator.command_channel import CommandChannel

    hosts = []
    if hosts_file:
        try:
            with open(hosts_file, "rb") as file:
                hosts = json.load(file)
            hosts = [{**row, "host": row["host"], "dial": row["dial"]} for row in hosts]
        except (OSError, ValueError, KeyError, TypeError) as error:
            exit_with_error(
                f"--hosts {hosts_file}: expected a JSON list of servers with host and dial ({error})"
            )

    async def run() -> None:
        server = CommandChannel(hosts)
        click.echo("command channel listening on {}:{}".format(*(await server.listen(*listen))[:2]))
        async for words in _input_lines():
            verb = words[0]
            name = words[1] if len(words) == 2 else ""
            if verb == "drain" and name in server.hosts:
                server.list(name, health="draining")
            elif verb == "remove" and name in server.hosts:
                server.list(name, health="removed")
            elif verb == "purge" and name:
                server.drop(name)
            elif verb == "purge-group" and name.isdigit() and int(name) < 256:
                server.drop(group=int(name))
            else:
                click.echo(f"unknown command or name {' '.join(words)!r}", err=True)

    _run_until_interrupted(run)


@command.command("fleet")
@click.argument("script", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print the table as JSON.")
def fleet(script: str, as_json: bool) -> None:
    """Run SCRIPT (HCL) on several real routers on loopback and print a table of results.

    A script can kill routers, freeze them and cut them off.
    """
    import tempfile

    from brookhinge.emulator.fleet_scenario import play
    from brookhinge.operator import OperatorError

    try:
        with (
            open(script, encoding="utf-8") as file,
            tempfile.TemporaryDirectory(prefix="brookhinge-") as folder,
        ):
            rows, succeeded = asyncio.run(
                play(file.read(), folder, lambda line: click.echo(line, err=as_json))
            )
    except (OSError, UnicodeDecodeError, OperatorError) as error:
        exit_with_error(f"{script}: {error}")
    print_table(rows, list(rows[0]), as_json)
    if not succeeded:
        sys.exit(1)


async def _input_lines() -> AsyncIterator[list[str]]:
    """Yield the words of each line of standard input; after its end wait until cancelled."""
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
        exit_with_error(f"--listen: {error.strerror}", 1)
