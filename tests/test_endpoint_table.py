"""Tests that the table's lists and reused indices are those that a pass over all servers would find."""

from hypothesis import given
from hypothesis import strategies as st

from brookhinge.decisions.endpoints import GONE, REUSE_AFTER_S, EndpointTable, ServerRole
from brookhinge.decisions.messages import Endpoint

OWN_ZONE = 1
ROW = st.builds(
    Endpoint,
    server=st.integers(0, 9),
    state=st.sampled_from(["ready", "draining", "gone"]),
    weight=st.just(1.0),
    started_at=st.sampled_from([None, 5.0]),
    cell=st.just(0),
    kind=st.sampled_from(["box", "box", "parent", "origin"]),
    zone=st.sampled_from([OWN_ZONE, 2]),
)
LIST = st.tuples(st.booleans(), st.lists(ROW, max_size=6), st.sampled_from([0.0, 1.0, REUSE_AFTER_S + 1.0]))
IN_FLIGHT = st.tuples(st.integers(0, 9), st.integers(0, 1))


def expected_lists(table):
    listed = [server for server, state in enumerate(table.state) if state != GONE]
    listed.sort(key=table.ids.__getitem__)
    return (
        [
            server
            for server in listed
            if table.role[server] is ServerRole.CACHE
            and table.zone[server] == OWN_ZONE
            and table.state[server] == "ready"
        ],
        [server for server in listed if table.role[server] is ServerRole.PARENT],
        [server for server in listed if table.role[server] is ServerRole.ORIGIN],
    )


def reusable(table, now):
    return [
        server
        for server, state in enumerate(table.state)
        if state == GONE and not table.in_flight[server] and now - table.emptied_at[server] > REUSE_AFTER_S
    ]


@given(st.lists(st.tuples(LIST, IN_FLIGHT), max_size=20))
def test_lists_of_servers_equal_a_pass_over_all(steps):
    """A list that is kept by what changes must not keep a server that drains, or miss one that came."""
    table = EndpointTable("parent", "origin", OWN_ZONE)
    now = 0.0
    for (is_complete, rows, wait_s), (busy, in_flight) in steps:
        now += wait_s
        before = list(table.emptied_at)
        table.update(now, is_complete, rows)
        assert (table.local_caches, table.parents, table.origins) == expected_lists(table)
        emptied = {server for server, at in enumerate(table.emptied_at) if at == now}
        assert set(table.newly_emptied) <= emptied
        assert {server for server in emptied if before[server : server + 1] != [now]} <= set(
            table.newly_emptied
        )
        if busy < len(table.in_flight):
            table.in_flight[busy] = in_flight


@given(st.lists(st.tuples(LIST, IN_FLIGHT), max_size=20))
def test_new_server_reuses_an_index_if_and_only_if_one_is_free(steps):
    """An index passes on only after its server was gone for long enough, with nothing in flight."""
    table = EndpointTable("parent", "origin", OWN_ZONE)
    now = 0.0
    for (is_complete, rows, wait_s), (busy, in_flight) in steps:
        now += wait_s
        for row in rows:
            free = reusable(table, now)
            count = len(table.ids)
            is_new = row.server not in table.index
            table.update(now, False, [row])
            if is_new:
                assert table.newly_indexed == [table.index[row.server]]
                assert table.index[row.server] in (free or [count])
        table.update(now, is_complete, rows)
        assert {table.ids[server] for server in table.index.values()} == set(table.index)
        if busy < len(table.in_flight):
            table.in_flight[busy] = in_flight
