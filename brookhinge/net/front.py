"""Clients' connections: bytes to events, effects to bytes. Decides nothing."""
import asyncio
import errno
import re
import socket

from tornado.iostream import IOStream, StreamClosedError

from brookhinge.net import thrift

PIECE = 64 * 1024
HEX = re.compile(rb"[0-9a-f]{16}").fullmatch
WORD = re.compile(rb"[\w.:-]{1,80}").fullmatch
DIGITS = re.compile(rb"[0-9]{1,9}").fullmatch
AMOUNT = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?").fullmatch
FIELDS = ((b"service", WORD), (b"ref", HEX), (b"allow", DIGITS), (b"lookup", HEX), (b"piece", DIGITS))
MAYBE = ((b"lot", DIGITS), (b"room", AMOUNT), (b"ver", WORD))


class Client:
    """One connection of a client: how many bytes it has not read yet, and how many of a frame have come."""

    def __init__(self, number, stream):
        self.number, self.stream, self.unread, self.partial = number, stream, 0, 0
        self.may_read = asyncio.Event()


class Front:
    """post(method, values) takes the events; well() tells whether the router takes queries."""

    def __init__(self, post, say, well, now, sockets, held):
        self.post, self.say, self.well, self.now = post, say, well, now
        self.sockets, self.most_held, self.paused = sockets, held, False
        self.clients, self.serial, self.unread, self.partial, self.listener = {}, 0, 0, 0, None

    # accepting

    def listen(self, host, port):
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, port))
        self.listener.listen(1024)
        self.listener.setblocking(False)
        asyncio.get_running_loop().add_reader(self.listener, self.accept)
        return self.listener.getsockname()

    def accept(self):
        """Takes what has come; without descriptors it looks again in a moment, it never ends."""
        for _ in range(64):
            if self.listener is None:
                return
            if len(self.clients) >= self.sockets:
                return self.pause("clients hold their share of descriptors")
            try:
                made, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as fault:
                if fault.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    return self.pause(f"no descriptor: {fault.strerror}")
                continue            # that connection ended before it was taken
            stream = IOStream(made, max_buffer_size=2 * thrift.LONGEST, read_chunk_size=PIECE)
            self.paused = False
            self.serial += 1
            client = self.clients[self.serial] = Client(self.serial, stream)
            asyncio.ensure_future(self.run(client))

    def pause(self, why):
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.listener)
        if not self.paused:         # once, not at each look
            self.say("not accepting", why=why)
        self.paused = True
        loop.call_later(0.05, lambda: self.listener and loop.add_reader(self.listener, self.accept))

    def stop(self):
        """Accepts no more; what has come up before is still taken."""
        if self.listener is not None:
            self.accept()
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    # reading

    async def run(self, client):
        stream, frames, why = client.stream, thrift.Frames(), None
        try:
            stream.set_nodelay(True)
            while True:
                data = await stream.read_bytes(PIECE, partial=True)
                came = self.now()
                for frame in frames.feed(data):
                    self.call(client, frame, came)
                self.partial += len(frames.held) - client.partial
                client.partial = len(frames.held)
                self.keep_bound()
                if client.unread > thrift.LONGEST:      # reads nothing: no more is taken of it meanwhile
                    client.may_read.clear()
                    await client.may_read.wait()
        except (StreamClosedError, OSError):
            pass
        except thrift.Unreadable as fault:
            why = f"unreadable: {fault}"
        except Exception as fault:
            why = f"{type(fault).__name__}: {fault}"
        finally:
            if why:
                self.say("client connection", why=why)
            self.drop(client)

    def call(self, client, frame, came):
        reader = thrift.Reader(frame)
        method, kind, number = thrift.read_head(reader)
        try:
            if kind not in (thrift.CALL, thrift.ONEWAY):
                raise thrift.Unusable(thrift.WRONG_KIND, "expected a call")
            if method == b"serve":
                args = thrift.read_args(reader, {1: thrift.MAP, 2: thrift.STRING})
                values = self.query(args.get(1) or {}, args.get(2, b""))
                self.post("query", (client.number, number, *values, came))
            elif method == b"forget":
                args = thrift.read_args(reader, {1: thrift.I32})
                self.post("forgotten", (client.number, args.get(1)))
            elif method == b"isWell":
                thrift.read_args(reader, {})
                self.write(client, thrift.answer(method, number, b"", {}, self.well()))
            else:
                raise thrift.Unusable(thrift.UNKNOWN_METHOD, f"no method {method[:80].decode('latin-1')}")
        except thrift.Unusable as fault:
            if kind != thrift.ONEWAY:
                self.write(client, thrift.exception(method, number, fault.code, str(fault)))

    @staticmethod
    def query(fields, body):
        """The values of a query event; what the decisions need is taken out, the rest stays bytes."""
        for name, form in FIELDS:
            if not form(fields.get(name, b"")):
                raise thrift.Unusable(thrift.PROTOCOL, f"{name.decode()}: missing or unusable")
        for name, form in MAYBE:
            if name in fields and not form(fields[name]):
                raise thrift.Unusable(thrift.PROTOCOL, f"{name.decode()}: unusable")
        get = fields.get
        return (get(b"ref"), get(b"service"), get(b"lookup"), get(b"piece"), int(get(b"piece")),
                int(get(b"lot", 0)), float(get(b"room", 0.0)), int(get(b"allow")) / 1000.0, get(b"ver"), body)

    # effects

    def satisfy(self, client, number, body, same):
        self.reply(client, thrift.answer(b"serve", number, body, {b"unchanged": b"1"} if same else {}, True))

    def nack(self, client, number, retry_after_s):
        fields = {b"cooldown": b"%d" % int(retry_after_s * 1000)} if retry_after_s > 0 else {}
        self.reply(client, thrift.thrown(number, 1, fields))

    def error(self, client, number):
        self.reply(client, thrift.thrown(number, 2, {}))

    def reject(self, client, number, why):
        self.reply(client, thrift.exception(b"serve", number, thrift.PROTOCOL, why))

    def reply(self, client, wire):
        if client in self.clients:
            self.write(self.clients[client], wire)

    def write(self, client, wire):
        """Never waits. Past the bound on all bytes held for clients the one with most of them is given up."""
        try:
            flushed = client.stream.write(wire)
        except StreamClosedError:
            return
        if flushed.done():
            return
        client.unread += len(wire)
        self.unread += len(wire)
        flushed.add_done_callback(lambda done: self.read(client, len(wire), done))
        self.keep_bound()

    def keep_bound(self):
        if self.unread + self.partial > self.most_held:
            worst = max(self.clients.values(), key=lambda c: c.unread + c.partial)
            self.say("client connection", why=f"{worst.unread} bytes not read, {worst.partial} of a frame held")
            self.drop(worst)

    def read(self, client, size, done):
        done.cancelled() or done.exception()
        client.unread -= size
        self.unread -= size
        if client.unread <= thrift.LONGEST:
            client.may_read.set()

    def drop(self, client):
        client.stream.close()
        client.may_read.set()
        if self.clients.pop(client.number, None) is not None:
            self.partial -= client.partial
            self.post("client_gone", (client.number,))

    def end_all(self):
        for client in list(self.clients.values()):
            self.drop(client)
