"""All short orders of delivery, loss, doubling, reordering, timers, crashes, freezes, cuts and lease ends among three
control machines and two sites of two routers, right after a purge. Afterwards links are good and time passes. What must
hold is checked after every event; each property has a fault planted that it finds."""

import copy
import itertools

import pytest

from brookhinge.purgelog.distributor import Distributor
from brookhinge.purgelog.reader import Reader
from brookhinge.purgelog.replication import Replication
from brookhinge.purgelog.subscriber import Subscriber
from brookhinge.purgelog.subscription import CopyRule
from tests.purgelog.checked import Broken, CheckedNet

DEPTH = 3
PROOF_S = 1.0
SETTLED_S, HEALED_S = 2.6, 5.0
STEPS = ("oldest", "newest", "drop", "double", "timer", "crash", "restart", "freeze", "cut", "lease", "purge")


class World(CheckedNet):
    """A net whose messages wait, in manual mode, until a step says what becomes of them."""

    def __init__(self):
        self.manual, self.wires = False, []
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
            self.wires.append((to, to.starts, sender.address, (sender.process, message)))

    # steps

    def step(self, action):
        getattr(self, f"step_{action}")()
        self.watch()
        self.check()

    def take(self, at, keep=False):
        if self.wires:
            to, starts, address, datagram = self.wires[at] if keep else self.wires.pop(at)
            if to.up and to.starts == starts:
                self.handle(to, starts, (address, datagram))

    def step_oldest(self):
        self.take(0)

    def step_newest(self):
        self.take(-1)

    def step_drop(self):
        if self.wires:
            self.wires.pop(0)

    def step_double(self):
        self.take(0, keep=True)
        self.take(0)

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
        """The source comes back with nothing in its memory."""
        self.kill(self.controls[0])
        self.start(self.controls[0])

    def step_freeze(self):
        for host in (self.controls[2], self.routers[0]):
            self.freeze(host)

    def step_cut(self):
        """What site a sends is lost."""
        self.cut = lambda a, b: a in ("n1", "n2", "c2")

    def step_purge(self):
        self.submit(2)

    def heal(self):
        """Good links from here on; what is frozen goes on. A machine that was killed stays down, unless the source has
        lost its memory too: of three, one alone cannot make a majority, and the other comes back."""
        self.manual, self.cut = False, lambda a, b: False
        if self.controls[0].starts > 1 and not self.controls[1].up:
            self.start(self.controls[1])
        for host in self.hosts.values():
            if host.frozen:
                self.thaw(host)
        wires, self.wires = self.wires, []
        for to, starts, address, datagram in wires:
            if to.up and to.starts == starts:
                self.push(self.now + 0.01, to, (address, datagram))
        for host in self.hosts.values():
            host.due = None
            self.plan(host, self.now)


@pytest.fixture(scope="module")
def settled():
    world = World()
    world.run(SETTLED_S)
    assert all(world.proven(router) for router in world.routers)
    return world


def played(settled, history):
    world = copy.deepcopy(settled)
    world.manual = True
    world.submit(0)
    for action in history:
        world.step(action)
    world.heal()
    world.run(HEALED_S)
    world.check_end()
    return world


@pytest.mark.parametrize("first", STEPS)
def test_every_short_order_keeps_the_properties(settled, first):
    for rest in itertools.product(STEPS, repeat=DEPTH - 1):
        try:
            played(settled, (first, *rest))
        except Broken as broken:
            raise AssertionError(f"{(first, *rest)}: {broken}") from None


def found(settled, histories):
    for history in histories:
        try:
            played(settled, history)
        except Broken:
            return True
    return False


def test_floors_without_a_reader_are_found(settled, monkeypatch):
    """Planted: a machine vouches for all it has pushed, acknowledged or not."""
    whole = Distributor.report

    def report(self):
        told = whole(self)
        heads = [number for position in self.heads() for number in position]
        return type(told)(told.machine, told.boot, told.number, heads, [], told.routers, [], [])

    monkeypatch.setattr(Distributor, "report", report)
    monkeypatch.setattr(Distributor, "push", lambda *_: None)
    assert found(settled, [("oldest", "oldest", "timer")])


