"""A box among stand-ins in one process: what it answers, whom it asks, and what no restart, drain or gap may change."""

import asyncio
import threading
import time

import pytest

from brookhinge.cache_server import CacheServer, protocol
from brookhinge.emulator.command_channel import CommandChannel
from brookhinge.emulator.origin import Origin, body_of, group_of
from brookhinge.emulator.thrift_caller import LineCaller
from brookhinge.net.errors import UnreadableError
from brookhinge.operator.settings import CacheServerSettings, StoreSettings

X, Y = "00ab" * 4, "17cd" * 4


class Place:
    """One box, its origin and its command channel."""

    def __init__(self, folder, tracks=None, delay_s=0.0, fills=32, disk=True):
        self.folder, self.tracks, self.fills, self.disk = folder, tracks, fills, disk
        self.origin, self.channel, self.lines = Origin((2000, 200_000), delay_s), CommandChannel(), []

    async def __aenter__(self):
        _, port = self.origin.listen()
        self.channel_at = await self.channel.listen()
        self.host("s-0", "origin", port)
        await self.start()
        return self

    def host(self, name, kind, port, **other):
        self.channel.hosts[name] = {
            "host": name,
            "dial": f"127.0.0.1:{port}",
            "site": "",
            "class": kind,
            "block": 0,
            "health": "up",
            "share": 1,
            "born_ms": 0,
            **other,
        }

    async def start(self):
        stand = CacheServerSettings(
            "s-1",
            ("127.0.0.1", 0),
            self.channel_at,
            self.fills,
            1.0,
            0.3,
            0.4,
            0.5,
            "parent",
            "origin",
            ("util", "x0"),
            self.tracks or {},
            StoreSettings(str(self.folder / "s") if self.disk else "", 8, 64, 2, 0.05, 0.2, 0.25),
        )
        self.step_s = 0.0
        self.server = CacheServer(
            stand, lambda event, **v: self.lines.append((event, v)), wall=lambda: time.time() + self.step_s
        )
        self.address = await self.server.start()
        if self.disk:
            await self.server.store.opened
        while self.server.commands.current_since is None:
            await asyncio.sleep(0.005)
        self.caller = await LineCaller(self.address).connect()

    async def restart(self):
        self.caller.close()
        await self.server.stop()
        await self.start()

    async def __aexit__(self, *_):
        self.caller.close()
        await self.server.stop()
        self.origin.end()
        self.channel.end()

    async def ask(self, object_=X, part=0, **fields):
        """word, note, and whether the bytes are the origin's of now."""
        word, told, body = await self.caller.ask(object_, part, **fields)
        good = (
            body == body_of(object_, part, self.origin.version(object_), self.origin.sizes) if body else None
        )
        return word, told.get(b"n", b"").decode(), good

    async def change(self, **what):
        self.channel.drop(what.get("object_"), what.get("group"), self.origin.change(**what))
        told = self.server.counters["purges"]
        while self.server.counters["purges"] == told:
            await asyncio.sleep(0.002)


def played(scene, folder, **other):
    async def run():
        async with Place(folder, **other) as place:
            return await scene(place)

    return asyncio.run(run())


def test_a_query_by_its_ordinary_path(tmp_path):
    async def scene(p):
        return [
            await p.ask(),
            await p.ask(parent="s-0"),
            await p.ask(),
            await p.ask(part=7, parent="s-0"),
            await p.ask(got="v0"),
            await p.ask(got="v9"),
            p.origin.counts["queries"],
        ]

    assert played(scene, tmp_path) == [
        ("absent", "", None),
        ("data", "via_origin", True),
        ("data", "hit", True),
        ("data", "via_origin", True),
        ("unchanged", "hit", None),
        ("data", "hit", True),
        2,
    ]


def test_queries_join_a_fill_and_fills_are_bounded(tmp_path):
    async def scene(p):
        asked = await asyncio.gather(*(p.ask(parent="s-0", hints="merge") for _ in range(5)))
        many = await asyncio.gather(*(p.ask(part=n, parent="s-0") for n in range(1, 7)))
        return sorted(asked), p.origin.counts["queries"], sorted(many)

    assert played(scene, tmp_path, delay_s=0.1, fills=4) == (
        [("data", "joined", True)] * 4 + [("data", "via_origin", True)],
        5,
        [("data", "via_origin", True)] * 4 + [("full", "no_slot", None)] * 2,
    )


