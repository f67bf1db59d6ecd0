"""What several witnesses make of a server, in small tables."""

from hypothesis import given, settings
from hypothesis import strategies as st

from brookhinge.verdicts.detector import find_outliers, outweighs, own_trouble, pool, troubled_routers
from brookhinge.verdicts.evidence import EVIDENCE_S, MAX_EXTRA_DELAY_S, Evidence

A, B, C, D, E = (("s-%d" % k, 0) for k in range(1, 6))


def fine(routers, tries=10):
    return dict.fromkeys(range(1, routers + 1), (tries, 0))


def seen(**bad):
    """Five servers that all eight routers see well, but for those named: {router: (tries, failed)}."""
    return {server: bad.get(server[0].replace("-", ""), fine(8)) for server in (A, B, C, D, E)}


def test_a_server_that_fails_one_answer_in_three_for_all():
    assert find_outliers(seen(s1=dict.fromkeys(range(1, 9), (3, 1))), 8, 5) == {A: 1 / 3}


def test_one_witness_ejects_nothing_whatever_it_says():
    for tries in (10, 1000, 10**9):
        assert find_outliers(seen(s1={**fine(8), 1: (tries, tries)}), 8, 5) == {}
        assert find_outliers(seen(s1={1: (tries, tries), 2: (3, 0)}), 8, 5) == {}
        assert find_outliers(seen(s1={1: (tries, tries)}), 8, 5) == {}


def test_two_are_enough_where_there_are_but_two():
    assert find_outliers({A: {1: (6, 4), 2: (5, 3)}, B: fine(2), C: fine(2)}, 2, 3) == {
        A: (4 / 6 * 6 + 3 / 5 * 5) / 11
    }
    assert find_outliers({A: {1: (6, 4), 2: (5, 0)}, B: fine(2), C: fine(2)}, 2, 3) == {}


def test_who_sees_most_fail_speaks_of_itself():
    out = {server: {**fine(8), 3: (10, 8)} for server in (A, B, C)}
    assert troubled_routers({**seen(), **out}) == {3}
    broken = {server: {r: (10, 8 if r in (1, 2, 3) else 0) for r in range(1, 9)} for server in (A, B, C, D)}
    assert (
        troubled_routers({**broken, E: fine(8)}) == {1, 2, 3}
        and find_outliers({**broken, E: fine(8)}, 8, 5) == {}
    )


def test_not_half_of_all_at_once():
    bad = dict.fromkeys(range(1, 9), (6, 5))
    assert set(find_outliers(seen(s1=bad, s2=bad), 8, 5)) == {A, B}
    assert find_outliers(seen(s1=bad, s2=bad, s3=bad), 8, 5) == {}  # the way there or the origin fails
    assert find_outliers({A: bad}, 8, 1) == {}  # the only one there is


def test_few_tries_say_nothing():
    assert find_outliers(seen(s1={1: (1, 1), 2: (1, 1), 3: (1, 1)}), 8, 5) == {}


def test_a_router_knows_its_own_trouble():
    one = seen(s1={**fine(8), 4: (5, 4)})
    assert own_trouble(one, 4) == [A] and own_trouble(one, 5) == []
    assert own_trouble(seen(s1=dict.fromkeys(range(1, 9), (5, 3))), 4) == []
    assert outweighs((8, 0)) and not outweighs((7, 0)) and not outweighs((8, 1))


witness = st.tuples(st.integers(0, 10**6), st.integers(0, 10**6)).map(lambda t: (t[0], min(t)))


@settings(max_examples=300, deadline=None)
@given(st.lists(witness, min_size=5, max_size=5), st.integers(1, 8))
def test_a_liar_among_members_who_see_well_ejects_nothing(lies, liar):
    told = {server: {**fine(8), liar: lie} for server, lie in zip((A, B, C, D, E), lies)}
    assert find_outliers(told, 8, 5) == {}


@settings(max_examples=300, deadline=None)
@given(st.dictionaries(st.integers(1, 9), witness, max_size=9))
def test_pooled_shares_are_shares(witnesses):
    part, tries, saw = pool(witnesses)
    assert 0.0 <= part <= 1.0 and tries == sum(t for t, _ in witnesses.values()) and saw <= len(witnesses)


def evidence_of(rows, router=7):
    """An Evidence that heard (now, number, tries, failed) in that order, sent a moment before."""
    evidence = Evidence()
    for now, number, tries, failed in rows:
        evidence.receive(now, router, number, now - 0.01 + 1000.0, [(A, tries, failed)])
    return evidence


ROWS = [(k * 0.5, k + 1, 10 * k, 3 * k) for k in range(8)]


def test_what_acts_is_what_grew_in_the_last_seconds():
    assert evidence_of(ROWS).witnesses(A, 3.5) == {7: (70, 21)}
    assert evidence_of(ROWS).witnesses(A, 5.2) == {7: (40, 12)}
    assert evidence_of(ROWS).witnesses(A, 3.5 + EVIDENCE_S + 0.01) == {}


def test_the_first_total_received_is_nobodys_evidence():
    assert evidence_of([(0.0, 1, 900, 900)]).witnesses(A, 0.1) == {}
    assert evidence_of([(0.0, 1, 900, 900), (0.5, 2, 903, 901)]).witnesses(A, 0.6) == {7: (3, 1)}


def test_what_grew_in_a_gap_has_no_age():
    assert evidence_of([(0.0, 1, 0, 0), (60.0, 2, 500, 500)]).witnesses(A, 60.1) == {}


def test_a_late_report_is_ignored():
    evidence = evidence_of(ROWS)
    evidence.receive(20.0, 7, 99, 20.0 - MAX_EXTRA_DELAY_S - 0.1 + 1000.0, [(A, 10**6, 10**6)])
    assert evidence.witnesses(A, 20.0) == {}


@settings(max_examples=200, deadline=None)
@given(st.randoms(use_true_random=False), st.lists(st.sampled_from(range(8)), max_size=12))
def test_doubled_and_overtaken_reports_change_nothing(chance, again):
    """Whatever comes twice, or after a younger one, leaves the last total as it is."""
    evidence = Evidence()
    order = list(ROWS)
    for k in again:
        at = chance.randrange(order.index(ROWS[k]) + 1, len(order) + 1)
        order.insert(at, ROWS[k])
    for _, number, tries, failed in order:
        evidence.receive(3.5, 7, number, 1003.5, [(A, tries, failed)])
    assert evidence.reporters[7].totals[A][-1][1:] == (70, 21)
