"""Whether the disk is used: on, off after a fault, back by trial. No I/O, no clock: `now` comes with each call.

Guards against a disk that fails, fills, lies or stalls: no answer waits for it, and no write is tried on it again and
again. One that is slow for once, or a file that is rotten, is no fault of the disk: those count, and turn it off only
when they come together."""

ON, OFF, TRIAL = "on", "off", "trial"
GRAVE = ("write", "full", "sync", "ledger", "snapshot", "stall", "closed")  # of these one is enough


class Health:
    """`state` and `why`; `turns` counts how often it went off."""

    def __init__(self, first_s=1.0, longest_s=60.0, light=3, window_s=10.0):
        self.first_s, self.longest_s, self.light, self.window_s = first_s, longest_s, light, window_s
        self.state, self.why, self.pause_s, self.try_at = OFF, "not opened", first_s, 0.0
        self.turns, self.proved_at, self.lately = 0, None, []

    def fault(self, now, kind, why):
        """A failure; True if the disk went off by it."""
        if kind not in GRAVE and self.state != TRIAL:
            self.lately = [at for at in self.lately if now - at < self.window_s and at <= now] + [now]
            if len(self.lately) < self.light:
                return False
        went = self.state != OFF
        if went:
            # soon after it came back the pause doubles; after a long good time it starts anew
            recent = self.proved_at is not None and 0 <= now - self.proved_at < 4 * self.pause_s
            if self.state == TRIAL or recent:
                self.pause_s = min(self.longest_s, 2 * self.pause_s)
            else:
                self.pause_s = self.first_s
            self.turns += 1
        self.state, self.why, self.try_at, self.lately = OFF, f"{kind}: {why}", now + self.pause_s, []
        return went

    def due(self, now):
        """Whether a trial may begin now. A clock that stepped back does not keep the disk off for longer."""
        return self.state == OFF and (now >= self.try_at or self.try_at - now > self.longest_s)

    def trying(self):
        self.state = TRIAL

    def proved(self, now):
        """The trial went well."""
        self.state, self.why, self.proved_at = ON, "", now

    @property
    def on(self):
        return self.state == ON
