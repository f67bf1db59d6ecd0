"""Datagrams of the purge log: bytes to messages and back. No I/O.

    datagram = checksum + MessagePack array
    checksum = 16 bytes of BLAKE2b keyed with the fleet's key, the site as its `person`
    array    = [sender, sequence, message]      message = [tag, fields ...], see messages.py

Of each sender (a process) a sequence number is taken once. What cannot be read is counted by reason and
dropped.
"""

import hashlib
import hmac

import msgspec

from brookhinge.membership.codec import ReplayGuard
from brookhinge.purgelog import messages

MOST_BYTES = 1400
CHECKSUM = 16
HEADER_BYTES = 28  # IPv4 and UDP, for whoever counts bytes on the wire
MOST_TEXT = 64


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """What a datagram carries beside its checksum."""

    sender: int
    sequence: int
    message: messages.Message


class TooLongError(ValueError):
    """A message that does not fit into a datagram."""


class Codec:
    """What one process writes and reads. counts: datagrams by what became of them."""

    REASONS = ("sent", "received", "torn", "forged", "repeated", "unreadable")

    def __init__(self, site: str, key: bytes, sender: int):
        self.key = key
        self.sender = sender
        self.sequence = 0
        self.guard = ReplayGuard()
        self.person = hashlib.blake2b(site.encode(), digest_size=16).digest()
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Envelope)
        self.counts = dict.fromkeys(self.REASONS, 0)
        self.bytes_sent = self.bytes_received = 0

    def write(self, message: messages.Message) -> bytes:
        """The datagram of a message; TooLongError if there is none."""
        body = self.encoder.encode(Envelope(self.sender, self.sequence + 1, message))
        if len(body) + CHECKSUM > MOST_BYTES:
            raise TooLongError(f"{type(message).__name__}: {len(body)} bytes")
        self.sequence += 1
        self.counts["sent"] += 1
        self.bytes_sent += len(body) + CHECKSUM + HEADER_BYTES
        return self.checksum(body) + body

    def read(self, data: bytes) -> tuple[int, messages.Message] | None:
        """(sender, message) of a datagram, or None."""
        self.bytes_received += len(data) + HEADER_BYTES
        reason, envelope = self.look(data)
        self.counts[reason] += 1
        return envelope and (envelope.sender, envelope.message)

    def look(self, data: bytes) -> tuple[str, Envelope | None]:
        """Return a datagram's fate, and its envelope if it is received."""
        if not CHECKSUM < len(data) <= MOST_BYTES:
            return "torn", None
        body = data[CHECKSUM:]
        if not hmac.compare_digest(self.checksum(body), data[:CHECKSUM]):
            return "forged", None
        try:
            envelope = self.decoder.decode(body)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return "unreadable", None
        if envelope.sender <= 0 or envelope.sequence <= 0 or not bounded(envelope.message):
            return "unreadable", None
        if not self.guard.accept(envelope.sender, envelope.sequence):
            return "repeated", None
        return "received", envelope

    def checksum(self, body: bytes) -> bytes:
        """Return the keyed checksum of a datagram's body."""
        return hashlib.blake2b(body, digest_size=CHECKSUM, key=self.key, person=self.person).digest()


def bounded(message: messages.Message) -> bool:
    """Whether the texts of a message are short enough to be kept."""
    if isinstance(message, messages.Subscribe):
        return 0 < len(message.name) <= MOST_TEXT and len(message.host) <= MOST_TEXT
    if isinstance(message, messages.Submit):
        return len(message.entry.text) <= MOST_TEXT
    return True
