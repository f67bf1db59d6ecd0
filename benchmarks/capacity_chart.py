"""The chart of kept capacity figures: what a router and a control machine spend, and how soon a purge is in force everywhere."""

from brookhinge.emulator.capacity import results
from brookhinge.emulator.capacity.driver import LOG, PEERS

PANELS = (
    ("bytes_s", "bytes a second of the worst router, sent and received", 4000),
    ("all_s", "seconds until a purge is in force everywhere, worst", 1.2),
    ("core_share", "part of a core of the worst router (sockets left out)", 0.016),
)
COLOURS = {PEERS: "tab:red", LOG: "tab:blue"}


def write_chart(rows, path):
    """A panel for each figure over the size of the fleet: each run of virtual time one point, the allowance a line."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    board, places = pyplot.subplots(1, len(PANELS), figsize=(16, 4.4))
    for place, (figure, title, allowed) in zip(places, PANELS):
        for mechanism, colour in COLOURS.items():
            draw(
                place,
                results.select(rows, kind="virtual", scenario="cost", mechanism=mechanism),
                figure,
                colour,
            )
        place.axhline(allowed, color="black", linestyle="--", linewidth=1, label="allowed")
        place.set_xscale("log")
        place.set_xlabel("routers")
        place.set_ylim(bottom=0)
        place.set_title(title + "\n5.1 purges a second, virtual time", fontsize=9)
        place.legend(fontsize=8)
    board.tight_layout()
    board.savefig(path, dpi=90)


def draw(place, rows, figure, colour):
    """The points of one mechanism."""
    points = [(row["routers"], results.value(row, "ordinary", figure, "worst")) for row in rows]
    if points:
        label = rows[0]["mechanism"]
        place.plot([n for n, _ in points], [y for _, y in points], "o", color=colour, label=label, alpha=0.7)
