"""The command `brookhinge demo`: a newcomer's first minute."""

import asyncio
import tempfile
import time
from collections.abc import Awaitable
from typing import TypeVar

import click

from brookhinge.cli import refuse

T = TypeVar("T")

PACE_S = 0.015  # between two queries: a caller in a hurry would be told to come back


async def _after(pause_s: float, asking: Awaitable[T]) -> T:
    await asyncio.sleep(pause_s)
    return await asking


async def _play() -> bool:
    from brookhinge.emulator.local_deployment import LocalDeployment
    from brookhinge.emulator.origin import body_of, group_of

    with tempfile.TemporaryDirectory(prefix="brookhinge-") as folder:
        async with LocalDeployment(folder) as town:
            click.echo(
                f"up: origin, parent, boxes {', '.join(town.names)}, command channel, router at "
                f"{town.router_address[0]}:{town.router_address[1]}"
            )
            caller = await town.caller()
            objects = [f"{7919 * n + 5:016x}" for n in range(40)]
            wrong = 0

            async def round_(what: str) -> None:
                nonlocal wrong
                began = time.monotonic()
                asked = len(objects)
                filled = town.origin.counts["queries"]
                answers = await asyncio.gather(
                    *(_after(n * PACE_S, caller.ask(o, lot=group_of(o))) for n, o in enumerate(objects))
                )
                good = [
                    (o, body) for o, (word, body) in zip(objects, answers, strict=True) if word == "satisfied"
                ]
                wrong += sum(
                    body != body_of(o, 0, town.origin.version(o), town.origin.sizes) for o, body in good
                )
                click.echo(
                    f"{what}: {len(good)} of {asked} answered in {time.monotonic() - began:.2f} s, "
                    f"{town.origin.counts['queries'] - filled} asked of the origin"
                )

            await round_("first time")
            await round_("again")
            await asyncio.sleep(1.5)
            await town.kill("s-2")
            await round_("s-2 killed")
            await town.restart("s-2")
            await asyncio.sleep(0.5)
            await round_("s-2 back, warm from its disk")
            town.change(objects[0])
            await asyncio.sleep(0.7)
            await round_(f"{objects[0]} changed and purged")
            town.channel.list("s-1", health="draining")
            await asyncio.sleep(0.7)
            await round_("s-1 told to drain")
            caller.close()
            click.echo(f"bytes that were not the origin's: {wrong}")
            return wrong == 0


@click.command("demo")
def command() -> None:
    """Run origin, parent, three boxes, command channel and one router on loopback with free ports.

    Asks, kills a box, purges an object, drains a box, and says in a dozen lines what happened.
    """
    try:
        good = asyncio.run(_play())
    except (OSError, RuntimeError) as error:
        refuse(f"demo: {error}", 1)
    if not good:
        refuse("demo: an answer was not what the origin gave out", 1)
