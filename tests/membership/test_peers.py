"""Peers of one fleet in virtual time, under crashes, freezes, partitions and duplicate names."""

import pytest

from brookhinge.emulator.simulated_membership import Net
from brookhinge.membership import timing
from brookhinge.membership.claims import MemberState

SETTLE_S = 12.0  # target: seconds until up to 64 peers agree on one view again


def settled_fleet(count, seed=1, **links):
    net = Net(seed, **links)
    for n in range(1, count + 1):
        net.add(n)
    assert net.run(SETTLE_S, net.one_view)
    return net


def states_seen_by(net, n):
    return {name: state for name, state, *_ in net.hosts[n].peer.members()}


def logged_changes(net, *kinds):
    return sorted(
        {(change, name) for host in net.hosts.values() for _, change, name, _ in host.log if change in kinds}
    )


def clear_logs_and_run(net, seconds=5.0):
    for host in net.hosts.values():
        host.log.clear()
    net.run(seconds)


def test_members_started_at_once_from_the_same_seeds_agree():
    net = settled_fleet(12)
    assert net.now < 3.0
    clear_logs_and_run(net, 20.0)
    assert logged_changes(net, "suspected", "lost", "left") == []


def test_member_whose_seeds_do_not_answer_retries_and_joins_later():
    net = Net(1)
    net.add(7, seeds=(1, 2))
    net.run(30.0)
    assert net.hosts[7].log == [] and 20 < net.hosts[7].sent < 140
    net.add(1, seeds=(1, 2))
    assert net.run(5.0, net.one_view)


def test_member_joins_although_most_seeds_are_dead():
    net = settled_fleet(6)
    net.kill(1), net.kill(2), net.kill(3)
    net.run(SETTLE_S)
    net.add(9, seeds=(1, 2, 3, 4))
    assert net.run(SETTLE_S, net.one_view)


def test_three_killed_members_are_lost_then_restarted_under_their_names():
    net = settled_fleet(12)
    for n in (3, 5, 8):
        net.kill(n)
    assert net.run(SETTLE_S, net.one_view)
    assert logged_changes(net, "lost") == [("lost", "n3"), ("lost", "n5"), ("lost", "n8")]
    clear_logs_and_run(net, 0.0)
    for n in (3, 5, 8):
        # the wall clock shows the same start time again
        net.hosts[n].start(1_000_000 + n, [("10.0.0.1", s) for s in (1, 2)])
    assert net.run(SETTLE_S, net.one_view)
    assert logged_changes(net, "restarted") == [("restarted", "n3"), ("restarted", "n5"), ("restarted", "n8")]
    clear_logs_and_run(net, 20.0)
    assert logged_changes(net, "suspected", "lost", "taken") == []


def test_restart_with_a_clock_one_hour_behind_is_accepted():
    net = settled_fleet(6)
    net.kill(4)
    net.hosts[4].start(1_000_004 - 3_600_000, [("10.0.0.1", 1)])
    assert net.run(SETTLE_S, net.one_view)
    assert [host.peer.stopped for host in net.hosts.values()] == [False] * 6


def test_frozen_member_declares_nobody_lost_and_is_accepted_again():
    net = settled_fleet(12)
    net.freeze(6)
    net.run(10.0)
    assert all(states_seen_by(net, n)["n6"] == MemberState.LOST for n in range(1, 13) if n != 6)
    net.hosts[6].log.clear()
    net.thaw(6)
    assert net.run(SETTLE_S, net.one_view)
    net.run(10.0)
    assert [line for line in net.hosts[6].log if line[1] == "lost"] == []
    assert all(states_seen_by(net, n)["n6"] == MemberState.ALIVE for n in range(1, 13))


@pytest.mark.parametrize("seed", range(3))
def test_partitioned_halves_agree_on_one_view_after_the_partition(seed):
    net = settled_fleet(16, seed)
    net.cut = lambda a, b: (a <= 8) != (b <= 8)
    net.run(30.0)
    assert (
        states_seen_by(net, 1)["n12"] == MemberState.LOST
        and states_seen_by(net, 12)["n1"] == MemberState.LOST
    )
    net.add(20, seeds=(2,))  # a join on one side, a crash and a departure on the other
    net.kill(11)
    net.hosts[13].peer.leave(net.now, net.hosts[13])
    net.run(20.0)
    net.cut = lambda a, b: False
    assert net.run(10.0, net.one_view)
    net.run(5.0)
    assert [states_seen_by(net, 1)[n] for n in ("n11", "n13", "n20")] == [
        MemberState.LOST,
        MemberState.LEFT,
        MemberState.ALIVE,
    ]
    assert len({host.peer.view.digest() for host in net.living()}) == 1


