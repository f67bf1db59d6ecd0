"""Joins a place to processes, listening sockets and a link: `brookhinge keep PLAN --place NAME`. Decides nothing of versions.

A router's listening socket is the keeper's and is inherited by each of its processes, so nobody is refused while one takes over
from another. Processes write their logs to files in the keeper's folder and outlive it: a keeper that was killed and comes
back finds them by number and start, reads their logs on, and opens a socket of its own beside theirs when one is to be
replaced. It ends only what it started."""

import asyncio
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import sys
import time
from pathlib import Path

from brookhinge.rollout import plan as plans
from brookhinge.rollout.journal import FORM, Journal
from brookhinge.rollout.link import Link, Unreadable
from brookhinge.rollout.place import Place

REPORT_S, SCORES_S, LOOK_S = 0.5, 0.5, 0.1
READ_AGAIN = {
    "channel",
    "known",
}  # keys of a router's settings that SIGHUP changes in place; all else needs a restart
DRAIN_S = 8.0  # after SIGTERM; then SIGKILL
KEPT_LOGS = 6  # files of one router
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6
TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")


def stat_of(pid):
    """(start in ticks, seconds of processor time, MB in memory) of a process; None if there is none."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    if fields[0] in "ZX":
        return None
    return int(fields[19]), (int(fields[11]) + int(fields[12])) * TICK_S, int(fields[21]) * PAGE_MB


class Running:
    """One process of a router: where its log has been read to, and totals of what it did."""

    def __init__(self, name, number, version, pid, born, log):
        self.name, self.number, self.version, self.pid, self.born, self.log = (
            name,
            number,
            version,
            pid,
            born,
            log,
        )
        self.child, self.at, self.held, self.totals, self.ready, self.end_at = None, 0, b"", {}, False, None
        self.samples, self.before, self.own = 0, None, {}

    def lines(self):
        """Whole lines of the log since the last look."""
        with contextlib.suppress(OSError), open(self.log, "rb") as file:
            file.seek(self.at)
            data = self.held + file.read(1 << 20)
            self.at = file.tell()
            *whole, self.held = data.split(b"\n")
            for line in whole:
                with contextlib.suppress(ValueError):
                    told = json.loads(line)
                    if isinstance(told, dict):
                        yield told

    def sample(self, now, stat):
        """Growth of memory and processor time between two looks, as totals a second."""
        if self.before is not None and now > self.before[0]:
            elapsed = now - self.before[0]
            self.samples += 1
            for key, grew in (("growth_mb", stat[2] - self.before[2]), ("cpu", stat[1] - self.before[1])):
                queries, total = self.own.get(key, (0, 0.0))
                self.own[key] = queries + 1, total + grew / elapsed
        self.before = now, stat[1], stat[2]


class Keeper:
    """plan: of plan.py; name: of the keeper in it; say(event, **values) is the log."""

    def __init__(self, plan, name, say):
        self.plan, self.stand, self.say = plan, plan.keepers[name], say
        self.folder = Path(self.stand.dir)
        self.running, self.events, self.sockets, self.writers, self.unwanted = {}, [], {}, set(), set()
        self.number, self.ending, self.server, self.tasks = 0, False, None, []

    # life

    async def open(self):
        self.folder.mkdir(parents=True, exist_ok=True)
        self.journal = Journal(self.folder / f"{self.stand.name}.keep")
        if not self.journal.records:
            self.journal.write({"form": FORM, "what": "form", "keeper": self.stand.name})
        records = self.journal.records
        self.place = Place(
            self.stand.routers,
            self.plan.old,
            [r for r in records if r["what"] in ("epoch", "router")],
            self.plan.alone_s,
        )
        self.number = max([r["number"] for r in records if r["what"] == "process"], default=0)
        found = {
            record["number"]: record for record in records if record["what"] == "process"
        }  # the last word of each
        for record in found.values():
            if record["router"] in self.stand.routers:
                self.find(record)
        for name, address in self.stand.routers.items():
            if not any(one.name == name for one in self.running.values()):
                self.socket_of(name)  # an address that is not free is said now, not at the first start
        self.server = await asyncio.start_server(self.serve, *self.stand.listen)
        self.turn()
        self.tasks = [asyncio.ensure_future(part()) for part in (self.look, self.report)]
        self.say(
            "keeping",
            place=self.stand.name,
            routers=len(self.stand.routers),
            address="%s:%d" % self.server.sockets[0].getsockname()[:2],
        )

    def find(self, record):
        """A process that a keeper before this one started, if it lives."""
        stat = stat_of(record["pid"])
        if stat is None or stat[0] != record["born"]:
            return
        one = Running(
            record["router"],
            record["number"],
            record["version"],
            record["pid"],
            record["born"],
            self.folder / record["log"],
        )
        self.running[one.number] = one
        old = self.place.slots[one.name].process
        if old is not None:  # the younger one serves, the other one drains
            self.place.slots[one.name].draining.add(old)
            self.drain(old)
        self.place.adopt(one.name, one.number, one.version, False)
        self.say("found", router=one.name, pid=one.pid, version=one.version)

    async def stop(self):
        """Ends what it started, and itself."""
        self.ending = True
        for one in self.running.values():
            self.signal(one, signal.SIGTERM)
        end = time.monotonic() + DRAIN_S
        while self.running and time.monotonic() < end:
            await asyncio.sleep(LOOK_S)
        for one in list(self.running.values()):
            self.signal(one, signal.SIGKILL)
        await self.close()

    async def close(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for made in self.sockets.values():
            made.close()
        self.journal.close()

    # what the place wants done

    def turn(self):
        """One round; what it records is on the disk before anything of it is done."""
        if self.ending:
            return
        events, self.events, self.noted, self.doing = self.events, [], [], []
        self.place.round(time.monotonic(), events, self)
        try:
            if self.noted:
                self.journal.write(*self.noted)
        except OSError as fault:  # nothing of it is done; it is tried again with the next word
            self.say("disk", why=str(fault))
            return
        for work, *values in self.doing:
            work(*values)

    def record(self, **what):
        self.noted.append(what)

    def begin(self, name, version, number):
        why = (
            plans.lacks(self.plan.versions[version], [name])
            if version in self.plan.versions
            else f"no version {version}"
        )
        log = self.folder / f"{name}.{number}.log"
        if why is None:
            told = self.plan.versions[version]
            made = self.socket_of(name)
            settings = (
                self.folder / f"{name}.{number}.json"
            )  # its own: another version's is put there to be read again
            shutil.copyfile(told.config.format(router=name), settings)
            environ = {
                **os.environ,
                "BALANCER_CONFIG": str(settings),
                "BROOKHINGE_LISTENER": str(made.fileno()),
                "BROOKHINGE_SCORES_S": str(SCORES_S),
            }
            environ.pop("BROOKHINGE_FLEET", None)
            if told.fleet:
                environ["BROOKHINGE_FLEET"] = told.fleet.format(router=name)
            asyncio.ensure_future(self.spawn(name, version, number, told, log, environ, made))
        else:
            self.say("cannot start", router=name, why=why)
            self.events.append(("exited", name, number, why))

    async def spawn(self, name, version, number, told, log, environ, made):
        try:
            with open(log, "ab") as out:
                child = await asyncio.create_subprocess_exec(
                    told.python or sys.executable,
                    "-m",
                    "brookhinge",
                    cwd=told.tree,
                    env=environ,
                    stdout=out,
                    stderr=out,
                    stdin=asyncio.subprocess.DEVNULL,
                    pass_fds=(made.fileno(),),
                    start_new_session=True,
                )
        except OSError as fault:
            self.say("cannot start", router=name, why=str(fault))
            self.events.append(("exited", name, number, str(fault)))
            return
        stat = stat_of(child.pid)
        one = Running(name, number, version, child.pid, stat[0] if stat else 0, log)
        one.child = child
        with contextlib.suppress(
            OSError
        ):  # a keeper that comes back would not find it: said, and it serves on
            self.journal.write(
                {
                    "what": "process",
                    "router": name,
                    "number": number,
                    "version": version,
                    "pid": child.pid,
                    "born": one.born,
                    "log": log.name,
                }
            )
        self.running[number] = one
        if number in self.unwanted:
            self.end(number)
        for kind in ("log", "json"):
            for old in sorted(self.folder.glob(f"{name}.*.{kind}"), key=lambda p: p.stat().st_mtime)[
                :-KEPT_LOGS
            ]:
                old.unlink()

    def socket_of(self, name):
        if name not in self.sockets:
            made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            made.bind(self.stand.routers[name])
            made.listen(1024)
            made.setblocking(False)
            self.sockets[name] = made
        return self.sockets[name]

    # the place's writer

    def start(self, name, version):
        self.number += 1
        self.doing.append((self.begin, name, version, self.number))
        return self.number

    def in_place(self, name, old, new):
        """Whether two versions are one program, with settings that differ in nothing but what a router reads again."""
        one, other = (self.plan.versions[version] for version in (old, new))
        if one._replace(name="", config="") != other._replace(name="", config=""):
            return False
        try:
            texts = [
                json.loads(Path(version.config.format(router=name)).read_text()) for version in (one, other)
            ]
        except (OSError, ValueError):
            return False
        return (
            all(isinstance(text, dict) for text in texts)
            and texts[0] != texts[1]
            and {key: value for key, value in texts[0].items() if key not in READ_AGAIN}
            == {key: value for key, value in texts[1].items() if key not in READ_AGAIN}
        )

    def reread(self, number, version):
        self.doing.append((self.put, number, version))

    def put(self, number, version):
        """The file is replaced whole, then the process is told (SIGHUP)."""
        one = self.running[number]
        settings = self.folder / f"{one.name}.{number}.json"
        shutil.copyfile(self.plan.versions[version].config.format(router=one.name), f"{settings}.new")
        os.replace(f"{settings}.new", settings)
        one.version = version
        self.signal(one, signal.SIGHUP)
        with contextlib.suppress(OSError):
            self.journal.write(
                {
                    "what": "process",
                    "router": one.name,
                    "number": number,
                    "version": version,
                    "pid": one.pid,
                    "born": one.born,
                    "log": one.log.name,
                }
            )

    def drain(self, number):
        self.end(number, signal.SIGTERM)

    def end(self, number, how=signal.SIGKILL):
        one = self.running.get(number)
        if one is None:
            self.unwanted.add(number)
            return
        one.end_at = time.monotonic() + DRAIN_S
        self.signal(one, how)

    def signal(self, one, how):
        stat = stat_of(one.pid)
        if stat is not None and stat[0] == one.born:  # by number and start: never a stranger's
            with contextlib.suppress(ProcessLookupError):
                os.kill(one.pid, how)

    # looking

    async def look(self):
        """Logs, ends and samples of all processes."""
        sampled = 0.0
        while True:
            await asyncio.sleep(LOOK_S)
            now = time.monotonic()
            if take := now - sampled >= SCORES_S:
                sampled = now
            for number, one in list(self.running.items()):
                for line in one.lines():
                    if line.get("event") == "listening" and not one.ready:
                        one.ready = True
                        self.events.append(("ready", one.name, number))
                    elif line.get("event") == "scores":
                        one.totals = line["totals"]
                stat = stat_of(one.pid)
                code = one.child.returncode if one.child is not None else None
                if code is not None or stat is None or stat[0] != one.born:
                    del self.running[number]
                    self.events.append(("exited", one.name, number, code))
                    continue
                if take:
                    one.sample(now, stat)
                if one.end_at is not None and now > one.end_at:
                    self.signal(one, signal.SIGKILL)
            at = self.place.next_at()
            if self.events or at is not None and now >= at:
                self.turn()

    # the link

    async def serve(self, reader, writer):
        link = Link(self.plan.key, secrets.token_hex(8))
        self.writers.add(writer)
        writer.link = link
        try:
            writer.write(link.hello())
            while data := await reader.read(65536):
                for told in link.feed(data):
                    self.told(told, writer)
        except (ConnectionError, Unreadable) as fault:
            if isinstance(fault, Unreadable):
                self.say("link", why=str(fault))
        finally:
            self.writers.discard(writer)
            writer.close()

    def told(self, told, writer):
        if told.get("kind") != "should" or told.get("router") not in self.place.slots:
            return
        if told.get("plan") != self.plan.digest:
            writer.write(writer.link.write("other plan", mine=self.plan.digest))
            return
        if told["epoch"] < self.place.epoch:
            writer.write(writer.link.write("refused", router=told["router"], epoch=self.place.epoch))
            return
        self.events.append(
            ("told", told["router"], told["version"], told["epoch"], bool(told["sure"]), told["serial"])
        )
        self.turn()

    async def report(self):
        while True:
            await asyncio.sleep(REPORT_S)
            able = {
                name: all(
                    plans.lacks(self.plan.versions[version], [name]) is None
                    for version in (self.plan.old, self.plan.to)
                )
                for name in self.place.slots
            }
            for writer in list(self.writers):
                if writer.link.theirs is None:
                    continue
                for name in self.place.slots:
                    version, state, process, crashes = self.place.state(name)
                    one = self.running.get(process)
                    totals = {**one.totals, **one.own} if one else {}
                    writer.write(
                        writer.link.write(
                            "report",
                            router=name,
                            version=version,
                            state=state,
                            process=process,
                            crashes=crashes,
                            totals=totals,
                            epoch=self.place.epoch,
                            able=able[name],
                        )
                    )
