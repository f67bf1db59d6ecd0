"""The interface through which a peer sends datagrams and reports events; a transport implements it."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from brookhinge.membership.claims import Claim
from brookhinge.membership.messages import Notice
from brookhinge.membership.view import MemberChange


class PeerWriter(Protocol):
    """Sends the datagrams and receives the events of one peer."""

    def send(
        self,
        address: tuple[str, int],
        message: msgspec.Struct,
        updates: Sequence[Claim],
        notices: Sequence[Notice],
    ) -> None:
        """Send a datagram to a member."""

    def changed(self, change: MemberChange, name: str, reporter: str) -> None:
        """Report a change of a member and the member whose claim caused it."""

    def notice(self, kind: str, values: tuple, reporter: str) -> None:
        """Report a notice received from a member; each notice is reported once."""
