"""Datagrams of the membership socket: messages to bytes and back, keyed, guarded against replays. No I/O.

    datagram   = checksum (16 bytes: BLAKE2b keyed with the fleet's key, over the rest) + MessagePack array
    array      = [form, site, sequence, claim, version, call, updates, rest]
    call       = [0], or a ping: [1, nonce, incarnation id, incarnation, state], or its answer: [2, nonce]
    updates    = claims about others
    rest       = [digest, notices, word, values], MessagePack in turn: other versions stop before it
    values     = the message's fields; of `gossip` and `rows` one: claims as MessagePack, compressed by zlib

`form` stays 1 for good: any version reads who sent a datagram, at which version it speaks, what it claims
of others, and answers its pings; so routers of two versions hold one view and don't take each other for
dead. Lengths are bounded before anything is read, texts and counts after. What can't be read is counted and
dropped.
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
BUCKET_DIGESTS_BYTES = 128  # of a sync request: see MembershipView.short_digests
MAX_SENDERS = 4096
REPLAY_WINDOW = 64

# The only table of the words that the wire has for the messages.
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
"""Messages of other protocols on the same socket: their rows stand in the place of the notices."""

COMPRESSED = (Gossip, SyncResponse)  # read by routers of the same version alone
PROBE_KINDS: dict[type, int] = {Ping: 1, Ack: 2}  # messages that any version reads
PROBE_TYPES = {kind: message_type for message_type, kind in PROBE_KINDS.items()}
NO_PROBE = (0,)

_Head = tuple[int, str, int, Claim, int, list[int], list[Claim], bytes]
_Rest = tuple[int, list[tuple], str, list]
_head_decoder = msgspec.msgpack.Decoder(_Head)
_rest_decoder = msgspec.msgpack.Decoder(_Rest)
_claims_decoder = msgspec.msgpack.Decoder(list[Claim])
_encoder = msgspec.msgpack.Encoder()


class UnreadableDatagramError(ValueError):
    """A datagram of a known sender that breaks the protocol."""


class DatagramOutcome(enum.StrEnum):
    """What became of a datagram; the values are labels of a metric."""

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
    """The word that the wire has for a message."""
    return WIRE_NAMES.get(type(message), "foreign")


class ReplayGuard:
    """Accepts each sequence number of each process once, in any order within a window."""

    def __init__(self) -> None:
        self._received: dict[int, tuple[int, int]] = {}  # id: highest number, bits of those before it

    def accept(self, incarnation_id: int, number: int) -> bool:
        """Note a number; False if it came before, or is too old to tell."""
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
    """Writes and reads the datagrams of one router, and counts what became of them."""

    def __init__(self, site: str, key: bytes, version: int | None = None) -> None:
        """Make a codec of one site and key; `version` None is this program's protocol version."""
        self.site = site
        self.key = key
        self.sequence = 0
        self.replay_guard = ReplayGuard()
        self.own_version = version
        self.counts = dict.fromkeys(DatagramOutcome, 0)

    @property
    def version(self) -> int:
        """The protocol version that is written and read."""
        return VERSION if self.own_version is None else self.own_version

    def write(
        self,
        claim: Claim,
        digest: int,
        message: msgspec.Struct,
        updates: Sequence[Claim],
        notices: Sequence[Notice],
    ) -> bytes | None:
        """Encode a datagram; leave out updates, then notices until it fits; None if it never does."""
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
        """Do the same with as many claims as fit compressed, from the first on."""
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
        """Put the checksum before a body; it counts as sent from here on."""
        self.sequence += 1
        self.counts[DatagramOutcome.SENT] += 1
        return self._checksum(body) + body

    def _checksum(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES, key=self.key).digest()

    def read(self, data: bytes) -> Received | None:
        """Decode a datagram, or return None; of another version only claims and probes are read."""
        try:
            outcome, received = self._decode(data)
        except (msgspec.DecodeError, ValueError, zlib.error):  # a text that is no UTF-8 is a ValueError
            outcome = DatagramOutcome.UNREADABLE
            received = None
        self.counts[outcome] += 1
        return received

    def _decode(self, data: bytes) -> tuple[DatagramOutcome, Received | None]:
        """Decode a datagram.

        Raises:
            UnreadableDatagramError: something in it is of another type, length or size than the protocol has.
            msgspec.DecodeError: it is no MessagePack, or of another shape.
            zlib.error: its compressed claims are none.
        """
        if not MIN_DATAGRAM_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
            return DatagramOutcome.WRONG_LENGTH, None
        body = data[CHECKSUM_BYTES:]
        if not hmac.compare_digest(self._checksum(body), data[:CHECKSUM_BYTES]):
            return DatagramOutcome.FORGED, None
        form, site, number, claim, version, call, updates, rest = _head_decoder.decode(body)
        if form != FORM or not is_sound(claim) or not all(map(is_sound, updates)):
            return DatagramOutcome.UNREADABLE, None
        if site != self.site:
            return DatagramOutcome.OTHER_SITE, None
        if not self.replay_guard.accept(claim.incarnation_id, number):
            return DatagramOutcome.REPLAYED, None
        probe_type = PROBE_TYPES.get(call[0]) if call else None
        probe = None if probe_type is None else _make_message(probe_type, call[1:])
        if version != self.version:
            foreign = probe or messages.ForeignMessage()
            return DatagramOutcome.FOREIGN_VERSION, Received(claim, 0, tuple(updates), (), foreign)
        received = _decode_rest(claim, probe, updates, rest)
        return DatagramOutcome.ACCEPTED, received


