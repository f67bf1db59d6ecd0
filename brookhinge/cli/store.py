"""The commands `brookhinge store inspect|verify|compact DIR`."""

import os
from typing import TYPE_CHECKING, NamedTuple

import click

from brookhinge.cli import exit_with_error, print_table

if TYPE_CHECKING:
    from brookhinge.store import DiskTier

_MIN_SEGMENT_BYTES = 4 << 20
_SPARE_SEGMENTS = 16  # more than cleaning needs as working space
_COMPACTED_BELOW_LIVE_SHARE = 0.9


class OpenedStore(NamedTuple):
    """An open store and the damage found while opening it."""

    tier: "DiskTier"
    damaged_headers: list[
        tuple[str, str]
    ]  # name of a segment file and reason; opening the store deletes such a file
    ledger_unreadable_bytes: list[int]


def open_store(folder: str) -> OpenedStore:
    """Open and lock the store in a folder; exit if the folder holds no store or is in use.

    Never creates a store.
    """
    from brookhinge.store import DiskTier, StoreUnusableError
    from brookhinge.store.files import Files
    from brookhinge.store.folder_layout import STORE_FILE

    if not os.path.isfile(os.path.join(folder, STORE_FILE)):
        exit_with_error(f"{folder}: expected a folder with a store in it")
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
        exit_with_error(f"{folder}: {getattr(error, 'strerror', None) or error}", 1)
    return OpenedStore(tier, damaged_headers, ledger_unreadable_bytes)


def _inspect_segment_files(folder: str) -> tuple[list[int], list[tuple[str, str]]]:
    """Return the sizes of the segment files, and the name and reason for each unreadable header."""
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
    """Examine the store in a folder that no process uses."""


@command.command("inspect")
@click.argument("folder", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def inspect(folder: str, as_json: bool) -> None:
    """Show the segments, their live bytes, and the number of parts and purges."""
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
    print_table(rows, ["segment", "bytes", "alive", "share"], as_json)
    if not as_json:
        click.echo(f"{parts} parts, {purges} purges")


@command.command("verify")
@click.argument("folder", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def verify(folder: str, as_json: bool) -> None:
    """Read every byte and list every damaged place. Exits with 1 if there is one."""
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
    print_table(rows, ["file", "place", "why"], as_json)
    if not as_json:
        click.echo(f"{report.whole_records} records intact, {len(rows)} damaged places")
    raise SystemExit(1 if rows else 0)


@command.command("compact")
@click.argument("folder", type=click.Path())
def compact(folder: str) -> None:
    """Rewrite the live records of segments that are less than 90% live, and free those segments."""
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
        exit_with_error(f"{folder}: {error.strerror}", 1)
    click.echo(f"{bytes_before} bytes before, {bytes_after} after")
