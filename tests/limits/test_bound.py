"""The quotas of all routers never add up to more than the limit.

Checked over short histories of three routers and over long random histories, with processes that crash, freeze and
restart, clocks that drift, and datagrams that are lost, duplicated or late. Injected faults show that the checks fail when
the protocol is wrong.
"""

import copy
import itertools

import pytest

from brookhinge.emulator.simulated_limits import COLD, World
from brookhinge.limits import lessor
from brookhinge.limits.lease_terms import GRANT_TERM_S, LEASE_TERM_S, MAX_CLOCK_DRIFT, START_S
from brookhinge.limits.lessee import Lessee
from brookhinge.limits.lessor import Lessor
from brookhinge.membership.claims import MemberState

STEPS = (
    "wait",
    "drop",
    "duplicate",
    "delay",
    "report",
    "lease",
    "restart 1",
    "restart 2",
    "freeze 1",
    "shift",
)
DEPTH = 4


def assert_within_limit(world):
    total = world.total()
    assert total <= 1.0 + 1e-6, f"quotas add up to {total:.4f} of the limit at {world.now:.2f} s"


def world_with_leases(seed=1, count=3):
    """Return a world in which router 1 has all the demand and leases the quota that the others granted."""
    world = World(seed, count, delay=0.05)
    world.members[1].demand[COLD] = 1.0
    world.run(START_S + 3.0, lambda: assert_within_limit(world))
    assert world.members[1].part() > 0.6
    return world


def apply_step(world, step):
    """Apply one step of a short history."""
    kind, _, n = step.partition(" ")
    messages = sorted(k for k in range(len(world.queue)) if world.queue[k][4] is not None)
    if kind in ("drop", "duplicate", "delay") and messages:
        at, serial, member, starts, message = world.queue[messages[0]]
        if kind == "drop":
            world.queue[messages[0]] = (at, serial, member, -1, message)
        else:
            world.push(at + (0.01 if kind == "duplicate" else LEASE_TERM_S + 0.3), member, message)
    elif kind == "report":
        world.run(0.25, lambda: assert_within_limit(world))
    elif kind == "lease":
        world.run(LEASE_TERM_S, lambda: assert_within_limit(world))
    elif kind == "restart":
        world.members[int(n)].up = False
        world.restart(int(n))
    elif kind == "freeze":
        (world.thaw if world.members[1].frozen else world.freeze)(1)
    elif kind == "shift":  # moves the demand to other routers
        for n, member in world.members.items():
            member.demand[COLD] = 1.0 if member.demand.get(COLD, 0.0) == 0.0 and n != 1 else 0.0
    else:
        world.run(0.06, lambda: assert_within_limit(world))
    assert_within_limit(world)


def run_short_histories(depth=DEPTH, stride=1):
    """Run every `stride`-th sequence of `depth` steps; return how many were run."""
    start, count = world_with_leases(), 0
    for steps in itertools.islice(itertools.product(STEPS, repeat=depth), 0, None, stride):
        world = copy.deepcopy(start)
        for step in steps:
            apply_step(world, step)
        if world.members[1].frozen:
            world.thaw(1)
        world.run(GRANT_TERM_S, lambda: assert_within_limit(world))
        count += 1
    return count


def test_quotas_stay_within_the_limit_in_short_histories():
    assert run_short_histories(3) == 1000
    assert run_short_histories(4, stride=23) > 400


def run_long_history(seed, seconds=60.0, drift=MAX_CLOCK_DRIFT):
    """Run a random history; odd seeds have no crashes, so that all quotas are in use, and many late datagrams."""
    count, without_crashes = 5 - seed % 2 * 2, seed % 2
    world = World(seed, count, loss=0.1, delay=0.05, double=0.1, drift=drift)
    world.late, rng = 0.4 if without_crashes else 0.05, world.chance
    while world.now < seconds:
        n = rng.randint(1, count)
        member, draw = world.members[n], rng.random()
        if draw < 0.4:
            member.demand[COLD] = rng.choice((0.0, 0.1, 0.5, 1.0))
        elif draw < 0.5 and member.up and not without_crashes:
            world.crash(n)
        elif draw < 0.65 and not member.up:
            world.restart(n)
        elif draw < 0.75 and member.up:
            (world.thaw if member.frozen else world.freeze)(n)
        elif draw < 0.8:
            side = {k for k in world.members if rng.random() < 0.5}
            world.cut = lambda a, b, side=side: (a in side) != (b in side)
        elif draw < 0.85:
            world.cut = lambda a, b: False
        elif draw < 0.95 and member.up:  # views differ, and so does the choice of a lessor
            member.notice(
                rng.choice([k for k in world.members if k != n]),
                rng.choice((MemberState.ALIVE, MemberState.LOST)),
            )
        world.run(rng.choice((0.05, 0.3, 1.0, 2.0)), lambda: assert_within_limit(world))


