"""The records that the components of the router's state share."""

from dataclasses import dataclass

from brookhinge.engine.clients import ClientTable
from brookhinge.engine.invariants import Invariants
from brookhinge.engine.open_requests import RequestTable
from brookhinge.engine.round_context import RoundContext
from brookhinge.engine.totals import Totals


@dataclass(frozen=True, slots=True)
class Records:
    """State that the components read and change."""

    context: RoundContext
    requests: RequestTable
    clients: ClientTable
    invariants: Invariants
    totals: Totals
