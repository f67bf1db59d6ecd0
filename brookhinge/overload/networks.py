"""Networks that clients come from: blocks of the operator where they are known, else address prefixes.

The one place that knows the prefix tree's library (py-radix). Memory is bounded whatever addresses come.
"""

from collections.abc import Mapping, Sequence

import radix

PREFIX_BITS_V4 = 24  # of a network that is in no block
PREFIX_BITS_V6 = 64
WIDE_PREFIX_BITS_V4 = 16  # once there are too many of those
WIDE_PREFIX_BITS_V6 = 48
DEFAULT_MAX_NETWORKS = 4096
UNKNOWN_NETWORK = ""  # of what is no address
OTHER_NETWORKS = "elsewhere"  # all for which there is no place


class Networks:
    """Maps addresses to networks.

    Attributes:
        learned: Networks that are known by prefix.
    """

    def __init__(
        self, blocks: Mapping[str, Sequence[str]] | None = None, max_networks: int = DEFAULT_MAX_NETWORKS
    ) -> None:
        """Make a map.

        Args:
            blocks: Prefixes by the name of their network.
            max_networks: Networks known by prefix; beyond them wider prefixes are used, as many again.

        Raises:
            ValueError: Names a prefix that can't be read.
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
            raise ValueError(f"{name}: expected a prefix as 192.0.2.0/24, got {prefix!r:.60}") from None

    def network_of(self, address: str) -> str:
        """The name of the network of an address."""
        try:
            known = self._tree.search_best(address)
            if known is not None:
                return known.data["name"]
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
