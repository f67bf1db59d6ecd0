"""Names of the files in a store folder.

store                  store id and format version
lock                   lock file, locked by the process that uses the folder
s-00000001.seg ...     append-only segments of records; only the last one is written to
purges.log             purge ledger
index-00000001.snap    index snapshots, of which the last two are kept
trial                  file that a disk probe writes and removes
NAME.new               replacement for NAME that is being written, or was when the process ended
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
    """Return the file name of a segment."""
    return f"{_SEGMENT_PREFIX}{number:08d}{_SEGMENT_SUFFIX}"


def snapshot_name(number: int) -> str:
    """Return the file name of an index snapshot."""
    return f"{_SNAPSHOT_PREFIX}{number:08d}{_SNAPSHOT_SUFFIX}"


def segment_numbers(names: Iterable[str]) -> list[int]:
    """Return the numbers of the segment files among `names`, in ascending order."""
    return _numbers(names, _SEGMENT_PREFIX, _SEGMENT_SUFFIX)


def snapshot_numbers(names: Iterable[str]) -> list[int]:
    """Return the numbers of the index snapshots among `names`, in ascending order."""
    return _numbers(names, _SNAPSHOT_PREFIX, _SNAPSHOT_SUFFIX)


def _numbers(names: Iterable[str], prefix: str, suffix: str) -> list[int]:
    digits = [
        name[len(prefix) : -len(suffix)]
        for name in names
        if name.startswith(prefix) and name.endswith(suffix)
    ]
    return sorted(int(text) for text in digits if text.isdigit())
