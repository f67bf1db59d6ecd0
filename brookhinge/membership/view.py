"""What one router knows of each router of its fleet, and which of two claims about a router holds. No I/O, no clock.

A claim is (name, uid, born, inc, state, host, port, zone, version, age):
    uid      a process: drawn at its start        born   its start by its own wall clock, ms: tells the older of two
    inc      raised by the process itself alone, over all it has received under its name: the newer claim about it wins
    age      seconds since it left or was lost; 0.0 else
Claims merge in any order and any number to the same view: the properties in tests/membership hold it to that."""

import zlib

import xxhash

ALIVE, SUSPECTED, LOST, LEFT = range(4)
STATES = ("alive", "suspected", "lost", "left")
BUCKETS = 64  # parts in which views are compared
SHIFTS = 49  # places in a digest of 64 bits from which 16 bits can be taken


class View:
    """Parallel arrays by place; a name has one place as long as it is remembered."""

    def __init__(self, remember_s):
        self.remember_s, self.index = remember_s, {}
        self.arrays = [[] for _ in range(10)]
        (
            self.names,
            self.uid,
            self.born,
            self.inc,
            self.state,
            self.address,
            self.zone,
            self.version,
            self.since,
            self.by,
        ) = self.arrays
        self.digests = [0] * BUCKETS
        self.ghosts = []  # (when its process was last believed alive, its zone): replaced under its name, no leave received

    def claim(self, i, now):
        gone = self.state[i] in (LOST, LEFT)
        return (
            self.names[i],
            self.uid[i],
            self.born[i],
            self.inc[i],
            self.state[i],
            *self.address[i],
            self.zone[i],
            self.version[i],
            max(0.0, now - self.since[i]) if gone else 0,
        )

    def holds(self, i, uid, inc, state):
        """Whether a claim under the name of place i goes before what is known: the higher incarnation, which only the
        process itself raises, and within one the worse news. Who has left raises it no more: leaving is for good."""
        return (inc, uid, state) > (self.inc[i], self.uid[i], self.state[i])

    def take(self, now, claim, by):
        """Merges a claim received from `by`; the name of the change, or None."""
        name, uid, born, inc, state, host, port, zone, version, age = claim
        if state in (LOST, LEFT) and age > self.remember_s:
            return None
        i = self.index.get(name)
        if i is None:
            i = self.index[name] = len(self.names)
            for array, value in zip(
                self.arrays, (name, uid, born, inc, state, (host, port), zone, version, now - age, by)
            ):
                array.append(value)
            self.mix(i)
            return "known as " + STATES[state] if state in (LOST, LEFT) else "joined"
        if not self.holds(i, uid, inc, state):
            return None
        old, other, moved = self.state[i], uid != self.uid[i], (host, port) != self.address[i]
        if other and old in (ALIVE, SUSPECTED):  # no leave was received: what it was lent may still be out
            self.ghosts.append((now, self.zone[i]))
        elif other and old == LOST:
            self.ghosts.append((self.since[i], self.zone[i]))
        self.mix(i)
        self.uid[i], self.born[i], self.inc[i], self.state[i] = uid, born, inc, state
        self.address[i], self.zone[i], self.version[i] = (host, port), zone, version
        if other or old != state:
            self.since[i], self.by[i] = now - age, by
        self.mix(i)
        if other:
            return "restarted" if state in (ALIVE, SUSPECTED) else STATES[state]
        if old == state:
            return "moved" if moved else None if state != ALIVE else "renewed"
        return "back" if state == ALIVE and old == LOST else "cleared" if state == ALIVE else STATES[state]

    def mix(self, i):
        """Takes a member's part into its bucket's digest, or out again. Suspicion is passing and stays out of it."""
        state = 0 if self.state[i] == SUSPECTED else self.state[i]
        part = f"{self.names[i]} {self.uid[i]} {self.inc[i]} {state}"
        self.digests[self.bucket(i)] ^= xxhash.xxh64_intdigest(part.encode())

    def bucket(self, i):
        return zlib.crc32(self.names[i].encode()) % BUCKETS

    def digest(self):
        """One number for the whole view: two that are equal are the same view."""
        total = 0
        for k, part in enumerate(self.digests):
            total = (total * 31 + part) & 0xFFFFFFFFFFFFFFFF
        return total

    def short_digests(self, shift):
        """16 bits of each bucket's digest from bit `shift` on: two that are alike by chance differ at another shift."""
        return b"".join((part >> shift & 0xFFFF).to_bytes(2, "big") for part in self.digests)

    def living(self):
        """Places of those not known to be gone."""
        return [i for i, state in enumerate(self.state) if state in (ALIVE, SUSPECTED)]

    def forget(self, now):
        """Drops who has been gone for longer than is remembered; places close up. Whether any did."""
        old = {
            i
            for i, state in enumerate(self.state)
            if state in (LOST, LEFT) and now - self.since[i] > self.remember_s
        }
        self.ghosts = [(at, zone) for at, zone in self.ghosts if now - at <= self.remember_s]
        if not old:
            return False
        for i in old:
            self.mix(i)
        for array in self.arrays:
            array[:] = [value for i, value in enumerate(array) if i not in old]
        self.index = {name: i for i, name in enumerate(self.names)}
        return True
