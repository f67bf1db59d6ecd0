"""Simulates a coordinator, its agents and their processes in virtual time, with faults drawn from a seed.

Commands and reports are lost, duplicated, delayed or cut off, coordinators and agents are killed and restarted, and
processes crash. The invariants are checked after every event, and each rollout must end once the faults are over.
For each property a planted fault shows that its check finds it.
"""

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


def make_plan(**changes):
    fields = dict(
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
        routers=tuple((name, f"k{i % 2}") for i, name in enumerate(NAMES)),
        digest="",
    )
    return Plan(**{**fields, **changes})


class World:
    """The simulated fleet; it is also the `CoordinatorOutput` and the `Supervisor` of both agents.

    Attributes:
        quality: Function from a version to its share of good responses.
        records: Journal of the coordinator.
        agent_records: Journal of each agent.
        processes: Lists of router, version, is ready, is draining and totals, by process number.
        fault_rate: Probability that a message is lost, and that it is duplicated or delayed.
        unreachable: Agents that no message reaches or leaves.
        coordinator: The running coordinator, None while it is down.
        reconcilers: Reconcilers of the running agents.
        active_agent: Agent whose round is running; records are written to its journal.
    """

    def __init__(self, seed, quality=lambda version: 0.9, **plan_changes):
        self.rng, self.now, self.queue, self.serial = random.Random(seed), 0.0, [], 0
        self.plan, self.quality = make_plan(**plan_changes), quality
        self.records, self.agent_records = [], {"k0": [], "k1": []}
        self.processes, self.last_number, self.log = {}, 0, []
        self.fault_rate, self.unreachable = 0.0, set()
        self.coordinator, self.reconcilers, self.epoch = None, {}, 0
        for agent in self.agent_records:
            self.start_agent(agent)
        self.start_coordinator()
        self.schedule(0.1, self.tick)

    def schedule(self, delay_s, callback, *args):
        self.serial += 1
        heapq.heappush(self.queue, (self.now + delay_s, self.serial, callback, args))

    # processes

    def start_agent(self, agent):
        """Start or restart an agent, which adopts the running processes of its routers."""
        reconciler = self.reconcilers[agent] = Reconciler(
            [router for router, its_agent in self.plan.routers if its_agent == agent],
            "v1",
            self.agent_records[agent],
            self.plan.revert_timeout_s,
        )
        for number, (router, version, is_ready, is_draining, _) in sorted(self.processes.items()):
            if router in reconciler.slots and not is_draining:
                old = reconciler.slots[router].process
                if old is not None:
                    self.drain(old)
                reconciler.adopt(router, number, version, is_ready)

    def start(self, router, version):
        self.last_number += 1
        self.processes[self.last_number] = [router, version, False, False, {"worth": [0, 0.0]}]
        self.schedule(0.3 + 0.3 * self.rng.random(), self.set_ready, self.last_number)
        return self.last_number

    def set_ready(self, number):
        if number in self.processes:
            self.processes[number][2] = True
            self.deliver_process_event(number, ProcessReady(self.processes[number][0], number))

    def deliver_process_event(self, number, event):
        router = self.processes[number][0]
        self.run_agent_round(dict(self.plan.routers)[router], event)

    def can_reload(self, router, old, new):
        return False

    def drain(self, number):
        if number in self.processes:
            self.processes[number][3] = True
            self.schedule(0.5, self.exit, number, 0)

    def kill(self, number):
        self.exit(number, -9)

    def exit(self, number, code):
        if number in self.processes:
            agent = dict(self.plan.routers)[self.processes[number][0]]
            event = ProcessExited(self.processes.pop(number)[0], number, code)
            self.schedule(0.0, self.run_agent_round, agent, event)

    def record(self, **record):
        (self.records if self.active_agent is None else self.agent_records[self.active_agent]).append(record)

    def log_event(self, event, **values):
        self.log.append((round(self.now, 1), event, values))

    active_agent = None

    def run_agent_round(self, agent, *events):
        if agent in self.reconcilers:
            self.active_agent = agent
            self.reconcilers[agent].run_round(self.now, events, self)
            self.active_agent = None

    # the connections

    def transmit(self, agent, deliver, *args):
        if agent in self.unreachable or self.rng.random() < self.fault_rate:
            return
        for _ in range(1 + (self.rng.random() < self.fault_rate)):
            self.schedule(
                0.01 + (3.0 * self.rng.random() if self.rng.random() < self.fault_rate else 0.0),
                deliver,
                *args,
            )

    def send_command(self, router, version, is_confirmed, serial):
        agent = dict(self.plan.routers)[router]
        self.transmit(
            agent, self.deliver_command, router, version, self.coordinator.epoch, is_confirmed, serial
        )

    def deliver_command(self, router, version, epoch, is_confirmed, serial):
        agent = dict(self.plan.routers)[router]
        if agent in self.reconcilers and epoch < self.reconcilers[agent].epoch:
            rejection = EpochRejected(router, self.reconcilers[agent].epoch)
            return self.transmit(agent, self.deliver_to_coordinator, rejection)
        self.run_agent_round(agent, SetVersion(router, version, is_confirmed, epoch, serial, ""))

    def deliver_to_coordinator(self, message):
        if self.coordinator is not None:
            self.pending_events.append(message)

    def start_coordinator(self):
        self.epoch += 1
        self.records.append({"what": "epoch", "epoch": self.epoch})
        self.coordinator = Coordinator(self.plan, list(self.records), self.epoch, self.now)
        self.pending_events = []

    # time

    def tick(self):
        for agent, reconciler in list(self.reconcilers.items()):
            self.run_agent_round(agent)
            for router in reconciler.slots:
                slot = reconciler.slots[router]
                version, state, number, crashes = slot.version, slot.status(), slot.process, slot.crashes
                totals = (
                    {metric: tuple(values) for metric, values in self.processes[number][4].items()}
                    if number in self.processes
                    else {}
                )
                report = AgentReport(router, version, state, number, crashes, totals, reconciler.epoch, True)
                self.transmit(agent, self.deliver_to_coordinator, report)
        for _, version, is_ready, is_draining, totals in self.processes.values():
            if is_ready and not is_draining:
                totals["worth"][0] += 50
                totals["worth"][1] += sum(self.rng.random() < self.quality(version) for _ in range(50))
        if self.coordinator is not None:
            events, self.pending_events = self.pending_events, []
            self.coordinator.run_round(self.now, events, self)
        self.schedule(0.25, self.tick)

    def run(self, seconds, until=lambda: False):
        """Run events for a time or until a condition holds, and return whether it holds."""
        end = self.now + seconds
        while self.queue[0][0] <= end and not until():
            self.now, _, callback, args = heapq.heappop(self.queue)
            callback(*args)
            self.check_invariants()
        return until()

    def check_invariants(self):
        serving, process_counts = {}, {}
        for router, version, is_ready, is_draining, _ in self.processes.values():
            process_counts[router] = process_counts.get(router, 0) + 1
            if not is_draining and is_ready:
                serving.setdefault(router, set()).add(version)
        for router, count in process_counts.items():
            assert count <= 3, f"{count} processes of {router}"
        allowed, is_rolling_back = set(), False  # routers that may run v2, according to the journal
        for record in self.records:
            if record["what"] == "change":
                assert not is_rolling_back, "a router was changed after the rollback began"
                allowed.add(record["router"])
            elif record["what"] == "back":
                is_rolling_back = True
        running_new = {router for router, version, *_ in self.processes.values() if version == "v2"}
        assert running_new <= allowed, f"{running_new - allowed} run v2 without a journal record"
        stages, passed = stages_of(self.plan), sum(record["what"] == "passed" for record in self.records)
        changed = [record["router"] for record in self.records if record["what"] == "change"]
        assert set(changed) <= {router for stage in stages[: passed + 1] for router in stage}, (
            "a router of a later stage was changed"
        )

    def all_run(self, version):
        return all(
            (slot.version, slot.status()) == (version, "ready")
            for reconciler in self.reconcilers.values()
            for slot in reconciler.slots.values()
        )


