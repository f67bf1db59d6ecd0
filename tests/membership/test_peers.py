"""Peers of one fleet in virtual time: crashes, freezes, cuts, names used twice. What changed, in short traces."""

import pytest

from brookhinge.emulator.simulated_membership import Net
from brookhinge.membership import timing
from brookhinge.membership.claims import MemberState

SETTLE = 12.0  # seconds in which up to 64 peers hold one view again, by the note


def fleet(count, seed=1, **net):
    net = Net(seed, **net)
    for n in range(1, count + 1):
        net.add(n)
    assert net.run(SETTLE, net.one_view)
    return net


def states(net, n):
    return {name: state for name, state, *_ in net.hosts[n].peer.members()}


def changes(net, *words):
    return sorted(
        {(change, name) for h in net.hosts.values() for _, change, name, _ in h.log if change in words}
    )


def quiet(net, seconds=5.0):
    for h in net.hosts.values():
        h.log.clear()
    net.run(seconds)


def test_all_started_at_once_from_one_list():
    net = fleet(12)
    assert net.now < 3.0
    quiet(net, 20.0)
    assert changes(net, "suspected", "lost", "left") == []


def test_a_list_in_which_nobody_answers_yet_is_no_error():
    net = Net(1)
    net.add(7, seeds=(1, 2))
    net.run(30.0)
    assert net.hosts[7].log == [] and 20 < net.hosts[7].sent < 140
    net.add(1, seeds=(1, 2))
    assert net.run(5.0, net.one_view)


def test_the_only_seed_is_dead():
    net = fleet(6)
    net.kill(1), net.kill(2), net.kill(3)
    net.run(SETTLE)
    net.add(9, seeds=(1, 2, 3, 4))
    assert net.run(SETTLE, net.one_view)


def test_three_killed_at_once_then_restarted_under_their_names():
    net = fleet(12)
    for n in (3, 5, 8):
        net.kill(n)
    assert net.run(SETTLE, net.one_view)
    assert changes(net, "lost") == [("lost", "n3"), ("lost", "n5"), ("lost", "n8")]
    quiet(net, 0.0)
    for n in (3, 5, 8):
        net.hosts[n].start(1_000_000 + n, [("10.0.0.1", s) for s in (1, 2)])  # a clock that stood still
    assert net.run(SETTLE, net.one_view)
    assert changes(net, "restarted") == [("restarted", "n3"), ("restarted", "n5"), ("restarted", "n8")]
    quiet(net, 20.0)
    assert changes(net, "suspected", "lost", "taken") == []


def test_restart_with_a_clock_an_hour_back():
    net = fleet(6)
    net.kill(4)
    net.hosts[4].start(1_000_004 - 3_600_000, [("10.0.0.1", 1)])
    assert net.run(SETTLE, net.one_view)
    assert [h.peer.stopped for h in net.hosts.values()] == [False] * 6


def test_who_was_frozen_takes_nobody_for_dead_and_is_taken_back():
    net = fleet(12)
    net.freeze(6)
    net.run(10.0)
    assert all(states(net, n)["n6"] == MemberState.LOST for n in range(1, 13) if n != 6)
    net.hosts[6].log.clear()
    net.thaw(6)
    assert net.run(SETTLE, net.one_view)
    net.run(10.0)
    assert [line for line in net.hosts[6].log if line[1] == "lost"] == []
    assert all(states(net, n)["n6"] == MemberState.ALIVE for n in range(1, 13))


@pytest.mark.parametrize("seed", range(3))
def test_halves_that_gave_each_other_up_find_one_view(seed):
    net = fleet(16, seed)
    net.cut = lambda a, b: (a <= 8) != (b <= 8)
    net.run(30.0)
    assert states(net, 1)["n12"] == MemberState.LOST and states(net, 12)["n1"] == MemberState.LOST
    net.add(20, seeds=(2,))  # a join on one side, a crash and a leave on the other
    net.kill(11)
    net.hosts[13].peer.leave(net.now, net.hosts[13])
    net.run(20.0)
    net.cut = lambda a, b: False
    assert net.run(10.0, net.one_view)
    net.run(5.0)
    assert [states(net, 1)[n] for n in ("n11", "n13", "n20")] == [
        MemberState.LOST,
        MemberState.LEFT,
        MemberState.ALIVE,
    ]
    assert len({h.peer.view.digest() for h in net.living()}) == 1


