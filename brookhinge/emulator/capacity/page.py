"""Generates docs/CAPACITY.md from the stored figures alone; figures without a run are shown as `not measured`."""

from typing import NamedTuple

from brookhinge.emulator.capacity import results
from brookhinge.emulator.capacity.driver import LOG, PEERS
from brookhinge.emulator.capacity.fit import CURVES, fit
from brookhinge.emulator.capacity.layout import read_layout

PAGE = results.ROOT / "docs" / "CAPACITY.md"
LAYOUT = results.ROOT / "deploy" / "capacity.hcl"
NOT_MEASURED = "not measured"
TITLES = {PEERS: "before (notices among peers)", LOG: "now (purge log)"}
# peak of the whole fleet
REQUESTS_S = 590_000
BITS_S = 3.2e12
OBJECTS = 450_000_000
LARGEST_SIZE = 100_000  # routers up to which the fitted curves are extrapolated


class Budget(NamedTuple):
    """Budget of one figure at the design size.

    Attributes:
        title: Name of the figure on the page.
        phase: Phase in which it is measured.
        figure: Key of the figure in the phase.
        part: `median` or `worst`, or empty for a figure that is a single number.
        limit: Largest value allowed.
        unit: Unit on the page, or empty.
    """

    title: str
    phase: str
    figure: str
    part: str
    limit: float
    unit: str


BUDGETS = (
    Budget("control traffic of a router, sent and received", "ordinary", "bytes_s", "worst", 4000, "bytes/s"),
    Budget("processor of a router for control", "ordinary", "core_share", "worst", 0.016, "of a core"),
    Budget("a purge in force at every router", "ordinary", "all_s", "worst", 1.2, "s"),
    Budget("known to be so at its source", "ordinary", "known_s", "worst", 1.2, "s"),
    Budget("arrivals of purges missed", "ordinary", "missed", "", 0, ""),
    Budget("exact again after an hour's cut", "hour_back", "catch_up_s", "", 120, "s"),
    Budget("missed by routers cut off for an hour", "hour_back", "missed_while_away", "", 0, ""),
    Budget(
        "traffic of such a router on its return, log alone", "hour_back", "bytes_s", "worst", 4000, "bytes/s"
    ),
)
SITUATIONS = (
    ("nothing happens", "idle"),
    ("an ordinary second: 5.1 purges", "ordinary"),
    ("the peak: limits short and lent, drawn demand", "peak"),
    ("a burst of 50 purges", "burst"),
    ("changes of configuration, 20 a minute", "changes"),
    ("all routers of a site start at once", "site_start"),
    ("a rolling restart, one a second", "rolling"),
    ("two machines fail", "failures"),
    ("a control machine is killed in a burst", "distributor"),
    ("a zone lost", "zone_cut"),
    ("the zone back", "zone_back"),
    ("a region cut off", "region_cut"),
    ("the region back", "region_back"),
    ("a region cut off for an hour (log alone)", "hour_cut"),
    ("its return (log alone)", "hour_back"),
)
SLOPES = (
    ("idle", "bytes_s", "median", "bytes/s of a router, idle, median"),
    ("idle", "bytes_s", "worst", "bytes/s of a router, idle, worst"),
    ("ordinary", "bytes_s", "median", "bytes/s of a router with purges, median"),
    ("ordinary", "bytes_s", "worst", "bytes/s of a router with purges, worst"),
    ("ordinary", "core_share", "median", "part of a core of a router with purges, median"),
    ("ordinary", "all_s", "worst", "seconds until a purge is in force everywhere, worst"),
    ("ordinary", "known_s", "worst", "seconds until its source knows, worst"),
    ("ordinary", "control.bytes_s", "worst", "bytes/s of a control machine with purges, worst"),
    ("ordinary", "control.core_share", "worst", "part of a core of a control machine, worst"),
)
ROLES = ("cache server", "parent", "command channel", "rollout coordinator", "its agents")
MECHANISMS = {
    PEERS: "membership (SWIM), limits and verdicts, purges as notices among peers",
    LOG: "membership (SWIM), limits and verdicts, purge log",
}