def finish_without_faults(world, seconds=400.0):
    """Stop all faults, restart what is down, and check that the rollout ends."""
    world.fault_rate, world.unreachable = 0.0, set()
    for agent in world.agent_records:
        if agent not in world.reconcilers:
            world.start_agent(agent)
    if world.coordinator is None or world.coordinator.outcome == "superseded":
        world.start_coordinator()
    world.pending_events.append(OperatorRequest.RESUME)
    assert world.run(seconds, lambda: world.coordinator.outcome is not None), world.coordinator.status()
    version = "v2" if world.coordinator.outcome == "done" else "v1"
    assert world.coordinator.outcome in ("done", "back") and world.run(40.0, lambda: world.all_run(version))


def test_good_version_is_rolled_out():
    world = World(1)
    finish_without_faults(world)
    assert (
        world.coordinator.outcome == "done"
        and [record["what"] for record in world.records].count("passed") == 3
    )


def test_worse_version_is_rolled_back_in_its_first_stage():
    world = World(1, quality=lambda version: 0.9 if version == "v1" else 0.6)
    finish_without_faults(world)
    assert (
        world.coordinator.outcome == "back"
        and [record["what"] for record in world.records].count("change") == 1
    )


def run_random_faults(seed, seconds=60.0, **plan_changes):
    """Run a rollout with random faults and operator requests; the new version is worse for every third seed."""
    is_worse = seed % 3 == 0
    world = World(
        seed, quality=lambda version: 0.9 if version == "v1" or not is_worse else 0.6, **plan_changes
    )
    world.fault_rate, rng = 0.2, world.rng
    while world.now < seconds:
        draw = rng.random()
        agent = rng.choice(("k0", "k1"))
        if draw < 0.15:
            world.coordinator = None  # the coordinator is killed
        elif draw < 0.4 and world.coordinator is None:
            world.start_coordinator()
        elif draw < 0.5:
            world.reconcilers.pop(agent, None)  # an agent is killed; its processes keep running
        elif draw < 0.65 and agent not in world.reconcilers:
            world.start_agent(agent)
        elif draw < 0.75:
            world.unreachable ^= {agent}
        elif draw < 0.79 and world.coordinator is not None:
            world.pending_events.append(OperatorRequest(rng.choice(("pause", "resume", "resume"))))
        elif draw < 0.84 and world.processes:
            world.exit(rng.choice(sorted(world.processes)), -11)
        world.run(rng.choice((0.1, 0.5, 2.0, 5.0)))
    finish_without_faults(world)
    return world


