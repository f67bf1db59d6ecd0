"""Parsers and encoders of all protocols: input in chunks of any size, malformed input, encoded output."""

import pytest

from brookhinge.engine import commands
from brookhinge.engine.effects import SendAttempt
from brookhinge.engine.endpoints import ServerInstance
from brookhinge.net import cachewire, http, thrift
from brookhinge.net.errors import InvalidCallError, UnreadableError

SERVE_CALL = (
    bytes.fromhex("80010001 00000005")
    + b"serve"
    + bytes.fromhex("00000007 0d0001 0b0b 00000001 00000003")
    + b"ref"
    + bytes.fromhex("00000002")
    + b"9b"
    + bytes.fromhex("0b0002 00000002")
    + b"hi"
    + bytes.fromhex("08000900000001 00")
)


def split_into_chunks(data, size):
    return [data[i : i + size] for i in range(0, len(data), size)]


@pytest.mark.parametrize("size", [1, 3, 1000])
def test_frames_are_split_from_chunks_of_any_size(size):
    splitter, wire = thrift.FrameSplitter(), (thrift.INT32.pack(len(SERVE_CALL)) + SERVE_CALL) * 2
    assert [frame for chunk in split_into_chunks(wire, size) for frame in splitter.feed(chunk)] == [
        SERVE_CALL,
        SERVE_CALL,
    ]
    assert len(splitter.buffered) == 0


def test_call_arguments_are_read_and_unknown_fields_are_skipped():
    reader = thrift.Reader(SERVE_CALL)
    assert thrift.read_message_header(reader) == (b"serve", 1, 7)
    assert thrift.read_arguments(reader, {1: thrift.MAP, 2: thrift.STRING}) == {1: {b"ref": b"9b"}, 2: b"hi"}


@pytest.mark.parametrize(
    "frame, message",
    [
        (b"\0\0\0\x05serve\x01\0\0\0\x07", "not strict binary"),
        (SERVE_CALL[:30], "truncated"),
        (SERVE_CALL.replace(bytes.fromhex("00000003"), bytes.fromhex("7fffffff"), 1), "truncated"),
        (SERVE_CALL.replace(bytes.fromhex("08000900000001 00"), bytes.fromhex("05000900")), "unknown type 5"),
        (
            SERVE_CALL.replace(bytes.fromhex("08000900000001 00"), bytes.fromhex("0c0009") * 12),
            "nested too deeply",
        ),
        (
            SERVE_CALL.replace(bytes.fromhex("00000001 00000003"), bytes.fromhex("ffffffff 00000003")),
            "entry count -1 is out of range",
        ),
    ],
)
def test_malformed_frame_raises_unreadable_error(frame, message):
    with pytest.raises(UnreadableError) as error:
        reader = thrift.Reader(frame)
        thrift.read_message_header(reader)
        thrift.read_arguments(reader, {1: thrift.MAP, 2: thrift.STRING})
    assert message in str(error.value)


def test_argument_of_wrong_type_raises_invalid_call_error():
    reader = thrift.Reader(SERVE_CALL)
    thrift.read_message_header(reader)
    with pytest.raises(InvalidCallError) as error:
        thrift.read_arguments(reader, {1: thrift.STRING, 2: thrift.STRING})
    assert str(error.value) == "argument 1: wrong type"


@pytest.mark.parametrize("size", [b"\0\0\0\0", b"\xff\xff\xff\xff", b"\0\x08\0\x01"])
def test_frame_length_out_of_range_stops_the_stream(size):
    """Complete frames before it are returned, later data is ignored, and nothing stays buffered."""
    splitter, framed = thrift.FrameSplitter(), thrift.INT32.pack(len(SERVE_CALL)) + SERVE_CALL
    assert splitter.feed(framed + size + framed) == [SERVE_CALL]
    assert splitter.error == f"frame length {thrift.INT32.unpack(size)[0]} is out of range"
    assert splitter.feed(framed) == [] and not splitter.buffered


def test_replies_to_clients_are_encoded():
    assert thrift.encode_reply(b"serve", 7, b"hi", {b"unchanged": b"1"}, is_healthy=True).hex() == (
        "0000003e"
        "80010002"
        "00000005" + b"serve".hex() + "00000007"
        "0c0000"
        "0b0001"
        "00000002" + b"hi".hex() + "0d0002"
        "0b0b"
        "00000001"
        "00000009" + b"unchanged".hex() + "00000001" + b"1".hex() + "020003"
        "01"
        "00"
        "00"
    )
    assert thrift.encode_declared_exception(
        b"serve", 7, 1, {}
    ).hex() == "0000001f8001000200000005" + b"serve".hex() + ("000000070c00010d00010b0b000000000000")
    assert thrift.encode_exception(b"x", 7, 1, "no").hex() == (
        "0000001e8001000300000001" + b"x".hex() + "000000070b000100000002" + b"no".hex() + "0800020000000100"
    )


RESPONSES = b"a1 data n=hit,l=util:0.5 5\r\nab\r\nc\r\na2 absent - 0\r\n\r\n"


@pytest.mark.parametrize("size", [1, 2, 7, 1000])
def test_cache_server_responses_are_split_from_chunks_of_any_size(size):
    splitter = cachewire.AnswerSplitter()
    assert [
        response for chunk in split_into_chunks(RESPONSES, size) for response in splitter.feed(chunk)
    ] == [
        (b"a1", b"data", {b"n": b"hit", b"l": b"util:0.5"}, b"ab\r\nc"),
        (b"a2", b"absent", {}, b""),
    ]


