"""What a rollout decided, on disk before it is done. One line a record:

    line    = checksum, a space, JSON object, line feed
    checksum = 16 hex digits of xxh64 over the JSON text, seeded with the number of the record

The first record names the form and the plan. A start reads what is whole; what follows a torn or wrong line was never acted on,
for a record is synced before what it says is done, and is cut off. A wrong line with whole ones behind it is damage: refused."""

import os

import msgspec
import xxhash

FORM = 1
pack, unpack = msgspec.json.Encoder(), msgspec.json.Decoder()


class Damaged(ValueError):
    """A journal that can't be what was written."""


def line_of(number, record):
    text = pack.encode(record)
    return b"%016x %b\n" % (xxhash.xxh64_intdigest(text, seed=number), text)


def read(data):
    """(records, bytes that are whole) of a journal's bytes."""
    records, at, wrong = [], 0, None
    while at < len(data):
        end = data.find(b"\n", at)
        line = data[at:end] if end >= 0 else None
        record = None
        if line is not None and line[16:17] == b" ":
            try:
                if int(line[:16], 16) == xxhash.xxh64_intdigest(line[17:], seed=len(records)):
                    record = unpack.decode(line[17:])
            except (ValueError, msgspec.DecodeError):
                pass
        if record is None:
            wrong = at
            break
        records.append(record)
        at = end + 1
    if wrong is not None:
        rest = data[wrong:].split(b"\n")[1:]
        if any(whole(line) for line in rest):
            raise Damaged(f"byte {wrong}: a line that is not what was written, with whole ones behind it")
    if records and records[0].get("form") != FORM:
        raise Damaged(f"form {records[0].get('form')!r}: expected {FORM}")
    return records, at


def whole(line):
    """Whether a line could be a record of any number: its text is JSON and long enough to be one."""
    if line[16:17] != b" " or len(line) < 20:
        return False
    try:
        int(line[:16], 16)
        return isinstance(unpack.decode(line[17:]), dict)
    except (ValueError, msgspec.DecodeError):
        return False


class Journal:
    """open(path) reads what is there; write(record) is back when it is on the disk. One process at a time."""

    def __init__(self, path, sync=os.fsync):
        self.path, self.sync = path, sync
        self.file = open(path, "a+b")
        try:
            self.lock()
            self.file.seek(0)
            self.records, kept = read(self.file.read())
            self.file.truncate(kept)
        except Exception:
            self.file.close()
            raise

    def lock(self):
        import fcntl

        try:
            fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise Damaged("in use by another process") from None

    def write(self, *records):
        """All of them with one sync. A disk that fails leaves the journal as it was: nothing of it is acted on."""
        kept = self.file.seek(0, os.SEEK_END)
        try:
            self.file.write(
                b"".join(line_of(len(self.records) + k, record) for k, record in enumerate(records))
            )
            self.file.flush()
            self.sync(self.file.fileno())
        except OSError:
            self.file.truncate(kept)
            raise
        self.records += records

    def close(self):
        self.file.close()
