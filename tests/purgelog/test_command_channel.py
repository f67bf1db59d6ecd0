"""A control machine queues the purges of its command channel for the log."""

import asyncio

from brookhinge.emulator.command_channel import CommandChannel
from brookhinge.emulator.ports import free_port
from brookhinge.operator import read_text
from brookhinge.purgelog.messages import Entry, Kind
from brookhinge.purgelog.server import ControlServer
from tests.purgelog.test_settings import control_block

WITHIN_S = 20.0


def test_purges_of_the_command_channel_are_queued_for_the_log():
    async def run():
        channel = CommandChannel()
        host, port = await channel.listen()
        controls = read_text(
            control_block("c1", more=f'  channel = "{host}:{port}"\n').replace(
                '127.0.0.1:1"', f'127.0.0.1:{free_port(host)}"', 1
            )
            + control_block("c2")
            + control_block("c3")
        ).control
        server = ControlServer("c1", controls, lambda event, **values: None)
        taken = []
        receive = server.intake.receive
        server.intake.receive = lambda now, entry: (taken.append(entry), receive(now, entry))
        await server.start()
        try:
            async with asyncio.timeout(WITHIN_S):
                while not channel.polls:
                    await asyncio.sleep(0.01)
                channel.drop("a1", when=1700000000.0)
                channel.drop(group=7, when=1700000000.5)
                while len(taken) < 2:
                    await asyncio.sleep(0.01)
        finally:
            server.stop()
            channel.end()
        return taken

    assert asyncio.run(run()) == [
        Entry(Kind.PURGE, "a1", -1, 1700000000000),
        Entry(Kind.PURGE, "", 7, 1700000000500),
    ]