def test_ageing_copies_are_served_as_asked_and_renewed_behind(tmp_path):
    async def scene(p):
        await p.ask(parent="s-0")
        await asyncio.sleep(0.15)
        lines = [
            await p.ask(),
            await p.ask(accept=60_000),
            await p.ask(accept=60_000, parent="s-0", hints="revalidate"),
        ]
        await asyncio.sleep(0.05)
        lines.append(await p.ask())  # renewed in a few bytes
        await asyncio.sleep(0.15)
        lines.append(await p.ask(parent="s-0"))
        return lines, p.origin.counts["queries"], p.origin.counts["unchanged"]

    assert played(scene, tmp_path, tracks={"page": (0.12, 1.0)}) == (
        [
            ("absent", "", None),
            ("data", "stale", True),
            ("data", "stale", True),
            ("data", "hit", True),
            ("data", "hit", True),
        ],
        3,
        2,
    )


def test_a_purge_by_object_and_by_group_lets_no_older_copy_out(tmp_path):
    async def scene(p):
        for object_ in (X, Y):
            await p.ask(object_, parent="s-0")
        await p.change(object_=X)
        lines = [await p.ask(X), await p.ask(Y), await p.ask(X, parent="s-0")]
        await p.change(group=group_of(Y))
        return lines + [await p.ask(X), await p.ask(Y), await p.ask(Y, parent="s-0")]

    assert played(scene, tmp_path) == [
        ("absent", "", None),
        ("data", "hit", True),
        ("data", "via_origin", True),
        ("data", "hit", True),
        ("absent", "", None),
        ("data", "via_origin", True),
    ]


def test_what_was_purged_under_a_fill_is_neither_served_nor_kept(tmp_path):
    async def scene(p):
        asking = asyncio.ensure_future(p.ask(parent="s-0"))
        await asyncio.sleep(0.05)
        await p.change(object_=X)
        return await asking, await p.ask(), await p.ask(parent="s-0")

    assert played(scene, tmp_path, delay_s=0.15) == (
        ("failed", "origin_failed", None),
        ("absent", "", None),
        ("data", "via_origin", True),
    )


def test_after_a_restart_a_copy_goes_out_only_when_its_source_says_it_is_unchanged(tmp_path):
    async def scene(p):
        for part in range(3):
            await p.ask(part=part, parent="s-0")
        await asyncio.sleep(0.1)
        await p.restart()
        bytes_ = p.origin.counts["bytes"]
        lines = [await p.ask(), await p.ask(parent="s-0"), await p.ask()]
        same = p.origin.counts["bytes"] == bytes_
        p.caller.close()
        await p.server.stop()
        p.origin.change(X)  # the purge is told while nobody listens, and never again
        p.channel.drop(X)
        await p.start()
        return lines, same, [await p.ask(part=1), await p.ask(part=1, parent="s-0"), await p.ask(part=1)]

    assert played(scene, tmp_path) == (
        [("absent", "", None), ("data", "hit", True), ("data", "hit", True)],
        True,
        [("absent", "", None), ("data", "via_origin", True), ("data", "hit", True)],
    )


def test_a_channel_that_starts_anew_or_leaves_something_out_sets_everything_aside(tmp_path):
    async def scene(p):
        lines = []
        for turn in range(2):
            await p.ask(parent="s-0")
            p.origin.change(X)
            if turn:
                p.channel.last += 5  # five numbers that nobody was told
                p.channel.list("s-9", dial="127.0.0.1:9", site="", **{"class": "box", "health": "up"})
            else:
                p.channel.events, p.channel.last = [], 1
                for writer in p.channel.writers:
                    writer.transport.abort()
                p.channel.list("s-9", dial="127.0.0.1:9", site="", **{"class": "box", "health": "up"})
                p.server.channel.taken = 40
            while p.server.counters["gaps"] <= turn or p.server.commands.current_since is None:
                await asyncio.sleep(0.005)
            lines += [await p.ask(), await p.ask(parent="s-0")]
        return lines

    assert played(scene, tmp_path) == [("absent", "", None), ("data", "via_origin", True)] * 2


