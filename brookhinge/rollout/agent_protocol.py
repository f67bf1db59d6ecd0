"""Authenticated lines between a coordinator and its agents, one JSON object each. No I/O.

    line = checksum (32 hex digits: BLAKE2b keyed with the plan's key, over the rest), a space, JSON, line
    feed JSON = {"kind": ..., "number": ..., fields of messages.py}

Each side draws a random session when a connection comes up and sends it in its first line (`hello`). Both
sessions are part of every later checksum, and lines are numbered: one that is replayed, duplicated or
reordered is an error. The lines are authenticated, not encrypted.
"""

import hashlib
import hmac
from typing import Any

import msgspec

from brookhinge.rollout.messages import (
    AgentReport,
    EpochRejected,
    PlanMismatch,
    SetVersion,
)

LONGEST_LINE_BYTES = 64 * 1024
CHECKSUM_BYTES = 16
CHECKSUM_DIGITS = 2 * CHECKSUM_BYTES
PERSONALIZATION = b"roll"

Message = SetVersion | AgentReport | EpochRejected | PlanMismatch

_encode_json = msgspec.json.Encoder().encode
_decode_json = msgspec.json.Decoder(dict[str, Any]).decode


class ProtocolError(ValueError):
    """The peer's bytes are not a valid next line of this connection, which is closed."""


class AgentProtocol:
    """One end of a connection: messages to bytes and bytes to messages.

    Attributes:
        peer_session: the other end's session, None until its `hello` came.
    """

    def __init__(self, key: bytes, session: str):
        """Start an end with the plan's key and a session drawn at random for this connection."""
        self.peer_session: str | None = None
        self._key = key
        self._session = session
        self._sent = 0
        self._received = 0
        self._buffer = bytearray()

    def hello(self) -> bytes:
        """Return the first line of this end."""
        return self._line({"kind": "hello", "session": self._session}, sender="", reader="")

    def encode(self, message: Message) -> bytes:
        """Return the line of a message.

        Raises:
            ProtocolError: the other end's `hello` has not come yet.
        """
        if self.peer_session is None:
            raise ProtocolError("nothing is said before both ends have said who they are")
        self._sent += 1
        fields = msgspec.to_builtins(message)
        kind = fields.pop("kind")
        values = {"kind": kind, "number": self._sent, **fields}
        return self._line(values, sender=self._session, reader=self.peer_session)

    def receive(self, data: bytes) -> list[Message]:
        """Take bytes in pieces of any size and return the messages that they complete.

        Raises:
            ProtocolError: a line is too long, not authentic, out of order or no known message.
        """
        self._buffer += data
        messages = []
        while (end := self._buffer.find(b"\n")) >= 0:
            line = bytes(self._buffer[:end])
            del self._buffer[: end + 1]
            if self.peer_session is None:
                self.peer_session = self._read_hello(line)
            else:
                messages.append(self._read_message(line))
        if len(self._buffer) > LONGEST_LINE_BYTES:
            raise ProtocolError("a line that is too long")
        return messages

    def _read_hello(self, line: bytes) -> str:
        values = self._authenticated(line, sender="", reader="")
        session = values.get("session")
        if values.get("kind") != "hello" or not isinstance(session, str):
            raise ProtocolError("expected who it is")
        return session

    def _read_message(self, line: bytes) -> Message:
        values = self._authenticated(line, sender=self.peer_session or "", reader=self._session)
        if values.pop("number", None) != self._received + 1:
            raise ProtocolError("a line that is not the next one")
        self._received += 1
        try:
            return msgspec.convert(values, Message)
        except msgspec.ValidationError as error:
            raise ProtocolError(str(error)) from None

    def _authenticated(self, line: bytes, *, sender: str, reader: str) -> dict[str, Any]:
        """Return a line's JSON object once its checksum is verified."""
        checksum = line[:CHECKSUM_DIGITS]
        text = line[CHECKSUM_DIGITS + 1 :]
        expected = self._checksum(text, sender, reader).encode()
        separated = line[CHECKSUM_DIGITS : CHECKSUM_DIGITS + 1] == b" "
        if not separated or not hmac.compare_digest(checksum, expected):
            raise ProtocolError("a line without the plan's key, or of another connection")
        try:
            return _decode_json(text)
        except msgspec.MsgspecError as error:
            raise ProtocolError(str(error)) from None

    def _line(self, values: dict[str, Any], *, sender: str, reader: str) -> bytes:
        text = _encode_json(values)
        return self._checksum(text, sender, reader).encode() + b" " + text + b"\n"

    def _checksum(self, text: bytes, sender: str, reader: str) -> str:
        sessions = hashlib.blake2b(f"{sender} {reader}".encode(), digest_size=CHECKSUM_BYTES).digest()
        return hashlib.blake2b(
            text, digest_size=CHECKSUM_BYTES, key=self._key, person=PERSONALIZATION, salt=sessions
        ).hexdigest()
