"""The schedule of troubles that a seed gives: two or three at a time, begun close together."""

import random
from dataclasses import dataclass
from enum import StrEnum

# of a run without troubles: while all is filled for the first time, and at its end
FIRST_S = 4.0
REST_S = 6.0
SLOT_S = 4.0  # between the beginnings of two groups of troubles
SAME_TARGET = 0.75  # of the troubles of a group are for its common target
SPREAD_S = 0.7  # within which the troubles of a group begin
HOUR_S = 3600.0
SHORT_DEADLINES = 0.3  # of the usual ones, in one run of three
CROWD = 1.6  # times the usual requests, in one run of four


class Trouble(StrEnum):
    """Kinds of trouble. What each does stands in `driver.py`."""

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
    CLIENTS_BURST = "clients_burst"
    CLIENTS_RETRY = "clients_retry"
    PURGES = "purges"
    BOX_KILL = "box_kill"
    BOX_FOLDER = "box_folder"


# Kinds that end, start or stop something come more often: most faults need one of them.
WEIGHTS = {
    Trouble.ROUTER_STOP: 4,
    Trouble.ROUTER_RELOAD: 3,
    Trouble.ROUTER_SERIES: 4,
    Trouble.ROUTER_CLOCK: 2,
    Trouble.SERVER_KILL: 2,
    Trouble.SERVER_DRAIN: 3,
    Trouble.PURGES: 3,
}


class Ending(StrEnum):
    """How a router is told to end."""

    TERM = "term"
    HUP_FIRST = "hup_first"  # SIGHUP just before SIGTERM
    TERM_TWICE = "term_twice"


@dataclass(frozen=True)
class Step:
    """One trouble: when it begins, for how long, at which target (a number, taken modulo those there are), how much."""

    at_s: float
    kind: Trouble
    target: int
    for_s: float
    size: float


def steps_of(seed, run_s):
    """The schedule of a run, in the order of its times."""
    chance = random.Random(f"soak {seed}")
    kinds = list(Trouble)
    weights = [WEIGHTS.get(kind, 1) for kind in kinds]
    steps = []
    slot_at = FIRST_S
    while slot_at < run_s - REST_S:
        common = chance.randrange(
            1 << 16
        )  # most troubles of a group are for one and the same router or server
        for kind in draw_kinds(chance, kinds, weights):
            at_s = slot_at + chance.uniform(0.0, SPREAD_S)
            for_s = chance.uniform(1.0, 3.5)
            target = common if chance.random() < SAME_TARGET else chance.randrange(1 << 16)
            steps.append(Step(at_s, kind, target, for_s, chance.random()))
        slot_at += SLOT_S
    return sorted(steps, key=lambda step: step.at_s)


def draw_kinds(chance, kinds, weights):
    """Two or three different kinds."""
    drawn = []
    while len(drawn) < chance.choice([2, 3, 3]):
        kind = chance.choices(kinds, weights)[0]
        if kind not in drawn:
            drawn.append(kind)
    return drawn


def clock_step_s(size):
    """The step of a wall clock, by a number of 0 to 1: seconds or an hour, either way."""
    steps = (HOUR_S, -HOUR_S, 5.0, -5.0, 1.5, -1.5)
    return steps[int(size * len(steps)) % len(steps)]


def deadline_scale(seed):
    """Of the usual deadlines, in the run of a seed."""
    return SHORT_DEADLINES if seed % 3 == 0 else 1.0


def load(seed):
    """Of the usual requests, in the run of a seed."""
    return CROWD if seed % 4 == 1 else 1.0


def ending(size):
    """How a router is told to end, by a number of 0 to 1."""
    kinds = list(Ending)
    return kinds[int(size * 97) % len(kinds)]


def stops(step):
    """(seconds stopped, seconds of going on) of a series of stops: the next one within hundredths of a second."""
    chance = random.Random(step.target)
    count = chance.randrange(3, 9)
    return [(chance.choice([0.02, 0.15, 0.4, 0.9]), chance.uniform(0.002, 0.05)) for _ in range(count)]


def reach(step, routers):
    """How many of the routers a series of stops is for: one, half or all of them."""
    return 1 if step.size < 0.5 else routers // 2 if step.size < 0.8 else routers
