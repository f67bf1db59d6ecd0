"""The commands `brookhinge rollout check|start|status|pause|resume|abort|back PLAN`."""

import asyncio
import signal
import sys
import time
from typing import TYPE_CHECKING, Any

import click

from brookhinge.cli import exit_with_error, print_table

if TYPE_CHECKING:
    from brookhinge.rollout.plan import Plan

EXIT_CODES = {"done": 0, "back": 1, "left": 1, "superseded": 1}
EXIT_INTERRUPTED = 3
BAR_WIDTH = 40

journal_option = click.option("--journal", help="Journal of the rollout (default: PLAN.roll).")


def _read(plan: str) -> "Plan":
    from brookhinge.operator import OperatorError
    from brookhinge.rollout.plan import read_plan_file

    try:
        return read_plan_file(plan)
    except OperatorError as error:
        exit_with_error(f"{plan}: {error}")


def _journal_path(plan: str, journal: str | None) -> str:
    return journal or f"{plan}.roll"


@click.group("rollout")
def command() -> None:
    """Change the program or settings of a fleet of routers in judged stages."""


@command.command("check")
@click.argument("plan", type=click.Path())
def check(plan: str) -> None:
    """Check a plan and print which routers are changed in which stage."""
    from brookhinge.rollout.plan import missing_on_disk
    from brookhinge.rollout.stages import stages_of

    settings = _read(plan)
    rows = [
        {"stage": number, "routers": len(stage), "names": " ".join(stage)}
        for number, stage in enumerate(stages_of(settings), start=1)
    ]
    print_table(rows, ["stage", "routers", "names"], False)
    routers = [name for name, _ in settings.routers]
    for version in (settings.old_version, settings.new_version):
        why = missing_on_disk(settings.versions[version], routers)
        if why:
            click.echo(f"on this machine: {why}")


@command.command("start")
@click.argument("plan", type=click.Path())
@journal_option
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line per event.")
def start(plan: str, journal: str | None, as_json: bool) -> None:
    """Run a rollout, or resume it from its journal.

    Exit 0: done; 1: rolled back, aborted or superseded; 3: interrupted.
    """
    import orjson

    from brookhinge.rollout.coordinator_service import CoordinatorService
    from brookhinge.rollout.journal import JournalError

    settings = _read(plan)
    path = _journal_path(plan, journal)
    started_at = time.monotonic()

    def log(event: str, **values: Any) -> None:  # noqa: ANN401 - JSON values
        if as_json:
            click.echo(orjson.dumps({"event": event, **values}).decode())
        else:
            fields = "  ".join(f"{name} {value}" for name, value in values.items())
            click.echo(f"{time.monotonic() - started_at:8.1f} s  {event:9} {fields}")
        sys.stdout.flush()

    async def run() -> str | None:
        service = CoordinatorService(settings, path, log)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, service.stop)
        return await service.run()

    try:
        outcome = asyncio.run(run())
    except JournalError as error:
        exit_with_error(f"{path}: {error}", 1)
    except OSError as error:
        exit_with_error(f"{path}: {error.strerror}", 1)
    sys.exit(EXIT_INTERRUPTED if outcome is None else EXIT_CODES[outcome])


@command.command("status")
@click.argument("plan", type=click.Path())
@journal_option
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def status(plan: str, journal: str | None, as_json: bool) -> None:
    """Show the progress of a rollout with a bar of the changed routers."""
    from brookhinge.rollout.coordinator_service import read_status

    path = _journal_path(plan, journal)
    values = read_status(path)
    if values is None:
        exit_with_error(f"{path}: no rollout has started on this journal", 1)
    if as_json:
        print_table([values], [], True)
        return
    width = BAR_WIDTH * values["new"] // max(1, values["routers"])
    bar = "#" * width + "." * (BAR_WIDTH - width)
    click.echo(
        f"{values['plan']}: {values['phase']}, stage {values['stage']} of {values['stages']}  [{bar}] "
        f"{values['new']} of {values['routers']} on the new version"
    )
    verdict = values["verdict"]
    if verdict:
        click.echo(
            f"verdict: {verdict['word']} ({verdict['figure']} {verdict['value']:+.4g} "
            f"after {verdict['windows']} windows)"
        )
    print_table(values["members"], ["router", "version", "should", "state", "crashes"], False)


def _add_request(name: str, help_text: str) -> None:
    """Add a command that records an operator's request for the coordinator."""

    @command.command(name, help=help_text)
    @click.argument("plan", type=click.Path())
    @journal_option
    def request(plan: str, journal: str | None) -> None:
        from brookhinge.rollout.coordinator_service import leave_request
        from brookhinge.rollout.messages import OperatorRequest

        _read(plan)
        path = _journal_path(plan, journal)
        try:
            leave_request(path, OperatorRequest(name))
        except OSError as error:
            exit_with_error(f"{path}: {error.strerror}", 1)
        click.echo(
            f"{name}: recorded; the coordinator of this journal, or the next one started on it, acts on it"
        )


_add_request("pause", "Stop changing routers until resumed; all routers keep running.")
_add_request("resume", "Continue after a pause.")
_add_request("abort", "End the rollout now; each router keeps the version that it runs.")
_add_request("back", "Roll all routers back to the old version.")
