"""Faults to plant in a router, one for each invariant of the judge: python -m benchmarks.soak.faults NAME

A planted fault gets past the checks at run time on purpose: what is tried is whether the soak finds it from outside."""

import asyncio
import os
import random
import sys
import time

chance = random.Random(7)


def no_checks():
    """The engine's own checks let everything pass."""
    from brookhinge.engine.invariants import Invariants
    from brookhinge.net.write_guard import WriteGuard

    Invariants.check_attempt = lambda self, now, request, request_class, attempt: None
    WriteGuard.hold_reason = lambda self, decided: None


def answer_missing():
    from brookhinge.net.client_connections import ClientConnections

    real = ClientConnections.reply
    ClientConnections.reply = lambda self, client, number, wire: (
        chance.random() < 0.005 or real(self, client, number, wire)
    )


def answer_late():
    from brookhinge.net.client_connections import ClientConnections

    real = ClientConnections.reply

    def reply(self, client, number, wire):
        if chance.random() < 0.005:
            asyncio.get_running_loop().call_later(4.0, real, self, client, number, wire)
        else:
            real(self, client, number, wire)

    ClientConnections.reply = reply


def answer_twice():
    from brookhinge.net.client_connections import ClientConnections

    real = ClientConnections.write

    def write(self, client, wire):
        real(self, client, wire)
        if chance.random() < 0.01:
            real(self, client, wire)

    ClientConnections.write = write


def closed_unanswered():
    """Idle connections are closed by the time of the last call alone, whatever is open on them."""
    from brookhinge.decisions.rules import CloseReason
    from brookhinge.net.client_connections import ClientConnections

    real = ClientConnections.sweep

    def sweep(self):
        real(self)
        for client in list(self.clients.values()):
            if client.has_called and self.now() - client.used_at > 0.3:
                self.drop(client, CloseReason.IDLE)

    ClientConnections.sweep = sweep


def body_wrong():
    from brookhinge.net.client_connections import ClientConnections

    real = ClientConnections.respond
    ClientConnections.respond = lambda self, effect: real(
        self,
        effect._replace(body=effect.body[:-1] if chance.random() < 0.01 else effect.body),
    )


def sent_after_end():
    """A cancel, and a client's end, are not heeded."""
    from brookhinge.engine.client_events import ClientEvents
    from brookhinge.net.client_connections import ClientConnections

    ClientConnections.hold_reason = lambda self, client, number: None
    ClientEvents.on_request_cancelled = lambda self, event: None
    ClientEvents.on_disconnected = lambda self, event: None


def effect_twice():
    """An attempt that broke is taken for one that never ran."""
    from brookhinge.decisions import rules

    no_checks()
    rules.NEVER_RAN = frozenset((*rules.NEVER_RAN, "broken", "errored", "timeout"))


def two_attempts():
    """What is given up is not told to its server."""
    from brookhinge.net.upstream_connections import UpstreamConnections

    def cancel_attempt(self, effect):
        self.placements.pop((effect.request_id, effect.attempt), None)

    UpstreamConnections.cancel_attempt = cancel_attempt
    no_checks()


def sent_to_draining():
    from brookhinge.decisions import rules
    from brookhinge.decisions.endpoints import EndpointTable

    no_checks()
    rules.may_send_to = lambda state: state != "gone"
    EndpointTable.is_ready_local_cache = lambda self, c: (
        self.role[c] == "cache" and self.zone[c] == self.own_zone and self.state[c] != "gone"
    )


def slow_start():
    from brookhinge.decisions.slow_start import SlowStartBudget

    no_checks()
    SlowStartBudget.admits = lambda self, *values, **named: True


def purged_copy():
    """Purges are passed over."""
    from brookhinge.decisions.router import Router

    no_checks()
    Router.on_purge = lambda self, purge: None


def aged_copy():
    """The age that a class allows is passed over for copies of its own."""
    from brookhinge.decisions.router import Router

    real = Router.respond_from_copy

    def respond_from_copy(self, request):
        self.purges.max_age_s = lambda *values, **named: 0.0
        try:
            return real(self, request)
        finally:
            del self.purges.max_age_s

    Router.respond_from_copy = respond_from_copy
    route = Router.route
    Router.route = lambda self, request: respond_from_copy(self, request) or route(self, request)


def deadline():
    """Servers are told the whole time of the class."""
    from brookhinge.net import cachewire

    real = cachewire.encode_pull
    cachewire.encode_pull = lambda attempt, timeout_s: real(attempt, 2.9)


def crash():
    """A new configuration ends the process."""
    from brookhinge.net.service import Service

    Service.reload = lambda self, site: os._exit(3)


def not_ready():
    """A second start waits for what never comes."""
    if os.environ.get("BALANCER_CONFIG", "").endswith("r0.json"):
        marker = os.environ["BALANCER_CONFIG"] + ".started"
        if os.path.exists(marker):
            time.sleep(3600)
        open(marker, "w").close()


def stop_late():
    """The end waits for clients to leave."""
    from brookhinge.net.graceful_shutdown import GracefulShutdown

    real = GracefulShutdown.check_done

    def check_done(self):
        if self._client_connections.clients:
            asyncio.get_running_loop().call_later(0.05, self.check_done)
        else:
            real(self)

    GracefulShutdown.check_done = check_done


def wall_clock():
    """Spans are those of the wall clock, as they were before."""
    from brookhinge.net.service import Service

    Service.now = lambda self: time.time() - self.started_at


def backlog():
    """The end closes its listener over the backlog, as it did before."""
    from brookhinge.net.listener import Listener

    def stop(self):
        if self.open:
            self.accept_some(64)
            self.close()

    Listener.stop = stop


FAULTS = {
    plant.__name__: plant
    for plant in (
        answer_missing,
        answer_late,
        answer_twice,
        closed_unanswered,
        body_wrong,
        sent_after_end,
        effect_twice,
        two_attempts,
        sent_to_draining,
        slow_start,
        purged_copy,
        aged_copy,
        deadline,
        crash,
        not_ready,
        stop_late,
        wall_clock,
        backlog,
    )
}

if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    from brookhinge.__main__ import main

    sys.argv = ["brookhinge"]
    sys.exit(main())