def _decode_rest(claim: Claim, probe: msgspec.Struct | None, updates: list[Claim], rest: bytes) -> Received:
    """Decode what only a reader of the same version may: digest, notices and message."""
    digest, notices, name, values = _rest_decoder.decode(rest)
    message_type = MESSAGE_TYPES.get(name)
    if probe is not None:
        message = probe
    elif message_type in COMPRESSED:
        updates = decompress_claims(values)
        message = message_type()
    elif message_type is None:
        raise UnreadableDatagramError(f"expected a known message, got {name!r}")
    else:
        message = _make_message(message_type, values)
    if not all(map(is_notice, notices)):
        raise UnreadableDatagramError("expected notices of short texts and numbers")
    return Received(claim, digest, tuple(updates), tuple(notices), message)


def _make_message(message_type: type, values: list) -> msgspec.Struct:
    """Make a message of its fields.

    Raises:
        UnreadableDatagramError: their number, types or lengths are not the message's.
    """
    types = tuple(message_type.__annotations__.values())
    if len(values) != len(types) or not all(map(isinstance, values, types)):
        raise UnreadableDatagramError(
            f"expected {types} for {message_type.__name__}, got {len(values)} values"
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
        UnreadableDatagramError: they are torn, too many or not sound.
        zlib.error: they are not compressed.
    """
    if len(values) != 1 or not isinstance(values[0], bytes):
        raise UnreadableDatagramError("expected one field of bytes with compressed claims")
    stream = zlib.decompressobj()
    data = stream.decompress(values[0], MAX_DECOMPRESSED_BYTES)
    claims = _claims_decoder.decode(data)
    if not stream.eof or len(claims) > MAX_COMPRESSED_CLAIMS or not all(map(is_sound, claims)):
        raise UnreadableDatagramError("expected compressed claims that are whole, few and sound")
    return claims


def is_sound(claim: Claim) -> bool:
    """Whether all fields of a claim are within their bounds."""
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
    """Whether a notice is a short row of texts and numbers that begins with its kind."""
    return (
        0 < len(notice) <= MAX_NOTICE_PARTS
        and isinstance(notice[0], str)
        and all(map(_is_short_text_or_number, notice))
    )


def _is_short_text_or_number(part: object) -> bool:
    if isinstance(part, str):
        return len(part) <= MAX_TEXT_LENGTH
    return isinstance(part, int | float)
