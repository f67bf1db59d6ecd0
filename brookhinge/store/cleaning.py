"""Which segment is cleaned, and how much may be live. No I/O.

Records are never overwritten: what is dropped leaves dead bytes in its segment, and a segment is freed by
copying its live records to the end of the log (LFS: Rosenblum, Ousterhout, 1992). Copying a segment of which
a share u is live writes u / (1 - u) bytes for each byte it frees. No more than MAX_LIVE_SHARE of the sealed
segments may be live, so the emptiest of them has that share at most: whatever is written, cleaning writes
four times as much at the worst.
"""

MAX_LIVE_SHARE = 0.8
RESERVED_SEGMENTS = 3  # the one written to, the one cleaning copies to, the one being freed


def max_live_bytes(limit_bytes: int, segment_bytes: int) -> int:
    """Bytes that may be live on a disk of `limit_bytes`."""
    return max(0, int(MAX_LIVE_SHARE * (limit_bytes - RESERVED_SEGMENTS * segment_bytes)))


def choose_segment(
    sizes: dict[int, int],
    live_bytes: dict[int, int],
    active: int | None,
    limit_bytes: int,
    segment_bytes: int,
) -> int | None:
    """The segment to clean, or None while there is space for two more.

    Args:
        sizes: Bytes of each segment.
        live_bytes: Bytes of the records in use, by segment.
        active: The segment that is written to, which is never chosen.
        limit_bytes: Bytes that all segments may take.
        segment_bytes: Bytes of a full segment.
    """
    if sum(sizes.values()) + 2 * segment_bytes <= limit_bytes:
        return None
    sealed = [number for number in sizes if number != active]
    return min(
        sealed, key=lambda number: (live_bytes.get(number, 0) / max(1, sizes[number]), number), default=None
    )