@pytest.mark.parametrize(
    "line",
    [
        b"a1 data -\r\n",
        b"a1 data - x\r\n",
        b"a1 data - -1\r\n",
        b"a1 data - 240001\r\n",
        b"a1 data - 2\r\nabcd",
        b"a" * 5000,
    ],
)
def test_malformed_cache_server_response_raises_unreadable_error(line):
    with pytest.raises(UnreadableError):
        cachewire.AnswerSplitter().feed(line)


def test_cache_server_results_and_load_are_read():
    read = cachewire.read_result
    assert read(
        b"data",
        {
            b"n": b"origin_failed",
            b"first": b"12",
            b"l": b"util:0.5;x0:1",
            b"dated": b"1500",
            b"digest": b"ab",
        },
        [b"x0", b"util", b"x1"],
    ) == ("satisfied", 10, 0.012, [1.0, 0.5, 0.0], 1.5, b"ab", None)
    assert [read(status, {}, [])[0] for status in (b"unchanged", b"absent", b"full", b"failed", b"moot")] == [
        "satisfied",
        "miss",
        "full",
        "errored",
        "moot",
    ]
    for status, fields in ((b"maybe", {}), (b"data", {b"first": b"soon"}), (b"data", {b"l": b"util:x"})):
        with pytest.raises(UnreadableError):
            read(status, fields, [b"util"])


PLAIN_ATTEMPT = SendAttempt(
    request_id=0,
    attempt=1,
    server=ServerInstance("s-21", ("127.0.0.1", 9), None),
    client_request_id=b"9b1f",
    class_name=b"page",
    object_key=b"7f3a",
    part=b"3",
    deadline=0.0,
    fill_from=None,
    retention=0,
    max_age_s=0.0,
    joins_fill=False,
    cached_only=False,
    revalidates=False,
    known_version=None,
    body=b"",
)


def test_requests_to_cache_servers_are_encoded():
    full_attempt = PLAIN_ATTEMPT._replace(
        part=b"03",
        fill_from="s-11",
        retention=2,
        max_age_s=0.5004,
        joins_fill=True,
        cached_only=True,
        revalidates=True,
        known_version=b"4be0",
        body=b"x",
    )
    assert cachewire.encode_pull(full_attempt, 1.2345) == (
        b"PULL 9b1f sort=page,asset=7f3a,slice=03,patience=1234,parent=s-11,shelf=2,accept=500,"
        b"hints=merge+local+revalidate,got=4be0 1\r\nx\r\n"
    )
    assert cachewire.encode_pull(PLAIN_ATTEMPT, 0.0) == (
        b"PULL 9b1f sort=page,asset=7f3a,slice=3,patience=1 0\r\n\r\n"
    )
    attempt_with_key = PLAIN_ATTEMPT._replace(class_name=b"order", idempotency_key=b"1ff975")
    assert b",patience=1,op=1ff975 0\r\n" in cachewire.encode_pull(attempt_with_key, 0.0)
    assert cachewire.encode_kill(b"9b1f") + cachewire.encode_echo(b"t") == b"KILL 9b1f\r\nECHO t\r\n"


OK_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize("size", [1, 4, 1000])
@pytest.mark.parametrize(
    "wire, keeps_alive",
    [
        (OK_STATUS_LINE + b"Content-Length: 5\r\n\r\n{...}", True),
        (OK_STATUS_LINE + b"Connection: close\r\ncontent-length:5\r\n\r\n{...}", False),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK_STATUS_LINE + b"Content-Length: 5\r\n\r\n{...}", True),
        (OK_STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n2;x=1\r\n{.\r\n3\r\n..}\r\n0\r\n\r\n", True),
    ],
)
def test_channel_response_is_parsed_from_chunks_of_any_size(wire, keeps_alive, size):
    parser = http.ResponseParser()
    assert [response for chunk in split_into_chunks(wire, size) if (response := parser.feed(chunk))] == [
        (200, b"{...}", keeps_alive)
    ]


def test_channel_response_without_a_length_ends_with_its_connection():
    parser = http.ResponseParser()
    assert parser.feed(OK_STATUS_LINE + b"\r\n{..") is None
    assert parser.end() == (200, b"{..", False)
    with pytest.raises(UnreadableError):
        http.ResponseParser().end()


@pytest.mark.parametrize(
    "wire",
    [
        b"what\r\n\r\n",
        OK_STATUS_LINE + b"no colon\r\n\r\n",
        OK_STATUS_LINE + b"Content-Length: x\r\n\r\n",
        OK_STATUS_LINE + b"Content-Length: 99999999\r\n\r\n",
        OK_STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
        OK_STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n",
        b"h" * 20000,
    ],
)
def test_malformed_channel_response_raises_unreadable_error(wire):
    with pytest.raises(UnreadableError):
        http.ResponseParser().feed(wire)


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"null", b"{}", b'{"cursor":"x","cmds":[]}', b'{"cursor":1,"cmds":{}}']
)
def test_malformed_commands_raise_command_format_error(body):
    with pytest.raises(commands.CommandFormatError):
        commands.read_commands(body, 0.0)


def test_poll_of_the_command_channel_is_encoded():
    assert http.encode_poll("h:1", 41, 2000) == (
        b"GET /cmd/next?resume=41&block=2000 HTTP/1.1\r\nHost: h:1\r\nAccept: application/json\r\n\r\n"
    )
