"""Connections to cache servers, parents and the origin: effects to bytes, bytes to events. Decides nothing."""

import asyncio
import collections
import math
import socket
from typing import NamedTuple

from tornado.iostream import StreamClosedError

from brookhinge.decisions.rules import UNREAD, CloseReason, HeldBack
from brookhinge.engine.events import AttemptEnded
from brookhinge.net import cachewire
from brookhinge.net.stream import Stream
from brookhinge.net.timeouts import within

PIECE = 64 * 1024
BUFFER = 4 * 1024 * 1024
CONNECTIONS = 8  # to one server at most, as far as the share of descriptors reaches
ECHO = b"echo"  # no query's id: those are hex digits
SPENT = 200  # ids that a connection must not carry again, after which it takes no more at all
HOLD_S = 0.25  # an attempt that is held back so long, what was to be read having been read meanwhile, is decided anew
LOOK_AGAIN_S = 0.002  # between two looks at an attempt that is held back until something has been read
LOOKS = 3  # sweeps at least between an ECHO and the end of a connection: our own lag is not silence


class Decided(NamedTuple):
    """An attempt that was decided and is not written yet. Times are seconds of the caller's clock."""

    query: int
    push: int
    server: tuple  # id, address, start
    name: bytes
    until: float  # when its answer is wanted no more
    since: float  # when it came here
    fetch: cachewire.Fetch

    @classmethod
    def of(cls, effect, now):
        """The attempt that a SendAttempt asks for."""
        return cls(
            query=effect.request_id,
            push=effect.attempt,
            server=effect.server,
            name=effect.client_request_id,
            until=effect.deadline,
            since=now,
            fetch=cachewire.Fetch(
                request_class=effect.class_name,
                object_key=effect.object_key,
                part=effect.part,
                source=effect.fill_from,
                rank=effect.retention,
                max_age_s=effect.max_age_s,
                joins_fill=effect.joins_fill,
                cached_only=effect.cached_only,
                revalidate=effect.revalidates,
                known_version=effect.known_version,
                body=effect.body,
                skips_cache=effect.skips_cache,
                idempotency_key=effect.idempotency_key,
            ),
        )

    def wire(self, now):
        return cachewire.encode_pull(self.name, self.fetch, self.until - now)


class Line:
    """One connection: what is out on it, and the ids that it must not carry again."""

    def __init__(self, server, stream, now):
        self.server, self.stream, self.up, self.closed, self.retired = server, stream, False, False, False
        self.used_at, self.heard_at, self.asked_at = now, now, None
        self.out, self.spent, self.waiting, self.answers, self.looks = (
            {},
            set(),
            {},
            cachewire.AnswerSplitter(),
            0,
        )
        self.killed, self.stuck_at = (
            set(),
            None,
        )  # ids given up whose answer may still come; since when it is stuck

    def load(self):
        return len(self.out) + len(self.waiting)

    def stuck(self):
        """Part of an answer has come that no push waits for: what follows it would wait for its rest."""
        head = self.answers.head
        return head[0] not in self.out if head is not None else bool(self.answers.buffered) and not self.out


