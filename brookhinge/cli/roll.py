"""brookhinge roll check|start|status|pause|resume|abort|back PLAN"""

import asyncio
import signal
import sys
import time

import click

from brookhinge.cli import refuse, table

ENDS = {"done": 0, "back": 1, "left": 1, "superseded": 1, None: 3}


def read(plan):
    from brookhinge.operator import OperatorError
    from brookhinge.rollout import plan as plans

    try:
        return plans.read_file(plan)
    except OperatorError as fault:
        refuse(f"{plan}: {fault}")


def journal_of(plan, path):
    return path or f"{plan}.roll"


@click.group("roll")
def command():
    """A change of program or settings through a fleet of routers, in stages that are judged."""


@command.command("check")
@click.argument("plan", type=click.Path())
def check(plan):
    """Reads a plan and says what is wrong with it, and who would be changed in which stage."""
    from brookhinge.rollout import plan as plans
    from brookhinge.rollout.coordinator import stages_of

    told = read(plan)
    rows = [
        {"stage": k + 1, "routers": len(stage), "names": " ".join(stage)}
        for k, stage in enumerate(stages_of(told))
    ]
    table(rows, ["stage", "routers", "names"], False)
    for version in (told.old, told.to):
        why = plans.lacks(told.versions[version], [name for name, _ in told.routers])
        if why:
            click.echo(f"on this machine: {why}")


@command.command("start")
@click.argument("plan", type=click.Path())
@click.option("--journal", help="Where it is written down what was decided; PLAN.roll without.")
@click.option("--json", "as_json", is_flag=True, help="Print a JSON line an event.")
def start(plan, journal, as_json):
    """Carries a rollout out, or on from where it stood. Exit 0: done; 1: taken back, left or superseded; 3: interrupted."""
    import orjson

    from brookhinge.rollout.journal import Damaged
    from brookhinge.rollout.roll import Roll

    told, began = read(plan), time.monotonic()

    def say(event, **values):
        if as_json:
            click.echo(orjson.dumps({"event": event, **values}).decode())
        else:
            click.echo(
                f"{time.monotonic() - began:8.1f} s  {event:9} "
                + "  ".join(f"{k} {v}" for k, v in values.items())
            )
        sys.stdout.flush()

    async def run():
        roll = Roll(told, journal_of(plan, journal), say)
        for word in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(word, roll.stop)
        return await roll.run()

    try:
        end = asyncio.run(run())
    except Damaged as fault:
        refuse(f"{journal_of(plan, journal)}: {fault}", 1)
    except OSError as fault:
        refuse(f"{journal_of(plan, journal)}: {fault.strerror}", 1)
    sys.exit(ENDS[end])


@command.command("status")
@click.argument("plan", type=click.Path())
@click.option("--journal", help="As with start.")
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def status(plan, journal, as_json):
    """Where a rollout stands, with a bar of the routers that are changed."""
    from brookhinge.rollout.roll import status as of

    told = of(journal_of(plan, journal))
    if told is None:
        refuse(f"{journal_of(plan, journal)}: no rollout has begun on it", 1)
    if as_json:
        return table([told], [], True)
    width = 40 * told["new"] // max(1, told["routers"])
    click.echo(
        f"{told['plan']}: {told['phase']}, stage {told['stage']} of {told['stages']}  [{'#' * width}{'.' * (40 - width)}] "
        f"{told['new']} of {told['routers']} on the new one"
    )
    verdict = told["verdict"]
    if verdict:
        click.echo(
            f"verdict: {verdict['word']} ({verdict['figure']} {verdict['value']:+.4g} after {verdict['windows']} windows)"
        )
    table(told["members"], ["router", "version", "should", "state", "crashes"], False)


def word(name, text):
    @command.command(name, help=text)
    @click.argument("plan", type=click.Path())
    @click.option("--journal", help="As with start.")
    def say(plan, journal):
        from brookhinge.rollout.roll import ask

        read(plan)
        try:
            ask(journal_of(plan, journal), name)
        except OSError as fault:
            refuse(f"{journal_of(plan, journal)}: {fault.strerror}", 1)
        click.echo(
            f"{name}: said; the coordinator on this journal takes it up, or the next one that is started"
        )


word("pause", "Changes nothing more until resumed; what runs goes on.")
word("resume", "Goes on after a pause.")
word("abort", "Ends the rollout where it stands: each router goes on with what it runs.")
word("back", "Takes all routers back to the old one.")
