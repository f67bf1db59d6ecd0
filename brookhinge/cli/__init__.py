"""The command line: `brookhinge COMMAND`, or `python -m brookhinge COMMAND`.

Exit codes: 0 on success, 1 if the command failed or found a fault, 2 with one line on standard error if an
option, key or file cannot be used. Each command imports its subsystem only when it is called.
"""

from __future__ import annotations

import sys
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any, NoReturn

import click

if TYPE_CHECKING:
    from brookhinge.operator import OperatorSettings

COMMANDS = {  # command: (module, help line); the module is imported when the command is called
    "check": ("brookhinge.cli.check", "Check an operator's file and report the first error."),
    "cache-server": ("brookhinge.cli.cache_server", "Run a cache server on the two-tier store."),
    "ask": ("brookhinge.cli.ask", "Request an object from a router; retry when asked to."),
    "explain": ("brookhinge.cli.explain", "Report the retry storms recorded in a router's log."),
    "fleet": ("brookhinge.cli.fleet", "Show a router's view of its peers: show, watch, limits, verdicts."),
    "control": (
        "brookhinge.cli.control",
        "Run a control machine of the purge log; submit purges and follow their progress.",
    ),
    "agent": (
        "brookhinge.cli.agent",
        "Keep the routers of one place running and switch their versions on request.",
    ),
    "rollout": (
        "brookhinge.cli.rollout",
        "Roll out a change to a fleet in judged stages: check, start, status, back.",
    ),
    "store": ("brookhinge.cli.store", "Examine a store that no process uses: inspect, verify, compact."),
    "demo": (
        "brookhinge.cli.demo",
        "Run origin, parent, three boxes, channel and a router on loopback for a minute.",
    ),
    "emulator": ("brookhinge.cli.emulator", "Run scripted peers for experiments."),
}

# Former command names. They still work but are not listed in the help.
ALIASES = {"standin": "emulator", "box": "cache-server", "keep": "agent", "roll": "rollout"}


class LazyGroup(click.Group):
    """A command group that imports a command only when it is looked up."""

    def list_commands(self, context: click.Context) -> list[str]:
        """Return the names of the commands without the aliases."""
        return list(COMMANDS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Import and return the command with this name or alias; None if there is none."""
        name = ALIASES.get(name, name)
        if name not in COMMANDS:
            return None
        module = __import__(COMMANDS[name][0], fromlist=["command"])
        return module.command

    def format_commands(self, context: click.Context, formatter: click.HelpFormatter) -> None:
        """Write one line per command without importing any of them."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, line) for name, (_, line) in COMMANDS.items()])


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def group() -> None:
    """A query router for edge caches, with its companion services and tools.

    Without a command it runs the platform's router, configured by BALANCER_CONFIG.
    """


def exit_with_error(text: str, code: int = 2) -> NoReturn:
    """Print one line on standard error and exit."""
    click.echo(f"brookhinge: {text}", err=True)
    sys.exit(code)


def read_block(file: str, kind: str, name: str | None) -> tuple[OperatorSettings, Any]:
    """Read an operator's file and return its settings and the block of that kind and name.

    Without a name it is the first block of that kind. Exits if the file cannot be read or has no such block.
    """
    from brookhinge.operator import OperatorError, read_file

    try:
        settings = read_file(file)
    except OperatorError as error:
        exit_with_error(f"{file}: {error}")
    blocks = {"box": settings.box, "fleet": settings.fleet, "control": settings.control}[kind]
    if not blocks:
        exit_with_error(f"{file}: no block {kind}")
    if name is not None and name not in blocks:
        exit_with_error(f'{file}: no block {kind} "{name}", expected one of ' + ", ".join(blocks))
    return settings, blocks[name] if name is not None else next(iter(blocks.values()))


def print_table(rows: Sequence[Mapping[str, Any]], columns: list[str], as_json: bool) -> None:
    """Print rows as JSON or as aligned columns."""
    if as_json:
        import orjson

        click.echo(orjson.dumps(rows, option=orjson.OPT_INDENT_2).decode())
        return
    cells = [columns] + [[str(row.get(column, "")) for column in columns] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    for row in cells:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def main(args: list[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    try:
        group.main(args=args, prog_name="brookhinge", standalone_mode=False)
    except click.ClickException as error:
        click.echo(f"brookhinge: {error.format_message()}", err=True)
        return 2
    except click.Abort:
        return 130
    return 0
