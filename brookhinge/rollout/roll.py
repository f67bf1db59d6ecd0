"""Joins a coordinator to its keepers, its journal and whoever asks: `brookhinge roll start PLAN`. Decides nothing."""

import asyncio
import contextlib
import json
import os
import secrets
import time

from brookhinge.rollout.coordinator import Coordinator
from brookhinge.rollout.journal import FORM, Damaged, Journal
from brookhinge.rollout.link import Link, Unreadable

AGAIN_S, TURN_S, STATUS_S = 0.5, 0.2, 0.5


class Roll:
    """plan: of plan.py; path: the journal's; say(event, **values). `await run()` is back with how it ended, or None if
    stop() came before an end. Beside the journal stands a file with its status, and one in which a word may be put."""

    def __init__(self, plan, path, say, now=time.time):
        self.plan, self.path, self.say, self.clock = plan, os.fspath(path), say, now
        self.links, self.events, self.noted, self.commands, self.stopped = {}, [], [], [], asyncio.Event()

    async def run(self):
        self.journal = Journal(self.path)
        try:
            records = self.journal.records
            if not records:
                self.journal.write(
                    {"form": FORM, "what": "form", "plan": self.plan.digest, "name": self.plan.name}
                )
            elif records[0]["plan"] != self.plan.digest:
                raise Damaged("it is of another plan: the plan's file has changed since")
            # rises over all starts on this journal also if the wall clock is set back, and over other journals else
            epoch = max(
                [round(self.clock() * 1000), *(r["epoch"] + 1 for r in records if r["what"] == "epoch")]
            )
            self.journal.write({"what": "epoch", "epoch": epoch})
            self.core = Coordinator(self.plan, self.journal.records, epoch, time.monotonic())
            self.say(
                "rolling", plan=self.plan.name, epoch=epoch, stages=[len(stage) for stage in self.core.stages]
            )
            tasks = [asyncio.ensure_future(self.keep_up(keeper)) for keeper in self.plan.keepers.values()]
            try:
                await self.turns()
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            return self.core.end
        finally:
            self.journal.close()

    def stop(self):
        self.stopped.set()

    async def turns(self):
        """A round each so often, until the end has been told to all keepers."""
        told_at, last = 0.0, None
        while not self.stopped.is_set():
            now, events, self.events = time.monotonic(), self.events, []
            word = self.word()
            if word:
                events.append(("asked", word))
            self.noted, self.commands = [], []
            self.core.round(now, events, self)
            if self.noted:
                self.journal.write(*self.noted)  # a disk that fails ends this coordinator before it acts
            for what in self.commands:
                self.send(*what)
            if now - told_at >= STATUS_S:
                told_at = now
                self.tell_status()
            if self.core.end is not None:
                last = last or now
                if now - last > 3.0 * AGAIN_S:
                    break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.stopped.wait(), TURN_S)
        self.tell_status()

    def word(self):
        """What somebody asks for, once."""
        try:
            with open(self.path + ".word", encoding="ascii") as file:
                word = file.read().strip()
            os.unlink(self.path + ".word")
            return word
        except (OSError, UnicodeDecodeError):
            return None

    def tell_status(self):
        phase, stage, stages, new, verdict = self.core.status()
        told = {
            "plan": self.plan.name,
            "epoch": self.core.epoch,
            "phase": phase,
            "stage": stage,
            "stages": stages,
            "new": new,
            "routers": len(self.core.routers),
            "at": round(self.clock(), 1),
            "pid": os.getpid(),
            "verdict": verdict
            and {
                key: value if isinstance(value, str) or abs(value) < 1e300 else None
                for key, value in verdict._asdict().items()
            },
            "members": [
                {
                    "router": name,
                    "version": r.version,
                    "state": r.state,
                    "crashes": r.crashes,
                    "should": self.core.should(name),
                }
                for name, r in self.core.routers.items()
            ],
        }
        with contextlib.suppress(OSError):
            with open(self.path + ".status.new", "w", encoding="utf-8") as file:
                json.dump(told, file)
            os.replace(self.path + ".status.new", self.path + ".status")

    # the coordinator's writer

    def record(self, **what):
        self.noted.append(what)

    def command(self, *what):
        self.commands.append(what)

    # keepers

    def send(self, name, version, sure, serial):
        writer = self.links.get(self.core.places[name])
        if writer is not None and writer.link.theirs is not None:
            with contextlib.suppress(ConnectionError):
                writer.write(
                    writer.link.write(
                        "should",
                        router=name,
                        version=version,
                        sure=sure,
                        epoch=self.core.epoch,
                        serial=serial,
                        plan=self.plan.digest,
                    )
                )

    async def keep_up(self, keeper):
        """A connection to one keeper, again and again."""
        while True:
            writer = None
            try:
                reader, writer = await asyncio.open_connection(*keeper.listen)
                writer.link = Link(self.plan.key, secrets.token_hex(8))
                writer.write(writer.link.hello())
                self.links[keeper.name] = writer
                while data := await reader.read(65536):
                    for told in writer.link.feed(data):
                        self.heard(keeper, told)
            except (OSError, Unreadable) as fault:
                if isinstance(fault, Unreadable):
                    self.say("link", keeper=keeper.name, why=str(fault))
            finally:
                self.links.pop(keeper.name, None)
                if writer is not None:
                    writer.transport.abort()
            await asyncio.sleep(AGAIN_S)

    def heard(self, keeper, told):
        if told["kind"] == "report" and told["router"] in keeper.routers:
            self.events.append(
                (
                    "report",
                    *(
                        told[key]
                        for key in (
                            "router",
                            "version",
                            "state",
                            "process",
                            "crashes",
                            "totals",
                            "epoch",
                            "able",
                        )
                    ),
                )
            )
        elif told["kind"] == "refused":
            self.events.append(("refused", told["router"], told["epoch"]))
        elif told["kind"] == "other plan":
            self.say("other plan", keeper=keeper.name, theirs=told.get("mine"))


def ask(path, word):
    """Leaves a word for the coordinator that runs on this journal, or the next one."""
    with open(path + ".word.new", "w", encoding="ascii") as file:
        file.write(word)
    os.replace(path + ".word.new", path + ".word")


def status(path):
    """What the coordinator last said of itself; None if it never did."""
    try:
        with open(path + ".status", encoding="utf-8") as file:
            return json.load(file)
    except (OSError, ValueError):
        return None
