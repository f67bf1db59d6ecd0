"""The command `brookhinge check FILE`."""

import click

from brookhinge.cli import exit_with_error, print_table
from brookhinge.operator import OperatorError, read_file


@click.command("check")
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def command(file: str, as_json: bool) -> None:
    """Check an operator's FILE and print what it enables."""
    try:
        settings = read_file(file)
    except OperatorError as error:
        exit_with_error(f"{file}: {error}")
    rows = [
        _row("box", name, server.listen, server.store.dir or "memory alone")
        for name, server in settings.box.items()
    ]
    rows += [_row("fleet", name, fleet.listen) for name, fleet in settings.fleet.items()]
    rows += [_row("control", name, control.listen) for name, control in settings.control.items()]
    if settings.metrics:
        rows.append(_row("metrics", "", settings.metrics))
    if settings.capacity:
        size = f"{settings.capacity.routers} routers at {len(settings.capacity.sites())} sites"
        rows.append(_row("capacity", size, None))
    print_table(rows, ["block", "name", "listen", "store"], as_json)


def _row(kind: str, name: str, listen: tuple[str, int] | None, store: str = "") -> dict[str, str]:
    address = f"{listen[0]}:{listen[1]}" if listen else ""
    return {"block": kind, "name": name, "listen": address, "store": store}
