"""What became of queries, by track, as totals since the start: for whoever compares routers. No I/O, no clock."""


class Scores:
    """tracks: of decisions/settings.py, by number; flow_kb_s: pace of one transfer to a client, 0 where it is not told.

    totals: {figure: (queries, sum)}; worth counts 1 for an answer in its contract time and the track's late share after it."""

    def __init__(self, tracks, flow_kb_s):
        self.tracks, self.flow, self.totals = tracks, flow_kb_s, {}

    def ended(self, track, size_kb, took, how):
        """how: satisfied, refused or failed; a query that its client gave up counts for nothing."""
        if how == "forgotten":
            return
        t = self.tracks[track]
        aim = t.latency_objective_s + t.objective_stretch * (size_kb / self.flow if self.flow else 0.0)
        good = how == "satisfied"
        worth = 0.0 if not good else 1.0 if took <= aim else t.late_share
        for figure, value in (
            ("worth", worth),
            (f"worth {t.name}", worth),
            ("failed", how == "failed"),
            ("nacked", how == "refused"),
            ("late", good and took > aim),
        ):
            queries, total = self.totals.get(figure, (0, 0.0))
            self.totals[figure] = queries + 1, total + value
        if good:
            queries, total = self.totals.get("took", (0, 0.0))
            self.totals["took"] = queries + 1, total + took
