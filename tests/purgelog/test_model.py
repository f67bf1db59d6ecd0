"""Exhaustive test of short sequences of faults right after a purge, among three control machines and two sites of two
routers: delivery, loss, duplication, reordering, timers, crashes, suspensions, partitions and expired leases.

Afterwards the links heal and time passes. The safety properties are checked after every event. For each property a
fault is injected that it must detect."""

import copy
import itertools

import pytest

from brookhinge.purgelog.distributor import Distributor
from brookhinge.purgelog.reader import Reader
from brookhinge.purgelog.replication import Replication
from brookhinge.purgelog.subscriber import Subscriber
from brookhinge.purgelog.subscription import CopyRule
from tests.purgelog.checked import CheckedNet, PropertyViolation

DEPTH = 3
PROOF_S = 1.0
SETTLED_S, HEALED_S = 2.6, 5.0
STEPS = ("oldest", "newest", "drop", "double", "timer", "crash", "restart", "freeze", "cut", "lease", "purge")


class ManualNet(CheckedNet):
    """A net that, in manual mode, holds messages until a step delivers, drops or duplicates them."""

    def __init__(self):
        self.manual, self.in_transit = False, []
        super().__init__(seed=5, routers=4, machines=3, proof_s=PROOF_S, region=self.site_of)

    @staticmethod
    def site_of(name):
        """Routers n1 and n2 prefer c2, n3 and n4 prefer c3."""
        return {"n1": "a", "n2": "a", "c2": "a", "n3": "b", "n4": "b", "c3": "b"}.get(name, "")

    def carry(self, sender, address, message):
        if not self.manual:
            return super().carry(sender, address, message)
        to = self.hosts[address]
        if not self.cut(sender.name, to.name):
            self.in_transit.append((to, to.starts, sender.address, (sender.process, message)))

    # steps

    def step(self, action):
        getattr(self, f"step_{action}")()
        self.watch()
        self.check()

    def deliver_at(self, index, keep=False):
        if self.in_transit:
            to, starts, address, datagram = self.in_transit[index] if keep else self.in_transit.pop(index)
            if to.up and to.starts == starts:
                self.handle(to, starts, (address, datagram))

    def step_oldest(self):
        self.deliver_at(0)

    def step_newest(self):
        self.deliver_at(-1)

    def step_drop(self):
        if self.in_transit:
            self.in_transit.pop(0)

    def step_double(self):
        self.deliver_at(0, keep=True)
        self.deliver_at(0)

    def step_timer(self, seconds=0.31):
        self.now += seconds
        for host in self.hosts.values():
            if host.up and not host.frozen:
                self.wake(host)

    def step_lease(self):
        self.step_timer(PROOF_S + 0.6)

    def step_crash(self):
        self.kill(self.controls[1])

    def step_restart(self):
        """Restart the source with empty memory."""
        self.kill(self.controls[0])
        self.start(self.controls[0])

    def step_freeze(self):
        for host in (self.controls[2], self.routers[0]):
            self.freeze(host)

    def step_cut(self):
        """Drop everything that site a sends."""
        self.cut = lambda a, b: a in ("n1", "n2", "c2")

    def step_purge(self):
        self.submit(2)

    def heal(self):
        """Heal the links and resume suspended processes.

        A killed machine stays down unless the source has restarted too: one of three is no majority, so the killed
        machine is started."""
        self.manual, self.cut = False, lambda a, b: False
        if self.controls[0].starts > 1 and not self.controls[1].up:
            self.start(self.controls[1])
        for host in self.hosts.values():
            if host.frozen:
                self.thaw(host)
        in_transit, self.in_transit = self.in_transit, []
        for to, starts, address, datagram in in_transit:
            if to.up and to.starts == starts:
                self.push(self.now + 0.01, to, (address, datagram))
        for host in self.hosts.values():
            host.due = None
            self.plan(host, self.now)


@pytest.fixture(scope="module")
def settled():
    net = ManualNet()
    net.run(SETTLED_S)
    assert all(net.proven(router) for router in net.routers)
    return net


def play(settled, history):
    net = copy.deepcopy(settled)
    net.manual = True
    net.submit(0)
    for action in history:
        net.step(action)
    net.heal()
    net.run(HEALED_S)
    net.check_end()
    return net


@pytest.mark.parametrize("first", STEPS)
def test_properties_hold_for_every_short_sequence(settled, first):
    for rest in itertools.product(STEPS, repeat=DEPTH - 1):
        try:
            play(settled, (first, *rest))
        except PropertyViolation as violation:
            raise AssertionError(f"{(first, *rest)}: {violation}") from None


