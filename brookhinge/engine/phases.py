"""The phases of the program, from start to exit."""

STEPS = {
    "starting": ("ready", "ended"),  # what is known is taken in, nothing listens yet
    "ready": ("leaving", "ended"),
    "leaving": ("finishing", "ended"),  # told to end: still accepts and answers
    "finishing": ("ended",),  # accepts no more, ends when nothing is open
    "ended": (),
}


class Phases:
    """Where the program stands; refuses steps that are not allowed."""

    def __init__(self, told):
        self.now, self.told = "starting", told

    def step(self, phase):
        if phase not in STEPS[self.now]:
            raise RuntimeError(f"no step from {self.now} to {phase}")
        self.now = phase
        self.told("phase", phase=phase)

    @property
    def well(self):
        return self.now == "ready"
