"""The command channel as a box hears it. The number in a poll says what was taken for good: it stays below the first
purge that is not durable yet, and what is told again meanwhile is passed over, so that a disk that stalls holds up no
drain and no purge. A channel that tells less than it told before has lost something."""

import asyncio

from brookhinge.engine.events import CommandSkipped, ObjectsPurged
from brookhinge.net.channel import Channel

AGAIN_S = 0.05  # between polls while the number in them can't rise: the channel answers those at once


class Orders(Channel):
    """safe(number): the highest number up to that one of which every purge is durable; gap(why): purges may have been
    missed; heard(): the channel has told all that it knows."""

    def __init__(self, post, say, address, start, safe, gap, heard):
        super().__init__(post, say, address, 0, start)
        self.safe, self.gap, self.heard, self.met, self.taken = safe, gap, heard, False, 0

    async def ask(self):
        if self.safe(self.taken) < self.taken:
            await asyncio.sleep(AGAIN_S)
        self.cursor = self.safe(self.taken)
        return await super().ask()

    def take(self, cursor, commands):
        first = commands[0].number if commands else cursor + 1
        why = None
        if self.met and cursor < self.taken:
            why = f"the channel tells up to {cursor} after {self.taken}: it has started anew"
        elif self.met and commands and first > self.cursor + 1:
            why = f"the channel goes on at {first} after {self.cursor}"
        for command in commands:
            is_new = command.number > self.taken if why is None else isinstance(command, ObjectsPurged)
            if is_new or isinstance(command, CommandSkipped):
                self.post(command)
        if why is None:
            self.met, self.taken = True, max(self.taken, cursor)
            self.heard()
        else:  # all of it from the start, as at our own
            self.met, self.taken = False, 0
            self.gap(why)
