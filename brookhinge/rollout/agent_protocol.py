"""Encodes and authenticates the lines between a coordinator and its agents. No I/O.

    line     = checksum, space, JSON object, line feed
    checksum = 32 hex digits of BLAKE2b over the JSON text, keyed with the plan's key
    JSON     = {"kind": ..., "number": ..., fields of messages.py}

Each side draws a random session id when a connection opens and sends it in its first line (`hello`). Both
session ids are the salt of every later checksum, and lines are numbered, so a replayed, duplicated or
reordered line is an error. The lines are authenticated, not encrypted.
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

MAX_LINE_BYTES = 64 * 1024
CHECKSUM_BYTES = 16
CHECKSUM_DIGITS = 2 * CHECKSUM_BYTES
PERSONALIZATION = b"roll"

Message = SetVersion | AgentReport | EpochRejected | PlanMismatch

_encode_json = msgspec.json.Encoder().encode
_decode_json = msgspec.json.Decoder(dict[str, Any]).decode


class ProtocolError(ValueError):
    """The peer sent something other than the next valid line; the connection is closed."""


class AgentProtocol:
    """Encodes and decodes the messages of one end of a connection.

    Attributes:
        peer_session: Session id of the peer, None until its `hello` has arrived.
    """

    def __init__(self, key: bytes, session: str):
        """Create one end of a connection.

        Args:
            key: Key of the plan.
            session: Session id, drawn at random for this connection.
        """
        self.peer_session: str | None = None
        self._key = key
        self._session = session
        self._sent_count = 0
        self._received_count = 0
        self._buffer = bytearray()

    def hello(self) -> bytes:
        """Return the line that this end sends first."""
        return self._encode_line({"kind": "hello", "session": self._session}, sender="", reader="")

    def encode(self, message: Message) -> bytes:
        """Encode a message as the next line.

        Raises:
            ProtocolError: The peer's `hello` has not arrived yet.
        """
        if self.peer_session is None:
            raise ProtocolError("cannot send a message before the peer's hello has arrived")
        self._sent_count += 1
        fields = msgspec.to_builtins(message)
        kind = fields.pop("kind")
        values = {"kind": kind, "number": self._sent_count, **fields}
        return self._encode_line(values, sender=self._session, reader=self.peer_session)

    def receive(self, data: bytes) -> list[Message]:
        """Buffer received bytes, in chunks of any size, and return the messages that are complete.

        Raises:
            ProtocolError: A line is too long, not authentic, out of sequence or not a known message.
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
        if len(self._buffer) > MAX_LINE_BYTES:
            raise ProtocolError(f"line longer than {MAX_LINE_BYTES} bytes")
        return messages

    def _read_hello(self, line: bytes) -> str:
        values = self._decode_line(line, sender="", reader="")
        session = values.get("session")
        if values.get("kind") != "hello" or not isinstance(session, str):
            raise ProtocolError("first line is not a hello with a session")
        return session

    def _read_message(self, line: bytes) -> Message:
        values = self._decode_line(line, sender=self.peer_session or "", reader=self._session)
        if values.pop("number", None) != self._received_count + 1:
            raise ProtocolError("line number out of sequence: a line was lost, repeated or reordered")
        self._received_count += 1
        try:
            return msgspec.convert(values, Message)
        except msgspec.ValidationError as error:
            raise ProtocolError(str(error)) from None

    def _decode_line(self, line: bytes, *, sender: str, reader: str) -> dict[str, Any]:
        """Verify the checksum of a line and return its JSON object."""
        checksum = line[:CHECKSUM_DIGITS]
        text = line[CHECKSUM_DIGITS + 1 :]
        expected = self._checksum(text, sender, reader).encode()
        has_separator = line[CHECKSUM_DIGITS : CHECKSUM_DIGITS + 1] == b" "
        if not has_separator or not hmac.compare_digest(checksum, expected):
            raise ProtocolError(
                "checksum mismatch: the peer has another key, or the line is of another connection"
            )
        try:
            return _decode_json(text)
        except msgspec.MsgspecError as error:
            raise ProtocolError(str(error)) from None

    def _encode_line(self, values: dict[str, Any], *, sender: str, reader: str) -> bytes:
        text = _encode_json(values)
        return self._checksum(text, sender, reader).encode() + b" " + text + b"\n"

    def _checksum(self, text: bytes, sender: str, reader: str) -> str:
        sessions = hashlib.blake2b(f"{sender} {reader}".encode(), digest_size=CHECKSUM_BYTES).digest()
        return hashlib.blake2b(
            text, digest_size=CHECKSUM_BYTES, key=self._key, person=PERSONALIZATION, salt=sessions
        ).hexdigest()