def test_a_disk_that_stalls_under_a_purge_holds_up_no_drain_and_no_purge(tmp_path):
    """The numbers in the polls stay below the purge that is not durable; what came after it is heard all the same."""

    async def scene(p):
        await p.ask(X, parent="s-0")
        await p.ask(Y, parent="s-0")
        hold, sync = threading.Event(), p.server.store.disk.files.sync
        p.server.store.disk.files.sync = lambda handle: (hold.wait(5), sync(handle))
        p.server.store.supervisor.health.record_fault = lambda *_: (
            False
        )  # as long as nobody has noticed that it stalls
        p.origin.change(X)
        number = p.channel.drop(X)
        await asyncio.sleep(0.1)
        p.channel.polls.clear()
        p.origin.change(Y)
        p.channel.drop(Y)
        p.channel.list("s-0", health="draining")
        await asyncio.sleep(0.3)
        p.caller = await LineCaller(p.address).connect()  # the other one has been idle
        heard = p.server.servers.health_of("s-0"), await p.ask(X), await p.ask(Y), max(p.channel.polls)
        hold.set()
        await asyncio.sleep(0.3)
        return heard, number - 1, max(p.channel.polls) == p.channel.last

    heard, below, risen = played(scene, tmp_path)
    assert heard == ("draining", ("absent", "", None), ("absent", "", None), below) and risen


def test_a_clock_that_steps_back_makes_nothing_younger(tmp_path):
    async def scene(p):
        await p.ask(parent="s-0")
        p.step_s = -3600.0
        while not any(event == "clock stepped back" for event, _ in p.lines):
            await asyncio.sleep(0.01)
        return [await p.ask(), await p.ask(parent="s-0"), await p.ask()]

    assert played(scene, tmp_path, tracks={"page": (2.0, 1.0)}) == [
        ("absent", "", None),
        ("data", "hit", True),
        ("data", "hit", True),
    ]


def test_a_folder_of_another_process_or_one_that_cannot_be_written_leaves_memory(tmp_path):
    async def scene(p):
        first, lines = p.server, p.lines
        await p.start()  # a second box on the same folder
        asked = [await p.ask(parent="s-0"), await p.ask()]
        second, p.server = p.server, first
        await second.stop()
        return asked, [v["why"].split(" process")[0] for event, v in lines if event == "disk off"]

    assert played(scene, tmp_path) == (
        [("data", "via_origin", True), ("data", "hit", True)],
        ["closed: [Errno 11] in use by"],
    )


def test_figures_for_prometheus(tmp_path):
    async def scene(p):
        from urllib.request import urlopen

        from brookhinge.cache_server.metrics import CacheServerCollector
        from brookhinge.metrics import publish

        await p.ask(parent="s-0")
        server, thread = publish(CacheServerCollector(p.server), ("127.0.0.1", 0))
        text = await asyncio.to_thread(
            lambda: urlopen("http://127.0.0.1:%d/metrics" % server.server_port).read().decode()
        )
        server.shutdown()
        return "brookhinge_box_queries_total 1.0" in text and "brookhinge_box_disk_on 1.0" in text

    assert played(scene, tmp_path)


def test_a_source_that_drains_has_gone_or_is_unknown_is_asked_for_nothing(tmp_path):
    async def scene(p):
        lines = [await p.ask(parent="s-77")]
        p.channel.list("s-0", health="draining")
        while p.server.servers.health_of("s-0") != "draining":
            await asyncio.sleep(0.002)
        lines.append(await p.ask(parent="s-0"))
        p.channel.list("s-0", health="removed")
        while p.server.servers.health_of("s-0"):
            await asyncio.sleep(0.002)
        return lines + [await p.ask(parent="s-0")], p.origin.counts["queries"]

    assert played(scene, tmp_path) == ([("full", "src_refused", None)] * 3, 0)


def test_a_source_that_fails_or_is_not_there(tmp_path):
    async def scene(p):
        p.origin.broken = True
        p.host("s-8", "parent", 9)
        p.channel.list("s-8")
        while not p.server.servers.health_of("s-8"):
            await asyncio.sleep(0.002)
        lines = [await p.ask(parent="s-0"), await p.ask(parent="s-8")]
        p.origin.broken, p.origin.delay_s = False, 3.0
        began = time.monotonic()
        lines.append(await p.ask(parent="s-0"))
        return lines, time.monotonic() - began < 2.5, p.server.fills.running()

    assert played(scene, tmp_path) == (
        [("failed", "origin_failed", None), ("full", "src_refused", None), ("failed", "origin_failed", None)],
        True,
        0,
    )


