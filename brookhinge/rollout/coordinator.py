"""The stages of one rollout. No I/O, no clock; chance is the plan's seed.

    coordinator.round(now, inbox, writer)
    inbox      ("report", router, version, state, process, crashes, totals, epoch, able), ("refused", router, epoch),
               ("asked", word) with word pause, resume, back or abort
    writer.record(**what)                     durable before any command of the same round goes out
    writer.command(router, version, sure, serial)     what a router should run, under this coordinator's epoch; sure: judged,
                                              it stays; serial rises: a late command does not undo a later one
    writer.say(event, **values)

What should be is derived from the records alone, so a coordinator that is killed at any moment and started again on its journal
goes on from where it stood: commands are what should be, and may be said again at any time. A higher epoch ends this one.
Phases of a stage: before (the difference of the groups as they are), change (one router after another), warm, judge. Ends: done
(all run the new one), back (all run the old one), left (stopped where it stands), superseded."""

import random

from brookhinge.rollout.judge import BETTER, NO_WORSE, WORSE, Judge

RUNNING, PAUSED = "running", "paused"
SILENT_S = 6.0  # a router that was not heard of for so long is not judged, nor is anything changed meanwhile
RATE = 1.0  # commands are said again so often while what is does not agree with what should be


class Router:
    """What was last heard of one router."""

    __slots__ = ("version", "state", "process", "crashes", "totals", "heard_at", "window", "able")

    def __init__(self):
        self.version, self.state, self.process, self.crashes, self.totals = None, "down", None, 0, {}
        self.heard_at, self.window, self.able = -1e9, None, True


def stages_of(plan):
    """The routers of each stage, drawn by the plan's seed: places in turn, so that every stage is spread over them and none
    takes a whole place unless there is no other way; the last takes what is left."""
    chance, places = random.Random(plan.seed), {}
    for name, place in plan.routers:
        places.setdefault(place, []).append(name)
    for names in places.values():
        chance.shuffle(names)
    order, rows = [], [list(names) for _, names in sorted(places.items())]
    while any(rows):
        chance.shuffle(rows)
        order += [row.pop() for row in rows if row]
    stages, taken = [], 0
    for part in plan.stages:
        upto = len(order) if part >= 1.0 else max(taken + 1, min(len(order) - 1, round(part * len(order))))
        stages.append(order[taken:upto])
        taken = upto
    return [stage for stage in stages if stage]


