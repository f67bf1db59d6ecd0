"""Datagrams are the same bytes in every release: literal bytes per message, digests of whole histories.

A failure means that the protocol has changed and routers of the previous release cannot decode it.
"""

import hashlib

import pytest

from brookhinge.emulator.simulated_fleet import Fleet
from brookhinge.emulator.simulated_limits import COLD, World
from brookhinge.emulator.simulated_membership import Net
from brookhinge.membership.claims import Claim
from brookhinge.membership.codec import MESSAGE_TYPES, Codec

SITE = "s"
KEY = b"k" * 16
SELF_CLAIM = Claim("n1", 7, 100, 101, 0, "127.0.0.1", 9000, "east", 2, 0)
LOST_CLAIM = Claim("n2", 2**62 - 1, 90, 95, 2, "10.0.0.2", 9001, "west", 2, 1.5)
DIGEST = 2**63 + 5
NOTICES = [("draining", "s-1", 5), ("purge", 3, "", 1700000000000)]
BUCKET_DIGESTS = bytes(range(128))
LIMIT_ROWS = [("cache", "s-1", 5, 0.25, 0.125), ("parent", "p", 0, 1.5, 0.0)]

MESSAGES = {
    "ping": ((1, 9, 3, 1), [LOST_CLAIM], NOTICES),
    "ack": ((7,), [LOST_CLAIM], NOTICES),
    "nack": ((8,), [], []),
    "ask": ((4, "127.0.0.1", 9001, 3), [LOST_CLAIM], NOTICES),
    "tell": ((), [SELF_CLAIM, LOST_CLAIM], NOTICES),
    "gossip": ((), [SELF_CLAIM, LOST_CLAIM], NOTICES),
    "rows": ((), [SELF_CLAIM, LOST_CLAIM], []),
    "buckets": ((48, BUCKET_DIGESTS), [], NOTICES),
    "look": ((6, 1), [], []),
    "seen": ((0, 2), [], [("n1", "alive", 0.5, "n2", "east", "127.0.0.1:9000")]),
    "want": ((3, 2), [], LIMIT_ROWS),
    "lend": ((4, 3), [], [row[:4] for row in LIMIT_ROWS]),
    "evidence": ((5, 123456), [], [("s-1", 5, 12, 3)]),
    "table": ((1, 0), [], [("s-1", 5, 7, 3, 123456, 12, 3)]),
    "recall": ((0, 0), [], []),
    "memory": ((0, 2), [], [("takes", "page", 0, "", 0.1, 9.0), ("ring", "s-1", 2, "", 10, 20)]),
}


def datagram(kind):
    """Return the first datagram that a router writes, with a message of this kind."""
    values, updates, notices = MESSAGES[kind]
    return Codec(SITE, KEY).write(SELF_CLAIM, DIGEST, MESSAGE_TYPES[kind](*values), updates, notices)


class DatagramLog:
    """A running digest of all datagrams in order."""

    def __init__(self):
        self.count = 0
        self.hash = hashlib.sha256()

    def add(self, label, data):
        self.count += 1
        self.hash.update(label.encode() + data)

    def summary(self):
        return self.count, self.hash.hexdigest()[:32]


class RecordingNet(Net):
    """A network that logs each delivered datagram with its time and receiver."""

    def __init__(self, seed, **links):
        super().__init__(seed, **links)
        self.datagrams = DatagramLog()

    def push(self, at, host, data):
        if data is not None:
            self.datagrams.add(f"{at!r} {host.n} ", data)
        super().push(at, host, data)


def membership_history():
    """Run loss, a partition, a restart, a freeze, a departure, a duplicate name and a second version."""
    net = RecordingNet(41, loss=0.1, double=0.05)
    for n in range(1, 13):
        net.add(n)
    net.run(8.0)
    net.add(20, version=2)
    net.hosts[7].peer.spread(net.now, "draining", ("s-1", 5), net.hosts[7])
    net.kill(3)
    net.freeze(5)
    net.run(12.0)
    net.thaw(5)
    net.hosts[3].start(1_000_003 - 500, [("10.0.0.1", 1)])
    net.add(30, name="n4")
    net.run(8.0)
    net.hosts[6].peer.leave(net.now, net.hosts[6])
    net.kill(6)
    net.cut = lambda a, b: (a < 6) != (b < 6)
    net.run(15.0)
    net.cut = lambda a, b: False
    net.run(25.0)
    return net


