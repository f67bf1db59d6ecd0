"""Thrift encoding of the client protocol: framed transport, strict binary protocol. No I/O."""

import struct
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from brookhinge.net.errors import InvalidCallError, UnreadableError

MAX_FRAME_BYTES = 256 * 1024
MAX_METHOD_BYTES = 256  # replies repeat the name of the method
MAX_DEPTH = 8  # nesting of values inside an argument that is skipped
MAX_VALUES = 256  # per message, in maps and in arguments that are skipped; no call of the protocol has 64
TRUNCATED = "frame is truncated"
VERSION_1 = 0x8001  # upper 16 bits of the first word of a strict message

# Message types.
CALL = 1
REPLY = 2
EXCEPTION = 3
ONEWAY = 4

# Error codes of TApplicationException.
UNKNOWN_METHOD = 1
WRONG_MESSAGE_TYPE = 2
PROTOCOL_ERROR = 7

# Value types.
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
FIELD_HEADER = struct.Struct(">Bh")  # field type, field number


class MessageHeader(NamedTuple):
    """The header of every message."""

    method: bytes
    message_type: int
    sequence_number: int


class FrameSplitter:
    """Splits a byte stream, fed in chunks of any size, into frames.

    Attributes:
        buffered: Bytes of an incomplete frame.
        error: Why the stream cannot be read any further, or None.
    """

    def __init__(self) -> None:
        self.buffered = bytearray()
        self.error: str | None = None

    def feed(self, data: bytes) -> list[bytes]:
        """Add `data` and return the frames that are complete now, without their length prefixes."""
        if self.error:
            return []
        self.buffered += data
        position = 0
        frames = []
        while len(self.buffered) - position >= INT32.size:
            (size,) = INT32.unpack_from(self.buffered, position)
            if not 0 < size <= MAX_FRAME_BYTES:
                self.error = f"frame length {size} is out of range"
                self.buffered = bytearray()
                return frames
            start = position + INT32.size
            end = start + size
            if len(self.buffered) < end:
                break
            frames.append(bytes(self.buffered[start:end]))
            position = end
        del self.buffered[:position]
        return frames


class Reader:
    """Reads the values of one frame in order.

    The work for one frame is bounded by the number of its values, whatever its size.

    Attributes:
        frame: The bytes of the frame.
        position: Index of the next byte to read.
    """

    def __init__(self, frame: bytes) -> None:
        self.frame = frame
        self.position = 0
        self._remaining_values = MAX_VALUES

    def _count_values(self, count: int) -> None:
        """Count values before they are read.

        Raises:
            InvalidCallError: The message has more than MAX_VALUES.
        """
        self._remaining_values -= count
        if self._remaining_values < 0:
            raise InvalidCallError(PROTOCOL_ERROR, f"message has more than {MAX_VALUES} values")

    def read_bytes(self, count: int) -> bytes:
        """Read `count` bytes.

        Raises:
            UnreadableError: The frame has fewer bytes left.
        """
        start = self.position
        self.position = start + count
        if count < 0 or self.position > len(self.frame):
            raise UnreadableError(TRUNCATED)
        return self.frame[start : self.position]

    def read_int32(self) -> int:
        """Read a signed 32-bit integer."""
        start = self.position
        self.position = start + INT32.size
        if self.position > len(self.frame):
            raise UnreadableError(TRUNCATED)
        return INT32.unpack_from(self.frame, start)[0]

    def read_string(self) -> bytes:
        """Read a string, as bytes.

        Raises:
            UnreadableError: The frame ends before the end of the string.
        """
        frame = self.frame
        start = self.position + INT32.size
        if start > len(frame):
            raise UnreadableError(TRUNCATED)
        (count,) = INT32.unpack_from(frame, self.position)
        end = start + count
        if count < 0 or end > len(frame):
            raise UnreadableError(TRUNCATED)
        self.position = end
        return frame[start:end]

    def skip(self, value_type: int, depth: int = 0) -> None:
        """Skip a value of any type.

        Raises:
            InvalidCallError: The message has too many values.
            UnreadableError: The type is unknown, or the value is nested too deeply.
        """
        if depth > MAX_DEPTH:
            raise UnreadableError("values are nested too deeply")
        self._count_values(1)
        if value_type in SIZES:
            self.read_bytes(SIZES[value_type])
        elif value_type == STRING:
            self.read_string()
        elif value_type == STRUCT:
            for field_type, _ in self.read_fields():
                self.skip(field_type, depth + 1)
        elif value_type in (MAP, SET, LIST):
            entry_types = self.read_bytes(2 if value_type == MAP else 1)
            for _ in range(self.read_count()):
                for entry_type in entry_types:
                    self.skip(entry_type, depth + 1)
        else:
            raise UnreadableError(f"value has unknown type {value_type}")

    def read_count(self) -> int:
        """Read the number of entries of a container.

        Raises:
            UnreadableError: The number is negative or larger than the frame allows.
        """
        count = self.read_int32()
        if not 0 <= count <= len(self.frame):  # each entry takes at least one byte
            raise UnreadableError(f"entry count {count} is out of range")
        return count

    def read_fields(self) -> Iterator[tuple[int, int]]:
        """Yield the type and number of each field of a struct; the caller must read or skip the value.

        Raises:
            InvalidCallError: The message has too many values.
        """
        while True:
            field_type = self.read_bytes(1)[0]
            if field_type == STOP:
                return
            self._count_values(1)
            yield field_type, INT16.unpack(self.read_bytes(INT16.size))[0]

    def read_string_map(self) -> dict[bytes, bytes]:
        """Read a map from strings to strings.

        Raises:
            InvalidCallError: The keys or values have another type, or there are too many.
        """
        key_type, value_type = self.read_bytes(2)
        count = self.read_count()
        self._count_values(2 * count)
        if count and (key_type, value_type) != (STRING, STRING):
            raise InvalidCallError(PROTOCOL_ERROR, "fields: expected a map of strings")
        return {self.read_string(): self.read_string() for _ in range(count)}


