"""Division of batches into datagrams of limited size."""

from brookhinge.purgelog.messages import Batch, Entry

ENTRY_OVERHEAD_BYTES = 24  # upper bound for an encoded entry without its text
BATCH_OVERHEAD_BYTES = 40  # upper bound for an encoded batch without its entries


def entry_bytes(entry: Entry) -> int:
    """Return an upper bound of an entry's encoded size in bytes."""
    return (
        ENTRY_OVERHEAD_BYTES + 4 * len(entry.text)
        if not entry.text.isascii()
        else ENTRY_OVERHEAD_BYTES + len(entry.text)
    )


def split(batches: list[Batch], max_bytes: int) -> list[list[Batch]]:
    """Divide batches into datagrams of at most `max_bytes` encoded bytes, in order.

    An entry that is longer is put into a separate datagram.
    """
    datagrams = []
    current = []
    remaining_bytes = max_bytes
    for batch in batches:
        entries = []
        index = batch.after_index
        epoch_before = batch.after_epoch
        remaining_bytes -= BATCH_OVERHEAD_BYTES
        for entry in batch.entries:
            size = entry_bytes(entry)
            if size > remaining_bytes and (entries or current):
                if entries:
                    current.append(Batch(batch.source, batch.epoch, epoch_before, index, entries))
                    index = index + len(entries)
                    epoch_before = batch.epoch
                datagrams.append(current)
                entries = []
                current = []
                remaining_bytes = max_bytes - BATCH_OVERHEAD_BYTES
            entries.append(entry)
            remaining_bytes -= size
        if entries or not batch.entries:
            current.append(Batch(batch.source, batch.epoch, epoch_before, index, entries))
    if current:
        datagrams.append(current)
    return datagrams
