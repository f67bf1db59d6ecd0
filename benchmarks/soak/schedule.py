"""Generates the schedule of troubles from a seed: groups of two or three that begin close together."""

import random
from dataclasses import dataclass
from enum import StrEnum

# No troubles begin while caches fill for the first time, nor at the end of a run.
QUIET_START_S = 4.0
QUIET_END_S = 6.0
GROUP_INTERVAL_S = 4.0  # interval between the starts of two groups of troubles
SAME_TARGET_PROBABILITY = 0.75  # probability that a trouble is aimed at the common target of its group
SPREAD_S = 0.7  # all troubles of a group begin within this time
SECONDS_PER_HOUR = 3600.0
SHORT_DEADLINE_SCALE = 0.3  # factor for the default deadlines, in one seed of three
MEMORY_MB = 96
LOW_MEMORY_MB = 32  # the least that the platform gives a router, in one seed of four
CROWD_LOAD_SCALE = 1.6  # factor for the default request rate, in one seed of four


class Trouble(StrEnum):
    """Kinds of trouble, implemented by methods of the driver in `driver.py`."""

    ROUTER_STOP = "router_stop"
    ROUTER_KILL = "router_kill"
    ROUTER_RELOAD = "router_reload"
    ROUTER_FREEZE = "router_freeze"
    ROUTER_SERIES = "router_series"
    ROUTER_CLOCK = "router_clock"
    ALL_CLOCKS = "all_clocks"
    ROUTER_CALLS = "router_calls"
    ROUTER_ACCEPT = "router_accept"
    ROUTER_CONNECT = "router_connect"
    ROUTER_SHORT = "router_short"
    SERVER_KILL = "server_kill"
    SERVER_HANG = "server_hang"
    SERVER_DRAIN = "server_drain"
    SERVER_SLOW = "server_slow"
    SERVER_FAIL = "server_fail"
    LINK_RESET = "link_reset"
    LINK_SILENT = "link_silent"
    LINK_DEAF = "link_deaf"
    LINK_REFUSE = "link_refuse"
    LINK_IDLE = "link_idle"
    ANSWERS_SPOILT = "answers_spoilt"
    ANSWERS_LOST = "answers_lost"
    CHANNEL_DOWN = "channel_down"
    CHANNEL_SILENT = "channel_silent"
    CHANNEL_SLOW = "channel_slow"
    CLIENTS_SLOW = "clients_slow"
    CLIENTS_GONE = "clients_gone"
    CLIENTS_CANCEL = "clients_cancel"
    CLIENTS_CROWD = "clients_crowd"
    CLIENTS_BAD = "clients_bad"
    CLIENTS_HALF_CALLS = "clients_half_calls"
    CLIENTS_FLOOD = "clients_flood"
    CLIENTS_BURST = "clients_burst"
    CLIENTS_RETRY = "clients_retry"
    PURGES = "purges"
    BOX_KILL = "box_kill"
    BOX_FOLDER = "box_folder"


# Kinds that stop or start something are drawn more often, because most faults need one of them.
WEIGHTS = {
    Trouble.ROUTER_STOP: 4,
    Trouble.ROUTER_RELOAD: 3,
    Trouble.ROUTER_SERIES: 4,
    Trouble.ROUTER_CLOCK: 2,
    Trouble.SERVER_KILL: 2,
    Trouble.SERVER_DRAIN: 3,
    Trouble.PURGES: 3,
}


class StopSignals(StrEnum):
    """Signals that the driver sends to stop a router."""

    TERM = "term"
    HUP_FIRST = "hup_first"  # SIGHUP just before SIGTERM
    TERM_TWICE = "term_twice"


@dataclass(frozen=True)
class Step:
    """One scheduled trouble.

    Attributes:
        at_s: Start time in seconds since the schedule began.
        kind: Kind of the trouble.
        target: Number that selects the target, modulo the number of candidates.
        for_s: Duration in seconds.
        size: Strength of the trouble, from 0 to 1.
    """

    at_s: float
    kind: Trouble
    target: int
    for_s: float
    size: float


def steps_of(seed, run_s):
    """Return the troubles of a run in the order of their start times."""
    rng = random.Random(f"soak {seed}")
    kinds = list(Trouble)
    weights = [WEIGHTS.get(kind, 1) for kind in kinds]
    steps = []
    group_at = QUIET_START_S
    while group_at < run_s - QUIET_END_S:
        common = rng.randrange(1 << 16)  # most troubles of a group have the same target
        for kind in draw_kinds(rng, kinds, weights):
            at_s = group_at + rng.uniform(0.0, SPREAD_S)
            for_s = rng.uniform(1.0, 3.5)
            target = common if rng.random() < SAME_TARGET_PROBABILITY else rng.randrange(1 << 16)
            steps.append(Step(at_s, kind, target, for_s, rng.random()))
        group_at += GROUP_INTERVAL_S
    return sorted(steps, key=lambda step: step.at_s)


def draw_kinds(rng, kinds, weights):
    """Draw two or three different kinds of trouble."""
    drawn = []
    while len(drawn) < rng.choice([2, 3, 3]):
        kind = rng.choices(kinds, weights)[0]
        if kind not in drawn:
            drawn.append(kind)
    return drawn


def clock_step_s(size):
    """Return the wall clock step in seconds (seconds or an hour, either sign) for a size from 0 to 1."""
    steps = (SECONDS_PER_HOUR, -SECONDS_PER_HOUR, 5.0, -5.0, 1.5, -1.5)
    return steps[int(size * len(steps)) % len(steps)]


def deadline_scale(seed):
    """Return the factor for the default deadlines in the run of a seed."""
    return SHORT_DEADLINE_SCALE if seed % 3 == 0 else 1.0


def load_scale(seed):
    """Return the factor for the default request rate in the run of a seed."""
    return CROWD_LOAD_SCALE if seed % 4 == 1 else 1.0


def memory_mb(seed):
    """Return the memory limit of the routers in the run of a seed."""
    return LOW_MEMORY_MB if seed % 4 == 2 else MEMORY_MB


def stop_signals(size):
    """Return the stop signals for a size from 0 to 1."""
    kinds = list(StopSignals)
    return kinds[int(size * 97) % len(kinds)]


def freeze_series(step):
    """Return (seconds frozen, seconds running) pairs; the running time is at most 50 ms."""
    rng = random.Random(step.target)
    count = rng.randrange(3, 9)
    return [(rng.choice([0.02, 0.15, 0.4, 0.9]), rng.uniform(0.002, 0.05)) for _ in range(count)]


def series_router_count(step, routers):
    """Return how many routers a freeze series affects: one, half or all of them."""
    return 1 if step.size < 0.5 else routers // 2 if step.size < 0.8 else routers
