"""Datagrams of peers: bytes to calls and back, keyed, guarded against replays. No I/O.

    datagram   = checksum (16 bytes: BLAKE2b keyed with the fleet's key, over the rest) + MessagePack array
    array      = [form, site, sequence, claim, version, call, news, rest]
    call       = [0], or a probe: [1, nonce, uid, incarnation, state], or its answer: [2, nonce]
    news       = claims about others
    rest       = [digest, notices, method, values], MessagePack in turn: a reader of another version stops before it
    values     = of `gossip` and `rows` one: claims as a MessagePack array, compressed by zlib; else the method's own

`form` stays 1 for good: any version reads who sent a datagram, at which version it speaks, what it claims of others, and
answers its probes; so routers of two versions hold one view and don't take each other for dead. Lengths are bounded
before anything is read, texts and counts after. What can't be read is counted and dropped, and tells nothing.
A datagram is taken once: of each process the highest sequence is kept and which of the 64 before it came."""

import hashlib
import hmac
import zlib

import msgspec

VERSION = 2
MOST_BYTES, MOST_TEXT, SENDERS, WINDOW = 1400, 64, 4096, 64
METHODS = {
    "ping": 4,
    "ack": 1,
    "nack": 1,
    "ask": 4,
    "tell": 0,
    "gossip": 1,
    "rows": 1,
    "buckets": 2,
    "look": 2,
    "seen": 2,
    "want": 2,
    "lend": 2,
    "evidence": 2,
    "table": 2,
    "recall": 2,
    "memory": 2,
}
CORE_METHODS = (
    "want",
    "lend",
    "evidence",
    "table",
    "recall",
    "memory",
)  # of the cores that share the socket: rows stand in the place of notices

PACKED = ("gossip", "rows")  # their claims go compressed: for readers of the same version alone
MOST_PACKED, MOST_UNPACKED = 48, 32_768  # claims in one such datagram; bytes that they may become
DIGEST_BYTES = 128  # of `buckets`: see View.short_digests

Claim = tuple[str, int, int, int, int, str, int, str, int, float]
Head = tuple[int, str, int, Claim, int, list[int], list[Claim], bytes]
PROBES = {"ping": 1, "ack": 2}  # methods that any version reads
Rest = tuple[int, list[tuple], str, list]
head, rest, pack = msgspec.msgpack.Decoder(Head), msgspec.msgpack.Decoder(Rest), msgspec.msgpack.Encoder()
packed_claims = msgspec.msgpack.Decoder(list[Claim])


class Guard:
    """Which datagrams of each process have come."""

    def __init__(self):
        self.came = {}  # uid: (highest sequence, bits of those before it)

    def fresh(self, uid, number):
        top, bits = self.came.pop(uid, (0, 0))
        if number > top:
            shift = number - top
            bits = (bits << shift | 1 << shift - 1) & (1 << WINDOW) - 1 if shift <= WINDOW else 0
            top, new = number, True
        else:
            back = top - number
            new = 0 < back <= WINDOW and not bits >> back - 1 & 1
            bits |= (1 << back - 1) if new else 0
        self.came[uid] = top, bits
        if len(self.came) > SENDERS:
            del self.came[next(iter(self.came))]
        return new


