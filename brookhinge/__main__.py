"""Without arguments the platform's router, one on sockets, configured by BALANCER_CONFIG; with arguments the command
line. Each imports nothing of the other: the platform gives a router little memory."""
import sys


def main():
    if len(sys.argv) > 1:
        from brookhinge.cli import main as command_line
        return command_line()
    from brookhinge.net.program import main as router
    return router()


if __name__ == "__main__":
    sys.exit(main())
