"""The command `brookhinge cache-server`."""

import asyncio
import signal
import time
from typing import TYPE_CHECKING

import click

from brookhinge.cli import exit_with_error
from brookhinge.operator import OperatorError, read_file, read_text

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from brookhinge.operator.settings import CacheServerSettings, OperatorSettings


def read_options(name: str, server: dict[str, object], store: dict[str, object]) -> "OperatorSettings":
    """Check command-line options by the schema of the operator's file.

    Args:
        name: Name of the cache server.
        server: Keys and values of its `box` block; None where an option was not given.
        store: Keys and values of the `store` block within it; None where an option was not given.

    Raises:
        OperatorError: A value is out of range.
    """
    store_lines = "".join(f"    {key} = {value}\n" for key, value in store.items() if value is not None)
    server_lines = "".join(f"  {key} = {value}\n" for key, value in server.items() if value is not None)
    return read_text(f'box "{name}" {{\n{server_lines}  store {{\n{store_lines}  }}\n}}\n')


def quote(text: str | None) -> str | None:
    """Return the text as a quoted HCL string; None stays None."""
    return None if text is None else '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


async def serve(
    settings: "CacheServerSettings", log: "FilteringBoundLogger", metrics_address: tuple[str, int] | None
) -> None:
    """Run a cache server until SIGTERM or SIGINT, then drain and stop it."""
    from brookhinge.cache_server import CacheServer

    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop_requested.set)
    server = CacheServer(settings, lambda event, **values: log.info(event, **values))
    await server.start()
    if metrics_address:
        from brookhinge.cache_server.metrics import CacheServerCollector
        from brookhinge.metrics import publish

        publish(CacheServerCollector(server), metrics_address)
    await stop_requested.wait()
    await server.stop()


@click.command("cache-server")
@click.option(
    "--file",
    type=click.Path(),
    help="Operator's file with the `box` block; excludes the options below.",
)
@click.option("--name", required=True, help="Name of the box in the command channel's endpoint list.")
@click.option("--listen", help="HOST:PORT on which routers and other boxes connect.")
@click.option("--channel", help="HOST:PORT of the command channel.")
@click.option("--store", "folder", help="Folder of the disk tier; without it copies are kept in memory only.")
@click.option("--memory-mb", type=float, help="Memory for copies in MB (default 64).")
@click.option("--disk-mb", type=float, help="Disk space for copies in MB (default 1024).")
@click.option("--segment-mb", type=float, help="Size of a segment file in MB (default 16).")
def command(
    file: str | None,
    name: str,
    listen: str | None,
    channel: str | None,
    folder: str | None,
    memory_mb: float | None,
    disk_mb: float | None,
    segment_mb: float | None,
) -> None:
    """Run a cache server on the two-tier store until SIGTERM."""
    sizes = {"memory_mb": memory_mb, "disk_mb": disk_mb, "segment_mb": segment_mb}
    try:
        if file:
            given = {"listen": listen, "channel": channel, "store": folder, **sizes}
            refuse_options([key for key, value in given.items() if value is not None])
            operator = read_file(file)
        else:
            server = {"listen": quote(listen), "channel": quote(channel)}
            operator = read_options(name, server, {"dir": quote(folder), **sizes})
    except OperatorError as error:
        exit_with_error(f"{file}: {error}" if file else str(error).partition(": ")[2])
    if name not in operator.box:
        exit_with_error(f'{file}: no block box "{name}"')
    run(operator, name)


def refuse_options(given: list[str]) -> None:
    """Exit if options were given that cannot be combined with --file."""
    if given:
        exit_with_error(f"--{given[0].replace('_', '-')}: cannot be combined with --file")


def run(operator: "OperatorSettings", name: str) -> None:
    """Run the cache server of that name; exit if its address can't be bound."""
    from brookhinge.logs import make_logger

    settings = operator.box[name]
    started_at = time.monotonic()
    try:
        asyncio.run(serve(settings, make_logger(name, operator.log), operator.metrics))
    except OSError as error:
        host, port = settings.listen
        exit_with_error(
            f"listen: {host}:{port}: {error.strerror} (after {time.monotonic() - started_at:.1f} s)", 1
        )
