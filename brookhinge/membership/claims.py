"""The claim type: what one router states about a process of the fleet, itself or another."""

import enum
from typing import NamedTuple


class MemberState(enum.IntEnum):
    """The believed state of a member; within one incarnation the higher value wins.

    The numbers are part of the wire format.
    """

    ALIVE = 0
    SUSPECTED = 1
    LOST = 2
    LEFT = 3

    @property
    def label(self) -> str:
        """The name of the state in logs, metrics and command output."""
        return _LABELS[self]


_LABELS = {state: state.name.lower() for state in MemberState}

PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECTED)
GONE_STATES = (MemberState.LOST, MemberState.LEFT)


class Claim(NamedTuple):
    """One statement about one process; encoded on the wire as an array in this order.

    Attributes:
        name: The member's name, which is kept across restarts.
        incarnation_id: Random id of the process, drawn when it starts.
        started_at_ms: Start time by the process's own wall clock, in Unix milliseconds; identifies the older
            of two processes with one name.
        incarnation: Version number of the claim, raised only by the process itself; higher is newer.
        state: Believed state of the process.
        host: Host of its membership socket.
        port: UDP port of its membership socket.
        zone: Zone of the process.
        version: Protocol version that it speaks.
        age_s: Seconds since it left or was lost; 0 while it is present.
    """

    name: str
    incarnation_id: int
    started_at_ms: int
    incarnation: int
    state: MemberState
    host: str
    port: int
    zone: str
    version: int
    age_s: float

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the membership socket."""
        return self.host, self.port
