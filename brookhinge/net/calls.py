"""What a client's `serve` holds: its fields checked, before anything of it goes on. No I/O."""

import re

from brookhinge.net import thrift

HEX = re.compile(rb"[0-9a-f]{16}").fullmatch
WORD = re.compile(rb"[\w.:-]{1,80}").fullmatch
DIGITS = re.compile(rb"[0-9]{1,9}").fullmatch
AMOUNT = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?").fullmatch
FIELDS = tuple(
    (name, form, must)
    for must, rows in (
        (True, ((b"service", WORD), (b"ref", HEX), (b"allow", DIGITS), (b"lookup", HEX), (b"piece", DIGITS))),
        (False, ((b"lot", DIGITS), (b"room", AMOUNT), (b"ver", WORD), (b"replay", WORD))),
    )
    for name, form in rows
)
LONGEST_BODY = 240_000


def read_query(fields, body, longest):
    """The values of a query event; what the decisions need is taken out, the rest stays bytes. All is checked: what a cache
    server can't read or use would end its connection, with everybody's pushes. longest: {class: seconds that its clients
    may wait}. Raises thrift.Unusable that names the field."""
    for name, form, must in FIELDS:
        value = fields.get(name)
        if value is None and must or value is not None and not form(value):
            raise thrift.Unusable(thrift.PROTOCOL, f"{name.decode()}: missing or unusable")
    get = fields.get
    longest = longest.get(get(b"service"))
    if longest is None:
        raise thrift.Unusable(thrift.PROTOCOL, "service: no such class")
    lot, allow, room = (
        int(get(b"lot", 0)),
        int(get(b"allow")) / 1000.0,
        float(get(b"room", 0.0)),
    )  # 0: not told
    for name, good in (
        ("lot", lot <= 255),
        ("allow", 0.0 < allow <= longest + 0.001),
        ("room", room or b"room" not in fields),
        ("body", len(body) <= LONGEST_BODY),
    ):
        if not good:
            raise thrift.Unusable(thrift.PROTOCOL, f"{name}: out of range")
    return (
        get(b"ref"),
        get(b"service"),
        get(b"lookup"),
        get(b"piece"),
        int(get(b"piece")),
        lot,
        room,
        allow,
        get(b"ver"),
        body,
    )
