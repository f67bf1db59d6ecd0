"""Draws the chart of stored capacity figures: router cost, and time until a purge is in force everywhere."""

from brookhinge.emulator.capacity import results
from brookhinge.emulator.capacity.driver import LOG, PEERS

PANELS = (
    ("bytes_s", "bytes a second of the worst router, sent and received", 4000),
    ("all_s", "seconds until a purge is in force everywhere, worst", 1.2),
    ("core_share", "part of a core of the worst router (sockets left out)", 0.016),
)
COLORS = {PEERS: "tab:red", LOG: "tab:blue"}


def write_chart(rows, path):
    """Write a chart with one panel per figure over the fleet size.

    Each run in virtual time is a point, and the budget is a line.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    chart, panels = pyplot.subplots(1, len(PANELS), figsize=(16, 4.4))
    for panel, (figure, title, allowed) in zip(panels, PANELS):
        for mechanism, color in COLORS.items():
            plot_points(
                panel,
                results.select(rows, kind="virtual", scenario="cost", mechanism=mechanism),
                figure,
                color,
            )
        panel.axhline(allowed, color="black", linestyle="--", linewidth=1, label="allowed")
        panel.set_xscale("log")
        panel.set_xlabel("routers")
        panel.set_ylim(bottom=0)
        panel.set_title(title + "\n5.1 purges a second, virtual time", fontsize=9)
        panel.legend(fontsize=8)
    chart.tight_layout()
    chart.savefig(path, dpi=90)


def plot_points(panel, rows, figure, color):
    """Plot the points of one mechanism."""
    points = [(row["routers"], results.value(row, "ordinary", figure, "worst")) for row in rows]
    if points:
        label = rows[0]["mechanism"]
        panel.plot([n for n, _ in points], [y for _, y in points], "o", color=color, label=label, alpha=0.7)
