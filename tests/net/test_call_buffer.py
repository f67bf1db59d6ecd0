"""Received bytes of a client, split into calls one at a time, of which large ones may be given up early."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brookhinge.net import client_protocol, thrift
from brookhinge.net.call_buffer import HEADER_BYTES, MAX_WHOLE_BYTES, MAX_WHOLE_CALLS, CallBuffer


def serve(number, body=b""):
    arguments = thrift.FIELD_HEADER.pack(thrift.STRING, 2) + thrift.encode_string(body)
    return thrift.encode_message(b"serve", thrift.CALL, number, arguments, bytes((thrift.STOP,)))


def take_all(buffer):
    frames = []
    while (frame := buffer.take()) is not None:
        frames.append(frame)
    return frames


def number_of(frame):
    return thrift.read_message_header(thrift.Reader(frame)).sequence_number


@given(sizes=st.lists(st.integers(0, 3000), max_size=90), cut=st.integers(1, 5000), early=st.booleans())
def test_calls_come_out_as_they_were_sent_however_the_bytes_arrive(sizes, cut, early):
    calls = [serve(number, b"x" * size) for number, size in enumerate(sizes, 1)]
    data = b"".join(calls)
    buffer, frames = CallBuffer(), []
    for start in range(0, len(data), cut):
        assert buffer.add(memoryview(data)[start : start + cut], float(start)) is None
        if early:
            frames += take_all(buffer)
    frames += take_all(buffer)
    assert frames == [call[4:] for call in calls]
    assert (len(buffer), buffer.whole_calls, buffer.has_partial_call, buffer.error) == (0, 0, False, None)


@given(
    before=st.integers(0, 70),
    size=st.integers(HEADER_BYTES, 20_000),
    arrived=st.floats(0.02, 0.999),
    cut=st.integers(1, 7000),
)
def test_call_given_up_before_it_is_whole_takes_no_other_with_it(before, size, arrived, cut):
    """Calls before and after it come out, and its header once its last byte has arrived; it is not held."""
    first = b"".join(serve(number) for number in range(1, before + 1))
    large = serve(500, b"x" * size)
    last = serve(501, b"end")
    at = len(first) + max(4 + HEADER_BYTES, int(arrived * len(large)))
    data = first + large + last
    buffer, frames, headers = CallBuffer(), [], []
    buffer.add(memoryview(data)[:at], 1.0)
    frames += take_all(buffer)
    if buffer.drop_partial():
        assert len(buffer) == 0 and buffer.has_partial_call
    for start in range(at, len(data), cut):
        header = buffer.add(memoryview(data)[start : start + cut], 2.0)
        headers += [header] if header is not None else []
        frames += take_all(buffer)
    numbers = [number_of(frame) for frame in frames] + [client_protocol.rejectable_number(h) for h in headers]
    assert sorted(numbers) == [*range(1, before + 1), 500, 501]
    assert not buffer.has_partial_call and buffer.error is None


# Calls that waited were split at once: 3,000 of 5 bytes took a hundred times their bytes.
def test_many_short_calls_are_held_as_they_came_and_reading_pauses():
    buffer = CallBuffer()
    data = serve(1) * (MAX_WHOLE_CALLS + 10)
    buffer.add(memoryview(data), 0.0)
    assert buffer.is_full and len(buffer) == len(data)
    assert len(take_all(buffer)) == MAX_WHOLE_CALLS + 10 and not buffer.is_full


def test_whole_large_call_pauses_reading_until_it_is_taken():
    buffer = CallBuffer()
    buffer.add(memoryview(serve(1, b"x" * MAX_WHOLE_BYTES)), 0.0)
    assert buffer.is_full
    assert client_protocol.rejectable_number(buffer.drop_first()) == 1
    assert len(buffer) == 0 and not buffer.is_full


@pytest.mark.parametrize("size", [-1, 0, 11, thrift.MAX_FRAME_BYTES + 1, 2**31 - 1])
def test_length_out_of_range_is_an_error_after_the_calls_before_it(size):
    buffer = CallBuffer()
    buffer.add(memoryview(serve(1) + thrift.INT32.pack(size) + b"rest"), 0.0)
    assert buffer.error == f"frame length {size} is out of range"
    assert [number_of(frame) for frame in take_all(buffer)] == [1]
    buffer.add(memoryview(b"more"), 0.0)
    assert len(buffer) == 0


def test_time_of_a_call_is_never_later_than_its_arrival():
    """It may be earlier by the time that calls before it have waited; later, a deadline would be too long."""
    buffer, call = CallBuffer(), serve(1)
    times = []
    for at in range(1, 6):
        buffer.add(memoryview(call), float(at))
        if at % 2:
            times.append((buffer.received_at, buffer.take() and at))
    while buffer.whole_calls:
        times.append((buffer.received_at, buffer.take() and 5))
    assert [received for received, _ in times] == sorted(received for received, _ in times)
    assert all(received <= arrival for received, arrival in times)
