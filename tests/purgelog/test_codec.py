"""Bytes that no process can read, a foreign key, repeated datagrams, numbers of the far future: dropped, counted, and
nothing moves."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brookhinge.emulator.simulated_purge_log import LogNet
from brookhinge.purgelog.codec import CHECKSUM, MOST_BYTES, Codec, TooLongError
from brookhinge.purgelog.messages import Append, Batch, Entry, Kind, Poll, Push, Subscribe
from brookhinge.purgelog.subscriber import CopyRule, RefusalReason

KEY, OTHER = b"k" * 16, b"o" * 16
ENTRY = Entry(Kind.PURGE, "object", -1, 1)
FAR = 1 << 40


def pair(site="site", key=KEY):
    return Codec("site", KEY, 1), Codec(site, key, 2)


def test_a_message_comes_as_it_went():
    writer, reader = pair()
    message = Append(0, [1, 0], [Batch(0, 1, 0, 0, [ENTRY])])
    assert reader.read(writer.write(message)) == (1, message)
    assert reader.counts["received"] == 1


@pytest.mark.parametrize("site, key", [("other", KEY), ("site", OTHER)])
def test_another_site_or_key_is_forged(site, key):
    writer, reader = pair(site, key)
    assert reader.read(writer.write(Poll(1, 1, True, False, []))) is None
    assert reader.counts["forged"] == 1


def test_a_datagram_is_taken_once_however_late_it_comes_again():
    writer, reader = pair()
    first = writer.write(Poll(1, 1, True, False, []))
    assert reader.read(first) is not None
    for number in range(200):
        assert reader.read(writer.write(Poll(1, number, True, False, []))) is not None
    assert reader.read(first) is None and reader.counts["repeated"] == 1


@given(st.binary(max_size=1500))
def test_any_bytes_are_dropped(data):
    _, reader = pair()
    assert reader.read(data) is None


@given(st.binary(max_size=200))
def test_any_bytes_with_the_right_checksum_move_nothing_they_cannot_say(body):
    _, reader = pair()
    received = reader.read(reader.checksum(body) + body)
    assert received is None or msgspec.msgpack.decode(body)


@settings(max_examples=50)
@given(st.data())
def test_a_datagram_torn_anywhere_is_dropped(data):
    writer, reader = pair()
    whole = writer.write(Subscribe("n1", 1, 1, -1, [0, 0], "", 0))
    at = data.draw(st.integers(0, len(whole) - 1))
    torn = whole[:at] + bytes([whole[at] ^ 1 << data.draw(st.integers(0, 7))]) + whole[at + 1 :]
    assert reader.read(torn) is None and reader.read(whole[:at]) is None
    assert reader.read(whole) is not None


def test_what_is_too_long_is_not_sent():
    writer, _ = pair()
    with pytest.raises(TooLongError):
        writer.write(Append(0, [], [Batch(0, 1, 0, 0, [ENTRY] * MOST_BYTES)]))


def test_fields_that_a_later_version_adds_are_passed_over():
    writer, reader = pair()
    body = msgspec.msgpack.encode([1, 1, [2, 5, 6, True, False, [1, 2], "added later"]])
    assert reader.read(writer.checksum(body) + body) == (1, Poll(5, 6, True, False, [1, 2]))
    assert len(body) > CHECKSUM // 4


@pytest.fixture
def net():
    net = LogNet(3, 4, machines=3)
    net.run(3.0)
    return net


def state(net):
    """Positions and epochs of all processes, and what their copies may be used for."""
    return (
        [[tuple(log.head) for log in host.core.replication.logs] for host in net.controls],
        [list(host.core.replication.promises) for host in net.controls],
        [[tuple(p) for p in host.core.positions] for host in net.routers],
        [host.last_rule() for host in net.routers],
    )


def test_positions_of_the_far_future_move_no_router(net):
    before, router = state(net), net.routers[0]
    machines = len(net.machines)
    heads = [1, FAR] * machines
    for push in (
        Push(router.core.session, 0, 0, heads, [1] * machines, True, []),
        Push(router.core.session, router.core.answered, 0, heads, [1] * machines, True, []),
        Push(router.core.session, 0, -1, [], [], False, [Batch(0, 1, 1, FAR, [ENTRY])]),
        Push(router.core.session, 0, -1, [], [], False, [Batch(0, FAR, 1, 1, [ENTRY])]),
        Push(router.core.session, 0, -1, [], [], False, [Batch(9, 1, 0, 0, [ENTRY])]),
        Push(router.core.session, 0, 0, [1], [1], False, []),
    ):
        router.core.receive(router.clock(), push, router)
    assert router.core.refused[RefusalReason.UNSOUND] == 6
    assert state(net) == before and ENTRY not in router.applied


def test_positions_of_the_far_future_move_no_machine(net):
    before, machine = state(net), net.controls[1]
    reader = next(iter(machine.core.distributor.readers.values()), None) or pytest.skip("nobody reads there")
    poll = Poll(reader.session, FAR, False, False, [1, FAR] * len(net.machines))
    machine.core.receive(machine.clock(), reader.process, reader.address, poll, machine)
    adopt = Append(0, [1] * len(net.machines), [Batch(0, 1, 1, FAR, [])])
    machine.core.receive(machine.clock(), 7, reader.address, adopt, machine)
    assert machine.core.distributor.implausible == 1 and state(net) == before
    net.run(2.0)
    assert all(host.last_rule() is CopyRule.PROVEN for host in net.routers)


def test_an_hour_old_push_proves_nothing(net):
    """Kept by somebody in between and sent again to the core itself: the number that it echoes is no longer remembered."""
    router = net.routers[0].core
    old = Push(router.session, router.answered, 0, [1, 1] * 3, list(router.boots), False, [])
    net.run(60.0)
    proven_at = router.proven_at
    router.receive(net.now, old, net.routers[0])
    assert router.proven_at == proven_at
