"""All short histories of three peers.

At each step the oldest or newest datagram is delivered, lost or duplicated, a timer fires, or a peer leaves or crashes. Then
the network is reliable and time passes, and the invariants must hold. For each property an injected fault shows that the
check detects a violation."""

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
SETTLE_S = 14.0


class World:
    """Three peers, the datagrams in flight between them, and one clock."""

    def __init__(self):
        self.now, self.in_flight, self.up, self.notices = 0.0, [], [True] * 3, []
        self.peers = [
            Peer(
                Identity(f"n{k}", ("10.0.0.1", k + 1), "z", 1, 1000 + k),
                [("10.0.0.1", 1), ("10.0.0.1", 2)],
                random.Random(k),
                0.0,
            )
            for k in range(3)
        ]
        self.changes, self.sender = [[] for _ in range(3)], 0

    def send(self, address, message, updates, notices):
        peer = self.peers[self.sender]
        received = Received(peer.claim(self.now), peer.view.digest(), tuple(updates), tuple(notices), message)
        self.in_flight.append((address[1] - 1, received))

    def changed(self, change, name, reporter):
        self.changes[self.sender].append((change, name))

    def notice(self, kind, values, reporter):
        self.notices.append(self.sender)

    def round(self, k, inbox):
        if self.up[k]:
            self.sender = k
            self.peers[k].round(self.now, inbox, self)

    def deliver(self, index, keep=False):
        if self.in_flight:
            to, message = self.in_flight[index] if keep else self.in_flight.pop(index)
            self.round(to, [message])

    def timer(self):
        due = [(peer.next_at(), k) for k, peer in enumerate(self.peers) if self.up[k]]
        due_at, k = min(due)
        if due_at < float("inf"):
            self.now = max(self.now, due_at)
            self.round(k, [])

    def step(self, what):
        if what in ("oldest", "newest"):
            self.deliver(0 if what == "oldest" else -1)
        elif what == "double":
            self.deliver(0, keep=True)
        elif what == "drop":
            del self.in_flight[:1]
        elif what == "cut":
            self.in_flight.clear()
        elif what == "timer":
            self.timer()
        elif what == "crash":
            self.up[2] = False
        elif self.up[2]:
            self.sender = 2
            self.peers[2].leave(self.now, self)

    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            for _ in range(500):
                self.deliver(0)
            assert not self.in_flight, "datagrams answer one another endlessly"
            self.timer()

    def state(self, k, name):
        v = self.peers[k].view
        return v.states[v.index[name]] if name in v.index else None


def joined_world():
    world = World()
    world.advance(2.0)
    return world


def histories(depth=DEPTH):
    start = joined_world()
    start.advance(1.0)
    for steps in itertools.product(STEPS, repeat=depth):
        if steps.count("leave") + steps.count("crash") > 1:
            continue
        world = copy.deepcopy(start)
        for what in steps:
            world.step(what)
        yield steps, world


def assert_settled(world, steps):
    """Assert the invariants that hold once no datagram is lost any more."""
    one, two = world.peers[0].view, world.peers[1].view
    assert [world.state(0, "n1"), world.state(1, "n0")] == [MemberState.ALIVE, MemberState.ALIVE], steps
    assert one.digest() == two.digest(), steps
    third = {world.state(0, "n2"), world.state(1, "n2")}
    if "leave" in steps:
        # its leave announcement may have been lost
        assert third <= {MemberState.LEFT, MemberState.LOST}, steps
    elif "crash" in steps:
        assert third == {MemberState.LOST}, steps
    else:
        assert third == {MemberState.ALIVE} and one.digest() == world.peers[2].view.digest(), steps
    assert len(world.in_flight) < 9, steps


def check_histories(every=1, depth=DEPTH):
    count = 0
    for steps, world in itertools.islice(histories(depth), 0, None, every):
        world.advance(SETTLE_S)
        assert_settled(world, steps)
        count += 1
    return count


def test_every_short_history_settles():
    assert check_histories(depth=4) > 2000


def check_leaver_stays_left():
    """Deliver old datagrams of a member that left, duplicated and late."""
    world = joined_world()
    world.timer()
    world.peers[2].view.since[0] = 0.0
    world.sender = 2
    world.send(("10.0.0.1", 1), Ping(1, 0, 0, 0), [], [])
    world.send(("10.0.0.1", 2), Ping(1, 0, 0, 0), [], [])
    old = list(world.in_flight)
    world.step("leave")
    world.advance(5.0)
    world.in_flight += old + old
    world.advance(5.0)
    assert [world.state(k, "n2") for k in (0, 1)] == [MemberState.LEFT, MemberState.LEFT]


def test_stale_datagrams_do_not_revive_a_member_that_left():
    check_leaver_stays_left()


def inject_last_claim_wins(monkeypatch):
    """Injected fault: the claim received last always wins."""
    monkeypatch.setattr(
        MembershipView,
        "supersedes",
        lambda self, i, incarnation_id, incarnation, state: state != self.states[i],
    )


def inject_no_refutation(monkeypatch):
    """Injected fault: no member refutes claims about itself."""
    monkeypatch.setattr(LocalMember, "assert_alive", lambda self, now, incarnation: False)
    monkeypatch.setattr(Peer, "handle_ack", lambda self, nonce, writer: None)


def inject_no_probing(monkeypatch):
    monkeypatch.setattr(FailureDetector, "next_target", lambda self: None)


@pytest.mark.parametrize(
    "inject, detect",
    [
        (inject_last_claim_wins, check_leaver_stays_left),
        (inject_no_refutation, check_histories),
        (inject_no_probing, check_histories),
    ],
)
def test_injected_faults_are_detected(monkeypatch, inject, detect):
    inject(monkeypatch)
    with pytest.raises(AssertionError):
        detect()


def test_every_suspicion_is_refuted_or_becomes_lost():
    for steps, world in itertools.islice(histories(2), 0, None, 1):
        world.advance(SETTLE_S)
        assert all(
            MemberState.SUSPECTED not in peer.view.states for k, peer in enumerate(world.peers) if world.up[k]
        ), steps
