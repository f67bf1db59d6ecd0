"""brookhinge explain"""

import time

import click

from brookhinge.cli import refuse


@click.command("explain")
@click.argument("log", type=click.Path(allow_dash=True))
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def command(log: str, as_json: bool) -> None:
    """Tells the storms in a router's LOG as a story: when, who, how damped, how ended. - reads standard input."""
    from brookhinge.storm import story

    try:
        with click.open_file(log, encoding="utf-8", errors="replace") as file:
            rows, unreadable = story.read(file)
    except OSError as fault:
        refuse(f"{log}: expected a log that can be read ({fault.strerror})")
    told = story.episodes(rows)
    if as_json:
        import orjson

        click.echo(orjson.dumps(told, option=orjson.OPT_INDENT_2).decode())
        return
    for episode in told:
        for line in story.sentences(episode, lambda at: time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(at))):
            click.echo(line)
    if not told:
        click.echo(
            f"no storm in {len(rows)} lines"
            + ("" if rows else ": is `storm` on, and is this a router's log?")
        )
    if unreadable:
        click.echo(f"{unreadable} lines could not be read", err=True)
