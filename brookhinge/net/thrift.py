"""Thrift as the clients speak it: framed transport, strict binary protocol. No I/O."""

import struct
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from brookhinge.net.errors import InvalidCallError, UnreadableError

MAX_FRAME_BYTES = 256 * 1024
MAX_DEPTH = 8  # of nested values in an argument that is skipped
CUT_OFF = "a frame that is cut off"
VERSION_1 = 0x8001  # upper half of the first word of a strict message

# Kinds of messages.
CALL = 1
REPLY = 2
EXCEPTION = 3
ONEWAY = 4

# Codes of TApplicationException.
UNKNOWN_METHOD = 1
WRONG_MESSAGE_TYPE = 2
PROTOCOL_ERROR = 7

# Types of values.
STOP = 0
BOOL = 2
BYTE = 3
DOUBLE = 4
I16 = 6
I32 = 8
I64 = 10
STRING = 11
STRUCT = 12
MAP = 13
SET = 14
LIST = 15
SIZES = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}

INT32 = struct.Struct(">i")
INT16 = struct.Struct(">h")
FIELD_HEADER = struct.Struct(">Bh")  # type, number


class MessageHeader(NamedTuple):
    """What every message begins with."""

    method: bytes
    message_type: int
    sequence_number: int


class FrameSplitter:
    """Cuts a stream of bytes, in any pieces, into frames.

    Attributes:
        buffered: Bytes of a frame whose rest has not come.
        error: Why nothing can be read any more, or None.
    """

    def __init__(self) -> None:
        self.buffered = bytearray()
        self.error: str | None = None

    def feed(self, data: bytes) -> list[bytes]:
        """Return the frames that are complete with `data`, without their lengths."""
        if self.error:
            return []
        self.buffered += data
        position = 0
        frames = []
        while len(self.buffered) - position >= INT32.size:
            (size,) = INT32.unpack_from(self.buffered, position)
            if not 0 < size <= MAX_FRAME_BYTES:
                self.error = f"a frame of {size} bytes"
                self.buffered = bytearray()
                return frames
            begin = position + INT32.size
            end = begin + size
            if len(self.buffered) < end:
                break
            frames.append(bytes(self.buffered[begin:end]))
            position = end
        del self.buffered[:position]
        return frames


class Reader:
    """Reads the values of one frame in order.

    Attributes:
        frame: The bytes.
        position: Of the next byte to read.
    """

    def __init__(self, frame: bytes) -> None:
        self.frame = frame
        self.position = 0

    def take(self, count: int) -> bytes:
        """Read so many bytes.

        Raises:
            UnreadableError: The frame has not so many.
        """
        begin = self.position
        self.position = begin + count
        if count < 0 or self.position > len(self.frame):
            raise UnreadableError(CUT_OFF)
        return self.frame[begin : self.position]

    def read_int32(self) -> int:
        """Read a signed integer of four bytes."""
        begin = self.position
        self.position = begin + INT32.size
        if self.position > len(self.frame):
            raise UnreadableError(CUT_OFF)
        return INT32.unpack_from(self.frame, begin)[0]

    def read_string(self) -> bytes:
        """Read a string, as bytes.

        Raises:
            UnreadableError: The frame ends before it.
        """
        frame = self.frame
        begin = self.position + INT32.size
        if begin > len(frame):
            raise UnreadableError(CUT_OFF)
        (count,) = INT32.unpack_from(frame, self.position)
        end = begin + count
        if count < 0 or end > len(frame):
            raise UnreadableError(CUT_OFF)
        self.position = end
        return frame[begin:end]

    def skip(self, value_type: int, depth: int = 0) -> None:
        """Read past a value of any type.

        Raises:
            UnreadableError: The type is unknown, or values are nested too deep.
        """
        if depth > MAX_DEPTH:
            raise UnreadableError("values nested too deep")
        if value_type in SIZES:
            self.take(SIZES[value_type])
        elif value_type == STRING:
            self.read_string()
        elif value_type == STRUCT:
            for field_type, _ in self.read_fields():
                self.skip(field_type, depth + 1)
        elif value_type in (MAP, SET, LIST):
            entry_types = self.take(2 if value_type == MAP else 1)
            for _ in range(self.read_count()):
                for entry_type in entry_types:
                    self.skip(entry_type, depth + 1)
        else:
            raise UnreadableError(f"a value of the unknown type {value_type}")

    def read_count(self) -> int:
        """Read the number of entries of a container.

        Raises:
            UnreadableError: The frame cannot hold so many.
        """
        count = self.read_int32()
        if not 0 <= count <= len(self.frame):  # an entry has a byte at least
            raise UnreadableError(f"a count of {count}")
        return count

    def read_fields(self) -> Iterator[tuple[int, int]]:
        """Yield type and number of each field of a struct; the caller reads or skips the value."""
        while True:
            field_type = self.take(1)[0]
            if field_type == STOP:
                return
            yield field_type, INT16.unpack(self.take(INT16.size))[0]

    def read_string_map(self) -> dict[bytes, bytes]:
        """Read a map of strings.

        Raises:
            InvalidCallError: The map has entries of another type.
        """
        key_type, value_type = self.take(2)
        count = self.read_count()
        if count and (key_type, value_type) != (STRING, STRING):
            raise InvalidCallError(PROTOCOL_ERROR, "fields: expected a map of strings")
        return {self.read_string(): self.read_string() for _ in range(count)}


