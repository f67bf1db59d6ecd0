"""Decodes the calls and encodes the replies of the client protocol. No I/O.

The Thrift encoding is in `brookhinge/net/thrift.py`, the fields of a request are checked in
`brookhinge/net/request_validation.py`.
"""

from __future__ import annotations

from typing import NamedTuple

from brookhinge.net import thrift
from brookhinge.net.errors import InvalidCallError, RefusedCallError, UnreadableError

SERVE = b"serve"
CANCEL = b"forget"
HEALTH_CHECK = b"isWell"

FIELDS_ARGUMENT = 1
BODY_ARGUMENT = 2
CANCELLED_ARGUMENT = 1
ARGUMENT_TYPES = {
    SERVE: {FIELDS_ARGUMENT: thrift.MAP, BODY_ARGUMENT: thrift.STRING},
    CANCEL: {CANCELLED_ARGUMENT: thrift.I32},
    HEALTH_CHECK: {},
}

# Field numbers of the declared exceptions in the result of `serve`.
REJECTED = 1
FAILED = 2

# Field names in replies, as sent on the wire.
UNCHANGED = b"unchanged"
RETRY_AFTER_MS = b"cooldown"


class Call(NamedTuple):
    """A call from a client, with its arguments by field number."""

    method: bytes
    sequence_number: int
    arguments: dict[int, object]


def read_call(frame: bytes) -> Call:
    """Decode a call from a client.

    Raises:
        RefusedCallError: The method is unknown, or the message or an argument has the wrong type.
        UnreadableError: The frame cannot be decoded, or the message is invalid and expects no reply.
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
        raise UnreadableError("frame has bytes after the end of its message")
    return Call(method, sequence_number, arguments)


def rejectable_number(header: bytes) -> int:
    """Return the sequence number of a `serve` call, of which only the first bytes are known.

    Raises:
        UnreadableError: It is another call; no other may be so large that it is given up.
    """
    method, message_type, sequence_number = thrift.read_message_header(thrift.Reader(header))
    if method != SERVE or message_type != thrift.CALL:
        raise UnreadableError(f"large call of another method than {SERVE.decode()}")
    return sequence_number


def is_cancel(frame: bytes) -> bool:
    """Return whether a frame starts like a cancel; the rest of it is not checked."""
    return thrift.is_message_of(frame, CANCEL)


def cancelled_number(frame: bytes) -> int | None:
    """Return the sequence number of the request that a cancel refers to, or None if it is unreadable."""
    try:
        return read_call(frame).arguments.get(CANCELLED_ARGUMENT)
    except (UnreadableError, RefusedCallError):
        return None


def response(sequence_number: int, body: bytes, *, is_unchanged: bool) -> bytes:
    """Encode the response to a successful request.

    Args:
        sequence_number: Sequence number of the request.
        body: The object's bytes; empty if it is unchanged.
        is_unchanged: Whether the version that the client has is still current.
    """
    fields = {UNCHANGED: b"1"} if is_unchanged else {}
    return thrift.encode_reply(SERVE, sequence_number, body, fields, is_healthy=True)


def rejection(sequence_number: int, retry_after_s: float) -> bytes:
    """Encode the rejection of a request that was not executed; 0 sends no retry delay."""
    fields = {RETRY_AFTER_MS: b"%d" % int(retry_after_s * 1000)} if retry_after_s > 0 else {}
    return thrift.encode_declared_exception(SERVE, sequence_number, REJECTED, fields)


def failure(sequence_number: int) -> bytes:
    """Encode the failure of a request."""
    return thrift.encode_declared_exception(SERVE, sequence_number, FAILED, {})


def invalid_request(sequence_number: int, reason: str) -> bytes:
    """Encode a protocol error in the fields of a request."""
    return thrift.encode_exception(SERVE, sequence_number, thrift.PROTOCOL_ERROR, reason)


def invalid_call(method: bytes, sequence_number: int, error: InvalidCallError) -> bytes:
    """Encode the exception that answers an invalid call."""
    return thrift.encode_exception(method, sequence_number, error.code, str(error))


def health(sequence_number: int, *, is_healthy: bool) -> bytes:
    """Encode the response to a health check."""
    return thrift.encode_reply(HEALTH_CHECK, sequence_number, b"", {}, is_healthy=is_healthy)
