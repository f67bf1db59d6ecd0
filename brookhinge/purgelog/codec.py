"""Encoding and decoding of purge log datagrams. No I/O.

    datagram = checksum + MessagePack array
    checksum = 16 bytes of BLAKE2b keyed with the fleet's key, the site as its `person`
    array    = [sender, sequence, message]      message = [tag, fields ...], see messages.py

Each sequence number of a sender (a process) is accepted once. Rejected datagrams are dropped and counted by
reason.
"""

import hashlib
import hmac

import msgspec

from brookhinge.membership.codec import ReplayGuard
from brookhinge.purgelog import messages

MAX_DATAGRAM_BYTES = 1400
CHECKSUM_BYTES = 16
HEADER_BYTES = 28  # IPv4 and UDP headers, included in the counted bytes
MAX_TEXT_CHARS = 64


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Body of a datagram."""

    sender: int
    sequence: int
    message: messages.Message


class TooLongError(ValueError):
    """The encoded message does not fit into a datagram."""


class Codec:
    """Encoder and decoder of one process.

    Attributes:
        counts: number of datagrams by result, one of `REASONS`.
    """

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
        """Return the datagram of a message.

        Raises:
            TooLongError: the datagram would exceed MAX_DATAGRAM_BYTES.
        """
        body = self.encoder.encode(Envelope(self.sender, self.sequence + 1, message))
        if len(body) + CHECKSUM_BYTES > MAX_DATAGRAM_BYTES:
            raise TooLongError(f"{type(message).__name__}: {len(body)} bytes with the envelope")
        self.sequence += 1
        self.counts["sent"] += 1
        self.bytes_sent += len(body) + CHECKSUM_BYTES + HEADER_BYTES
        return self.checksum(body) + body

    def read(self, data: bytes) -> tuple[int, messages.Message] | None:
        """Return sender and message of a datagram, or None if it is dropped."""
        self.bytes_received += len(data) + HEADER_BYTES
        reason, envelope = self.decode_envelope(data)
        self.counts[reason] += 1
        return envelope and (envelope.sender, envelope.message)

    def decode_envelope(self, data: bytes) -> tuple[str, Envelope | None]:
        """Return the result by which a datagram is counted, and its envelope if it is accepted."""
        if not CHECKSUM_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            return "torn", None
        body = data[CHECKSUM_BYTES:]
        if not hmac.compare_digest(self.checksum(body), data[:CHECKSUM_BYTES]):
            return "forged", None
        try:
            envelope = self.decoder.decode(body)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return "unreadable", None
        if envelope.sender <= 0 or envelope.sequence <= 0 or not has_bounded_texts(envelope.message):
            return "unreadable", None
        if not self.guard.accept(envelope.sender, envelope.sequence):
            return "repeated", None
        return "received", envelope

    def checksum(self, body: bytes) -> bytes:
        """Return the keyed checksum of a datagram's body."""
        return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES, key=self.key, person=self.person).digest()


def has_bounded_texts(message: messages.Message) -> bool:
    """Whether the texts that the receiver stores are short enough."""
    if isinstance(message, messages.Subscribe):
        return 0 < len(message.name) <= MAX_TEXT_CHARS and len(message.host) <= MAX_TEXT_CHARS
    if isinstance(message, messages.Submit):
        return len(message.entry.text) <= MAX_TEXT_CHARS
    if isinstance(message, messages.RetainedPage):
        return all(len(purge.text) <= MAX_TEXT_CHARS for purge in message.purges)
    return True