def run_all_seeds():
    return [run_random_faults(seed) for seed in range(24)]


def test_invariants_hold_and_rollouts_end_with_random_faults():
    outcomes = [world.coordinator.outcome for world in run_all_seeds()]
    assert set(outcomes) == {"done", "back"}
    assert all(
        outcome == "back" for seed, outcome in enumerate(outcomes) if seed % 3 == 0
    )  # worse versions are always rolled back


def plant_forgotten_rollback(monkeypatch):
    """Make the coordinator ignore the record that a rollback has begun."""
    original = Coordinator.apply_record

    def apply_record(self, record):
        if record.get("what") != "back":
            original(self, record)

    monkeypatch.setattr(Coordinator, "apply_record", apply_record)


def plant_stale_commands_accepted(monkeypatch):
    """Make agents accept commands of superseded coordinators and delayed commands."""

    def set_version(self, now, command, supervisor):
        slot = self.slots[command.router]
        slot.last_command_at = now
        self.record_version(supervisor, command.router, command.version, command.is_confirmed)

    monkeypatch.setattr(Reconciler, "set_version", set_version)


def plant_change_before_record(monkeypatch):
    """Make the coordinator command the whole stage before its changes are recorded."""
    monkeypatch.setattr(
        Coordinator,
        "desired_version",
        lambda self, router: (
            self.plan.new_version
            if not self.is_rolling_back
            and (router in self.confirmed or router in self.changed or router in self.stage_routers())
            else self.plan.old_version
        ),
    )


def deliver_stale_commands():
    """Deliver commands to run v2 again after a rollback; they must not start v2."""
    world = World(5)
    world.run(60.0, lambda: any(record["what"] == "change" for record in world.records))
    router = next(record["router"] for record in world.records if record["what"] == "change")
    world.run(3.0)
    epoch, serial = world.coordinator.epoch, world.coordinator.serial
    world.pending_events.append(OperatorRequest.ROLL_BACK)
    assert world.run(60.0, lambda: world.coordinator.outcome == "back" and world.all_run("v1"))
    world.deliver_command(router, "v2", epoch, False, serial)
    world.deliver_command(router, "v2", epoch - 1, False, serial + 999)
    world.coordinator = None  # no coordinator repeats the command for v1
    world.run(3.0)
    assert world.all_run("v1"), "a stale command started v2 again"


def test_stale_commands_after_a_rollback_are_ignored():
    deliver_stale_commands()


@pytest.mark.parametrize(
    "plant, check",
    [
        (plant_forgotten_rollback, run_all_seeds),
        (plant_stale_commands_accepted, deliver_stale_commands),
        (plant_change_before_record, run_all_seeds),
    ],
)
def test_planted_fault_is_found(monkeypatch, plant, check):
    plant(monkeypatch)
    with pytest.raises(AssertionError):
        check()


def test_unconfirmed_version_is_reverted_when_no_commands_arrive():
    world = World(2)
    assert world.run(
        100.0, lambda: any(process[1] == "v2" and process[2] for process in world.processes.values())
    )
    world.coordinator = None
    world.run(world.plan.revert_timeout_s + 5.0)
    assert world.all_run("v1")


def test_each_stage_is_spread_evenly_over_the_agents():
    plan = make_plan(
        routers=tuple((f"n{i:02}", f"k{i % 4}") for i in range(40)), stages=(0.02, 0.1, 0.5, 1.0)
    )
    stages, agents = stages_of(plan), dict(plan.routers)
    assert [len(stage) for stage in stages] == [1, 3, 16, 20]
    for stage in stages:
        most_at_one_agent = max(
            sum(agents[router] == agent for router in stage) for agent in ("k0", "k1", "k2", "k3")
        )
        assert most_at_one_agent <= -(-len(stage) // 4)
    assert stages == stages_of(plan) and stages != stages_of(plan._replace(seed=4))


def test_aborted_rollout_records_no_more_changes_even_after_a_restart():
    world = World(3)
    assert world.run(200.0, lambda: sum(record["what"] == "change" for record in world.records) == 2)
    world.pending_events.append(OperatorRequest.ABORT)  # while the old process of a router is draining
    assert world.run(5.0, lambda: world.coordinator.outcome == "left")
    world.run(5.0)
    record_count = len(world.records)
    world.start_coordinator()  # a restarted coordinator changes nothing either
    world.run(30.0)
    assert [record["what"] for record in world.records[record_count:]] == [
        "epoch"
    ] and world.coordinator.outcome == "left"
