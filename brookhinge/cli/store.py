"""brookhinge store inspect|verify|compact DIR"""

import os

import click

from brookhinge.cli import refuse, table


def opened(folder):
    """The tier in a folder, open and so locked; refuses what is no store or in use, and makes none."""
    from brookhinge.store import DiskTier, StoreUnusable
    from brookhinge.store.files import Files
    from brookhinge.store.records import FILE_HEAD, SEGMENT, Damaged, OtherVersion, read_file_head

    if not os.path.isfile(os.path.join(folder, "store")):
        refuse(f"{folder}: expected a folder with a store in it")
    sizes = []
    heads = []
    for name in os.listdir(folder):
        if name.endswith(".seg"):
            path = os.path.join(folder, name)
            sizes.append(os.path.getsize(path))
            try:
                with open(path, "rb") as file:
                    read_file_head(SEGMENT, file.read(FILE_HEAD.size))
            except (Damaged, OtherVersion, OSError) as fault:
                heads.append((name, str(fault)))
    said = []
    segment = max([4 << 20, *sizes])
    tier = DiskTier(
        Files(folder), sum(sizes) + 16 * segment, segment, say=lambda event, **v: said.append((event, v))
    )
    tier.head_faults = heads
    try:
        return tier, tier.open(), said
    except (StoreUnusable, OSError) as fault:
        refuse(f"{folder}: {getattr(fault, 'strerror', None) or fault}", 1)


@click.group("store")
def command():
    """Looks into the store in a folder that no process uses."""


@command.command("inspect")
@click.argument("folder", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def inspect(folder, as_json):
    """Segments, what lives in them, purges."""
    tier, _, _ = opened(folder)
    rows = [
        {
            "segment": n,
            "bytes": s.size,
            "alive": tier.index.live.get(n, 0),
            "share": round(tier.index.live.get(n, 0) / max(1, s.size), 3),
        }
        for n, s in sorted(tier.segments.items())
    ]
    rows.append(
        {
            "segment": "all",
            "bytes": sum(r["bytes"] for r in rows),
            "alive": sum(r["alive"] for r in rows),
            "share": "",
        }
    )
    parts = tier.index.parts
    purges = len(tier.ledger.objects) + len(tier.ledger.groups)
    tier.abandon()
    table(rows, ["segment", "bytes", "alive", "share"], as_json)
    if not as_json:
        click.echo(f"{parts} parts, {purges} purges")


@command.command("verify")
@click.argument("folder", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def verify(folder, as_json):
    """Reads every byte and names every place that is not what was written. Exit 1 if there is one."""
    from brookhinge.store.verification import check_folder

    tier, _, said = opened(folder)
    bar = (
        None
        if as_json
        else click.progressbar(length=sum(s.size for s in tier.segments.values()), label="reading")
    )
    if bar is not None:
        with bar:
            found, rows = check_folder(tier, said, bar.update)
    else:
        found, rows = check_folder(tier, said, lambda size: None)
    tier.abandon()
    table(rows, ["file", "place", "why"], as_json)
    if not as_json:
        click.echo(f"{found} records are whole, {len(rows)} places are not")
    raise SystemExit(1 if rows else 0)


@command.command("compact")
@click.argument("folder", type=click.Path())
def compact(folder):
    """Copies what lives out of segments that are less than nine tenths alive, and frees them."""
    tier, _, _ = opened(folder)
    before = sum(s.size for s in tier.segments.values())
    worth = [n for n, s in tier.segments.items() if tier.index.live.get(n, 0) < 0.9 * s.size]
    try:
        with click.progressbar(worth, label="segments") as numbers:
            for number in numbers:
                tier.clean_segment(tier.segments[number])
        after = sum(s.size for s in tier.segments.values())
        tier.close()
    except OSError as fault:
        tier.abandon()
        refuse(f"{folder}: {fault.strerror}", 1)
    click.echo(f"{before} bytes before, {after} after")
