"""A coordinator, its agents and their processes in virtual time, by seed: commands and reports lost, doubled, late, cut off;
coordinators and agents killed and started again; processes that crash. What must hold is looked at after every event, and
once the faults are over there is an end. Each property has a fault planted that it finds."""

import heapq
import random

import pytest

from brookhinge.rollout.coordinator import Coordinator
from brookhinge.rollout.messages import (
    AgentReport,
    EpochRejected,
    OperatorRequest,
    ProcessExited,
    ProcessReady,
    SetVersion,
)
from brookhinge.rollout.plan import Metric, Plan
from brookhinge.rollout.reconciler import Reconciler
from brookhinge.rollout.stages import stages_of

NAMES = ("n1", "n2", "n3", "n4")


def plan(**other):
    base = dict(
        name="p",
        old_version="v1",
        new_version="v2",
        stages=(0.25, 0.5, 1.0),
        key=b"",
        seed=3,
        alpha=0.01,
        window_s=0.5,
        baseline_s=6.0,
        warm_up_s=1.0,
        least_s=5.0,
        most_s=25.0,
        ready_timeout_s=6.0,
        revert_timeout_s=8.0,
        on_inconclusive="go",
        versions={},
        agents={},
        metrics=(Metric("worth", 1.0, 0.05),),
        routers=tuple((n, f"k{k % 2}") for k, n in enumerate(NAMES)),
        digest="",
    )
    return Plan(**{**base, **other})


class World:
    def __init__(self, seed, quality=lambda version: 0.9, **told):
        self.chance, self.now, self.queue, self.serial = random.Random(seed), 0.0, [], 0
        self.plan, self.quality = plan(**told), quality
        self.records, self.disks = [], {"k0": [], "k1": []}  # what is durable
        self.processes, self.number, self.said = (
            {},
            0,
            [],
        )  # number -> [router, version, ready, draining, totals]
        self.faults, self.cut = 0.0, set()
        self.core, self.places, self.epoch, self.gone_back = None, {}, 0, None
        for k in self.disks:
            self.start_agent(k)
        self.coordinate()
        self.at(0.1, self.turn)

    def at(self, wait, work, *args):
        self.serial += 1
        heapq.heappush(self.queue, (self.now + wait, self.serial, work, args))

    # processes

    def start_agent(self, k):
        """An agent starts, or starts again: it finds the processes that live."""
        made = self.places[k] = Reconciler(
            [n for n, at in self.plan.routers if at == k], "v1", self.disks[k], self.plan.revert_timeout_s
        )
        for number, (name, version, ready, draining, _) in sorted(self.processes.items()):
            if name in made.slots and not draining:
                old = made.slots[name].process
                if old is not None:
                    self.drain(old)
                made.adopt(name, number, version, ready)

    def start(self, name, version):
        self.number += 1
        self.processes[self.number] = [name, version, False, False, {"worth": [0, 0.0]}]
        self.at(0.3 + 0.3 * self.chance.random(), self.up, self.number)
        return self.number

    def up(self, number):
        if number in self.processes:
            self.processes[number][2] = True
            self.round_of(number, ProcessReady(self.processes[number][0], number))

    def round_of(self, number, event):
        name = self.processes[number][0]
        self.round(dict(self.plan.routers)[name], event)

    def can_reload(self, name, old, new):
        return False

    def drain(self, number):
        if number in self.processes:
            self.processes[number][3] = True
            self.at(0.5, self.exit, number, 0)

    def end(self, number):
        self.exit(number, -9)

    def exit(self, number, code):
        if number in self.processes:
            k = dict(self.plan.routers)[self.processes[number][0]]
            told = ProcessExited(self.processes.pop(number)[0], number, code)
            self.at(0.0, self.round, k, told)

    def record(self, **what):
        (self.records if self.writing is None else self.disks[self.writing]).append(what)

    def say(self, event, **values):
        self.said.append((round(self.now, 1), event, values))

    writing = None

    def round(self, k, *inbox):
        if k in self.places:
            self.writing = k
            self.places[k].run_round(self.now, inbox, self)
            self.writing = None

    # the link

    def carry(self, k, work, *args):
        if k in self.cut or self.chance.random() < self.faults:
            return
        for _ in range(1 + (self.chance.random() < self.faults)):
            self.at(
                0.01 + (3.0 * self.chance.random() if self.chance.random() < self.faults else 0.0),
                work,
                *args,
            )

    def command(self, name, version, sure, serial):
        self.carry(
            dict(self.plan.routers)[name], self.commanded, name, version, self.core.epoch, sure, serial
        )

    def commanded(self, name, version, epoch, sure, serial):
        k = dict(self.plan.routers)[name]
        if k in self.places and epoch < self.places[k].epoch:
            return self.carry(k, self.heard, EpochRejected(name, self.places[k].epoch))
        self.round(k, SetVersion(name, version, sure, epoch, serial, ""))

    def heard(self, message):
        if self.core is not None:
            self.inbox.append(message)

    def coordinate(self):
        self.epoch += 1
        self.records.append({"what": "epoch", "epoch": self.epoch})
        self.core, self.inbox = Coordinator(self.plan, list(self.records), self.epoch, self.now), []

    # time

    def turn(self):
        for k, made in list(self.places.items()):
            self.round(k)
            for name in made.slots:
                slot = made.slots[name]
                version, state, number, crashes = slot.version, slot.status(), slot.process, slot.crashes
                totals = (
                    {key: tuple(v) for key, v in self.processes[number][4].items()}
                    if number in self.processes
                    else {}
                )
                self.carry(
                    k,
                    self.heard,
                    AgentReport(name, version, state, number, crashes, totals, made.epoch, True),
                )
        for name, version, ready, draining, totals in self.processes.values():
            if ready and not draining:
                totals["worth"][0] += 50
                totals["worth"][1] += sum(self.chance.random() < self.quality(version) for _ in range(50))
        if self.core is not None:
            inbox, self.inbox = self.inbox, []
            self.core.run_round(self.now, inbox, self)
        self.at(0.25, self.turn)

    def run(self, seconds, until=lambda: False):
        end = self.now + seconds
        while self.queue[0][0] <= end and not until():
            self.now, _, work, args = heapq.heappop(self.queue)
            work(*args)
            self.look()
        return until()

    def look(self):
        """What must hold at any time."""
        serving, total = {}, {}
        for name, version, ready, draining, _ in self.processes.values():
            total[name] = total.get(name, 0) + 1
            if not draining and ready:
                serving.setdefault(name, set()).add(version)
        for name, count in total.items():
            assert count <= 3, f"{count} processes of {name}"
        allowed, backed = set(), False
        for record in self.records:  # who may run the new one, by what is durable
            if record["what"] == "change":
                assert not backed, "forward after back"
                allowed.add(record["router"])
            elif record["what"] == "back":
                backed = True
        begun = {name for name, version, *_ in self.processes.values() if version == "v2"}
        assert begun <= allowed, f"{begun - allowed} run the new one unasked"
        stages, passed = stages_of(self.plan), sum(r["what"] == "passed" for r in self.records)
        changed = [r["router"] for r in self.records if r["what"] == "change"]
        assert set(changed) <= {name for stage in stages[: passed + 1] for name in stage}, (
            "more than the stage's share"
        )

    def all_run(self, version):
        return all(
            (slot.version, slot.status()) == (version, "ready")
            for made in self.places.values()
            for slot in made.slots.values()
        )