@pytest.mark.parametrize(
    "fields, why",
    [
        ({"asset": "xyz"}, "asset"),
        ({"slice": "-1"}, "slice"),
        ({"slice": ""}, "slice"),
        ({"patience": "0"}, "patience"),
        ({"shelf": "4"}, "shelf"),
        ({"accept": "soon"}, "accept"),
        ({"hints": "merge+fly"}, "hints"),
        ({"sort": ""}, "sort"),
    ],
)
def test_what_cannot_be_used_is_answered_and_costs_nobody_else(tmp_path, fields, why):
    async def scene(p):
        good = asyncio.ensure_future(p.ask(parent="s-0"))
        await asyncio.sleep(0.02)
        asked = {"sort": "page", "asset": X, "slice": 0, "patience": 1000, **fields}
        future = asyncio.get_running_loop().create_future()
        p.caller.waiting[b"bad"] = future
        p.caller.writer.write(
            b"PULL bad %b 0\r\n\r\n" % ",".join(f"{k}={v}" for k, v in asked.items()).encode()
        )
        word, _, _ = await asyncio.wait_for(future, 2)
        return word, [v["why"] for event, v in p.lines if event == "query"][0].split()[1], await good

    assert played(scene, tmp_path, delay_s=0.1, disk=False) == (
        "failed",
        why + ":",
        ("data", "via_origin", True),
    )


def test_kill_echo_idle_and_what_cannot_be_read(tmp_path):
    async def scene(p):
        reader, writer = await asyncio.open_connection(*p.address)
        writer.write(
            b"ECHO t\r\nPULL a sort=page,asset=%b,slice=0,patience=900,parent=s-0 0\r\n\r\n" % X.encode()
        )
        await asyncio.sleep(0.03)
        writer.write(b"KILL a\r\nKILL b\r\n")
        first = await reader.readline() + await reader.readline()
        await asyncio.sleep(0.2)
        writer.write(b"ECHO u\r\n")
        second = await reader.readline()
        await reader.readline()
        idle = await asyncio.wait_for(reader.read(), 2)
        reader, writer = await asyncio.open_connection(*p.address)
        writer.write(b"PULL a b\r\n")
        p.caller = await LineCaller(p.address).connect()  # the other one has been idle as well
        return first, second, idle, await asyncio.wait_for(reader.read(), 2), await p.ask()

    assert played(scene, tmp_path, delay_s=0.05, disk=False) == (
        b"t well - 0\r\n\r\n",
        b"u well - 0\r\n",
        b"",
        b"",
        ("data", "hit", True),
    )


def test_a_planned_end_answers_what_is_open(tmp_path):
    async def scene(p):
        asking = asyncio.ensure_future(p.ask(parent="s-0"))
        await asyncio.sleep(0.03)
        ending = asyncio.ensure_future(p.server.stop())
        answered = await asking
        await ending
        await p.start()
        return answered, p.server.store.disk.index.parts

    assert played(scene, tmp_path, delay_s=0.1) == (("data", "via_origin", True), 1)


@pytest.mark.parametrize("size", [1, 7, 4096])
def test_commands_in_any_pieces(size):
    text = b"PULL a x=1 3\r\nabc\r\nKILL a\r\nECHO t\r\nPULL b - 0\r\n\r\n"
    commands = protocol.CommandSplitter()
    got = [c for at in range(0, len(text), size) for c in commands.feed(text[at : at + size])]
    assert got == [("pull", b"a", b"x=1", b"abc"), ("kill", b"a"), ("echo", b"t"), ("pull", b"b", b"-", b"")]
    for bad in (
        b"PULL a - 999999\r\n",
        b"PULL a - x\r\n",
        b"what\r\n",
        b"KILL \r\n",
        b"x" * 5000,
        b"PULL a - 1\r\nabc\r\n",
    ):
        with pytest.raises(UnreadableError):
            protocol.CommandSplitter().feed(bad)
