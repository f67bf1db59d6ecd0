"""The messages of the membership socket, one class for each kind. codec.py has their words on the wire."""

import enum
from typing import NamedTuple

import msgspec

from brookhinge.membership.claims import Claim

Notice = tuple[str | int | float, ...]
"""A kind and its values: something that tightens a rule, told to all members."""

Row = tuple
"""One line of a table that another protocol puts in the place of the notices."""


class StatusTopic(enum.IntEnum):
    """What an observer can ask for; the numbers go over the wire."""

    MEMBERS = 0
    LIMITS = 1
    VERDICTS = 2


class Ping(msgspec.Struct, frozen=True):
    """Asks a member for an answer, and states what is believed of it, so that it can refute it.

    `incarnation_id` 0 means that any process at the address may answer.
    """

    nonce: int
    incarnation_id: int
    incarnation: int
    state: int


class Ack(msgspec.Struct, frozen=True):
    """Answers a ping."""

    nonce: int


class Nack(msgspec.Struct, frozen=True):
    """Tells the asker of a ping request that no answer came in time."""

    nonce: int


class PingRequest(msgspec.Struct, frozen=True):
    """Asks a helper to ping a member that did not answer."""

    nonce: int
    host: str
    port: int
    incarnation_id: int


class Announcement(msgspec.Struct, frozen=True):
    """Carries claims and notices alone; is not answered."""


class Gossip(msgspec.Struct, frozen=True):
    """Carries many claims, compressed; is not answered."""


class SyncRequest(msgspec.Struct, frozen=True):
    """Asks for the claims of all buckets whose digests differ.

    `digests` holds two bytes for each bucket, taken from bit `shift` of its digest on.
    """

    shift: int
    digests: bytes


class SyncResponse(msgspec.Struct, frozen=True):
    """Answers a sync request with claims, compressed."""


class ForeignMessage(msgspec.Struct, frozen=True):
    """Stands for any message of another protocol version but a ping and an ack. It is never written."""


class StatusRequest(msgspec.Struct, frozen=True):
    """Asks for the rows of a status topic, from `offset` on."""

    offset: int
    topic: int


class StatusResponse(msgspec.Struct, frozen=True):
    """Answers a status request: some rows from `offset` on, of `total`."""

    offset: int
    total: int


class LeaseRequest(msgspec.Struct, frozen=True):
    """A lessee's demand and grants; `acknowledged` is the last message number it received from the lessor."""

    number: int
    acknowledged: int


class LeaseOffer(msgspec.Struct, frozen=True):
    """A lessor's leases; `acknowledged` is the last message number it received from the lessee."""

    number: int
    acknowledged: int


class EvidenceReport(msgspec.Struct, frozen=True):
    """A router's totals of attempts and failures, for the collector of the servers in its rows."""

    number: int
    sent_at_ms: int


class EvidenceTable(msgspec.Struct, frozen=True):
    """A collector's totals of all routers for a server; `has_trial_turn` is 1 if the receiver may try it."""

    has_trial_turn: int
    unused: int


class WarmStartRequest(msgspec.Struct, frozen=True):
    """A router that has just started asks for warm-start state."""

    unused: int
    unused_too: int


class WarmStartState(msgspec.Struct, frozen=True):
    """Answers a warm-start request: some rows from `offset` on, of `total`."""

    offset: int
    total: int


class Received(NamedTuple):
    """A datagram as it was read.

    Attributes:
        sender: the sender's claim about itself.
        digest: of the sender's view; 0 from one that is joining, or of another version.
        updates: piggybacked claims about others.
        notices: piggybacked notices, or the rows of a message of another protocol on the same socket.
        message: one of the classes above.
    """

    sender: Claim
    digest: int
    updates: tuple[Claim, ...]
    notices: tuple[Notice, ...]
    message: msgspec.Struct


class CoreMessage(NamedTuple):
    """A message of another protocol on the same socket: who sent it (an incarnation id), and its rows."""

    sender_id: int
    message: msgspec.Struct
    rows: tuple[Row, ...]