def test_member_with_a_one_way_link_is_lost_and_comes_back():
    """Datagrams from n3 are lost, those to it arrive. It is declared lost and is back when the link recovers."""
    net = settled_fleet(8)
    net.cut = lambda a, b: a == 3
    net.run(20.0)
    assert states_seen_by(net, 1)["n3"] == MemberState.LOST and all(
        states_seen_by(net, 1)[f"n{n}"] == MemberState.ALIVE for n in (2, 4, 5, 6, 7, 8)
    )
    net.cut = lambda a, b: False
    assert net.run(SETTLE_S, net.one_view)


def test_member_unreachable_from_only_one_other_is_not_lost():
    net = settled_fleet(8)
    net.cut = lambda a, b: {a, b} == {3, 5}
    clear_logs_and_run(net, 40.0)
    assert logged_changes(net, "lost") == []


@pytest.mark.parametrize("seed", range(3))
def test_packet_loss_and_delay_make_no_member_lost_for_long(seed):
    net = settled_fleet(12, seed)
    net.loss, net.delay = 0.3, 0.2
    clear_logs_and_run(net, 60.0)
    for host in net.hosts.values():
        for at, change, name, _ in host.log:
            if change == "lost" and at < net.now - 10.0:
                assert any(c == "back" and n == name and at < t < at + 10.0 for t, c, n, _ in host.log)
    assert len(logged_changes(net, "lost")) <= 1
    net.loss = 0.0
    net.run(10.0)
    assert net.one_view()


def test_leaving_is_announced_and_final():
    net = settled_fleet(8)
    net.hosts[4].peer.leave(net.now, net.hosts[4])
    net.run(2.0)
    assert all(states_seen_by(net, n)["n4"] == MemberState.LEFT for n in range(1, 9) if n != 4)
    assert logged_changes(net, "lost", "suspected") == []
    net.run(60.0)
    assert all(states_seen_by(net, n)["n4"] == MemberState.LEFT for n in range(1, 9) if n != 4)


def test_process_started_first_keeps_a_name_used_twice():
    net = settled_fleet(6)
    other = net.add(66, seeds=(2, 3), name="n4")
    net.run(SETTLE_S)
    assert other.peer.stopped and [line[1:3] for line in other.log if line[1] == "taken"] == [("taken", "n4")]
    assert not net.hosts[4].peer.stopped and other.sent < 100  # they do not answer each other endlessly
    assert all(states_seen_by(net, n)["n4"] == MemberState.ALIVE for n in (1, 2, 3, 5, 6))
    view = net.hosts[1].peer.view
    assert view.addresses[view.index["n4"]] == ("10.0.0.1", 4)


def test_view_settles_after_repeated_restarts_of_a_member():
    net = settled_fleet(8)
    for _ in range(6):
        net.kill(5)
        net.run(1.0)
        net.hosts[5].start(1_000_005, [("10.0.0.1", 1)])
        net.run(1.0)
    assert net.run(SETTLE_S, net.one_view)


def test_rolling_restart_makes_no_member_lost():
    net = settled_fleet(12)
    for n in range(1, 13):
        net.hosts[n].peer.leave(net.now, net.hosts[n])
        net.run(0.05)
        net.kill(n)
        net.run(0.5)
        net.hosts[n].start(1_000_500 + n, [("10.0.0.1", s) for s in (1, 2, 12)])
    assert net.run(SETTLE_S, net.one_view)
    assert logged_changes(net, "lost") == []


def test_two_hundred_members_join_within_a_second():
    net = settled_fleet(3)
    for n in range(4, 204):
        net.run(0.005)
        net.add(n)
    assert net.run(
        SETTLE_S,
        lambda: int(net.now * 1000) % 50 == 0 and net.one_view() or net.now > 14.5 and net.one_view(),
    )
    assert logged_changes(net, "lost", "taken") == []


