"""Encodes and decodes membership datagrams, with a keyed checksum and replay protection. No I/O.

    datagram   = checksum (16 bytes: BLAKE2b keyed with the fleet's key, over the rest) + MessagePack array
    array      = [form, site, sequence, claim, version, call, updates, rest]
    call       = [0], a ping [1, nonce, incarnation id, incarnation, state], or an ack [2, nonce]
    updates    = claims about other members
    rest       = [digest, notices, method, values], nested MessagePack that other versions do not decode
    values     = the message's fields; `gossip` and `rows` have one field: zlib-compressed MessagePack claims

`form` is always 1. Every protocol version can read the sender, its version and its claims about others, and
can answer its pings, so routers of two versions share one view and do not declare each other lost. The
length of a datagram is checked before decoding, text lengths and counts after it. Unreadable datagrams are
counted and dropped.
"""

import enum
import hashlib
import hmac
import zlib
from collections.abc import Sequence

import msgspec

from brookhinge.membership import messages
from brookhinge.membership.claims import Claim
from brookhinge.membership.messages import Ack, Gossip, Notice, Ping, Received, SyncRequest, SyncResponse

VERSION = 2
FORM = 1
CHECKSUM_BYTES = 16
MIN_DATAGRAM_BYTES = 33
MAX_DATAGRAM_BYTES = 1400
MAX_TEXT_LENGTH = 64
MAX_NOTICE_PARTS = 8
MAX_PORT = 65535
MAX_COMPRESSED_CLAIMS = 48
MAX_DECOMPRESSED_BYTES = 32_768
BUCKET_DIGESTS_BYTES = 128  # in a sync request; see MembershipView.short_digests
MAX_SENDERS = 4096
REPLAY_WINDOW = 64

# Method names on the wire, by message type; defined nowhere else.
WIRE_NAMES: dict[type, str] = {
    messages.Ping: "ping",
    messages.Ack: "ack",
    messages.Nack: "nack",
    messages.PingRequest: "ask",
    messages.Announcement: "tell",
    messages.Gossip: "gossip",
    messages.SyncResponse: "rows",
    messages.SyncRequest: "buckets",
    messages.StatusRequest: "look",
    messages.StatusResponse: "seen",
    messages.LeaseRequest: "want",
    messages.LeaseOffer: "lend",
    messages.EvidenceReport: "evidence",
    messages.EvidenceTable: "table",
    messages.WarmStartRequest: "recall",
    messages.WarmStartState: "memory",
}
MESSAGE_TYPES = {name: message_type for message_type, name in WIRE_NAMES.items()}

CORE_MESSAGES = (
    messages.LeaseRequest,
    messages.LeaseOffer,
    messages.EvidenceReport,
    messages.EvidenceTable,
    messages.WarmStartRequest,
    messages.WarmStartState,
)
"""Messages of other protocols on the same socket; they carry rows in the notices field."""

COMPRESSED = (Gossip, SyncResponse)  # decoded only by routers of the same version
PROBE_KINDS: dict[type, int] = {Ping: 1, Ack: 2}  # messages that every version decodes
PROBE_TYPES = {kind: message_type for message_type, kind in PROBE_KINDS.items()}
NO_PROBE = (0,)

_Head = tuple[int, str, int, Claim, int, list[int], list[Claim], bytes]
_Rest = tuple[int, list[tuple], str, list]
_head_decoder = msgspec.msgpack.Decoder(_Head)
_rest_decoder = msgspec.msgpack.Decoder(_Rest)
_claims_decoder = msgspec.msgpack.Decoder(list[Claim])
_encoder = msgspec.msgpack.Encoder()


class UnreadableDatagramError(ValueError):
    """Raised for a datagram that has a valid checksum but violates the protocol."""


class DatagramOutcome(enum.StrEnum):
    """The outcome of a datagram; the values are metric labels."""

    SENT = "sent"
    ACCEPTED = "taken"
    WRONG_LENGTH = "torn"
    FORGED = "forged"
    REPLAYED = "again"
    OTHER_SITE = "other_site"
    UNREADABLE = "unread"
    FOREIGN_VERSION = "foreign"
    TOO_LONG = "too_long"


def wire_name(message: msgspec.Struct) -> str:
    """Return the method name of a message on the wire."""
    return WIRE_NAMES.get(type(message), "foreign")


