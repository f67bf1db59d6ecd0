"""The command `brookhinge demo`: a one-minute tour on loopback."""

import asyncio
import tempfile
import time
from collections.abc import Awaitable
from typing import TypeVar

import click

from brookhinge.cli import exit_with_error

T = TypeVar("T")

REQUEST_INTERVAL_S = 0.015  # a faster client would be asked to retry later


async def _after(delay_s: float, request: Awaitable[T]) -> T:
    await asyncio.sleep(delay_s)
    return await request


async def _play() -> bool:
    from brookhinge.emulator.local_deployment import LocalDeployment
    from brookhinge.emulator.origin import body_of, group_of

    with tempfile.TemporaryDirectory(prefix="brookhinge-") as folder:
        async with LocalDeployment(folder) as deployment:
            click.echo(
                f"up: origin, parent, boxes {', '.join(deployment.names)}, command channel, router at "
                f"{deployment.router_address[0]}:{deployment.router_address[1]}"
            )
            client = await deployment.caller()
            objects = [f"{7919 * n + 5:016x}" for n in range(40)]
            wrong_bodies = 0

            async def run_round(title: str) -> None:
                nonlocal wrong_bodies
                started_at = time.monotonic()
                request_count = len(objects)
                origin_requests_before = deployment.origin.counts["queries"]
                answers = await asyncio.gather(
                    *(
                        _after(n * REQUEST_INTERVAL_S, client.ask(o, lot=group_of(o)))
                        for n, o in enumerate(objects)
                    )
                )
                satisfied = [
                    (o, body) for o, (kind, body) in zip(objects, answers, strict=True) if kind == "satisfied"
                ]
                wrong_bodies += sum(
                    body != body_of(o, 0, deployment.origin.version(o), deployment.origin.sizes)
                    for o, body in satisfied
                )
                click.echo(
                    f"{title}: {len(satisfied)} of {request_count} answered in "
                    f"{time.monotonic() - started_at:.2f} s, "
                    f"{deployment.origin.counts['queries'] - origin_requests_before} requests to the origin"
                )

            await run_round("first requests")
            await run_round("same requests again")
            await asyncio.sleep(1.5)
            await deployment.kill("s-2")
            await run_round("s-2 killed")
            await deployment.restart("s-2")
            await asyncio.sleep(0.5)
            await run_round("s-2 restarted with the copies on its disk")
            deployment.change(objects[0])
            await asyncio.sleep(0.7)
            await run_round(f"{objects[0]} changed and purged")
            deployment.channel.list("s-1", health="draining")
            await asyncio.sleep(0.7)
            await run_round("s-1 draining")
            client.close()
            click.echo(f"answers with other bytes than the origin's: {wrong_bodies}")
            return wrong_bodies == 0


@click.command("demo")
def command() -> None:
    """Run origin, parent, three boxes, command channel and one router on loopback with free ports.

    Sends requests, kills a box, purges an object, drains a box and prints a dozen lines of results.
    """
    try:
        all_correct = asyncio.run(_play())
    except (OSError, RuntimeError) as error:
        exit_with_error(f"demo: {error}", 1)
    if not all_correct:
        exit_with_error("demo: an answer differs from what the origin serves", 1)