def test_cut_one_way_only():
    """What n3 sends is lost; what it is sent comes. It is condemned, learns so, and is back when the wire heals."""
    net = fleet(8)
    net.cut = lambda a, b: a == 3
    net.run(20.0)
    assert states(net, 1)["n3"] == MemberState.LOST and all(
        states(net, 1)[f"n{n}"] == MemberState.ALIVE for n in (2, 4, 5, 6, 7, 8)
    )
    net.cut = lambda a, b: False
    assert net.run(SETTLE, net.one_view)


def test_who_reaches_all_but_one_is_not_lost():
    net = fleet(8)
    net.cut = lambda a, b: {a, b} == {3, 5}
    quiet(net, 40.0)
    assert changes(net, "lost") == []


@pytest.mark.parametrize("seed", range(3))
def test_loss_and_delay_make_nobody_lost_for_long(seed):
    net = fleet(12, seed)
    net.loss, net.delay = 0.3, 0.2
    quiet(net, 60.0)
    for h in net.hosts.values():
        for at, change, name, _ in h.log:
            if change == "lost" and at < net.now - 10.0:
                assert any(c == "back" and n == name and at < t < at + 10.0 for t, c, n, _ in h.log)
    assert len(changes(net, "lost")) <= 1
    net.loss = 0.0
    net.run(10.0)
    assert net.one_view()


def test_leaving_is_by_a_claim_and_for_good():
    net = fleet(8)
    net.hosts[4].peer.leave(net.now, net.hosts[4])
    net.run(2.0)
    assert all(states(net, n)["n4"] == MemberState.LEFT for n in range(1, 9) if n != 4)
    assert changes(net, "lost", "suspected") == []
    net.run(60.0)
    assert all(states(net, n)["n4"] == MemberState.LEFT for n in range(1, 9) if n != 4)


def test_one_name_used_by_two_processes_the_older_start_keeps_it():
    net = fleet(6)
    other = net.add(66, seeds=(2, 3), name="n4")
    net.run(SETTLE)
    assert other.peer.stopped and [line[1:3] for line in other.log if line[1] == "taken"] == [("taken", "n4")]
    assert (
        not net.hosts[4].peer.stopped and other.sent < 100
    )  # they don't answer each other's answers for good
    assert all(states(net, n)["n4"] == MemberState.ALIVE for n in (1, 2, 3, 5, 6))
    v = net.hosts[1].peer.view
    assert v.addresses[v.index["n4"]] == ("10.0.0.1", 4)


def test_flapping_member_settles():
    net = fleet(8)
    for _ in range(6):
        net.kill(5)
        net.run(1.0)
        net.hosts[5].start(1_000_005, [("10.0.0.1", 1)])
        net.run(1.0)
    assert net.run(SETTLE, net.one_view)


def test_rolling_restart_of_all():
    net = fleet(12)
    for n in range(1, 13):
        net.hosts[n].peer.leave(net.now, net.hosts[n])
        net.run(0.05)
        net.kill(n)
        net.run(0.5)
        net.hosts[n].start(1_000_500 + n, [("10.0.0.1", s) for s in (1, 2, 12)])
    assert net.run(SETTLE, net.one_view)
    assert changes(net, "lost") == []


def test_two_hundred_join_within_a_second():
    net = fleet(3)
    for n in range(4, 204):
        net.run(0.005)
        net.add(n)
    assert net.run(
        SETTLE, lambda: int(net.now * 1000) % 50 == 0 and net.one_view() or net.now > 14.5 and net.one_view()
    )
    assert changes(net, "lost", "taken") == []


