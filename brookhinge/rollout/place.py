"""One place's routers as they should be and as they are. No I/O, no clock: processes come and go by events, what is to be done
goes to the writer.

    place.round(now, inbox, writer)
    inbox    ("told", router, version, epoch, sure, serial), ("ready", router, process), ("exited", router, process, code)
    writer.start(router, version) -> process      a number of this keeper's own, never used again
    writer.drain(process), writer.end(process)    SIGTERM; SIGKILL after its time
    writer.in_place(router, old, new) -> whether a running process can take the new version over as it runs: only settings
                                      differ that it reads again; writer.reread(process, version) has it do so
    writer.record(**what)                         durable before anything of the same round is done
    writer.say(event, **values)

A router has one process that serves; another one only while it takes over: the new one accepts on the same socket, and once it
is ready the old one drains. Whoever crashes is started again, ever later; one that crashes over and over is said to loop. What a
coordinator has not judged (`sure` is false) goes back by itself to what ran before, if no word comes for `alone_s`."""

FIRST_S, LONGEST_S, CALM_S = (
    0.2,
    10.0,
    20.0,
)  # pauses before a start again; after so long without a crash it is the first
READY_S = 30.0  # a process that is not ready by then is ended, and counts as crashed
LOOPS = 4  # crashes in a row that are a loop


class Slot:
    """One router."""

    def __init__(self, version):
        self.wanted, self.sure_version, self.sure, self.heard_at = version, version, True, None
        self.process, self.version, self.ready = None, None, False  # the one that serves, or is to
        self.taking, self.taking_version, self.taking_at = None, None, None
        self.draining, self.last = set(), (0, 0)  # the last word that counted: its epoch and serial
        self.crashes, self.row, self.again_at, self.started_at = 0, 0, 0.0, 0.0


class Place:
    """names: its routers; version: what they run at first; records: what was written down before, in order."""

    def __init__(self, names, version, records, alone_s):
        self.slots, self.epoch, self.alone_s = {name: Slot(version) for name in names}, 0, alone_s
        for record in records:
            self.recall(record)

    def recall(self, record):
        if record["what"] == "epoch":
            self.epoch = record["epoch"]
        elif record["router"] in self.slots:
            slot = self.slots[record["router"]]
            slot.wanted, slot.sure = record["version"], record["sure"]
            if slot.sure:
                slot.sure_version = slot.wanted

    def note(self, writer, **record):
        writer.record(**record)
        self.recall(record)

    def adopt(self, name, process, version, ready):
        """A process that outlived its keeper."""
        slot = self.slots[name]
        slot.process, slot.version, slot.ready = process, version, ready

    def round(self, now, inbox, writer):
        for kind, *values in inbox:
            getattr(self, kind)(now, writer, *values)
        for name, slot in self.slots.items():
            self.keep(now, name, slot, writer)

    def told(self, now, writer, name, version, epoch, sure, serial):
        """A coordinator's word. One of an older epoch, or overtaken by a later one, does not count."""
        slot = self.slots.get(name)
        if slot is None or epoch < self.epoch or (epoch, serial) <= slot.last:
            return
        slot.last = epoch, serial
        if epoch > self.epoch:
            self.note(writer, what="epoch", epoch=epoch)
        slot.heard_at = now
        if (version, sure) != (slot.wanted, slot.sure):
            self.note(writer, what="router", router=name, version=version, sure=sure)

    def ready(self, now, writer, name, process):
        slot = self.slots[name]
        if process == slot.taking:
            old = slot.process
            slot.process, slot.version, slot.ready = process, slot.taking_version, True
            slot.taking, slot.started_at = None, now
            if old is not None:
                slot.draining.add(old)
                writer.drain(old)
            writer.say("took over", router=name, version=slot.version)
        elif process == slot.process:
            slot.ready, slot.started_at = True, now

    def exited(self, now, writer, name, process, code):
        slot = self.slots[name]
        if process in slot.draining:
            slot.draining.discard(process)
            return
        if process not in (slot.process, slot.taking):
            return
        if now - slot.started_at > CALM_S:
            slot.row = 0
        slot.crashes, slot.row = slot.crashes + 1, slot.row + 1
        slot.again_at = now + min(LONGEST_S, FIRST_S * 2 ** (slot.row - 1))
        writer.say(
            "crash loop" if slot.row >= LOOPS else "crashed",
            router=name,
            code=code,
            times=slot.row,
            version=slot.taking_version if process == slot.taking else slot.version,
        )
        if process == slot.taking:
            slot.taking = None
        else:
            slot.process, slot.version, slot.ready = None, None, False

    def keep(self, now, name, slot, writer):
        if not slot.sure and slot.heard_at is not None and now - slot.heard_at > self.alone_s:
            self.note(writer, what="router", router=name, version=slot.sure_version, sure=True)
            writer.say("alone", router=name, back_to=slot.wanted)
        if slot.heard_at is None:  # this keeper has just begun: it waits as long for a word as it would else
            slot.heard_at = now
        if slot.taking is not None:
            late = now - slot.taking_at > READY_S
            if late or slot.taking_version != slot.wanted:
                writer.end(slot.taking)
                if late:
                    return self.exited(now, writer, name, slot.taking, "not ready")
                slot.draining.add(slot.taking)
                slot.taking = None
            return
        if now < slot.again_at or slot.draining:
            return
        if slot.ready and slot.version != slot.wanted and writer.in_place(name, slot.version, slot.wanted):
            writer.reread(slot.process, slot.wanted)
            slot.version = slot.wanted
            writer.say("settings", router=name, version=slot.version)
        elif slot.process is None or slot.version != slot.wanted:
            slot.taking, slot.taking_version, slot.taking_at = (
                writer.start(name, slot.wanted),
                slot.wanted,
                now,
            )
            if slot.process is None:
                slot.started_at = now

    def next_at(self):
        times = [
            slot.again_at for slot in self.slots.values() if slot.process is None and slot.taking is None
        ]
        times += [slot.taking_at + READY_S for slot in self.slots.values() if slot.taking is not None]
        times += [
            slot.heard_at + self.alone_s
            for slot in self.slots.values()
            if not slot.sure and slot.heard_at is not None
        ]
        return min(times, default=None)

    def state(self, name):
        """(version, state, process, crashes) as a report says it."""
        slot = self.slots[name]
        state = (
            "down"
            if slot.process is None
            else "ready"
            if slot.ready and slot.taking is None and not slot.draining
            else "changing"
            if slot.taking is not None or slot.draining
            else "starting"
        )
        return slot.version, state, slot.process, slot.crashes