def is_message_of(frame: bytes, method: bytes) -> bool:
    """Return whether a frame starts like a message of `method`; the rest of it is not checked."""
    return frame[4:8] == INT32.pack(len(method)) and frame[8 : 8 + len(method)] == method


def read_message_header(reader: Reader) -> MessageHeader:
    """Read the header of a message.

    Raises:
        UnreadableError: The message is truncated, not in the strict binary protocol, or its method's name is
            too long.
    """
    first_word = reader.read_int32() & 0xFFFFFFFF
    if first_word >> 16 != VERSION_1:
        raise UnreadableError("message is not strict binary protocol")
    method = reader.read_string()
    if len(method) > MAX_METHOD_BYTES:
        raise UnreadableError(f"method name has more than {MAX_METHOD_BYTES} bytes")
    return MessageHeader(method, first_word & 0xFF, reader.read_int32())


def read_arguments(reader: Reader, types: Mapping[int, int]) -> dict[int, object]:
    """Read the arguments of a call by field number.

    Args:
        reader: Reader positioned after the message header.
        types: The expected type of each argument by field number; other fields are skipped.

    Raises:
        InvalidCallError: An argument has the wrong type, or the call has too many values.
        UnreadableError: The frame cannot be decoded.
    """
    arguments: dict[int, object] = {}
    mistyped_argument = None
    for field_type, number in reader.read_fields():
        if types.get(number) != field_type:
            reader.skip(field_type)
            if number in types:
                mistyped_argument = mistyped_argument or number
        elif field_type == MAP:
            arguments[number] = reader.read_string_map()
        elif field_type == STRING:
            arguments[number] = reader.read_string()
        elif field_type == I32:
            arguments[number] = reader.read_int32()
    if mistyped_argument is not None:
        raise InvalidCallError(PROTOCOL_ERROR, f"argument {mistyped_argument}: wrong type")
    return arguments


def encode_string(value: bytes) -> bytes:
    """Encode a string without its field header."""
    return INT32.pack(len(value)) + value


def encode_string_map(fields: Mapping[bytes, bytes]) -> bytes:
    """Encode a map of strings without its field header."""
    entries = [encode_string(part) for pair in fields.items() for part in pair]
    return b"".join((bytes((STRING, STRING)), INT32.pack(len(fields)), *entries))


def encode_message(method: bytes, message_type: int, sequence_number: int, *body: bytes) -> bytes:
    """Encode a message with its frame length; `body` is the encoded struct in parts, including the STOP."""
    header = b"".join(
        (
            INT32.pack((VERSION_1 << 16 | message_type) - (1 << 32)),
            encode_string(method),
            INT32.pack(sequence_number),
        )
    )
    return b"".join((INT32.pack(len(header) + sum(map(len, body))), header, *body))


def encode_reply(
    method: bytes, sequence_number: int, body: bytes, fields: Mapping[bytes, bytes], *, is_healthy: bool
) -> bytes:
    """Encode a result of the struct type that all methods of the router return.

    Args:
        method: Method of the call.
        sequence_number: Sequence number of the call.
        body: Field 1 of the result struct.
        fields: Field 2 of the result struct.
        is_healthy: Field 3 of the result struct.
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
        bytes((is_healthy, STOP, STOP)),
    )


def encode_declared_exception(
    method: bytes, sequence_number: int, field_number: int, fields: Mapping[bytes, bytes]
) -> bytes:
    """Encode a declared exception of a method, by its field number in the result of the method."""
    return encode_message(
        method,
        REPLY,
        sequence_number,
        FIELD_HEADER.pack(STRUCT, field_number),
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
