"""Batches cut to the size of datagrams."""

from brookhinge.purgelog.messages import Batch, Entry

ENTRY_BYTES = 24  # of an entry beside its text, and of a batch beside its entries, at most
BATCH_BYTES = 40


def entry_bytes(entry: Entry) -> int:
    """Return an upper bound of an entry's encoded size in bytes."""
    return ENTRY_BYTES + 4 * len(entry.text) if not entry.text.isascii() else ENTRY_BYTES + len(entry.text)


def split(batches: list[Batch], room: int) -> list[list[Batch]]:
    """Divide batches into datagrams of at most `room` encoded bytes, in order.

    An entry longer than that goes by itself.
    """
    datagrams = []
    current = []
    left = room
    for batch in batches:
        entries = []
        index = batch.after_index
        epoch_before = batch.after_epoch
        left -= BATCH_BYTES
        for entry in batch.entries:
            size = entry_bytes(entry)
            if size > left and (entries or current):
                if entries:
                    current.append(Batch(batch.source, batch.epoch, epoch_before, index, entries))
                    index = index + len(entries)
                    epoch_before = batch.epoch
                datagrams.append(current)
                entries = []
                current = []
                left = room - BATCH_BYTES
            entries.append(entry)
            left -= size
        if entries or not batch.entries:
            current.append(Batch(batch.source, batch.epoch, epoch_before, index, entries))
    if current:
        datagrams.append(current)
    return datagrams
