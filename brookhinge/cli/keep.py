"""brookhinge keep PLAN --place NAME"""

import asyncio
import signal

import click

from brookhinge.cli import refuse


async def serve(keeper):
    done = asyncio.Event()
    for word in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(word, done.set)
    await keeper.open()
    await done.wait()
    await keeper.stop()


@click.command("keep")
@click.argument("plan", type=click.Path())
@click.option("--place", "name", required=True, help="Which keeper of the plan this is.")
def command(plan, name):
    """Keeps the routers of one place running, and changes them when a coordinator says so. On SIGTERM it ends them; killed, it
    leaves them serving, and its successor finds them."""
    from brookhinge.logs import make
    from brookhinge.operator import OperatorError
    from brookhinge.rollout import plan as plans
    from brookhinge.rollout.journal import Damaged
    from brookhinge.rollout.keeper import Keeper

    try:
        told = plans.read_file(plan)
    except OperatorError as fault:
        refuse(f"{plan}: {fault}")
    if name not in told.keepers:
        refuse(f'{plan}: no keeper "{name}", there is ' + ", ".join(told.keepers))
    try:
        asyncio.run(serve(Keeper(told, name, make(name, "info").info)))
    except Damaged as fault:
        refuse(f"{told.keepers[name].dir}: {fault}", 1)
    except OSError as fault:
        refuse(f"keep: {fault.strerror}: {fault.filename or 'an address that is not free'}", 1)
