"""Lookup of the network that a client address belongs to: a configured address block, else a prefix.

This is the only module that uses the prefix tree library (py-radix). Memory is bounded for any set of
addresses.
"""

from collections.abc import Mapping, Sequence

import radix

PREFIX_BITS_V4 = 24  # prefix length for an address in no configured block
PREFIX_BITS_V6 = 64
WIDE_PREFIX_BITS_V4 = 16  # prefix length once `max_networks` prefixes have been learned
WIDE_PREFIX_BITS_V6 = 48
DEFAULT_MAX_NETWORKS = 4096
UNKNOWN_NETWORK = ""  # name for text that is not an IP address
OTHER_NETWORKS = "elsewhere"  # common name for all addresses beyond the memory bound


class Networks:
    """Maps addresses to networks.

    Attributes:
        learned: Number of prefixes learned from client addresses.
    """

    def __init__(
        self, blocks: Mapping[str, Sequence[str]] | None = None, max_networks: int = DEFAULT_MAX_NETWORKS
    ) -> None:
        """Create a map that knows only the configured blocks.

        Args:
            blocks: Address prefixes of each network name.
            max_networks: Prefixes learned at the narrow length; then as many again at the wide length.

        Raises:
            ValueError: A configured prefix cannot be parsed.
        """
        self.learned = 0
        self._tree = radix.Radix()
        self._max_networks = max_networks
        for name, prefixes in (blocks or {}).items():
            for prefix in prefixes:
                self._add_block(name, prefix)

    def _add_block(self, name: str, prefix: str) -> None:
        try:
            self._tree.add(prefix).data["name"] = name
        except (ValueError, TypeError):
            raise ValueError(f"{name}: expected a prefix such as 192.0.2.0/24, got {prefix!r:.60}") from None

    def network_of(self, address: str) -> str:
        """Return the name of the network that an address belongs to, learning its prefix if it is new."""
        try:
            match = self._tree.search_best(address)
            if match is not None:
                return match.data["name"]
            if self.learned >= 2 * self._max_networks:
                return OTHER_NETWORKS
            node = self._tree.add(address, self._prefix_bits(address))
        except (ValueError, TypeError):
            return UNKNOWN_NETWORK
        self.learned += 1
        node.data["name"] = node.prefix
        return node.prefix

    def _prefix_bits(self, address: str) -> int:
        is_v6 = ":" in address
        if self.learned < self._max_networks:
            return PREFIX_BITS_V6 if is_v6 else PREFIX_BITS_V4
        return WIDE_PREFIX_BITS_V6 if is_v6 else WIDE_PREFIX_BITS_V4
