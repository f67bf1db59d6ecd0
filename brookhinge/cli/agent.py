"""The command `brookhinge agent PLAN --place NAME`."""

import asyncio
import signal
from typing import TYPE_CHECKING

import click

from brookhinge.cli import exit_with_error

if TYPE_CHECKING:
    from brookhinge.rollout.agent import Agent


async def _serve(agent: "Agent") -> None:
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop_requested.set)
    await agent.open()
    await stop_requested.wait()
    await agent.stop()


@click.command("agent")
@click.argument("plan", type=click.Path())
@click.option("--place", "name", required=True, help="Name of this agent's `keeper` block in the plan.")
def command(plan: str, name: str) -> None:
    """Keep the routers of one place running and switch their versions on a coordinator's request.

    On SIGTERM the agent stops its routers. If it is killed, they keep serving and the next agent adopts them.
    """
    from brookhinge.logs import make_logger
    from brookhinge.operator import OperatorError
    from brookhinge.rollout.agent import Agent
    from brookhinge.rollout.journal import JournalError
    from brookhinge.rollout.plan import read_plan_file

    try:
        settings = read_plan_file(plan)
    except OperatorError as error:
        exit_with_error(f"{plan}: {error}")
    if name not in settings.agents:
        exit_with_error(f'{plan}: no keeper "{name}", expected one of ' + ", ".join(settings.agents))
    try:
        asyncio.run(_serve(Agent(settings, name, make_logger(name, "info").info)))
    except JournalError as error:
        exit_with_error(f"{settings.agents[name].folder}: {error}", 1)
    except OSError as error:
        exit_with_error(f"agent: {error.strerror}: {error.filename or 'one of the configured addresses'}", 1)