class RecordingWorld(World):
    """Routers that share limits; each message is logged as the datagram that carries it."""

    def __init__(self, *args, **links):
        self.datagrams = DatagramLog()
        super().__init__(*args, **links)

    def send(self, sender, name, message):
        _, content, rows = message
        data = Codec(SITE, KEY).write(SELF_CLAIM, 0, content, [], rows)
        self.datagrams.add(f"{self.now!r} {sender.name} {name} ", data)
        super().send(sender, name, message)


def limits_history():
    """Move demand between three routers, of which one freezes and one restarts."""
    world = RecordingWorld(5, 3, loss=0.1, double=0.05)
    world.members[1].demand[COLD] = 1.0
    world.run(8.0)
    world.members[1].demand[COLD] = 0.1
    world.members[2].demand[COLD] = 0.9
    world.members[2].demand["parent", "p", 0] = 0.7
    world.freeze(3)
    world.run(3.0)
    world.thaw(3)
    world.members[1].up = False
    world.restart(1)
    world.run(10.0)
    return world


class RecordingFleet(Fleet):
    """Routers that share limits and evidence; each message is logged as the datagram that carries it."""

    def __init__(self, *args, **links):
        self.log = DatagramLog()
        super().__init__(*args, **links)

    def datagram(self, n, name, message, rows):
        data = Codec(SITE, KEY).write(SELF_CLAIM, 0, message, [], rows)
        self.log.add(f"{self.now!r} {n} {name} ", data)
        super().datagram(n, name, message, rows)


def verdicts_history():
    """Run a server that fails two responses in five, then recovers."""
    fleet = RecordingFleet(1, 6, 4, 40.0, skew=0.5)
    fleet.tell("ready", 1)
    fleet.at(0.0, fleet.arrive)
    fleet.play(4.0)
    fleet.boxes["s-1"].fails = 0.4
    fleet.play(9.0)
    fleet.boxes["s-1"].fails = 0.0
    fleet.play(16.0)
    return fleet