def format_figure(value):
    """Format a figure, or NOT_MEASURED for None."""
    if value is None:
        return NOT_MEASURED
    if isinstance(value, float) and abs(value) < 0.1:
        return f"{value:.4g}"
    return f"{value:,.2f}".rstrip("0").rstrip(".") if isinstance(value, float) else f"{value:,}"


def table(head, rows):
    """Return the lines of a Markdown table."""
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |"]
    return lines + ["| " + " | ".join(map(str, row)) + " |" for row in rows]


def format_median_worst(row, phase, figure):
    """Format the median and worst of a figure of one row."""
    worst = results.value(row, phase, figure, "worst")
    return (
        NOT_MEASURED
        if worst is None
        else f"{format_figure(results.value(row, phase, figure, 'median'))} / {format_figure(worst)}"
    )


class Page:
    """The generated page.

    Attributes:
        rows: Stored rows.
        layout: Layout at the design size.
        size: Number of routers at the design size.
    """

    def __init__(self, rows):
        self.rows = rows
        self.layout = read_layout(LAYOUT)
        self.size = self.layout.routers

    def text(self):
        """Return the whole page."""
        parts = (
            self.head,
            self.budgets,
            self.situations,
            self.slopes,
            self.breaking_sizes,
            self.roles,
            self.real_router,
            self.failures,
            self.runs,
        )
        return "\n\n".join("\n".join(part()) for part in parts) + "\n"

    def head(self):
        """Return the title and the description of the method."""
        return [
            "# Capacity of the control plane",
            "",
            "Written by `python -m benchmarks.capacity --page` from `benchmarks/results/capacity.json`; no figure is put in by hand, and",
            f"`{NOT_MEASURED}` stands where there is no run. Hollow routers (membership, limits, verdicts, purge log as in service, no data path)",
            "on loopback sockets, or the same cores and encoding in virtual time (simulated); links by seed as in `deploy/capacity.hcl`, loss",
            f"{self.layout.capacity.loss:.0%}. Bytes are UDP datagrams with {28} for IP and UDP headers, sent and received together. On sockets a site's",
            "processor time is divided by its routers, the interpreter's and the modelled links' part included; in virtual time it is that",
            "of a router's own calls, encoding included, sockets left out. A figure is that of the worst router unless it says median.",
        ]

    def rows_at_design_size(self, mechanism, phase):
        """Return the usable rows of a phase at the design size."""
        rows = results.select(self.rows, mechanism=mechanism, routers=self.size)
        return [row for row in rows if results.usable(row, phase)]

    def budgets(self):
        """Return the table of budgets and measured figures, for each mechanism."""
        lines = []
        for budget in BUDGETS:
            cells = [
                f"{budget.title} ({budget.unit})" if budget.unit else budget.title,
                format_figure(budget.limit),
            ]
            for mechanism in TITLES:
                cells.append(self.budget_cell(budget, mechanism))
            lines.append(cells)
        head = [f"at {self.size} routers", "allowed", *TITLES.values()]
        note = [
            "## What is allowed, and what is measured",
            "",
            "Median and worst of the runs (seeds) of the worst router in each; what is over the allowance says so.",
            "",
        ]
        return note + table(head, lines)

    def budget_cell(self, budget, mechanism):
        """Format the median and the worst run of one figure, and mark it if over budget."""
        rows = self.rows_at_design_size(mechanism, budget.phase)
        values = [results.value(row, budget.phase, budget.figure, budget.part or None) for row in rows]
        values = sorted(value for value in values if value is not None)
        if not values:
            return NOT_MEASURED
        middle = values[len(values) // 2]
        worst = values[-1]
        over = " **over**" if worst > budget.limit else ""
        return f"{format_figure(middle)}, {format_figure(worst)} ({len(values)} runs){over}"

    def situations(self):
        """Return the table of situations, each from the run nearest to the design size."""
        lines = []
        for title, phase in SITUATIONS:
            for mechanism, name in TITLES.items():
                row = self.nearest_row(mechanism, phase)
                if row is None:
                    lines.append([title, name, *[NOT_MEASURED] * 7])
                    continue
                figures = row["phases"][phase]
                lines.append(
                    [
                        title,
                        name,
                        f"{row['kind']}, {row['routers']}, {figures['seconds']:g} s",
                        format_median_worst(row, phase, "bytes_s"),
                        format_median_worst(row, phase, "core_share"),
                        format_median_worst(row, phase, "all_s"),
                        format_median_worst(row, phase, "known_s"),
                        format_missed(figures),
                        format_other_figures(figures),
                    ]
                )
        head = ["situation", "", "run", "bytes/s", "core", "in force, s", "known, s", "missed", "besides"]
        return ["## Situations (median / worst)", "", *table(head, lines)]

    def nearest_row(self, mechanism, phase):
        """Return the usable row with a phase whose size is nearest to the design size, preferring sockets, or None."""
        rows = [row for row in results.select(self.rows, mechanism=mechanism) if results.usable(row, phase)]
        order = [(abs(row["routers"] - self.size), row["kind"] != "sockets", row["seed"]) for row in rows]
        return rows[order.index(min(order))] if rows else None

    def points(self, mechanism, phase, figure, part):
        """Return (size, cost) of all cost runs in virtual time."""
        found = []
        for row in results.select(self.rows, mechanism=mechanism, kind="virtual", scenario="cost"):
            figures = row["phases"].get(phase, {})
            for name in figure.split("."):
                figures = figures.get(name) or {}
            if figures.get(part) is not None:
                found.append((row["routers"], figures[part]))
        return found

    def slopes(self):
        """Return the table of how each cost grows with the fleet."""
        lines = []
        for phase, figure, part, title in SLOPES:
            for mechanism, name in TITLES.items():
                points = self.points(mechanism, phase, figure, part)
                if len({size for size, _ in points}) < 3:
                    lines.append([title, name, *[NOT_MEASURED] * 5])
                    continue
                found = fit(points)
                slope = f"{found.slope:.3g} ± {found.slope_error:.2g}" if found.slope else "0"
                lines.append(
                    [
                        title,
                        name,
                        f"{found.curve} ({found.weight:.0%})",
                        f"{format_figure(round(found.base, 5))} + {slope}",
                        format_figure(round(found.at(132), 5)),
                        format_figure(round(found.at(530), 5)),
                        format_figure(round(found.at(1060), 5)),
                    ]
                )
        head = ["cost", "", "curve", "base + slope", "at 132", "at 530", "at 1,060"]
        return [
            "## Slopes",
            "",
            f"By least squares among {', '.join(CURVES)} and AICc over all sizes and seeds in virtual time; in brackets how likely the curve is",
            "among the four. Base and slope are of cost = base + slope * f(N).",
            "",
            *table(head, lines),
        ]

    def breaking_sizes(self):
        """Return the table of the sizes at which each budget is exceeded, by the fitted curves."""
        lines = []
        for mechanism, name in TITLES.items():
            for phase, figure, part, most, title in (
                ("ordinary", "bytes_s", "worst", 4000, "bytes a second of the worst router"),
                ("ordinary", "all_s", "worst", 1.2, "a purge in force everywhere"),
                ("ordinary", "known_s", "worst", 1.2, "known to be so"),
                ("ordinary", "core_share", "worst", 0.016, "processor of the worst router, sockets left out"),
                (
                    "ordinary",
                    "control.core_share",
                    "worst",
                    1.0,
                    "one core of a control machine, sockets left out",
                ),
            ):
                points = self.points(mechanism, phase, figure, part)
                measured = len({size for size, _ in points}) >= 3
                lines.append([title, name, breaking_size(fit(points), most) if measured else NOT_MEASURED])
        return ["## What breaks first", "", *table(["budget", "", "passed at these sizes"], lines)]

    def roles(self):
        """Return the table of traffic, messages, processor time and memory by role."""
        lines = []
        for mechanism, name in TITLES.items():
            row = self.nearest_row(mechanism, "ordinary")
            memory = [
                r["state"].get("memory_mb_router") for r in results.select(self.rows, mechanism=mechanism)
            ]
            cells = (
                [NOT_MEASURED] * 3
                if row is None
                else [format_median_worst(row, "ordinary", f) for f in ROLE_FIGURES]
            )
            lines.append(
                [
                    f"router, {name.split()[0]}",
                    MECHANISMS[mechanism],
                    *cells,
                    format_figure(results.worst(memory)),
                ]
            )
        row = self.nearest_row(LOG, "ordinary")
        control = row and row["phases"]["ordinary"].get("control")
        if control:
            cells = [
                f"{format_figure(control[f]['median'])} / {format_figure(control[f]['worst'])}"
                for f in ROLE_FIGURES
            ]
            lines.append(["control machine", "purge log: replication and pushes", *cells, NOT_MEASURED])
        lines += [[role, "", *[NOT_MEASURED] * 4] for role in ROLES]
        head = ["role", "carried by", "bytes/s", "messages/s", "core", "memory grown, MB"]
        return [
            "## By role, with the ordinary purges (median / worst)",
            "",
            "Allowed to a router: 4,000 bytes/s, 1.6% of a core, 32 MB. Five control machines are set aside. Memory is what a site's process grew by",
            "after its start, divided by its routers.",
            "",
            *table(head, lines),
        ]

    def real_router(self):
        """Return the figures of one router with its data path, and the load of a router at the peak."""
        rows = results.select(self.rows, scenario="router")
        lines = ["## One real router (on the rig, loopback)", ""]
        if not rows:
            return [*lines, NOT_MEASURED]
        phases = rows[-1]["phases"]
        routers = self.size
        requests_s_per_router = REQUESTS_S / routers
        gbit_s_per_router = BITS_S / routers / 1e9
        for name in ("small", "large"):
            figures = phases[name]
            lines.append(
                f"- objects of {format_figure(figures['object_bytes'])} bytes: {format_figure(figures['queries_s'])} queries/s and "
                f"{format_figure(figures['mbit_s'])} Mbit/s at {figures['router_core_share']:.0%} of a core; "
                f"{format_figure(figures['us_a_query'])} us a query, {format_figure(figures['gbit_a_core_s'])} Gbit for each second of a core "
                f"({format_figure(figures['not_satisfied'])} refused or failed)"
            )
        memory = phases["memory"]
        cores_by_requests = requests_s_per_router / phases["small"]["queries_a_core_s"]
        cores_by_bytes = gbit_s_per_router / phases["large"]["gbit_a_core_s"]
        return [
            *lines,
            f"- {format_figure(memory['bytes_an_object'])} bytes a remembered object, over {format_figure(memory['objects'])} objects; "
            f"{format_figure(memory['memory_mb_at_ready'])} MB at ready",
            f"- {format_figure(memory['descriptors'])} descriptors before {memory['servers']} cache servers, "
            f"{memory['descriptors_at_ready']} at ready",
            "",
            f"At the peak the mean router has {format_figure(round(requests_s_per_router))} queries/s and {format_figure(round(gbit_s_per_router, 2))} Gbit/s: "
            f"{format_figure(round(cores_by_requests, 2))} cores by queries (small objects), {format_figure(round(cores_by_bytes, 2))} by bytes (large ones). "
            "What a core bears is worked out from processor time; it was not run at that rate.",
            f"Of {format_figure(OBJECTS)} objects a router remembers those that are asked for at it: each million takes "
            f"{format_figure(round(memory['bytes_an_object'] * 1e6 / 1e6))} MB by that figure.",
        ]

    def failures(self):
        """Return the table of failures with a common cause, and the peak load on the remaining routers."""
        sites = self.layout.sites
        zones = {}
        regions = {}
        for site in sites:
            zones[site.zone] = zones.get(site.zone, 0) + site.routers
            regions[site.region] = regions.get(site.region, 0) + site.routers
        lines = []
        for title, lost in (
            ("one machine", 1),
            ("two machines", 2),
            ("the largest site", max(site.routers for site in sites)),
            ("the largest zone", max(zones.values())),
            ("the largest region", max(regions.values())),
        ):
            left = self.size - lost
            lines.append(
                [
                    title,
                    lost,
                    f"{lost / self.size:.1%}",
                    format_figure(round(REQUESTS_S / left)),
                    format_figure(round(BITS_S / left / 1e9, 2)),
                    f"{self.size / left - 1:.1%}",
                ]
            )
        controls = [control.region for control in self.layout.capacity.controls]
        most = max(controls.count(region) for region in set(controls))
        majority = len(controls) // 2 + 1
        head = [
            "lost",
            "routers",
            "of all",
            "queries/s of each left",
            "Gbit/s of each left",
            "more than before",
        ]
        return [
            "## Failure arithmetic",
            "",
            "From `deploy/capacity.hcl` and the peak of 590,000 requests a second and 3.2 Tbit/s; worked out, not run.",
            "",
            *table(head, lines),
            "",
            f"A rack: {NOT_MEASURED} (the layout does not name racks; two or more share a site's fate). Control machines: {len(controls)}, "
            f"{majority} make a majority; a zone takes one at most, a region {most}. "
            f"What a site alone answers from its cache servers: {NOT_MEASURED}; what its control plane does stands above, under the region cut off.",
        ]

    @staticmethod
    def unused_phases(row):
        """Return which phases of a run are unused because event loops were late."""
        late = [phase for phase in row["phases"] if not results.usable(row, phase)]
        if len(late) == len(row["phases"]):
            return "not used: too late"
        return "not used: " + ", ".join(late) if late else ""

    def runs(self):
        """Return the table of runs with their commands and dates."""
        lines = [
            [
                row["kind"],
                row["mechanism"],
                row["scenario"],
                row["routers"],
                row["seed"],
                row["date"],
                row["revision"],
                format_figure(row["machine_load"]),
                format_figure(row["state"]["loop_late_s"]) if "loop_late_s" in row["state"] else "",
                self.unused_phases(row),
                f"`{row['command']}`",
            ]
            for row in self.rows
        ]
        head = [
            "run",
            "",
            "phases",
            "routers",
            "seed",
            "date",
            "commit",
            "load",
            "loop late, s",
            "",
            "command",
        ]
        return [
            "## Runs",
            "",
            f"Phases on sockets in which event loops were late by more than {results.LATE_S} s were played on a machine too busy for them: their",
            "figures are kept and not used above, but for memory.",
            "",
            *table(head, lines),
        ]


ROLE_FIGURES = ("bytes_s", "messages_s", "core_share")


def format_missed(figures):
    """Format the number of missed arrivals out of those expected."""
    if "missed" not in figures:
        return NOT_MEASURED
    return f"{format_figure(figures['missed'])} of {format_figure(figures['expected'])}"


def format_other_figures(figures):
    """Format the figures of a situation that have no column of their own."""
    notes = []
    if figures.get("named"):
        notes.append(f"missing named for {figures['named']} of {figures['purges']} purges at 1.2 s")
    if "one_view_s" in figures:
        waited = figures["one_view_s"]
        notes.append(
            "no one view within 30 s" if waited is None else f"one view after {format_figure(waited)} s"
        )
    if "changes_all_s" in figures:
        worst = figures["changes_all_s"]["worst"]
        notes.append(
            f"a change everywhere after {format_figure(worst)} s, {figures['changes_missed']} arrivals missed"
        )
    if "cut_off" in figures:
        notes.append(f"{figures['cut_off']} cut off")
    if "missed_while_away" in figures:
        notes.append(
            f"missed while away {format_figure(figures['missed_while_away'])}, exact after {format_figure(figures['catch_up_s'])} s, "
            f"longest not bound {format_figure(figures['unbound_s'])} s"
        )
    return "; ".join(notes)


def breaking_size(found, most):
    """Format the sizes from 1 to LARGEST_SIZE at which a fitted cost exceeds a budget."""
    least = found.at(1) > most
    largest = found.at(LARGEST_SIZE) > most
    if least == largest:
        return "any" if least else "none up to 100,000"
    low = 1
    high = LARGEST_SIZE
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if (found.at(middle) > most) == least else (low, middle)
    return f"{format_figure(low)} and fewer" if least else f"{format_figure(high)} and more"


def write_page():
    """Write the page and return exit status 0."""
    PAGE.write_text(Page(results.load()).text())
    return 0
