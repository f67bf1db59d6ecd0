"""Entry point of overload protection for the listener and the service. No I/O, no clock."""

from typing import NamedTuple

from brookhinge.overload.connection_admission import ConnectionAdmission
from brookhinge.overload.networks import Networks
from brookhinge.overload.overload_detector import OverloadDetector, OverloadState


class Arrival(NamedTuple):
    """Outcome of a new connection.

    Attributes:
        network: Name of the network that the client's address belongs to.
        is_admitted: Whether the connection is kept.
    """

    network: str
    is_admitted: bool


class StateChange(NamedTuple):
    """A change of the overload state. The field names are the keys of the log event `storm`.

    Attributes:
        state: New state.
        was: Previous state.
        connects_s: New connections per second.
        queries_s: Requests per second.
        returns: Share of retries among the requests.
        networks: Effective number of client networks.
        turned_away: Connections rejected since the start.
    """

    state: OverloadState
    was: OverloadState
    connects_s: float
    queries_s: float
    returns: float
    networks: float
    turned_away: int


class Ingress:
    """Overload protection of one router: network lookup, overload detector and connection admission.

    Attributes:
        networks: Maps client addresses to networks.
        detector: Classifies the load.
        admission: Admits or rejects new connections.
        lag_s: Lag of the event loop at the last update.
        state: Overload state at the last update.
    """

    def __init__(self, max_connections: int) -> None:
        """Create the protection for a router with `max_connections` file descriptors for clients."""
        self.networks = Networks()
        self.detector = OverloadDetector()
        self.admission = ConnectionAdmission(max_connections)
        self.lag_s = 0.0
        self.state = OverloadState.CALM
        self._requests = 0
        self._retries = 0

    def max_accepts(self) -> int:
        """Return how many connections to accept in one pass of the loop."""
        return self.admission.max_accepts(self.lag_s)

    def admit(self, now: float, address: str) -> Arrival:
        """Record a new connection and decide whether to keep it."""
        network = self.networks.network_of(address)
        self.detector.record_connection(now, network)
        return Arrival(network, self.admission.admit(network))

    def release(self, network: str) -> None:
        """Record that a connection from a network has ended."""
        self.admission.release(network)

    def update(self, now: float, lag_s: float, requests: int, retries: int) -> StateChange | None:
        """Update the overload state; called several times per second.

        Args:
            now: Current time.
            lag_s: Lag of the event loop.
            requests: Requests received since the start.
            retries: Retries among those requests.

        Returns:
            The state change, or None if the state stays the same.
        """
        self.lag_s = lag_s
        self.detector.record_requests(now, requests - self._requests, retries - self._retries)
        self._requests = requests
        self._retries = retries
        state = self.detector.update(now)
        if state == self.state:
            return None
        was = self.state
        self.state = state
        request_rate = self.detector.requests.per_second(now)
        retry_rate = self.detector.retries.per_second(now)
        return StateChange(
            state=state,
            was=was,
            connects_s=round(self.detector.connections.per_second(now), 1),
            queries_s=round(request_rate, 1),
            returns=round(retry_rate / request_rate, 3) if request_rate else 0.0,
            networks=round(self.detector.effective_networks(now), 1),
            turned_away=self.admission.rejected,
        )
