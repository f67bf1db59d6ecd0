"""brookhinge fleet show|watch"""

import asyncio
import time

import click

from brookhinge.cli import block_of, refuse, table

PARTS = ["kind", "server", "own", "given", "lent", "in_use", "shrinks_in_s", "keeper"]
SAID = ["server", "state", "for_s", "why", "witnesses", "tries", "failed", "own_trouble"]
COLUMNS = ["member", "state", "for_s", "by", "zone", "address"]


def ask(block, what=0, columns=COLUMNS):
    """Rows of one router's view and its digest; ends the command if nothing answers."""
    from brookhinge.membership.look import look

    seen = asyncio.run(look(block.listen, block.site, block.key, what))
    if seen is None:
        refuse(
            f"{block.name}: no answer from {'%s:%d' % block.listen}: not up, another key, or another site", 1
        )
    return [dict(zip(columns, row)) for row in seen[0]], f"{seen[1]:016x}"


@click.group("fleet")
def command():
    """What a router believes of its peers."""


@command.command("show")
@click.option("--file", required=True, type=click.Path(), help="The operator's file with the block fleet.")
@click.option("--router", help="Whose view; the first block's without.")
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def show(file, router, as_json):
    """Each member's state, for how long, by whose word; and the view's digest: the same at two routers, the same view."""
    block = block_of(file, "fleet", router)[1]
    rows, digest = ask(block)
    if as_json:
        return table([{"router": block.name, "digest": digest, "members": rows}], [], True)
    click.echo(f"{block.name} believes ({digest}):")
    table(rows, COLUMNS, False)


def told(what, word, columns, line, text):
    """A command that shows what one router says of something else than its members."""

    @command.command(word, help=text)
    @click.option(
        "--file", required=True, type=click.Path(), help="The operator's file with the block fleet."
    )
    @click.option("--router", help="Which one is asked; the first block's without.")
    @click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
    def show_told(file, router, as_json):
        from brookhinge.membership import look

        block = block_of(file, "fleet", router)[1]
        rows, _ = ask(block, getattr(look, what), columns)
        if as_json:
            return table([{"router": block.name, word: rows}], [], True)
        click.echo(line.format(name=block.name, count=len(rows)))
        if rows:
            table(rows, columns, False)


told(
    "LIMITS",
    "limits",
    PARTS,
    "{name} shares {count} limits now; of all others it has its own part",
    "What a router may use of each shared limit, as parts of the whole: its own, given away, lent, for how long.",
)
told(
    "VERDICTS",
    "verdicts",
    SAID,
    "{name}: {count} servers in question",
    "Which servers are in question at a router, why one rests, by how many witnesses, and which is its own trouble.",
)


@command.command("watch")
@click.option("--file", required=True, type=click.Path(), help="The operator's file with the block fleet.")
@click.option("--router", help="Whose view; the first block's without.")
@click.option("--every", default=1.0, type=click.FloatRange(0.2, 60), show_default=True, help="Seconds.")
@click.option("--rounds", default=0, type=click.IntRange(0), help="Ends after so many; 0: goes on.")
def watch(file, router, every, rounds):
    """The same, drawn anew until interrupted."""
    from rich.console import Console
    from rich.live import Live
    from rich.table import Table

    block = block_of(file, "fleet", router)[1]
    done = 0

    def drawn():
        rows, digest = ask(block)
        grid = Table(title=f"{block.name} believes ({digest})")
        for column in COLUMNS:
            grid.add_column(column)
        for row in rows:
            style = {"alive": "green", "suspected": "yellow", "lost": "red"}.get(row["state"], "dim")
            grid.add_row(*(str(row[column]) for column in COLUMNS), style=style)
        return grid

    with Live(drawn(), console=Console(), refresh_per_second=4) as live:
        while not rounds or (done := done + 1) < rounds:
            time.sleep(every)
            live.update(drawn())
