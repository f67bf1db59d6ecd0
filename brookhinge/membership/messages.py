"""The messages of the membership socket, one class for each kind; codec.py maps them to method names."""

import enum
from typing import NamedTuple

import msgspec

from brookhinge.membership.claims import Claim

Notice = tuple[str | int | float, ...]
"""A kind and its values: an event that tightens a rule, broadcast to all members."""

Row = tuple
"""A table row of another protocol on the same socket, carried in the notices field."""


class StatusTopic(enum.IntEnum):
    """The tables that an observer can query; the numbers are part of the wire format."""

    MEMBERS = 0
    LIMITS = 1
    VERDICTS = 2


class Ping(msgspec.Struct, frozen=True):
    """Asks a member for an ack and states its believed state, so that it can refute it.

    An `incarnation_id` of 0 allows any process at the address to answer.
    """

    nonce: int
    incarnation_id: int
    incarnation: int
    state: int


class Ack(msgspec.Struct, frozen=True):
    """Answers a ping."""

    nonce: int


class Nack(msgspec.Struct, frozen=True):
    """Informs the sender of a ping request that the target did not answer in time."""

    nonce: int


class PingRequest(msgspec.Struct, frozen=True):
    """Asks a helper to ping a member that did not answer a direct ping."""

    nonce: int
    host: str
    port: int
    incarnation_id: int


class Announcement(msgspec.Struct, frozen=True):
    """Carries only claims and notices; it is not answered."""


class Gossip(msgspec.Struct, frozen=True):
    """Carries many claims, compressed; it is not answered."""


class SyncRequest(msgspec.Struct, frozen=True):
    """Asks for the claims of all buckets whose digests differ.

    `digests` holds two bytes for each bucket: 16 bits of its digest, starting at bit `shift`.
    """

    shift: int
    digests: bytes


class SyncResponse(msgspec.Struct, frozen=True):
    """Answers a sync request with claims, compressed."""


class ForeignMessage(msgspec.Struct, frozen=True):
    """Replaces a message of another protocol version that is neither a ping nor an ack; it is never sent."""


class StatusRequest(msgspec.Struct, frozen=True):
    """Asks for the rows of a status topic, starting at row `offset`."""

    offset: int
    topic: int


class StatusResponse(msgspec.Struct, frozen=True):
    """Answers a status request with some of the `total` rows, starting at row `offset`."""

    offset: int
    total: int


class LeaseRequest(msgspec.Struct, frozen=True):
    """A lessee's demand and grants; `acknowledged` is the last lessor message number that it received."""

    number: int
    acknowledged: int


class LeaseOffer(msgspec.Struct, frozen=True):
    """A lessor's leases; `acknowledged` is the last lessee message number that it received."""

    number: int
    acknowledged: int


class EvidenceReport(msgspec.Struct, frozen=True):
    """A router's totals of attempts and failures, sent to the collector of the servers in its rows."""

    number: int
    sent_at_ms: int


class EvidenceTable(msgspec.Struct, frozen=True):
    """A collector's totals of all routers for a server; `has_trial_turn` is 1 if the receiver may try it."""

    has_trial_turn: int
    unused: int


class WarmStartRequest(msgspec.Struct, frozen=True):
    """Asks a member for warm-start state; sent by a router that has just started."""

    unused: int
    unused_too: int


class WarmStartState(msgspec.Struct, frozen=True):
    """Answers a warm-start request with some of the `total` rows, starting at row `offset`."""

    offset: int
    total: int


class Received(NamedTuple):
    """A decoded datagram.

    Attributes:
        sender: The sender's claim about itself.
        digest: The digest of the sender's view; 0 if the sender is joining or speaks another version.
        updates: Piggybacked claims about other members.
        notices: Piggybacked notices, or the rows of a message of another protocol on the same socket.
        message: An instance of one of the classes above.
    """

    sender: Claim
    digest: int
    updates: tuple[Claim, ...]
    notices: tuple[Notice, ...]
    message: msgspec.Struct


class CoreMessage(NamedTuple):
    """A message of another protocol on the same socket, with the sender's incarnation id and the rows."""

    sender_id: int
    message: msgspec.Struct
    rows: tuple[Row, ...]
