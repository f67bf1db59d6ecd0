"""Networks that clients come from: the operator's own blocks where they are told, else a prefix of the address. The one
place that knows the prefix tree's library (py-radix); bounded whatever addresses come."""

import radix

V4, V6 = 24, 64  # bits of a network whose blocks are not told
WIDE_V4, WIDE_V6 = 16, 48  # and once there are too many of those


class Networks:
    """blocks: {name: [prefix, ...]}; most: networks known by prefix, past which wider ones are used. ValueError names a
    prefix that can't be read."""

    def __init__(self, blocks=None, most=4096):
        self.tree, self.most, self.learned = radix.Radix(), most, 0
        for name, prefixes in (blocks or {}).items():
            for prefix in prefixes:
                try:
                    self.tree.add(prefix).data["name"] = name
                except (ValueError, TypeError):
                    raise ValueError(
                        f"{name}: expected a prefix as 192.0.2.0/24, got {prefix!r:.60}"
                    ) from None

    def of(self, address):
        """The network's name; "" for what is no address."""
        try:
            known = self.tree.search_best(address)
            if known is not None:
                return known.data["name"]
            six = ":" in address
            bits = (V6 if six else V4) if self.learned < self.most else (WIDE_V6 if six else WIDE_V4)
            if self.learned >= 2 * self.most:  # so many even of the wide ones: all others are one
                return "elsewhere"
            node = self.tree.add(address, bits)
        except (ValueError, TypeError):
            return ""
        self.learned += 1
        node.data["name"] = node.prefix
        return node.prefix
