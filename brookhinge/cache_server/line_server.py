"""Connections of routers and boxes to a server of lines: bytes to commands, answers to bytes. Decides nothing."""

import asyncio

from tornado.iostream import StreamClosedError

from brookhinge.cache_server import protocol
from brookhinge.net.cachewire import UnreadableError
from brookhinge.net.listener import Listener
from brookhinge.net.stream import Stream

PIECE = 64 * 1024
MOST_UNREAD = 8 * 1024 * 1024  # past it a peer that does not read is not read from
MOST_OPEN = 512  # queries on one connection
SWEEP_S = 0.2


class Peer:
    """One connection and what is open on it."""

    def __init__(self, stream, now):
        self.stream, self.used_at, self.open = stream, now, {}
        self.may_read = asyncio.Event()
        self.may_read.set()
        self.unread = 0

    def write(self, data):
        try:
            flushed = self.stream.write(data)
        except StreamClosedError:
            return
        self.unread += len(data)
        if self.unread > MOST_UNREAD:
            self.may_read.clear()
        flushed.add_done_callback(lambda done: self.wrote(len(data), done))

    def wrote(self, size, done):
        done.cancelled() or done.exception()
        self.unread -= size
        if self.unread <= MOST_UNREAD // 2:
            self.may_read.set()


class LineServer:
    """serve(peer, name, raw fields, body): a coroutine that returns the answer's bytes; it is cancelled at a KILL and
    when its connection ends."""

    def __init__(self, serve, say, now, idle_s):
        self.serve, self.say, self.now, self.idle_s = serve, say, now, idle_s
        self.peers, self.sweeping = set(), None
        self.listener = Listener(self.accept, say)

    def listen(self, host, port):
        address = self.listener.listen(host, port)
        self.sweeping = asyncio.ensure_future(self.sweep())
        return address

    def accept(self, made, _):
        peer = Peer(Stream(made, read_chunk_size=PIECE), self.now())
        self.peers.add(peer)
        asyncio.ensure_future(self.read(peer))

    async def read(self, peer):
        commands = protocol.Commands()
        try:
            while True:
                await peer.may_read.wait()
                for command, name, *rest in commands.feed(await peer.stream.read_bytes(PIECE, partial=True)):
                    self.take(peer, command, name, rest)
        except (StreamClosedError, OSError):
            pass
        except UnreadableError as fault:
            self.say("peer", why=f"unreadable: {fault}")
        except Exception as fault:
            self.say("fault", where="peer", why=f"{type(fault).__name__}: {fault}")
        finally:
            self.close(peer)

    def take(self, peer, command, name, rest):
        peer.used_at = self.now()
        if command == "echo":
            peer.write(protocol.answer(name, b"well"))
        elif command == "kill":
            if name in peer.open:
                peer.open.pop(name).cancel()
        elif name in peer.open:
            raise UnreadableError(f"the id {name[:40]!r} that is open")
        elif len(peer.open) >= MOST_OPEN:
            peer.write(protocol.answer(name, b"full"))
        else:
            peer.open[name] = asyncio.ensure_future(self.run(peer, name, *rest))

    async def run(self, peer, name, raw, body):
        me = asyncio.current_task()
        try:
            data = await self.serve(peer, name, raw, body)
        except protocol.Unusable as fault:
            self.say("query", why=f"unusable: {fault}")
            data = protocol.answer(name, b"failed")
        except asyncio.CancelledError:
            return
        except Exception as fault:  # one query, not the box
            self.say("fault", where="query", why=f"{type(fault).__name__}: {fault}")
            data = protocol.answer(name, b"failed")
        if peer.open.get(name) is me:
            del peer.open[name]
            peer.used_at = self.now()
            peer.write(data)

    def close(self, peer):
        peer.stream.close()
        peer.may_read.set()
        self.peers.discard(peer)
        for task in peer.open.values():
            task.cancel()
        peer.open.clear()

    async def sweep(self):
        while True:
            await asyncio.sleep(SWEEP_S)
            for peer in [p for p in self.peers if not p.open and not p.unread]:
                if not 0 <= self.now() - peer.used_at <= self.idle_s:
                    self.close(peer)

    def open(self):
        return sum(len(peer.open) for peer in self.peers)

    def stop(self):
        """No new connections; what came before is still accepted."""
        self.listener.stop()

    def end(self):
        self.listener.close()
        if self.sweeping:
            self.sweeping.cancel()
        for peer in list(self.peers):
            self.close(peer)
