"""The decisions of a router that tells warm-start state and is told it (`warm_start.py`).

What is told loosens nothing: a cache is asked for what it holds with the oldest copy that will do as ever,
and a wrong hint costs a miss.
"""

from brookhinge.decisions.messages import RouterMessage, WarmStartReceived
from brookhinge.membership.warm_start import MAX_ROWS

LONGEST_KEY = 64  # of objects whose holders are told
# Kinds of rows.
RING = "ring"
TRANSFER_TIME = "takes"
HOLDER = "holder"


class WarmStartMixin:
    """Goes before Router: it also takes `WarmStartReceived`, and `memory` tells what a peer may want."""

    def handle(self, message: RouterMessage) -> None:
        """Handle one message; what the router has learnt itself goes before what it is told."""
        if isinstance(message, WarmStartReceived):
            for kind, *row in message.rows:
                if kind == RING:
                    self._learn_ring(*row)
                elif kind == TRANSFER_TIME:
                    self._learn_transfer_time(*row)
                elif kind == HOLDER:
                    self._learn_holder(*row)
        else:
            super().handle(message)

    def memory(self) -> list[tuple]:
        """Return rows of what this router knows: (kind, text, number, text, number, number) each."""
        ids = self.endpoints.ids
        rows = [
            (RING, ids[ring.points[0]], len(ring.points), "", ring.range_ends[0], ring.range_ends[1])
            for ring in self.rings.rings
            if len(ring.points) in (2, 3)
        ]
        rows += [
            (TRANSFER_TIME, one.name, 0, "", mean_s, samples)
            for one, mean_s, samples in zip(
                self.request_classes, self.statistics.transfer_s, self.statistics.samples, strict=True
            )
        ]
        wanted = sorted(
            (
                state
                for state in self.objects.states.values()
                if self.eligibility.current_holders(state, self.now) and len(state.key) <= LONGEST_KEY
            ),
            key=lambda state: -state.count,
        )
        rows += [
            (HOLDER, state.key, state.part, ids[server], state.group, state.count)
            for state in wanted[:MAX_ROWS]
            for server in state.holders
        ]
        return rows

    def _learn_ring(self, first: int | str, points: int, _: str, first_end: int, second_end: int) -> None:
        """Take over the sub-ranges of a ring that has the same points here."""
        for ring in self.rings.rings:
            is_same = self.endpoints.ids[ring.points[0]] == first and len(ring.points) == points
            if is_same and 0 < first_end <= second_end <= ring.range_ends[-1]:
                ring.range_ends[:-1] = [first_end, second_end][: points - 1]

    def _learn_transfer_time(self, name: str, _: int, __: str, mean_s: float, samples: float) -> None:
        """Take over a class's mean transfer time where the peer has counted more requests."""
        statistics = self.statistics
        for i, one in enumerate(self.request_classes):
            if one.name == name and samples > statistics.samples[i] and mean_s > 0.0:
                statistics.transfer_s[i] = mean_s
                statistics.samples[i] = samples

    def _learn_holder(self, key: str, part: int, server: int | str, group: int, count: float) -> None:
        """Take over a holder of an object, unless that was purged lately."""
        server_index = self.endpoints.index.get(server)
        objects = self.objects
        was_purged = self.purges.is_known(key) or self.purges.is_known(group)
        if (
            server_index in self.endpoints.local_caches
            and len(objects.states) < objects.max_objects
            and not was_purged
        ):
            state = objects.get_or_add(key, part, group)
            state.holders.setdefault(server_index, self.now)
            state.count = max(state.count, count / 2.0)
