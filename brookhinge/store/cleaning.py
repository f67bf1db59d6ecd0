"""Cleaning policy: which segment is cleaned, and how many bytes may be live. No I/O.

Records are never overwritten. A dropped record leaves dead bytes in its segment, and a segment is freed by
copying its live records to the end of the log (LFS: Rosenblum, Ousterhout, 1992). Cleaning a segment with a
share u of live bytes writes u / (1 - u) bytes for each byte that it frees. At most MAX_LIVE_SHARE of the
bytes in sealed segments may be live, so the segment with the fewest live bytes has at most that share.
Cleaning therefore writes at most four times as many bytes as are newly written.
"""

MAX_LIVE_SHARE = 0.8
RESERVED_SEGMENTS = 3  # the active one, the target of cleaning, and the one being freed


def max_live_bytes(limit_bytes: int, segment_bytes: int) -> int:
    """Return the limit for live bytes in a tier of `limit_bytes`."""
    return max(0, int(MAX_LIVE_SHARE * (limit_bytes - RESERVED_SEGMENTS * segment_bytes)))


def choose_segment(
    sizes: dict[int, int],
    live_bytes: dict[int, int],
    active: int | None,
    limit_bytes: int,
    segment_bytes: int,
) -> int | None:
    """Return the number of the segment to clean, or None while there is space for two more segments.

    Args:
        sizes: Size of each segment in bytes.
        live_bytes: Bytes of the records in use, by segment.
        active: Number of the active segment, which is never chosen, or None without one.
        limit_bytes: Maximum size of all segments together.
        segment_bytes: Maximum size of a segment.
    """
    if sum(sizes.values()) + 2 * segment_bytes <= limit_bytes:
        return None
    sealed = [number for number in sizes if number != active]
    return min(
        sealed, key=lambda number: (live_bytes.get(number, 0) / max(1, sizes[number]), number), default=None
    )