def is_message_of(frame: bytes, method: bytes) -> bool:
    """Return whether a frame begins as a message of that method; its rest is not checked."""
    return frame[4:8] == INT32.pack(len(method)) and frame[8 : 8 + len(method)] == method


def read_message_header(reader: Reader) -> MessageHeader:
    """Read what a message begins with.

    Raises:
        UnreadableError: The message is not one of the strict binary protocol.
    """
    first_word = reader.read_int32() & 0xFFFFFFFF
    if first_word >> 16 != VERSION_1:
        raise UnreadableError("a message that is not strict binary")
    return MessageHeader(reader.read_string(), first_word & 0xFF, reader.read_int32())


def read_arguments(reader: Reader, types: Mapping[int, int]) -> dict[int, object]:
    """Read the arguments of a call by field number.

    Args:
        reader: Stands behind the header of the message.
        types: The type of each argument by field number; other fields are skipped.

    Raises:
        InvalidCallError: An argument has another type.
        UnreadableError: The frame cannot be read.
    """
    arguments: dict[int, object] = {}
    mistyped = None
    for field_type, number in reader.read_fields():
        if types.get(number) != field_type:
            reader.skip(field_type)
            if number in types:
                mistyped = mistyped or number
        elif field_type == MAP:
            arguments[number] = reader.read_string_map()
        elif field_type == STRING:
            arguments[number] = reader.read_string()
        elif field_type == I32:
            arguments[number] = reader.read_int32()
    if mistyped is not None:
        raise InvalidCallError(PROTOCOL_ERROR, f"argument {mistyped}: wrong type")
    return arguments


def encode_string(value: bytes) -> bytes:
    """Encode a string without its field header."""
    return INT32.pack(len(value)) + value


def encode_string_map(fields: Mapping[bytes, bytes]) -> bytes:
    """Encode a map of strings without its field header."""
    entries = [encode_string(part) for pair in fields.items() for part in pair]
    return b"".join((bytes((STRING, STRING)), INT32.pack(len(fields)), *entries))


def encode_message(method: bytes, message_type: int, sequence_number: int, *body: bytes) -> bytes:
    """Encode a message with its frame; `body` are the pieces of its struct, STOP included."""
    header = b"".join(
        (
            INT32.pack((VERSION_1 << 16 | message_type) - (1 << 32)),
            encode_string(method),
            INT32.pack(sequence_number),
        )
    )
    return b"".join((INT32.pack(len(header) + sum(map(len, body))), header, *body))


def encode_reply(
    method: bytes, sequence_number: int, body: bytes, fields: Mapping[bytes, bytes], *, is_well: bool
) -> bytes:
    """Encode a result of the type that all methods of the router return.

    Args:
        method: Of the call.
        sequence_number: Of the call.
        body: Field 1 of the result.
        fields: Field 2 of the result.
        is_well: Field 3 of the result.
    """
    return encode_message(
        method,
        REPLY,
        sequence_number,
        FIELD_HEADER.pack(STRUCT, 0),
        FIELD_HEADER.pack(STRING, 1),
        INT32.pack(len(body)),
        body,
        FIELD_HEADER.pack(MAP, 2),
        encode_string_map(fields),
        FIELD_HEADER.pack(BOOL, 3),
        bytes((is_well, STOP, STOP)),
    )


def encode_declared_exception(
    method: bytes, sequence_number: int, place: int, fields: Mapping[bytes, bytes]
) -> bytes:
    """Encode one of the exceptions that a method declares, by its place in the method's result."""
    return encode_message(
        method,
        REPLY,
        sequence_number,
        FIELD_HEADER.pack(STRUCT, place),
        FIELD_HEADER.pack(MAP, 1),
        encode_string_map(fields),
        bytes((STOP, STOP)),
    )


def encode_exception(method: bytes, sequence_number: int, code: int, reason: str) -> bytes:
    """Encode a TApplicationException."""
    return encode_message(
        method,
        EXCEPTION,
        sequence_number,
        FIELD_HEADER.pack(STRING, 1),
        encode_string(reason.encode()),
        FIELD_HEADER.pack(I32, 2),
        INT32.pack(code),
        bytes((STOP,)),
    )
