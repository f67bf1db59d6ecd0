"""The commands `brookhinge fleet show`, `watch`, `limits` and `verdicts`: one router's view of the fleet."""

import asyncio
import time
from typing import TYPE_CHECKING

import click

from brookhinge.cli import exit_with_error, print_table, read_block

if TYPE_CHECKING:
    from brookhinge.operator.schema import Fleet

# Column titles, which are also the JSON keys. Operators' scripts rely on them.
LIMIT_COLUMNS = ["kind", "server", "own", "given", "lent", "in_use", "shrinks_in_s", "keeper"]
VERDICT_COLUMNS = ["server", "state", "for_s", "why", "witnesses", "tries", "failed", "own_trouble"]
MEMBER_COLUMNS = ["member", "state", "for_s", "by", "zone", "address"]


def fetch_rows(block: "Fleet", topic: int = 0, columns: list[str] = MEMBER_COLUMNS) -> tuple[list[dict], str]:
    """Return the rows of a status topic of one router and the digest of its view; exit without an answer."""
    from brookhinge.membership.status_query import query_status

    status = asyncio.run(query_status(block.listen, block.site, block.key, topic))
    if status is None:
        host, port = block.listen
        exit_with_error(
            f"{block.name}: no answer from {host}:{port}: it may be down or use another key or site", 1
        )
    return [dict(zip(columns, row, strict=False)) for row in status.rows], f"{status.digest:016x}"


@click.group("fleet")
def command() -> None:
    """Show a router's view of its peers."""


@command.command(
    "show",
    help="Show each member's state, its duration and the reporting router, and the digest of the view. "
    "Routers with the same digest have the same view.",
)
@click.option("--file", required=True, type=click.Path(), help="Operator's file with the `fleet` blocks.")
@click.option("--router", help="Router to query (default: the first block).")
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def show(file: str, router: str | None, as_json: bool) -> None:
    """Print the members of the fleet."""
    block = read_block(file, "fleet", router)[1]
    rows, digest = fetch_rows(block)
    if as_json:
        print_table([{"router": block.name, "digest": digest, "members": rows}], [], True)
        return
    click.echo(f"view of {block.name} (digest {digest}):")
    print_table(rows, MEMBER_COLUMNS, False)


def add_topic_command(topic: str, name: str, columns: list[str], header: str, help_text: str) -> None:
    """Add a command that shows a status topic other than the members.

    Args:
        topic: Name of the topic in `StatusTopic`.
        name: Name of the command, and the key of the rows in its JSON.
        columns: Titles of the columns.
        header: Line above the table, a format string of `name`, the router, and `count`, the rows.
        help_text: Help text of the command.
    """

    @command.command(name, help=help_text)
    @click.option("--file", required=True, type=click.Path(), help="Operator's file with the `fleet` blocks.")
    @click.option("--router", help="Router to query (default: the first block).")
    @click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
    def show_topic(file: str, router: str | None, as_json: bool) -> None:
        from brookhinge.membership.messages import StatusTopic

        block = read_block(file, "fleet", router)[1]
        rows, _ = fetch_rows(block, StatusTopic[topic], columns)
        if as_json:
            print_table([{"router": block.name, name: rows}], [], True)
            return
        click.echo(header.format(name=block.name, count=len(rows)))
        if rows:
            print_table(rows, columns, False)


add_topic_command(
    "LIMITS",
    "limits",
    LIMIT_COLUMNS,
    "{name} shares {count} limits now; of every other limit it has its own quota",
    "Show a router's quota of each shared limit, as fractions of the limit: its own quota, granted to "
    "others, leased from others, in use, the seconds until it shrinks, and the lessor (keeper).",
)
add_topic_command(
    "VERDICTS",
    "verdicts",
    VERDICT_COLUMNS,
    "{name}: {count} servers suspected or ejected",
    "Show the servers that a router suspects or has ejected: the reason, the number of witnesses, and "
    "whether the fault is local to the router.",
)


@command.command("watch")
@click.option("--file", required=True, type=click.Path(), help="Operator's file with the `fleet` blocks.")
@click.option("--router", help="Router to query (default: the first block).")
@click.option(
    "--every",
    default=1.0,
    type=click.FloatRange(0.2, 60),
    show_default=True,
    help="Seconds between refreshes.",
)
@click.option(
    "--rounds", default=0, type=click.IntRange(0), help="Number of refreshes; 0: until interrupted."
)
def watch(file: str, router: str | None, every: float, rounds: int) -> None:
    """Show the members and refresh until interrupted."""
    from rich.console import Console
    from rich.live import Live
    from rich.table import Table

    block = read_block(file, "fleet", router)[1]
    rounds_done = 0

    def render_view() -> Table:
        rows, digest = fetch_rows(block)
        grid = Table(title=f"view of {block.name} (digest {digest})")
        for column in MEMBER_COLUMNS:
            grid.add_column(column)
        for row in rows:
            style = {"alive": "green", "suspected": "yellow", "lost": "red"}.get(row["state"], "dim")
            grid.add_row(*(str(row[column]) for column in MEMBER_COLUMNS), style=style)
        return grid

    with Live(render_view(), console=Console(), refresh_per_second=4) as live:
        while not rounds or (rounds_done := rounds_done + 1) < rounds:
            time.sleep(every)
            live.update(render_view())
