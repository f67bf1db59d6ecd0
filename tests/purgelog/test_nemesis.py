"""Seeded random faults during purges, among five control machines and twelve routers: kills, restarts, suspensions,
one-way and full partitions, loss, duplication and long delays.

The properties of the exhaustive test are checked after every event. At the end the links heal."""

import random

import pytest

from tests.purgelog.checked import CheckedNet

ROUTERS, MACHINES = 12, 5
FAULTS, HEALED_S = 14, 9.0
PROOF_S = 2.0


class FaultInjector:
    """Injects random faults; at most `max_down` machines are down, suspended or not recovered at once."""

    def __init__(self, seed, max_down):
        self.rng = random.Random(f"nemesis {seed}")
        self.net = CheckedNet(seed, ROUTERS, MACHINES, proof_s=PROOF_S, delay=self.delay)
        self.cut_links, self.delay_factor, self.max_down = set(), 1.0, max_down
        self.net.cut = lambda a, b: (a, b) in self.cut_links

    def delay(self, a, b):
        return 0.005 * self.delay_factor if a[0] == b[0] else 0.03 * self.delay_factor

    def play(self):
        self.net.run(4.0)
        for _ in range(FAULTS):
            getattr(
                self,
                self.rng.choice(
                    ("kill", "restart", "freeze", "thaw", "cut", "partition", "degrade_links", "router")
                ),
            )()
            for _ in range(self.rng.randrange(4)):
                self.net.submit(self.rng.randrange(MACHINES))
                self.net.run(0.3 * self.rng.random())
            self.net.run(self.rng.choice((0.05, 0.4, 1.5, 3.0)))
        self.heal()
        self.net.run(HEALED_S)
        self.net.check_end()

    def unavailable(self):
        """Return the machines that count in no majority now."""
        return [
            host
            for host in self.net.controls
            if not host.up or host.frozen or not host.core.replication.recovered()
        ]

    def candidates(self):
        if len(self.unavailable()) >= self.max_down:
            return []
        return [host for host in self.net.controls if host not in self.unavailable()]

    def kill(self):
        if self.candidates():
            self.net.kill(self.rng.choice(self.candidates()))

    def restart(self):
        down = [host for host in self.net.controls if not host.up]
        if down:
            self.net.start(self.rng.choice(down))
        elif self.candidates():
            candidate = self.rng.choice(self.candidates())
            self.net.kill(candidate)
            self.net.start(candidate)

    def freeze(self):
        if self.candidates():
            self.net.freeze(self.rng.choice(self.candidates()))

    def thaw(self):
        for host in [host for host in self.net.hosts.values() if host.up and host.frozen]:
            self.net.thaw(host)

    def cut(self):
        """Cut a few links, each in one direction."""
        names = [host.name for host in self.net.hosts.values()]
        self.cut_links = {
            (self.rng.choice(names), self.rng.choice(names)) for _ in range(self.rng.randrange(30))
        }

    def partition(self):
        """Separate some machines and routers from all others."""
        names = [host.name for host in self.net.hosts.values()]
        side = set(self.rng.sample(names, self.rng.randrange(len(names))))
        self.cut_links = {(a, b) for a in names for b in names if (a in side) != (b in side)}

    def degrade_links(self):
        self.net.loss = self.rng.choice((0.0, 0.02, 0.3))
        self.net.double = self.rng.choice((0.0, 0.2))
        self.delay_factor = self.rng.choice((0.2, 1.0, 15.0))

    def router(self):
        host = self.rng.choice(self.net.routers)
        if not host.up:
            self.net.start(host)
        elif host.frozen:
            self.net.thaw(host)
        else:
            self.rng.choice((self.net.kill, self.net.freeze))(host)

    def heal(self):
        self.cut_links, self.delay_factor, self.net.loss, self.net.double = set(), 1.0, 0.0, 0.0
        self.thaw()
        for host in self.net.hosts.values():
            if not host.up:
                self.net.start(host)


@pytest.mark.parametrize("seed", range(12))
def test_accepted_purges_survive_while_a_majority_keeps_its_memory(seed):
    FaultInjector(seed, max_down=2).play()


@pytest.mark.parametrize("seed", range(100, 108))
def test_no_outdated_copy_is_used_even_if_a_majority_is_lost(seed, monkeypatch):
    """With any number of machines down at once, purges may be lost, but no outdated copy is used."""
    monkeypatch.setattr(CheckedNet, "check_lost", lambda self, purge: None)
    FaultInjector(seed, max_down=MACHINES).play()
