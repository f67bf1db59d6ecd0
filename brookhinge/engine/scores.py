"""Outcomes of requests by class, as totals since the start, for comparing routers. No I/O, no clock."""

from collections.abc import Sequence

from brookhinge.decisions.settings import RequestClass
from brookhinge.engine.open_requests import Outcome


class Scores:
    """Totals by figure.

    Attributes:
        totals: {figure: (requests, sum)}. "worth" counts 1 for a response within the latency objective and
            the class's late share after it; the names of the figures are those of the log.
    """

    def __init__(self, classes: Sequence[RequestClass], flow_kb_s: float) -> None:
        """Count for these classes; `flow_kb_s` is the pace of a transfer to a client, 0: unknown."""
        self.classes = classes
        self.flow_kb_s = flow_kb_s
        self.totals: dict[str, tuple[int, float]] = {}

    def ended(self, request_class: int, size_kb: float, took_s: float, outcome: Outcome) -> None:
        """Count a request of the class with that index that ended; a withdrawn one counts for nothing."""
        if outcome is Outcome.WITHDRAWN:
            return
        settings = self.classes[request_class]
        sending_s = size_kb / self.flow_kb_s if self.flow_kb_s else 0.0
        objective_s = settings.latency_objective_s + settings.objective_stretch * sending_s
        satisfied = outcome is Outcome.SATISFIED
        in_time = took_s <= objective_s
        worth = 0.0
        if satisfied:
            worth = 1.0 if in_time else settings.late_share
        self.add("worth", worth)
        self.add(f"worth {settings.name}", worth)
        self.add("failed", outcome is Outcome.FAILED)
        self.add("nacked", outcome is Outcome.REJECTED)
        self.add("late", satisfied and not in_time)
        if satisfied:
            self.add("took", took_s)

    def add(self, figure: str, value: float) -> None:
        """Add one request to a figure."""
        requests, total = self.totals.get(figure, (0, 0.0))
        self.totals[figure] = requests + 1, total + value
