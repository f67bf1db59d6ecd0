"""Types that the cores of the purge log share with whoever runs them. No I/O."""

from collections.abc import Callable
from typing import Protocol

from brookhinge.purgelog.messages import Message

Address = tuple[str, int]
"""Host and port."""

LogFunction = Callable[..., None]
"""Called as log(event, **values)."""


class MessageWriter(Protocol):
    """Sends what a core has to say."""

    def send(self, address: Address, message: Message) -> None:
        """Send a message; it may be lost, duplicated or reordered on the way."""
