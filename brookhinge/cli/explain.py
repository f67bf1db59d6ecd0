"""The command `brookhinge explain`."""

import time

import click

from brookhinge.cli import exit_with_error


def format_time(unix_s: float) -> str:
    """Return a Unix time as text in UTC."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(unix_s))


@click.command(
    "explain",
    help="Report the retry storms in a router's LOG: when each began, who caused it, how it was damped "
    "and how it ended. With - the log is read from standard input.",
)
@click.argument("log", type=click.Path(allow_dash=True))
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def command(log: str, as_json: bool) -> None:
    """Print a report on the storms in a log."""
    from brookhinge.overload import log_report

    try:
        with click.open_file(log, encoding="utf-8", errors="replace") as file:
            rows, unreadable = log_report.parse_log(file)
    except OSError as error:
        exit_with_error(f"{log}: expected a log that can be read ({error.strerror})")
    episodes = log_report.find_episodes(rows)
    if as_json:
        import orjson

        report = [episode.as_dict() for episode in episodes]
        click.echo(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())
        return
    for episode in episodes:
        for line in log_report.describe(episode, format_time):
            click.echo(line)
    if not episodes:
        hint = "" if rows else ": is `storm` on, and is this a router's log?"
        click.echo(f"no storm in {len(rows)} lines{hint}")
    if unreadable:
        click.echo(f"{unreadable} lines could not be read", err=True)