def run_long_histories():
    for seed in range(40):
        run_long_history(seed)


def test_quotas_stay_within_the_limit_in_long_random_histories():
    run_long_histories()


def inject_grant_term_from_arrival(monkeypatch):
    """The lessor starts the term of a grant when the request arrives, not when its own earlier offer was sent."""

    def receive_request(self, now, lessee, number, acknowledged, rows, real=Lessor.receive_request):
        account = self.accounts.setdefault(lessee, lessor.LeaseAccount())
        account.offered_at[acknowledged] = now
        real(self, now, lessee, number, acknowledged, rows)

    monkeypatch.setattr(Lessor, "receive_request", receive_request)


def inject_lease_term_from_arrival(monkeypatch):
    """The lessee starts the term of a lease when the offer arrives, not when it sent the request."""

    def receive_offer(self, now, lessor, number, acknowledged, amounts, real=Lessee.receive_offer):
        self.requested_at.setdefault(lessor, {})[acknowledged] = now
        real(self, now, lessor, number, acknowledged, amounts)

    monkeypatch.setattr(Lessee, "receive_offer", receive_offer)


def inject_no_startup_wait(monkeypatch):
    """A process that has just started uses its own quota at once."""
    monkeypatch.setattr(Lessee, "own_fraction", lambda self, now: 1.0)


def inject_forgotten_grants(monkeypatch):
    """A lessee that grants less than before forgets the larger grants of its earlier requests."""

    def granted_away(self, limit, now, excluding=None):
        return sum(
            grants[-1].amount
            for lessor, grants in self.grants.get(limit, {}).items()
            if lessor != excluding and grants
        )

    monkeypatch.setattr(Lessee, "granted_away", granted_away)


def inject_uncounted_leases(monkeypatch):
    """The lessor forgets the leases that it issued in earlier reports."""

    def issue_leases(self, now, real=Lessor.issue_leases):
        self.leases.clear()
        return real(self, now)

    monkeypatch.setattr(Lessor, "issue_leases", issue_leases)


def inject_use_after_expiry(monkeypatch):
    """Expired leases are not checked before a round."""
    monkeypatch.setattr(Lessee, "next_expiry", lambda self, now: float("inf"))


@pytest.mark.parametrize(
    "inject, run_histories",
    [
        (inject_grant_term_from_arrival, run_long_histories),
        (inject_lease_term_from_arrival, run_long_histories),
        (inject_no_startup_wait, lambda: run_short_histories(2)),
        (inject_forgotten_grants, run_long_histories),
        (inject_uncounted_leases, run_long_histories),
        (inject_use_after_expiry, run_long_histories),
    ],
)
def test_injected_faults_exceed_the_limit(monkeypatch, inject, run_histories):
    inject(monkeypatch)
    with pytest.raises(AssertionError, match="of the limit"):
        run_histories()


def test_clock_drift_far_above_the_maximum_exceeds_the_limit():
    with pytest.raises(AssertionError, match="of the limit"):
        for seed in range(40):
            run_long_history(seed, drift=100 * MAX_CLOCK_DRIFT)


def test_quotas_stay_within_the_limit_when_the_lessor_changes_twice_within_a_lease_term():
    world = world_with_leases(count=5)
    for _ in range(2):
        lessor_position = world.members[2].limits.protocol.lessor_of(COLD)
        lessor_number = int(world.members[2].view.names[lessor_position][1:])
        if lessor_number in (1, 2):
            break
        world.crash(lessor_number)
        world.tell_all(lessor_number, MemberState.LOST)
        world.run(LEASE_TERM_S / 3, lambda: assert_within_limit(world))
    world.run(GRANT_TERM_S, lambda: assert_within_limit(world))
    assert world.members[1].part() > 0.35  # leased again by the new lessor


def test_routers_that_are_all_cut_off_get_their_own_quotas_back():
    world = world_with_leases()
    world.cut = lambda a, b: True
    # The reported contention expires after 1 s, a grant after GRANT_TERM_S.
    world.run(GRANT_TERM_S + 2.5, lambda: assert_within_limit(world))
    assert [round(member.part(), 3) for member in world.members.values()] == [0.333] * 3
