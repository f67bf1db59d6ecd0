"""The router program: one router on sockets, configured by the file named in BALANCER_CONFIG."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import sys
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, NamedTuple

from brookhinge.net.service import Service
from brookhinge.settings_reader import StartError
from brookhinge.startup import MIN_DESCRIPTORS, Site, read_site

if TYPE_CHECKING:
    from brookhinge.operator.settings import Control, Fleet

EXIT_CONFIGURATION = 2  # unusable configuration, or an address that cannot be bound


class FleetBlocks(NamedTuple):
    """The blocks of the operator's file that configure this router's fleet."""

    fleet: Fleet | None
    controls: dict[str, Control]


class AgentSettings(NamedTuple):
    """Settings that an agent passes to its routers in the environment."""

    listener_fd: int | None  # descriptor of the inherited listening socket; None if there is none
    scores_interval_s: float  # seconds between log lines of scores; 0 for none


def read_fleet(site: Site, environ: Mapping[str, str]) -> FleetBlocks:
    """Read this router's `fleet` block and all `control` blocks from the file named in BROOKHINGE_FLEET.

    If the variable is unset, returns no blocks and imports no fleet packages.

    Raises:
        StartError: The file is invalid, or has no `fleet` block for this router.
    """
    path = environ.get("BROOKHINGE_FLEET")
    if not path:
        return FleetBlocks(None, {})
    from brookhinge.operator import OperatorError, read_file

    try:
        operator = read_file(path)
    except OperatorError as error:
        raise StartError(f"BROOKHINGE_FLEET: {path}: {error}") from None
    if site.name not in operator.fleet:
        raise StartError(f'BROOKHINGE_FLEET: {path}: no block fleet "{site.name}"')
    return FleetBlocks(operator.fleet[site.name], operator.control)


def read_agent_settings(environ: Mapping[str, str]) -> AgentSettings:
    """Read the settings that an agent set in the environment.

    Raises:
        StartError: A value is not a number.
    """
    listener_fd = environ.get("BROOKHINGE_LISTENER")
    scores_interval_s = environ.get("BROOKHINGE_SCORES_S")
    try:
        return AgentSettings(
            listener_fd=int(listener_fd) if listener_fd else None,
            scores_interval_s=float(scores_interval_s) if scores_interval_s else 0.0,
        )
    except ValueError:
        raise StartError(
            "BROOKHINGE_LISTENER, BROOKHINGE_SCORES_S: expected numbers, got "
            f"{listener_fd!r:.20}, {scores_interval_s!r:.20}"
        ) from None


def limit_descriptors(site: Site) -> Site:
    """Return the site with its descriptor limit lowered to the soft limit of the process.

    The descriptors for clients, servers and the command channel are allotted from this number.

    Raises:
        StartError: The soft limit is too low to run.
    """
    soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if soft_limit == resource.RLIM_INFINITY or soft_limit >= site.bounds.sockets:
        return site
    if soft_limit < MIN_DESCRIPTORS:
        raise StartError(
            f"limits.sockets: expected at least {MIN_DESCRIPTORS} descriptors, process limit is {soft_limit}"
        )
    return site._replace(bounds=site.bounds._replace(sockets=soft_limit))


def open_trace(site: Site, environ: Mapping[str, str]) -> Callable[..., None] | None:
    """Open the trace file named in BROOKHINGE_TRACE, and return None if the variable is unset.

    Raises:
        StartError: The file cannot be opened for writing.
    """
    path = environ.get("BROOKHINGE_TRACE")
    if not path:
        return None
    from brookhinge.engine.trace import Trace

    try:
        return Trace(path, site.name, os.getpid())
    except OSError as error:
        raise StartError(f"BROOKHINGE_TRACE: {path}: {error.strerror}") from None


def reload(service: Service) -> None:
    """Reload the configuration; log an unusable one and keep the current one."""
    try:
        service.reload(read_site(os.environ))
    except StartError as error:
        service.log("configuration", why=str(error))


async def serve(
    site: Site,
    blocks: FleetBlocks,
    agent: AgentSettings,
    trace: Callable[..., None] | None,
    *,
    early_reloads: list[bool],
) -> None:
    """Run a router until a signal ends it.

    Args:
        site: Configuration of the router.
        blocks: Fleet configuration from the operator's file.
        agent: Settings passed by an agent.
        trace: Called as trace(step, request id, **values) for each request and connection, or None.
        early_reloads: Receives an entry for each SIGHUP that arrives before the event loop handles it.

    Raises:
        OSError: An address cannot be bound.
    """
    service = Service(
        site,
        fleet=blocks.fleet,
        controls=blocks.controls,
        listener_fd=agent.listener_fd,
        scores_interval_s=agent.scores_interval_s,
        trace=trace,
    )
    loop = asyncio.get_running_loop()
    for end_signal in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(end_signal, service.stop)
    loop.add_signal_handler(signal.SIGHUP, reload, service)
    if early_reloads:  # checked only now, after the event loop handles SIGHUP
        reload(service)
    await service.run()


def main() -> int:
    """Run one router and return the exit code."""
    early_reloads: list[bool] = []
    signal.signal(signal.SIGHUP, lambda *_: early_reloads.append(True))
    try:
        site = limit_descriptors(read_site(os.environ))
        blocks = read_fleet(site, os.environ)
        agent = read_agent_settings(os.environ)
        trace = open_trace(site, os.environ)
    except StartError as error:
        print(f"brookhinge: {error}", file=sys.stderr)
        return EXIT_CONFIGURATION
    try:
        asyncio.run(serve(site, blocks, agent, trace, early_reloads=early_reloads))
    except OSError as error:
        addresses = [site.listen]
        if blocks.fleet:
            addresses += [blocks.fleet.listen, blocks.fleet.log_listen]
        print(
            f"brookhinge: listen: expected a free local address, got {addresses} ({error.strerror})",
            file=sys.stderr,
        )
        return EXIT_CONFIGURATION
    return 0
