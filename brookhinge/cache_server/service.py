"""A cache box as one object: lines in front, the store behind, fills over connections to other servers."""

import asyncio
import time

from brookhinge.cache_server import cache_policy as j
from brookhinge.cache_server import protocol
from brookhinge.cache_server.command_channel import Orders
from brookhinge.cache_server.line_server import LineServer
from brookhinge.decisions import rules
from brookhinge.engine.effects import CancelAttempt, RetireServer, SendAttempt
from brookhinge.engine.endpoints import ServerInstance
from brookhinge.engine.events import EndpointsListed, ObjectsPurged
from brookhinge.net.upstream_connections import UpstreamConnections
from brookhinge.startup import UpstreamSettings
from brookhinge.store import Copy, DiskTier, DiskTimings, Store
from brookhinge.store.copies import UNKNOWN_GROUP
from brookhinge.store.files import Files
from brookhinge.store.purge_ledger import Purge, PurgeKind

MB = 1024 * 1024
SOCKETS, MULTIPLEX = 256, 64
FIGURES_S, SWEEP_S = 10.0, 0.05
UNSURE_S = 60.0  # at most, after a clock was set back, stamps of before pass for later ones
BOUND_MARGIN_S = 0.001  # what was asked to be younger than a purge is not taken for as old as it
STEP_S = 0.25  # of a clock set back: less is the clock being kept in time


class Fill:
    """One fill under way: who waits for it, and the bound it was asked with."""

    __slots__ = ("key", "bound_s", "began", "done", "held", "keep", "rank", "origin", "purged", "doubtful")

    def __init__(self, key, bound_s, began, done, held, keep, rank, origin):
        self.key, self.bound_s, self.began, self.done, self.held = key, bound_s, began, done, held
        self.keep, self.rank, self.origin, self.purged = keep, rank, origin, float("-inf")
        self.doubtful = False  # a purge by a clock that was set came meanwhile: stamps don't tell what it hit


