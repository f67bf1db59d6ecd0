"""Names of the files in a store's folder.

store                  which store this is, and the version of its format
lock                   held by the process that uses the folder
s-00000001.seg ...     segments of records, append-only; only the last one is written to
purges.log             the purge ledger
index-00000001.snap    snapshots of the index, the last two
NAME.new               a file that was being written when the process ended
"""

from collections.abc import Iterable

STORE_FILE = "store"
LOCK_FILE = "lock"
LEDGER_FILE = "purges.log"
PROBE_FILE = "trial"
_SEGMENT_PREFIX = "s-"
_SEGMENT_SUFFIX = ".seg"
_SNAPSHOT_PREFIX = "index-"
_SNAPSHOT_SUFFIX = ".snap"


def segment_name(number: int) -> str:
    """The file of a segment."""
    return f"{_SEGMENT_PREFIX}{number:08d}{_SEGMENT_SUFFIX}"


def snapshot_name(number: int) -> str:
    """The file of an index snapshot."""
    return f"{_SNAPSHOT_PREFIX}{number:08d}{_SNAPSHOT_SUFFIX}"


def segment_numbers(names: Iterable[str]) -> list[int]:
    """Numbers of the segments among file names, ascending."""
    return _numbers(names, _SEGMENT_PREFIX, _SEGMENT_SUFFIX)


def snapshot_numbers(names: Iterable[str]) -> list[int]:
    """Numbers of the index snapshots among file names, ascending."""
    return _numbers(names, _SNAPSHOT_PREFIX, _SNAPSHOT_SUFFIX)


def _numbers(names: Iterable[str], prefix: str, suffix: str) -> list[int]:
    digits = [
        name[len(prefix) : -len(suffix)]
        for name in names
        if name.startswith(prefix) and name.endswith(suffix)
    ]
    return sorted(int(text) for text in digits if text.isdigit())
