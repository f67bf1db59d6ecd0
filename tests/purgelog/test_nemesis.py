"""Faults drawn by seed, alone and together, among five control machines and twelve routers: kills, restarts, freezes, cuts
one way and both, loss, doubling, long delays, while purges are told. The properties of the exhaustive test are checked
after every event, and at the end links are good."""

import random

import pytest

from tests.purgelog.checked import CheckedNet

ROUTERS, MACHINES = 12, 5
FAULTS, HEALED_S = 14, 9.0
PROOF_S = 2.0


class Nemesis:
    """Draws faults; at most `most_down` machines are down, frozen or without memory at once."""

    def __init__(self, seed, most_down):
        self.chance = random.Random(f"nemesis {seed}")
        self.net = CheckedNet(seed, ROUTERS, MACHINES, proof_s=PROOF_S, delay=self.delay)
        self.cuts, self.slow, self.most_down = set(), 1.0, most_down
        self.net.cut = lambda a, b: (a, b) in self.cuts

    def delay(self, a, b):
        return 0.005 * self.slow if a[0] == b[0] else 0.03 * self.slow

    def play(self):
        self.net.run(4.0)
        for _ in range(FAULTS):
            getattr(
                self,
                self.chance.choice(("kill", "restart", "freeze", "thaw", "cut", "part", "wires", "router")),
            )()
            for _ in range(self.chance.randrange(4)):
                self.net.submit(self.chance.randrange(MACHINES))
                self.net.run(0.3 * self.chance.random())
            self.net.run(self.chance.choice((0.05, 0.4, 1.5, 3.0)))
        self.heal()
        self.net.run(HEALED_S)
        self.net.check_end()

    def out(self):
        """Machines that can bring nothing to a majority now."""
        return [
            host
            for host in self.net.controls
            if not host.up or host.frozen or not host.core.replication.recovered()
        ]

    def victims(self):
        if len(self.out()) >= self.most_down:
            return []
        return [host for host in self.net.controls if host not in self.out()]

    def kill(self):
        if self.victims():
            self.net.kill(self.chance.choice(self.victims()))

    def restart(self):
        down = [host for host in self.net.controls if not host.up]
        if down:
            self.net.start(self.chance.choice(down))
        elif self.victims():
            victim = self.chance.choice(self.victims())
            self.net.kill(victim)
            self.net.start(victim)

    def freeze(self):
        if self.victims():
            self.net.freeze(self.chance.choice(self.victims()))

    def thaw(self):
        for host in [host for host in self.net.hosts.values() if host.up and host.frozen]:
            self.net.thaw(host)

    def cut(self):
        """A few ways, one direction each."""
        names = [host.name for host in self.net.hosts.values()]
        self.cuts = {
            (self.chance.choice(names), self.chance.choice(names)) for _ in range(self.chance.randrange(30))
        }

    def part(self):
        """Some machines and routers hear only one another."""
        names = [host.name for host in self.net.hosts.values()]
        side = set(self.chance.sample(names, self.chance.randrange(len(names))))
        self.cuts = {(a, b) for a in names for b in names if (a in side) != (b in side)}

    def wires(self):
        self.net.loss = self.chance.choice((0.0, 0.02, 0.3))
        self.net.double = self.chance.choice((0.0, 0.2))
        self.slow = self.chance.choice((0.2, 1.0, 15.0))

    def router(self):
        host = self.chance.choice(self.net.routers)
        if not host.up:
            self.net.start(host)
        elif host.frozen:
            self.net.thaw(host)
        else:
            self.chance.choice((self.net.kill, self.net.freeze))(host)

    def heal(self):
        self.cuts, self.slow, self.net.loss, self.net.double = set(), 1.0, 0.0, 0.0
        self.thaw()
        for host in self.net.hosts.values():
            if not host.up:
                self.net.start(host)


@pytest.mark.parametrize("seed", range(12))
def test_what_was_accepted_is_kept_while_a_majority_keeps_its_memory(seed):
    Nemesis(seed, most_down=2).play()


@pytest.mark.parametrize("seed", range(100, 108))
def test_no_old_copy_is_used_whatever_is_lost(seed, monkeypatch):
    """Any number of machines down at once: purges may be lost with them, old copies are not used all the same."""
    monkeypatch.setattr(CheckedNet, "check_lost", lambda self, purge: None)
    Nemesis(seed, most_down=MACHINES).play()