class Codec:
    """What one router writes and reads. counts: why datagrams were dropped; version: of the messages, None for this
    program's."""

    def __init__(self, site, key, version=None):
        self.site, self.key, self.sequence, self.guard = site, key, 0, Guard()
        self.own_version = version
        self.counts = dict.fromkeys(
            ("sent", "taken", "torn", "forged", "again", "other_site", "unread", "foreign", "too_long"), 0
        )

    @property
    def version(self):
        return VERSION if self.own_version is None else self.own_version

    def write(self, claim, digest, method, values, news, notices):
        """One datagram, or None if it would be too long (claims are left out before it is given up)."""
        if method in PACKED:
            return self.write_packed(claim, digest, method, news[:MOST_PACKED], notices)
        while True:
            body = self.body(claim, digest, method, values, news, notices)
            if len(body) + 16 <= MOST_BYTES:
                return self.signed(body)
            if not news and not notices:
                self.counts["too_long"] += 1
                return None
            news, notices = (news[:-1], notices) if news else (news, notices[:-1])

    def write_packed(self, claim, digest, method, claims, notices):
        """The same with claims compressed: as many as fit, from the first on."""
        while True:
            packed = zlib.compress(pack.encode(claims))
            body = self.body(claim, digest, method, (packed,), [], notices)
            if len(body) + 16 <= MOST_BYTES:
                return self.signed(body)
            if not claims and not notices:
                self.counts["too_long"] += 1
                return None
            claims, notices = (claims[: len(claims) * 7 // 8], notices) if claims else (claims, notices[:-1])

    def body(self, claim, digest, method, values, news, notices):
        probe = method in PROBES
        return pack.encode(
            (
                1,
                self.site,
                self.sequence + 1,
                claim,
                self.version,
                (PROBES[method], *values) if probe else (0,),
                news,
                pack.encode((digest, notices, method, () if probe else values)),
            )
        )

    def signed(self, body):
        self.sequence += 1
        self.counts["sent"] += 1
        return hashlib.blake2b(body, digest_size=16, key=self.key).digest() + body

    def read(self, data):
        """A message for Peer.round, or None. Of another version: what its sender claims, and nothing else."""
        why, message = self.look(data)
        self.counts[why] += 1
        return message

    def look(self, data):
        if not 32 < len(data) <= MOST_BYTES:
            return "torn", None
        body = data[16:]
        if not hmac.compare_digest(hashlib.blake2b(body, digest_size=16, key=self.key).digest(), data[:16]):
            return "forged", None
        try:
            form, site, number, claim, version, call, news, inner = head.decode(body)
            if form != 1 or not sound(claim) or not all(map(sound, news)):
                return "unread", None
            if site != self.site:
                return "other_site", None
            if not self.guard.fresh(claim[1], number):
                return "again", None
            probe = next((method for method, kind in PROBES.items() if call[:1] == [kind]), None)
            if version != self.version:
                if probe is not None and len(call) != METHODS[probe] + 1:
                    return "unread", None
                return "foreign", (claim, 0, tuple(news), (), probe or "foreign", tuple(call[1:]))
            digest, notices, method, values = rest.decode(inner)
            if probe is not None:
                method, values = probe, call[1:]
            if method in PACKED:
                news, values = unpacked(values), [b""]
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError, zlib.error):
            return "unread", None
        if (
            METHODS.get(method) != len(values)
            or not all(simple(notice) for notice in notices)
            or not fits(method, values)
        ):
            return "unread", None
        values = () if method in PACKED else tuple(values)
        return "taken", (claim, digest, tuple(news), tuple(notices), method, values)


def unpacked(values):
    """The claims of a packed datagram; ValueError or zlib.error if it is none."""
    if len(values) != 1 or not isinstance(values[0], bytes):
        raise ValueError("no packed claims")
    inflating = zlib.decompressobj()
    data = inflating.decompress(values[0], MOST_UNPACKED)
    claims = packed_claims.decode(data)
    if not inflating.eof or len(claims) > MOST_PACKED or not all(map(sound, claims)):
        raise ValueError("packed claims that are torn, too many or unsound")
    return claims


def sound(claim):
    name, uid, born, inc, state, host, port, zone, version, age = claim
    return (
        0 < len(name) <= MOST_TEXT
        and len(host) <= MOST_TEXT
        and len(zone) <= MOST_TEXT
        and 0 <= state <= 3
        and 0 < port < 65536
        and age >= 0.0
        and min(uid, born, inc, version) >= 0
    )


def simple(notice):
    """A notice is a short row of texts and numbers."""
    return (
        0 < len(notice) <= 8
        and isinstance(notice[0], str)
        and all(
            isinstance(part, (int, float)) or isinstance(part, str) and len(part) <= MOST_TEXT
            for part in notice
        )
    )


def fits(method, values):
    if method in PACKED:
        return True
    if method == "buckets":
        shift, digests = values
        return isinstance(shift, int) and isinstance(digests, bytes) and len(digests) == DIGEST_BYTES
    texts = (1,) if method == "ask" else ()
    return all(
        isinstance(value, str) if i in texts else isinstance(value, int) for i, value in enumerate(values)
    )
