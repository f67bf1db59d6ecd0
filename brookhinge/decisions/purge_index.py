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
        # Most objects have one item, which takes less memory without a container. Items are in the order in
        # which they were added.
        self._by_key: dict[str, Item | dict[Item, None]] = {}
        self._by_group: dict[int, dict[Item, None]] = {}

    def add(self, key: str, group: int, item: Item) -> None:
        """Add an item of an object; it must not be in the index yet."""
        of_key = self._by_key.get(key)
        if of_key is None:
            self._by_key[key] = item
        elif isinstance(of_key, dict):
            of_key[item] = None
        else:
            self._by_key[key] = {of_key: None, item: None}
        self._by_group.setdefault(group, {})[item] = None

    def remove(self, key: str, group: int, item: Item) -> None:
        """Remove an item of an object.

        Raises:
            KeyError: The item is not in the index.
        """
        of_key = self._by_key[key]
        if isinstance(of_key, dict):
            del of_key[item]
        if not isinstance(of_key, dict) or not of_key:
            del self._by_key[key]
        of_group = self._by_group[group]
        del of_group[item]
        if not of_group:
            del self._by_group[group]

    def covered(self, key: str, group: int) -> list[Item]:
        """Return the items that a purge of an object covers, or of a group if `key` is empty."""
        if not key:
            return list(self._by_group.get(group, ()))
        of_key = self._by_key.get(key)
        if of_key is None:
            return []
        return list(of_key) if isinstance(of_key, dict) else [of_key]
