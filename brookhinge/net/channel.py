"""The command channel: long polls, answers to events. Decides nothing."""

import asyncio
import contextlib
import random
import socket
import time

from tornado.iostream import StreamClosedError

from brookhinge.engine.commands import CommandFormatError, read_commands
from brookhinge.net import http
from brookhinge.net.stream import Stream, Unread, unread
from brookhinge.net.timeouts import within

BLOCK_S, SLACK_S = 1.0, 0.5  # a poll waits so long; past the slack as well the connection is taken for dead
FIRST_S, LONGEST_S = 0.05, 1.0  # pauses after failures
KNOWN_FOR_S = 0.1  # after a look that found nothing unread, the next one; events bind after half a second


class Channel:
    def __init__(self, post, say, address, cursor, start, block_s=BLOCK_S, slack_s=SLACK_S, watch=None):
        """watch: the LoopWatch of the loop, or None."""
        self.post, self.say, self.address, self.cursor = post, say, address, cursor
        self.block_s, self.slack_s, self.watch = block_s, slack_s, watch
        self.now = time.monotonic if watch is None else watch.now
        self.start, self.stream, self.moved = start, None, asyncio.Event()
        self.received = None  # what the read that is under way comes to
        # When the channel answers the poll that is out, though nothing came; None: none is out.
        self.waits_until = None
        # All events up to then are known: the last poll that was answered was sent then.
        self.known_until = float("-inf")
        self.asked_at = float("-inf")  # when the last poll was sent
        self.empty_at = float("-inf")  # the last look that found nothing unread
        self.fails = False  # the last poll failed

    def move(self, address):
        """From now on another address tells, from the event after the last; what waits on the old one ends."""
        self.address = address
        self.moved.set()
        self.close()

    async def run(self):
        pause = FIRST_S
        while True:
            self.moved.clear()
            try:
                status, body, kept = await within(self.ask(), self.block_s + self.slack_s, self.watch)
                if status != 200:
                    raise http.UnreadableError(f"status {status}")
                cursor, commands = read_commands(body, self.start)
                if not kept:
                    self.close()
                pause, self.fails = FIRST_S, False
                self.take(cursor, commands)
                self.known_until = self.asked_at  # not before: until here they were read, but known to nobody
                continue
            except (TimeoutError, StreamClosedError, OSError) as fault:
                why = type(fault).__name__
            except (http.UnreadableError, CommandFormatError) as fault:
                why = str(fault)
            except Exception as fault:
                why = f"{type(fault).__name__}: {fault}"
            self.close()
            self.fails = not self.moved.is_set()
            if not self.moved.is_set():
                self.say("command channel", why=why, again_s=round(pause, 2))
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.moved.wait(), pause * (0.5 + 0.5 * random.random()))
            pause = FIRST_S if self.moved.is_set() else min(LONGEST_S, 2 * pause)

    async def ask(self):
        if self.stream is None or self.stream.closed():
            self.stream = Stream(
                socket.socket(socket.AF_INET, socket.SOCK_STREAM), max_buffer_size=2 * http.MAX_BODY_BYTES
            )
            self.stream.set_nodelay(True)
            await self.stream.connect(self.address)
        stream, answer = self.stream, http.ResponseParser()
        block_s = 0.0 if self.is_behind() else self.block_s
        self.asked_at = self.now()
        self.waits_until = self.asked_at + block_s
        await stream.write(http.encode_poll("%s:%d" % self.address, self.cursor, int(block_s * 1000)))
        while True:
            self.received = stream.read_bytes(65536, partial=True)
            try:
                done = answer.feed(await self.received)
            except StreamClosedError:
                done = answer.end()
            if done is not None:
                self.waits_until = None
                return done

    def is_behind(self):
        """Whether the loop has stood still since the last poll that was answered: events may have come after that answer."""
        stall = self.watch and self.watch.last
        return stall is not None and stall.ended_at > self.known_until

    def is_current(self):
        """Whether all events are known that came while the loop stood still, as far as the channel can tell."""
        if not self.is_behind() or self.fails:
            return True
        return self.is_waiting() and not self.has_unread()

    def is_waiting(self):
        """Whether a poll is out that the channel answers only with an event: its time to wait is not over."""
        return self.waits_until is not None and self.now() < self.waits_until

    def has_unread(self):
        """Whether something of the channel lies unread, by a look a moment ago at most."""
        now = self.now()
        if self.waits_until is None or now - self.empty_at <= KNOWN_FOR_S:
            return False
        has_read = self.received is not None and self.received.done()
        if has_read or unread(self.stream.socket) is not Unread.NOTHING:
            return True
        self.empty_at = now
        return False

    def take(self, cursor, commands):
        for command in commands:
            self.post(command)
        self.cursor = max(self.cursor, cursor)

    def close(self):
        self.waits_until = self.received = None
        if self.stream is not None:
            self.stream.close()
            self.stream = None