class Coordinator:
    """plan: see plan.py; records: the journal's, in order; epoch: higher than any before."""

    def __init__(self, plan, records, epoch, now):
        self.plan, self.epoch, self.stages = plan, epoch, stages_of(plan)
        self.routers = {name: Router() for name, _ in plan.routers}
        self.places = dict(plan.routers)
        self.stage, self.phase, self.changed, self.sure, self.mode, self.end = (
            0,
            "before",
            [],
            [],
            RUNNING,
            None,
        )
        self.going_back, self.since, self.window_at, self.said_at, self.verdict = (
            False,
            now,
            now + plan.window_s,
            {},
            None,
        )
        self.serial = 0
        self.judge, self.readied_at = None, now
        for record in records:
            self.recall(record)
        if self.judge is None:
            self.begin(now)

    # what the records say

    def recall(self, record):
        """A record read again; the time of a phase begins anew, for what was measured is gone with the process."""
        what = record.get("what")
        if what == "stage":
            self.stage, self.phase, self.changed, self.going_back = record["stage"], "before", [], False
        elif what == "change":
            self.phase = "change"
            self.changed.append(record["router"])
        elif what == "passed":
            self.sure += self.stages[self.stage]
            self.changed, self.stage, self.phase = [], self.stage + 1, "before"
        elif what == "back":
            self.going_back = True
        elif what == "returned":
            for kept in (self.changed, self.sure):
                if record["router"] in kept:
                    kept.remove(record["router"])
        elif what == "mode":
            self.mode = record["mode"]
        elif what == "end":
            self.end = record["end"]

    def note(self, writer, **record):
        writer.record(**record)
        self.recall(record)

    def begin(self, now):
        """A stage's measuring begins. After a restart in the middle of a change there is no difference from before: only
        crashes and the bars of what comes can speak, and those of `before` are taken from the stage's own next windows."""
        self.judge = Judge(self.plan.figures, self.plan.alpha / len(self.stages))
        self.since = self.readied_at = now

    def group(self):
        return self.stages[self.stage] if self.stage < len(self.stages) else []

    def should(self, name):
        return self.plan.to if name in self.sure or name in self.changed else self.plan.old

    # rounds

    def next_at(self):
        return self.window_at

    def round(self, now, inbox, writer):
        for kind, *values in inbox:
            getattr(self, kind)(now, writer, *values)
        if self.end in ("superseded", "left"):
            return
        if now >= self.window_at:
            self.window_at = now + self.plan.window_s
            self.window()
        if self.end is None and self.going_back:
            self.return_one(now, writer)
        elif self.end is None and self.mode == RUNNING:
            self.step(now, writer)
        self.tell(now, writer)

    def report(self, now, writer, name, version, state, process, crashes, totals, epoch, able):
        router = self.routers.get(name)
        if router is None:
            return
        if epoch > self.epoch:
            return self.refused(now, writer, name, epoch)
        if crashes > router.crashes and router.process is not None and self.judge is not None:
            for _ in range(crashes - router.crashes):
                self.judge.crashed(name in self.changed)
            writer.say("crashed", router=name, version=version, times=crashes - router.crashes)
        router.version, router.state, router.process, router.crashes = version, state, process, crashes
        router.totals, router.heard_at, router.able = totals, now, able

    def refused(self, now, writer, name, epoch):
        if self.end != "superseded":
            self.end = "superseded"  # not recorded: the journal is the other's now
            writer.say("superseded", by=epoch, at=name)

    def asked(self, now, writer, word):
        if self.end is not None:
            return
        if word == "back" and not self.going_back:
            self.note(writer, what="back", why="asked")
        elif word == "abort":
            self.note(writer, what="end", end="left")
            writer.say("ended", how="left", new=len(self.sure) + len(self.changed))
        elif word in ("pause", "resume"):
            self.note(writer, what="mode", mode=PAUSED if word == "pause" else RUNNING)

    def window(self):
        """One window of figures of each router that ran through it as one process."""
        rows, group = [], set(self.group())
        for name, router in self.routers.items():
            before = router.window
            router.window = router.process, router.totals
            if before is None or before[0] != router.process or router.process is None:
                continue
            grew = {
                key: (told[0] - before[1][key][0], told[1] - before[1][key][1])
                for key, told in router.totals.items()
                if key in before[1]
            }
            rows.append(
                (self.places[name], name in group, {key: told for key, told in grew.items() if told[0] > 0})
            )
        if self.phase in ("before", "judge"):
            self.judge.window(self.phase == "before", rows)

    def silent(self, now):
        return [name for name, router in self.routers.items() if now - router.heard_at > SILENT_S]

    def step(self, now, writer):
        """On in the stage, as far as what is seen allows."""
        plan, group = self.plan, self.group()
        if not group:
            self.note(writer, what="end", end="done")
            return writer.say("ended", how="done", new=len(self.sure))
        if self.phase == "before":
            unable = [name for name in group if not self.routers[name].able]
            if unable and not self.silent(now):
                self.note(writer, what="mode", mode=PAUSED)  # the old one may have to come back
                return writer.say("paused", why=f"{unable[0]} lacks the old or the new program on its disk")
            if now - self.since >= plan.before_s and not self.silent(now) and self.settled():
                self.change(now, group[0], writer)
        elif self.phase == "change":
            last = self.routers[self.changed[-1]]
            if last.version == plan.to and last.state == "ready":
                left = [name for name in group if name not in self.changed]
                if left and not self.silent(now):
                    self.change(now, left[0], writer)
                elif not left:
                    self.phase, self.since = "warm", now
            elif (
                now - last.heard_at > plan.ready_s / 2.0
            ):  # nobody says what it does: its keeper is out of reach
                self.readied_at = now
            elif now - self.readied_at > plan.ready_s:
                self.back(writer, f"{self.changed[-1]} was not ready within {plan.ready_s:g} s")
        elif self.phase == "warm":
            if now - self.since >= plan.warm_s:
                self.phase, self.since = "judge", now
        self.weigh(now, writer)

    def settled(self):
        """Whether all is as it should be: nothing is changed on top of what is still changing."""
        return all(
            router.version == self.should(name) and router.state == "ready"
            for name, router in self.routers.items()
        )

    def change(self, now, name, writer):
        self.note(writer, what="change", router=name)
        self.readied_at = now
        writer.say("change", router=name, to=self.plan.to)

    def weigh(self, now, writer):
        """The verdict so far; worse ends the stage at any time from its first changed router on."""
        if self.going_back or not self.changed:
            return
        self.verdict = verdict = self.judge.verdict()
        if verdict.word == WORSE:
            return self.back(
                writer, f"{verdict.figure} {verdict.value:+.4g} ({verdict.low:+.4g} to {verdict.high:+.4g})"
            )
        if self.phase != "judge" or now - self.since < self.plan.least_s or self.silent(now):
            return
        if verdict.word in (BETTER, NO_WORSE):
            self.passed(now, verdict, writer)
        elif now - self.since >= self.plan.most_s:
            if self.plan.untold == "go":
                self.passed(now, verdict, writer)
            elif self.plan.untold == "back":
                self.back(writer, "can't tell within the time of a stage")
            else:
                self.note(writer, what="mode", mode=PAUSED)
                writer.say("paused", why="can't tell within the time of a stage", figure=verdict.figure)
                self.since = now

    def passed(self, now, verdict, writer):
        writer.say(
            "passed",
            stage=self.stage + 1,
            of=len(self.stages),
            verdict=verdict.word,
            figure=verdict.figure,
            value=round(verdict.value, 5),
            low=round(verdict.low, 5),
            high=round(verdict.high, 5),
        )
        self.note(writer, what="passed", stage=self.stage, verdict=verdict.word)
        self.begin(now)

    def back(self, writer, why):
        self.note(writer, what="back", why=why, stage=self.stage)
        writer.say("back", why=why, stage=self.stage + 1)

    def return_one(self, now, writer):
        """The old one again, router by router, the latest changed first; nothing is judged any more."""
        if now - self.since < 0.0 or not all(
            router.version == self.should(name) and router.state == "ready"
            for name, router in self.routers.items()
            if now - router.heard_at <= SILENT_S and name not in self.changed + self.sure
        ):
            return
        left = self.changed or self.sure
        if left:
            self.note(writer, what="returned", router=left[-1])
        elif all(router.version == self.plan.old for router in self.routers.values()):
            self.note(writer, what="end", end="back")
            writer.say("ended", how="back", new=0)

    def tell(self, now, writer):
        """Commands to all that are not as they should be, and now and then to all: a keeper that hears nothing for long
        takes what was not judged back by itself."""
        for name, router in self.routers.items():
            agrees = router.version == self.should(name) and now - router.heard_at <= SILENT_S
            if now - self.said_at.get(name, -1e9) >= (RATE if not agrees else 2.0 * RATE):
                self.said_at[name] = now
                self.serial += 1
                writer.command(name, self.should(name), name not in self.changed, self.serial)

    def status(self):
        """(phase, stage, of how many, routers on the new one, verdict) for people."""
        phase = self.end or (
            "going back" if self.going_back else self.phase if self.mode == RUNNING else PAUSED
        )
        return (
            phase,
            min(self.stage + 1, len(self.stages)),
            len(self.stages),
            len(self.sure) + len(self.changed),
            self.verdict,
        )