class Caches:
    """post(event) takes the events; say(event, ...) is the log."""

    def __init__(
        self,
        post,
        say,
        now,
        start,
        columns,
        connect_s,
        idle_s,
        multiplex,
        sockets,
        late_s=math.inf,
        held_back=lambda decided: None,
        trace=None,
        watch=None,
    ):
        """late_s: a push that waited longer for its connection is not written but ends as unsent, to be decided anew: what
        was known when it was decided, drains, purges and what is cold, may hold no more. held_back(decided): why one may
        not be written now (a HeldBack), or None; trace(step, **values): takes each step of each connection, or None; watch:
        the LoopWatch of the loop, or None."""
        self.held_back, self.trace, self.watch = held_back, trace, watch
        self.closes, self.holds = collections.Counter(), collections.Counter()  # by reason
        self.post, self.say, self.now, self.start, self.columns = post, say, now, start, columns
        self.connect_s, self.idle_s, self.multiplex, self.sockets = (
            connect_s,
            idle_s,
            max(1, multiplex),
            sockets,
        )
        self.lines, self.where, self.all, self.late_s = {}, {}, set(), late_s

    # effects

    def pull(self, effect):
        """Writes a push, on a connection that has not carried its id before, or opens one for it."""
        line = self.choose(effect.server, effect.client_request_id)
        if line is None:  # no descriptor left for one more: nothing was sent
            return self.end(effect.request_id, effect.attempt, "unreachable")
        self.put(line, Decided.of(effect, self.now()))

    def stale(self, effect):
        """A push that comes long after its decision is decided anew: what was known then may hold no more."""
        self.end(effect.request_id, effect.attempt, "unsent")
        return True

    def failed(self, effect):
        """A push that could not be written is over."""
        self.end(effect.request_id, effect.attempt, "broken")

    def put(self, line, decided, most_s=None):
        """Writes a push, if nothing forbids it at this moment. Between the decision and this line the process may have
        stood still: what clients and the command channel sent meanwhile counts. most_s: how long it may have waited."""
        self.where[decided.query, decided.push] = line, decided.name
        line.used_at = now = self.now()
        if not line.up:
            line.waiting[decided.name] = decided
            return
        is_late = now - decided.since > (self.late_s if most_s is None else most_s)
        reason = HeldBack.LATE if is_late else self.held_back(decided)
        if reason is None:
            self.write_push(line, decided, now)
        elif reason in UNREAD:
            self.note_hold(decided, reason)
            line.waiting[decided.name] = decided
            asyncio.get_running_loop().call_later(LOOK_AGAIN_S, self.look_again, line, decided.name)
        else:
            self.take_back(decided, reason)

    def write_push(self, line, decided, now):
        """Nothing stands between the last look and the system call but what sending takes: the trace comes after it."""
        line.out[decided.name] = decided.query, decided.push, now
        self.write(line, decided.wire(now))
        if self.trace is not None:
            self.trace("attempt written", decided.name.decode(), server=line.server[0], attempt=decided.push)

    def look_again(self, line, name):
        """What was unread has been read meanwhile, or its time is over."""
        decided = line.waiting.pop(name, None)
        if decided is not None:  # else it was given up, or went to another connection
            self.put(line, decided, HOLD_S)
            self.settle(line)

    def take_back(self, decided, reason):
        """Nothing was sent: it is decided anew, if it is still wanted."""
        self.note_hold(decided, reason)
        del self.where[decided.query, decided.push]
        self.end(decided.query, decided.push, "unsent")

    def note_hold(self, decided, reason):
        self.holds[reason] += 1
        if self.trace is not None:
            self.trace("attempt held back", decided.name.decode(), attempt=decided.push, reason=reason)

    def kill(self, effect):
        """Gives a push up. Its id is not used again on its connection: an answer may be under way and must not
        pass for that of a later push. A connection with an ECHO still to be answered then is suspect."""
        line, name = self.where.pop((effect.request_id, effect.attempt), (None, None))
        if line is None:
            return
        if line.waiting.pop(name, None) is None:
            del line.out[name]
            line.retired |= line.asked_at is not None
            line.killed.add(name)
            self.spend(line, name)
            self.write(line, cachewire.encode_kill(name))
            if line.stream.writing():  # it may not arrive: closing gives it up for sure
                self.close(line, CloseReason.UNSENT)
        self.settle(line)

    def retire(self, effect):
        """The server is gone or another process now: its connections take nothing new."""
        for line in self.lines.pop(effect.server, []):
            line.retired = True
            self.settle(line)

    def spend(self, line, name):
        line.spent.add(name)
        line.retired |= len(line.spent) >= SPENT

    def settle(self, line):
        if line.retired and not line.load():
            self.close(line, CloseReason.RETIRED)

    # connections

    def choose(self, server, name):
        """The connection that carries least; one is opened ahead where none is left idle, so that answers which
        take long don't hold up the rest and a connect is seldom waited for."""
        lines = self.lines.setdefault(server, [])
        usable = [n for n in lines if self.takes(n, name)]
        if not usable and len(self.all) >= self.sockets:
            self.make_room()
        if (
            sum(not n.load() for n in usable) < 2
            and len(lines) < CONNECTIONS
            and len(self.all) < self.sockets
        ):
            fresh = self.connect(server)
            usable += [fresh] if fresh else []
        return min(usable, key=lambda n: (n.load(), not n.up), default=None)

    def make_room(self):
        """A server without any connection must get one: where most are, the longest idle is closed."""
        idle = [n for n in self.all if n.up and not n.load()]
        if idle:
            most = max(idle, key=lambda n: (len(self.lines.get(n.server, ())), -n.used_at))
            self.close(most, CloseReason.ROOM)

    def takes(self, line, name):
        return (
            not (line.closed or line.retired or line.stream.closed())
            and line.load() < self.multiplex
            and name not in line.out
            and name not in line.spent
            and name not in line.waiting
            and not line.stuck()
            and not line.stream.writing()  # what is written behind it could come after a drain or a purge
        )

    def connect(self, server):
        try:
            made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as fault:  # no descriptor
            return self.say("cache connection", server=server[0], why=f"{fault.strerror}")
        line = Line(
            server,
            Stream(made, max_buffer_size=BUFFER, read_chunk_size=PIECE, max_write_buffer_size=BUFFER),
            self.now(),
        )
        line.stream.set_nodelay(True)
        self.lines[server].append(line)
        self.all.add(line)
        asyncio.ensure_future(self.run(line))
        return line

    async def run(self, line):
        """From the connect to the end of one connection."""
        why, reason = None, CloseReason.PEER
        try:
            await within(line.stream.connect(line.server[1]), self.connect_s, self.watch)
            line.up, line.heard_at = True, self.now()
            waiting, line.waiting = line.waiting, {}
            for decided in waiting.values():
                self.put(line, decided)
            while True:
                data = await line.stream.read_bytes(PIECE, partial=True)
                came = line.heard_at = self.now()
                for answer in line.answers.feed(data):
                    self.answered(line, came, *answer)
        except (StreamClosedError, OSError):
            pass
        except TimeoutError:
            why = "no connection in time"
        except cachewire.UnreadableError as fault:
            why, reason = f"unreadable: {fault}", CloseReason.UNREADABLE
        except Exception as fault:
            why, reason = f"{type(fault).__name__}: {fault}", CloseReason.FAILED
        finally:
            if why:
                self.say("cache connection", server=line.server[0], why=why)
            self.close(line, reason if line.up else CloseReason.NO_CONNECTION)

    def write(self, line, wire):
        try:
            line.stream.write(wire)
        except Exception:  # closed, or its buffer is full: what is out on it is broken
            self.close(line, CloseReason.FAILED)

    def answered(self, line, came, name, word, fields, body):
        if name == ECHO:
            line.asked_at = None
            return
        if name in line.killed:  # it crossed the KILL
            return line.killed.remove(name)
        if (
            name not in line.out
        ):  # a second answer or of an id that nobody asked for: it is not to be trusted further
            line.retired = True
            return self.settle(line)
        answer = cachewire.read_result(word, fields, self.columns)
        line.used_at = came
        query, push, _ = line.out.pop(name)
        if answer.result != "satisfied":  # a further push may follow, and a second copy of this answer
            self.spend(line, name)
        del self.where[query, push]
        self.post(
            AttemptEnded(
                request_id=query,
                attempt=push,
                result=answer.result,
                note=answer.note,
                source_wait_s=answer.source_wait_s,
                load_report=answer.load_report,
                body=body,
                is_unchanged=word == cachewire.UNCHANGED,
                received_at=came,
                dated_at=None if answer.dated_at is None else answer.dated_at - self.start,
                version=answer.version,
                purge_group=answer.purge_group,
            )
        )
        self.settle(line)

    def close(self, line, reason):
        """What was out on it is broken. What was never written goes to another connection that is up; without
        one the refusal proves that nothing ran."""
        if line.closed:
            return
        line.closed = True
        self.closes[reason] += 1
        if self.trace is not None:
            broken = [name.decode() for name in line.out]
            self.trace("server closed", server=line.server[0], reason=reason, broken=broken)
        line.stream.close()
        self.all.discard(line)
        if line in self.lines.get(line.server, ()):
            self.lines[line.server].remove(line)
        for query, push, _ in line.out.values():
            del self.where[query, push]
            self.end(query, push, "broken")
        peers = self.lines.get(line.server, ())
        for decided in line.waiting.values():
            other = next((n for n in peers if n.up and self.takes(n, decided.name)), None)
            if other is None:
                del self.where[decided.query, decided.push]
                self.end(decided.query, decided.push, "unreachable")
            else:
                self.put(other, decided)
        line.out, line.waiting = {}, {}

    def end(self, query, push, result):
        self.post(AttemptEnded(query, push, result, 0, 0.0, None, b"", False, self.now()))

    def sweep(self):
        """Closes what was idle for a good part of the time after which the servers would, and what is silent.

        A machine that vanished leaves its connections open, and so does noise that nothing readable follows: where
        something is out and nothing was heard for half the time that a connect may take, an ECHO asks whether the
        connection works; it has as long again. An answer that stops short has that time to go on, one that nobody waits
        for has it to end."""
        now, most = self.now(), self.connect_s / 2
        for line in [n for n in self.all if n.up and not n.closed]:
            line.stuck_at = (line.stuck_at or now) if line.stuck() else None
            if line.stuck_at is not None and now - line.stuck_at > most:
                self.say("cache connection", server=line.server[0], why="an answer without end")
                self.close(line, CloseReason.SLOW)
                continue
            since = next(iter(line.out.values()))[2] if line.out else now  # the push that waits longest
            quiet = now - max(line.heard_at, line.asked_at or since)
            if not line.out:
                line.asked_at = None
                if now - line.used_at > 0.6 * self.idle_s:
                    self.close(line, CloseReason.IDLE)
            elif quiet <= most:
                line.looks = 0
            elif line.asked_at is None and not line.answers.buffered:
                line.asked_at, line.looks = now, 0
                self.write(line, cachewire.encode_echo(ECHO))
            elif line.looks < LOOKS:
                line.looks += 1
            else:
                self.say("cache connection", server=line.server[0], why="silent")
                self.close(line, CloseReason.SILENT)

    def end_all(self):
        for line in list(self.all):
            self.close(line, CloseReason.STOPPING)
