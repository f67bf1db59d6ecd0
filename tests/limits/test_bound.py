"""All parts of a limit together never pass its whole: over all short histories of three routers, over long ones by seed,
with processes that crash, freeze and come back, clocks that run apart, datagrams lost, doubled and late. Each property has
faults planted that it finds."""

import copy
import itertools

import pytest

from brookhinge.emulator.simulated_limits import COLD, World
from brookhinge.limits import lessor
from brookhinge.limits.lease_terms import GRANT_TERM_S, LEASE_TERM_S, MAX_CLOCK_DRIFT, START_S
from brookhinge.limits.lessee import Lessee
from brookhinge.limits.lessor import Lessor
from brookhinge.membership.claims import MemberState

STEPS = ("pass", "drop", "double", "late", "beat", "lease", "restart 1", "restart 2", "freeze 1", "turn")
DEPTH = 4


def whole(world):
    total = world.total()
    assert total <= 1.0 + 1e-6, f"{total:.4f} of the whole in use at {world.now:.2f} s"


def lending(seed=1, count=3):
    """One router is asked for much, the others for nothing: what they gave is lent to it."""
    world = World(seed, count, delay=0.05)
    world.members[1].demand[COLD] = 1.0
    world.run(START_S + 3.0, lambda: whole(world))
    assert world.members[1].part() > 0.6
    return world


def take(world, what):
    """One step of a short history."""
    kind, _, n = what.partition(" ")
    messages = sorted(k for k in range(len(world.queue)) if world.queue[k][4] is not None)
    if kind in ("drop", "double", "late") and messages:
        at, serial, member, starts, message = world.queue[messages[0]]
        if kind == "drop":
            world.queue[messages[0]] = (at, serial, member, -1, message)
        else:
            world.push(at + (0.01 if kind == "double" else LEASE_TERM_S + 0.3), member, message)
    elif kind == "beat":
        world.run(0.25, lambda: whole(world))
    elif kind == "lease":
        world.run(LEASE_TERM_S, lambda: whole(world))
    elif kind == "restart":
        world.members[int(n)].up = False
        world.restart(int(n))
    elif kind == "freeze":
        (world.thaw if world.members[1].frozen else world.freeze)(1)
    elif kind == "turn":  # the demand goes to another
        for n, member in world.members.items():
            member.demand[COLD] = 1.0 if member.demand.get(COLD, 0.0) == 0.0 and n != 1 else 0.0
    else:
        world.run(0.06, lambda: whole(world))
    whole(world)


def short_histories(depth=DEPTH, every=1):
    start, count = lending(), 0
    for steps in itertools.islice(itertools.product(STEPS, repeat=depth), 0, None, every):
        world = copy.deepcopy(start)
        for what in steps:
            take(world, what)
        if world.members[1].frozen:
            world.thaw(1)
        world.run(GRANT_TERM_S, lambda: whole(world))
        count += 1
    return count


def test_short_histories_keep_the_whole():
    assert short_histories(3) == 1000
    assert short_histories(4, every=23) > 400


def long_history(seed, seconds=60.0, drift=MAX_CLOCK_DRIFT):
    """Anything at any time, by seed. Every other one without crashes: all parts are in use, and many datagrams late."""
    count, calm = 5 - seed % 2 * 2, seed % 2
    world = World(seed, count, loss=0.1, delay=0.05, double=0.1, drift=drift)
    world.late, chance = 0.4 if calm else 0.05, world.chance
    while world.now < seconds:
        n = chance.randint(1, count)
        member, what = world.members[n], chance.random()
        if what < 0.4:
            member.demand[COLD] = chance.choice((0.0, 0.1, 0.5, 1.0))
        elif what < 0.5 and member.up and not calm:
            world.crash(n)
        elif what < 0.65 and not member.up:
            world.restart(n)
        elif what < 0.75 and member.up:
            (world.thaw if member.frozen else world.freeze)(n)
        elif what < 0.8:
            apart = {k for k in world.members if chance.random() < 0.5}
            world.cut = lambda a, b, apart=apart: (a in apart) != (b in apart)
        elif what < 0.85:
            world.cut = lambda a, b: False
        elif what < 0.95 and member.up:  # one takes another for lost, or for alive again: lessors differ
            member.notice(
                chance.choice([k for k in world.members if k != n]),
                chance.choice((MemberState.ALIVE, MemberState.LOST)),
            )
        world.run(chance.choice((0.05, 0.3, 1.0, 2.0)), lambda: whole(world))


