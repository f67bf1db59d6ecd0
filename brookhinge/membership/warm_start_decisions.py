"""Provides a router's warm-start state to members and applies theirs (see `warm_start.py`).

The received state loosens no rule: a request to a cache still states the oldest copy that is acceptable, and
a wrong hint costs a miss.
"""

from brookhinge.decisions.messages import RouterMessage, WarmStartReceived
from brookhinge.membership.warm_start import MAX_ROWS

MAX_KEY_LENGTH = 64  # characters; holders of objects with longer keys are not sent
# Row kinds; part of the wire format.
RING = "ring"
TRANSFER_TIME = "takes"
HOLDER = "holder"


class WarmStartMixin:
    """A mixin placed before Router that handles `WarmStartReceived` and provides the warm-start rows."""

    def handle(self, message: RouterMessage) -> None:
        """Handle one message; state learned by this router takes precedence over received state."""
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

    def warm_start_rows(self) -> list[tuple]:
        """Return the state of this router as rows (kind, text, number, text, number, number)."""
        ids = self.endpoints.ids
        rows = [
            (RING, ids[ring.points[0]], len(ring.points), "", ring.range_ends[0], ring.range_ends[1])
            for ring in self.rings.rings
            if len(ring.points) in (2, 3)
        ]
        rows += [
            (TRANSFER_TIME, request_class.name, 0, "", mean_s, samples)
            for request_class, mean_s, samples in zip(
                self.request_classes, self.statistics.transfer_s, self.statistics.samples, strict=True
            )
        ]
        most_requested = sorted(
            (
                state
                for state in self.objects.states.values()
                if self.eligibility.current_holders(state, self.now) and len(state.key) <= MAX_KEY_LENGTH
            ),
            key=lambda state: -state.count,
        )
        rows += [
            (HOLDER, state.key, state.part, ids[server], state.group, state.count)
            for state in most_requested[:MAX_ROWS]
            for server in state.holders
        ]
        return rows

    def _learn_ring(self, first: int | str, points: int, _: str, first_end: int, second_end: int) -> None:
        """Adopt the sub-ranges of a ring that has the same first point and number of points here."""
        for ring in self.rings.rings:
            is_same = self.endpoints.ids[ring.points[0]] == first and len(ring.points) == points
            if is_same and 0 < first_end <= second_end <= ring.range_ends[-1]:
                ring.range_ends[:-1] = [first_end, second_end][: points - 1]

    def _learn_transfer_time(self, name: str, _: int, __: str, mean_s: float, samples: float) -> None:
        """Adopt a request class's mean transfer time if it rests on more samples than the local one."""
        statistics = self.statistics
        for i, request_class in enumerate(self.request_classes):
            if request_class.name == name and samples > statistics.samples[i] and mean_s > 0.0:
                statistics.transfer_s[i] = mean_s
                statistics.samples[i] = samples

    def _learn_holder(self, key: str, part: int, server: int | str, group: int, count: float) -> None:
        """Add a holder of an object, unless the object or its group was purged recently."""
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
