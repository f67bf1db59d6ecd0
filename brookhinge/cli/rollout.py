"""The commands `brookhinge rollout check|start|status|pause|resume|abort|back PLAN`."""

import asyncio
import signal
import sys
import time
from typing import TYPE_CHECKING, Any

import click

from brookhinge.cli import refuse, table

if TYPE_CHECKING:
    from brookhinge.rollout.plan import Plan

EXIT_CODES = {"done": 0, "back": 1, "left": 1, "superseded": 1}
EXIT_INTERRUPTED = 3
BAR_WIDTH = 40

journal_option = click.option("--journal", help="The rollout's journal; PLAN.roll without.")


def _read(plan: str) -> "Plan":
    from brookhinge.operator import OperatorError
    from brookhinge.rollout.plan import read_plan_file

    try:
        return read_plan_file(plan)
    except OperatorError as error:
        refuse(f"{plan}: {error}")


def _journal_of(plan: str, journal: str | None) -> str:
    return journal or f"{plan}.roll"


@click.group("rollout")
def command() -> None:
    """Change program or settings of a fleet of routers, in stages that are judged."""


@command.command("check")
@click.argument("plan", type=click.Path())
def check(plan: str) -> None:
    """Read a plan and say what is wrong with it, and who would be changed in which stage."""
    from brookhinge.rollout.plan import missing_on_disk
    from brookhinge.rollout.stages import stages_of

    settings = _read(plan)
    rows = [
        {"stage": number, "routers": len(stage), "names": " ".join(stage)}
        for number, stage in enumerate(stages_of(settings), start=1)
    ]
    table(rows, ["stage", "routers", "names"], False)
    routers = [name for name, _ in settings.routers]
    for version in (settings.old_version, settings.new_version):
        why = missing_on_disk(settings.versions[version], routers)
        if why:
            click.echo(f"on this machine: {why}")


@command.command("start")
@click.argument("plan", type=click.Path())
@journal_option
@click.option("--json", "as_json", is_flag=True, help="Print a JSON line an event.")
def start(plan: str, journal: str | None, as_json: bool) -> None:
    """Carry a rollout out, or on from where it stood.

    Exit 0: done; 1: taken back, left or superseded; 3: interrupted.
    """
    import orjson

    from brookhinge.rollout.coordinator_service import CoordinatorService
    from brookhinge.rollout.journal import JournalError

    settings = _read(plan)
    path = _journal_of(plan, journal)
    began = time.monotonic()

    def log(event: str, **values: Any) -> None:  # noqa: ANN401 - JSON values
        if as_json:
            click.echo(orjson.dumps({"event": event, **values}).decode())
        else:
            fields = "  ".join(f"{name} {value}" for name, value in values.items())
            click.echo(f"{time.monotonic() - began:8.1f} s  {event:9} {fields}")
        sys.stdout.flush()

    async def run() -> str | None:
        service = CoordinatorService(settings, path, log)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, service.stop)
        return await service.run()

    try:
        outcome = asyncio.run(run())
    except JournalError as error:
        refuse(f"{path}: {error}", 1)
    except OSError as error:
        refuse(f"{path}: {error.strerror}", 1)
    sys.exit(EXIT_INTERRUPTED if outcome is None else EXIT_CODES[outcome])


@command.command("status")
@click.argument("plan", type=click.Path())
@journal_option
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def status(plan: str, journal: str | None, as_json: bool) -> None:
    """Show where a rollout stands, with a bar of the routers that are changed."""
    from brookhinge.rollout.coordinator_service import read_status

    path = _journal_of(plan, journal)
    values = read_status(path)
    if values is None:
        refuse(f"{path}: no rollout has begun on it", 1)
    if as_json:
        table([values], [], True)
        return
    width = BAR_WIDTH * values["new"] // max(1, values["routers"])
    bar = "#" * width + "." * (BAR_WIDTH - width)
    click.echo(
        f"{values['plan']}: {values['phase']}, stage {values['stage']} of {values['stages']}  [{bar}] "
        f"{values['new']} of {values['routers']} on the new one"
    )
    verdict = values["verdict"]
    if verdict:
        click.echo(
            f"verdict: {verdict['word']} ({verdict['figure']} {verdict['value']:+.4g} "
            f"after {verdict['windows']} windows)"
        )
    table(values["members"], ["router", "version", "should", "state", "crashes"], False)


def _add_request(name: str, text: str) -> None:
    """Add a command that leaves an operator's request for the coordinator."""

    @command.command(name, help=text)
    @click.argument("plan", type=click.Path())
    @journal_option
    def request(plan: str, journal: str | None) -> None:
        from brookhinge.rollout.coordinator_service import leave_request
        from brookhinge.rollout.messages import OperatorRequest

        _read(plan)
        path = _journal_of(plan, journal)
        try:
            leave_request(path, OperatorRequest(name))
        except OSError as error:
            refuse(f"{path}: {error.strerror}", 1)
        click.echo(
            f"{name}: said; the coordinator on this journal takes it up, or the next one that is started"
        )


_add_request("pause", "Changes nothing more until resumed; what runs goes on.")
_add_request("resume", "Goes on after a pause.")
_add_request("abort", "Ends the rollout where it stands: each router goes on with what it runs.")
_add_request("back", "Takes all routers back to the old one.")
