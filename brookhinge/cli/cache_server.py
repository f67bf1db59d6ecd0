"""brookhinge box"""

import asyncio
import signal
import time

import click

from brookhinge.cli import refuse
from brookhinge.operator import OperatorError, read_file, read_text


def from_options(name, options):
    """The same as a file would say it, read by the same schema."""
    store = "".join(f"    {key} = {value}\n" for key, value in options["store"].items() if value is not None)
    rest = "".join(f"  {key} = {value}\n" for key, value in options["box"].items() if value is not None)
    return read_text(f'box "{name}" {{\n{rest}  store {{\n{store}  }}\n}}\n')


def quoted(text):
    return None if text is None else '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


async def serve(stand, log, metrics):
    from brookhinge.cache_server import Box

    ended = asyncio.Event()
    for word in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(word, ended.set)
    box = Box(stand, lambda event, **values: log.info(event, **values))
    await box.start()
    if metrics:
        from brookhinge.cache_server.metrics import Figures
        from brookhinge.metrics import publish

        publish(Figures(box), metrics)
    await ended.wait()
    await box.stop()


@click.command("cache-server")
@click.option(
    "--file",
    type=click.Path(),
    help="An operator's file with the box's block; options below do not go with it.",
)
@click.option("--name", required=True, help="The box's name, as the command channel lists it.")
@click.option("--listen", help="HOST:PORT for routers and other boxes.")
@click.option("--channel", help="HOST:PORT of the command channel.")
@click.option("--store", "folder", help="Folder of the disk tier; without one memory stands alone.")
@click.option("--memory-mb", type=float, help="Memory for copies (64).")
@click.option("--disk-mb", type=float, help="Disk for copies (1024).")
@click.option("--segment-mb", type=float, help="Size of a segment file (16).")
def command(file, name, listen, channel, folder, memory_mb, disk_mb, segment_mb):
    """A cache server on the two-tier store, until SIGTERM."""
    given = dict(
        listen=listen,
        channel=channel,
        store=folder,
        memory_mb=memory_mb,
        disk_mb=disk_mb,
        segment_mb=segment_mb,
    )
    try:
        if file:
            wrong = [key for key, value in given.items() if value is not None]
            if wrong:
                refuse(f"--{wrong[0].replace('_', '-')}: does not go with --file")
            told = read_file(file)
        else:
            told = from_options(
                name,
                {
                    "box": {"listen": quoted(listen), "channel": quoted(channel)},
                    "store": {
                        "dir": quoted(folder),
                        "memory_mb": memory_mb,
                        "disk_mb": disk_mb,
                        "segment_mb": segment_mb,
                    },
                },
            )
    except OperatorError as fault:
        refuse(f"{file}: {fault}" if file else str(fault).partition(": ")[2])
    if name not in told.box:
        refuse(f'{file}: no block box "{name}"')
    from brookhinge.logs import make

    stand = told.box[name]
    began = time.monotonic()
    try:
        asyncio.run(serve(stand, make(name, told.log), told.metrics))
    except OSError as fault:
        refuse(
            f"listen: {'%s:%d' % stand.listen}: {fault.strerror} (after {time.monotonic() - began:.1f} s)", 1
        )
