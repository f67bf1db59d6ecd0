"""Clients' connections: bytes to events, effects to bytes. Decides nothing."""

import asyncio
import collections
import heapq
import socket

from tornado.iostream import StreamClosedError

from brookhinge.decisions import rules
from brookhinge.decisions.rules import CloseReason, HeldBack
from brookhinge.engine.events import ClientConnected, ClientDisconnected, RequestCancelled, RequestReceived
from brookhinge.engine.invariants import Invariant
from brookhinge.net import client_protocol, stream, thrift
from brookhinge.net.listener import Listener
from brookhinge.net.receive_times import ReceiveTimes
from brookhinge.net.request_validation import validate_request
from brookhinge.net.stream import Stream

PIECE = 64 * 1024
FRAME_S = 2.2  # from the connect to the first query, and from a frame's first byte to its last
IDLE_S = 10.0  # a connection that has asked and has nothing open; usual clients close theirs before
SPARE = 16  # closed at once when the share of descriptors is reached
LINGER_S = (
    0.2  # a connection whose writing side is shut is read on for so long: a close over unread bytes resets it
)
LINGERING = 8  # of those at most where others need descriptors
REJECTS = 8  # calls on a connection that can't be taken, after which it is closed; and a pause after each:
REJECTED_S = 0.05  # who asks the same again at once waits for so long
FRESH_S = (
    0.03  # what a client sent since its connection was last read empty counts as not sent yet for so long
)
CANCELLED = 64  # numbers of cancelled queries remembered of a client: their answers may cross the cancel


class Client:
    """One connection of a client: how many bytes it has not read yet; the calls that have come and wait to be handed on,
    and how many bytes of them and of an unfinished frame are held."""

    def __init__(self, number, stream, now):
        self.number, self.stream, self.unread, self.held, self.coming = number, stream, 0, 0, None
        self.asked, self.used_at, self.part_at, self.rejects = False, now, None, 0
        self.broken = (
            None  # why nothing more is taken of it: what was taken before is answered, then it is closed
        )
        self.emptied_at = now  # all that came until then has been read
        self.owed = set()  # numbers of its queries that have no final answer yet
        self.accepted_from = None  # since when it may have waited to be accepted; None once it was seen empty
        self.cancelled = collections.deque(
            maxlen=CANCELLED
        )  # the last ones that it gave up before their answer
        self.calls, self.queued, self.waits, self.room, self.network = (
            collections.deque(),
            0,
            False,
            asyncio.Event(),
            None,
        )

    def idle(self):
        """Nothing of a call has come that is not handed on, nor is an answer on its way."""
        return not (self.unread or self.calls or self.coming is not None and self.coming.done())

    def silent(self):
        """Nothing lies unread in the system: a call that crosses a close would be lost."""
        return stream.unread(self.stream.socket) in (stream.Unread.NOTHING, stream.Unread.END)

    def has_unread(self):
        """Whether something of it has come, its end included, that was not taken: it may be a cancel."""
        has_read = self.coming is None or self.coming.done()
        return has_read or stream.unread(self.stream.socket) is not stream.Unread.NOTHING