class ReplayGuard:
    """Accepts each sequence number of each process once, in any order within a window."""

    def __init__(self) -> None:
        # Incarnation id: (highest number, bitmap of the numbers below it).
        self._received: dict[int, tuple[int, int]] = {}

    def accept(self, incarnation_id: int, number: int) -> bool:
        """Record a sequence number; return False if it was received before or is older than the window."""
        highest, bits = self._received.pop(incarnation_id, (0, 0))
        if number > highest:
            shift = number - highest
            bits = (
                (bits << shift | 1 << shift - 1) & (1 << REPLAY_WINDOW) - 1 if shift <= REPLAY_WINDOW else 0
            )
            highest = number
            is_new = True
        else:
            distance = highest - number
            is_new = 0 < distance <= REPLAY_WINDOW and not bits >> distance - 1 & 1
            if is_new:
                bits |= 1 << distance - 1
        self._received[incarnation_id] = highest, bits
        if len(self._received) > MAX_SENDERS:
            del self._received[next(iter(self._received))]
        return is_new


class Codec:
    """Encodes and decodes the datagrams of one router, and counts their outcomes."""

    def __init__(self, site: str, key: bytes, version: int | None = None) -> None:
        """Create a codec for a site and key; a `version` of None selects this program's protocol version."""
        self.site = site
        self.key = key
        self.sequence = 0
        self.replay_guard = ReplayGuard()
        self.own_version = version
        self.counts = dict.fromkeys(DatagramOutcome, 0)

    @property
    def version(self) -> int:
        """The protocol version of the datagrams that are written and fully decoded."""
        return VERSION if self.own_version is None else self.own_version

    def write(
        self,
        claim: Claim,
        digest: int,
        message: msgspec.Struct,
        updates: Sequence[Claim],
        notices: Sequence[Notice],
    ) -> bytes | None:
        """Encode a datagram, dropping updates, then notices, until it fits; return None if it never fits."""
        if isinstance(message, COMPRESSED):
            return self._write_compressed(claim, digest, message, updates[:MAX_COMPRESSED_CLAIMS], notices)
        values = msgspec.structs.astuple(message)
        while True:
            body = self.encode_body(claim, digest, message, values, updates, notices)
            if len(body) + CHECKSUM_BYTES <= MAX_DATAGRAM_BYTES:
                return self.sign(body)
            if updates:
                updates = updates[:-1]
            elif notices:
                notices = notices[:-1]
            else:
                self.counts[DatagramOutcome.TOO_LONG] += 1
                return None

    def _write_compressed(
        self,
        claim: Claim,
        digest: int,
        message: msgspec.Struct,
        updates: Sequence[Claim],
        notices: Sequence[Notice],
    ) -> bytes | None:
        """Encode a datagram whose updates are compressed, keeping as many of the first ones as fit."""
        while True:
            compressed = zlib.compress(_encoder.encode(updates))
            body = self.encode_body(claim, digest, message, (compressed,), [], notices)
            if len(body) + CHECKSUM_BYTES <= MAX_DATAGRAM_BYTES:
                return self.sign(body)
            if updates:
                updates = updates[: len(updates) * 7 // 8]
            elif notices:
                notices = notices[:-1]
            else:
                self.counts[DatagramOutcome.TOO_LONG] += 1
                return None

    def encode_body(
        self,
        claim: Claim,
        digest: int,
        message: msgspec.Struct,
        values: tuple,
        updates: Sequence[Claim],
        notices: Sequence[Notice],
    ) -> bytes:
        """Encode a datagram without its checksum."""
        probe_kind = PROBE_KINDS.get(type(message))
        call = NO_PROBE if probe_kind is None else (probe_kind, *values)
        rest = (digest, notices, WIRE_NAMES[type(message)], values if probe_kind is None else ())
        return _encoder.encode(
            (
                FORM,
                self.site,
                self.sequence + 1,
                claim,
                self.version,
                call,
                updates,
                _encoder.encode(rest),
            )
        )

    def sign(self, body: bytes) -> bytes:
        """Prepend the checksum to a body and count the datagram as sent."""
        self.sequence += 1
        self.counts[DatagramOutcome.SENT] += 1
        return self._checksum(body) + body

    def _checksum(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES, key=self.key).digest()

    def read(self, data: bytes) -> Received | None:
        """Decode a datagram, or return None; from another version only claims and probes are decoded."""
        try:
            outcome, received = self._decode(data)
        except (msgspec.DecodeError, ValueError, zlib.error):  # invalid UTF-8 raises ValueError
            outcome = DatagramOutcome.UNREADABLE
            received = None
        self.counts[outcome] += 1
        return received

    def _decode(self, data: bytes) -> tuple[DatagramOutcome, Received | None]:
        """Decode a datagram and classify its outcome.

        Raises:
            UnreadableDatagramError: A field has a type, length or size that the protocol does not allow.
            msgspec.DecodeError: The body is not MessagePack or does not have the expected structure.
            zlib.error: The compressed claims cannot be decompressed.
        """
        if not MIN_DATAGRAM_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
            return DatagramOutcome.WRONG_LENGTH, None
        body = data[CHECKSUM_BYTES:]
        if not hmac.compare_digest(self._checksum(body), data[:CHECKSUM_BYTES]):
            return DatagramOutcome.FORGED, None
        form, site, number, claim, version, call, updates, rest = _head_decoder.decode(body)
        if form != FORM or not is_valid_claim(claim) or not all(map(is_valid_claim, updates)):
            return DatagramOutcome.UNREADABLE, None
        if site != self.site:
            return DatagramOutcome.OTHER_SITE, None
        if not self.replay_guard.accept(claim.incarnation_id, number):
            return DatagramOutcome.REPLAYED, None
        probe_type = PROBE_TYPES.get(call[0]) if call else None
        probe = None if probe_type is None else _build_message(probe_type, call[1:])
        if version != self.version:
            foreign = probe or messages.ForeignMessage()
            return DatagramOutcome.FOREIGN_VERSION, Received(claim, 0, tuple(updates), (), foreign)
        received = _decode_rest(claim, probe, updates, rest)
        return DatagramOutcome.ACCEPTED, received


def _decode_rest(claim: Claim, probe: msgspec.Struct | None, updates: list[Claim], rest: bytes) -> Received:
    """Decode the part that only routers of the same version read: digest, notices and message."""
    digest, notices, name, values = _rest_decoder.decode(rest)
    message_type = MESSAGE_TYPES.get(name)
    if probe is not None:
        message = probe
    elif message_type in COMPRESSED:
        updates = decompress_claims(values)
        message = message_type()
    elif message_type is None:
        raise UnreadableDatagramError(f"expected a known method name, got {name!r}")
    else:
        message = _build_message(message_type, values)
    if not all(map(is_notice, notices)):
        raise UnreadableDatagramError(
            "expected notices that start with a kind and hold only short strings and numbers"
        )
    return Received(claim, digest, tuple(updates), tuple(notices), message)


def _build_message(message_type: type, values: list) -> msgspec.Struct:
    """Build a message from its field values.

    Raises:
        UnreadableDatagramError: The values do not match the message type in number, type or length.
    """
    types = tuple(message_type.__annotations__.values())
    if len(values) != len(types) or not all(map(isinstance, values, types)):
        raise UnreadableDatagramError(
            f"expected values of types {types} for {message_type.__name__}, got {len(values)} values"
        )
    message = message_type(*values)
    if message_type is SyncRequest and len(message.digests) != BUCKET_DIGESTS_BYTES:
        raise UnreadableDatagramError(
            f"expected {BUCKET_DIGESTS_BYTES} bytes of digests, got {len(message.digests)}"
        )
    return message


def decompress_claims(values: list) -> list[Claim]:
    """Decode the claims of a compressed message.

    Raises:
        UnreadableDatagramError: The claims are truncated, too many, or have fields out of bounds.
        zlib.error: The data cannot be decompressed.
    """
    if len(values) != 1 or not isinstance(values[0], bytes):
        raise UnreadableDatagramError("expected one bytes field with compressed claims")
    stream = zlib.decompressobj()
    data = stream.decompress(values[0], MAX_DECOMPRESSED_BYTES)
    claims = _claims_decoder.decode(data)
    if not stream.eof or len(claims) > MAX_COMPRESSED_CLAIMS or not all(map(is_valid_claim, claims)):
        raise UnreadableDatagramError("compressed claims are truncated, too many or out of bounds")
    return claims


def is_valid_claim(claim: Claim) -> bool:
    """Return whether all fields of a claim are within their bounds."""
    name, incarnation_id, started_at_ms, incarnation, _, host, port, zone, version, age_s = claim
    return (
        0 < len(name) <= MAX_TEXT_LENGTH
        and len(host) <= MAX_TEXT_LENGTH
        and len(zone) <= MAX_TEXT_LENGTH
        and 0 < port <= MAX_PORT
        and age_s >= 0.0
        and min(incarnation_id, started_at_ms, incarnation, version) >= 0
    )


def is_notice(notice: tuple) -> bool:
    """Return whether a notice starts with its kind and has only a few short strings and numbers."""
    return (
        0 < len(notice) <= MAX_NOTICE_PARTS
        and isinstance(notice[0], str)
        and all(map(_is_short_text_or_number, notice))
    )


def _is_short_text_or_number(part: object) -> bool:
    if isinstance(part, str):
        return len(part) <= MAX_TEXT_LENGTH
    return isinstance(part, int | float)
