"""The methods of the clients' protocol: names on the wire, calls and replies. No I/O.

The bytes of Thrift itself are in `brookhinge/net/thrift.py`, the fields of a request in
`brookhinge/net/request_validation.py`.
"""

from __future__ import annotations

from typing import NamedTuple

from brookhinge.net import thrift
from brookhinge.net.errors import InvalidCallError, RefusedCallError, UnreadableError

SERVE = b"serve"
CANCEL = b"forget"
IS_WELL = b"isWell"

FIELDS_ARGUMENT = 1
BODY_ARGUMENT = 2
CANCELLED_ARGUMENT = 1
ARGUMENT_TYPES = {
    SERVE: {FIELDS_ARGUMENT: thrift.MAP, BODY_ARGUMENT: thrift.STRING},
    CANCEL: {CANCELLED_ARGUMENT: thrift.I32},
    IS_WELL: {},
}

# Places of the declared exceptions of `serve` in its result.
REJECTED = 1
FAILED = 2

# Names of fields in replies.
UNCHANGED = b"unchanged"
RETRY_AFTER_MS = b"cooldown"


class Call(NamedTuple):
    """A message of a client, its arguments by field number."""

    method: bytes
    sequence_number: int
    arguments: dict[int, object]


def read_call(frame: bytes) -> Call:
    """Read a message of a client.

    Raises:
        RefusedCallError: The method is unknown, or an argument has another type.
        UnreadableError: The frame cannot be read, or nothing can be replied.
    """
    reader = thrift.Reader(frame)
    method, message_type, sequence_number = thrift.read_message_header(reader)
    try:
        if message_type != (thrift.ONEWAY if method == CANCEL else thrift.CALL):
            raise InvalidCallError(thrift.WRONG_MESSAGE_TYPE, "expected another kind of message")
        types = ARGUMENT_TYPES.get(method)
        if types is None:
            raise InvalidCallError(thrift.UNKNOWN_METHOD, f"no method {method[:80].decode('latin-1')}")
        arguments = thrift.read_arguments(reader, types)
    except InvalidCallError as error:
        if message_type == thrift.ONEWAY:
            raise UnreadableError(str(error)) from None
        raise RefusedCallError(invalid_call(method, sequence_number, error)) from None
    if reader.position != len(frame):
        raise UnreadableError("a frame that goes on after its message")
    return Call(method, sequence_number, arguments)


def serve_number(frame: bytes) -> int | None:
    """Return the sequence number of a call of `serve`, or None for any other frame."""
    if not thrift.is_message_of(frame, SERVE):
        return None
    try:
        return thrift.read_message_header(thrift.Reader(frame)).sequence_number
    except UnreadableError:
        return None


def is_cancel(frame: bytes) -> bool:
    """Return whether a frame begins as a cancel; its rest is not checked."""
    return thrift.is_message_of(frame, CANCEL)


def cancelled_number(frame: bytes) -> int | None:
    """Return the sequence number that a cancel names, or None where it cannot be read."""
    try:
        return read_call(frame).arguments.get(CANCELLED_ARGUMENT)
    except (UnreadableError, RefusedCallError):
        return None


def response(sequence_number: int, body: bytes, *, is_unchanged: bool) -> bytes:
    """Encode the answer to a request that succeeded.

    Args:
        sequence_number: Of the request.
        body: The object's bytes, none if it is unchanged.
        is_unchanged: Whether the copy that the client named is still the one.
    """
    fields = {UNCHANGED: b"1"} if is_unchanged else {}
    return thrift.encode_reply(SERVE, sequence_number, body, fields, is_well=True)


def rejection(sequence_number: int, retry_after_s: float) -> bytes:
    """Encode that a request was not carried out and may be sent again; 0 gives no advice when."""
    fields = {RETRY_AFTER_MS: b"%d" % int(retry_after_s * 1000)} if retry_after_s > 0 else {}
    return thrift.encode_declared_exception(SERVE, sequence_number, REJECTED, fields)


def failure(sequence_number: int) -> bytes:
    """Encode that a request failed."""
    return thrift.encode_declared_exception(SERVE, sequence_number, FAILED, {})


def invalid_request(sequence_number: int, reason: str) -> bytes:
    """Encode that a request broke the protocol."""
    return thrift.encode_exception(SERVE, sequence_number, thrift.PROTOCOL_ERROR, reason)


def invalid_call(method: bytes, sequence_number: int, error: InvalidCallError) -> bytes:
    """Encode that a call cannot be carried out."""
    return thrift.encode_exception(method, sequence_number, error.code, str(error))


def health(sequence_number: int, *, is_well: bool) -> bytes:
    """Encode the answer to a health check."""
    return thrift.encode_reply(IS_WELL, sequence_number, b"", {}, is_well=is_well)
