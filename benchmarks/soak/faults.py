"""Runs a router with a planted fault, by `python -m benchmarks.soak.faults NAME`.

There is at least one fault for each invariant of the judge. A planted fault bypasses the router's own checks
on purpose: the soak must find it from outside.
"""

import asyncio
import os
import random
import sys
import time

rng = random.Random(7)


def disable_checks():
    """Make the engine's own checks accept everything."""
    from brookhinge.engine.invariants import Invariants
    from brookhinge.net.write_guard import WriteGuard

    Invariants.check_attempt = lambda self, now, request, request_class, attempt: None
    WriteGuard.hold_reason = lambda self, decided: None


def answer_missing():
    """Drop some replies."""
    from brookhinge.net.client_connections import ClientConnections

    real = ClientConnections.reply
    ClientConnections.reply = lambda self, client, number, wire: (
        rng.random() < 0.005 or real(self, client, number, wire)
    )


def answer_late():
    """Delay some replies by 4 seconds."""
    from brookhinge.net.client_connections import ClientConnections

    real = ClientConnections.reply

    def reply(self, client, number, wire):
        if rng.random() < 0.005:
            asyncio.get_running_loop().call_later(4.0, real, self, client, number, wire)
        else:
            real(self, client, number, wire)

    ClientConnections.reply = reply


def answer_twice():
    """Write some data to clients twice."""
    from brookhinge.net.client_connections import ClientConnections

    real = ClientConnections.write

    def write(self, client, wire):
        real(self, client, wire)
        if rng.random() < 0.01:
            real(self, client, wire)

    ClientConnections.write = write


def closed_unanswered():
    """Close connections by the time of their last call alone, even with open requests."""
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
    """Cut the last byte off some bodies."""
    from brookhinge.net.client_connections import ClientConnections

    real = ClientConnections.respond
    ClientConnections.respond = lambda self, effect: real(
        self,
        effect._replace(body=effect.body[:-1] if rng.random() < 0.01 else effect.body),
    )


def sent_after_end():
    """Ignore cancels and disconnects of clients."""
    from brookhinge.engine.client_events import ClientEvents
    from brookhinge.net.client_connections import ClientConnections

    ClientConnections.hold_reason = lambda self, client, number: None
    ClientEvents.on_request_cancelled = lambda self, event: None
    ClientEvents.on_disconnected = lambda self, event: None


def effect_twice():
    """Treat a failed attempt as one that never ran."""
    from brookhinge.decisions import rules

    disable_checks()
    rules.NEVER_RAN = frozenset((*rules.NEVER_RAN, "broken", "errored", "timeout"))


def two_attempts():
    """Do not tell a server that its attempt was cancelled."""
    from brookhinge.net.upstream_connections import UpstreamConnections

    def cancel_attempt(self, effect):
        self.placements.pop((effect.request_id, effect.attempt), None)

    UpstreamConnections.cancel_attempt = cancel_attempt
    disable_checks()


def sent_to_draining():
    """Send to draining servers as to any other."""
    from brookhinge.decisions import rules
    from brookhinge.decisions.endpoints import EndpointTable

    disable_checks()
    rules.may_send_to = lambda state: state != "gone"
    EndpointTable.is_ready_local_cache = lambda self, c: (
        self.role[c] == "cache" and self.zone[c] == self.own_zone and self.state[c] != "gone"
    )


def slow_start():
    """Admit every call during slow start."""
    from brookhinge.decisions.slow_start import SlowStartBudget

    disable_checks()
    SlowStartBudget.admits = lambda self, *values, **named: True


def purged_copy():
    """Ignore purges."""
    from brookhinge.decisions.router import Router

    disable_checks()
    Router.on_purge = lambda self, purge: None


def aged_copy():
    """Ignore the maximum age of a class for the router's own copies."""
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
    """Give each server a timeout of 2.9 s, whatever time the client has left."""
    from brookhinge.net import cachewire

    real = cachewire.encode_pull
    cachewire.encode_pull = lambda attempt, timeout_s: real(attempt, 2.9)


def crash():
    """Exit when a new configuration is loaded."""
    from brookhinge.net.service import Service

    Service.reload = lambda self, site: os._exit(3)


def not_ready():
    """Hang at the second start of router r0."""
    if os.environ.get("BALANCER_CONFIG", "").endswith("r0.json"):
        marker = os.environ["BALANCER_CONFIG"] + ".started"
        if os.path.exists(marker):
            time.sleep(3600)
        open(marker, "w").close()


def stop_late():
    """Wait for all clients to disconnect before the process exits."""
    from brookhinge.net.graceful_shutdown import GracefulShutdown

    real = GracefulShutdown.check_done

    def check_done(self):
        if self._client_connections.clients:
            asyncio.get_running_loop().call_later(0.05, self.check_done)
        else:
            real(self)

    GracefulShutdown.check_done = check_done


def wall_clock():
    """Measure time by the wall clock, as the router once did."""
    from brookhinge.net.service import Service

    Service.now = lambda self: time.time() - self.started_at


def backlog():
    """Close the listener with connections left in its backlog, as the router once did."""
    from brookhinge.net.listener import Listener

    def stop(self):
        if self.open:
            self.accept_some(64)
            self.close()

    Listener.stop = stop


def memory():
    """Keep all that clients send."""
    from brookhinge.net.call_buffer import CallBuffer

    real = CallBuffer.add
    kept = []

    def add(self, data, received_at):
        kept.append(bytes(data))
        return real(self, data, received_at)

    CallBuffer.add = add


FAULTS = {
    plant.__name__: plant
    for plant in (
        answer_missing,
        memory,
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
