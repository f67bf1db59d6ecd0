"""Serves the simulator's line protocol on standard input and output."""

import sys

from brookhinge.simulator_adapter.host import main

if __name__ == "__main__":
    sys.exit(main())
