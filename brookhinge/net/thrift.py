"""Clients' wire: Thrift, framed transport, strict binary protocol. Parses and encodes bytes, no I/O."""

import struct

LONGEST = 256 * 1024  # of a client's frame
CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
UNKNOWN_METHOD, WRONG_KIND, INTERNAL, PROTOCOL = 1, 2, 6, 7
STOP, BOOL, BYTE, DOUBLE, I16, I32, I64, STRING, STRUCT, MAP, SET, LIST = (
    0,
    2,
    3,
    4,
    6,
    8,
    10,
    11,
    12,
    13,
    14,
    15,
)
FIXED = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}
DEEPEST = 8
INT, HEAD = struct.Struct(">i"), struct.Struct(">Bh")


class Unreadable(Exception):
    """Bytes that can't be read as this protocol; the connection they came on is closed."""


class Unusable(Exception):
    """A call that can be read and not taken; answered under its sequence number."""

    def __init__(self, code, text):
        super().__init__(text)
        self.code = code


class Frames:
    """Cuts a stream of bytes, in any pieces, into frames; `broken` says from where on it can't be read, and why."""

    def __init__(self):
        self.held, self.broken = bytearray(), None

    def feed(self, data):
        if self.broken:
            return []
        self.held += data
        held, at, frames = self.held, 0, []
        while len(held) - at >= 4:
            (size,) = INT.unpack_from(held, at)
            if not 0 < size <= LONGEST:
                self.broken, self.held = f"a frame of {size} bytes", bytearray()
                return frames
            if len(held) - at - 4 < size:
                break
            frames.append(bytes(held[at + 4 : at + 4 + size]))
            at += 4 + size
        del held[:at]
        return frames


def is_call_of(frame, method):
    """Whether a frame begins as a message of that method; a look, not a check."""
    return frame[4:8] == INT.pack(len(method)) and frame[8 : 8 + len(method)] == method


def number_of_query(frame):
    """The sequence number of a call of `serve`, or None."""
    if not is_call_of(frame, b"serve"):
        return None
    try:
        return read_head(Reader(frame))[2]
    except Unreadable:
        return None


def cancelled_number(frame):
    """The sequence number that a message of `forget` names, or None where it cannot be read."""
    reader = Reader(frame)
    try:
        _, kind, _ = read_head(reader)
        number = read_args(reader, {1: I32}).get(1)
    except (Unreadable, Unusable):
        return None
    return number if kind == ONEWAY and reader.at == len(frame) else None


class Reader:
    """Reads the values of one frame."""

    def __init__(self, frame):
        self.frame, self.at = frame, 0

    def take(self, count):
        start, self.at = self.at, self.at + count
        if count < 0 or self.at > len(self.frame):
            raise Unreadable("a frame that is cut off")
        return self.frame[start : self.at]

    def int(self):
        return INT.unpack(self.take(4))[0]

    def text(self):
        return self.take(self.int())

    def skip(self, kind, depth=0):
        if depth > DEEPEST:
            raise Unreadable("values nested too deep")
        if kind in FIXED:
            self.take(FIXED[kind])
        elif kind == STRING:
            self.text()
        elif kind == STRUCT:
            for inner, _ in self.fields():
                self.skip(inner, depth + 1)
        elif kind in (MAP, SET, LIST):
            kinds = self.take(2 if kind == MAP else 1)
            for _ in range(self.count()):
                for inner in kinds:
                    self.skip(inner, depth + 1)
        else:
            raise Unreadable(f"a value of the unknown type {kind}")

    def count(self):
        count = self.int()
        if not 0 <= count <= len(self.frame):  # an entry has a byte at least
            raise Unreadable(f"a count of {count}")
        return count

    def fields(self):
        """Type and number of each field of a struct; the caller reads or skips the value."""
        while True:
            kind = self.take(1)[0]
            if kind == STOP:
                return
            yield kind, struct.unpack(">h", self.take(2))[0]

    def words(self):
        key, value = self.take(2)
        count = self.count()
        if count and (key, value) != (STRING, STRING):
            raise Unusable(PROTOCOL, "fields: expected a map of strings")
        return {self.text(): self.text() for _ in range(count)}


def read_head(reader):
    """(method, kind, sequence number) of a message."""
    version = reader.int() & 0xFFFFFFFF
    if version >> 16 != 0x8001:
        raise Unreadable("a message that is not strict binary")
    return reader.text(), version & 0xFF, reader.int()


def read_args(reader, wanted):
    """The arguments by field number; wanted: the type of each. What isn't wanted is skipped."""
    found, wrong = {}, None
    for kind, number in reader.fields():
        if wanted.get(number) != kind:
            reader.skip(kind)
            if number in wanted:
                wrong = wrong or number
        elif kind == MAP:
            found[number] = reader.words()
        elif kind == STRING:
            found[number] = reader.text()
        elif kind == I32:
            found[number] = reader.int()
    if wrong is not None:
        raise Unusable(PROTOCOL, f"argument {wrong}: wrong type")
    return found


def text(value):
    return INT.pack(len(value)) + value


def words(fields):
    return b"".join(
        [bytes((STRING, STRING)), INT.pack(len(fields))]
        + [text(part) for pair in fields.items() for part in pair]
    )


def message(method, kind, number, *body):
    head = INT.pack(-0x7FFF0000 | kind) + text(method) + INT.pack(number)
    return b"".join((INT.pack(len(head) + sum(map(len, body))), head) + body)


def answer(method, number, body, fields, good):
    return message(
        method,
        REPLY,
        number,
        HEAD.pack(STRUCT, 0),
        HEAD.pack(STRING, 1),
        INT.pack(len(body)),
        body,
        HEAD.pack(MAP, 2),
        words(fields),
        HEAD.pack(BOOL, 3),
        bytes((good, STOP, STOP)),
    )


def thrown(number, place, fields):
    """One of the declared exceptions of `serve`: 1 refused, 2 failed."""
    return message(
        b"serve",
        REPLY,
        number,
        HEAD.pack(STRUCT, place),
        HEAD.pack(MAP, 1),
        words(fields),
        bytes((STOP, STOP)),
    )


def exception(method, number, code, why):
    return message(
        method,
        EXCEPTION,
        number,
        HEAD.pack(STRING, 1),
        text(why.encode()),
        HEAD.pack(I32, 2),
        INT.pack(code),
        bytes((STOP,)),
    )
