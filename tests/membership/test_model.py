"""All short histories of three peers: at each step the oldest or newest datagram comes, is lost or is doubled, a timer
runs out, one leaves or crashes. Afterwards the wires are good and time passes: what must hold then holds after every one of
them. Each property has a fault planted that it finds."""

import copy
import itertools
import random

import pytest

from brookhinge.membership.claims import MemberState
from brookhinge.membership.failure_detector import FailureDetector
from brookhinge.membership.local_member import Identity, LocalMember
from brookhinge.membership.messages import Ping, Received
from brookhinge.membership.peer import Peer
from brookhinge.membership.view import MembershipView

DEPTH = 3
STEPS = ("oldest", "newest", "drop", "double", "timer", "leave", "crash", "cut")
QUIET_S = 14.0


class World:
    """Three peers, what is under way between them, and one clock."""

    def __init__(self):
        self.now, self.wires, self.up, self.notices = 0.0, [], [True] * 3, []
        self.peers = [
            Peer(
                Identity(f"n{k}", ("10.0.0.1", k + 1), "z", 1, 1000 + k),
                [("10.0.0.1", 1), ("10.0.0.1", 2)],
                random.Random(k),
                0.0,
            )
            for k in range(3)
        ]
        self.said, self.writing = [[] for _ in range(3)], 0

    def send(self, address, message, updates, notices):
        peer = self.peers[self.writing]
        received = Received(peer.claim(self.now), peer.view.digest(), tuple(updates), tuple(notices), message)
        self.wires.append((address[1] - 1, received))

    def changed(self, change, name, reporter):
        self.said[self.writing].append((change, name))

    def notice(self, kind, values, reporter):
        self.notices.append(self.writing)

    def round(self, k, inbox):
        if self.up[k]:
            self.writing = k
            self.peers[k].round(self.now, inbox, self)

    def take(self, at, keep=False):
        if self.wires:
            to, message = self.wires[at] if keep else self.wires.pop(at)
            self.round(to, [message])

    def timer(self):
        due = [(f.next_at(), k) for k, f in enumerate(self.peers) if self.up[k]]
        at, k = min(due)
        if at < float("inf"):
            self.now = max(self.now, at)
            self.round(k, [])

    def step(self, what):
        if what in ("oldest", "newest"):
            self.take(0 if what == "oldest" else -1)
        elif what == "double":
            self.take(0, keep=True)
        elif what == "drop":
            del self.wires[:1]
        elif what == "cut":
            self.wires.clear()
        elif what == "timer":
            self.timer()
        elif what == "crash":
            self.up[2] = False
        elif self.up[2]:
            self.writing = 2
            self.peers[2].leave(self.now, self)

    def quiet(self, seconds):
        end = self.now + seconds
        while self.now < end:
            for _ in range(500):
                self.take(0)
            assert not self.wires, "datagrams answer one another without end"
            self.timer()

    def state(self, k, name):
        v = self.peers[k].view
        return v.states[v.index[name]] if name in v.index else None


def joined():
    world = World()
    world.quiet(2.0)
    return world


def histories(depth=DEPTH):
    start = joined()
    start.quiet(1.0)
    for steps in itertools.product(STEPS, repeat=depth):
        if steps.count("leave") + steps.count("crash") > 1:
            continue
        world = copy.deepcopy(start)
        for what in steps:
            world.step(what)
        yield steps, world


def settled(world, steps):
    """What must hold once things are quiet."""
    one, two = world.peers[0].view, world.peers[1].view
    assert [world.state(0, "n1"), world.state(1, "n0")] == [MemberState.ALIVE, MemberState.ALIVE], steps
    assert one.digest() == two.digest(), steps
    third = {world.state(0, "n2"), world.state(1, "n2")}
    if "leave" in steps:
        assert third <= {MemberState.LEFT, MemberState.LOST}, steps  # its word may have been lost with it
    elif "crash" in steps:
        assert third == {MemberState.LOST}, steps
    else:
        assert third == {MemberState.ALIVE} and one.digest() == world.peers[2].view.digest(), steps
    assert len(world.wires) < 9, steps


def check(every=1, depth=DEPTH):
    count = 0
    for steps, world in itertools.islice(histories(depth), 0, None, every):
        world.quiet(QUIET_S)
        settled(world, steps)
        count += 1
    return count


def test_every_short_history_settles():
    assert check(depth=4) > 2000


def leaver():
    """Old datagrams of the leaver itself, kept back, doubled and late."""
    world = joined()
    world.timer()
    world.peers[2].view.since[0] = 0.0
    world.writing = 2
    world.send(("10.0.0.1", 1), Ping(1, 0, 0, 0), [], [])
    world.send(("10.0.0.1", 2), Ping(1, 0, 0, 0), [], [])
    old = list(world.wires)
    world.step("leave")
    world.quiet(5.0)
    world.wires += old + old
    world.quiet(5.0)
    assert [world.state(k, "n2") for k in (0, 1)] == [MemberState.LEFT, MemberState.LEFT]


def test_a_leaver_never_comes_back_by_old_news():
    leaver()


def planted_old_news(monkeypatch):
    """Whatever comes last is believed."""
    monkeypatch.setattr(
        MembershipView,
        "supersedes",
        lambda self, i, incarnation_id, incarnation, state: state != self.states[i],
    )


def planted_no_refuting(monkeypatch):
    """Nobody answers what is said of it."""
    monkeypatch.setattr(LocalMember, "assert_alive", lambda self, now, incarnation: False)
    monkeypatch.setattr(Peer, "handle_ack", lambda self, nonce, writer: None)


def planted_no_probing(monkeypatch):
    monkeypatch.setattr(FailureDetector, "next_target", lambda self: None)


@pytest.mark.parametrize(
    "plant, found_by", [(planted_old_news, leaver), (planted_no_refuting, check), (planted_no_probing, check)]
)
def test_planted_faults_are_found(monkeypatch, plant, found_by):
    plant(monkeypatch)
    with pytest.raises(AssertionError):
        found_by()


def test_suspicions_end_one_way_or_the_other():
    for steps, world in itertools.islice(histories(2), 0, None, 1):
        world.quiet(QUIET_S)
        assert all(
            MemberState.SUSPECTED not in f.view.states for k, f in enumerate(world.peers) if world.up[k]
        ), steps
