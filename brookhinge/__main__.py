"""The entry of both programs: the platform's router without arguments, the command line with some.

Each imports nothing of the other: the platform gives a router little memory.
"""

import signal
import sys


def main() -> int | None:
    """Run the program that the arguments ask for and return its exit code."""
    if len(sys.argv) > 1:
        from brookhinge.cli import main as command_line

        return command_line()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # it would end a router that has not read its file yet
    sys.modules["curses"] = None  # tornado would load it to colour logs: half a megabyte of a small limit
    from brookhinge.net.program import main as router

    return router()


if __name__ == "__main__":
    sys.exit(main())
