"""Servers as the command channel lists them."""

from typing import NamedTuple

Address = tuple[str, int]


class ListedEndpoint(NamedTuple):
    """One row of the endpoint list."""

    server: str
    address: Address
    zone: str
    kind: str
    cell: int
    health: str  # 'ready', 'draining' or 'gone'
    weight: float
    started_at: float | None  # seconds since this router's start; None: running from the beginning


class ServerInstance(NamedTuple):
    """A server process: one start of a server at one address. Connections are never shared by instances."""

    server: str
    address: Address
    started_at: float | None
