"""Undecodable bytes, a foreign key or site, replayed datagrams and positions far ahead are dropped, counted and change no
state."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brookhinge.emulator.simulated_purge_log import LogNet
from brookhinge.purgelog.codec import CHECKSUM_BYTES, MAX_DATAGRAM_BYTES, Codec, TooLongError
from brookhinge.purgelog.messages import Append, Batch, Entry, Kind, Poll, Push, Subscribe
from brookhinge.purgelog.subscription import CopyRule, RefusalReason

KEY, OTHER_KEY = b"k" * 16, b"o" * 16
ENTRY = Entry(Kind.PURGE, "object", -1, 1)
FAR_INDEX = 1 << 40


def make_codecs(site="site", key=KEY):
    return Codec("site", KEY, 1), Codec(site, key, 2)


def test_message_round_trips_unchanged():
    writer, reader = make_codecs()
    message = Append(0, [1, 0], [Batch(0, 1, 0, 0, [ENTRY])])
    assert reader.read(writer.write(message)) == (1, message)
    assert reader.counts["received"] == 1


@pytest.mark.parametrize("site, key", [("other", KEY), ("site", OTHER_KEY)])
def test_datagram_of_another_site_or_key_counts_as_forged(site, key):
    writer, reader = make_codecs(site, key)
    assert reader.read(writer.write(Poll(1, 1, True, False, []))) is None
    assert reader.counts["forged"] == 1


def test_replayed_datagram_is_dropped_however_late():
    writer, reader = make_codecs()
    first = writer.write(Poll(1, 1, True, False, []))
    assert reader.read(first) is not None
    for number in range(200):
        assert reader.read(writer.write(Poll(1, number, True, False, []))) is not None
    assert reader.read(first) is None and reader.counts["repeated"] == 1


@given(st.binary(max_size=1500))
def test_random_bytes_are_dropped(data):
    _, reader = make_codecs()
    assert reader.read(data) is None


@given(st.binary(max_size=200))
def test_random_body_with_valid_checksum_is_accepted_only_if_decodable(body):
    _, reader = make_codecs()
    received = reader.read(reader.checksum(body) + body)
    assert received is None or msgspec.msgpack.decode(body)


@settings(max_examples=50)
@given(st.data())
def test_damaged_or_truncated_datagram_is_dropped(data):
    writer, reader = make_codecs()
    datagram = writer.write(Subscribe("n1", 1, 1, -1, [0, 0], "", 0))
    position = data.draw(st.integers(0, len(datagram) - 1))
    damaged = (
        datagram[:position]
        + bytes([datagram[position] ^ 1 << data.draw(st.integers(0, 7))])
        + datagram[position + 1 :]
    )
    assert reader.read(damaged) is None and reader.read(datagram[:position]) is None
    assert reader.read(datagram) is not None


def test_too_long_message_raises_error():
    writer, _ = make_codecs()
    with pytest.raises(TooLongError):
        writer.write(Append(0, [], [Batch(0, 1, 0, 0, [ENTRY] * MAX_DATAGRAM_BYTES)]))


def test_additional_fields_of_a_later_version_are_ignored():
    writer, reader = make_codecs()
    body = msgspec.msgpack.encode([1, 1, [2, 5, 6, True, False, [1, 2], "added later"]])
    assert reader.read(writer.checksum(body) + body) == (1, Poll(5, 6, True, False, [1, 2]))
    assert len(body) > CHECKSUM_BYTES // 4


@pytest.fixture
def net():
    net = LogNet(3, 4, machines=3)
    net.run(3.0)
    return net


def capture_state(net):
    """Return positions and epochs of all processes, and the last rule for the copies of each router."""
    return (
        [[tuple(log.head) for log in host.core.replication.logs] for host in net.controls],
        [list(host.core.replication.promises) for host in net.controls],
        [[tuple(p) for p in host.core.positions] for host in net.routers],
        [host.last_rule() for host in net.routers],
    )


def test_positions_far_ahead_do_not_change_a_router(net):
    before, router = capture_state(net), net.routers[0]
    machines = len(net.machines)
    heads = [1, FAR_INDEX] * machines
    for push in (
        Push(router.core.session, 0, 0, heads, [1] * machines, True, []),
        Push(router.core.session, router.core.last_echo, 0, heads, [1] * machines, True, []),
        Push(router.core.session, 0, -1, [], [], False, [Batch(0, 1, 1, FAR_INDEX, [ENTRY])]),
        Push(router.core.session, 0, -1, [], [], False, [Batch(0, FAR_INDEX, 1, 1, [ENTRY])]),
        Push(router.core.session, 0, -1, [], [], False, [Batch(9, 1, 0, 0, [ENTRY])]),
        Push(router.core.session, 0, 0, [1], [1], False, []),
    ):
        router.core.receive(router.clock(), push, router)
    assert router.core.refused[RefusalReason.UNSOUND] == 6
    assert capture_state(net) == before and ENTRY not in router.applied


def test_positions_far_ahead_do_not_change_a_control_machine(net):
    before, machine = capture_state(net), net.controls[1]
    reader = next(iter(machine.core.distributor.readers.values()), None) or pytest.skip(
        "no router reads at this machine"
    )
    poll = Poll(reader.session, FAR_INDEX, False, False, [1, FAR_INDEX] * len(net.machines))
    machine.core.receive(machine.clock(), reader.process, reader.address, poll, machine)
    adopt = Append(0, [1] * len(net.machines), [Batch(0, 1, 1, FAR_INDEX, [])])
    machine.core.receive(machine.clock(), 7, reader.address, adopt, machine)
    assert machine.core.distributor.implausible == 1 and capture_state(net) == before
    net.run(2.0)
    assert all(host.last_rule() is CopyRule.PROVEN for host in net.routers)


def test_push_replayed_a_minute_later_proves_nothing(net):
    """A replayed push that reaches the core itself echoes a number that the router no longer tracks."""
    router = net.routers[0].core
    old = Push(router.session, router.last_echo, 0, [1, 1] * 3, list(router.boots), False, [])
    net.run(60.0)
    proven_at = router.proven_at
    router.receive(net.now, old, net.routers[0])
    assert router.proven_at == proven_at