def long_histories():
    for seed in range(40):
        long_history(seed)


def test_long_histories_keep_the_whole():
    long_histories()


def planted_grant_from_its_arrival(monkeypatch):
    """A lessor counts a grant from when the request came, not from its own offer before it."""

    def receive_request(self, now, lessee, number, acknowledged, rows, real=Lessor.receive_request):
        account = self.accounts.setdefault(lessee, lessor.LeaseAccount())
        account.offered_at[acknowledged] = now
        real(self, now, lessee, number, acknowledged, rows)

    monkeypatch.setattr(Lessor, "receive_request", receive_request)


def planted_lease_from_its_arrival(monkeypatch):
    """A lessee counts a lease from when it came, not from its request."""

    def receive_offer(self, now, lessor, number, acknowledged, amounts, real=Lessee.receive_offer):
        self.requested_at.setdefault(lessor, {})[acknowledged] = now
        real(self, now, lessor, number, acknowledged, amounts)

    monkeypatch.setattr(Lessee, "receive_offer", receive_offer)


def planted_no_start(monkeypatch):
    """A process that has just started uses its own part at once."""
    monkeypatch.setattr(Lessee, "own_fraction", lambda self, now: 1.0)


def planted_forgotten_grant(monkeypatch):
    """A lessee that grants less than before is bound by the last request alone."""

    def granted_away(self, limit, now, excluding=None):
        return sum(
            grants[-1].amount
            for lessor, grants in self.grants.get(limit, {}).items()
            if lessor != excluding and grants
        )

    monkeypatch.setattr(Lessee, "granted_away", granted_away)


def planted_leases_not_counted(monkeypatch):
    """A lessor forgets what it leased at its last report."""

    def issue_leases(self, now, real=Lessor.issue_leases):
        self.leases.clear()
        return real(self, now)

    monkeypatch.setattr(Lessor, "issue_leases", issue_leases)


def planted_used_past_its_end(monkeypatch):
    """Nobody looks before a round whether a lease has ended."""
    monkeypatch.setattr(Lessee, "next_expiry", lambda self, now: float("inf"))


@pytest.mark.parametrize(
    "plant, found_by",
    [
        (planted_grant_from_its_arrival, long_histories),
        (planted_lease_from_its_arrival, long_histories),
        (planted_no_start, lambda: short_histories(2)),
        (planted_forgotten_grant, long_histories),
        (planted_leases_not_counted, long_histories),
        (planted_used_past_its_end, long_histories),
    ],
)
def test_planted_faults_are_found(monkeypatch, plant, found_by):
    plant(monkeypatch)
    with pytest.raises(AssertionError, match="of the whole"):
        found_by()


def test_clocks_far_past_the_stated_drift_are_what_breaks_it():
    with pytest.raises(AssertionError, match="of the whole"):
        for seed in range(40):
            long_history(seed, drift=100 * MAX_CLOCK_DRIFT)


def test_a_lessor_that_changes_twice_in_a_lease_leases_nothing_twice():
    world = lending(count=5)
    for _ in range(2):
        lessor_position = world.members[2].limits.protocol.lessor_of(COLD)
        gone = int(world.members[2].view.names[lessor_position][1:])
        if gone in (1, 2):
            break
        world.crash(gone)
        world.tell_all(gone, MemberState.LOST)
        world.run(LEASE_TERM_S / 3, lambda: whole(world))
    world.run(GRANT_TERM_S, lambda: whole(world))
    assert world.members[1].part() > 0.35  # leased again by whoever is the lessor now


def test_without_any_peer_that_answers_each_has_its_own_part_again():
    world = lending()
    world.cut = lambda a, b: True
    world.run(
        GRANT_TERM_S + 2.5, lambda: whole(world)
    )  # what was said last has a second of life, a grant GRANT_TERM_S
    assert [round(member.part(), 3) for member in world.members.values()] == [0.333] * 3
