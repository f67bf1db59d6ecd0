"""Validates the fields of a client's `serve` call before the request is processed. No I/O.

A field that a cache server cannot read makes it close the connection, which ends all attempts on it. So all
fields are checked here. Only this module and `brookhinge/net/client_protocol.py` know the wire names of the
client protocol.
"""

import re
from collections.abc import Callable, Mapping
from typing import NamedTuple

from brookhinge.engine.events import RequestReceived
from brookhinge.net import thrift
from brookhinge.net.client_protocol import BODY_ARGUMENT, FIELDS_ARGUMENT, Call
from brookhinge.net.errors import InvalidCallError

MAX_BODY_BYTES = 240_000
MAX_PURGE_GROUP = 255
TIMEOUT_SLACK_S = 0.001  # clients send timeouts in whole milliseconds

_is_hex_id = re.compile(rb"[0-9a-f]{16}").fullmatch
_is_token = re.compile(rb"[\w.:-]{1,80}").fullmatch
_is_integer = re.compile(rb"[0-9]{1,9}").fullmatch
_is_decimal = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?").fullmatch

# Field names on the wire.
REQUEST_CLASS = b"service"
REQUEST_ID = b"ref"
TIMEOUT_MS = b"allow"
OBJECT_KEY = b"lookup"
PART = b"piece"
PURGE_GROUP = b"lot"
SIZE_KB = b"room"
KNOWN_VERSION = b"ver"
IDEMPOTENCY_KEY = b"replay"


class FieldRule(NamedTuple):
    """The format that a field must have."""

    name: bytes
    is_valid: Callable[[bytes], object]
    is_required: bool


FIELD_RULES = (
    FieldRule(REQUEST_CLASS, _is_token, True),
    FieldRule(REQUEST_ID, _is_hex_id, True),
    FieldRule(TIMEOUT_MS, _is_integer, True),
    FieldRule(OBJECT_KEY, _is_hex_id, True),
    FieldRule(PART, _is_integer, True),
    FieldRule(PURGE_GROUP, _is_integer, False),
    FieldRule(SIZE_KB, _is_decimal, False),
    FieldRule(KNOWN_VERSION, _is_token, False),
    FieldRule(IDEMPOTENCY_KEY, _is_token, False),
)


def read_request(
    client: int, call: Call, received_at: float, max_timeout_s: Mapping[bytes, float]
) -> RequestReceived:
    """Validate and parse a `serve` call.

    Fields that routing decisions need are parsed, the others are passed on as the bytes received.

    Args:
        client: Connection id of the client.
        call: The call.
        received_at: Time at which it was received.
        max_timeout_s: Maximum request timeout by request class.

    Raises:
        InvalidCallError: A field is missing or invalid; the message names it.
    """
    fields = call.arguments.get(FIELDS_ARGUMENT, {})
    body = call.arguments.get(BODY_ARGUMENT, b"")
    check_fields(fields)
    request_class = fields[REQUEST_CLASS]
    max_class_timeout_s = max_timeout_s.get(request_class)
    if max_class_timeout_s is None:
        raise invalid_field("service: no such class")
    purge_group = int(fields.get(PURGE_GROUP, 0))
    timeout_s = int(fields[TIMEOUT_MS]) / 1000.0
    size_kb = float(fields.get(SIZE_KB, 0.0))
    if purge_group > MAX_PURGE_GROUP:
        raise invalid_field("lot: out of range")
    if not 0.0 < timeout_s <= max_class_timeout_s + TIMEOUT_SLACK_S:
        raise invalid_field("allow: out of range")
    if not size_kb and SIZE_KB in fields:
        raise invalid_field("room: out of range")
    if len(body) > MAX_BODY_BYTES:
        raise invalid_field("body: out of range")
    return RequestReceived(
        client=client,
        number=call.sequence_number,
        client_request_id=fields[REQUEST_ID],
        class_name=request_class,
        object_key=fields[OBJECT_KEY],
        part=fields[PART],
        part_number=int(fields[PART]),
        purge_group=purge_group,
        size_kb=size_kb,
        timeout_s=timeout_s,
        known_version=fields.get(KNOWN_VERSION),
        body=body,
        received_at=received_at,
        idempotency_key=fields.get(IDEMPOTENCY_KEY),
    )


def check_fields(fields: Mapping[bytes, bytes]) -> None:
    """Check the format of each field.

    Raises:
        InvalidCallError: A field is missing or malformed; the message names it.
    """
    for name, is_valid, is_required in FIELD_RULES:
        value = fields.get(name)
        is_invalid = is_required if value is None else not is_valid(value)
        if is_invalid:
            raise invalid_field(f"{name.decode()}: missing or unusable")


def invalid_field(reason: str) -> InvalidCallError:
    """Return the protocol error for a call with an invalid field."""
    return InvalidCallError(thrift.PROTOCOL_ERROR, reason)
