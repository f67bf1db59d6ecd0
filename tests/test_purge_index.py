"""Tests that objects and own copies found by the index are those that a pass over all of them finds."""

from hypothesis import given
from hypothesis import strategies as st

from brookhinge.decisions.local_cache import LocalCache
from brookhinge.decisions.messages import StoredCopy
from brookhinge.decisions.object_state import ObjectState, ObjectTable
from tests.helpers import PrintingSink

KEYS = st.sampled_from(["a", "b", "c", "d"])
GROUPS = st.integers(0, 2)
REQUEST = st.tuples(st.just("request"), KEYS, st.integers(0, 2), GROUPS, st.booleans())
PURGE = st.tuples(st.just("purge"), st.sampled_from(["", "a", "b"]), GROUPS)
FORGET = st.tuples(st.just("forget"), st.integers(0, 3))
STEPS = st.lists(st.one_of(REQUEST, PURGE, FORGET), max_size=40)


def is_covered(state, key, group):
    return state.key == key if key else state.group == group


@given(STEPS)
def test_purge_reaches_the_states_in_the_table_and_of_open_requests(steps):
    """An object that left the table while its request was open was once missed by a purge."""
    in_use = []
    table = ObjectTable(None, states_in_use=lambda: in_use)
    table.max_objects = 4
    for step in steps:
        if step[0] == "request":
            _, key, part, group, is_kept_open = step
            state = table.get_or_add(key, part, group)
            in_use += [state] if is_kept_open else []
        elif step[0] == "purge":
            _, key, group = step
            states = {*table.states.values(), *in_use}
            before = {state: state.purges for state in states}
            table.record_purge(key, group, 1.0)
            assert {state for state in states if state.purges > before[state]} == {
                state for state in states if is_covered(state, key, group)
            }
        else:
            del in_use[step[1] : step[1] + 1]


@given(STEPS)
def test_purge_drops_the_copies_that_it_covers_and_no_others(steps):
    cache = LocalCache(memory_mb=1e-3, flow_bytes_s=1.0, link_bytes_s=1.0)  # room for four copies
    sink = PrintingSink()
    for step in steps:
        if step[0] == "request":
            _, key, part, group, _ = step
            state = ObjectState(key, part, group)
            cache.keep((0, state.code), state, StoredCopy(0.0, 30), 1, sink)
        elif step[0] == "purge":
            _, key, group = step
            left = {name for name, copy in cache.copies.items() if not is_covered(copy.object, key, group)}
            cache.drop_purged(key, group, sink)
            assert set(cache.copies) == left
        else:
            cache.drop(list(cache.copies)[: step[1]], sink)
    assert cache.size_bytes == 30 * len(cache.copies)
