"""Index of objects by key and by purge group, so that a purge costs what it covers. No I/O, no clock."""

from collections.abc import Hashable
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)


class PurgeIndex(Generic[Item]):
    """Finds the items that a purge covers, without a pass over the others.

    An item belongs to one object, which has a key and a group; an object may have several items.
    """

    def __init__(self) -> None:
        """Create an empty index."""
        self._by_key: dict[str, list[Item]] = {}
        self._by_group: dict[int, dict[Item, None]] = {}

    def add(self, key: str, group: int, item: Item) -> None:
        """Add an item of an object; it must not be in the index yet."""
        self._by_key.setdefault(key, []).append(item)
        self._by_group.setdefault(group, {})[item] = None

    def remove(self, key: str, group: int, item: Item) -> None:
        """Remove an item of an object.

        Raises:
            KeyError: The item is not in the index.
        """
        of_key = self._by_key[key]
        of_key.remove(item)
        if not of_key:
            del self._by_key[key]
        of_group = self._by_group[group]
        del of_group[item]
        if not of_group:
            del self._by_group[group]

    def covered(self, key: str, group: int) -> list[Item]:
        """Return the items that a purge of an object covers, or of a group if `key` is empty."""
        return list(self._by_key.get(key, ()) if key else self._by_group.get(group, ()))
