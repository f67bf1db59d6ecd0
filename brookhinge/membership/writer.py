"""What a peer tells its host: the interface that a transport implements."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from brookhinge.membership.claims import Claim
from brookhinge.membership.messages import Notice
from brookhinge.membership.view import MemberChange


class PeerWriter(Protocol):
    """Takes the datagrams and the events of one peer."""

    def send(
        self,
        address: tuple[str, int],
        message: msgspec.Struct,
        updates: Sequence[Claim],
        notices: Sequence[Notice],
    ) -> None:
        """Send a datagram to a member."""

    def changed(self, change: MemberChange, name: str, reporter: str) -> None:
        """Note a change of a member, by whose claim it came."""

    def notice(self, kind: str, values: tuple, reporter: str) -> None:
        """Take a notice received from a member, once each."""
