"""brookhinge ask"""

import sys

import click

from brookhinge.cli import refuse
from brookhinge.cli.standin import place


@click.command("ask")
@click.argument("router", callback=place)
@click.argument("object", metavar="OBJECT")
@click.option("--part", type=click.IntRange(0, 999_999_999), default=0, show_default=True)
@click.option("--track", default="page", show_default=True, help="The class, as in the router's settings.")
@click.option("--group", type=click.IntRange(0, 255), default=0, show_default=True)
@click.option("--patience", type=click.FloatRange(0.01, 600), default=2.9, show_default=True, help="Seconds.")
@click.option("--tries", type=click.IntRange(1, 20), default=3, show_default=True)
@click.option("--out", type=click.File("wb"), help="Where the bytes go; - for standard output.")
def command(router, object, part, track, group, patience, tries, out):
    """Asks the ROUTER (HOST:PORT) for OBJECT (16 hex digits); comes back when told. Exit 1 if it is not satisfied."""
    import asyncio

    from brookhinge.client import Client

    if len(object) != 16 or set(object) - set("0123456789abcdef"):
        refuse(f"OBJECT: expected 16 hex digits, got {object!r:.40}")

    async def run():
        async with Client(router, tries) as client:
            return await client.fetch(object, part, track, patience, group)

    answer = asyncio.run(run())
    if answer.kind == "satisfied" and out:
        out.write(answer.body)
    click.echo(
        f"{answer.kind} after {answer.tries} tries, {len(answer.body)} bytes"
        + (f", told to come back in {answer.wait_s:g} s" if answer.wait_s else "")
        + (f": {answer.why}" if answer.why else ""),
        err=True,
    )
    sys.exit(0 if answer.kind == "satisfied" else 1)
