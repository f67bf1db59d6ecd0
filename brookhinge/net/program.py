"""One router on sockets as a program, configured by the file that BALANCER_CONFIG names."""
import asyncio
import os
import signal
import sys

from brookhinge.net.service import Service
from brookhinge.startup import StartError, read_site


def reread(service):
    """SIGHUP: the new file, or one that can't be used: that is logged and the old one stays in force."""
    try:
        service.reload(read_site(os.environ))
    except StartError as fault:
        service.log("configuration", why=str(fault))


def fleet_of(site, environ):
    """The block of the operator's file that BROOKHINGE_FLEET names; without one nothing of it is imported."""
    path = environ.get("BROOKHINGE_FLEET")
    if not path:
        return None
    from brookhinge.operator import OperatorError, read_file
    try:
        told = read_file(path)
    except OperatorError as fault:
        raise StartError(f"BROOKHINGE_FLEET: {path}: {fault}") from None
    if site.name not in told.fleet:
        raise StartError(f'BROOKHINGE_FLEET: {path}: no block fleet "{site.name}"')
    return told.fleet[site.name]


def kept(environ):
    """What a keeper hands its routers: the descriptor of the listening socket, and how often it wants scores."""
    handed, scores_s = environ.get("BROOKHINGE_LISTENER"), environ.get("BROOKHINGE_SCORES_S")
    try:
        return {"handed": int(handed) if handed else None, "scores_s": float(scores_s) if scores_s else 0.0}
    except ValueError:
        raise StartError("BROOKHINGE_LISTENER, BROOKHINGE_SCORES_S: expected numbers, got "
                         f"{handed!r:.20}, {scores_s!r:.20}") from None


async def serve(site, fleet, kept_):
    service = Service(site, fleet=fleet, **kept_)
    for word in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(word, service.stop)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reread, service)
    await service.run()


def main():
    try:
        site = read_site(os.environ)
        fleet, kept_ = fleet_of(site, os.environ), kept(os.environ)
    except StartError as fault:
        print(f"brookhinge: {fault}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(site, fleet, kept_))
    except OSError as fault:
        where = [site.listen] + ([fleet.listen] if fleet else [])
        print(f"brookhinge: listen: expected an address that is free here, got {where} ({fault.strerror})",
              file=sys.stderr)
        return 2
    return 0
