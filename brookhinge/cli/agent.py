"""The command `brookhinge agent PLAN --place NAME`."""

import asyncio
import signal
from typing import TYPE_CHECKING

import click

from brookhinge.cli import refuse

if TYPE_CHECKING:
    from brookhinge.rollout.agent import Agent


async def _serve(agent: "Agent") -> None:
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await agent.open()
    await stopped.wait()
    await agent.stop()


@click.command("agent")
@click.argument("plan", type=click.Path())
@click.option("--place", "name", required=True, help="Which keeper of the plan this is.")
def command(plan: str, name: str) -> None:
    """Keep the routers of one place running, and change them when a coordinator says so.

    On SIGTERM it ends them; killed, it leaves them serving, and its successor finds them.
    """
    from brookhinge.logs import make
    from brookhinge.operator import OperatorError
    from brookhinge.rollout.agent import Agent
    from brookhinge.rollout.journal import JournalError
    from brookhinge.rollout.plan import read_plan_file

    try:
        settings = read_plan_file(plan)
    except OperatorError as error:
        refuse(f"{plan}: {error}")
    if name not in settings.agents:
        refuse(f'{plan}: no keeper "{name}", there is ' + ", ".join(settings.agents))
    try:
        asyncio.run(_serve(Agent(settings, name, make(name, "info").info)))
    except JournalError as error:
        refuse(f"{settings.agents[name].folder}: {error}", 1)
    except OSError as error:
        refuse(f"agent: {error.strerror}: {error.filename or 'an address that is not free'}", 1)
