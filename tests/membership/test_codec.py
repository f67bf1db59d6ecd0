"""Datagrams are decoded once as written; truncated, forged, replayed or foreign ones are rejected."""

import random
import zlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brookhinge.membership import codec
from brookhinge.membership.claims import Claim
from brookhinge.membership.codec import MAX_DATAGRAM_BYTES, WIRE_NAMES, Codec, ReplayGuard
from brookhinge.membership.messages import (
    ForeignMessage,
    Ping,
    PingRequest,
    Received,
    SyncRequest,
    SyncResponse,
)

SELF_CLAIM = Claim("n1", 7, 100, 100, 0, "127.0.0.1", 9000, "east", 1, 0.0)
KEY = b"k" * 16
ENCODER = msgspec.msgpack.Encoder()


class NewMessage(msgspec.Struct):
    """A message type that exists only in a later protocol version."""

    first: int
    second: int
    third: int


def codec_pair(key=KEY, site="s"):
    return Codec("s", KEY), Codec(site, key)


def test_datagram_round_trips_and_is_accepted_only_once():
    writer, reader = codec_pair()
    notices = [("drain", "s-1", 5)]
    data = writer.write(SELF_CLAIM, 77, PingRequest(1, "127.0.0.1", 9001, 3), [SELF_CLAIM], notices)
    assert reader.read(data) == Received(
        SELF_CLAIM, 77, (SELF_CLAIM,), (("drain", "s-1", 5),), PingRequest(1, "127.0.0.1", 9001, 3)
    )
    assert reader.read(data) is None and reader.counts["again"] == 1


def test_replay_guard_accepts_each_reordered_number_once():
    guard = ReplayGuard()
    rng, accepted = random.Random(5), []
    numbers = [n for n in range(1, 400) for _ in range(2)]
    numbers.sort(key=lambda n: n + rng.random() * 40)
    accepted = [n for n in numbers if guard.accept(1, n)]
    assert sorted(accepted) == list(range(1, 400))
    assert not guard.accept(1, 100)  # older than the replay window: rejected whether new or not


def test_other_key_or_site_is_rejected_and_other_version_partly_decoded(monkeypatch):
    writer, reader = codec_pair(key=b"z" * 16)
    assert (
        reader.read(writer.write(SELF_CLAIM, 0, Ping(1, 0, 0, 0), [], [])) is None
        and reader.counts["forged"] == 1
    )
    writer, reader = codec_pair(site="t")
    assert (
        reader.read(writer.write(SELF_CLAIM, 0, Ping(1, 0, 0, 0), [], [])) is None
        and reader.counts["other_site"] == 1
    )
    writer, reader = codec_pair()
    with monkeypatch.context() as patch:
        patch.setattr(codec, "VERSION", codec.VERSION + 1)
        patch.setattr(codec, "WIRE_NAMES", {**WIRE_NAMES, NewMessage: "sing"})
        data = writer.write(SELF_CLAIM, 0, NewMessage(1, 2, 3), [SELF_CLAIM], [])
        ping_data = writer.write(SELF_CLAIM, 5, Ping(7, 9, 3, 1), [SELF_CLAIM], [("drain", "s", 1)])
    assert (
        reader.read(data) == Received(SELF_CLAIM, 0, (SELF_CLAIM,), (), ForeignMessage())
        and reader.counts["foreign"] == 1
    )
    # every version decodes probes
    assert reader.read(ping_data) == Received(SELF_CLAIM, 0, (SELF_CLAIM,), (), Ping(7, 9, 3, 1))


def test_datagrams_never_exceed_the_maximum_length():
    writer, reader = codec_pair()
    longest = Claim("n" * 64, 2**62, 2**45, 2**45, 0, "h" * 64, 65535, "z" * 64, 1, 1e9)
    data = writer.write(
        longest,
        2**63,
        SyncRequest(48, b"\xff" * codec.BUCKET_DIGESTS_BYTES),
        [longest] * 8,
        [("w" * 60,) * 6] * 6,
    )
    assert len(data) <= MAX_DATAGRAM_BYTES and type(reader.read(data).message) is SyncRequest
    for message_type in codec.COMPRESSED:
        data = writer.write(longest, 2**63, message_type(), [longest] * 100, [("w" * 60,) * 6] * 6)
        assert len(data) <= MAX_DATAGRAM_BYTES and type(reader.read(data).message) is message_type


def test_compressed_claims_round_trip_in_order():
    writer, reader = codec_pair()
    rng = random.Random(5)
    claims = [Claim(f"r{n}", rng.getrandbits(62), *SELF_CLAIM[2:9], 0) for n in range(40)]
    for message_type in codec.COMPRESSED:
        received = reader.read(writer.write(SELF_CLAIM, 7, message_type(), claims, [("drain", "s", 1)]))
        assert received == Received(SELF_CLAIM, 7, tuple(claims), (("drain", "s", 1),), message_type())


@pytest.mark.parametrize(
    "packed",
    [
        b"",
        b"no stream at all",
        zlib.compress(ENCODER.encode([SELF_CLAIM]))[:-5],
        zlib.compress(ENCODER.encode([(*SELF_CLAIM[:4], 9, *SELF_CLAIM[5:])])),
        zlib.compress(ENCODER.encode([SELF_CLAIM] * (codec.MAX_COMPRESSED_CLAIMS + 1))),
        zlib.compress(ENCODER.encode([SELF_CLAIM[:3]])),
        zlib.compress(b"\x00" * 50_000_000),
    ],
)
def test_invalid_compressed_claims_are_rejected(packed):
    writer, reader = codec_pair()
    assert (
        len(packed) > MAX_DATAGRAM_BYTES
        or reader.read(writer.sign(writer.encode_body(SELF_CLAIM, 0, SyncResponse(), (packed,), [], [])))
        is None
    )
    with pytest.raises((ValueError, zlib.error, msgspec.DecodeError)):
        codec.decompress_claims([packed])


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=1500))
def test_random_bytes_are_rejected(data):
    reader = Codec("s", KEY)
    assert reader.read(data) is None and sum(reader.counts.values()) == 1


def test_mutated_datagrams_are_rejected_or_decode_to_valid_messages():
    """Mutates 100,000 datagrams by a seed; every second one gets a valid checksum, as from a faulty peer."""
    rng, reader, accepted = random.Random(9), Codec("s", KEY), 0
    writer = Codec("s", KEY)
    valid_datagrams = [
        writer.write(SELF_CLAIM, 5, Ping(1, 0, 0, 0), [SELF_CLAIM], [("drain", "s", 1)]),
        writer.write(SELF_CLAIM, 5, SyncResponse(), [SELF_CLAIM] * 4, []),
        writer.sign(writer.encode_body(SELF_CLAIM, 5, SyncRequest(0, b""), tuple(range(64)), [], [])),
    ]
    for k in range(100_000):
        data = bytearray(rng.choice(valid_datagrams))
        for _ in range(rng.randrange(1, 4)):
            position = rng.randrange(16, len(data))
            if rng.random() < 0.2:
                del data[position : position + rng.randrange(1, 9)]
            else:
                data[position] = rng.randrange(256)
            if len(data) < 18:
                break
        data = bytes(data)
        if k % 2:
            data = codec.hashlib.blake2b(data[16:], digest_size=16, key=KEY).digest() + data[16:]
        received = reader.read(data)
        if received is not None:
            accepted += 1
            assert codec.is_valid_claim(received.sender)
            assert type(received.message) in (*WIRE_NAMES, ForeignMessage)
    assert reader.counts["forged"] > 49_000 and accepted < 20_000 and sum(reader.counts.values()) == 100_000
