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


async def serve(site):
    service = Service(site)
    for word in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(word, service.stop)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reread, service)
    await service.run()


def main():
    try:
        site = read_site(os.environ)
    except StartError as fault:
        print(f"brookhinge: {fault}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(site))
    except OSError as fault:
        print(f"brookhinge: listen: expected an address that is free here, got {site.listen} ({fault.strerror})",
              file=sys.stderr)
        return 2
    return 0