GOLDEN = {
    "ping": (
        "edf197512b07b75df974acd2252275999801a173019aa26e3107646500a93132372e302e302e31cd2328a465"
        "617374020002950101090301919aa26e32cf3fffffffffffffff5a5f02a831302e302e302e32cd2329a47765"
        "737402cb3ff8000000000000c43294cf80000000000000059293a8647261696e696e67a3732d310594a57075"
        "72676503a0cf0000018bcfe56800a470696e6790"
    ),
    "ack": (
        "17d1e368657e80612995531a2676ca5f9801a173019aa26e3107646500a93132372e302e302e31cd2328a465"
        "617374020002920207919aa26e32cf3fffffffffffffff5a5f02a831302e302e302e32cd2329a47765737402"
        "cb3ff8000000000000c43194cf80000000000000059293a8647261696e696e67a3732d310594a57075726765"
        "03a0cf0000018bcfe56800a361636b90"
    ),
    "nack": (
        "3e6d510f2c06fd83f5e596b03c42baf99801a173019aa26e3107646500a93132372e302e302e31cd2328a465"
        "617374020002910090c41294cf800000000000000590a46e61636b9108"
    ),
    "ask": (
        "05812e12228f3a82d4a7ec77bd9529ae9801a173019aa26e3107646500a93132372e302e302e31cd2328a465"
        "6173740200029100919aa26e32cf3fffffffffffffff5a5f02a831302e302e302e32cd2329a47765737402cb"
        "3ff8000000000000c44094cf80000000000000059293a8647261696e696e67a3732d310594a5707572676503"
        "a0cf0000018bcfe56800a361736b9404a93132372e302e302e31cd232903"
    ),
    "tell": (
        "dfc21c3ebc624a3620b32d87d08ee81b9801a173019aa26e3107646500a93132372e302e302e31cd2328a465"
        "6173740200029100929aa26e3107646500a93132372e302e302e31cd2328a46561737402009aa26e32cf3fff"
        "ffffffffffff5a5f02a831302e302e302e32cd2329a47765737402cb3ff8000000000000c43294cf80000000"
        "000000059293a8647261696e696e67a3732d310594a5707572676503a0cf0000018bcfe56800a474656c6c90"
    ),
    "gossip": (
        "5080bb42192666eac7aa2aff984ee9e49801a173019aa26e3107646500a93132372e302e302e31cd2328a465"
        "617374020002910090c47994cf80000000000000059293a8647261696e696e67a3732d310594a57075726765"
        "03a0cf0000018bcfe56800a6676f7373697091c443789c9b346b519e217b4a2ac34a4323733d0320343cabac"
        "b12435b1b8848901286774defe3f0444c533ad3034002b313aabacb9a43c15a8e4b4fd0f0630000006091b4e"
    ),
    "rows": (
        "38b808dcbeb480245f44b325da262f2c9801a173019aa26e3107646500a93132372e302e302e31cd2328a465"
        "617374020002910090c45694cf800000000000000590a4726f777391c443789c9b346b519e217b4a2ac34a43"
        "23733d0320343cabacb12435b1b8848901286774defe3f0444c533ad3034002b313aabacb9a43c15a8e4b4fd"
        "0f0630000006091b4e"
    ),
    "buckets": (
        "1e676bd2642e943cd6d8d41ac2a4a0e09801a173019aa26e3107646500a93132372e302e302e31cd2328a465"
        "617374020002910090c4b894cf80000000000000059293a8647261696e696e67a3732d310594a57075726765"
        "03a0cf0000018bcfe56800a76275636b6574739230c480000102030405060708090a0b0c0d0e0f1011121314"
        "15161718191a1b1c1d1e1f202122232425262728292a2b2c2d2e2f303132333435363738393a3b3c3d3e3f40"
        "4142434445464748494a4b4c4d4e4f505152535455565758595a5b5c5d5e5f606162636465666768696a6b6c"
        "6d6e6f707172737475767778797a7b7c7d7e7f"
    ),
    "look": (
        "3adb874a49cfad4c7c80de54d61498999801a173019aa26e3107646500a93132372e302e302e31cd2328a465"
        "617374020002910090c41394cf800000000000000590a46c6f6f6b920601"
    ),
    "seen": (
        "c27d3df219f70158c5753fe8f618454c9801a173019aa26e3107646500a93132372e302e302e31cd2328a465"
        "617374020002910090c43d94cf80000000000000059196a26e31a5616c697665cb3fe0000000000000a26e32"
        "a465617374ae3132372e302e302e313a39303030a47365656e920002"
    ),
    "want": (
        "ba07f34f29515336827d34f9389439119801a173019aa26e3107646500a93132372e302e302e31cd2328a465"
        "617374020002910090c44e94cf80000000000000059295a56361636865a3732d3105cb3fd0000000000000cb"
        "3fc000000000000095a6706172656e74a17000cb3ff8000000000000cb0000000000000000a477616e749203"
        "02"
    ),
    "lend": (
        "b1bffc4b84c54cea26afda4f55c0ff6e9801a173019aa26e3107646500a93132372e302e302e31cd2328a465"
        "617374020002910090c43c94cf80000000000000059294a56361636865a3732d3105cb3fd000000000000094"
        "a6706172656e74a17000cb3ff8000000000000a46c656e64920403"
    ),
    "evidence": (
        "20cee2c7108f8672f49adb21ef8d30899801a173019aa26e3107646500a93132372e302e302e31cd2328a465"
        "617374020002910090c42394cf80000000000000059194a3732d31050c03a865766964656e63659205ce0001"
        "e240"
    ),
    "table": (
        "4cbdd8c03bf9f93eb0209785883775f39801a173019aa26e3107646500a93132372e302e302e31cd2328a465"
        "617374020002910090c42394cf80000000000000059197a3732d31050703ce0001e2400c03a57461626c6592"
        "0100"
    ),
    "recall": (
        "1b95841638c403660c3a9d604497d1959801a173019aa26e3107646500a93132372e302e302e31cd2328a465"
        "617374020002910090c41594cf800000000000000590a6726563616c6c920000"
    ),
    "memory": (
        "4dcb54a5e5204c99c48ca465d21cf70e9801a173019aa26e3107646500a93132372e302e302e31cd2328a465"
        "617374020002910090c44394cf80000000000000059296a574616b6573a47061676500a0cb3fb99999999999"
        "9acb402200000000000096a472696e67a3732d3102a00a14a66d656d6f7279920002"
    ),
}
MEMBERSHIP_HISTORY = (5407, "b904802a8af8defa43c5eff32348ca6a")
LIMITS_HISTORY = (363, "f6e85c7a778840e5bf36e6bf51b7c191")
VERDICTS_HISTORY = (230, "756d4c5d1276bd5b4e34c29fc63519e2")


@pytest.mark.parametrize("kind", MESSAGES)
def test_each_message_is_encoded_as_the_expected_bytes(kind):
    assert datagram(kind).hex() == GOLDEN[kind]


def test_seeded_membership_history_sends_the_expected_datagrams():
    assert membership_history().datagrams.summary() == MEMBERSHIP_HISTORY


def test_seeded_limits_history_sends_the_expected_datagrams():
    assert limits_history().datagrams.summary() == LIMITS_HISTORY


def test_seeded_outlier_history_sends_the_expected_datagrams():
    assert verdicts_history().log.summary() == VERDICTS_HISTORY
