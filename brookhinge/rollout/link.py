"""Lines between a coordinator and its keepers: keyed, numbered, a JSON object each. No I/O.

    line = checksum (32 hex digits: BLAKE2b keyed with the plan's key, over the rest), a space, JSON, line feed
    JSON = {"kind": ..., "session": ..., "number": ..., ...}

Each side draws a session at random when a connection comes up, and both are part of every checksum: a line of another connection,
doubled or overtaken is not taken. Without the key nothing is believed; no secrecy."""

import hashlib
import hmac

import msgspec

LONGEST = 64 * 1024
pack, unpack = msgspec.json.Encoder(), msgspec.json.Decoder(dict)


class Unreadable(ValueError):
    """Bytes that are not this link's; the connection they came on is closed."""


class Link:
    """One end of a connection. The first line of each end says its session; all others are bound to both."""

    def __init__(self, key, session):
        self.key, self.mine, self.theirs, self.sent, self.came, self.held = (
            key,
            session,
            None,
            0,
            0,
            bytearray(),
        )

    def checksum(self, text, sender, reader):
        return hashlib.blake2b(
            text,
            digest_size=16,
            key=self.key,
            person=b"roll",
            salt=hashlib.blake2b(f"{sender} {reader}".encode(), digest_size=16).digest(),
        ).hexdigest()

    def hello(self):
        return self.line({"kind": "hello", "session": self.mine}, "")

    def write(self, kind, **values):
        if self.theirs is None:
            raise Unreadable("nothing is said before both ends have said who they are")
        self.sent += 1
        return self.line({"kind": kind, "number": self.sent, **values}, self.theirs)

    def line(self, values, reader):
        text = pack.encode(values)
        return self.checksum(text, self.mine if reader else "", reader).encode() + b" " + text + b"\n"

    def feed(self, data):
        """Bytes in any pieces to values; the hello is taken in and not returned."""
        self.held += data
        out = []
        while (end := self.held.find(b"\n")) >= 0:
            line = bytes(self.held[:end])
            del self.held[: end + 1]
            values = self.read(line)
            if values is not None:
                out.append(values)
        if len(self.held) > LONGEST:
            raise Unreadable("a line that is too long")
        return out

    def read(self, line):
        sum_, text = line[:32], line[33:]
        first = self.theirs is None
        good = self.checksum(text, "" if first else self.theirs, "" if first else self.mine)
        if line[32:33] != b" " or not hmac.compare_digest(sum_, good.encode()):
            raise Unreadable("a line without the plan's key, or of another connection")
        try:
            values = unpack.decode(text)
        except (msgspec.DecodeError, msgspec.ValidationError) as fault:
            raise Unreadable(str(fault)) from None
        if first:
            if values.get("kind") != "hello" or not isinstance(values.get("session"), str):
                raise Unreadable("expected who it is")
            self.theirs = values["session"]
            return None
        if values.get("number") != self.came + 1:
            raise Unreadable("a line that is not the next one")
        self.came += 1
        return values
