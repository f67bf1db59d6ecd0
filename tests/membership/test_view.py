"""Claims about one router, merged in any order: the same view everywhere."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from brookhinge.membership.claims import Claim, MemberState
from brookhinge.membership.fleet_size import estimate_fleet_size
from brookhinge.membership.view import MembershipView


def claim(name="a", uid=1, inc=10, state=MemberState.ALIVE, port=5, age=0.0):
    return Claim(name, uid, 10, inc, state, "10.0.0.1", port, "z", 1, age)


def apply_all(view, *claims, now=0.0):
    return [view.apply(now, one, "x") for one in claims]


def test_what_changes_is_said_once():
    v = MembershipView(600.0)
    assert apply_all(
        v,
        claim(),
        claim(),
        claim(state=MemberState.SUSPECTED),
        claim(),
        claim(inc=11),
        claim(state=MemberState.LOST),
        claim(inc=11, state=MemberState.LOST),
        claim(inc=12),
        claim(inc=12, state=MemberState.LEFT),
        claim(inc=12),
    ) == ["joined", None, "suspected", None, "cleared", None, "lost", "back", "left", None]


def test_a_leaver_never_comes_back_by_old_news_but_its_successor_does():
    v = MembershipView(600.0)
    apply_all(v, claim(), claim(state=MemberState.LEFT))
    assert apply_all(v, claim(inc=9), claim(state=MemberState.LOST), claim(uid=2, inc=9)) == [
        None,
        None,
        None,
    ]
    assert apply_all(v, claim(uid=2, inc=11)) == ["restarted"] and v.states == [MemberState.ALIVE]
    assert apply_all(v, claim(inc=10, state=MemberState.LEFT)) == [None]  # the older process's word, late


def test_another_router_at_an_old_address_is_another():
    v = MembershipView(600.0)
    apply_all(v, claim("a", 1), claim("b", 2))
    assert v.names == ["a", "b"] and v.addresses == [("10.0.0.1", 5)] * 2


claims = st.builds(
    claim, name=st.sampled_from("ab"), uid=st.integers(1, 3), inc=st.integers(10, 13), state=st.integers(0, 3)
)


@settings(max_examples=400, deadline=None)
@given(st.lists(claims, max_size=10), st.randoms(use_true_random=False))
def test_order_and_doubling_change_nothing(rows, chance):
    one, two = MembershipView(600.0), MembershipView(600.0)
    again = rows + chance.sample(rows, len(rows))
    chance.shuffle(again)
    apply_all(one, *rows)
    apply_all(two, *again)
    assert one.digest() == two.digest()
    for view in (one, two):
        for i, name in enumerate(view.names):
            best = max((r[3], r[1], r[4]) for r in rows if r[0] == name)
            assert (view.incarnations[i], view.incarnation_ids[i], view.states[i]) == best


def test_digests_follow_what_is_known():
    chance, v = random.Random(3), MembershipView(600.0)
    for k in range(300):
        apply_all(
            v,
            claim(f"n{chance.randrange(20)}", chance.randrange(3), chance.randrange(9), chance.randrange(4)),
        )
    fresh = MembershipView(600.0)
    apply_all(fresh, *(v.claim(i, 0.0) for i in range(len(v.names))))
    assert fresh.digest() == v.digest()
    assert v.forget_gone(601.0) and all(
        state in (MemberState.ALIVE, MemberState.SUSPECTED) for state in v.states
    )
    fresh = MembershipView(600.0)
    apply_all(fresh, *(v.claim(i, 601.0) for i in range(len(v.names))), now=601.0)
    assert fresh.digest() == v.digest()


def test_a_share_is_free_a_lease_after_its_router_left_or_was_lost():
    v = MembershipView(600.0)
    apply_all(v, *(claim(name, k + 1) for k, name in enumerate("abcd")))
    trace = [estimate_fleet_size(v, 0.0, 8.0, 6)]
    apply_all(v, claim("a", 1, state=MemberState.SUSPECTED), claim("b", 2, state=MemberState.LEFT))
    trace += [
        estimate_fleet_size(v, now, 8.0, 6) for now in (0.0, 7.9, 8.1)
    ]  # b may be back, and not everybody know so yet
    apply_all(v, claim("a", 1, state=MemberState.LOST), now=1.0)
    trace += [estimate_fleet_size(v, now, 8.0, 3) for now in (1.0, 8.9, 9.1)]
    trace.append(estimate_fleet_size(v, 9.1, 8.0, 6))  # the settings tell of more than were heard of
    apply_all(v, claim("c", 33, inc=20), now=20.0)  # killed and restarted, nobody heard it leave
    trace += [estimate_fleet_size(v, now, 8.0, 2) for now in (20.0, 28.1)]
    assert trace == [6, 6, 6, 5, 4, 3, 2, 5, 3, 2]


def test_two_sides_of_a_cut_never_use_more_than_the_whole():
    """Each has given the other up for longer than a lease; both still divide by all that the settings tell."""
    sides = [MembershipView(600.0), MembershipView(600.0)]
    for side, mine in zip(sides, ("ab", "cd")):
        apply_all(
            side,
            *(
                claim(name, k + 1, state=MemberState.ALIVE if name in mine else MemberState.LOST)
                for k, name in enumerate("abcd")
            ),
        )
    assert sum(2 / estimate_fleet_size(side, 100.0, 8.0, 4) for side in sides) <= 1.0
