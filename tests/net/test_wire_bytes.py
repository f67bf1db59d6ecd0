"""The exact bytes that the router writes in each protocol, as literals."""

import pytest

from brookhinge.engine.effects import SendAttempt
from brookhinge.engine.endpoints import ServerInstance
from brookhinge.net import cachewire, client_protocol, http, thrift

SERVE_FIELDS = {
    b"service": b"page",
    b"ref": b"00000000000000a1",
    b"allow": b"2900",
    b"lookup": b"abababababababab",
    b"piece": b"0",
    b"lot": b"3",
    b"room": b"100.0",
    b"ver": b"4be0c1927d55a6f3",
    b"replay": b"2",
}
SERVE_ARGUMENTS = (
    thrift.FIELD_HEADER.pack(thrift.MAP, 1),
    thrift.encode_string_map(SERVE_FIELDS),
    thrift.FIELD_HEADER.pack(thrift.STRING, 2),
    thrift.encode_string(b"body"),
    b"\0",
)
PLAIN_ATTEMPT = SendAttempt(
    request_id=0,
    attempt=1,
    server=ServerInstance("s-21", ("127.0.0.1", 9), None),
    client_request_id=b"a1",
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
CANCEL_ARGUMENTS = (thrift.FIELD_HEADER.pack(thrift.I32, 1), thrift.INT32.pack(7), b"\0")


@pytest.mark.parametrize(
    "message, wire",
    [
        (
            thrift.encode_message(b"serve", thrift.CALL, 7, *SERVE_ARGUMENTS),
            "000000d880010001000000057365727665000000070d00010b0b00000009000000077365727669636500000004706167650000"
            "0003726566000000103030303030303030303030303030613100000005616c6c6f770000000432393030000000066c6f6f6b75"
            "7000000010616261626162616261626162616261620000000570696563650000000130000000036c6f74000000013300000004"
            "726f6f6d000000053130302e30000000037665720000001034626530633139323764353561366633000000067265706c617900"
            "000001320b000200000004626f647900",
        ),
        (
            thrift.encode_message(b"forget", thrift.ONEWAY, 8, *CANCEL_ARGUMENTS),
            "0000001a8001000400000006666f72676574000000080800010000000700",
        ),
        (
            thrift.encode_message(b"isWell", thrift.CALL, -1, b"\0"),
            "000000138001000100000006697357656c6cffffffff00",
        ),
    ],
    ids=["serve", "forget", "isWell"],
)
def test_client_call_bytes(message, wire):
    assert message.hex() == wire


@pytest.mark.parametrize(
    "message, wire",
    [
        (
            client_protocol.response(7, b"object", is_unchanged=False),
            "0000003080010002000000057365727665000000070c00000b0001000000066f626a6563740d00020b0b00000000020003010000",
        ),
        (
            client_protocol.response(2**31 - 1, b"", is_unchanged=True),
            "0000003c800100020000000573657276657fffffff0c00000b0001000000000d00020b0b0000000100000009756e6368616e67"
            "65640000000131020003010000",
        ),
        (
            client_protocol.health(9, is_healthy=False),
            "0000002b8001000200000006697357656c6c000000090c00000b0001000000000d00020b0b00000000020003000000",
        ),
        (
            client_protocol.rejection(7, 0.25),
            "0000003280010002000000057365727665000000070c00010d00010b0b0000000100000008636f6f6c646f776e000000033235"
            "300000",
        ),
        (
            client_protocol.rejection(7, 0.0),
            "0000001f80010002000000057365727665000000070c00010d00010b0b000000000000",
        ),
        (
            client_protocol.failure(7),
            "0000001f80010002000000057365727665000000070c00020d00010b0b000000000000",
        ),
        (
            client_protocol.invalid_request(7, "ref: missing or unusable"),
            "0000003880010003000000057365727665000000070b0001000000187265663a206d697373696e67206f7220756e757361626c"
            "650800020000000700",
        ),
        (
            thrift.encode_exception(b"sing", 7, thrift.UNKNOWN_METHOD, "no method sing"),
            "0000002d800100030000000473696e67000000070b00010000000e6e6f206d6574686f642073696e670800020000000100",
        ),
    ],
    ids=["object", "unchanged", "unhealthy", "reject with delay", "reject", "fail", "bad field", "no method"],
)
def test_reply_to_client_bytes(message, wire):
    assert message.hex() == wire


@pytest.mark.parametrize(
    "line, wire",
    [
        (
            cachewire.encode_pull(
                PLAIN_ATTEMPT._replace(
                    part=b"03",
                    fill_from="s-11",
                    retention=2,
                    max_age_s=0.5004,
                    joins_fill=True,
                    cached_only=True,
                    revalidates=True,
                    known_version=b"4be0",
                    body=b"x\r\n",
                ),
                1.2345,
            ),
            b"PULL a1 sort=page,asset=7f3a,slice=03,patience=1234,parent=s-11,shelf=2,accept=500,"
            b"hints=merge+local+revalidate,got=4be0 3\r\nx\r\n\r\n",
        ),
        (
            cachewire.encode_pull(PLAIN_ATTEMPT, 0.0),
            b"PULL a1 sort=page,asset=7f3a,slice=3,patience=1 0\r\n\r\n",
        ),
        (
            cachewire.encode_pull(
                PLAIN_ATTEMPT._replace(class_name=b"order", max_age_s=0.0001, idempotency_key=b"1ff975"),
                3.0,
            ),
            b"PULL a1 sort=order,asset=7f3a,slice=3,patience=3000,accept=1,op=1ff975 0\r\n\r\n",
        ),
        (
            cachewire.encode_pull(
                PLAIN_ATTEMPT._replace(fill_from="s-01", retention=1, cached_only=True, skips_cache=True),
                0.05,
            ),
            b"PULL a1 sort=page,asset=7f3a,slice=3,patience=50,parent=s-01,shelf=1,hints=local+skip 0\r\n"
            b"\r\n",
        ),
        (cachewire.encode_kill(b"a1"), b"KILL a1\r\n"),
        (cachewire.encode_echo(b"echo"), b"ECHO echo\r\n"),
    ],
    ids=["every field", "no field", "idempotency key", "cached only", "cancel", "health check"],
)
def test_line_to_cache_server_bytes(line, wire):
    assert line == wire


@pytest.mark.parametrize(
    "message, wire",
    [
        (
            http.encode_poll("127.0.0.1:9", 0, 1000),
            b"GET /cmd/next?resume=0&block=1000 HTTP/1.1\r\nHost: 127.0.0.1:9\r\n"
            b"Accept: application/json\r\n\r\n",
        ),
        (
            http.encode_poll("cmd.example:8080", 41, 0),
            b"GET /cmd/next?resume=41&block=0 HTTP/1.1\r\nHost: cmd.example:8080\r\n"
            b"Accept: application/json\r\n\r\n",
        ),
    ],
    ids=["wait a second", "do not wait"],
)
def test_poll_of_command_channel_bytes(message, wire):
    assert message == wire