def test_notices_reach_all_at_once_and_late_comers_too():
    net = fleet(32, loss=0.1)
    net.hosts[7].peer.spread(net.now, "drain", ("s-1", 5), net.hosts[7])
    at = net.now
    net.run(0.5)
    assert sum(("drain", "s-1", 5) in h.notices for h in net.hosts.values()) >= 31
    net.loss = 0.0
    net.add(40)
    net.run(3.0)
    assert ("drain", "s-1", 5) in net.hosts[40].notices and at < net.hosts[40].notices[("drain", "s-1", 5)]


def test_a_notice_reaches_the_last_member_too():
    """Told by each a bounded number of times it may miss somebody for good: then probes of the next seconds carry it."""
    net = Net(9, loss=0.1)
    for n in range(1, 65):
        net.add(n)
    net.run(15.0)
    net.hosts[2].peer.spread(net.now, "draining", ("s-1", 5), net.hosts[2])
    assert net.run(10.0, lambda: sum(("draining", "s-1", 5) in h.notices for h in net.hosts.values()) == 63)


def test_datagrams_stay_few_in_a_large_fleet():
    sent = []
    for count in (8, 64):
        net = fleet(count)
        net.run(20.0)
        before = sum(h.bytes for h in net.hosts.values())
        net.run(20.0)
        sent.append((sum(h.bytes for h in net.hosts.values()) - before) / count / 20.0)
    assert sent[1] < 1.2 * sent[0]


def test_probes_end_also_when_the_probed_is_forgotten(monkeypatch):
    monkeypatch.setattr(timing, "FORGET_AFTER_S", 15.0)
    net = fleet(5)
    for n in (2, 3):
        net.kill(n)
    net.run(60.0)
    assert states(net, 1) == {"n1": MemberState.ALIVE, "n4": MemberState.ALIVE, "n5": MemberState.ALIVE}
    assert all(state in (MemberState.ALIVE, MemberState.SUSPECTED) for state in net.hosts[4].peer.view.states)


def test_peers_of_two_versions_hold_one_another_for_alive():
    """Claims and probes are read by any version: nobody is taken for dead, who dies is, who froze comes back."""
    net = fleet(4)
    for n in (7, 8, 9):
        net.add(n, version=2)
    assert net.run(3 * SETTLE, net.one_view)
    quiet(net, 30.0)
    assert changes(net, "suspected", "lost") == []
    net.kill(8)
    net.freeze(3)
    net.run(20.0)
    assert [states(net, n)["n8"] for n in (1, 2, 7, 9)] == [MemberState.LOST] * 4
    assert [states(net, n)["n3"] for n in (1, 2, 7, 9)] == [MemberState.LOST] * 4
    net.thaw(3)
    assert net.run(3 * SETTLE, net.one_view)


def test_a_router_starved_of_time_declares_nobody_lost():
    """One in four is held up for a second again and again, as by a busy machine."""
    net = fleet(16)
    quiet(net, 0.0)
    for k in range(20):
        for n in (2, 7, 11, 14):
            net.freeze(n)
        net.run(1.0)
        for n in (2, 7, 11, 14):
            net.thaw(n)
        net.run(0.5)
    net.run(SETTLE)
    assert net.one_view() and changes(net, "lost") == []


def test_forgetting_one_leaves_the_suspicion_of_another_with_its_own():
    net = fleet(5)
    peer, v = net.hosts[1].peer, net.hosts[1].peer.view
    first, last = (v.names[i] for i in sorted(v.index[f"n{n}"] for n in (2, 3, 4, 5))[::3])
    for name, state, age in (
        (first, MemberState.LOST, timing.FORGET_AFTER_S - 1.0),
        (last, MemberState.SUSPECTED, 0.0),
    ):
        claim = v.claim(v.index[name], net.now)._replace(state=state, age_s=age)
        peer.updates.apply_update(net.now, claim, "n9", net.hosts[1])
    peer.failure_detector.forget_gone(net.now + 2.0)
    assert first not in v.index
    assert [v.names[i] for i in peer.suspicions] == [last]
    peer.dissemination.queue.expire(net.now + 2.0, v.index)
    assert last in peer.dissemination.queue and set(peer.dissemination.queue.names()) <= set(v.names)
