"""The command `brookhinge ask`."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, BinaryIO

import click

from brookhinge.cli import exit_with_error
from brookhinge.cli.emulator import parse_address

if TYPE_CHECKING:
    from brookhinge.client import Answer

OBJECT_DIGITS = 16


@click.command("ask")
@click.argument("router", callback=parse_address)
@click.argument("object", metavar="OBJECT")
@click.option("--part", type=click.IntRange(0, 999_999_999), default=0, show_default=True)
@click.option(
    "--track", default="page", show_default=True, help="Request class, as named in the router's settings."
)
@click.option("--group", type=click.IntRange(0, 255), default=0, show_default=True)
@click.option(
    "--patience",
    type=click.FloatRange(0.01, 600),
    default=2.9,
    show_default=True,
    help="Seconds to wait for the answer.",
)
@click.option("--tries", type=click.IntRange(1, 20), default=3, show_default=True)
@click.option("--out", type=click.File("wb"), help="File for the body; - is standard output.")
def command(
    router: tuple[str, int],
    object: str,
    part: int,
    track: str,
    group: int,
    patience: float,
    tries: int,
    out: BinaryIO | None,
) -> None:
    """Request OBJECT (16 hex digits) from ROUTER (HOST:PORT); retry when the router asks for it.

    Exits with 1 if the request is not satisfied.
    """
    import asyncio

    from brookhinge.client import Client

    if len(object) != OBJECT_DIGITS or set(object) - set("0123456789abcdef"):
        exit_with_error(f"OBJECT: expected 16 hex digits, got {object!r:.40}")

    async def run() -> Answer:
        async with Client(router, tries) as client:
            return await client.fetch(object, part, track, patience, group)

    answer = asyncio.run(run())
    if answer.kind == "satisfied" and out:
        out.write(answer.body)
    click.echo(
        f"{answer.kind} after {answer.tries} tries, {len(answer.body)} bytes"
        + (f", retry after {answer.wait_s:g} s" if answer.wait_s else "")
        + (f": {answer.why}" if answer.why else ""),
        err=True,
    )
    sys.exit(0 if answer.kind == "satisfied" else 1)
