"""The commands `brookhinge store inspect|verify|compact DIR`."""

import os
from typing import TYPE_CHECKING, NamedTuple

import click

from brookhinge.cli import refuse, table

if TYPE_CHECKING:
    from brookhinge.store import DiskTier

_MIN_SEGMENT_BYTES = 4 << 20
_SPARE_SEGMENTS = 16  # more than cleaning takes for itself
_COMPACTED_BELOW_LIVE_SHARE = 0.9


class OpenedStore(NamedTuple):
    """A store that was opened, and the damage that was met on the way."""

    tier: "DiskTier"
    damaged_headers: list[tuple[str, str]]  # segment file and reason; opening removes such a file
    ledger_unreadable_bytes: list[int]


def open_store(folder: str) -> OpenedStore:
    """Open and so lock the store in a folder; exit if it is no store or in use, and create none."""
    from brookhinge.store import DiskTier, StoreUnusableError
    from brookhinge.store.files import Files
    from brookhinge.store.folder_layout import STORE_FILE

    if not os.path.isfile(os.path.join(folder, STORE_FILE)):
        refuse(f"{folder}: expected a folder with a store in it")
    sizes, damaged_headers = _inspect_segment_files(folder)
    ledger_unreadable_bytes = []

    def on_event(event: str, **values: object) -> None:
        if event == "ledger damaged":
            ledger_unreadable_bytes.append(values["bytes"])

    segment_bytes = max([_MIN_SEGMENT_BYTES, *sizes])
    limit_bytes = sum(sizes) + _SPARE_SEGMENTS * segment_bytes
    tier = DiskTier(Files(folder), limit_bytes, segment_bytes, log_event=on_event)
    try:
        tier.open()
    except (StoreUnusableError, OSError) as error:
        refuse(f"{folder}: {getattr(error, 'strerror', None) or error}", 1)
    return OpenedStore(tier, damaged_headers, ledger_unreadable_bytes)


def _inspect_segment_files(folder: str) -> tuple[list[int], list[tuple[str, str]]]:
    """Sizes of the segment files, and those whose header can't be read with the reason."""
    from brookhinge.store.errors import DamagedError, UnsupportedVersionError
    from brookhinge.store.file_format import (
        FILE_HEADER_BYTES,
        FileKind,
        decode_file_header,
    )

    sizes = []
    damaged_headers = []
    for name in os.listdir(folder):
        if not name.endswith(".seg"):
            continue
        path = os.path.join(folder, name)
        sizes.append(os.path.getsize(path))
        try:
            with open(path, "rb") as file:
                decode_file_header(FileKind.SEGMENT, file.read(FILE_HEADER_BYTES))
        except (DamagedError, UnsupportedVersionError, OSError) as error:
            damaged_headers.append((name, str(error)))
    return sizes, damaged_headers


@click.group("store")
def command() -> None:
    """Looks into the store in a folder that no process uses."""


@command.command("inspect")
@click.argument("folder", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def inspect(folder: str, as_json: bool) -> None:
    """Segments, what lives in them, purges."""
    tier = open_store(folder).tier
    rows = []
    for number, segment in sorted(tier.segments.items()):
        live = tier.index.live_bytes.get(number, 0)
        share = round(live / max(1, segment.size), 3)
        rows.append({"segment": number, "bytes": segment.size, "alive": live, "share": share})
    total_bytes = sum(row["bytes"] for row in rows)
    total_live = sum(row["alive"] for row in rows)
    rows.append({"segment": "all", "bytes": total_bytes, "alive": total_live, "share": ""})
    parts = tier.index.parts
    purges = len(tier.ledger.objects) + len(tier.ledger.groups)
    tier.abandon()
    table(rows, ["segment", "bytes", "alive", "share"], as_json)
    if not as_json:
        click.echo(f"{parts} parts, {purges} purges")


@command.command("verify")
@click.argument("folder", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def verify(folder: str, as_json: bool) -> None:
    """Reads every byte and names every place that is not what was written. Exit 1 if there is one."""
    from brookhinge.store.verification import DamagedPlace, verify_tier

    store = open_store(folder)
    tier = store.tier
    if as_json:
        report = verify_tier(tier, store.ledger_unreadable_bytes, lambda size: None)
    else:
        with click.progressbar(length=tier.stats()["disk_bytes"], label="reading") as bar:
            report = verify_tier(tier, store.ledger_unreadable_bytes, bar.update)
    tier.abandon()
    headers = [DamagedPlace(name, 0, why) for name, why in store.damaged_headers]
    rows = [place._asdict() for place in [*headers, *report.damaged]]
    table(rows, ["file", "place", "why"], as_json)
    if not as_json:
        click.echo(f"{report.whole_records} records are whole, {len(rows)} places are not")
    raise SystemExit(1 if rows else 0)


@command.command("compact")
@click.argument("folder", type=click.Path())
def compact(folder: str) -> None:
    """Copies what lives out of segments that are less than nine tenths alive, and frees them."""
    tier = open_store(folder).tier
    bytes_before = tier.stats()["disk_bytes"]
    sparse = [
        number
        for number, segment in tier.segments.items()
        if tier.index.live_bytes.get(number, 0) < _COMPACTED_BELOW_LIVE_SHARE * segment.size
    ]
    try:
        with click.progressbar(sparse, label="segments") as numbers:
            for number in numbers:
                tier.clean_segment(tier.segments[number])
        bytes_after = tier.stats()["disk_bytes"]
        tier.close()
    except OSError as error:
        tier.abandon()
        refuse(f"{folder}: {error.strerror}", 1)
    click.echo(f"{bytes_before} bytes before, {bytes_after} after")
