"""Claims merged in any order give the same view on every router."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from brookhinge.membership.claims import Claim, MemberState
from brookhinge.membership.fleet_size import estimate_fleet_size
from brookhinge.membership.view import MembershipView


def make_claim(name="a", incarnation_id=1, incarnation=10, state=MemberState.ALIVE, port=5, age=0.0):
    return Claim(name, incarnation_id, 10, incarnation, state, "10.0.0.1", port, "z", 1, age)


def apply_all(view, *claims, now=0.0):
    return [view.apply(now, one, "x") for one in claims]


def test_apply_reports_each_change_once():
    view = MembershipView(600.0)
    assert apply_all(
        view,
        make_claim(),
        make_claim(),
        make_claim(state=MemberState.SUSPECTED),
        make_claim(),
        make_claim(incarnation=11),
        make_claim(state=MemberState.LOST),
        make_claim(incarnation=11, state=MemberState.LOST),
        make_claim(incarnation=12),
        make_claim(incarnation=12, state=MemberState.LEFT),
        make_claim(incarnation=12),
    ) == ["joined", None, "suspected", None, "cleared", None, "lost", "back", "left", None]


def test_only_a_new_process_revives_a_name_that_left():
    view = MembershipView(600.0)
    apply_all(view, make_claim(), make_claim(state=MemberState.LEFT))
    assert apply_all(
        view,
        make_claim(incarnation=9),
        make_claim(state=MemberState.LOST),
        make_claim(incarnation_id=2, incarnation=9),
    ) == [
        None,
        None,
        None,
    ]
    assert apply_all(view, make_claim(incarnation_id=2, incarnation=11)) == ["restarted"] and view.states == [
        MemberState.ALIVE
    ]
    # a late claim of the older process
    assert apply_all(view, make_claim(incarnation=10, state=MemberState.LEFT)) == [None]


def test_members_with_different_names_may_share_an_address():
    view = MembershipView(600.0)
    apply_all(view, make_claim("a", 1), make_claim("b", 2))
    assert view.names == ["a", "b"] and view.addresses == [("10.0.0.1", 5)] * 2


claims = st.builds(
    make_claim,
    name=st.sampled_from("ab"),
    incarnation_id=st.integers(1, 3),
    incarnation=st.integers(10, 13),
    state=st.integers(0, 3),
)


@settings(max_examples=400, deadline=None)
@given(st.lists(claims, max_size=10), st.randoms(use_true_random=False))
def test_order_and_duplication_of_claims_do_not_change_the_view(rows, rng):
    first, second = MembershipView(600.0), MembershipView(600.0)
    shuffled = rows + rng.sample(rows, len(rows))
    rng.shuffle(shuffled)
    apply_all(first, *rows)
    apply_all(second, *shuffled)
    assert first.digest() == second.digest()
    for view in (first, second):
        for i, name in enumerate(view.names):
            best = max((r[3], r[1], r[4]) for r in rows if r[0] == name)
            assert (view.incarnations[i], view.incarnation_ids[i], view.states[i]) == best


def test_digest_depends_only_on_the_known_claims():
    rng, view = random.Random(3), MembershipView(600.0)
    for k in range(300):
        apply_all(
            view,
            make_claim(f"n{rng.randrange(20)}", rng.randrange(3), rng.randrange(9), rng.randrange(4)),
        )
    fresh = MembershipView(600.0)
    apply_all(fresh, *(view.claim(i, 0.0) for i in range(len(view.names))))
    assert fresh.digest() == view.digest()
    assert view.forget_gone(601.0) and all(
        state in (MemberState.ALIVE, MemberState.SUSPECTED) for state in view.states
    )
    fresh = MembershipView(600.0)
    apply_all(fresh, *(view.claim(i, 601.0) for i in range(len(view.names))), now=601.0)
    assert fresh.digest() == view.digest()


def test_share_is_freed_one_lease_after_its_router_left_or_was_lost():
    view = MembershipView(600.0)
    apply_all(view, *(make_claim(name, k + 1) for k, name in enumerate("abcd")))
    trace = [estimate_fleet_size(view, 0.0, 8.0, 6)]
    apply_all(
        view, make_claim("a", 1, state=MemberState.SUSPECTED), make_claim("b", 2, state=MemberState.LEFT)
    )
    # b may be back before every router knows so
    trace += [estimate_fleet_size(view, now, 8.0, 6) for now in (0.0, 7.9, 8.1)]
    apply_all(view, make_claim("a", 1, state=MemberState.LOST), now=1.0)
    trace += [estimate_fleet_size(view, now, 8.0, 3) for now in (1.0, 8.9, 9.1)]
    trace.append(estimate_fleet_size(view, 9.1, 8.0, 6))  # more routers are configured than known
    # killed and restarted without a leave announcement
    apply_all(view, make_claim("c", 33, incarnation=20), now=20.0)
    trace += [estimate_fleet_size(view, now, 8.0, 2) for now in (20.0, 28.1)]
    assert trace == [6, 6, 6, 5, 4, 3, 2, 5, 3, 2]


def test_two_sides_of_a_partition_never_use_more_than_the_whole_limit():
    """Each side declared the other lost more than a lease ago; both still divide by the configured count."""
    sides = [MembershipView(600.0), MembershipView(600.0)]
    for side, own_names in zip(sides, ("ab", "cd")):
        apply_all(
            side,
            *(
                make_claim(name, k + 1, state=MemberState.ALIVE if name in own_names else MemberState.LOST)
                for k, name in enumerate("abcd")
            ),
        )
    assert sum(2 / estimate_fleet_size(side, 100.0, 8.0, 4) for side in sides) <= 1.0