def is_violated(settled, histories):
    for history in histories:
        try:
            play(settled, history)
        except PropertyViolation:
            return True
    return False


def test_floors_without_acknowledgement_are_detected(settled, monkeypatch):
    """Injected fault: a machine reports its heads as floors, whether acknowledged or not."""
    original = Distributor.report

    def report(self):
        reported = original(self)
        heads = [number for position in self.heads() for number in position]
        return type(reported)(
            reported.machine, reported.boot, reported.number, heads, [], reported.routers, [], []
        )

    monkeypatch.setattr(Distributor, "report", report)
    monkeypatch.setattr(Distributor, "push", lambda *_: None)
    assert is_violated(settled, [("oldest", "oldest", "timer")])


def test_quorum_of_one_is_detected(settled, monkeypatch):
    """Injected fault: a single machine is a majority. The source is cut off from all others."""

    def run_scenario(net):
        net.cut = lambda a, b: (a == "c1") != (b == "c1")
        net.run(0.3)
        net.submit(0)
        net.run(5.0)

    run_scenario(copy.deepcopy(settled))

    def init_with_majority_of_one(self, *rest):
        original(self, *rest)
        self.majority = 1

    original = Replication.__init__
    monkeypatch.setattr(Replication, "__init__", init_with_majority_of_one)
    net = ManualNet()
    net.run(SETTLED_S)
    with pytest.raises(PropertyViolation):
        run_scenario(net)


def test_proof_dated_at_its_arrival_is_detected(settled, monkeypatch):
    """Injected fault: a push proves completeness up to its arrival, however long it was in transit."""
    original = Subscriber.proof_of

    def proof_of(self, now, push):
        proof = original(self, now, push)
        return proof and proof._replace(moment=now)

    monkeypatch.setattr(Subscriber, "proof_of", proof_of)
    net = copy.deepcopy(settled)
    net.delay = lambda a, b: 0.9 if b.startswith("n") else 0.02
    net.run(3.0)
    net.submit(0)
    with pytest.raises(PropertyViolation):
        net.run(2.0)


def test_missing_retries_are_detected(settled, monkeypatch):
    """Injected fault: unacknowledged entries are never sent again."""
    monkeypatch.setattr(Reader, "resend_overdue", lambda self, now: None)
    monkeypatch.setattr(Reader, "rewind", lambda self, source: None)
    histories = itertools.product(("oldest", "drop", "timer"), repeat=4)
    assert is_violated(settled, histories)


def test_restart_of_a_majority_resets_copies(settled, monkeypatch):
    """All machines restart while a router is out of reach, which loses entries accepted meanwhile. The router must drop
    its copies. Injected fault: it continues as if nothing had happened."""

    def run_scenario():
        net = copy.deepcopy(settled)
        net.cut = lambda a, b: "n1" in (a, b)
        net.run(0.2)
        net.submit(0)
        net.run(0.3)
        assert net.submitted[0] in net.accepted_at
        for host in net.controls:
            net.kill(host)
        for host in net.controls:
            net.start(host)
        net.run(2.0)
        net.cut = lambda a, b: False
        net.run(3.0)
        return net

    net = run_scenario()
    assert [rule for _, rule, _ in net.routers[0].rules][-2:] == [CopyRule.RESET, CopyRule.PROVEN]
    monkeypatch.setattr(Subscriber, "has_common_majority", lambda self, boots: True)
    monkeypatch.setattr(Subscriber, "restart", restart_without_rules)
    with pytest.raises(PropertyViolation):
        run_scenario()


def restart_without_rules(self, now, proof, writer):
    self.positions = proof[1]


def test_entries_of_a_replaced_process_are_not_accepted(settled):
    """A suspended process is replaced by another of the same name and resumes: its entries are not accepted."""
    net = copy.deepcopy(settled)
    old, source = copy.copy(net.controls[0]), net.controls[0]
    net.kill(source)
    net.start(source)
    net.run(2.0)
    assert source.core.replication.epoch == 2
    old_epoch = old.core.replication.epoch
    position = old.core.replication.submit(net.submitted and None or purge_entry())
    assert old_epoch == 1 and position is not None
    for _ in range(20):
        net.run(0.1)
        old.up, old.frozen = True, False
        old.core.tick(net.now, old)
    assert old.core.replication.accepted() < position
    assert all(host.core.replication.logs[0].head.epoch != 1 or host is source for host in net.controls[1:])


def purge_entry():
    from brookhinge.purgelog.messages import Entry, Kind

    return Entry(Kind.PURGE, "late", -1, 0)
