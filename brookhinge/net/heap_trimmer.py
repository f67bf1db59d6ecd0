"""Returns memory to the system after much of it was held for a while.

The C library keeps what was freed between objects that are in use. After a crowd of clients has gone, that
would be most of what the crowd had made the process take.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from brookhinge.net.memory_use import MemoryUse

TRIM_INTERVAL_S = 2.0
MIN_RELEASED_BYTES = 500_000  # less is not worth the time that trimming takes


def system_trim() -> Callable[[int], object] | None:
    """Return the C library's function that returns free memory to the system, None if it has none."""
    import ctypes  # only where it is needed: it takes half a megabyte

    try:
        return ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError):
        return None


class HeapTrimmer:
    """Trims the heap once much less is held than before.

    Attributes:
        most_held_bytes: The most bytes held since the heap was last trimmed, as far as it was seen.
        trims: How often the heap was trimmed.
    """

    def __init__(self, memory: MemoryUse, find_trim: Callable[[], Callable | None] = system_trim) -> None:
        """Prepare to trim the heap of this process.

        Args:
            memory: What the router holds.
            find_trim: Returns the function that trims the heap, None if there is none.
        """
        self.most_held_bytes = 0
        self.trims = 0
        self._memory = memory
        self._find_trim = find_trim

    def note_held(self) -> None:
        """Note what is held now; called often."""
        self.most_held_bytes = max(self.most_held_bytes, self._held_bytes())

    def trim_if_released(self) -> None:
        """Trim the heap if most of what was held has been released since the heap was last trimmed."""
        held = self._held_bytes()
        if self.most_held_bytes - held < max(MIN_RELEASED_BYTES, self.most_held_bytes // 2):
            return
        self.most_held_bytes = held
        trim = self._find_trim()
        if trim is not None:
            trim(0)
            self.trims += 1

    def _held_bytes(self) -> int:
        return sum(self._memory.held().values())

    async def run(self) -> None:
        """Trim the heap when that is worth it, until cancelled."""
        while True:
            await asyncio.sleep(TRIM_INTERVAL_S)
            self.trim_if_released()