def test_a_quorum_of_one_is_found(settled, monkeypatch):
    """The source is cut off from all others. Planted: a machine by itself is a majority."""

    def scene(world):
        world.cut = lambda a, b: (a == "c1") != (b == "c1")
        world.run(0.3)
        world.submit(0)
        world.run(5.0)

    scene(copy.deepcopy(settled))

    def begin(self, *rest):
        original(self, *rest)
        self.majority = 1

    original = Replication.__init__
    monkeypatch.setattr(Replication, "__init__", begin)
    world = World()
    world.run(SETTLED_S)
    with pytest.raises(Broken):
        scene(world)


def test_a_proof_dated_at_its_arrival_is_found(settled, monkeypatch):
    """Planted: a push proves for the moment at which it comes, however long it was under way."""
    whole = Subscriber.proof_of

    def proof_of(self, now, push):
        proof = whole(self, now, push)
        return proof and proof._replace(moment=now)

    monkeypatch.setattr(Subscriber, "proof_of", proof_of)
    world = copy.deepcopy(settled)
    world.delay = lambda a, b: 0.9 if b.startswith("n") else 0.02
    world.run(3.0)
    world.submit(0)
    with pytest.raises(Broken):
        world.run(2.0)


def test_an_end_is_missed_without_retries(settled, monkeypatch):
    """Planted: what was not acknowledged is never sent again."""
    monkeypatch.setattr(Reader, "retry_late", lambda self, now: None)
    monkeypatch.setattr(Reader, "send_again", lambda self, source: None)
    histories = itertools.product(("oldest", "drop", "timer"), repeat=4)
    assert found(settled, histories)


def test_memory_lost_by_a_majority_is_noticed(settled, monkeypatch):
    """All machines restart at once while a router is out of reach: what was accepted meanwhile is gone with them, and the
    router drops what it held before. Planted: it goes on as if nothing had happened."""

    def scene():
        world = copy.deepcopy(settled)
        world.cut = lambda a, b: "n1" in (a, b)
        world.run(0.2)
        world.submit(0)
        world.run(0.3)
        assert world.told[0] in world.accepted_at
        for host in world.controls:
            world.kill(host)
        for host in world.controls:
            world.start(host)
        world.run(2.0)
        world.cut = lambda a, b: False
        world.run(3.0)
        return world

    world = scene()
    assert [rule for _, rule, _ in world.routers[0].rules][-2:] == [CopyRule.RESET, CopyRule.PROVEN]
    monkeypatch.setattr(Subscriber, "continuous", lambda self, boots: True)
    monkeypatch.setattr(Subscriber, "restart", quiet_restart)
    with pytest.raises(Broken):
        scene()


def quiet_restart(self, now, proof, writer):
    self.positions = proof[1]


def test_an_older_process_of_a_source_can_have_nothing_accepted(settled):
    """Frozen, replaced under its name, thawed: two processes of one source, and the older one is refused."""
    world = copy.deepcopy(settled)
    old, source = copy.copy(world.controls[0]), world.controls[0]
    world.kill(source)
    world.start(source)
    world.run(2.0)
    assert source.core.replication.epoch == 2
    old_epoch = old.core.replication.epoch
    position = old.core.replication.submit(world.told and None or purge_entry())
    assert old_epoch == 1 and position is not None
    for _ in range(20):
        world.run(0.1)
        old.up, old.frozen = True, False
        old.core.tick(world.now, old)
    assert old.core.replication.accepted() < position
    assert all(host.core.replication.logs[0].head.epoch != 1 or host is source for host in world.controls[1:])


def purge_entry():
    from brookhinge.purgelog.messages import Entry, Kind

    return Entry(Kind.PURGE, "late", -1, 0)
