"""Parsers and encoders: bytes in any pieces, what can't be read, what is written."""

import pytest

from brookhinge.engine import commands
from brookhinge.engine.effects import SendAttempt
from brookhinge.engine.endpoints import ServerInstance
from brookhinge.net import cachewire, http, thrift
from brookhinge.net.errors import InvalidCallError, UnreadableError

SERVE = (
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


def pieces(data, size):
    return [data[i : i + size] for i in range(0, len(data), size)]


@pytest.mark.parametrize("size", [1, 3, 1000])
def test_frames_in_any_pieces(size):
    frames, wire = thrift.FrameSplitter(), (thrift.INT32.pack(len(SERVE)) + SERVE) * 2
    assert [f for piece in pieces(wire, size) for f in frames.feed(piece)] == [SERVE, SERVE]
    assert len(frames.buffered) == 0


def test_a_call_and_its_arguments_with_an_unknown_one_skipped():
    reader = thrift.Reader(SERVE)
    assert thrift.read_message_header(reader) == (b"serve", 1, 7)
    assert thrift.read_arguments(reader, {1: thrift.MAP, 2: thrift.STRING}) == {1: {b"ref": b"9b"}, 2: b"hi"}


@pytest.mark.parametrize(
    "frame, why",
    [
        (b"\0\0\0\x05serve\x01\0\0\0\x07", "not strict binary"),
        (SERVE[:30], "cut off"),
        (SERVE.replace(bytes.fromhex("00000003"), bytes.fromhex("7fffffff"), 1), "cut off"),
        (SERVE.replace(bytes.fromhex("08000900000001 00"), bytes.fromhex("05000900")), "unknown type 5"),
        (SERVE.replace(bytes.fromhex("08000900000001 00"), bytes.fromhex("0c0009") * 12), "nested too deep"),
        (
            SERVE.replace(bytes.fromhex("00000001 00000003"), bytes.fromhex("ffffffff 00000003")),
            "a count of -1",
        ),
    ],
)
def test_a_frame_that_cannot_be_read(frame, why):
    with pytest.raises(UnreadableError) as fault:
        reader = thrift.Reader(frame)
        thrift.read_message_header(reader)
        thrift.read_arguments(reader, {1: thrift.MAP, 2: thrift.STRING})
    assert why in str(fault.value)


def test_a_wrong_type_is_told_and_the_frame_stays_readable():
    reader = thrift.Reader(SERVE)
    thrift.read_message_header(reader)
    with pytest.raises(InvalidCallError) as fault:
        thrift.read_arguments(reader, {1: thrift.STRING, 2: thrift.STRING})
    assert str(fault.value) == "argument 1: wrong type"


@pytest.mark.parametrize("size", [b"\0\0\0\0", b"\xff\xff\xff\xff", b"\0\x08\0\x01"])
def test_a_frame_out_of_bounds(size):
    """What was whole before it comes out, nothing after it, and nothing of it is held."""
    frames, whole = thrift.FrameSplitter(), thrift.INT32.pack(len(SERVE)) + SERVE
    assert frames.feed(whole + size + whole) == [SERVE]
    assert frames.error == f"a frame of {thrift.INT32.unpack(size)[0]} bytes"
    assert frames.feed(whole) == [] and not frames.buffered


def test_what_a_client_is_answered():
    assert thrift.encode_reply(b"serve", 7, b"hi", {b"unchanged": b"1"}, is_well=True).hex() == (
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


ANSWERS = b"a1 data n=hit,l=util:0.5 5\r\nab\r\nc\r\na2 absent - 0\r\n\r\n"


@pytest.mark.parametrize("size", [1, 2, 7, 1000])
def test_answers_in_any_pieces(size):
    answers = cachewire.AnswerSplitter()
    assert [a for piece in pieces(ANSWERS, size) for a in answers.feed(piece)] == [
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
def test_an_answer_that_cannot_be_read(line):
    with pytest.raises(UnreadableError):
        cachewire.AnswerSplitter().feed(line)


def test_results_notes_and_load():
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
    assert [read(word, {}, [])[0] for word in (b"unchanged", b"absent", b"full", b"failed", b"moot")] == [
        "satisfied",
        "miss",
        "full",
        "errored",
        "moot",
    ]
    for word, fields in ((b"maybe", {}), (b"data", {b"first": b"soon"}), (b"data", {b"l": b"util:x"})):
        with pytest.raises(UnreadableError):
            read(word, fields, [b"util"])


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


def test_what_a_cache_is_sent():
    full = PLAIN_ATTEMPT._replace(
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
    assert cachewire.encode_pull(full, 1.2345) == (
        b"PULL 9b1f sort=page,asset=7f3a,slice=03,patience=1234,parent=s-11,shelf=2,accept=500,"
        b"hints=merge+local+revalidate,got=4be0 1\r\nx\r\n"
    )
    assert cachewire.encode_pull(PLAIN_ATTEMPT, 0.0) == (
        b"PULL 9b1f sort=page,asset=7f3a,slice=3,patience=1 0\r\n\r\n"
    )
    keyed = PLAIN_ATTEMPT._replace(class_name=b"order", idempotency_key=b"1ff975")
    assert b",patience=1,op=1ff975 0\r\n" in cachewire.encode_pull(keyed, 0.0)
    assert cachewire.encode_kill(b"9b1f") + cachewire.encode_echo(b"t") == b"KILL 9b1f\r\nECHO t\r\n"


HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize("size", [1, 4, 1000])
@pytest.mark.parametrize(
    "wire, kept",
    [
        (HEAD + b"Content-Length: 5\r\n\r\n{...}", True),
        (HEAD + b"Connection: close\r\ncontent-length:5\r\n\r\n{...}", False),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + b"Content-Length: 5\r\n\r\n{...}", True),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n2;x=1\r\n{.\r\n3\r\n..}\r\n0\r\n\r\n", True),
    ],
)
def test_an_answer_of_the_channel_in_any_pieces(wire, kept, size):
    answer = http.ResponseParser()
    assert [done for piece in pieces(wire, size) if (done := answer.feed(piece))] == [(200, b"{...}", kept)]


def test_an_answer_without_a_length_ends_with_its_connection():
    answer = http.ResponseParser()
    assert answer.feed(HEAD + b"\r\n{..") is None
    assert answer.end() == (200, b"{..", False)
    with pytest.raises(UnreadableError):
        http.ResponseParser().end()


@pytest.mark.parametrize(
    "wire",
    [
        b"what\r\n\r\n",
        HEAD + b"no colon\r\n\r\n",
        HEAD + b"Content-Length: x\r\n\r\n",
        HEAD + b"Content-Length: 99999999\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n",
        b"h" * 20000,
    ],
)
def test_an_answer_of_the_channel_that_cannot_be_read(wire):
    with pytest.raises(UnreadableError):
        http.ResponseParser().feed(wire)


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"null", b"{}", b'{"cursor":"x","cmds":[]}', b'{"cursor":1,"cmds":{}}']
)
def test_commands_that_cannot_be_read(body):
    with pytest.raises(commands.CommandFormatError):
        commands.read_commands(body, 0.0)


def test_the_request_to_the_channel():
    assert http.encode_poll("h:1", 41, 2000) == (
        b"GET /cmd/next?resume=41&block=2000 HTTP/1.1\r\nHost: h:1\r\nAccept: application/json\r\n\r\n"
    )