class Front:
    """post(event) takes the events; well() tells whether the router takes queries, busy(client) whether
    one has queries open; watch: the LoopWatch of the loop; longest: of each kind of query the patience; violated(invariant, detail): counts a rule broken;
    trace(step, **values): takes each step of each connection, or None."""

    def __init__(
        self, post, say, well, busy, watch, longest, sockets, held, gate=None, violated=None, trace=None
    ):
        self.post, self.say, self.well, self.busy, self.now = post, say, well, busy, watch.now
        self.longest, self.sockets, self.most_held = longest, sockets, held
        self.clients, self.serial, self.unread, self.held = {}, 0, 0, 0
        self.violated, self.trace = violated or (lambda invariant, detail: None), trace
        self.closes = collections.Counter()  # by reason
        self.receive_times = ReceiveTimes(watch)
        self.leaving = {}  # connections whose writing side is shut
        self.gate = gate  # storm/gate.py, where it is on: how many to take, and whose
        pass_of = {} if gate is None else {"max_accepts": gate.in_a_pass}
        self.listener = Listener(self.open_client, say, self.has_room, **pass_of)
        self.listener.on_shortage, self.listener.on_empty = (
            self.receive_times.note_accept_failed,
            self.receive_times.note_backlog_empty,
        )

    # accepting

    def listen(self, host, port, handed=None):
        """handed: the descriptor of a socket that listens already, which outlives this process."""
        return self.listener.listen(host, port, handed)

    def has_room(self):
        return len(self.clients) < self.sockets or self.make_room()

    def open_client(self, made, address):
        """Begins to read a connection that was accepted."""
        network = None
        if self.gate is not None:
            network, kept = self.gate.came(self.now(), address)
            if not kept:
                return made.close()
        connection = Stream(made, max_buffer_size=2 * thrift.MAX_FRAME_BYTES, read_chunk_size=PIECE)
        self.serial += 1
        client = self.clients[self.serial] = Client(self.serial, connection, self.now())
        client.accepted_from = self.receive_times.waiting_since()
        if self.trace is not None:
            self.trace("client connected", client=client.number)
        if network is not None:
            client.network = network
            self.post(ClientConnected(client.number, address))
        asyncio.ensure_future(self.run(client))

    def make_room(self):
        """New clients must get in: those idle longest go, never one of which a call has come, whole or in part."""
        idle = [
            c for c in self.clients.values() if c.part_at is None and c.idle() and not self.busy(c.number)
        ]
        before = len(self.clients)
        for client in heapq.nsmallest(SPARE, idle, key=lambda c: c.used_at):
            self.release(client, CloseReason.ROOM)
        while len(self.leaving) > LINGERING:
            self.end_linger(next(iter(self.leaving.values())))
        return len(self.clients) < before

    def sweep(self):
        """Closes who brings no whole frame in time, and who has nothing open long past usual clients' own close."""
        now = self.now()
        for client in list(self.clients.values()):
            if client.part_at is not None:
                if now - client.part_at > FRAME_S and not client.has_unread():
                    self.end_slow(client)
            elif now - client.used_at > (IDLE_S if client.asked else FRAME_S):
                if client.idle() and not self.busy(client.number):
                    self.release(client, CloseReason.IDLE if client.asked else CloseReason.NO_CALL)
                elif client.broken and not self.busy(client.number):  # it does not read its last answers
                    self.drop(client, CloseReason.UNREAD)

    def end_slow(self, client):
        """Half a call and not its rest: no more is taken of the client, what came before is answered first."""
        client.part_at = None
        client.broken = client.broken or (CloseReason.SLOW, "half a call and not its rest")
        self.end_broken(client)

    def stop(self):
        """Accepts no more; what has come up before is still taken."""
        self.listener.stop()

    # reading

    async def run(self, client):
        frames, why = thrift.FrameSplitter(), None
        try:
            self.read_on(client)
            while True:
                data = await client.coming
                came = self.receive_times.received_at(client.emptied_at, client.accepted_from)
                self.read_on(client)
                # what stands behind is read first: the client's end there ends all, no call of it is taken
                while client.coming.done() and len(data) < thrift.MAX_FRAME_BYTES:
                    data += client.coming.result()
                    self.read_on(client)
                if client.number in self.clients and not client.broken:  # else nothing more is taken of it
                    calls = frames.feed(data)
                    client.calls.extend((frame, came) for frame in calls)
                    client.queued += sum(map(len, calls))
                    client.part_at = (not calls and client.part_at or came) if frames.buffered else None
                    self.hold(client, client.queued + len(frames.buffered))
                    if frames.error:
                        client.broken = CloseReason.UNREADABLE, f"unreadable: {frames.error}"
                    self.hand_on(client)
                    self.take_cancels(client)
                    self.keep_bound()
                    while (
                        client.queued > thrift.MAX_FRAME_BYTES
                    ):  # reads nothing: no more is taken of it meanwhile
                        client.room.clear()
                        await client.room.wait()
                # others' turn: what comes without a pause would else be read without one
                await asyncio.sleep(0)
        except (StreamClosedError, OSError):
            pass
        except Exception as fault:
            why = f"{type(fault).__name__}: {fault}"
        finally:
            client.coming = None  # its fault holds this frame, which holds the client
            if why:
                self.say("client connection", why=why)
            self.drop(client, CloseReason.FAILED if why else CloseReason.PEER)

    def read_on(self, client):
        """Begins the next read; where that finds nothing, all that came is read."""
        looked_at = self.now()
        client.coming = client.stream.read_bytes(PIECE, partial=True)
        if not client.coming.done():
            client.emptied_at, client.accepted_from = looked_at, None

    def held_back(self, client, number):
        """Why no attempt may be made now for a query, by what its client did (a HeldBack), or None."""
        client, now = self.clients.get(client), self.now()
        if client is None or number not in client.owed:
            return HeldBack.CLIENT_GONE
        if now - client.emptied_at <= FRESH_S:
            return None
        if client.has_unread():
            return HeldBack.CLIENT_UNREAD
        client.emptied_at = now
        return None

    def hold(self, client, size):
        self.held += size - client.held
        client.held = size

    def hand_on(self, client):
        """Hands calls on, but of a client that reads no answers or is made to wait; those still held go with it."""
        try:
            while (
                client.calls
                and client.unread <= thrift.MAX_FRAME_BYTES
                and not client.waits
                and client.number in self.clients
            ):
                frame, came = client.calls.popleft()
                client.queued -= len(frame)
                self.hold(client, client.held - len(frame))
                self.call(client, frame, came)
        except thrift.UnreadableError as fault:
            client.broken = CloseReason.UNREADABLE, f"unreadable: {fault}"
            client.calls.clear()
            client.queued = 0
            self.hold(client, 0)
        if client.queued <= thrift.MAX_FRAME_BYTES:
            client.room.set()
        self.end_broken(client)

    def take_cancels(self, client):
        """A cancel does not wait behind calls that have to: no attempt may begin for its query any more."""
        for entry in [entry for entry in client.calls if client_protocol.is_cancel(entry[0])]:
            number = client_protocol.cancelled_number(entry[0])
            if number is None:  # it cannot be read: that is found out in its turn
                continue
            waiting = [other for other in client.calls if client_protocol.serve_number(other[0]) == number]
            for done in (entry, *waiting):
                client.calls.remove(done)
                client.queued -= len(done[0])
                self.hold(client, client.held - len(done[0]))
            self.cancel(client, number)

    def cancel(self, client, number):
        """No answer is owed to that query any more."""
        if number in client.owed:
            client.owed.remove(number)
            client.cancelled.append(number)
        self.post(RequestCancelled(client.number, number))

    def end_broken(self, client):
        if client.broken and not client.calls and not client.unread and not self.busy(client.number):
            self.shut(client.number, client.broken[1], client.broken[0])

    def call(self, client, frame, came):
        try:
            call = client_protocol.read_call(frame)
        except client_protocol.CallError as error:
            return self.refuse(client, error.reply)
        if call.method == client_protocol.CANCEL:
            return self.cancel(client, call.arguments.get(client_protocol.CANCELLED_ARGUMENT))
        if call.method == client_protocol.SERVE:
            try:
                self.serve(client, call, came)
            except thrift.InvalidCallError as error:
                wire = client_protocol.invalid_call(call.method, call.sequence_number, error)
                return self.refuse(client, wire)
        else:
            self.write(client, client_protocol.health(call.sequence_number, is_well=self.well()))
        client.asked, client.used_at = True, came

    def serve(self, client, call, came):
        fields = call.arguments.get(client_protocol.FIELDS_ARGUMENT, {})
        body = call.arguments.get(client_protocol.BODY_ARGUMENT, b"")
        request = validate_request(fields, body, self.longest)
        client.owed.add(call.sequence_number)
        self.post(
            RequestReceived(
                client=client.number,
                number=call.sequence_number,
                client_request_id=request.request_id,
                class_name=request.request_class,
                object_key=request.object_key,
                part=request.part,
                part_number=request.part_number,
                purge_group=request.purge_group,
                size_kb=request.size_kb,
                timeout_s=request.timeout_s,
                known_version=request.known_version,
                body=request.body,
                received_at=came,
                idempotency_key=request.idempotency_key,
            )
        )

    # effects

    def satisfy(self, effect):
        wire = client_protocol.response(effect.number, effect.body, is_unchanged=effect.is_unchanged)
        self.reply(effect.client, effect.number, wire)

    def nack(self, effect):
        wire = client_protocol.rejection(effect.number, effect.retry_after_s)
        self.reply(effect.client, effect.number, wire)

    def error(self, effect):
        self.reply(effect.client, effect.number, client_protocol.failure(effect.number))

    def reject(self, effect):
        client = self.clients.get(effect.client)
        if client is not None:
            client.owed.discard(effect.number)
            self.refuse(client, client_protocol.invalid_request(effect.number, effect.reason))

    def close_client(self, effect):
        self.shut(effect.client, effect.reason)

    def refuse(self, client, wire):
        """A call that can't be taken; who goes on sending such is closed."""
        client.rejects += 1
        self.write(client, wire)
        if client.rejects >= REJECTS:
            self.shut(client.number, f"{REJECTS} calls that cannot be taken", CloseReason.BREACH)
        elif not client.waits:
            client.waits = True
            asyncio.get_running_loop().call_later(REJECTED_S, self.waited, client)

    def waited(self, client):
        client.waits = False
        self.hand_on(client)

    def shut(self, client, why, reason=CloseReason.BREACH):
        if client in self.clients:
            self.say("client connection", why=why)
            self.release(self.clients[client], reason, True)

    def failed(self, effect):
        """An answer that could not be written costs its client's connection."""
        if effect.client in self.clients:
            self.drop(self.clients[effect.client], CloseReason.FAILED)

    def reply(self, client, number, wire):
        """The final answer to a query, once."""
        if client in self.clients:
            client = self.clients[client]
            if number in client.cancelled:  # the two crossed
                return client.cancelled.remove(number)
            if number not in client.owed:
                return self.violated(Invariant.ONE_ANSWER, f"a second one under number {number}")
            client.owed.remove(number)
            client.used_at = self.now()
            self.write(client, wire)
            if client.broken:  # once the answers of this round are all written
                asyncio.get_running_loop().call_soon(self.end_broken, client)

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
        if self.unread + self.held > self.most_held:
            worst = max(self.clients.values(), key=lambda c: c.unread + c.held, default=None)
            if worst is not None:
                why = f"{worst.unread} bytes not read, {worst.held} of its calls held"
                self.shut(worst.number, why, CloseReason.MEMORY)

    def read(self, client, size, done):
        done.cancelled() or done.exception()
        client.unread -= size
        self.unread -= size
        self.hand_on(client)

    def leave(self, client, reason):
        """Nothing more is taken of it, and what waited of it is forgotten."""
        if self.clients.pop(client.number, None) is None:
            return
        self.count_close(client, reason)
        client.calls.clear()
        client.queued = 0
        self.hold(client, 0)
        client.room.set()
        if client.network is not None:
            self.gate.left(client.network)
        self.post(ClientDisconnected(client.number))

    def count_close(self, client, reason):
        self.closes[reason] += 1
        if self.trace is not None:
            self.trace("client closed", client=client.number, reason=reason, owed=len(client.owed))
        if not rules.may_close(reason, bool(client.owed), bool(client.calls)):
            detail = f"{reason}: {len(client.owed)} queries open, {len(client.calls)} calls read"
            self.violated(Invariant.CLOSE, detail)

    def drop(self, client, reason):
        self.end_linger(client)
        self.leave(client, reason)

    def end_linger(self, client):
        """Closes it at once; its writing side may have been shut before."""
        self.leaving.pop(client.number, None)
        client.stream.close()

    def release(self, client, reason, breach=False):
        """A close of ours: the writing side is shut and the rest read for a while, or answers still on their way would go
        with the reset. Not where a call lies unread, unless the client has broken the protocol."""
        if not (breach or client.silent()):
            return
        self.leave(client, reason)
        try:
            if client.unread:  # it reads nothing: its answers are given up
                raise OSError
            client.stream.socket.shutdown(socket.SHUT_WR)
        except (OSError, AttributeError):  # the system has closed it already
            return self.end_linger(client)
        self.leaving[client.number] = client
        asyncio.get_running_loop().call_later(LINGER_S, self.end_linger, client)

    async def end(self, until):
        """The last of it: what has come whole is answered, refused by now, then each connection is closed as by release."""
        while (self.clients or self.leaving) and self.now() < until:
            for client in list(self.clients.values()):
                if client.idle() and not self.busy(client.number):
                    self.release(client, CloseReason.STOPPING)
            await asyncio.sleep(0.005)
        for client in [*self.clients.values(), *self.leaving.values()]:
            self.drop(client, CloseReason.STOPPING)