class Box:
    """stand: a Stand of the operator's file; files: a file layer in place of the folder named there."""

    def __init__(
        self, stand, say=lambda event, **values: None, files=None, now=time.time, steady=time.monotonic
    ):
        self.stand, self.say, self.clock, self.start_at, self.steady = stand, say, now, now(), steady
        self.tracks = {name.encode(): j.Track(*ages) for name, ages in stand.tracks.items()}
        self.kinds, self.reports = (stand.parent_kind, stand.origin_kind), stand.reports
        self.steady_start, self.unsure_until = steady(), 0.0
        self.apart = now() - steady()  # of the two clocks: it falls when the one that people set steps back
        tier = stand.store
        disk = (
            DiskTier(files or Files(tier.dir), tier.disk_mb * MB, tier.segment_mb * MB, log_event=say)
            if tier.dir or files
            else None
        )
        self.store = Store(
            int(tier.memory_mb * MB),
            disk,
            log_event=say,
            timings=DiskTimings(tier.stall_s, tier.sync_s, tier.snapshot_s),
            now=steady,
        )
        self.lines = LineServer(self.serve, say, self.now, stand.idle_s)
        self.caches = UpstreamConnections(
            post=self.ended,
            log=say,
            now=self.now,
            started_at=self.start_at,
            settings=UpstreamSettings(stand.connect_s, stand.idle_s, MULTIPLEX),
            max_connections=SOCKETS,
        )
        self.orders = Orders(self.told, say, stand.channel, self.start_at, self.safe, self.missed, self.heard)
        self.servers, self.origin, self.role = {}, None, "cache"
        self.fills, self.joinable, self.serial = {}, {}, 0
        self.pending = {}  # numbers of purges that are not durable yet, in the order in which they came
        self.told_at = None  # since when nothing that was told can have been missed
        self.counts = dict.fromkeys(
            (
                "queries",
                "hit",
                "stale",
                "filled",
                "via_origin",
                "joined",
                "absent",
                "full",
                "failed",
                "unchanged",
                "renewed",
                "sent_bytes",
                "filled_bytes",
                "purges",
                "gaps",
            ),
            0,
        )
        self.tasks, self.lately = [], 0.5

    def now(self):
        """Seconds since the start, by a clock that nobody sets. Ages of copies are told by `clock`, as their dates are."""
        return self.steady() - self.steady_start

    # life

    async def start(self):
        """Listens and begins to open the store; (host, port)."""
        await self.store.start()
        if self.store.opened is not None:
            self.store.opened.add_done_callback(lambda _: self.store.limit_purge_dates(self.clock()))
        address = self.lines.listen(*self.stand.listen)
        self.tasks = [asyncio.ensure_future(part()) for part in (self.orders.run, self.sweep, self.figures)]
        self.say("listening", address="%s:%d" % address)
        return address

    async def stop(self):
        """Drains: no new connections; what is open has its time; the store gets a last picture."""
        self.lines.stop()
        end = time.monotonic() + self.stand.drain_s
        while self.lines.open() and time.monotonic() < end:
            await asyncio.sleep(0.01)
        self.lines.end()
        for task in self.tasks:
            task.cancel()
        self.orders.close()
        self.caches.close_all()
        await self.store.close()
        self.say("ended")

    async def sweep(self):
        while True:
            await asyncio.sleep(SWEEP_S)
            self.watch_clock()
            self.caches.sweep()
            for fill, number in [(f, n) for n, f in self.fills.items()]:
                if self.now() - fill.began > self.stand.fill_s:
                    self.caches.cancel_attempt(CancelAttempt(number, 1))
                    self.finish(number, "timeout", 0, b"", False, None, None, None)

    def watch_clock(self):
        """Ages are told by the clock that people set. Where it steps back, everything kept would look younger than it
        is: it is aside until its source says that it is unchanged."""
        apart = self.clock() - self.steady()
        if apart < self.apart - STEP_S:
            self.say("clock stepped back", by_s=round(self.apart - apart, 3))
            self.unsure_until = self.now() + min(self.apart - apart, UNSURE_S)
            self.store.require_revalidation()
            self.store.limit_purge_dates(self.clock())
        self.apart = apart

    async def figures(self):
        while True:
            await asyncio.sleep(FIGURES_S)
            self.say(
                "figures",
                **self.counts,
                **self.store.stats(),
                open=self.lines.open(),
                fills=len(self.fills),
            )

    # the command channel

    def told(self, event):
        if isinstance(event, EndpointsListed):
            self.listed(event)
        elif isinstance(event, ObjectsPurged):
            by_object = PurgeKind.OBJECT, event.object_key.encode()
            kind, name = by_object if event.object_key else (PurgeKind.GROUP, event.purge_group)
            self.purge(event.number, kind, name, event.purged_at)
        else:
            self.say("command skipped", cursor=event.number, why=event.reason)

    def listed(self, event):
        if event.is_complete:
            self.servers = {}
        for server, address, _, kind, _, health, _, born in event.endpoints:
            old = self.servers.get(server)
            if old and (old[0], old[2]) != (address, born):
                self.caches.retire_server(RetireServer(ServerInstance(server, old[0], old[2])))
            if health == "gone":
                self.servers.pop(server, None)
            else:
                self.servers[server] = address, health, born, kind
        parent, origin = self.kinds
        self.origin = next(
            (
                s
                for s, (_, health, _, kind) in sorted(self.servers.items())
                if kind == origin and health == j.UP
            ),
            None,
        )
        mine = self.servers.get(self.stand.name)
        self.role = "parent" if mine and mine[3] == parent else "cache"

    def purge(self, number, kind, name, moment):
        when = moment + self.start_at
        if kind == PurgeKind.GROUP and not 0 <= name <= 255 or kind == PurgeKind.OBJECT and len(name) > 255:
            return self.say("command skipped", why=f"a purge of {name!r:.80}")
        self.counts["purges"] += 1
        # what the channel tells first happened before, by stamps alone; all else just now
        told_s = rules.event_time(self.now(), moment) if self.orders.met else moment
        for fill in self.fills.values():  # what is on its way may be from before
            if kind == PurgeKind.GROUP or fill.key[0] == name:
                fill.purged = max(fill.purged, when)
                fill.doubtful |= told_s != moment  # by the stamps it could not be told from what comes after
        when = min(when, self.clock()) if told_s == moment else self.clock()
        done = self.store.purge(Purge(kind, name, when))
        if not done.done():
            self.pending[number] = done
            done.add_done_callback(lambda _: self.pending.get(number) is done and self.pending.pop(number))

    def safe(self, number):
        """The highest number up to that one of which every purge is durable, or the disk that it was for is off."""
        return min(number, min(self.pending, default=number + 1) - 1)

    def heard(self):
        if self.told_at is None:
            self.told_at = self.now()

    def missed(self, why):
        self.counts["gaps"] += 1
        self.say("channel gap", why=why)
        self.told_at = None
        self.servers = {}
        self.pending.clear()  # their numbers are of an earlier count
        self.store.require_revalidation()

    # queries

    async def serve(self, peer, name, raw, body):
        """One PULL from its fields to its answer."""
        pull = protocol.read_pull(raw)
        self.counts["queries"] += 1
        came, key = self.now(), (pull.object, pull.part)
        track = self.tracks.get(pull.sort, j.Track())
        found = await self.store.get(pull.object, pull.part, pull.patience_s)
        if found is not None and not rules.stamp_is_plausible(self.clock(), found.dated):
            found = found._replace(
                needs_revalidation=True, dated=0.0
            )  # from before a clock was set back: of unknown age
        if (
            self.told_at is None and found is not None
        ):  # what was purged before we were told anything is not known
            found = found._replace(needs_revalidation=True)
        age = None if found is None else max(0.0, self.clock() - found.dated)
        fill = self.joinable.get(key)
        bound = self.bound(pull, track, found)
        verdict, note = j.judge(
            pull,
            track,
            age,
            found is not None and found.needs_revalidation,
            self.state(pull.source),
            fill is not None and (not bound or fill.bound_s and fill.bound_s <= bound),
            len(self.fills),
            self.stand.fills,
        )
        if verdict == j.RENEW:
            self.counts["renewed"] += 1
            self.fill(pull, found, bound=track.fresh_s)
            verdict = j.SERVE
        if verdict == j.SERVE:
            return self.good(name, pull, found, note, 0.0)
        if verdict in (j.ABSENT, j.FULL):
            return self.bad(name, verdict, note)
        if verdict == j.FILL:
            fill = self.fill(pull, found, bound)
        result, got, source_note = await asyncio.shield(fill.done)
        if result == "satisfied" and self.store.purges.is_purged(pull.object, got.group, got.dated):
            result = "errored"  # it was purged while it was under way
        word, filled = j.after_fill(
            result,
            source_note,
            fill.origin,
            got is not None and fill.held is not None and got.body is fill.held.body,
        )
        if word != "data":
            return self.bad(name, word, filled)
        return self.good(name, pull, got, "joined" if verdict == j.JOIN else filled, self.now() - came)

    def state(self, source):
        known = self.servers.get(source)
        return known[1] if known else None

    def bound(self, pull, track, found):
        purges = self.store.purges  # the group of an object is known by a copy of it alone
        purged = (
            purges.objects.get(pull.object, float("-inf"))
            if found is None
            else purges.purged_at(pull.object, found.group)
        )
        now = self.now()
        since_purge = max(0.001, self.clock() - purged) if purged > float("-inf") else None
        since_told = None if self.told_at is None else max(0.001, now - self.told_at)
        return j.bound_of(
            pull, track, since_purge, since_told, found is not None and found.needs_revalidation
        )

    def good(self, name, pull, found, note, waited):
        self.counts[note] += 1
        self.lately += 0.05 * ((note in ("hit", "stale")) - self.lately)
        fields = [
            (b"n", note.encode()),
            (b"digest", found.tag or b"-"),
            (b"dated", b"%d" % round(found.dated * 1000)),
        ]
        if found.group != UNKNOWN_GROUP:
            fields.append((b"lot", b"%d" % found.group))
        if waited:
            fields.append((b"first", b"%d" % (waited * 1000)))
        self.report(fields)
        if pull.got and pull.got == found.tag:
            self.counts["unchanged"] += 1
            return protocol.answer(name, b"unchanged", fields)
        self.counts["sent_bytes"] += len(found.body)
        return protocol.answer(name, b"data", fields, found.body)

    def bad(self, name, word, note):
        self.counts[word] += 1
        fields = [(b"n", note.encode())] if note else []
        self.report(fields)
        return protocol.answer(name, word.encode(), fields)

    def report(self, fields):
        if self.reports:
            told = {
                "util": len(self.fills) / self.stand.fills,
                "inflight": self.lines.open(),
                "x0": self.lately,
                "queue": self.store.waiting_reads(),
                "x1": len(self.fills),
            }
            fields.append((b"l", b";".join(b"%b:%.3g" % (r.encode(), told.get(r, 0)) for r in self.reports)))

    # fills

    def fill(self, pull, held, bound):
        """Begins a fill from the source that the query names; with the tag of the copy held, which a source that has
        the same answers in a few bytes. It runs on when its query leaves: others may want it."""
        self.serial += 1
        number, source = self.serial, pull.source
        address, _, born, kind = self.servers[source]
        origin = kind == self.kinds[1]
        keep = not (pull.skip and self.role == "parent")
        fill = Fill(
            (pull.object, pull.part),
            bound,
            self.now(),
            asyncio.get_running_loop().create_future(),
            held,
            keep,
            pull.rank,
            origin,
        )
        self.fills[number] = fill
        self.joinable[fill.key] = fill
        beyond = "" if origin or pull.local or source == self.origin else self.origin
        tag = held.tag if held is not None and held.tag else None
        self.caches.send_attempt(
            SendAttempt(
                request_id=number,
                attempt=1,
                server=ServerInstance(source, address, born),
                client_request_id=b"%016x" % number,
                class_name=pull.sort,
                object_key=pull.object,
                part=b"%d" % pull.part,
                deadline=self.caches.now() + min(pull.patience_s, self.stand.fill_s),
                fill_from=beyond,
                retention=pull.rank,
                max_age_s=bound,
                joins_fill=pull.merge,
                cached_only=pull.local,
                revalidates=False,
                known_version=tag,
                body=b"",
                skips_cache=pull.skip,
            )
        )
        return fill

    def ended(self, event):
        """What a source answered, or what became of the connection to it."""
        if event.request_id in self.fills:
            self.finish(
                event.request_id,
                event.result,
                event.note,
                event.body,
                event.is_unchanged,
                event.dated_at,
                event.version,
                event.purge_group,
            )

    def finish(self, number, result, note, body, same, dated, tag, lot):
        fill = self.fills.pop(number)
        if self.joinable.get(fill.key) is fill:
            del self.joinable[fill.key]
        got, when = None, None if dated is None else dated + self.start_at
        if result == "satisfied":
            got = self.unchanged(fill, when) if same else self.brought(fill, body, when, tag, lot)
            if got is None:
                result = "errored"
        if not fill.done.done():
            fill.done.set_result((result, got, note))

    def unchanged(self, fill, when):
        """The copy held is the source's: renewed, unless a purge has hit what the source gave out."""
        if fill.held is None or when is None or when <= fill.purged or fill.doubtful:
            return None
        when = self.date_of(fill, when)
        return self.store.mark_revalidated(*fill.key, fill.held, max(when, fill.held.dated))

    def date_of(self, fill, when):
        """The moment from which a copy's age counts here. A stamp of the future is that of another setting of the clocks, and so
        may be any for a while after a step back: the copy is then as old as it may be, from the origin as the fill, from others
        as the fill allowed, which may be any age."""
        now = self.clock()
        if when is None:
            return now
        if rules.stamp_is_plausible(now, when) and (fill.origin or self.now() >= self.unsure_until):
            return when
        if fill.origin:
            return now - (self.now() - fill.began)
        return now - fill.bound_s + BOUND_MARGIN_S if fill.bound_s else 0.0

    def brought(self, fill, body, when, tag, lot):
        """New bytes from the source; kept unless the query said otherwise."""
        self.counts["filled_bytes"] += len(body)
        if fill.doubtful:
            return None
        group = int(lot) if lot and lot.isdigit() and int(lot) <= 255 else UNKNOWN_GROUP
        copy = Copy(
            *fill.key,
            b"" if tag in (None, b"-") else tag,
            self.date_of(fill, when),
            group,
            fill.rank,
            len(body),
            body,
        )
        if (
            when is not None
            and when <= fill.purged
            and self.store.purges.is_purged(copy.object, group, copy.dated)
        ):
            return None
        if body and fill.keep:
            self.store.put(copy)
        return copy.as_read_result()
