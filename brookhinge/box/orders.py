"""The command channel as a box hears it: a poll goes out only when every purge of the one before is durable, so that the
number in it says what was taken; and a channel that tells less than it told before has lost something."""
from brookhinge.net.channel import Channel


class Orders(Channel):
    """durable(): a coroutine that is done when all purges told are durable; gap(why): purges may have been missed."""

    def __init__(self, post, say, address, start, durable, gap, heard):
        super().__init__(post, say, address, 0, start)
        self.durable, self.gap, self.heard, self.met = durable, gap, heard, False

    async def ask(self):
        await self.durable()
        return await super().ask()

    def take(self, cursor, commands):
        first = commands[0][1][0] if commands else cursor + 1
        why = None
        if self.met and cursor < self.cursor:
            why = f"the channel tells up to {cursor} after {self.cursor}: it has started anew"
        elif self.met and commands and first > self.cursor + 1:
            why = f"the channel goes on at {first} after {self.cursor}"
        for method, values in commands:
            if why is None or method == "purged":
                self.post(method, values)
        if why is None:
            self.met, self.cursor = True, max(self.cursor, cursor)
            self.heard()
        else:       # all of it from the start, as at our own
            self.met, self.cursor = False, 0
            self.gap(why)
