"""Totals of request outcomes by class since the start, for comparing routers. No I/O, no clock."""

from collections.abc import Sequence

from brookhinge.decisions.settings import RequestClass
from brookhinge.engine.open_requests import Outcome


class Scores:
    """Totals by figure.

    Attributes:
        totals: {figure name in the log: (requests, sum)}. "worth" counts 1 for a response within the latency
            objective, and the late share of the request class for a later response.
    """

    def __init__(self, classes: Sequence[RequestClass], flow_kb_s: float) -> None:
        """Start with empty totals.

        Args:
            classes: Settings of the request classes, by index.
            flow_kb_s: Transfer rate to a client in KB/s; 0 if unknown.
        """
        self.classes = classes
        self.flow_kb_s = flow_kb_s
        self.totals: dict[str, tuple[int, float]] = {}

    def record(self, request_class: int, size_kb: float, took_s: float, outcome: Outcome) -> None:
        """Count an ended request; withdrawn requests are not counted.

        Args:
            request_class: Index of the request class.
            size_kb: Size of the object in KB.
            took_s: Seconds from receipt of the request to its end.
            outcome: How the request ended.
        """
        if outcome is Outcome.WITHDRAWN:
            return
        settings = self.classes[request_class]
        transfer_s = size_kb / self.flow_kb_s if self.flow_kb_s else 0.0
        objective_s = settings.latency_objective_s + settings.objective_stretch * transfer_s
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
