"""Which segment is cleaned, and what has to go. No I/O.

Records are never overwritten: what is dropped leaves dead bytes in its segment, and a segment is freed by copying what
lives in it to the end of the log. Copying a segment of which a share u lives writes u / (1 - u) bytes for each byte it
frees. No more than FULL of the sealed segments may live, so the emptiest of them has u of FULL at most: whatever is
written, cleaning writes four times as much at the worst. RESERVE segments are left out of that reckoning: the one that is
written to, the one that cleaning copies to, and the one that is being freed."""

FULL, RESERVE = 0.8, 3


def room(limit, segment_bytes):
    """Bytes that may live on a disk of `limit` bytes."""
    return max(0, int(FULL * (limit - RESERVE * segment_bytes)))


def choose(sizes, live, active, limit, segment_bytes):
    """The segment to clean, or None while there is room for two more.

    sizes: bytes of each segment; live: bytes of records in use, by segment; active: the one that is written to."""
    if sum(sizes.values()) + 2 * segment_bytes <= limit:
        return None
    sealed = [s for s in sizes if s != active]
    return min(sealed, key=lambda s: (live.get(s, 0) / max(1, sizes[s]), s), default=None)
