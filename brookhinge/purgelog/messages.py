"""The messages between routers and control machines, and among control machines.

Vectors of positions are flat lists of integers (`positions.flatten`). Machines and sources are numbered in
the order of their names in the settings.
"""

import enum

import msgspec

from brookhinge.purgelog.positions import Position


class Kind(enum.IntEnum):
    """Kind of an entry. Each kind only adds restrictions for routers; none lifts one."""

    PURGE = 1  # text: key of the object, number: -1; for a group text: "", number: the group
    DRAINING = 2  # text: name of a server, number: its start time, Unix milliseconds
    GONE = 3  # same fields as DRAINING
    OPENED = 4  # a source opened an epoch; number: the epoch. Routers ignore it


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of a log."""

    kind: int
    text: str
    number: int
    stamp_ms: int  # Unix clock of the sender of the purge; never compared with the clock of a reader
    retained: bool = False  # whether caches are not told of this purge, so that routers have to keep it


class Batch(msgspec.Struct, array_like=True, frozen=True):
    """Consecutive entries of one source and epoch after a position.

    A batch without entries gives the position to continue from when earlier entries are no longer held.
    """

    source: int
    epoch: int
    after_epoch: int
    after_index: int
    entries: list[Entry]

    @property
    def after(self) -> Position:
        """Position before the first entry."""
        return Position(self.after_epoch, self.after_index)

    @property
    def end(self) -> Position:
        """Position of the last entry; meaningless without entries."""
        return Position(self.epoch, self.after_index + len(self.entries))


class Subscribe(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A router subscribes to a control machine."""

    name: str
    session: int  # incremented at each change of machine
    number: int  # of this message, echoed by a push
    previous: int  # number of the machine subscribed to before, or -1
    positions: list[int]  # acknowledged positions; empty after a start
    host: str  # address for pushes; "": source address of the datagram
    port: int
    boots: list[int] = []  # process ids of the machines whose logs the positions are in; empty: not told


class Poll(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Acknowledges positions and requests the entries after them."""

    session: int
    number: int
    answer: bool  # whether a push is expected even without new entries
    gap: bool  # whether entries arrived after a gap: resend from the positions on
    positions: list[int]


class Leave(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """A router shuts down as planned."""

    session: int


class Push(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """New entries, and a proof of the log heads.

    No entry accepted before the proven moment is after `heads`. That moment is at most `age_ms` before the
    router's echoed message was received.
    """

    session: int  # session of the router's subscription
    echo: int  # number of the router's last message; 0: none
    age_ms: int  # -1: no proof, since this machine has no majority
    heads: list[int]
    boots: list[int]  # process ids of the machines in the majority; 0 for each other machine
    restart: bool  # the entries after the router's positions are not sent; it continues from heads
    batches: list[Batch]


class Unknown(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """The machine has no subscription of this router in this session."""

    session: int


class BackfillRequest(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """A router requests fingerprints of entries after a position."""

    number: int
    source: int
    epoch: int
    index: int


class Segment(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Fingerprints, 4 bytes each, of all purges from the requested position or earlier through `index`."""

    number: int
    source: int
    epoch: int
    index: int
    fingerprints: bytes


class Horizon(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """The machine no longer holds the requested entries."""

    number: int
    source: int


class Report(msgspec.Struct, array_like=True, frozen=True):
    """What one control machine knows about its routers."""

    machine: int
    boot: int
    number: int  # incremented with each report of the process; the highest one is current
    floors: list[int]  # positions held by the machine and acknowledged by all its routers
    lost_floors: list[int]  # acknowledged by all routers whose lease ended recently; empty: none
    routers: int  # number of subscribed routers
    behind: list[str]  # names of some routers with unacknowledged entries
    lost: list[str]  # names of some routers whose lease ended


class Sync(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """Heartbeat, quorum read and reports, exchanged by control machines several times a second."""

    machine: int
    number: int
    echo: int  # number of the receiver's last sync
    recovered: (
        bool  # whether it holds all that a majority held after its start; else it counts in no majority
    )
    promises: list[int]  # for each source the epoch below which the sender accepts no entries
    positions: list[int]
    silence_ms: list[int]  # for each machine the time since its last message
    reports: list[Report]
    moved: list[tuple[str, int, int]]  # routers that have caught up at this machine: name, process, session


class Append(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """Entries from one control machine to another."""

    machine: int
    epochs: list[int]  # of the sender's logs, one per source
    batches: list[Batch]


class Submit(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """Requests that a control machine append an entry."""

    number: int
    entry: Entry


class StatusRequest(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """Requests the progress of an entry from its source."""

    number: int
    epoch: int
    index: int


class Status(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """Response to Submit and StatusRequest."""

    number: int
    source: int
    epoch: int  # 0: not appended, since this machine has no open epoch
    index: int
    outcome: int  # progress.Outcome
    missing: list[tuple[str, str]]  # name of a router or machine, and the reason


class RetainedState(enum.IntEnum):
    """What a process holds of the retained purges."""

    PARTIAL = 0  # some may be missing
    OF_LOGS_BEFORE = 1  # all of the logs before the current ones, which began anew without history
    COMPLETE = 2  # all up to its positions


class RetainedPurge(msgspec.Struct, array_like=True, frozen=True):
    """A retained purge, dated by its age, so that no two clocks are compared."""

    text: str  # key of the object; "": a group
    number: int  # the group; -1: an object
    age_ms: int
    stamp_ms: int  # of the entry; the same purge has the same stamp


class RetainedRequest(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """Requests the retained purges after a name."""

    machine: int  # number of the requesting control machine; -1: a router
    number: int
    after_text: str
    after_number: int


class RetainedPage(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """Some of a process's retained purges, in order of their names."""

    number: int  # of the request
    state: int  # RetainedState
    proof_age_ms: int  # with OF_LOGS_BEFORE, since the last proof in those logs; else -1
    positions: list[int]  # of the sender; empty: it has none
    floor_age_ms: int  # every copy made before counts as purged; -1: no floor
    floor_stamp: int  # the same floor has the same stamp
    purges: list[RetainedPurge]
    is_last: bool


Message = (
    Subscribe | Poll | Leave | Push | Unknown | BackfillRequest | Segment | Horizon | Sync
    | Append | Submit | StatusRequest | Status | RetainedRequest | RetainedPage
)  # fmt: skip
