"""A claim: what one router states about a process of the fleet, itself or another."""

import enum
from typing import NamedTuple


class MemberState(enum.IntEnum):
    """What is believed of a member; within one incarnation the higher wins. The numbers are the wire's."""

    ALIVE = 0
    SUSPECTED = 1
    LOST = 2
    LEFT = 3

    @property
    def label(self) -> str:
        """The state as logs, metrics and the command line show it."""
        return _LABELS[self]


_LABELS = {state: state.name.lower() for state in MemberState}

PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECTED)
GONE_STATES = (MemberState.LOST, MemberState.LEFT)


class Claim(NamedTuple):
    """One statement about one process; it goes over the wire as an array in this order.

    Attributes:
        name: the member's name, the same after a restart.
        incarnation_id: drawn at random when the process starts.
        started_at_ms: start of the process by its own wall clock; tells the older of two processes with one
            name.
        incarnation: raised by the process itself alone; the claim with the higher one is the newer.
        state: see MemberState.
        host: where its membership socket listens.
        port: see host.
        zone: the place it stands in.
        version: of the protocol that it speaks.
        age_s: seconds since it left or was lost; 0 for a member that is present.
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