def test_notice_reaches_all_members_and_one_that_joins_later():
    net = settled_fleet(32, loss=0.1)
    net.hosts[7].peer.spread(net.now, "drain", ("s-1", 5), net.hosts[7])
    at = net.now
    net.run(0.5)
    assert sum(("drain", "s-1", 5) in host.notices for host in net.hosts.values()) >= 31
    net.loss = 0.0
    net.add(40)
    net.run(3.0)
    assert ("drain", "s-1", 5) in net.hosts[40].notices and at < net.hosts[40].notices[("drain", "s-1", 5)]


def test_probes_carry_a_notice_to_members_that_missed_it():
    """Each member sends a notice a bounded number of times, so some members may miss it; later probes carry it to them."""
    net = Net(9, loss=0.1)
    for n in range(1, 65):
        net.add(n)
    net.run(15.0)
    net.hosts[2].peer.spread(net.now, "draining", ("s-1", 5), net.hosts[2])
    assert net.run(
        10.0, lambda: sum(("draining", "s-1", 5) in host.notices for host in net.hosts.values()) == 63
    )


def test_traffic_per_member_does_not_grow_with_the_fleet():
    sent = []
    for count in (8, 64):
        net = settled_fleet(count)
        net.run(20.0)
        before = sum(host.bytes for host in net.hosts.values())
        net.run(20.0)
        sent.append((sum(host.bytes for host in net.hosts.values()) - before) / count / 20.0)
    assert sent[1] < 1.2 * sent[0]


def test_probe_of_a_forgotten_member_ends(monkeypatch):
    monkeypatch.setattr(timing, "FORGET_AFTER_S", 15.0)
    net = settled_fleet(5)
    for n in (2, 3):
        net.kill(n)
    net.run(60.0)
    assert states_seen_by(net, 1) == {
        "n1": MemberState.ALIVE,
        "n4": MemberState.ALIVE,
        "n5": MemberState.ALIVE,
    }
    assert all(state in (MemberState.ALIVE, MemberState.SUSPECTED) for state in net.hosts[4].peer.view.states)


def test_peers_of_two_versions_detect_each_other_correctly():
    """Every version decodes claims and probes: live members stay alive, dead ones are lost, thawed ones are back."""
    net = settled_fleet(4)
    for n in (7, 8, 9):
        net.add(n, version=2)
    assert net.run(3 * SETTLE_S, net.one_view)
    clear_logs_and_run(net, 30.0)
    assert logged_changes(net, "suspected", "lost") == []
    net.kill(8)
    net.freeze(3)
    net.run(20.0)
    assert [states_seen_by(net, n)["n8"] for n in (1, 2, 7, 9)] == [MemberState.LOST] * 4
    assert [states_seen_by(net, n)["n3"] for n in (1, 2, 7, 9)] == [MemberState.LOST] * 4
    net.thaw(3)
    assert net.run(3 * SETTLE_S, net.one_view)


def test_router_starved_of_cpu_time_declares_nobody_lost():
    """One member in four is paused repeatedly for a second, as on a busy machine."""
    net = settled_fleet(16)
    clear_logs_and_run(net, 0.0)
    for k in range(20):
        for n in (2, 7, 11, 14):
            net.freeze(n)
        net.run(1.0)
        for n in (2, 7, 11, 14):
            net.thaw(n)
        net.run(0.5)
    net.run(SETTLE_S)
    assert net.one_view() and logged_changes(net, "lost") == []


def test_forgetting_a_member_keeps_the_suspicion_of_another():
    net = settled_fleet(5)
    peer, view = net.hosts[1].peer, net.hosts[1].peer.view
    first, last = (view.names[i] for i in sorted(view.index[f"n{n}"] for n in (2, 3, 4, 5))[::3])
    for name, state, age in (
        (first, MemberState.LOST, timing.FORGET_AFTER_S - 1.0),
        (last, MemberState.SUSPECTED, 0.0),
    ):
        claim = view.claim(view.index[name], net.now)._replace(state=state, age_s=age)
        peer.updates.apply_update(net.now, claim, "n9", net.hosts[1])
    peer.failure_detector.forget_gone(net.now + 2.0)
    assert first not in view.index
    assert [view.names[i] for i in peer.suspicions] == [last]
    peer.dissemination.queue.expire(net.now + 2.0, view.index)
    assert last in peer.dissemination.queue and set(peer.dissemination.queue.names()) <= set(view.names)
