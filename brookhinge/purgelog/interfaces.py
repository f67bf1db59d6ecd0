"""Types shared by the cores of the purge log and the code that runs them. No I/O."""

from collections.abc import Callable
from typing import Protocol

from brookhinge.purgelog.messages import Message

Address = tuple[str, int]
"""Host and port."""

LogFunction = Callable[..., None]
"""Called as log(event, **values)."""


class MessageWriter(Protocol):
    """Sends the messages of a core."""

    def send(self, address: Address, message: Message) -> None:
        """Send a message; the network may lose, duplicate or reorder it."""
