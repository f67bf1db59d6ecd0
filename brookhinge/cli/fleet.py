"""The commands `brookhinge fleet show`, `watch`, `limits` and `verdicts`: what one router believes."""

import asyncio
import time
from typing import TYPE_CHECKING

import click

from brookhinge.cli import block_of, refuse, table

if TYPE_CHECKING:
    from brookhinge.operator.schema import Fleet

# Columns as they are printed, and the keys of the JSON: names that operators' scripts rely on.
LIMIT_COLUMNS = ["kind", "server", "own", "given", "lent", "in_use", "shrinks_in_s", "keeper"]
VERDICT_COLUMNS = ["server", "state", "for_s", "why", "witnesses", "tries", "failed", "own_trouble"]
MEMBER_COLUMNS = ["member", "state", "for_s", "by", "zone", "address"]


def query(block: "Fleet", topic: int = 0, columns: list[str] = MEMBER_COLUMNS) -> tuple[list[dict], str]:
    """Rows of a status topic of one router, and its view's digest; end the command if nothing answers."""
    from brookhinge.membership.status_query import query_status

    status = asyncio.run(query_status(block.listen, block.site, block.key, topic))
    if status is None:
        host, port = block.listen
        refuse(f"{block.name}: no answer from {host}:{port}: not up, another key, or another site", 1)
    return [dict(zip(columns, row, strict=False)) for row in status.rows], f"{status.digest:016x}"


@click.group("fleet")
def command() -> None:
    """What a router believes of its peers."""


@command.command(
    "show",
    help="Each member's state, for how long, by whose word; and the view's digest: the same at two routers, "
    "the same view.",
)
@click.option("--file", required=True, type=click.Path(), help="The operator's file with the block fleet.")
@click.option("--router", help="Whose view; the first block's without.")
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def show(file: str, router: str | None, as_json: bool) -> None:
    """Print the members."""
    block = block_of(file, "fleet", router)[1]
    rows, digest = query(block)
    if as_json:
        table([{"router": block.name, "digest": digest, "members": rows}], [], True)
        return
    click.echo(f"{block.name} believes ({digest}):")
    table(rows, MEMBER_COLUMNS, False)


def add_topic_command(topic: str, word: str, columns: list[str], line: str, text: str) -> None:
    """Add a command that shows another status topic than the members."""

    @command.command(word, help=text)
    @click.option(
        "--file", required=True, type=click.Path(), help="The operator's file with the block fleet."
    )
    @click.option("--router", help="Which one is asked; the first block's without.")
    @click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
    def show_topic(file: str, router: str | None, as_json: bool) -> None:
        from brookhinge.membership.messages import StatusTopic

        block = block_of(file, "fleet", router)[1]
        rows, _ = query(block, StatusTopic[topic], columns)
        if as_json:
            table([{"router": block.name, word: rows}], [], True)
            return
        click.echo(line.format(name=block.name, count=len(rows)))
        if rows:
            table(rows, columns, False)


add_topic_command(
    "LIMITS",
    "limits",
    LIMIT_COLUMNS,
    "{name} shares {count} limits now; of all others it has its own part",
    "What a router may use of each shared limit, as parts of the whole: its own, given away, lent, for how "
    "long.",
)
add_topic_command(
    "VERDICTS",
    "verdicts",
    VERDICT_COLUMNS,
    "{name}: {count} servers in question",
    "Which servers are in question at a router, why one rests, by how many witnesses, and which is its own "
    "trouble.",
)


@command.command("watch")
@click.option("--file", required=True, type=click.Path(), help="The operator's file with the block fleet.")
@click.option("--router", help="Whose view; the first block's without.")
@click.option("--every", default=1.0, type=click.FloatRange(0.2, 60), show_default=True, help="Seconds.")
@click.option("--rounds", default=0, type=click.IntRange(0), help="Ends after so many; 0: goes on.")
def watch(file: str, router: str | None, every: float, rounds: int) -> None:
    """The same, drawn anew until interrupted."""
    from rich.console import Console
    from rich.live import Live
    from rich.table import Table

    block = block_of(file, "fleet", router)[1]
    done = 0

    def draw() -> Table:
        rows, digest = query(block)
        grid = Table(title=f"{block.name} believes ({digest})")
        for column in MEMBER_COLUMNS:
            grid.add_column(column)
        for row in rows:
            style = {"alive": "green", "suspected": "yellow", "lost": "red"}.get(row["state"], "dim")
            grid.add_row(*(str(row[column]) for column in MEMBER_COLUMNS), style=style)
        return grid

    with Live(draw(), console=Console(), refresh_per_second=4) as live:
        while not rounds or (done := done + 1) < rounds:
            time.sleep(every)
            live.update(draw())
