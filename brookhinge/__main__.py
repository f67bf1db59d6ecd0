"""Entry point of both programs: the router without arguments, the command line tool with arguments.

Neither imports modules of the other, because the platform gives a router little memory.
"""

import os
import signal
import sys


def main() -> int | None:
    """Run the program selected by the arguments and return its exit code."""
    if len(sys.argv) > 1:
        from brookhinge.cli import main as command_line

        return command_line()
    # SIGHUP would end a router that has not read its configuration yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if "BROOKHINGE_FLEET" not in os.environ:  # routers of a fleet serve metrics by a library that needs it
        # asyncio and hashlib import OpenSSL if it is there; this router has no use for it and little memory.
        sys.modules["ssl"] = None
        sys.modules["_hashlib"] = None
    from brookhinge.net.program import main as router

    return router()


if __name__ == "__main__":
    sys.exit(main())