def calm(world, seconds=400.0):
    """The faults end; whoever is down comes back; there is an end."""
    world.faults, world.cut = 0.0, set()
    for k in world.disks:
        if k not in world.places:
            world.start_agent(k)
    if world.core is None or world.core.outcome == "superseded":
        world.coordinate()
    world.inbox.append(OperatorRequest.RESUME)
    assert world.run(seconds, lambda: world.core.outcome is not None), world.core.status()
    version = "v2" if world.core.outcome == "done" else "v1"
    assert world.core.outcome in ("done", "back") and world.run(40.0, lambda: world.all_run(version))


def test_a_good_change_is_done():
    world = World(1)
    calm(world)
    assert world.core.outcome == "done" and [r["what"] for r in world.records].count("passed") == 3


def test_a_worse_one_goes_back_from_its_first_stage():
    world = World(1, quality=lambda version: 0.9 if version == "v1" else 0.6)
    calm(world)
    assert world.core.outcome == "back" and [r["what"] for r in world.records].count("change") == 1


def history(seed, seconds=60.0, **told):
    """Anything at any time."""
    worse = seed % 3 == 0
    world = World(seed, quality=lambda version: 0.9 if version == "v1" or not worse else 0.6, **told)
    world.faults, chance = 0.2, world.chance
    while world.now < seconds:
        what = chance.random()
        k = chance.choice(("k0", "k1"))
        if what < 0.15:
            world.core = None  # the coordinator is killed
        elif what < 0.4 and world.core is None:
            world.coordinate()
        elif what < 0.5:
            world.places.pop(k, None)  # an agent is killed; its processes live on
        elif what < 0.65 and k not in world.places:
            world.start_agent(k)
        elif what < 0.75:
            world.cut ^= {k}
        elif what < 0.79 and world.core is not None:
            world.inbox.append(OperatorRequest(chance.choice(("pause", "resume", "resume"))))
        elif what < 0.84 and world.processes:
            world.exit(chance.choice(sorted(world.processes)), -11)
        world.run(chance.choice((0.1, 0.5, 2.0, 5.0)))
    calm(world)
    return world


