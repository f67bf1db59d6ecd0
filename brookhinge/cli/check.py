"""brookhinge check FILE"""

import click

from brookhinge.cli import refuse, table
from brookhinge.operator import OperatorError, read_file


@click.command("check")
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def command(file, as_json):
    """Reads an operator's FILE as the programs do; prints what it turns on."""
    try:
        told = read_file(file)
    except OperatorError as fault:
        refuse(f"{file}: {fault}")
    rows = [
        {
            "block": "box",
            "name": name,
            "listen": "%s:%d" % stand.listen,
            "store": stand.store.dir or "memory alone",
        }
        for name, stand in told.box.items()
    ]
    rows += [
        {"block": "fleet", "name": name, "listen": "%s:%d" % fleet.listen, "store": ""}
        for name, fleet in told.fleet.items()
    ]
    rows += [
        {"block": "control", "name": name, "listen": "%s:%d" % control.listen, "store": ""}
        for name, control in told.control.items()
    ]
    if told.metrics:
        rows.append({"block": "metrics", "name": "", "listen": "%s:%d" % told.metrics, "store": ""})
    table(rows, ["block", "name", "listen", "store"], as_json)
