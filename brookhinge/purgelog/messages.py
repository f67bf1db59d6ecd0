"""The messages between routers and control machines, and among control machines.

Vectors of positions are flat lists of integers (`positions.flatten`); machines and sources are numbered by
their place in the settings.
"""

import enum

import msgspec

from brookhinge.purgelog.positions import Position


class Kind(enum.IntEnum):
    """What an entry says. Every kind tightens a rule; none loosens one."""

    PURGE = 1  # text: the object's key, number: -1; or text "", number: the group
    DRAINING = 2  # text: a server, number: its start in milliseconds of the Unix clock
    GONE = 3  # the same
    OPENED = 4  # a source has opened an epoch; number: the epoch. It says nothing to routers


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of a log."""

    kind: int
    text: str
    number: int
    stamp_ms: int  # Unix clock of whoever said it first; never compared with a clock of a reader


class Batch(msgspec.Struct, array_like=True, frozen=True):
    """Entries of one source and epoch that follow on a position.

    Without entries it is the position to start from, sent where what came before is no longer held.
    """

    source: int
    epoch: int
    after_epoch: int
    after_index: int
    entries: list[Entry]

    @property
    def after(self) -> Position:
        """The position that the entries follow on."""
        return Position(self.after_epoch, self.after_index)

    @property
    def end(self) -> Position:
        """The position of the last entry; without entries it has none."""
        return Position(self.epoch, self.after_index + len(self.entries))


class Subscribe(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A router begins to read at a control machine."""

    name: str
    session: int  # raised at each change of machine
    number: int  # of this message: what a push echoes
    previous: int  # the machine it read at before, or -1
    positions: list[int]  # empty: it has just started
    host: str  # where it is reached; "": where the datagram came from
    port: int


class Poll(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Acknowledges positions and asks for what follows."""

    session: int
    number: int
    answer: bool  # whether a push is expected though nothing is new
    gap: bool  # entries came behind a gap: what follows on the positions is wanted again
    positions: list[int]


class Leave(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """A router ends as planned."""

    session: int


class Push(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """New entries, and the proof of what there is.

    `heads` were all that a majority held `age_ms` before the echoed message was received, or later.
    """

    session: int  # the router's, as it subscribed
    echo: int  # number of the router's last message, 0: none
    age_ms: int  # -1: this machine has no majority
    heads: list[int]
    boots: list[int]  # process ids of the machines in the majority, 0 for one that is not in it
    restart: bool  # the router's positions cannot be continued here: it goes on from heads
    batches: list[Batch]


class Unknown(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """The machine does not know this router, or another session of it."""

    session: int


class BackfillRequest(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """A router asks for fingerprints of entries after a position."""

    number: int
    source: int
    epoch: int
    index: int


class Segment(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Fingerprints of all purges after the asked position (at the latest) through another; 4 bytes each."""

    number: int
    source: int
    epoch: int
    index: int
    fingerprints: bytes


class Horizon(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """What was asked for is no longer held here."""

    number: int
    source: int


class Report(msgspec.Struct, array_like=True, frozen=True):
    """What one control machine knows of its routers."""

    machine: int
    boot: int
    number: int  # of the sync in which it was first told: the later report holds
    floors: list[int]  # every router that reads there has acknowledged these, and the machine holds them
    lost_floors: list[int]  # so had those whose lease ended lately; empty: there are none
    routers: int
    behind: list[str]  # names of some that have not acknowledged all
    lost: list[str]  # names of some whose lease ended


class Sync(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """Exchanged by control machines several times a second: heartbeat, quorum read and reports in one."""

    machine: int
    number: int
    echo: int  # number of the receiver's last sync
    recovered: bool  # it holds all that a majority held after its start: only then does it count in one
    promises: list[int]  # for each source the epoch below which nothing is taken any more
    positions: list[int]
    silence_ms: list[int]  # for each machine: since it was heard
    reports: list[Report]
    moved: list[tuple[str, int, int]]  # routers that read here now and are up to date: name, process, session


class Append(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """Entries from one control machine to another."""

    machine: int
    epochs: list[int]  # of the sender's logs: what it sends belongs to them
    batches: list[Batch]


class Submit(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """Asks a control machine to append an entry."""

    number: int
    entry: Entry


class StatusRequest(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """Asks the source of an entry how far it has got."""

    number: int
    epoch: int
    index: int


class Status(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """Answer to Submit and StatusRequest."""

    number: int
    source: int
    epoch: int  # 0: the entry could not be appended, this machine has no majority
    index: int
    outcome: int  # progress.Outcome
    missing: list[tuple[str, str]]  # name of a router or machine, and why


Message = (
    Subscribe | Poll | Leave | Push | Unknown | BackfillRequest | Segment | Horizon | Sync
    | Append | Submit | StatusRequest | Status
)  # fmt: skip
