"""Prints what a router holds beside crowds: python -m tests.crowd [--memory 32 --sockets 1024] KIND:COUNT."""

import argparse
import asyncio
import tempfile

from tests.crowd.bad_clients import KINDS
from tests.crowd.deployment import Deployment


async def play(kind, count, options):
    with tempfile.TemporaryDirectory() as folder:
        async with Deployment(
            folder,
            memory_mb=options.memory,
            sockets=options.sockets,
            body_bytes=options.body,
            delay_s=options.delay,
        ) as site:
            at_ready = site.memory()
            report = await site.play(kind, count, options.seconds)
            await asyncio.sleep(options.after)
            stalls = site.log_lines("stalled")
            is_running = site.router.returncode is None
            print(
                f"{kind}:{count} {options.memory:g} MB {options.sockets}: ready {at_ready:.1f} "
                f"peak {site.memory():.1f} now {site.memory('VmRSS'):.1f} MB, usual p99 {site.p99():.2f} "
                f"max {max(site.waits):.2f} s lost {site.lost} of {len(site.waits)} {site.kinds}, "
                f"stalls {len(stalls)} longest {max((s['for_s'] for s in stalls), default=0)}, "
                f"running {is_running}, {report}",
                flush=True,
            )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--memory", type=float, default=32)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--after", type=float, default=2.0)
    parser.add_argument("--body", type=int, default=2000)
    parser.add_argument("--delay", type=float, default=0.01)
    parser.add_argument("crowds", nargs="+", help=f"KIND:COUNT; kinds: {', '.join(KINDS)}")
    options = parser.parse_args()
    for crowd in options.crowds:
        kind, _, count = crowd.partition(":")
        asyncio.run(play(kind, int(count or 1), options))


main()
