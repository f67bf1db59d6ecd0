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
    started_at: float | None  # seconds since this router's start; None: there from the first


class ServerInstance(NamedTuple):
    """One start of a server at one address; its connections are used for no other."""

    server: str
    address: Address
    started_at: float | None
