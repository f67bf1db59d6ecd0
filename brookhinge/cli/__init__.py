"""The command line: `brookhinge COMMAND`, or `python -m brookhinge COMMAND`.

Exit 0 when done, 1 when something was found wrong, 2 with one line when an option, key or file cannot be
used. Commands import their subsystem when called.
"""

from __future__ import annotations

import sys
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any, NoReturn

import click

if TYPE_CHECKING:
    from brookhinge.operator import OperatorSettings

COMMANDS = {  # command: (module, its one line); the module is imported when the command is called
    "check": ("brookhinge.cli.check", "Reads an operator's file and says what is wrong with it."),
    "cache-server": ("brookhinge.cli.cache_server", "A cache server on the two-tier store."),
    "ask": ("brookhinge.cli.ask", "Asks a router for an object, and comes back when told."),
    "explain": ("brookhinge.cli.explain", "Tells the storms in a router's log as a story."),
    "fleet": ("brookhinge.cli.fleet", "What a router believes of its peers: show, watch."),
    "control": (
        "brookhinge.cli.control",
        "A control machine of the purge log, purges through it, and how far they have got.",
    ),
    "agent": ("brookhinge.cli.agent", "Keeps one place's routers running, and changes them when told."),
    "rollout": (
        "brookhinge.cli.rollout",
        "A change through a fleet in stages that are judged: check, start, status, back.",
    ),
    "store": ("brookhinge.cli.store", "Looks into a store that no process uses: inspect, verify, compact."),
    "demo": (
        "brookhinge.cli.demo",
        "Origin, parent, three boxes, channel and a router on loopback, for a minute.",
    ),
    "emulator": ("brookhinge.cli.emulator", "Scripted peers for trying things out."),
}

# Names that commands had before; they work, and help does not list them.
ALIASES = {"standin": "emulator", "box": "cache-server", "keep": "agent", "roll": "rollout"}


class LazyGroup(click.Group):
    """A group whose commands are imported when they are asked for."""

    def list_commands(self, context: click.Context) -> list[str]:
        """Return the names of the commands; aliases are not listed."""
        return list(COMMANDS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Import and return a command by its name or an alias."""
        name = ALIASES.get(name, name)
        if name not in COMMANDS:
            return None
        module = __import__(COMMANDS[name][0], fromlist=["command"])
        return module.command

    def format_commands(self, context: click.Context, formatter: click.HelpFormatter) -> None:
        """Write one line a command without importing any."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, line) for name, (_, line) in COMMANDS.items()])


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def group() -> None:
    """A query router for edge caches, and what stands beside it.

    Without a command it is the platform's router, configured by BALANCER_CONFIG.
    """


def refuse(text: str, code: int = 2) -> NoReturn:
    """End the command with one line on standard error."""
    click.echo(f"brookhinge: {text}", err=True)
    sys.exit(code)


def block_of(file: str, kind: str, name: str | None) -> tuple[OperatorSettings, Any]:
    """Return an operator's settings and their block of that kind and name, the first one without a name.

    Ends the command where there is none.
    """
    from brookhinge.operator import OperatorError, read_file

    try:
        settings = read_file(file)
    except OperatorError as error:
        refuse(f"{file}: {error}")
    blocks = {"box": settings.box, "fleet": settings.fleet, "control": settings.control}[kind]
    if not blocks:
        refuse(f"{file}: no block {kind}")
    if name is not None and name not in blocks:
        refuse(f'{file}: no block {kind} "{name}", there is ' + ", ".join(blocks))
    return settings, blocks[name] if name is not None else next(iter(blocks.values()))


def table(rows: Sequence[Mapping[str, Any]], columns: list[str], as_json: bool) -> None:
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