def histories():
    return [history(seed) for seed in range(24)]


def test_long_histories_hold_and_end():
    ends = [world.core.outcome for world in histories()]
    assert set(ends) == {"done", "back"}
    assert all(
        end == "back" for seed, end in enumerate(ends) if seed % 3 == 0
    )  # worse ones never get through


def planted_forward_after_back(monkeypatch):
    """A coordinator that forgets at a restart that it was going back."""
    real = Coordinator.apply_record

    def apply_record(self, record):
        if record.get("what") != "back":
            real(self, record)

    monkeypatch.setattr(Coordinator, "apply_record", apply_record)


def planted_old_epochs_act(monkeypatch):
    """An agent that heeds any coordinator, also one that was superseded, and any late word."""

    def set_version(self, now, command, supervisor):
        slot = self.slots[command.router]
        slot.heard_at = now
        self.record_version(supervisor, command.router, command.version, command.is_confirmed)

    monkeypatch.setattr(Reconciler, "set_version", set_version)


def planted_unasked(monkeypatch):
    """The whole stage is commanded before it is written down."""
    monkeypatch.setattr(
        Coordinator,
        "desired_version",
        lambda self, name: (
            self.plan.new_version
            if not self.is_rolling_back
            and (name in self.confirmed or name in self.changed or name in self.stage_routers())
            else self.plan.old_version
        ),
    )


def late_word():
    """A command of before `back` comes after it, also doubled: it must not start the new one again."""
    world = World(5)
    world.run(60.0, lambda: any(r["what"] == "change" for r in world.records))
    name = next(r["router"] for r in world.records if r["what"] == "change")
    world.run(3.0)
    epoch, serial = world.core.epoch, world.core.serial
    world.inbox.append(OperatorRequest.ROLL_BACK)
    assert world.run(60.0, lambda: world.core.outcome == "back" and world.all_run("v1"))
    world.commanded(name, "v2", epoch, False, serial)
    world.commanded(name, "v2", epoch - 1, False, serial + 999)
    world.core = None  # nobody is there to say it again
    world.run(3.0)
    assert world.all_run("v1"), "a late word started the new one again"


def test_a_late_word_undoes_nothing():
    late_word()


@pytest.mark.parametrize(
    "plant, found_by",
    [
        (planted_forward_after_back, histories),
        (planted_old_epochs_act, late_word),
        (planted_unasked, histories),
    ],
)
def test_planted_faults_are_found(monkeypatch, plant, found_by):
    plant(monkeypatch)
    with pytest.raises(AssertionError):
        found_by()


def test_nobody_says_anything_what_was_not_judged_goes_back():
    world = World(2)
    assert world.run(100.0, lambda: any(row[1] == "v2" and row[2] for row in world.processes.values()))
    world.core = None
    world.run(world.plan.revert_timeout_s + 5.0)
    assert world.all_run("v1")


def test_stages_take_places_in_turn_and_no_whole_place_at_once():
    told = plan(routers=tuple((f"n{k:02}", f"k{k % 4}") for k in range(40)), stages=(0.02, 0.1, 0.5, 1.0))
    stages, places = stages_of(told), dict(told.routers)
    assert [len(stage) for stage in stages] == [1, 3, 16, 20]
    for stage in stages:
        assert max(sum(places[name] == k for name in stage) for k in ("k0", "k1", "k2", "k3")) <= -(
            -len(stage) // 4
        )
    assert stages == stages_of(told) and stages != stages_of(told._replace(seed=4))


def test_aborted_in_the_middle_of_a_change_it_stays_where_it_is():
    world = World(3)
    assert world.run(200.0, lambda: sum(r["what"] == "change" for r in world.records) == 2)
    world.inbox.append(OperatorRequest.ABORT)  # one is draining its old process just now
    assert world.run(5.0, lambda: world.core.outcome == "left")
    world.run(5.0)
    changes = len(world.records)
    world.coordinate()  # one that is started again does nothing more either
    world.run(30.0)
    assert [r["what"] for r in world.records[changes:]] == ["epoch"] and world.core.outcome == "left"
