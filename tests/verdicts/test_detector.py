"""Outlier detection from the counts of several witnesses, and the collection of those counts."""

from hypothesis import given, settings
from hypothesis import strategies as st

from brookhinge.verdicts.detector import (
    find_outliers,
    impaired_routers,
    local_failures,
    outweighs_fleet,
    pool,
)
from brookhinge.verdicts.evidence import EVIDENCE_S, MAX_EXTRA_DELAY_S, Evidence

A, B, C, D, E = (("s-%d" % k, 0) for k in range(1, 6))


def healthy(routers, attempts=10):
    return dict.fromkeys(range(1, routers + 1), (attempts, 0))


def observations(**changed):
    """Return the counts {router: (attempts, failures)} of five servers, healthy except for those given."""
    return {server: changed.get(server[0].replace("-", ""), healthy(8)) for server in (A, B, C, D, E)}


def test_server_that_fails_a_third_of_attempts_for_all_routers_is_an_outlier():
    assert find_outliers(observations(s1=dict.fromkeys(range(1, 9), (3, 1))), 8, 5) == {A: 1 / 3}


def test_single_witness_of_failures_ejects_no_server():
    for attempts in (10, 1000, 10**9):
        assert find_outliers(observations(s1={**healthy(8), 1: (attempts, attempts)}), 8, 5) == {}
        assert find_outliers(observations(s1={1: (attempts, attempts), 2: (3, 0)}), 8, 5) == {}
        assert find_outliers(observations(s1={1: (attempts, attempts)}), 8, 5) == {}


def test_two_witnesses_suffice_in_a_fleet_of_two():
    assert find_outliers({A: {1: (6, 4), 2: (5, 3)}, B: healthy(2), C: healthy(2)}, 2, 3) == {
        A: (4 / 6 * 6 + 3 / 5 * 5) / 11
    }
    assert find_outliers({A: {1: (6, 4), 2: (5, 0)}, B: healthy(2), C: healthy(2)}, 2, 3) == {}


def test_router_that_sees_most_servers_fail_is_ignored():
    failing = {server: {**healthy(8), 3: (10, 8)} for server in (A, B, C)}
    assert impaired_routers({**observations(), **failing}) == {3}
    broken = {server: {r: (10, 8 if r in (1, 2, 3) else 0) for r in range(1, 9)} for server in (A, B, C, D)}
    assert (
        impaired_routers({**broken, E: healthy(8)}) == {1, 2, 3}
        and find_outliers({**broken, E: healthy(8)}, 8, 5) == {}
    )


def test_no_server_is_ejected_if_more_than_two_in_five_would_be():
    failing = dict.fromkeys(range(1, 9), (6, 5))
    assert set(find_outliers(observations(s1=failing, s2=failing), 8, 5)) == {A, B}
    # If three of five fail, the cause is the path or the origin.
    assert find_outliers(observations(s1=failing, s2=failing, s3=failing), 8, 5) == {}
    assert find_outliers({A: failing}, 8, 1) == {}  # the only server


def test_few_attempts_are_not_judged():
    assert find_outliers(observations(s1={1: (1, 1), 2: (1, 1), 3: (1, 1)}), 8, 5) == {}


def test_failures_that_one_router_alone_sees_are_local_to_it():
    one = observations(s1={**healthy(8), 4: (5, 4)})
    assert local_failures(one, 4) == [A] and local_failures(one, 5) == []
    assert local_failures(observations(s1=dict.fromkeys(range(1, 9), (5, 3))), 4) == []
    assert outweighs_fleet((8, 0)) and not outweighs_fleet((7, 0)) and not outweighs_fleet((8, 1))


witness = st.tuples(st.integers(0, 10**6), st.integers(0, 10**6)).map(lambda t: (t[0], min(t)))


@settings(max_examples=300, deadline=None)
@given(st.lists(witness, min_size=5, max_size=5), st.integers(1, 8))
def test_false_counts_of_one_router_eject_no_server(counts, router):
    observed = {server: {**healthy(8), router: one} for server, one in zip((A, B, C, D, E), counts)}
    assert find_outliers(observed, 8, 5) == {}


@settings(max_examples=300, deadline=None)
@given(st.dictionaries(st.integers(1, 9), witness, max_size=9))
def test_pooled_counts_are_in_range(witnesses):
    rate, attempts, saw_failures = pool(witnesses)
    assert (
        0.0 <= rate <= 1.0
        and attempts == sum(count for count, _ in witnesses.values())
        and saw_failures <= len(witnesses)
    )


def evidence_of(rows, router=7):
    """Return an Evidence that received rows (now, number, attempts, failures), each sent 10 ms earlier."""
    evidence = Evidence()
    for now, number, attempts, failures in rows:
        evidence.receive(now, router, number, now - 0.01 + 1000.0, [(A, attempts, failures)])
    return evidence


ROWS = [(k * 0.5, k + 1, 10 * k, 3 * k) for k in range(8)]


def test_evidence_is_the_recent_growth_of_totals():
    assert evidence_of(ROWS).witnesses(A, 3.5) == {7: (70, 21)}
    assert evidence_of(ROWS).witnesses(A, 5.2) == {7: (40, 12)}
    assert evidence_of(ROWS).witnesses(A, 3.5 + EVIDENCE_S + 0.01) == {}


def test_first_total_received_is_no_evidence():
    assert evidence_of([(0.0, 1, 900, 900)]).witnesses(A, 0.1) == {}
    assert evidence_of([(0.0, 1, 900, 900), (0.5, 2, 903, 901)]).witnesses(A, 0.6) == {7: (3, 1)}


def test_growth_during_a_gap_is_no_evidence():
    assert evidence_of([(0.0, 1, 0, 0), (60.0, 2, 500, 500)]).witnesses(A, 60.1) == {}


def test_late_report_is_ignored():
    evidence = evidence_of(ROWS)
    evidence.receive(20.0, 7, 99, 20.0 - MAX_EXTRA_DELAY_S - 0.1 + 1000.0, [(A, 10**6, 10**6)])
    assert evidence.witnesses(A, 20.0) == {}


@settings(max_examples=200, deadline=None)
@given(st.randoms(use_true_random=False), st.lists(st.sampled_from(range(8)), max_size=12))
def test_duplicated_and_overtaken_reports_are_ignored(rng, repeated):
    """A report that arrives twice, or after a later one, does not change the last total."""
    evidence = Evidence()
    order = list(ROWS)
    for k in repeated:
        at = rng.randrange(order.index(ROWS[k]) + 1, len(order) + 1)
        order.insert(at, ROWS[k])
    for _, number, attempts, failures in order:
        evidence.receive(3.5, 7, number, 1003.5, [(A, attempts, failures)])
    assert evidence.reporters[7].totals[A][-1][1:] == (70, 21)
