"""The work that one call can ask for is bounded by a number of values, not by its bytes."""

import struct

import pytest

from brookhinge.net import client_protocol, thrift
from brookhinge.net.errors import RefusedCallError, UnreadableError

MAX_SIZE = thrift.MAX_FRAME_BYTES


def call(method, arguments):
    return thrift.encode_message(method, thrift.CALL, 5, arguments + bytes((thrift.STOP,)))[4:]


def header(value_type, number):
    return thrift.FIELD_HEADER.pack(value_type, number)


def fields(count):
    pairs = b"".join(thrift.encode_string(b"%05d" % i) * 2 for i in range(count))
    return header(thrift.MAP, 1) + struct.pack(">BBi", thrift.STRING, thrift.STRING, count) + pairs


LONG_CALLS = {
    "map of fields": fields(13_000),
    "argument again and again": (header(thrift.STRING, 2) + thrift.encode_string(b"")) * 30_000,
    "list in an unknown argument": header(thrift.LIST, 9)
    + struct.pack(">Bi", thrift.BYTE, 250_000)
    + bytes(250_000),
    "lists in a list": header(thrift.LIST, 9)
    + struct.pack(">Bi", thrift.LIST, 40_000)
    + struct.pack(">Bi", thrift.BYTE, 0) * 40_000,
    "fields of a struct": header(thrift.STRUCT, 9) + (header(thrift.BOOL, 1) + b"\1") * 60_000 + b"\0",
}


class CountingReader(thrift.Reader):
    """Counts the steps of a decoding."""

    steps = 0

    def read_bytes(self, count):
        CountingReader.steps += 1
        return super().read_bytes(count)

    def read_string(self):
        CountingReader.steps += 1
        return super().read_string()


# One call of 250 KB kept the event loop busy for tens of milliseconds, those of forty clients for seconds.
@pytest.mark.parametrize("arguments", LONG_CALLS.values(), ids=LONG_CALLS.keys())
def test_call_with_very_many_values_is_refused_after_a_bounded_number_of_steps(monkeypatch, arguments):
    monkeypatch.setattr(thrift, "Reader", CountingReader)
    CountingReader.steps = 0
    with pytest.raises(RefusedCallError) as error:
        client_protocol.read_call(call(b"serve", arguments))
    assert b"more than" in error.value.reply
    assert CountingReader.steps <= 4 * thrift.MAX_VALUES


def test_call_with_as_many_fields_as_the_bound_allows_is_read():
    count = thrift.MAX_VALUES // 2 - 2
    decoded = client_protocol.read_call(call(b"serve", fields(count)))
    assert len(decoded.arguments[1]) == count


# A reply repeats the name of the method: a name of 250 KB was written back whole, once for each call.
def test_method_name_of_very_many_bytes_is_unreadable():
    with pytest.raises(UnreadableError, match="method name"):
        client_protocol.read_call(call(b"m" * (thrift.MAX_METHOD_BYTES + 1), b""))
